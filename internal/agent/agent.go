// Package agent implements the agent of a backend server, which is the only
// path to the server. It admits attempts, enforces their token limits, keeps
// their responses for readers that reattach, and keeps their bills until they
// are durable. It does not access the store. It tells routers its load and the
// expected time to the first token, and does not choose servers itself.
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

const (
	DefaultSlots    = 32
	DefaultMaxQueue = 256
	DefaultMaxWait  = 10 * time.Second
	// DefaultMaxRecords covers keyedRetention at 2 keyed requests/s. A record
	// takes up to 2 KB.
	DefaultMaxRecords = 1 << 13
)

const (
	cachePollInterval = 500 * time.Millisecond
	healthInterval    = time.Second
	sweepInterval     = time.Second
)

// Options configure an Agent. Zero values select the defaults.
type Options struct {
	// Identity is the name and boot ID of this process.
	Identity budget.Incarnation
	// Server is the server's name in logs, traces and crash reports; the
	// default is Identity.Name.
	Server string
	// Kind says whether the server is a model engine or a plain service.
	Kind wire.TargetKind
	// Pool is the server's pool, for logs and Status; Targets are the models or
	// services that the server offers.
	Pool    string
	Targets []string
	// URL is the base URL of the server.
	URL string
	// Slots is the maximum number of requests that run concurrently.
	Slots int
	// MaxQueue bounds the number of queued requests, MaxWait the expected wait
	// of a request for a slot.
	MaxQueue int
	MaxWait  time.Duration
	// MaxRecords bounds the records of finished attempts. Records dropped
	// before the end of their retention are counted.
	MaxRecords int
	// OnCrash receives the fingerprints of the requests in progress when the
	// server crashed. It must not block.
	OnCrash func(wire.CrashReport)
	// Dial opens connections to the server; the default is that of
	// engine.Options.
	Dial    engine.DialFunc
	Metrics metrics.Registry
	Logger  *slog.Logger
}

// modelEngine is the client of a model engine, implemented by engine.Client.
type modelEngine interface {
	Run(ctx context.Context, req *engine.Request, onChunk func(*engine.Chunk) error) error
	Cancel(ctx context.Context, id uuid.UUID) (*engine.Usage, error)
	Health(ctx context.Context) (engine.Health, error)
	SendCommand(ctx context.Context, command engine.Command) error
	WatchCache(ctx context.Context, interval time.Duration, sink engine.CacheSink)
}

// plainService is the client of a plain service, implemented by
// engine.ServiceClient.
type plainService interface {
	Call(ctx context.Context, call *engine.ServiceRequest) (*http.Response, error)
	Health(ctx context.Context) error
}

// Agent executes attempts on one server. It is safe for concurrent use.
//
// Lock order: mu, then the mutex of a response. While the mutex of the
// estimator, the prefix index or the command guard is held, no other lock is
// acquired. No lock is held during I/O.
type Agent struct {
	opts           Options
	model          modelEngine
	service        plainService
	started        time.Time
	estimator      *estimator
	cachedPrefixes *prefixIndex
	metrics        *counters
	log            *slog.Logger
	commands       commandGuard
	// runningResponseBytes is the total size of the kept responses of attempts
	// that have not finished.
	runningResponseBytes atomic.Int64

	mu        sync.Mutex
	attempts  map[uuid.UUID]*attempt
	queue     *fairQueue
	running   map[*attempt]struct{}
	admission *admissionState
	history   *attemptHistory
	targets   map[string]bool
	draining  bool
	// serverDown is set when the server has crashed or no connection to it can
	// be opened, and cleared by the next periodic health check that succeeds.
	serverDown bool
	// serverBootID is the server's boot ID in the last periodic health check
	// that succeeded, empty if unknown.
	serverBootID string
	crashCount   int
	// crashIDs holds the ID of the last crash by the boot ID of the server's process
	// that crashed.
	crashIDs map[string]uuid.UUID
	// pendingPrefill is the number of uncached prompt tokens of the running
	// attempts that have not returned their first token.
	pendingPrefill int
	// openStreams is the number of open streams to routers.
	openStreams int
	// drainProgress is closed and replaced when the work that a drain waits for
	// may have changed.
	drainProgress chan struct{}
}

