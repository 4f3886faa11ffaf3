package watchcache

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/monsoonworks/monsoonworks/internal/bootclock"
	"github.com/monsoonworks/monsoonworks/internal/relay"
	"github.com/monsoonworks/monsoonworks/internal/store"
)

// ServerOptions configure a Server.
type ServerOptions struct {
	// Prefixes are the prefixes that gates may watch.
	Prefixes []string
	// Store is the store. It should hold long polls open for PollWait.
	Store relay.PollingStore
	// Clock is the clock of the host. It must include suspension, or a process that was suspended
	// would take its entries for newer than they are.
	Clock   bootclock.Clock
	Log     *slog.Logger
	Metrics metrics.Registry
}

// Server watches the store on behalf of gates while they ask. Its methods Next and List are the
// RPCs that gates call.
type Server struct {
	opts  ServerOptions
	feeds map[string]*feed
	calls metrics.Counter
	gates gateSet
	// ctx ends the calls in progress, at the latest when the server drains.
	ctx  context.Context
	stop context.CancelCauseFunc
}

// NewServer returns a server. Calls in progress are canceled when ctx ends.
func NewServer(ctx context.Context, o ServerOptions) *Server {
	s := &Server{
		opts: o, feeds: make(map[string]*feed, len(o.Prefixes)),
		calls: metrics.GetOrRegisterCounter("monsoon.watchcache.calls", o.Metrics),
	}
	s.ctx, s.stop = context.WithCancelCause(ctx)
	for _, prefix := range o.Prefixes {
		s.feeds[prefix] = newFeed(prefix, o)
	}
	return s
}

// Run watches the store until ctx ends. It returns nil.
func (s *Server) Run(ctx context.Context) error {
	var group errgroup.Group
	for _, f := range s.feeds {
		group.Go(func() error {
			f.run(ctx)
			return nil
		})
	}
	return group.Wait()
}

// Drain makes all calls fail, so that gates ask another server.
func (s *Server) Drain() { s.stop(errStopping) }

// Next implements the RPC that waits for changes.
func (s *Server) Next(args *NextArgs, reply *NextReply) (err error) {
	defer relay.RecoverCall(s.opts.Log, "watch next", &err)
	f, err := s.feedFor(args.Gate, args.Prefix, args.Revision)
	if err != nil {
		return err
	}
	reply.Alone = s.gates.join(args.Gate, time.Now()) < minGates
	defer func() { reply.Gates = s.gates.known(time.Now()) }()
	if reply.Alone {
		return nil
	}
	batch, age := f.next(s.ctx, args.Revision)
	reply.Age, reply.Failure = age, relay.NewFailure(batch.Err)
	if batch.Err == nil {
		reply.Events, reply.Revision = batch.Events, batch.Revision
	}
	return nil
}

// List implements the RPC that returns all entries.
func (s *Server) List(args *ListArgs, reply *ListReply) (err error) {
	defer relay.RecoverCall(s.opts.Log, "watch list", &err)
	f, err := s.feedFor(args.Gate, args.Prefix, 0)
	if err != nil {
		return err
	}
	reply.Alone = s.gates.join(args.Gate, time.Now()) < minGates
	defer func() { reply.Gates = s.gates.known(time.Now()) }()
	if reply.Alone {
		return nil
	}
	snapshot, age, err := f.list(s.ctx)
	reply.Age, reply.Failure = age, relay.NewFailure(err)
	if err == nil {
		reply.Snapshot = snapshot
	}
	return nil
}

// gateSet holds the gates that have called lately. It is safe for concurrent use. No other lock is
// acquired while its mutex is held.
type gateSet struct {
	mu     sync.Mutex
	lastAt map[string]time.Time
	// since is when the first gate joined that found no other.
	since time.Time
}

// join adds a gate and returns the number of gates.
func (g *gateSet) join(gate string, now time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lastAt == nil {
		g.lastAt = make(map[string]time.Time)
	}
	g.removeOld(now)
	if len(g.lastAt) == 0 {
		g.since = now
	}
	if _, ok := g.lastAt[gate]; ok || len(g.lastAt) < maxGates {
		g.lastAt[gate] = now
	}
	return len(g.lastAt)
}

// known returns the number of gates, 0 if some may not have called yet: those that called another
// server before do so within gateTTL of the first.
func (g *gateSet) known(now time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.removeOld(now)
	if now.Sub(g.since) < gateTTL {
		return 0
	}
	return len(g.lastAt)
}

// removeOld removes the gates that have not called lately. The caller holds g.mu.
func (g *gateSet) removeOld(now time.Time) {
	for name, at := range g.lastAt {
		if now.Sub(at) >= gateTTL {
			delete(g.lastAt, name)
		}
	}
}

// feedFor returns the feed of a prefix. It fails if the call could not have come from a gate that
// works, or if the server is draining.
func (s *Server) feedFor(gate, prefix string, revision int64) (*feed, error) {
	s.calls.Inc(1)
	f := s.feeds[prefix]
	if f == nil || gate == "" || len(gate) > maxNameBytes || revision < 0 {
		s.opts.Log.Warn("malformed watch call refused", "gate", gate, "prefix", prefix, "revision", revision)
		return nil, errInvalidCall
	}
	if s.ctx.Err() != nil {
		return nil, errors.Join(store.ErrUnavailable, context.Cause(s.ctx))
	}
	return f, nil
}
