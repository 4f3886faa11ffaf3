package holder

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/config"
	"github.com/monsoonworks/monsoonworks/internal/store"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// Times of a Manager.
const (
	// tickInterval is the time between two looks at all accounts.
	tickInterval = 100 * time.Millisecond
	// recoverInterval is the time between two rounds of a recovery.
	recoverInterval = 500 * time.Millisecond
	// seekInterval is the time between two searches for balance of an account. A
	// caller waits for a few of them.
	seekInterval = 200 * time.Millisecond
	// recallWait bounds the wait for routers that release lots for another
	// region, and recallPoll is the time between looks.
	recallWait = 200 * time.Millisecond
	recallPoll = 10 * time.Millisecond
	// deadAfter is how long a peer must be unreachable to count as dead.
	deadAfter = 3 * time.Second
	// silentAfter is how long a router with lots may be silent before it is
	// asked whether it is alive.
	silentAfter = 5 * time.Second
	// goneAfter is how long an agent that is not listed any more must be
	// unreachable until its memory counts as lost.
	goneAfter = 10 * time.Minute
	// callTimeout bounds one call to a peer.
	callTimeout = 2 * time.Second
	// storeTimeout bounds one call to the store.
	storeTimeout = 5 * time.Second
	// claimRebuildLimit bounds how long claims wait for agents that do not
	// answer after a takeover.
	claimRebuildLimit = 5 * time.Second
	// accountWorkers is the size of the pool that works on accounts, and
	// parallelCalls that of the calls of one recovery round.
	accountWorkers = 8
	parallelCalls  = 16
)

// Record is the holder record of an account.
type Record = config.HolderRecord

// Peer is a process in the platform's host list.
type Peer struct {
	Name    string
	Address string
	Leaving bool
}

// Directory tells who takes part. It is safe for concurrent use.
type Directory interface {
	// Routers lists the live and leaving routers of a region, including this one.
	Routers(region string) []Peer
	// Agents lists the agents of all regions, live and leaving.
	Agents() []Peer
	// Holder returns the last known holder of an account.
	Holder(budget.Account) (Record, bool)
}

// Caller calls methods of other processes.
type Caller interface {
	// Call returns which incarnation answered.
	Call(ctx context.Context, address, method string, args, reply any) (budget.Incarnation, error)
}

// Options configure a Manager.
type Options struct {
	Self    budget.Incarnation
	Address string // inner address of this router, "IP:port"
	Region  string
	Shards  uint32
	Policy  budget.Policy
	Store   store.KV
	// Directory and Caller must be set.
	Directory Directory
	Caller    Caller
	Registry  metrics.Registry
	Log       *slog.Logger
}

// Manager runs the holders of the accounts that this router holds. It is safe
// for concurrent use. Lock order: Manager.mu, then account.mu, then liveness.mu.
// No lock is held during a call to the store or to another process.
type Manager struct {
	o       Options
	log     *slog.Logger
	stats   stats
	live    *liveness
	started time.Time
	wake    chan struct{}

	mu       sync.Mutex
	accounts map[budget.Account]*account
	// wanted holds accounts that somebody asked for and nobody seems to hold,
	// with the time of the first such question.
	wanted   map[budget.Account]time.Time
	policy   budget.Policy
	draining bool
}

// account is an account that this router holds, or is about to.
type account struct {
	key  budget.Account
	busy bool // a worker has it; guarded by Manager.mu
	// flushing serialises flushes. It is the only lock held during calls to the
	// store and is taken before mu.
	flushing sync.Mutex

	mu        sync.Mutex
	core      *budget.Holder
	claims    *claimTable
	takenOver time.Time
	lastFlush time.Time // of the former holder, by its clock; zero if unknown
	rev       int64     // store revision of the account record
	holderRev int64     // store revision of the holder record
	nextRound time.Time // of a recovery
	nextSeek  time.Time // of a search for balance
	faults    int64
}

type stats struct {
	takeovers, flushes, flushFailures, exchanges, claims, bills, fences, lost metrics.Counter
	held                                                                      metrics.Gauge
	storeReads, storeWrites                                                   metrics.Counter
}

