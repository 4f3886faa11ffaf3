// Package pipenet is an in-memory network with one address. Its connections are
// net.Pipe pairs, which make no system calls, so that clients and servers that use
// it run in virtual time under testing/synctest.
//
// Network and Listener differ in their faults: a Network makes open connections
// unresponsive, a Listener closes them. Both can refuse new ones.
package pipenet

import (
	"context"
	"errors"
	"net"
	"sync"
)

// ErrRefused is returned by dials while connections are refused or after the
// listener was closed.
var ErrRefused = errors.New("connection refused")

// Network connects dialers to one listener. It is safe for concurrent use.
type Network struct {
	accept chan net.Conn
	closed chan struct{}
	once   sync.Once

	mu     sync.Mutex
	refuse bool
	dials  int
	conns  map[*conn]struct{}
}

// New returns a network that accepts connections.
func New() *Network {
	return &Network{
		accept: make(chan net.Conn),
		closed: make(chan struct{}),
		conns:  make(map[*conn]struct{}),
	}
}

// Refuse sets whether new connections are refused.
func (n *Network) Refuse(refuse bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refuse = refuse
}

// Freeze makes the open connections unresponsive: they stay open but deliver no
// more data to the dialing side. New connections work.
func (n *Network) Freeze() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		close(c.frozen)
	}
	clear(n.conns)
}

// Dials returns the number of connections established so far.
func (n *Network) Dials() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dials
}

// DialContext opens a connection; network and address are ignored. It returns
// ErrRefused while connections are refused and after Close.
func (n *Network) DialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	n.mu.Lock()
	refuse := n.refuse
	n.mu.Unlock()
	if refuse {
		return nil, ErrRefused
	}
	client, server := net.Pipe()
	select {
	case n.accept <- server:
	case <-n.closed:
		return nil, ErrRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	c := &conn{Conn: client, network: n, frozen: make(chan struct{}), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dials++
	n.conns[c] = struct{}{}
	return c, nil
}

// Accept implements net.Listener.
func (n *Network) Accept() (net.Conn, error) {
	select {
	case c := <-n.accept:
		return c, nil
	case <-n.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (n *Network) Close() error {
	n.once.Do(func() { close(n.closed) })
	return nil
}

// Addr implements net.Listener.
func (n *Network) Addr() net.Addr { return address{} }

type address struct{}

func (address) Network() string { return "pipe" }
func (address) String() string  { return "pipe" }

// conn is the dialing side of a connection.
type conn struct {
	net.Conn
	network *Network
	frozen  chan struct{}
	closed  chan struct{}
	once    sync.Once
}

// Read discards data that arrives after the connection was frozen, and then blocks
// until the connection is closed.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		select {
		case <-c.frozen:
			if err != nil {
				<-c.closed
				return 0, net.ErrClosed
			}
		default:
			return n, err
		}
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.network.mu.Lock()
		delete(c.network.conns, c)
		c.network.mu.Unlock()
	})
	return c.Conn.Close()
}
