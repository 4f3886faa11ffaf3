// Package syncer distributes the configuration, the holder records and the host
// list to all nodes, that is to routers and agents, which read them through a
// Syncer.
//
// A few routers, the distributors, watch the store and read the host list. All
// other nodes are followers: they send long polls to distributors, and read the
// store directly only when they start and while no distributor that they poll is
// connected to it. The package does not interpret configuration entries; it only
// ensures that the entries of one change become visible together.
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

// Prefix is the prefix of the store keys that Syncers distribute.
const Prefix = "/mw/sync/"

const (
	// MaxPollWait is the wait that followers request: how long a distributor waits for
	// a change before it replies to a poll. It can be long, because the distributor
	// replies at once after a change or when its connection to the store is lost.
	MaxPollWait = 10 * time.Second
	// staleMaxPollWait is the wait of a poll at a distributor that is not connected to
	// the store, by a poller that searches for a connected one; see
	// distributorTable.pick.
	staleMaxPollWait = time.Second
	// pollGrace is the time that a poll may take beyond its wait.
	pollGrace = 2 * time.Second
	// maxContactAge is the age of the last contact above which a node is no longer
	// connected to the store. Progress notifications of a watch arrive every second.
	maxContactAge = 3 * time.Second
	// hostsReadInterval is the mean interval at which a distributor reads the host
	// list.
	hostsReadInterval = 2 * time.Second
	// hostsFallbackAge is the age of the host list above which a follower reads it
	// from the platform. Each follower uses a random age between this and twice
	// this.
	hostsFallbackAge = 15 * time.Second
	// readTimeout is the timeout of a read of all keys from the store, and of a read
	// of the host list from the platform.
	readTimeout = 3 * time.Second
)

// RPCClient calls RPC methods of a peer. *wire.Session implements it.
type RPCClient interface {
	Call(ctx context.Context, method string, args, reply any) error
}

// Store is the part of the platform's store that a Syncer uses.
type Store interface {
	store.KV
	store.Watcher
}

// Options configure a Syncer.
type Options struct {
	// Self is this node. Its name, role, region and domain must be set.
	Self hosts.Host
	// Store is the platform's store.
	Store Store
	// HostsURL is the URL of the host list.
	HostsURL string
	// HostsTransport is the HTTP transport for the host list; nil means the default
	// one.
	HostsTransport http.RoundTripper
	// Dial returns a client of a peer. It is called before each poll and should
	// reuse an open session.
	Dial func(ctx context.Context, address string) (RPCClient, error)
	// KeyPatterns limits the keys that an agent replicates; see wire.SyncPollArgs. If
	// they match any configuration key, they must match the configuration's head. A
	// router ignores them and replicates all keys, because it can become a
	// distributor.
	KeyPatterns []string
	Logger      *slog.Logger
	// Metrics is the registry of the counters; nil means metrics.DefaultRegistry.
	Metrics metrics.Registry
}

// Status describes how current a node's view is.
type Status struct {
	// Synced is set once the node has had contact with the store since it started,
	// directly or through a distributor.
	Synced bool
	// LastContactAge is the age of the last such contact, -1 if there was none.
	LastContactAge time.Duration
	// Revision is the store revision up to which the view is complete.
	Revision int64
	// Version is the version of the configuration in force.
	Version int64
	// Distributor is set while this node is a distributor.
	Distributor bool
}

// Syncer maintains a node's view of the configuration, the holder records and the
// host list. It is safe for concurrent use.
type Syncer struct {
	opts         Options
	log          *slog.Logger
	hostClient   *hosts.Client
	counters     counters
	distributors distributorTable

	config atomic.Pointer[config.Snapshot]
	hosts  atomic.Pointer[hosts.List]

	started      chan struct{}
	pendingPolls atomic.Int64 // polls of followers in progress

	// mu guards all fields below.
	mu                  sync.RWMutex
	table               *table
	unpublished         []store.Event // configuration entries not published yet
	unpublishedHead     bool          // set if unpublished contains their head
	holders             map[budget.Account]config.HolderRecord
	hostState           hostState
	topology            topology
	unverified          bool      // a deletion may be missing; no configuration is published
	needSnapshot        bool      // the next poll requests a snapshot
	lastSnapshot        time.Time // time of the last snapshot read from the store
	lastDirectContact   time.Time // time of the last direct contact with the store
	lastIndirectContact time.Time // time of a distributor's last contact with the store
	connected           bool      // connected to the store when last checked
	stopped             bool
	changed             chan struct{} // closed at the next change of the view
	wake                chan struct{} // closed when pending polls have to check for changes
}