func newStats(r metrics.Registry) stats {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("monsoon.holder."+name, r)
	}
	return stats{
		takeovers: counter("takeovers"), flushes: counter("flushes"),
		flushFailures: counter("flush_failures"), exchanges: counter("exchanges"),
		claims: counter("claims"), bills: counter("durable_bills"), fences: counter("fenced_routers"),
		lost:       counter("lost_tokens"),
		held:       metrics.GetOrRegisterGauge("monsoon.holder.accounts", r),
		storeReads: counter("store_reads"), storeWrites: counter("store_writes"),
	}
}

// NewManager returns a manager that holds nothing yet.
func NewManager(o Options) *Manager {
	if o.Registry == nil {
		o.Registry = metrics.NewRegistry()
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	now := time.Now()
	return &Manager{
		o: o, log: o.Log, stats: newStats(o.Registry), live: newLiveness(o.Caller), started: now,
		wake: make(chan struct{}, 1), accounts: map[budget.Account]*account{},
		wanted: map[budget.Account]time.Time{}, policy: o.Policy,
	}
}

// SetPolicy applies a changed configuration to accounts taken over from now on.
func (m *Manager) SetPolicy(p budget.Policy) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.policy = p
}

// Run works on the accounts until ctx ends. It returns nil.
func (m *Manager) Run(ctx context.Context) error {
	workers := new(errgroup.Group)
	workers.SetLimit(accountWorkers)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		m.live.observeAgents(time.Now(), m.o.Directory.Agents())
		for _, work := range m.due() {
			workers.Go(func() error { work(ctx); return nil })
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-m.wake:
		}
	}
	return workers.Wait()
}

// poke makes Run look for work at once.
func (m *Manager) poke() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// due returns the work to do now. Each account is worked on by one worker at a
// time.
func (m *Manager) due() []func(context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []func(context.Context)
	for key, since := range m.wanted {
		a := m.accounts[key]
		if a == nil && !m.draining {
			a = &account{key: key}
			m.accounts[key] = a
		}
		if a == nil || a.busy {
			continue
		}
		delete(m.wanted, key)
		a.busy = true
		out = append(out, func(ctx context.Context) { m.consider(ctx, a, since); m.release(a) })
	}
	for _, a := range m.accounts {
		if a.busy || a.idle() {
			continue
		}
		a.busy = true
		out = append(out, func(ctx context.Context) { m.step(ctx, a); m.release(a) })
	}
	return out
}

// idle reports whether the account has no work now.
func (a *account) idle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.core == nil {
		return true
	}
	now := time.Now()
	return !a.core.FlushDue(now) && now.Before(a.nextRound) && !a.seekDue(now)
}

// seekDue reports whether it is time to look for balance elsewhere. The caller
// holds a.mu.
func (a *account) seekDue(now time.Time) bool {
	return !now.Before(a.nextSeek) && len(a.core.UnmetRequests(now)) > 0
}

// release ends a worker's use of an account and forgets it if it is not held.
func (m *Manager) release(a *account) {
	m.mu.Lock()
	defer m.mu.Unlock()
	a.busy = false
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.core == nil || a.core.Deposed() {
		if a.core != nil {
			m.log.Warn("account was taken over by another router", "shard", a.key.Shard, "region", a.key.Region)
			m.sendTable(a)
		}
		delete(m.accounts, a.key)
	}
	m.stats.held.Update(int64(len(m.accounts)))
}

// step does what is due for a held account.
func (m *Manager) step(ctx context.Context, a *account) {
	now := time.Now()
	a.mu.Lock()
	if a.core == nil {
		a.mu.Unlock()
		return
	}
	if record, ok := m.o.Directory.Holder(a.key); ok {
		a.core.ObserveEpoch(record.Epoch)
	}
	recovery := !now.Before(a.nextRound)
	if recovery {
		a.nextRound = now.Add(recoverInterval)
	}
	seek := a.seekDue(now)
	if seek {
		a.nextSeek = now.Add(seekInterval)
	}
	a.mu.Unlock()
	if seek {
		m.seekBalance(ctx, a)
	}
	if recovery {
		m.recover(ctx, a)
	}
	a.mu.Lock()
	flush := a.core.FlushDue(time.Now())
	a.mu.Unlock()
	if flush {
		m.flush(ctx, a)
	}
}

