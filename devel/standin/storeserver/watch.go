package storeserver

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync"

	"github.com/monsoonworks/monsoonworks/devel/standin/faultstore"
	"github.com/monsoonworks/monsoonworks/internal/store"
)

// AbortWatches aborts the connections of all open watches.
func (s *Server) AbortWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for abort := range s.watches {
		close(abort)
	}
	clear(s.watches)
}

// registerWatch returns a channel that AbortWatches closes to abort the watch. The caller
// must call release when the watch ends.
func (s *Server) registerWatch() (abort chan struct{}, release func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	abort = make(chan struct{})
	s.watches[abort] = struct{}{}
	return abort, sync.OnceFunc(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.watches, abort)
	})
}

// watchStream writes the messages of one watch.
type watchStream struct {
	encoder *json.Encoder
	flusher *http.ResponseController
}

func (ws watchStream) send(m watchResponse) error {
	if err := ws.encoder.Encode(streamedResponse{m}); err != nil {
		return err
	}
	return ws.flusher.Flush()
}

func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request, body []byte) (any, error) {
	var req watchRequest
	if err := decode(body, &req); err != nil {
		return nil, err
	}
	if req.Create == nil {
		return nil, errors.Join(errBadRequest, errors.New("create_request is missing"))
	}
	prefix, single, err := prefixOf(req.Create.Key, req.Create.RangeEnd)
	if err != nil {
		return nil, err
	}
	if single {
		return nil, errors.Join(errBadRequest, errors.New("only the watch of a prefix is supported"))
	}
	from := int64(req.Create.StartRevision) - 1
	if from < 0 {
		from = s.Store.Revision()
	}
	// The store's watch must end when this handler returns, also after AbortWatches.
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	batches, err := s.Store.Watch(ctx, prefix, from)
	if err != nil {
		return nil, err
	}
	w.Header().Set("Content-Type", "application/json")
	ws := watchStream{encoder: json.NewEncoder(w), flusher: http.NewResponseController(w)}
	if ws.send(watchResponse{Header: s.header(), Created: true}) == nil {
		s.streamWatch(ctx, ws, faultstore.QueueBatches(ctx, batches), req.Create.ProgressNotify)
	}
	// Clients see the end of a watch as an aborted connection.
	panic(http.ErrAbortHandler)
}

func (s *Server) streamWatch(ctx context.Context, ws watchStream, batches <-chan faultstore.TimedBatch, progress bool) {
	abort, release := s.registerWatch()
	defer release()
	for {
		select {
		case batch, open := <-batches:
			if !open {
				return
			}
			if len(batch.Events) == 0 && batch.Err == nil && !progress {
				continue
			}
			if !s.Controls.AwaitDelivery(ctx, batch) {
				continue
			}
			if ws.send(s.toWatchResponse(batch.WatchBatch)) != nil || batch.Err != nil {
				return
			}
		case <-abort:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (s *Server) toWatchResponse(batch store.WatchBatch) watchResponse {
	m := watchResponse{Header: header{Revision: int64Value(batch.Revision)}}
	if batch.Err != nil {
		m.Canceled, m.CompactRevision = true, int64Value(batch.Revision)
		return m
	}
	for _, e := range batch.Events {
		out := event{KV: toKV(e.Entry)}
		if e.Deleted {
			out.Type = "DELETE"
		}
		m.Events = append(m.Events, out)
	}
	return m
}
