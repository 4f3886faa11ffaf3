package daemon

import (
	"context"
	"net"
	"sync"
	"time"
)

// serverDialTimeout limits the dialing of the backend server, which is on the same host.
const serverDialTimeout = 2 * time.Second

// trackedDialer dials connections and can close all that are open. When an agent stops, the
// backend server must see its connections close even if the process continues because it
// runs several agents. It is safe for concurrent use.
type trackedDialer struct {
	dialer net.Dialer

	mu     sync.Mutex
	conns  map[*trackedConn]struct{}
	closed bool
}

func newTrackedDialer() *trackedDialer {
	return &trackedDialer{dialer: net.Dialer{Timeout: serverDialTimeout}, conns: map[*trackedConn]struct{}{}}
}

// dial opens a connection. It returns net.ErrClosed after close.
func (d *trackedDialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	tracked := &trackedConn{Conn: conn, dialer: d}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		_ = conn.Close()
		return nil, net.ErrClosed
	}
	d.conns[tracked] = struct{}{}
	return tracked, nil
}

// close closes all connections and makes later dials fail.
func (d *trackedDialer) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	for c := range d.conns {
		_ = c.Conn.Close()
	}
	clear(d.conns)
}

// trackedConn removes itself from its dialer when it is closed.
type trackedConn struct {
	net.Conn
	dialer *trackedDialer
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.dialer.mu.Lock()
	delete(c.dialer.conns, c)
	c.dialer.mu.Unlock()
	return c.Conn.Close()
}
