package wire

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"golang.org/x/sync/singleflight"

	"github.com/monsoonworks/monsoonworks/internal/wait"
)

const (
	// minRedialBackoff is the initial mean backoff between dials of a persistent
	// address. Each backoff is random, between half of the mean and one and a half
	// times the mean.
	minRedialBackoff = 100 * time.Millisecond
	// maxRedialBackoff is the maximum mean backoff. A session that lasted longer
	// resets the backoff.
	maxRedialBackoff = 5 * time.Second
	// initialDialJitter is the maximum delay of the first dial of a persistent
	// address, so that a starting router does not dial all servers at once.
	initialDialJitter = 300 * time.Millisecond
	// keepAliveInterval keeps persistent sessions from being closed as idle: a new
	// session can use a lot only after the lot's holder has confirmed it again, which
	// an unavailable holder cannot do.
	keepAliveInterval = IdleTimeout / 2
)

// Pool manages one session per address. It is safe for concurrent use. Its mutex
// is not held while dialing.
type Pool struct {
	dial   func(ctx context.Context, address string) (*Session, error)
	ctx    context.Context
	cancel context.CancelFunc
	dials  singleflight.Group
	tasks  sync.WaitGroup

	mu         sync.Mutex
	sessions   map[string]*Session
	persistent map[string]context.CancelFunc // ends maintain for the address
}

// NewPool returns a pool that dials sessions with opts and offers services to the
// peers. The pool must be closed with Close.
func NewPool(opts Options, services Services) *Pool {
	return NewPoolWithDialer(func(ctx context.Context, address string) (*Session, error) {
		return Dial(ctx, address, opts, services)
	})
}

// NewPoolWithDialer returns a pool that opens its sessions with dial.
func NewPoolWithDialer(dial func(context.Context, string) (*Session, error)) *Pool {
	p := &Pool{dial: dial, sessions: map[string]*Session{}, persistent: map[string]context.CancelFunc{}}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

// Get returns the open session to address, and dials if there is none. Concurrent
// calls for one address share a dial. It fails with the error of the dial or of
// ctx, or with ErrClosed after Close.
func (p *Pool) Get(ctx context.Context, address string) (*Session, error) {
	if s, ok := p.Lookup(address); ok {
		return s, nil
	}
	result := p.dials.DoChan(address, func() (any, error) { return p.open(address) })
	select {
	case r := <-result:
		if r.Err != nil {
			return nil, r.Err
		}
		return r.Val.(*Session), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Lookup returns the session to address if one is open. It does not dial.
func (p *Pool) Lookup(address string) (*Session, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.sessions[address]
	if s == nil {
		return nil, false
	}
	if s.ctx.Err() != nil {
		delete(p.sessions, address)
		return nil, false
	}
	return s, true
}

func (p *Pool) open(address string) (*Session, error) {
	if s, ok := p.Lookup(address); ok {
		return s, nil
	}
	if !p.startTask() {
		return nil, ErrClosed
	}
	defer p.tasks.Done()
	ctx, cancel := context.WithTimeout(p.ctx, HandshakeTimeout)
	defer cancel()
	s, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		s.Close()
		return nil, ErrClosed
	}
	p.sessions[address] = s
	return s, nil
}

// startTask registers a dial that Close has to wait for. It returns false if the
// pool is closed.
func (p *Pool) startTask() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		return false
	}
	p.tasks.Add(1)
	return true
}

// KeepOpen sets the persistent addresses. The pool keeps a session to each of them
// open and redials after it ends. Sessions to other addresses are closed when they
// are idle.
func (p *Pool) KeepOpen(addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	wanted := make(map[string]bool, len(addresses))
	for _, address := range addresses {
		wanted[address] = true
		if p.persistent[address] != nil || p.ctx.Err() != nil {
			continue
		}
		ctx, cancel := context.WithCancel(p.ctx)
		p.persistent[address] = cancel
		p.tasks.Go(func() { p.maintain(ctx, address) })
	}
	for address, cancel := range p.persistent {
		if !wanted[address] {
			cancel()
			delete(p.persistent, address)
		}
	}
}

// maintain keeps a session to address open until ctx ends.
func (p *Pool) maintain(ctx context.Context, address string) {
	redial := backoff.ExponentialBackOff{
		InitialInterval: minRedialBackoff, MaxInterval: maxRedialBackoff,
		Multiplier: backoff.DefaultMultiplier, RandomizationFactor: backoff.DefaultRandomizationFactor,
	}
	redial.Reset()
	delay := rand.N(initialDialJitter)
	for wait.Sleep(ctx, delay) {
		s, err := p.Get(ctx, address)
		if err == nil {
			opened := time.Now()
			keepAliveUntilDone(ctx, s)
			if time.Since(opened) > maxRedialBackoff {
				redial.Reset()
			}
		}
		delay = redial.NextBackOff()
	}
}

// keepAliveUntilDone keeps a session alive until the session or ctx ends.
func keepAliveUntilDone(ctx context.Context, s *Session) {
	ticker := time.NewTicker(keepAliveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.Done():
			return
		case <-ticker.C:
			s.KeepAlive()
		}
	}
}

// Close closes all sessions and waits for the pool's goroutines to end.
func (p *Pool) Close() {
	p.mu.Lock()
	p.cancel()
	for _, s := range p.sessions {
		s.Close()
	}
	clear(p.sessions)
	p.mu.Unlock()
	p.tasks.Wait()
}
