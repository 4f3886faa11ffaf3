package relay

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"
)

// ClientPool keeps one connection to each relay in use, and knows which relays are left
// alone after a failure. It is safe for concurrent use; its mutex is a leaf.
type ClientPool struct {
	pause time.Duration
	dial  DialFunc

	mu          sync.Mutex
	clients     map[string]*rpc.Client
	pausedUntil map[string]time.Time
}

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// TCPDialer opens connections within the time that a relay may take to accept one.
func TCPDialer() DialFunc {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext
}

// NewClientPool returns peers without connections. A relay that failed is left alone for
// pause.
func NewClientPool(pause time.Duration, dial DialFunc) *ClientPool {
	return &ClientPool{pause: pause, dial: dial, clients: make(map[string]*rpc.Client), pausedUntil: make(map[string]time.Time)}
}

// Client returns the connection to a relay, which it opens if there is none.
func (p *ClientPool) Client(ctx context.Context, address string) (*rpc.Client, error) {
	p.mu.Lock()
	client := p.clients[address]
	p.mu.Unlock()
	if client != nil {
		return client, nil
	}
	conn, err := p.dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	client = rpc.NewClient(conn)
	p.mu.Lock()
	defer p.mu.Unlock()
	if other := p.clients[address]; other != nil {
		// Another call opened one meanwhile; this one carried nothing.
		_ = client.Close()
		return other, nil
	}
	p.clients[address] = client
	return client, nil
}

// MarkFailed leaves a relay alone for a while and closes the connection to it.
func (p *ClientPool) MarkFailed(address string) {
	p.mu.Lock()
	client := p.clients[address]
	delete(p.clients, address)
	p.pausedUntil[address] = time.Now().Add(p.pause)
	p.mu.Unlock()
	if client != nil {
		// Calls in progress on it fail and go another way.
		_ = client.Close()
	}
}

// Available reports whether a relay is not left alone.
func (p *ClientPool) Available(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !time.Now().Before(p.pausedUntil[address])
}