// New returns an Agent. It serves attempts once its services are offered on
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
		estimator: newEstimator(), cachedPrefixes: newPrefixIndex(), metrics: newCounters(opts.Metrics),
		log:      opts.Logger.With("server", opts.Server, "pool", opts.Pool),
		attempts: make(map[uuid.UUID]*attempt), queue: newFairQueue(),
		running: make(map[*attempt]struct{}), admission: newAdmissionState(opts.Identity), history: &attemptHistory{maxRecords: opts.MaxRecords},
		commands: commandGuard{inProgress: make(chan struct{}, 1)}, drainProgress: make(chan struct{}),
	}
	a.SetTargets(opts.Targets)
	return a
}

// SetTargets sets the models or services that the server offers. Attempts in
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

// InitEpochs sets the account epochs from the holder records, which the caller
// must have read after the agent started. Until the first call the agent refuses
// all attempts, because after a restart it does not know which holders were
// deposed.
func (a *Agent) InitEpochs(epochs map[budget.Account]uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.admission.ledger.EpochsKnown() {
		a.log.Info("account epochs initialized, attempts are accepted", "accounts", len(epochs))
	}
	a.admission.ledger.InitEpochs(epochs)
}

// Services returns the services that the agent offers on its sessions. Routers
// and operators' tools may call the RPC methods, other agents may not.
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

// Run keeps the agent's view of its server current and drops expired state
// until ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return every(ctx, healthInterval, a.checkHealth) })
	group.Go(func() error { return every(ctx, sweepInterval, func(context.Context) { a.sweep() }) })
	if a.model != nil {
		group.Go(func() error {
			a.model.WatchCache(ctx, cachePollInterval, a.cachedPrefixes)
			return ctx.Err()
		})
	}
	return group.Wait()
}

// every calls f immediately and then at each interval until ctx ends.
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

// loadLocked returns the current load. Callers hold mu.
func (a *Agent) loadLocked() wire.Load {
	return wire.Load{
		Running: int32(len(a.running)), Queued: int32(a.queue.length), Slots: int32(a.opts.Slots),
		FirstTokenMillis: millis(a.firstTokenTimeLocked(0, a.pendingPrefill)),
		Draining:         a.draining,
	}
}

// firstTokenTimeLocked returns the expected time to the first token of a
// request that arrives now. prefillTokens is the number of uncached prompt
// tokens that the engine processes before that token, those of the running
// attempts included. Callers hold mu.
func (a *Agent) firstTokenTimeLocked(priority int8, prefillTokens int) time.Duration {
	return a.slotWaitLocked(priority) + a.estimator.firstTokenTime(prefillTokens)
}

// slotWaitLocked returns the expected wait for a slot, 0 if one is free.
// Callers hold mu.
func (a *Agent) slotWaitLocked(priority int8) time.Duration {
	ahead := a.queue.ahead(priority)
	if free := a.opts.Slots - len(a.running); ahead < free {
		return 0
	}
	return a.estimator.slotWait(ahead, a.opts.Slots)
}

func millis(d time.Duration) int32 {
	const limit = 1<<31 - 1
	return int32(min(d.Milliseconds(), limit))
}

// Load returns the current load.
func (a *Agent) Load() wire.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.loadLocked()
}

// signalDrainLocked wakes Drain after a change. Callers hold mu.
func (a *Agent) signalDrainLocked() {
	if a.draining {
		close(a.drainProgress)
		a.drainProgress = make(chan struct{})
	}
}

// counters are the agent's metrics.
type counters struct {
	accepted, refused, finished, crashes        metrics.Counter
	absorbedTokens, billedTokens                metrics.Counter
	recordsDropped, responsesDropped            metrics.Counter
	tombstonesDropped, fencedCommands, attaches metrics.Counter
	running, queued                             metrics.Gauge
	responseBytes                               metrics.Gauge
}

func newCounters(r metrics.Registry) *counters {
	count := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("monsoon.agent."+name, r) }
	gauge := func(name string) metrics.Gauge { return metrics.GetOrRegisterGauge("monsoon.agent."+name, r) }
	return &counters{
		accepted: count("accepted_attempts"), refused: count("refused_attempts"),
		finished: count("finished_attempts"), crashes: count("server_crashes"),
		absorbedTokens: count("absorbed_tokens"), billedTokens: count("billed_tokens"),
		recordsDropped: count("records_dropped_early"), responsesDropped: count("answers_dropped_early"),
		tombstonesDropped: count("fences_dropped_early"), fencedCommands: count("fenced_orders"),
		attaches: count("attaches"), running: gauge("running_attempts"), queued: gauge("queued_attempts"),
		responseBytes: gauge("answer_bytes"),
	}
}
