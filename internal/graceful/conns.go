// Package graceful closes the connections of an HTTP server in a planned stop, without
// dropping a request. http.Server.Shutdown drops a request that it reads after it has
// begun, and closes a kept connection on which a request is arriving.
package graceful

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// checkInterval is the time between two checks for idle connections in a shutdown.
	checkInterval = 10 * time.Millisecond
	// firstRequestTime is how long a shutdown waits for the first request on a new
	// connection.
	firstRequestTime = 4 * time.Second
)

// Conns holds the open connections of an HTTP server. It is safe for concurrent use. Of the
// locks only that of a Conn is acquired while its mutex is held.
type Conns struct {
	mu     sync.Mutex
	limits Limits
	open   map[*Conn]struct{}
}

// NewConns returns an empty Conns without limits.
func NewConns() *Conns { return &Conns{open: make(map[*Conn]struct{})} }

// SetState records the state of a connection. The server's ConnState hook calls it.
func (s *Conns) SetState(conn *Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(s.open, conn)
	} else {
		s.open[conn] = struct{}{}
	}
	conn.setState(state, s.limits, time.Now())
}

// SetLimits changes the limits of new and open connections. Where it raises a limit, waits in
// progress become longer; where it lowers one, they keep the limit with which they began.
// The server's own timeouts apply as well.
func (s *Conns) SetLimits(limits Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = limits
	for conn := range s.open {
		conn.setLimits(limits)
	}
}

// Close closes all open connections, also those with a request in progress.
func (s *Conns) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	var errs []error
	for conn := range s.open {
		errs = append(errs, conn.Close())
	}
	return errors.Join(errs...)
}

// Drain waits until all connections are closed or ctx ends. Its error wraps that of ctx and names
// the number of open connections. It makes the server close connections that wait for a request.
// The server must have stopped accepting and must not be shutting down.
func (s *Conns) Drain(ctx context.Context) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		open := s.expireIdle(time.Now(), firstRequestTime, 0)
		if open == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d connections are open: %w", open, ctx.Err())
		case <-ticker.C:
		}
	}
}

// MakeRoom reports whether fewer connections than limit are open. If not, it ends the wait of those
// that have waited longest for a request, and for longer than minWait, as many as are too many.
func (s *Conns) MakeRoom(limit int, minWait time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	excess := len(s.open) - limit + 1
	if excess <= 0 {
		return true
	}
	now := time.Now()
	waiting := make(map[*Conn]time.Duration)
	for conn := range s.open {
		switch wait, expired := conn.waitTime(now); {
		case expired:
			excess-- // about to be closed
		case wait > minWait:
			waiting[conn] = wait
		}
	}
	longest := slices.SortedFunc(maps.Keys(waiting), func(a, b *Conn) int { return cmp.Compare(waiting[b], waiting[a]) })
	for _, conn := range longest[:min(max(excess, 0), len(longest))] {
		conn.expire(now, minWait, minWait)
	}
	return false
}

// expireIdle ends the wait of connections for a request, see Conn.expire. It returns the number of open
// connections.
func (s *Conns) expireIdle(now time.Time, minNew, minIdle time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.open {
		conn.expire(now, minNew, minIdle)
	}
	return len(s.open)
}
