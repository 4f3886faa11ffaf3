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

// Limits bound how long a connection waits for a request. Zero means no limit.
type Limits struct {
	// Header limits the time until the first bytes on a new connection, and from the first
	// bytes of a request to the end of its header.
	Header time.Duration
	// Idle limits the time between a response and the first bytes of the next request.
	Idle time.Duration
}

// Conn is a connection that Conns follows. It has two read deadlines, of which the earlier
// applies: that of the server, which SetReadDeadline sets, and that of the wait for a
// request, which Conns sets.
type Conn struct {
	net.Conn

	mu             sync.Mutex // no other lock is acquired while it is held
	limits         Limits
	state          http.ConnState
	since          time.Time // when the state began, or when its first bytes arrived
	received       bool      // bytes have arrived since the connection was opened or became idle
	expired        bool      // a shutdown has ended the wait
	lastRead       bool      // the wait has expired and the last read has begun
	serverDeadline time.Time
	waitDeadline   time.Time
	applied        time.Time // the read deadline of the net.Conn
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
	return c.setDeadline(c.deadline())
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

// setDeadline makes reads keep a deadline. c.mu is held.
func (c *Conn) setDeadline(t time.Time) error {
	if t.Equal(c.applied) {
		return nil
	}
	c.applied = t
	return c.Conn.SetReadDeadline(t)
}

// setWaitDeadline changes the deadline of the wait. c.mu is held.
func (c *Conn) setWaitDeadline(t time.Time) {
	c.waitDeadline = t
	// An error means that the connection is already closed.
	_ = c.setDeadline(c.deadline())
}

// limitDeadline returns when the wait ends by the limits, zero if it does not. c.mu is held.
func (c *Conn) limitDeadline() time.Time {
	limit := c.limits.Header
	if c.state == http.StateIdle && !c.received {
		limit = c.limits.Idle
	}
	if limit <= 0 || c.state != http.StateNew && c.state != http.StateIdle {
		return time.Time{}
	}
	return c.since.Add(limit)
}

// waiting reports whether nothing of a request has arrived. c.mu is held.
func (c *Conn) waiting() bool {
	return !c.received && (c.state == http.StateNew || c.state == http.StateIdle)
}

// markReceived ends the wait for the first bytes of a request.
func (c *Conn) markReceived() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.waiting() {
		return
	}
	c.received, c.since = true, time.Now()
	c.expired, c.lastRead = false, false
	c.setWaitDeadline(c.limitDeadline())
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
	return c.setDeadline(now.Add(lastReadTime)) == nil
}

// setState begins a state of the connection.
func (c *Conn) setState(state http.ConnState, limits Limits, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.limits, c.since = state, limits, now
	c.received, c.expired, c.lastRead = false, false, false
	c.setWaitDeadline(c.limitDeadline())
}

// setLimits changes the limits. A wait in progress can become longer, not shorter, because
// the caller may rely on the limits with which it began.
func (c *Conn) setLimits(limits Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits = limits
	if c.expired || c.lastRead || c.waitDeadline.IsZero() {
		return
	}
	if deadline := c.limitDeadline(); deadline.IsZero() || deadline.After(c.waitDeadline) {
		c.setWaitDeadline(deadline)
	}
}

// waitTime returns how long the connection has waited for a request, 0 if it does not wait, and whether
// its wait was ended.
func (c *Conn) waitTime(now time.Time) (wait time.Duration, expired bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.waiting() {
		return 0, false
	}
	return now.Sub(c.since), c.expired
}

// expire ends the wait of a connection that has waited for a request for longer than minIdle, or, if
// it is new, than minNew.
func (c *Conn) expire(now time.Time, minNew, minIdle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	least := minIdle
	if c.state == http.StateNew {
		least = minNew
	}
	if c.expired || !c.waiting() || now.Sub(c.since) <= least {
		return
	}
	c.expired = true
	c.setWaitDeadline(now)
}
