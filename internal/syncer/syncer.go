// Package syncer distributes the configuration, the holder records and the host
// list. A few routers, the relays, watch the store and poll the host list; all
// other nodes hold long polls at relays. The package knows no more about entries
// than which snapshot they belong to.
package syncer

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/config"
	"github.com/monsoonworks/monsoonworks/internal/hosts"
	"github.com/monsoonworks/monsoonworks/internal/store"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// Prefix is the prefix of all keys that are distributed.
const Prefix = "/mw/sync/"

// Times of the distribution.
const (
	// MaxPollWait is how long a relay holds a poll without news. Changes and the loss
	// of the relay's contact end the poll at once, so it needs not be short.
	MaxPollWait = 10 * time.Second
	// exploreHold is the hold of a poll at a relay without contact with the
	// store, while the node looks for a better one.
	exploreHold = time.Second
	// pollGrace is how much longer than the hold a poll may take.
	pollGrace = 2 * time.Second
	// contactLimit is the age from which on contact with the store counts as
	// lost. Progress notices of a watch arrive every second.
	contactLimit = 3 * time.Second
	// hostsInterval is how often a relay reads the host list.
	hostsInterval = 2 * time.Second
	// hostsFallbackAge is the age of the host list from which on a node that is
	// no relay reads it itself.
	hostsFallbackAge = 15 * time.Second
	// storeTimeout bounds a read of the whole prefix.
	storeTimeout = 3 * time.Second
)

// RPCClient calls methods of a peer. *wire.Session is one.
type RPCClient interface {
	Call(ctx context.Context, method string, args, reply any) error
}

// Store is the part of the key-value service that a Syncer uses.
type Store interface {
	store.KV
	store.Watcher
}

// Options configure a Syncer.
type Options struct {
	// Self is this node; name, role, region and domain must be set.
	Self hosts.Host
	// Store is the key-value service.
	Store Store
	// HostsURL is where the host list is read.
	HostsURL string
	// HostsTransport replaces the HTTP transport for the host list.
	HostsTransport http.RoundTripper
	// Dial returns a session with a peer. It is called before each poll and
	// should return an open session if there is one.
	Dial func(ctx context.Context, address string) (RPCClient, error)
	// KeyPatterns limits the keys that an agent holds; see wire.SyncPollArgs. The
	// configuration's head must be among them if any configuration is. A router
	// holds all keys, because it may become a relay.
	KeyPatterns []string
	Logger      *slog.Logger
	// Metrics is the registry of the counters; nil means the default one.
	Metrics metrics.Registry
}

// Status tells how far a node's view can be trusted.
type Status struct {
	// Synced is set once the node has heard from the store, or from a relay
	// in contact with the store, since it started.
	Synced bool
	// LastContactAge is how old the last such contact is, -1 without any.
	LastContactAge time.Duration
	// Revision is the store revision up to which the view is complete.
	Revision int64
	// Version is the version of the configuration in force.
	Version int64
	// Distributor is set while this node is a relay.
	Distributor bool
}

// Syncer keeps a node's view of the configuration, the holder records and the
// host list up to date. It is safe for concurrent use.
type Syncer struct {
	opts       Options
	log        *slog.Logger
	hostClient *hosts.Client
	counters   counters
	peers      peers

	config atomic.Pointer[config.Snapshot]
	hosts  atomic.Pointer[hosts.List]

	started chan struct{}
	waiting atomic.Int64 // polls held for followers

	// mu guards all fields below.
	mu           sync.RWMutex
	table        *table
	pending      []store.Event // configuration entries that are not published yet
	pendingHead  bool          // their head is among them
	holders      map[budget.Account]config.HolderRecord
	hostState    hostState
	plan         plan
	unverified   bool      // a deletion may have been missed; no configuration is published
	wantFull     bool      // the whole state is needed to find out
	lastList     time.Time // last successful read of the whole prefix
	storeContact time.Time // last direct contact with the store
	relayContact time.Time // last contact of a relay with the store
	inContact    bool      // as last told to followers
	stopped      bool
	changed      chan struct{} // closed at the next change of the view
	wake         chan struct{} // closed when held polls have something to check
}

// counters are the metrics of a Syncer.
type counters struct {
	polls, pollFailures, servedPolls, storeReads, entryErrors, fullAnswers metrics.Counter
}

