// Package wiretest has an in-memory network for tests of sessions. Its
// connections buffer without bound, never block a writer, and can be cut or made
// silent. They work in a testing/synctest bubble.
package wiretest

import (
	"fmt"
	"net"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Network connects dialers with listeners by address.
type Network struct {
	mu        sync.Mutex
	listeners map[string]func(net.Conn)
	conns     map[string][]*Conn
}

// NewNetwork returns a network without listeners.
func NewNetwork() *Network {
	return &Network{listeners: map[string]func(net.Conn){}, conns: map[string][]*Conn{}}
}

// Listen makes accept handle connections to an address, each in a goroutine of
// its own. A nil accept makes dials fail.
func (n *Network) Listen(address string, accept func(net.Conn)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = accept
}

// Dial connects to a listener.
func (n *Network) Dial(address string) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	accept := n.listeners[address]
	if accept == nil {
		return nil, fmt.Errorf("connection to %s refused", address)
	}
	client, server := Pipe()
	n.conns[address] = append(n.conns[address], client)
	go accept(server)
	return client, nil
}

// Blackhole makes the open connections to an address silent for good.
func (n *Network) Blackhole(address string) {
	for _, c := range n.take(address) {
		c.Blackhole()
	}
}

// Disconnect closes the open connections to an address.
func (n *Network) Disconnect(address string) {
	for _, c := range n.take(address) {
		_ = c.Close()
	}
}

func (n *Network) take(address string) []*Conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	conns := n.conns[address]
	delete(n.conns, address)
	return conns
}

// Conn is one end of an in-memory connection.
type Conn struct {
	net.Conn
	state *state
	peer  *Conn

	mu     sync.Mutex
	queue  []byte
	closed bool
	wake   chan struct{}
}

// state is shared by both ends.
type state struct {
	mu     sync.Mutex
	frozen bool
}

// Pipe returns the two ends of a connection.
func Pipe() (client, server *Conn) {
	a, b := net.Pipe()
	shared := &state{}
	client, server = newConn(a, shared), newConn(b, shared)
	client.peer, server.peer = server, client
	go client.pump()
	go server.pump()
	return client, server
}

func newConn(c net.Conn, shared *state) *Conn {
	return &Conn{Conn: c, state: shared, wake: make(chan struct{}, 1)}
}

// stopWriting ends a write of the pump that the other end will never read.
func (c *Conn) stopWriting() {
	// A pipe's deadline can always be set.
	_ = c.Conn.SetWriteDeadline(time.Unix(1, 0))
}

// Blackhole makes both directions swallow what is sent from now on, the end of the
// connection included.
func (c *Conn) Blackhole() {
	c.state.mu.Lock()
	c.state.frozen = true
	c.state.mu.Unlock()
	c.stopWriting()
	c.peer.stopWriting()
}

func (c *Conn) frozen() bool {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	return c.state.frozen
}

// Write implements net.Conn. It never blocks.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	c.queue = append(c.queue, p...)
	c.signal()
	return len(p), nil
}

// Close implements net.Conn. What was written before is still delivered.
func (c *Conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.signal()
	c.peer.stopWriting() // this end reads no more
	return c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// SetDeadline implements net.Conn. A closed connection stays closed.
func (c *Conn) SetDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	return c.Conn.SetReadDeadline(t)
}

func (c *Conn) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// pump moves written bytes to the other end.
func (c *Conn) pump() {
	for range c.wake {
		c.mu.Lock()
		data, closed := c.queue, c.closed
		c.queue = nil
		c.mu.Unlock()
		if !c.frozen() && len(data) > 0 {
			_, _ = c.Conn.Write(data)
		}
		if closed {
			if !c.frozen() {
				_ = c.Conn.Close()
			}
			return
		}
	}
}

// RunInBubble runs a test in virtual time. yamux keeps timers in a global pool, and a
// timer must not leave its bubble; two collections empty the pool.
func RunInBubble(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	emptyPools()
	defer emptyPools()
	synctest.Test(t, f)
}

func emptyPools() {
	runtime.GC()
	runtime.GC()
}
