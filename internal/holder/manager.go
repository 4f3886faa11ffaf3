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

const (
	// tickInterval is the time between two checks of all accounts for due work.
	tickInterval = 100 * time.Millisecond
	// recoverInterval is the time between two recovery rounds of an account.
	recoverInterval = 500 * time.Millisecond
	// balanceInterval is the time between two rounds of requests for balance of an
	// account. It is short because a waiting caller gives up after a few rounds.
	balanceInterval = 200 * time.Millisecond
	// recallTimeout bounds the wait for routers to release lots for another region.
	recallTimeout = 200 * time.Millisecond
	// recallPollInterval is the time between two checks for released lots.
	recallPollInterval = 10 * time.Millisecond
	// deadAfter is how long a router must be unreachable, or missing from the host
	// list, to count as dead.
	deadAfter = 3 * time.Second
	// pingAfter is the time since the last call or reply by a router with lots after
	// which the router is pinged.
	pingAfter = 5 * time.Second
	// agentLostAfter is how long an agent that was removed from the host list must
	// be unreachable before its memory counts as lost.
	agentLostAfter = 10 * time.Minute
	// callTimeout bounds one call to a peer.
	callTimeout = 2 * time.Second
	// storeTimeout bounds the store calls of one flush or takeover.
	storeTimeout = 5 * time.Second
	// claimRebuildTimeout bounds the time after a takeover in which claims are
	// refused because an agent has not returned its claims. After it, keys that may
	// be among the missing claims get wire.ClaimUncertain.
	claimRebuildTimeout = 5 * time.Second
	// accountWorkers is the number of accounts that are processed in parallel.
	accountWorkers = 8
	// maxParallelCalls bounds the calls in flight at once in one round of calls to the
	// routers or to the agents.
	maxParallelCalls = 16
)

// Record is the holder record of an account.
type Record = config.HolderRecord

// Peer is a router or an agent of the platform's host list.
type Peer struct {
	Name    string
	Address string
	Leaving bool // is about to stop
}

// Directory looks up peers and holders. It is safe for concurrent use.
type Directory interface {
	// Routers returns the routers of a region, this one and leaving ones included.
	Routers(region string) []Peer
	// Agents returns the agents of all regions, leaving ones included.
	Agents() []Peer
	// Holder returns the last known holder record of an account. It may be stale.
	Holder(budget.Account) (Record, bool)
}

// RPCClient makes RPC calls to other processes. It is safe for concurrent use.
type RPCClient interface {
	// Call calls a method and returns the incarnation that replied.
	Call(ctx context.Context, address, method string, args, reply any) (budget.Incarnation, error)
}

// Options configure a Manager. Store, Directory and RPC are required.
type Options struct {
	Self      budget.Incarnation
	Address   string // where other processes of the deployment reach this router, "IP:port"
	Region    string
	Shards    uint32
	Policy    budget.Policy
	Store     store.KV
	Directory Directory
	RPC       RPCClient
	Metrics   metrics.Registry // nil for a private registry
	Log       *slog.Logger     // nil for no logging
}

// Manager runs the accounts that this router holds. It is safe for concurrent use.
// Lock order: Manager.mu, then account.mu, then liveness.mu. None of them is held
// during a call to the store or to another process; account.flushing is.
type Manager struct {
	opts    Options
	log     *slog.Logger
	stats   stats
	live    *liveness
	started time.Time
	wake    chan struct{}

	mu       sync.Mutex
	accounts map[budget.Account]*account
	// takeoverRequests holds the accounts that peers sent requests for and that this
	// router does not hold, with the time of the first request.
	takeoverRequests map[budget.Account]time.Time
	policy           budget.Policy
	draining         bool
}

// account is an account that this router holds or tries to take over.
type account struct {
	key  budget.Account
	busy bool // in use by a worker; guarded by Manager.mu
	// flushing serializes flushes. It is the only lock held during calls to the
	// store and is acquired before mu.
	flushing sync.Mutex

	mu                  sync.Mutex
	core                *budget.Holder // makes the decisions; nil until the takeover is committed
	claims              *claimTable    // nil as long as core is
	takenOver           time.Time      // when this router took the account over
	previousHolderFlush time.Time      // last flush of the previous holder, by its clock; zero if unknown
	accountRev          int64          // store revision of the account record
	holderRev           int64          // store revision of the holder record
	nextRecovery        time.Time      // when the next recovery round is due
	nextBalanceRequest  time.Time      // earliest time of the next round of requests for balance
	violations          int64          // invariant violations logged so far
}