// lookup returns a held account, or nil.
func (m *Manager) lookup(key budget.Account) *account {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.accounts[key]
}

// want notes that somebody looks for the holder of an account here.
func (m *Manager) want(key budget.Account) {
	m.mu.Lock()
	if _, ok := m.wanted[key]; !ok && key.Region == m.o.Region && !m.draining {
		m.wanted[key] = time.Now()
	}
	m.mu.Unlock()
	m.poke()
}

// Exchange implements the call of a router with lots of an account.
func (m *Manager) Exchange(args *budget.ExchangeRequest, reply *budget.ExchangeReply) error {
	m.stats.exchanges.Inc(1)
	m.live.alive(args.Router)
	a := m.lookup(args.Account)
	if a == nil {
		m.want(args.Account)
		*reply = budget.ExchangeReply{NotHolder: true, Seq: args.Seq, Epoch: args.Epoch}
		return nil
	}
	a.mu.Lock()
	if a.core == nil {
		a.mu.Unlock()
		*reply = budget.ExchangeReply{NotHolder: true, Seq: args.Seq, Epoch: args.Epoch}
		return nil
	}
	now := time.Now()
	*reply = a.core.Exchange(now, *args)
	urgent := a.core.FlushDue(now) || a.core.Deposed() || a.seekDue(now)
	m.reportFaults(a)
	a.mu.Unlock()
	if urgent {
		m.poke()
	}
	return nil
}

// reportFaults logs new invariant violations. The caller holds a.mu.
func (m *Manager) reportFaults(a *account) {
	c := a.core.Counters()
	if c.Violations > a.faults {
		a.faults = c.Violations
		m.log.Error("holder invariant violated", "shard", a.key.Shard, "region", a.key.Region,
			"violations", c.Violations, "last", c.LastViolation)
	}
}

// Claim implements the call of a router that has a request with an idempotency
// key whose home is here.
func (m *Manager) Claim(args *wire.ClaimArgs, reply *wire.ClaimReply) error {
	m.stats.claims.Inc(1)
	a := m.lookup(args.Account)
	if a == nil {
		m.want(args.Account)
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.core == nil || a.core.Deposed() || a.core.Sealed() {
		return nil
	}
	*reply = a.claims.claim(time.Now(), args)
	reply.Epoch = a.core.Epoch()
	return nil
}

// Return implements the call of another region's holder that lacks balance. It
// answers after what can be returned at once was written to the treasury.
func (m *Manager) Return(args *wire.ReturnArgs, reply *wire.ReturnReply) error {
	a := m.lookup(args.Account)
	if a == nil {
		m.want(args.Account)
		reply.NotHolder = true
		return nil
	}
	a.mu.Lock()
	if a.core == nil {
		a.mu.Unlock()
		reply.NotHolder = true
		return nil
	}
	targets := a.recallTargets(args.Needs)
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if !a.askReturn(args, reply) {
		m.pokeRouters(ctx, targets, a.key)
		for end := time.Now().Add(recallWait); len(targets) > 0 && time.Now().Before(end) && !a.askReturn(args, reply); {
			time.Sleep(recallPoll)
		}
	}
	m.flush(ctx, a)
	return nil
}

// askReturn asks the holder what it can return and reports whether that meets
// all needs.
func (a *account) askReturn(args *wire.ReturnArgs, reply *wire.ReturnReply) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now, met := time.Now(), true
	reply.Returned = make([]budget.Tokens, len(args.Needs))
	for i, need := range args.Needs {
		reply.Returned[i] = a.core.HandleReturnRequest(now, need.Budget, need.Need)
		met = met && reply.Returned[i] >= need.Need
	}
	return met
}

// recallTargets returns the routers that hold unused lots of the budgets. The
// caller holds a.mu.
func (a *account) recallTargets(needs []wire.ReturnNeed) map[budget.Incarnation]bool {
	targets := map[budget.Incarnation]bool{}
	for _, need := range needs {
		for _, router := range a.core.RecallTargets(need.Budget) {
			targets[router] = true
		}
	}
	return targets
}

// Ping implements a call that only checks that this process is alive.
func (m *Manager) Ping(_ *wire.Empty, reply *wire.PingReply) error {
	reply.Boot = m.o.Self.Boot
	return nil
}
