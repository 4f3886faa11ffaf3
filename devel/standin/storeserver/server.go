// Package storeserver is a stand-in for the platform's key-value service. It
// implements the part of the etcd v3 JSON gateway that this project uses, on an
// in-memory store, and injects faults.
package storeserver

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/monsoonworks/monsoonworks/devel/standin/faultstore"
	"github.com/monsoonworks/monsoonworks/internal/store"
	"github.com/monsoonworks/monsoonworks/internal/store/memstore"
)

// maxRequestBytes bounds a request body. The real service accepts about 1.5 MiB of
// keys and values; base64 adds a third.
const maxRequestBytes = 2 << 20

// gRPC status codes in the gateway's error bodies.
const (
	codeInvalidArgument   = 3
	codeNotFound          = 5
	codeResourceExhausted = 8
	codeOutOfRange        = 11
	codeInternal          = 13
	codeUnavailable       = 14
)

// Server serves the key-value API. It implements http.Handler.
type Server struct {
	// Controls injects faults and counts calls.
	Controls *faultstore.Controls
	// Store holds the data.
	Store *memstore.Store

	mux   *http.ServeMux
	pages pageCache

	mu      sync.Mutex
	watches map[chan struct{}]struct{} // one per open watch, closed to abort it
}

// New returns a server that stores its data in s.
func New(s *memstore.Store) *Server {
	server := &Server{
		Controls: faultstore.NewControls(),
		Store:    s,
		mux:      http.NewServeMux(),
		watches:  make(map[chan struct{}]struct{}),
	}
	server.handle("/v3/kv/range", faultstore.Read, server.serveRange)
	server.handle("/v3/kv/txn", faultstore.Write, server.serveTxn)
	server.handle("/v3/lease/grant", faultstore.Lease, server.serveGrant)
	server.handle("/v3/lease/keepalive", faultstore.Lease, server.serveKeepAlive)
	server.handle("/v3/lease/revoke", faultstore.Lease, server.serveRevoke)
	server.handle("/v3/kv/lease/revoke", faultstore.Lease, server.serveRevoke)
	server.handle("/v3/watch", faultstore.Watch, server.serveWatch)
	server.mux.HandleFunc("GET /fault", server.serveFaultState)
	server.mux.HandleFunc("POST /fault", server.serveFaultChange)
	return server
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// rpcHandler handles a call with the given request body. It returns the response,
// or nil if it has written the response itself.
type rpcHandler func(w http.ResponseWriter, r *http.Request, body []byte) (any, error)

func (s *Server) handle(path string, kind faultstore.Kind, handler rpcHandler) {
	s.mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
		if err != nil {
			writeError(w, http.StatusBadRequest, codeInvalidArgument, "etcdserver: request is too large")
			return
		}
		if err := s.Controls.Enter(r.Context(), kind); err != nil {
			writeStoreError(w, err)
			return
		}
		response, err := handler(w, r, body)
		switch {
		case err != nil:
			writeStoreError(w, err)
		case kind == faultstore.Write && s.Controls.TakeResponseDrop():
			// Closes the connection without a response after the write was applied.
			panic(http.ErrAbortHandler)
		case response != nil:
			writeJSON(w, http.StatusOK, response)
		}
	})
}

var errBadRequest = errors.New("invalid request")

func decode(body []byte, into any) error {
	if err := json.Unmarshal(body, into); err != nil {
		return errors.Join(errBadRequest, err)
	}
	return nil
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func writeError(w http.ResponseWriter, status, code int, message string) {
	writeJSON(w, status, errorBody{Error: message, Code: code, Message: message})
}

// writeStoreError writes an error with the status and message that the gateway
// has for it.
func writeStoreError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, faultstore.ErrLimited):
		writeError(w, http.StatusTooManyRequests, codeResourceExhausted, "etcdserver: too many requests")
	case errors.Is(err, store.ErrUnavailable):
		writeError(w, http.StatusServiceUnavailable, codeUnavailable, "etcdserver: no leader")
	case errors.Is(err, store.ErrLeaseNotFound):
		writeError(w, http.StatusNotFound, codeNotFound, "etcdserver: requested lease not found")
	case errors.Is(err, store.ErrCompacted):
		writeError(w, http.StatusBadRequest, codeOutOfRange, "etcdserver: mvcc: required revision has been compacted")
	case errors.Is(err, memstore.ErrDuplicateKey):
		writeError(w, http.StatusBadRequest, codeInvalidArgument, "etcdserver: duplicate key given in txn request")
	case errors.Is(err, store.ErrTooLarge):
		writeError(w, http.StatusBadRequest, codeInvalidArgument, "etcdserver: request is too large")
	case errors.Is(err, errBadRequest):
		writeError(w, http.StatusBadRequest, codeInvalidArgument, err.Error())
	default:
		writeError(w, http.StatusInternalServerError, codeInternal, err.Error())
	}
}

// Faults is the request body of the control endpoint /fault. Faults whose field is
// nil are not changed.
type Faults struct {
	DelayMillis     *int64   `json:"delay_millis,omitempty"`
	Down            *bool    `json:"down,omitempty"`
	WatchesStalled  *bool    `json:"silent_watches,omitempty"`
	DropResponses   *int     `json:"lose_answers,omitempty"`
	WritesPerSecond *float64 `json:"writes_per_second,omitempty"`
	ReadsPerSecond  *float64 `json:"reads_per_second,omitempty"`
	AbortWatches    bool     `json:"cut_watches,omitempty"`
}

func (s *Server) serveFaultChange(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&f); err != nil {
		writeError(w, http.StatusBadRequest, codeInvalidArgument, err.Error())
		return
	}
	s.applyFaults(f)
	s.serveFaultState(w, r)
}

func (s *Server) applyFaults(f Faults) {
	if f.DelayMillis != nil {
		s.Controls.SetDelay(time.Duration(*f.DelayMillis) * time.Millisecond)
	}
	if f.Down != nil {
		s.Controls.SetDown(*f.Down)
	}
	if f.WatchesStalled != nil {
		s.Controls.SetWatchesStalled(*f.WatchesStalled)
	}
	if f.DropResponses != nil {
		s.Controls.DropResponses(*f.DropResponses)
	}
	if f.WritesPerSecond != nil {
		s.Controls.Limit(faultstore.Write, *f.WritesPerSecond)
	}
	if f.ReadsPerSecond != nil {
		s.Controls.Limit(faultstore.Read, *f.ReadsPerSecond)
	}
	if f.AbortWatches {
		s.AbortWatches()
	}
}

func (s *Server) serveFaultState(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, map[string]any{
		"calls": s.Controls.Counts(), "down": s.Controls.Down(), "revision": s.Store.Revision(),
	})
}
