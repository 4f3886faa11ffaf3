package engine

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// stream keeps the tokens of one request for its readers.
type stream struct {
	req       Request
	tokens    []Token
	done      bool
	canceled  bool
	readers   int
	idleSince time.Time // when the last reader left, or when it finished
	notify    chan struct{}
}

// Engine drives a Core in real time. It is safe for concurrent use.
//
// Lock order: ordersMu, then mu.
type Engine struct {
	cfg  Config
	boot time.Time

	mu       sync.Mutex
	core     *Core
	streams  map[string]*stream
	stepping bool
	down     bool
	restarts int
	// generation is closed when the engine crashes.
	generation chan struct{}
	load       Load
	loadAt     time.Time

	ordersMu sync.Mutex
	orders   orderState
}

// New returns an engine that runs as soon as it gets requests.
func New(cfg Config) *Engine {
	cfg = cfg.withDefaults()
	return &Engine{
		cfg: cfg, core: NewCore(cfg), boot: time.Now(),
		streams: make(map[string]*stream), generation: make(chan struct{}),
	}
}

// Runs returns the ground-truth log.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.Runs()
}

// Restarts returns how often the engine has crashed.
func (e *Engine) Restarts() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.restarts
}

// Crash ends the engine's process as a fault would: all connections close, the
// state is lost, and it comes back after the restart time.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashLocked()
}

func (e *Engine) crashLocked() {
	if e.down {
		return
	}
	e.core.Crash(time.Now())
	e.down = true
	e.restarts++
	e.streams = make(map[string]*stream)
	close(e.generation)
	time.AfterFunc(e.cfg.RestartTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.down = false
		e.boot = time.Now()
		e.generation = make(chan struct{})
	})
}

// alive returns the channel that closes at the next crash, and whether the
// engine runs.
func (e *Engine) alive() (<-chan struct{}, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.generation, !e.down
}

// Submit queues a request as POST does. Its tokens are read with follow.
func (e *Engine) Submit(req Request) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams[req.ID] != nil {
		return ErrDuplicate
	}
	if err := e.core.Submit(time.Now(), req); err != nil {
		return err
	}
	e.sweepLocked(time.Now())
	e.streams[req.ID] = &stream{req: req, notify: make(chan struct{}), idleSince: time.Now()}
	if !e.stepping {
		e.stepping = true
		go e.stepLoop()
	}
	return nil
}

// stepLoop runs steps until there is nothing to do.
func (e *Engine) stepLoop() {
	for {
		e.mu.Lock()
		now := time.Now()
		end, busy := e.core.Begin(now)
		if !busy {
			e.stepping = false
			e.mu.Unlock()
			return
		}
		e.mu.Unlock()
		time.Sleep(end.Sub(now))
		e.endStep()
	}
}

func (e *Engine) endStep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	tokens, crashed := e.core.End(now)
	if crashed {
		e.crashLocked()
		return
	}
	for _, t := range tokens {
		s := e.streams[t.ID]
		if s == nil {
			continue
		}
		s.tokens = append(s.tokens, t)
		if t.Finish != "" {
			s.done, s.idleSince = true, now
		}
		s.wake()
	}
	e.sweepLocked(now)
}

func (s *stream) wake() {
	close(s.notify)
	s.notify = make(chan struct{})
}

// sweepLocked cancels streams that nobody reads and forgets finished ones.
func (e *Engine) sweepLocked(now time.Time) {
	for id, s := range e.streams {
		idle := now.Sub(s.idleSince)
		switch {
		case s.readers > 0:
		case s.done && idle > e.cfg.Retain:
			delete(e.streams, id)
		case !s.done && idle > e.cfg.DetachGrace:
			e.core.Cancel(now, id)
			delete(e.streams, id)
		}
	}
}

// Cancel stops a request and returns its usage. It reports false if the engine
// does not know the request.
func (e *Engine) Cancel(id string) (Usage, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.streams[id]
	if s == nil {
		return Usage{}, false
	}
	usage, running := e.core.Cancel(time.Now(), id)
	if !running && len(s.tokens) > 0 {
		usage = s.tokens[len(s.tokens)-1].Usage
	}
	s.done, s.canceled = true, s.canceled || running
	s.idleSince = time.Now()
	s.wake()
	return usage, true
}

// attach adds a reader to a stream; detach removes it.
func (e *Engine) attach(id string) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.streams[id]
	if s != nil {
		s.readers++
	}
	return s
}

func (e *Engine) detach(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers--
	s.idleSince = time.Now()
}

// next returns the tokens from index on, whether the stream has ended, and a
// channel that closes at the next change.
func (e *Engine) next(s *stream, index int) (tokens []Token, done, canceled bool, changed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if index < len(s.tokens) {
		tokens = s.tokens[index:len(s.tokens):len(s.tokens)]
	}
	return tokens, s.done, s.canceled, s.notify
}

// laggingLoad returns a load figure that may be as old as the configured lag.
func (e *Engine) laggingLoad() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now := time.Now(); e.loadAt.IsZero() || now.Sub(e.loadAt) >= e.cfg.LoadLag {
		e.load, e.loadAt = e.core.Load(), now
	}
	return e.load
}

// Serve offers the engine on a TCP address until ctx ends. A crash closes the
// listener and all connections; the same address listens again after the restart
// time. ready, if not nil, receives the address once.
func (e *Engine) Serve(ctx context.Context, address string, ready chan<- net.Addr) error {
	for {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		address = listener.Addr().String()
		if ready != nil {
			ready <- listener.Addr()
			ready = nil
		}
		crashed, _ := e.alive()
		server := &http.Server{Handler: e.Handler(), ReadHeaderTimeout: time.Minute}
		result := make(chan error, 1)
		go func() { result <- server.Serve(listener) }()
		select {
		case <-ctx.Done():
			_ = server.Close()
			return ctx.Err()
		case err := <-result:
			if !errors.Is(err, http.ErrServerClosed) {
				return err
			}
		case <-crashed:
			_ = server.Close()
		}
		if !e.waitRestart(ctx) {
			return ctx.Err()
		}
	}
}

// waitRestart waits until the engine is back. It reports false if ctx ended.
func (e *Engine) waitRestart(ctx context.Context) bool {
	const poll = 10 * time.Millisecond
	for {
		if _, up := e.alive(); up {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(poll):
		}
	}
}

// bootID changes with each restart.
func (e *Engine) bootID() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cfg.Name + "-" + strconv.FormatInt(e.boot.UnixNano(), 36) + "-" + strconv.Itoa(e.restarts)
}
