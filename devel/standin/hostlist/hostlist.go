// Package hostlist is a stand-in of the platform's host list. Changes become
// visible after a lag, as on the platform.
package hostlist

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/hosts"
)

// Server serves the list in the HTTP service discovery format with an ETag. It
// implements http.Handler.
type Server struct {
	requests atomic.Int64

	mu      sync.Mutex
	lag     time.Duration
	down    bool
	current *hosts.List   // with all changes
	visible []versionedAt // the lists by the time at which they become visible
}

type versionedAt struct {
	at   time.Time
	list *hosts.List
}

// New returns a server whose changes become visible after lag.
func New(lag time.Duration) *Server {
	empty := hosts.NewList(nil)
	return &Server{lag: lag, current: empty, visible: []versionedAt{{list: empty}}}
}

// SetLag changes the lag of later changes.
func (s *Server) SetLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = lag
}

// SetDown makes all requests fail.
func (s *Server) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// Put adds or replaces hosts.
func (s *Server) Put(changed ...hosts.Host) { s.change(changed, nil) }

// Remove removes hosts by name.
func (s *Server) Remove(names ...string) { s.change(nil, names) }

func (s *Server) change(changed []hosts.Host, gone []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = s.current.With(changed, gone)
	s.visible = append(s.visible, versionedAt{at: time.Now().Add(s.lag), list: s.current})
}

// Requests returns the number of requests so far.
func (s *Server) Requests() int64 { return s.requests.Load() }

// Visible returns the list that is visible now, and false while the server is
// down.
func (s *Server) Visible() (*hosts.List, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for len(s.visible) > 1 && !s.visible[1].at.After(now) {
		s.visible = s.visible[1:]
	}
	return s.visible[0].list, !s.down
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

// Serve answers a request with a list, or that it has not changed.
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