type stats struct {
	takeovers, flushes, flushFailures, exchanges, claims, bills, fences, lostTokens metrics.Counter
	accounts                                                                        metrics.Gauge
	storeReads, storeWrites                                                         metrics.Counter
}

func newStats(r metrics.Registry) stats {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("monsoon.holder."+name, r)
	}
	return stats{
		takeovers: counter("takeovers"), flushes: counter("flushes"),
		flushFailures: counter("flush_failures"), exchanges: counter("exchanges"),
		claims: counter("claims"), bills: counter("durable_bills"), fences: counter("fenced_routers"),
		lostTokens: counter("lost_tokens"),
		accounts:   metrics.GetOrRegisterGauge("monsoon.holder.accounts", r),
		storeReads: counter("store_reads"), storeWrites: counter("store_writes"),
	}
}

// NewManager returns a manager that holds no accounts. Run must be called for it to
// take any over.
func NewManager(o Options) *Manager {
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	now := time.Now()
	return &Manager{
		opts: o, log: o.Log, stats: newStats(o.Metrics), live: newLiveness(o.RPC), started: now,
		wake: make(chan struct{}, 1), accounts: map[budget.Account]*account{},
		takeoverRequests: map[budget.Account]time.Time{}, policy: o.Policy,
	}
}

// SetPolicy sets the policy of accounts that are taken over from now on.
func (m *Manager) SetPolicy(p budget.Policy) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.policy = p
}

