// Package graceful closes the connections of an HTTP server in a planned stop, without
// dropping a request. http.Server.Shutdown drops a request that it reads after it has
// begun, and closes a kept connection on which a request is arriving.
package graceful

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// checkInterval is the time between two checks for idle connections in a shutdown.
	checkInterval = 10 * time.Millisecond
	// firstRequestTime is how long a shutdown waits for the first request on a new
	// connection.
	firstRequestTime = 4 * time.Second
)

// Conn is a connection that Conns follows.
type Conn struct {
	net.Conn
	// received is set when bytes have arrived since the connection was opened or became
	// idle.
	received atomic.Bool
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.received.Load() {
		c.received.Store(true)
	}
	return n, err
}

// Conns holds the state of each open connection of an HTTP server. It is safe for
// concurrent use. No other lock is acquired while its mutex is held.
type Conns struct {
	mu     sync.Mutex
	states map[*Conn]connState
}

type connState struct {
	state http.ConnState
	since time.Time
}

// NewConns returns an empty Conns.
func NewConns() *Conns { return &Conns{states: make(map[*Conn]connState)} }

// SetState records the state of a connection. The server's ConnState hook calls it.
func (s *Conns) SetState(conn *Conn, state http.ConnState) {
	if state == http.StateIdle {
		conn.received.Store(false)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(s.states, conn)
		return
	}
	s.states[conn] = connState{state: state, since: time.Now()}
}

// Drain waits until all connections are closed or ctx ends, whose error it returns then.
// It makes the server close connections that wait for a request. The server must have
// stopped accepting and must not be shutting down.
func (s *Conns) Drain(ctx context.Context) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for s.expireIdle(time.Now()) > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// expireIdle ends the wait of connections for a request and returns the number of open
// connections.
func (s *Conns) expireIdle(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn, c := range s.states {
		if c.expired(conn, now) {
			// An error means that the connection is already closed.
			_ = conn.SetReadDeadline(now)
		}
	}
	return len(s.states)
}

// expired reports whether a shutdown ends the wait for a request.
func (c connState) expired(conn *Conn, now time.Time) bool {
	if conn.received.Load() {
		return false // the server limits how long a request may arrive
	}
	return c.state == http.StateIdle || c.state == http.StateNew && now.Sub(c.since) > firstRequestTime
}