// counters are the metrics of a Syncer.
type counters struct {
	polls, pollFailures, servedPolls, storeReads, entryErrors, snapshotReplies metrics.Counter
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
		storeReads: counter("store-reads"), entryErrors: counter("entry-errors"), snapshotReplies: counter("full-answers"),
	}
}

// ErrMissingOptions means that required options are missing.
var ErrMissingOptions = errors.New("syncer: name, role, region, domain, store, host list and dial function must be set")

// New returns a Syncer with an empty view, which Run fills. It fails with
// ErrMissingOptions.
func New(opts Options) (*Syncer, error) {
	self := opts.Self
	if self.Name == "" || self.Role == "" || self.Region == "" || self.Domain == "" ||
		opts.Store == nil || opts.HostsURL == "" || opts.Dial == nil {
		return nil, ErrMissingOptions
	}
	if opts.Logger == nil {
		opts.Logger = slog.Default()
	}
	if self.Role == wire.RoleRouter {
		opts.KeyPatterns = nil
	}
	s := &Syncer{
		opts:         opts,
		distributors: distributorTable{region: self.Region},
		log:          opts.Logger.With("module", "syncer"),
		hostClient:   hosts.NewClient(opts.HostsURL, opts.HostsTransport),
		counters:     newCounters(opts.Metrics),
		started:      make(chan struct{}),
		table:        newTable(opts.KeyPatterns),
		holders:      make(map[budget.Account]config.HolderRecord),
		changed:      make(chan struct{}),
		wake:         make(chan struct{}),
	}
	s.config.Store(config.Empty())
	s.hosts.Store(hosts.NewList(nil))
	return s, nil
}

// Run keeps the view up to date until ctx ends. It must be called only once.
func (s *Syncer) Run(ctx context.Context) error {
	defer s.stop()
	s.initialSync(ctx)
	close(s.started)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.runDistributor(ctx) })
	g.Go(func() error { return s.runHosts(ctx) })
	g.Go(func() error { return s.runContactCheck(ctx) })
	g.Go(func() error { return s.runFallback(ctx) })
	for i := range pollerCount {
		g.Go(func() error { return s.runPoller(ctx, i) })
	}
	return g.Wait()
}

// initialSync reads the host list and the store once. If the store is unavailable,
// it polls all distributors, because a single one can be stale.
func (s *Syncer) initialSync(ctx context.Context) {
	s.fetchHosts(ctx)
	if err := s.readStore(ctx); err != nil {
		s.log.Warn("store unavailable at start, polling all distributors", "error", err)
		s.pollAll(ctx)
	}
}

// Started returns a channel that is closed when the initial sync has ended, whether
// or not it succeeded.
func (s *Syncer) Started() <-chan struct{} { return s.started }

// Config returns the configuration in force. It is never nil.
func (s *Syncer) Config() *config.Snapshot { return s.config.Load() }

// Hosts returns the host list. It is never nil.
func (s *Syncer) Hosts() *hosts.List { return s.hosts.Load() }

// Holder returns the holder record of an account, or false if there is none.
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

// Status returns the status of the view.
func (s *Syncer) Status() Status {
	s.mu.RLock()
	defer s.mu.RUnlock()
	status := Status{
		LastContactAge: -1, Revision: s.table.revision, Version: s.Config().Version, Distributor: s.topology.distributor,
	}
	contact := s.lastDirectContact
	if s.lastIndirectContact.After(contact) {
		contact = s.lastIndirectContact
	}
	if !contact.IsZero() {
		status.Synced, status.LastContactAge = true, time.Since(contact)
	}
	return status
}

// stop ends the pending polls of followers.
func (s *Syncer) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	s.wakePolls()
}

// wakePolls makes pending polls check for changes. The caller holds mu.
func (s *Syncer) wakePolls() {
	close(s.wake)
	s.wake = make(chan struct{})
}

// notify wakes the users of Changed and the pending polls after a change of the
// view. The caller holds mu.
func (s *Syncer) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
	s.wakePolls()
}