func newCounters(r metrics.Registry) counters {
	if r == nil {
		r = metrics.DefaultRegistry
	}
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("monsoon.sync."+name, r)
	}
	return counters{
		polls: counter("polls"), pollFailures: counter("failed-polls"), servedPolls: counter("served-polls"),
		storeReads: counter("store-reads"), entryErrors: counter("entry-errors"), fullAnswers: counter("full-answers"),
	}
}

// ErrOptions means that required options are missing.
var ErrOptions = errors.New("syncer: name, role, region, domain, store, host list and dial function must be set")

// New returns a Syncer with an empty view. Run fills it.
func New(opts Options) (*Syncer, error) {
	self := opts.Self
	if self.Name == "" || self.Role == "" || self.Region == "" || self.Domain == "" ||
		opts.Store == nil || opts.HostsURL == "" || opts.Dial == nil {
		return nil, ErrOptions
	}
	if opts.Logger == nil {
		opts.Logger = slog.Default()
	}
	if self.Role == wire.RoleRouter {
		opts.KeyPatterns = nil
	}
	s := &Syncer{
		opts:       opts,
		peers:      peers{region: self.Region},
		log:        opts.Logger.With("module", "syncer"),
		hostClient: hosts.NewClient(opts.HostsURL, opts.HostsTransport),
		counters:   newCounters(opts.Metrics),
		started:    make(chan struct{}),
		table:      newTable(opts.KeyPatterns),
		holders:    make(map[budget.Account]config.HolderRecord),
		changed:    make(chan struct{}),
		wake:       make(chan struct{}),
	}
	s.config.Store(config.Empty())
	s.hosts.Store(hosts.NewList(nil))
	return s, nil
}

// Run keeps the view up to date until ctx ends. It may be called once.
func (s *Syncer) Run(ctx context.Context) error {
	defer s.stop()
	s.start(ctx)
	close(s.started)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.runRelay(ctx) })
	g.Go(func() error { return s.runHosts(ctx) })
	g.Go(func() error { return s.runContact(ctx) })
	g.Go(func() error { return s.runFallback(ctx) })
	for i := range followerSlots {
		g.Go(func() error { return s.runSlot(ctx, i) })
	}
	return g.Wait()
}

// start reads the host list and the store once. If the store is down it asks all
// relays, so that an older state at one of them does not hide a newer one.
func (s *Syncer) start(ctx context.Context) {
	s.fetchHosts(ctx)
	if err := s.readStore(ctx); err != nil {
		s.log.Warn("store not readable at start, asking all relays", "error", err)
		s.askAll(ctx)
	}
}

// Started is closed when the first attempt to fill the view has ended.
func (s *Syncer) Started() <-chan struct{} { return s.started }

// Config returns the configuration in force. It is never nil.
func (s *Syncer) Config() *config.Snapshot { return s.config.Load() }

// Hosts returns the host list. It is never nil.
func (s *Syncer) Hosts() *hosts.List { return s.hosts.Load() }

// Holder returns the holder record of an account.
func (s *Syncer) Holder(account budget.Account) (config.HolderRecord, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	record, ok := s.holders[account]
	return record, ok
}

// Changed returns a channel that is closed at the next change of the
// configuration, the host list or a holder record.
func (s *Syncer) Changed() <-chan struct{} {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.changed
}

// Status returns how far the view can be trusted.
func (s *Syncer) Status() Status {
	s.mu.RLock()
	defer s.mu.RUnlock()
	status := Status{
		LastContactAge: -1, Revision: s.table.revision, Version: s.Config().Version, Distributor: s.plan.relay,
	}
	contact := s.storeContact
	if s.relayContact.After(contact) {
		contact = s.relayContact
	}
	if !contact.IsZero() {
		status.Synced, status.LastContactAge = true, time.Since(contact)
	}
	return status
}

// stop releases the polls that are held for followers.
func (s *Syncer) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	s.wakePolls()
}

// wakePolls makes held polls check for news. The caller holds mu.
func (s *Syncer) wakePolls() {
	close(s.wake)
	s.wake = make(chan struct{})
}

// notify tells the users of the view and the held polls that it has changed. The
// caller holds mu.
func (s *Syncer) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
	s.wakePolls()
}
