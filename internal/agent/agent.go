// Package agent runs beside a backend server and is the only path to it. It
// admits attempts, enforces their bounds token by token, keeps their answers for
// readers that come back, and keeps their bills until they are durable.
package agent

import (
	"context"
	"log/slog"
	"net/http"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/engine"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// Defaults of Options.
const (
	DefaultSlots    = 32
	DefaultMaxQueue = 256
	DefaultMaxWait  = 10 * time.Second
	// DefaultMaxRecords covers the key window of 1 hour at 2 keyed requests/s,
	// with up to 2 KB for each.
	DefaultMaxRecords = 1 << 13
)

// Intervals of the agent's loops.
const (
	cachePollInterval = 500 * time.Millisecond
	healthInterval    = time.Second
	sweepInterval     = time.Second
)

// Options configure an agent.
type Options struct {
	// Identity is this process's name and boot.
	Identity budget.Incarnation
	// Server is the server's name in bills; default Identity.Name.
	Server string
	// Kind says whether the server is a model engine or a plain service.
	Kind wire.Kind
	// Pool is the server's pool, for logs; Targets are the models or services
	// that it serves.
	Pool    string
	Targets []string
	// URL is the server's base address.
	URL string
	// Slots is the number of requests that run at once.
	Slots int
	// MaxQueue bounds the waiting requests, MaxWait their expected wait.
	MaxQueue int
	MaxWait  time.Duration
	// MaxRecords bounds the finished attempts that are remembered. Those that
	// are dropped before their retention ends are counted.
	MaxRecords int
	// OnCrash is told the fingerprints of the requests in progress when the
	// server died. It must not block for long.
	OnCrash func(wire.SuspectReport)
	// Dial replaces the dialer to the server, for tests.
	Dial    engine.DialFunc
	Metrics metrics.Registry
	Logger  *slog.Logger
}

// modelEngine is what the agent needs of an engine's client.
type modelEngine interface {
	Run(ctx context.Context, req *engine.Request, onEvent func(*engine.Event) error) error
	Cancel(ctx context.Context, id uuid.UUID) (*engine.Usage, error)
	Health(ctx context.Context) (engine.Health, error)
	SendCommand(ctx context.Context, order engine.Command) error
	WatchCache(ctx context.Context, interval time.Duration, sink engine.CacheSink)
}

// plainService is what the agent needs of a service's client.
type plainService interface {
	Call(ctx context.Context, call *engine.ServiceRequest) (*http.Response, error)
	Health(ctx context.Context) error
}

// Agent executes attempts on one server. It is safe for concurrent use.
//
// Lock order: mu, then the lock of an answer. The locks of the estimator, of the
// prefix index and of the order gate are leaves. No lock is held during I/O.
type Agent struct {
	opts    Options
	model   modelEngine
	service plainService
	started time.Time
	est     *estimator
	index   *prefixIndex
	metrics *counters
	log     *slog.Logger
	orders  orderGate
	// answerBytes counts what running attempts keep of their answers.
	answerBytes atomic.Int64

	mu       sync.Mutex
	attempts map[uuid.UUID]*attempt
	queue    *fairQueue
	running  map[*attempt]struct{}
	ledger   *ledger
	memory   *memory
	targets  map[string]bool
	draining bool
	// down is set while the server is known not to answer.
	down bool
	// serverBoot is the boot that the server's health check reported last.
	serverBoot string
	crashes    int
	// pendingPrefill is the number of prompt tokens of dispatched attempts
	// without a first token.
	pendingPrefill int
	// serving is the number of streams to routers in progress.
	serving int
	// changed is closed and replaced when a drain may have made progress.
	changed chan struct{}
}

// New returns an agent. It serves as soon as its services are offered on
// sessions; Run keeps its view of the server current.
func New(opts Options) *Agent {
	opts = opts.withDefaults()
	clientOpts := engine.Options{URL: opts.URL, Dial: opts.Dial, Metrics: opts.Metrics}
	if opts.Kind == wire.KindService {
		return newAgent(opts, nil, engine.NewServiceClient(clientOpts))
	}
	return newAgent(opts, engine.New(clientOpts), nil)
}

func (o Options) withDefaults() Options {
	if o.Server == "" {
		o.Server = o.Identity.Name
	}
	if o.Kind == 0 {
		o.Kind = wire.KindModel
	}
	if o.Slots == 0 {
		o.Slots = DefaultSlots
	}
	if o.MaxQueue == 0 {
		o.MaxQueue = DefaultMaxQueue
	}
	if o.MaxWait == 0 {
		o.MaxWait = DefaultMaxWait
	}
	if o.MaxRecords == 0 {
		o.MaxRecords = DefaultMaxRecords
	}
	if o.Metrics == nil {
		o.Metrics = metrics.DefaultRegistry
	}
	if o.Logger == nil {
		o.Logger = slog.Default()
	}
	return o
}

func newAgent(opts Options, model modelEngine, service plainService) *Agent {
	a := &Agent{
		opts: opts, model: model, service: service, started: time.Now(),
		est: newEstimator(), index: newPrefixIndex(), metrics: newCounters(opts.Metrics),
		log:      opts.Logger.With("server", opts.Server, "pool", opts.Pool),
		attempts: make(map[uuid.UUID]*attempt), queue: newFairQueue(),
		running: make(map[*attempt]struct{}), ledger: newLedger(opts.Identity), memory: &memory{maxRecords: opts.MaxRecords},
		orders: orderGate{turn: make(chan struct{}, 1)}, changed: make(chan struct{}),
	}
	a.SetTargets(opts.Targets)
	return a
}

// SetTargets changes the models or services that the server serves. Attempts in
// progress are not affected.
func (a *Agent) SetTargets(targets []string) {
	set := make(map[string]bool, len(targets))
	for _, t := range targets {
		set[t] = true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.targets = set
}

// InitEpochs gives the agent the epochs of the holder records, as read after it
// started. Until then it refuses all attempts, because it has forgotten which
// holders were replaced.
func (a *Agent) InitEpochs(epochs map[budget.Account]uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.ledger.book.EpochsKnown() {
		a.log.Info("epochs of the accounts known", "accounts", len(epochs))
	}
	a.ledger.book.InitEpochs(epochs)
}

// Services returns what the agent offers on its sessions. Calls are open to
// routers and operators' tools.
func (a *Agent) Services() wire.Services {
	server := rpc.NewServer()
	if err := server.RegisterName("Agent", &RPC{agent: a}); err != nil {
		panic(err) // the receiver's methods are fixed
	}
	return wire.Services{
		RPC: func(peer wire.Hello) *rpc.Server {
			if peer.Role == wire.RoleAgent {
				return nil
			}
			return server
		},
		Exec:   a.Exec,
		Attach: a.Attach,
	}
}

// Run keeps the agent's view of its server current until ctx ends, and forgets
// what is past its retention.
func (a *Agent) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return every(ctx, healthInterval, a.checkHealth) })
	group.Go(func() error { return every(ctx, sweepInterval, func(context.Context) { a.sweep() }) })
	if a.model != nil {
		group.Go(func() error {
			a.model.WatchCache(ctx, cachePollInterval, a.index)
			return ctx.Err()
		})
	}
	return group.Wait()
}

