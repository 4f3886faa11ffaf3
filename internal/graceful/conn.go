package graceful

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// lastReadTime limits the read that ends an expired wait. A read whose deadline has passed
// fails even if bytes have already arrived.
const lastReadTime = 2 * time.Millisecond

// Conn is a connection that Conns follows. It has two read deadlines, of which the earlier
// applies: that of the server, which SetReadDeadline sets, and that of the wait for a
// request, which Conns sets. The latter ends when a request has arrived.
type Conn struct {
	net.Conn

	mu             sync.Mutex // no other lock is acquired while it is held
	state          http.ConnState
	since          time.Time // when the state began
	received       bool      // bytes have arrived since the connection was opened or became idle
	expired        bool      // a shutdown has ended the wait
	lastRead       bool      // the wait has expired and the last read has begun
	serverDeadline time.Time
	waitDeadline   time.Time
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if n > 0 {
			c.markReceived()
			return n, err
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !c.waitsOn(time.Now()) {
			return n, err
		}
	}
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serverDeadline = t
	if c.lastRead {
		return nil // markReceived applies it if a request arrives after all
	}
	return c.applyDeadline()
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// deadline returns the read deadline that applies, zero if there is none. c.mu is held.
func (c *Conn) deadline() time.Time {
	if c.waitDeadline.IsZero() || !c.serverDeadline.IsZero() && c.serverDeadline.Before(c.waitDeadline) {
		return c.serverDeadline
	}
	return c.waitDeadline
}

// applyDeadline makes reads keep the deadline. c.mu is held.
func (c *Conn) applyDeadline() error { return c.Conn.SetReadDeadline(c.deadline()) }

// updateDeadline applies a change of the wait. c.mu is held.
func (c *Conn) updateDeadline() {
	// An error means that the connection is already closed.
	_ = c.applyDeadline()
}

// waiting reports whether nothing of a request has arrived. c.mu is held.
func (c *Conn) waiting() bool {
	return !c.received && (c.state == http.StateNew || c.state == http.StateIdle)
}

// markReceived ends the wait for a request.
func (c *Conn) markReceived() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.waiting() {
		return
	}
	c.received = true
	if c.expired || c.lastRead {
		c.expired, c.lastRead, c.waitDeadline = false, false, time.Time{}
		c.updateDeadline()
	}
}

// waitsOn reports whether a read that has timed out must be repeated: the deadline was moved
// meanwhile, or the wait has expired and its last read is due.
func (c *Conn) waitsOn(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.waiting() || c.lastRead {
		return false
	}
	deadline := c.deadline()
	if deadline.IsZero() || now.Before(deadline) {
		return true
	}
	c.lastRead = true
	return c.Conn.SetReadDeadline(now.Add(lastReadTime)) == nil
}

// setState begins a state of the connection.
func (c *Conn) setState(state http.ConnState, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.since = state, now
	c.received, c.expired, c.lastRead, c.waitDeadline = false, false, false, time.Time{}
	c.updateDeadline()
}

// expire ends the wait of an idle connection, and that of a new one after firstRequestTime.
func (c *Conn) expire(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.expired || !c.waiting() || c.state == http.StateNew && now.Sub(c.since) <= firstRequestTime {
		return
	}
	c.expired, c.waitDeadline = true, now
	c.updateDeadline()
}
