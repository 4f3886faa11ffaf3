// Package wiretest provides an in-memory network for tests of packages that use
// sessions. Its connections have unbounded buffers, so that writes never block, and
// can be closed or blackholed. They work in a testing/synctest bubble.
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

// Network connects dialers to listeners by address. It is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]func(net.Conn)
	conns     map[string][]*Conn
}

// NewNetwork returns a network without listeners.
func NewNetwork() *Network {
	return &Network{listeners: map[string]func(net.Conn){}, conns: map[string][]*Conn{}}
}

// Listen sets accept as the handler of connections to an address. It is called in a
// separate goroutine for each connection. If accept is nil, dials fail.
func (n *Network) Listen(address string, accept func(net.Conn)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = accept
}

// Dial connects to an address. It fails if the address has no listener.
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

// Blackhole makes the open connections to an address drop all data from now on,
// without an error at either end.
func (n *Network) Blackhole(address string) {
	for _, c := range n.takeConns(address) {
		c.Blackhole()
	}
}

// Disconnect closes the open connections to an address.
func (n *Network) Disconnect(address string) {
	for _, c := range n.takeConns(address) {
		_ = c.Close()
	}
}

func (n *Network) takeConns(address string) []*Conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	conns := n.conns[address]
	delete(n.conns, address)
	return conns
}

// Conn is one end of an in-memory connection. It is safe for concurrent use.
type Conn struct {
	net.Conn
	link *linkState
	peer *Conn

	mu     sync.Mutex
	queue  []byte
	closed bool
	wake   chan struct{}
}

// linkState is the state that both ends of a connection share.
type linkState struct {
	mu         sync.Mutex
	blackholed bool
}

// Pipe returns the two ends of a connection.
func Pipe() (client, server *Conn) {
	a, b := net.Pipe()
	link := &linkState{}
	client, server = newConn(a, link), newConn(b, link)
	client.peer, server.peer = server, client
	go client.pump()
	go server.pump()
	return client, server
}

func newConn(c net.Conn, link *linkState) *Conn {
	return &Conn{Conn: c, link: link, wake: make(chan struct{}, 1)}
}

// abortWrite ends a write of the pump that the other end will not read.
func (c *Conn) abortWrite() {
	// Setting the deadline of a pipe does not fail.
	_ = c.Conn.SetWriteDeadline(time.Unix(1, 0))
}

// Blackhole makes the connection drop all data in both directions from now on. The
// peer does not notice when the connection is closed.
func (c *Conn) Blackhole() {
	c.link.mu.Lock()
	c.link.blackholed = true
	c.link.mu.Unlock()
	c.abortWrite()
	c.peer.abortWrite()
}

func (c *Conn) isBlackholed() bool {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	return c.link.blackholed
}

// Write implements net.Conn. It never blocks.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	c.queue = append(c.queue, p...)
	c.wakePump()
	return len(p), nil
}

// Close implements net.Conn. Data written before is still delivered.
func (c *Conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.wakePump()
	c.peer.abortWrite() // this end does not read any more
	return c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// SetDeadline implements net.Conn for reads; writes never block. It fails with
// net.ErrClosed after Close, because a new deadline would allow reads again.
func (c *Conn) SetDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	return c.Conn.SetReadDeadline(t)
}

func (c *Conn) wakePump() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// pump transfers written data to the other end until the connection is closed.
func (c *Conn) pump() {
	for range c.wake {
		c.mu.Lock()
		data, closed := c.queue, c.closed
		c.queue = nil
		c.mu.Unlock()
		if !c.isBlackholed() && len(data) > 0 {
			_, _ = c.Conn.Write(data)
		}
		if closed {
			if !c.isBlackholed() {
				_ = c.Conn.Close()
			}
			return
		}
	}
}

// RunInBubble runs a test in a synctest bubble, that is, in virtual time. yamux
// keeps timers in a global sync.Pool, and a timer must not be used outside its
// bubble, so the pool is cleared before and after the test.
func RunInBubble(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	clearSyncPools()
	defer clearSyncPools()
	synctest.Test(t, f)
}

// clearSyncPools empties all sync.Pools, which takes two garbage collections.
func clearSyncPools() {
	runtime.GC()
	runtime.GC()
}
