package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Figures of the pool.
const (
	// dialTimeout bounds the opening of a connection. A server in another region
	// answers well within it; a dark one never does.
	dialTimeout = 250 * time.Millisecond
	// defaultIdle is how long a connection is kept for a server that does not say
	// how long it keeps it.
	defaultIdle = 4 * time.Second
	// idleMargin is taken from what the server says, so that a request does not
	// cross its close.
	idleMargin = 700 * time.Millisecond
	// maxIdlePerServer bounds the kept connections to one server.
	maxIdlePerServer = 24
)

// ErrTooManyConnections means that the gate's part of a server's connections is in
// use. Nothing was sent.
var ErrTooManyConnections = errors.New("too many connections to the server")

// Dialer opens connections.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Pool keeps connections to backend servers. It is safe for concurrent use. Its
// mutex is a leaf.
type Pool struct {
	dialer Dialer
	opened metrics.Counter
	reused metrics.Counter
	stale  metrics.Counter

	mu   sync.Mutex
	idle map[string][]*Conn
	open map[string]int
}

// NewPool returns an empty pool. A nil dialer opens TCP connections.
func NewPool(dialer Dialer, registry metrics.Registry) *Pool {
	if dialer == nil {
		dialer = &net.Dialer{KeepAlive: -1}
	}
	return &Pool{
		dialer: dialer,
		opened: metrics.GetOrRegisterCounter("monsoon.upstream.connections_opened", registry),
		reused: metrics.GetOrRegisterCounter("monsoon.upstream.connections_reused", registry),
		stale:  metrics.GetOrRegisterCounter("monsoon.upstream.connections_stale", registry),
		idle:   make(map[string][]*Conn), open: make(map[string]int),
	}
}

// Get returns a connection to a server: a kept one if there is one, else a new
// one. limit bounds the connections to the server, 0 for no bound. Nothing was
// sent if it fails.
func (p *Pool) Get(ctx context.Context, address string, limit int) (*Conn, error) {
	for {
		c := p.take(address)
		if c == nil {
			break
		}
		if c.usable() {
			p.reused.Inc(1)
			return c, nil
		}
		p.stale.Inc(1)
		c.Discard()
	}
	return p.dial(ctx, address, limit)
}

func (p *Pool) dial(ctx context.Context, address string, limit int) (*Conn, error) {
	p.mu.Lock()
	if limit > 0 && p.open[address] >= limit {
		p.mu.Unlock()
		return nil, ErrTooManyConnections
	}
	p.open[address]++
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	p.opened.Inc(1)
	conn, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.closed(address)
		return nil, err
	}
	return &Conn{pool: p, address: address, Conn: conn, reader: bufio.NewReaderSize(conn, readBufferBytes)}, nil
}

// take removes the connection that was used last from the kept ones, and closes
// those that the server may close at any moment.
func (p *Pool) take(address string) *Conn {
	p.mu.Lock()
	var expired []*Conn
	var found *Conn
	list := p.idle[address]
	now := time.Now()
	for len(list) > 0 && found == nil {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		if now.Sub(c.idleSince) < c.keepFor() {
			found = c
		} else {
			expired = append(expired, c)
		}
	}
	p.idle[address] = list
	p.mu.Unlock()
	for _, c := range expired {
		c.Discard()
	}
	return found
}

// keepFor returns how long the connection may be idle.
func (c *Conn) keepFor() time.Duration {
	if c.idleTimeout > 0 {
		return max(c.idleTimeout-idleMargin, 0)
	}
	return defaultIdle
}

func (p *Pool) put(c *Conn) {
	p.mu.Lock()
	list := p.idle[c.address]
	keep := len(list) < maxIdlePerServer
	if keep {
		c.idleSince = time.Now()
		p.idle[c.address] = append(list, c)
	}
	p.mu.Unlock()
	if !keep {
		c.Discard()
	}
}

func (p *Pool) closed(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[address]--; p.open[address] <= 0 {
		delete(p.open, address)
	}
}

// CloseExpired closes connections that were idle for too long.
func (p *Pool) CloseExpired() {
	now := time.Now()
	var expired []*Conn
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.idleSince) < c.keepFor() {
				kept = append(kept, c)
			} else {
				expired = append(expired, c)
			}
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		c.Discard()
	}
}