// Run takes accounts over, recovers and flushes them until ctx ends. It returns nil.
func (m *Manager) Run(ctx context.Context) error {
	workers := new(errgroup.Group)
	workers.SetLimit(accountWorkers)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		m.live.updateAgents(time.Now(), m.opts.Directory.Agents())
		for _, work := range m.dueWork() {
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

// wakeUp makes Run check for due work immediately.
func (m *Manager) wakeUp() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// dueWork returns the tasks that are due, at most one per account, and marks their
// accounts busy.
func (m *Manager) dueWork() []func(context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []func(context.Context)
	for key, firstRequest := range m.takeoverRequests {
		a := m.accounts[key]
		if a == nil && !m.draining {
			a = &account{key: key}
			m.accounts[key] = a
		}
		if a == nil || a.busy {
			continue
		}
		delete(m.takeoverRequests, key)
		a.busy = true
		out = append(out, func(ctx context.Context) { m.tryTakeOver(ctx, a, firstRequest); m.endWork(a) })
	}
	for _, a := range m.accounts {
		if a.busy || a.idle() {
			continue
		}
		a.busy = true
		out = append(out, func(ctx context.Context) { m.runDue(ctx, a); m.endWork(a) })
	}
	return out
}

// idle reports whether the account has no work that is due.
func (a *account) idle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.core == nil {
		return true
	}
	now := time.Now()
	return !a.core.FlushDue(now) && now.Before(a.nextRecovery) && !a.balanceRequestDue(now)
}

// balanceRequestDue reports whether it is time to request balance from routers and
// other regions. The caller holds a.mu.
func (a *account) balanceRequestDue(now time.Time) bool {
	return !now.Before(a.nextBalanceRequest) && len(a.core.UnmetRequests(now)) > 0
}

// endWork ends a worker's use of an account and removes the account if this router
// does not hold it.
func (m *Manager) endWork(a *account) {
	m.mu.Lock()
	defer m.mu.Unlock()
	a.busy = false
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.core == nil || a.core.Deposed() {
		if a.core != nil {
			m.log.Warn("account was taken over by another router", "shard", a.key.Shard, "region", a.key.Region)
			m.sendLotTable(a)
		}
		delete(m.accounts, a.key)
	}
	m.stats.accounts.Update(int64(len(m.accounts)))
}

// runDue does the due work of a held account, in this order: requests for balance, a
// recovery round, a flush.
func (m *Manager) runDue(ctx context.Context, a *account) {
	now := time.Now()
	a.mu.Lock()
	if a.core == nil {
		a.mu.Unlock()
		return
	}
	if record, ok := m.opts.Directory.Holder(a.key); ok {
		a.core.ObserveEpoch(record.Epoch)
	}
	recovery := !now.Before(a.nextRecovery)
	if recovery {
		a.nextRecovery = now.Add(recoverInterval)
	}
	needsBalance := a.balanceRequestDue(now)
	if needsBalance {
		a.nextBalanceRequest = now.Add(balanceInterval)
	}
	a.mu.Unlock()
	if needsBalance {
		m.requestBalance(ctx, a)
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

// lookup returns an account that this router holds or tries to take over, nil if it does
// neither.
func (m *Manager) lookup(key budget.Account) *account {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.accounts[key]
}

// requestTakeover records that a peer expects this router to hold an account of its
// region, and has Run try to take it over.
func (m *Manager) requestTakeover(key budget.Account) {
	m.mu.Lock()
	if _, ok := m.takeoverRequests[key]; !ok && key.Region == m.opts.Region && !m.draining {
		m.takeoverRequests[key] = time.Now()
	}
	m.mu.Unlock()
	m.wakeUp()
}

// Exchange is the RPC by which a router reports its lots of an account and gets
// grants. If this router does not hold the account, the reply says NotHolder.
func (m *Manager) Exchange(args *budget.ExchangeRequest, reply *budget.ExchangeReply) error {
	m.stats.exchanges.Inc(1)
	m.live.markAlive(args.Router)
	a := m.lookup(args.Account)
	if a == nil {
		m.requestTakeover(args.Account)
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
	urgent := a.core.FlushDue(now) || a.core.Deposed() || a.balanceRequestDue(now)
	m.logViolations(a)
	a.mu.Unlock()
	if urgent {
		m.wakeUp()
	}
	return nil
}

// logViolations logs the last invariant violation if there are new ones. The caller
// holds a.mu.
func (m *Manager) logViolations(a *account) {
	c := a.core.Counters()
	if c.Violations > a.violations {
		a.violations = c.Violations
		m.log.Error("holder invariant violated", "shard", a.key.Shard, "region", a.key.Region,
			"violations", c.Violations, "last", c.LastViolation)
	}
}

// Claim is the RPC by which a router claims an idempotency key at the account that is
// responsible for it. If this router does not hold the account, the reply has the zero
// outcome, wire.ClaimUnavailable.
func (m *Manager) Claim(args *wire.ClaimArgs, reply *wire.ClaimReply) error {
	m.stats.claims.Inc(1)
	a := m.lookup(args.Account)
	if a == nil {
		m.requestTakeover(args.Account)
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

// Return is the RPC by which the holder of another region asks for unneeded escrow.
// It waits up to recallTimeout for routers to release lots, and flushes before it
// replies: the flush moves the returned escrow to the treasury, from which the
// other holder draws it. It also replies if the flush fails.
func (m *Manager) Return(args *wire.ReturnArgs, reply *wire.ReturnReply) error {
	a := m.lookup(args.Account)
	if a == nil {
		m.requestTakeover(args.Account)
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
	if !a.returnEscrow(args, reply) {
		m.requestExchanges(ctx, targets, a.key)
		for end := time.Now().Add(recallTimeout); len(targets) > 0 && time.Now().Before(end) && !a.returnEscrow(args, reply); {
			time.Sleep(recallPollInterval)
		}
	}
	m.flush(ctx, a)
	return nil
}

// returnEscrow passes the requested amounts to the budget.Holder, which recalls lots if
// it can return too little. It sets in the reply how much of each amount the next flush
// returns, and reports whether all of them are met.
func (a *account) returnEscrow(args *wire.ReturnArgs, reply *wire.ReturnReply) bool {
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

// recallTargets returns the routers that have lots of the budgets with unused amounts.
// The caller holds a.mu.
func (a *account) recallTargets(needs []wire.ReturnNeed) map[budget.Incarnation]bool {
	targets := map[budget.Incarnation]bool{}
	for _, need := range needs {
		for _, router := range a.core.RecallTargets(need.Budget) {
			targets[router] = true
		}
	}
	return targets
}

// Ping is the RPC by which peers check that this process is alive.
func (m *Manager) Ping(_ *wire.Empty, reply *wire.PingReply) error {
	reply.Boot = m.opts.Self.Boot
	return nil
}
