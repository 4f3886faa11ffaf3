package relay

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/rpc"
	"slices"
	"sync"
	"syscall"
	"time"
)

// maxRefusals limits the backoff of an address that refuses connections: it doubles with each
// refusal up to this number.
const maxRefusals = 6

// ClientPool keeps one RPC client for each address in use and puts addresses into backoff
// after a failure. A host that refuses connections probably runs no relay, so its backoff grows.
// The gate's side of package reserve uses one for quota servers. It is safe for concurrent use. No
// other lock is acquired while its mutex is held.
type ClientPool struct {
	backoff time.Duration
	dial    DialFunc

	mu           sync.Mutex
	clients      map[string]*rpc.Client
	refusals     map[string]int // connections that an address refused since it accepted one
	backoffUntil map[string]time.Time
}

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// TCPDialer returns a DialFunc for TCP that fails after dialTimeout.
func TCPDialer() DialFunc {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext
}

// NewClientPool returns a pool without clients. backoff is the time for which an address is
// not available after MarkFailed.
func NewClientPool(backoff time.Duration, dial DialFunc) *ClientPool {
	return &ClientPool{
		backoff: backoff, dial: dial, clients: make(map[string]*rpc.Client), refusals: make(map[string]int), backoffUntil: make(map[string]time.Time),
	}
}

// Client returns the client for an address. It opens a connection if there is none.
func (p *ClientPool) Client(ctx context.Context, address string) (*rpc.Client, error) {
	p.mu.Lock()
	client := p.clients[address]
	p.mu.Unlock()
	if client != nil {
		return client, nil
	}
	conn, err := p.dial(ctx, "tcp", address)
	if err != nil {
		p.noteDial(address, err)
		return nil, err
	}
	client = rpc.NewClient(newLimitedConn(conn, maxReplyBytes))
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.refusals, address)
	if other := p.clients[address]; other != nil {
		// Another call opened a connection meanwhile. This one is unused.
		_ = client.Close()
		return other, nil
	}
	p.clients[address] = client
	return client, nil
}

// Connected returns the addresses with an open connection.
func (p *ClientPool) Connected() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Keys(p.clients))
}

// noteDial counts a refused connection.
func (p *ClientPool) noteDial(address string, err error) {
	if !Refused(err) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refusals[address] = min(p.refusals[address]+1, maxRefusals)
}

// Refused reports whether an error means that an address refused a connection: no relay runs
// there, and nothing was sent.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// MarkFailed closes the connection to an address and puts the address into backoff.
func (p *ClientPool) MarkFailed(address string) {
	p.mu.Lock()
	client := p.clients[address]
	delete(p.clients, address)
	p.backoffUntil[address] = time.Now().Add(p.backoff << max(p.refusals[address]-1, 0))
	p.mu.Unlock()
	if client != nil {
		// Calls in progress on it fail; their callers can use another address.
		_ = client.Close()
	}
}

// Available reports whether an address is not in backoff.
func (p *ClientPool) Available(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !time.Now().Before(p.backoffUntil[address])
}

// Call makes one RPC. If it fails, the peer may still have executed it.
func Call(ctx context.Context, client *rpc.Client, method string, timeout time.Duration, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	pending := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-pending.Done:
		return pending.Error
	case <-ctx.Done():
		return ctx.Err()
	}
}
