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

// stream buffers the tokens of one request for its readers.
type stream struct {
	req      Request
	tokens   []Token
	done     bool
	canceled bool
	readers  int
	// idleSince is the last time at which a reader detached or the stream ended, at
	// first the time of its creation.
	idleSince time.Time
	changed   chan struct{} // closed and replaced when tokens are added or the stream ends
}

// Engine drives a Core in real time. It is safe for concurrent use.
//
// Lock order: commandsMu, then mu.
type Engine struct {
	cfg  Config
	boot time.Time

	mu       sync.Mutex
	core     *Core
	streams  map[string]*stream
	stepping bool
	down     bool
	crashes  int
	// crashed is closed at the next crash and replaced after the restart.
	crashed chan struct{}
	load    Load // the last load report, computed at loadAt
	loadAt  time.Time

	commandsMu sync.Mutex
	commands   commandState
}

// New returns an idle engine. Submit starts its step loop.
func New(cfg Config) *Engine {
	cfg = cfg.withDefaults()
	return &Engine{
		cfg: cfg, core: NewCore(cfg), boot: time.Now(),
		streams: make(map[string]*stream), crashed: make(chan struct{}),
	}
}

// Requests returns the ground-truth log of requests.
func (e *Engine) Requests() []RequestRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.Requests()
}

// Crashes returns the number of crashes so far.
func (e *Engine) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}

// Crash simulates a crash of the engine process: all connections are closed, the
// state is lost, and the engine restarts after Config.RestartTime.
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
	e.crashes++
	e.streams = make(map[string]*stream)
	close(e.crashed)
	time.AfterFunc(e.cfg.RestartTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.down = false
		e.boot = time.Now()
		e.crashed = make(chan struct{})
	})
}

// alive returns the channel that is closed at the next crash, and whether the
// engine is up.
func (e *Engine) alive() (<-chan struct{}, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashed, !e.down
}

// ErrDown means that the engine is down after a crash.
var ErrDown = errors.New("the engine is down")

// Submit queues a request, as the completions endpoints do. The tokens can be read
// from the request's stream. It returns ErrDown, ErrNoModel, ErrTooLarge, or
// ErrDuplicate if the ID is that of a request whose stream exists.
func (e *Engine) Submit(req Request) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return ErrDown
	}
	if e.streams[req.ID] != nil {
		return ErrDuplicate
	}
	if err := e.core.Submit(time.Now(), req); err != nil {
		return err
	}
	e.sweepLocked(time.Now())
	e.streams[req.ID] = &stream{req: req, changed: make(chan struct{}), idleSince: time.Now()}
	if !e.stepping {
		e.stepping = true
		go e.stepLoop()
	}
	return nil
}

// stepLoop runs steps until the core is idle.
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
		s.notifyReaders()
	}
	e.sweepLocked(now)
}

func (s *stream) notifyReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// sweepLocked cancels running streams that have had no reader for DetachGrace and
// removes finished ones after Retain.
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

// Cancel stops a request and returns its usage. It returns false if the engine has
// no stream of the request.
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
	s.notifyReaders()
	return usage, true
}

// attach adds a reader to a stream and returns the stream, or nil if there is none. The
// reader must call detach.
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

// next returns the tokens from index on, whether the stream has ended or was
// canceled, and a channel that is closed at its next change.
func (e *Engine) next(s *stream, index int) (tokens []Token, done, canceled bool, changed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if index < len(s.tokens) {
		tokens = s.tokens[index:len(s.tokens):len(s.tokens)]
	}
	return tokens, s.done, s.canceled, s.changed
}

// cachedLoad returns a load report that is up to Config.LoadLag old.
func (e *Engine) cachedLoad() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now := time.Now(); e.loadAt.IsZero() || now.Sub(e.loadAt) >= e.cfg.LoadLag {
		e.load, e.loadAt = e.core.Load(), now
	}
	return e.load
}

// Serve serves the engine on a TCP address until ctx ends. A crash closes the
// listener and all connections; the engine listens on the same address again after
// the restart. ready, if not nil, receives the address once.
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

// waitRestart waits until the engine is up again. It returns false if ctx ended.
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

// bootID returns an ID that changes with each restart.
func (e *Engine) bootID() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cfg.Name + "-" + strconv.FormatInt(e.boot.UnixNano(), 36) + "-" + strconv.Itoa(e.crashes)
}
