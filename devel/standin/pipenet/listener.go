package pipenet

import (
	"context"
	"net"
	"sync"
)

// Listener is a net.Listener for connections made by Dial. Its connections can be
// closed, and new ones refused. It is safe for concurrent use.
type Listener struct {
	mu      sync.Mutex
	pending chan net.Conn
	conns   []net.Conn
	refuse  bool
	closed  chan struct{}
	once    sync.Once
}

// Listen returns an open listener.
func Listen() *Listener {
	return &Listener{pending: make(chan net.Conn), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.pending:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return address{} }

// Dial opens a connection; network and address are ignored. It returns ErrRefused
// while connections are refused and after Close.
func (l *Listener) Dial(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	l.mu.Lock()
	refuse := l.refuse
	if !refuse {
		l.conns = append(l.conns, client)
	}
	l.mu.Unlock()
	if refuse {
		return nil, ErrRefused
	}
	select {
	case l.pending <- server:
		return client, nil
	case <-l.closed:
		return nil, ErrRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// CloseConns closes all open connections. If refuse is set, new connections are refused
// until StopRefusing.
func (l *Listener) CloseConns(refuse bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refuse = refuse
	for _, conn := range l.conns {
		_ = conn.Close()
	}
	l.conns = nil
}

// StopRefusing makes the listener accept new connections again.
func (l *Listener) StopRefusing() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refuse = false
}
