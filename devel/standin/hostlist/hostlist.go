// Package hostlist is a stand-in for the platform's host list. Changes become
// visible after a propagation delay, as on the platform.
package hostlist

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/hosts"
)

// Server serves the list in the HTTP service discovery format, with an ETag. It
// implements http.Handler and is safe for concurrent use.
type Server struct {
	requests atomic.Int64

	mu       sync.Mutex
	lag      time.Duration
	down     bool
	latest   *hosts.List   // includes changes that are not visible yet
	versions []listVersion // the visible list, then those not visible yet, oldest first
}

type listVersion struct {
	visibleAt time.Time
	list      *hosts.List
}

// New returns an empty list server whose changes become visible after lag.
func New(lag time.Duration) *Server {
	empty := hosts.NewList(nil)
	return &Server{lag: lag, latest: empty, versions: []listVersion{{list: empty}}}
}

// SetLag sets the propagation delay of later changes.
func (s *Server) SetLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = lag
}

// SetDown makes all requests fail with status 503 while down is set.
func (s *Server) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// Put adds or replaces hosts.
func (s *Server) Put(changed ...hosts.Host) { s.update(changed, nil) }

// Remove removes hosts by name.
func (s *Server) Remove(names ...string) { s.update(nil, names) }

func (s *Server) update(changed []hosts.Host, removed []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latest = s.latest.With(changed, removed)
	s.versions = append(s.versions, listVersion{visibleAt: time.Now().Add(s.lag), list: s.latest})
}

// Requests returns the number of requests so far.
func (s *Server) Requests() int64 { return s.requests.Load() }

// Visible returns the list that is visible now. It returns false while the server
// is down.
func (s *Server) Visible() (*hosts.List, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for len(s.versions) > 1 && !s.versions[1].visibleAt.After(now) {
		s.versions = s.versions[1:]
	}
	return s.versions[0].list, !s.down
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.requests.Add(1)
	list, up := s.Visible()
	if !up {
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return
	}
	Serve(w, r, list)
}

// Serve responds with a list, or with status 304 if the request has its ETag.
func Serve(w http.ResponseWriter, r *http.Request, list *hosts.List) {
	etag := fmt.Sprintf(`"%016x"`, list.Version)
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	body, err := hosts.Encode(list.All())
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}