// every calls f at once and then at an interval until ctx ends.
func every(ctx context.Context, interval time.Duration, f func(context.Context)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// loadLocked returns the exact load. Callers hold mu.
func (a *Agent) loadLocked() wire.Load {
	return wire.Load{
		Running: int32(len(a.running)), Queued: int32(a.queue.length), Slots: int32(a.opts.Slots),
		FirstTokenMillis: millis(a.firstTokenLocked(0, a.pendingPrefill)),
		Draining:         a.draining,
	}
}

// firstTokenLocked returns the expected time to the first token of a request that
// comes now. Callers hold mu.
func (a *Agent) firstTokenLocked(priority int8, prefillTokens int) time.Duration {
	return a.waitLocked(priority) + a.est.prefillTime(prefillTokens)
}

// waitLocked returns the expected wait for a slot, 0 if one is free. Callers hold
// mu.
func (a *Agent) waitLocked(priority int8) time.Duration {
	ahead := a.queue.ahead(priority)
	if free := a.opts.Slots - len(a.running); ahead < free {
		return 0
	}
	return a.est.wait(ahead, a.opts.Slots)
}

func millis(d time.Duration) int32 {
	const most = 1<<31 - 1
	return int32(min(d.Milliseconds(), most))
}

// Load returns the current load.
func (a *Agent) Load() wire.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.loadLocked()
}

// noteChangeLocked wakes a drain. Callers hold mu.
func (a *Agent) noteChangeLocked() {
	if a.draining {
		close(a.changed)
		a.changed = make(chan struct{})
	}
}

// counters are the agent's metrics.
type counters struct {
	accepted, refused, finished, crashes  metrics.Counter
	absorbedTokens, billedTokens          metrics.Counter
	recordsDropped, answersDropped        metrics.Counter
	ledgerDropped, fencedOrders, attaches metrics.Counter
	running, queued                       metrics.Gauge
	answerBytes                           metrics.Gauge
}

func newCounters(r metrics.Registry) *counters {
	count := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("monsoon.agent."+name, r) }
	gauge := func(name string) metrics.Gauge { return metrics.GetOrRegisterGauge("monsoon.agent."+name, r) }
	return &counters{
		accepted: count("accepted_attempts"), refused: count("refused_attempts"),
		finished: count("finished_attempts"), crashes: count("server_crashes"),
		absorbedTokens: count("absorbed_tokens"), billedTokens: count("billed_tokens"),
		recordsDropped: count("records_dropped_early"), answersDropped: count("answers_dropped_early"),
		ledgerDropped: count("fences_dropped_early"), fencedOrders: count("fenced_orders"),
		attaches: count("attaches"), running: gauge("running_attempts"), queued: gauge("queued_attempts"),
		answerBytes: gauge("answer_bytes"),
	}
}
