package wire

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"golang.org/x/sync/singleflight"
)

// Times of a pool.
const (
	// redialMin and redialMax bound the mean pause between attempts to reach a
	// kept address; each pause varies by half of it.
	redialMin = 100 * time.Millisecond
	redialMax = 5 * time.Second
	// startSpread spreads the first dials to kept addresses, so that a starting
	// router does not reach all servers at the same moment.
	startSpread = 300 * time.Millisecond
	// touchInterval keeps a kept session from being closed as idle: a new session
	// would need a renewed lot, which a holder that is down cannot give.
	touchInterval = IdleTimeout / 2
)

// Pool holds one session per address. It is safe for concurrent use. Its mutex
// is held for map accesses only, never while dialing.
type Pool struct {
	dial   func(ctx context.Context, address string) (*Session, error)
	ctx    context.Context
	cancel context.CancelFunc
	flight singleflight.Group
	tasks  sync.WaitGroup

	mu       sync.Mutex
	sessions map[string]*Session
	kept     map[string]context.CancelFunc
}

// NewPool returns a pool whose sessions introduce this process with opts and
// offer services to their peers. Close releases it.
func NewPool(opts Options, services Services) *Pool {
	return NewPoolWithDialer(func(ctx context.Context, address string) (*Session, error) {
		return Dial(ctx, address, opts, services)
	})
}

// NewPoolWithDialer returns a pool that opens its sessions with dial.
func NewPoolWithDialer(dial func(context.Context, string) (*Session, error)) *Pool {
	p := &Pool{dial: dial, sessions: map[string]*Session{}, kept: map[string]context.CancelFunc{}}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

// Get returns the open session to address, and dials if there is none. Callers
// that ask at the same time share one dial. It fails with the dial's error or
// that of ctx.
func (p *Pool) Get(ctx context.Context, address string) (*Session, error) {
	if s, ok := p.Lookup(address); ok {
		return s, nil
	}
	result := p.flight.DoChan(address, func() (any, error) { return p.open(address) })
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

// Lookup returns the session to address if one is open now. It never dials.
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
	if !p.begin() {
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

// begin counts a dial for Close to wait for. It reports false once the pool is
// closed.
func (p *Pool) begin() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		return false
	}
	p.tasks.Add(1)
	return true
}

// KeepOpen makes the pool hold sessions to exactly these addresses open, and redial
// them after a loss. Sessions to other addresses stay until they are idle.
func (p *Pool) KeepOpen(addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	wanted := make(map[string]bool, len(addresses))
	for _, address := range addresses {
		wanted[address] = true
		if p.kept[address] != nil || p.ctx.Err() != nil {
			continue
		}
		ctx, cancel := context.WithCancel(p.ctx)
		p.kept[address] = cancel
		p.tasks.Go(func() { p.keep(ctx, address) })
	}
	for address, cancel := range p.kept {
		if !wanted[address] {
			cancel()
			delete(p.kept, address)
		}
	}
}

// keep holds the session to one address open until ctx ends.
func (p *Pool) keep(ctx context.Context, address string) {
	pause := backoff.ExponentialBackOff{
		InitialInterval: redialMin, MaxInterval: redialMax,
		Multiplier: backoff.DefaultMultiplier, RandomizationFactor: backoff.DefaultRandomizationFactor,
	}
	pause.Reset()
	wait := rand.N(startSpread)
	for sleep(ctx, wait) {
		s, err := p.Get(ctx, address)
		if err == nil {
			opened := time.Now()
			hold(ctx, s)
			if time.Since(opened) > redialMax {
				pause.Reset()
			}
		}
		wait = pause.NextBackOff()
	}
}

// hold touches a session now and then until it or ctx ends.
func hold(ctx context.Context, s *Session) {
	ticker := time.NewTicker(touchInterval)
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

// sleep waits and reports whether ctx is still valid.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Close ends all sessions and waits for the pool's goroutines.
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
