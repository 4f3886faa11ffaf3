package upstream

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// dialTimeout limits the opening of a connection. Reachable servers, also those
	// in other regions, accept well within this time; unreachable ones never do.
	dialTimeout = 250 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept if the server does
	// not announce its idle timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the server's idle timeout, so that a request is
	// not sent while the server closes the connection.
	idleMargin = 700 * time.Millisecond
	// maxIdlePerServer limits the idle connections per server.
	maxIdlePerServer = 24
)

// ErrTooManyConnections means that the gate has reached its limit of connections to
// the server. Nothing was sent.
var ErrTooManyConnections = errors.New("too many connections to the server")

// Dialer opens connections. net.Dialer implements it.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Pool holds connections to backend servers. It is safe for concurrent use. No
// other lock is acquired while its mutex is held.
type Pool struct {
	dialer Dialer
	opened metrics.Counter
	reused metrics.Counter
	stale  metrics.Counter

	mu   sync.Mutex
	idle map[string][]*Conn // by address, most recently used last
	open map[string]int     // number of connections by address, including those being opened
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

// Get returns an idle connection to the server, or opens one. limit is the maximum
// number of open connections to the server, 0 for no limit. If Get fails, nothing
// was sent.
func (p *Pool) Get(ctx context.Context, address string, limit int) (*Conn, error) {
	for {
		c := p.popIdle(address)
		if c == nil {
			break
		}
		if c.reusable() {
			p.reused.Inc(1)
			c.reused = true
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
		p.connClosed(address)
		return nil, err
	}
	return newConn(p, address, conn), nil
}

// Listening reports whether a server accepts a connection, false only if it refuses: a server that
// cannot be reached may be alive. The connection is kept for later requests.
func (p *Pool) Listening(ctx context.Context, address string) bool {
	c, err := p.dial(ctx, address, 0)
	if err != nil {
		return !errors.Is(err, syscall.ECONNREFUSED)
	}
	p.putIdle(c)
	return true
}

// popIdle removes and returns the idle connection that was used last, nil if there
// is none. It closes connections past their idle time.
func (p *Pool) popIdle(address string) *Conn {
	p.mu.Lock()
	var expired []*Conn
	var found *Conn
	idle := p.idle[address]
	now := time.Now()
	for len(idle) > 0 && found == nil {
		c := idle[len(idle)-1]
		idle = idle[:len(idle)-1]
		if now.Sub(c.idleSince) < c.maxIdleTime() {
			found = c
		} else {
			expired = append(expired, c)
		}
	}
	p.idle[address] = idle
	p.mu.Unlock()
	for _, c := range expired {
		c.Discard()
	}
	return found
}

// maxIdleTime returns how long the connection may stay idle.
func (c *Conn) maxIdleTime() time.Duration {
	if c.idleTimeout > 0 {
		return max(c.idleTimeout-idleMargin, 0)
	}
	return defaultIdleTimeout
}

func (p *Pool) putIdle(c *Conn) {
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

// connClosed subtracts a connection that was closed or could not be opened from the
// number of open ones.
func (p *Pool) connClosed(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[address]--; p.open[address] <= 0 {
		delete(p.open, address)
	}
}

// CloseExpired closes the idle connections that are past their idle time, that the server
// has closed, or on which it has sent bytes without a request.
func (p *Pool) CloseExpired() {
	now := time.Now()
	var expired []*Conn
	p.mu.Lock()
	for address, list := range p.idle {
		remaining := list[:0]
		for _, c := range list {
			if now.Sub(c.idleSince) < c.maxIdleTime() && c.reusable() {
				remaining = append(remaining, c)
			} else {
				expired = append(expired, c)
			}
		}
		p.idle[address] = remaining
		if len(remaining) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		c.Discard()
	}
}
