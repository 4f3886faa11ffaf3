// Package wallet runs a router's wallet, the set of lots (quota leases) that the
// holders of the region have granted to the router. It exchanges lots and bills with
// the holders, makes callers wait for grants for a bounded time, and tells agents
// which of their bills are durable. budget.Wallet makes the decisions; this package
// does the I/O.
//
// The router's daemon runs the package, and the dispatcher and the gateway call it.
// It must not know HTTP, the store or how holders are found.
package wallet

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

const (
	// exchangeTimeout bounds one exchange with a holder.
	exchangeTimeout = 2 * time.Second
	// confirmTimeout bounds the wait for the confirmation of a lot.
	confirmTimeout = 2 * time.Second
	// keysFreshAge is the age up to which cached hashes of API keys are used without
	// a refresh.
	keysFreshAge = 5 * time.Second
	// keysStaleAge is the age up to which cached hashes of API keys are used while they
	// are refreshed in the background. A revoked key is accepted for at most this time
	// while the holder of its budget is reachable.
	keysStaleAge = 30 * time.Second
	// keysMaxAge is the age up to which cached hashes of API keys are used while no
	// holder is reachable.
	keysMaxAge = time.Hour
	// ackRetryInterval is the time between retries of failed acknowledgements.
	ackRetryInterval = 15 * time.Second
	// maxSleep bounds the time between two checks for due exchanges.
	maxSleep = time.Second
	// maxParallelExchanges bounds the exchanges in flight at once.
	maxParallelExchanges = 16
	// retryAfterUnreachable is the Retry-After of a refusal when balance may exist
	// but cannot be reached.
	retryAfterUnreachable = 5 * time.Second
)

// Transport makes RPC calls to holders and agents. It is safe for concurrent use.
type Transport interface {
	// Exchange sends a request to the holder of the account and returns its reply.
	Exchange(ctx context.Context, req *budget.ExchangeRequest) (*budget.ExchangeReply, error)
	// AckBills tells the agent at an address that the bills of the attempts are
	// durable.
	AckBills(ctx context.Context, address string, attempts []uuid.UUID) error
	// AgentGone reports whether no agent in the host list has the address. The
	// agent's copies of bills then count as lost and need no acknowledgement.
	AgentGone(address string) bool
}

// Options configure a Wallet.
type Options struct {
	Self   budget.Incarnation
	Region string
	Shards uint32
	Policy budget.Policy
	// Transport is required.
	Transport Transport
	Metrics   metrics.Registry // nil for a private registry
	Log       *slog.Logger     // nil for no logging
}

// Wallet reserves, settles and releases tokens in the lots of this router. It is
// safe for concurrent use. Its mutex is not held during calls to other processes.
type Wallet struct {
	transport Transport
	log       *slog.Logger
	stats     stats
	wake      chan struct{}

	mu            sync.Mutex
	core          *budget.Wallet // makes the decisions
	policy        budget.Policy
	waitingTokens map[budget.ID]budget.Tokens // sum of the amounts that callers wait for
	changed       chan struct{}               // closed and replaced after each exchange
	violations    int64                       // invariant violations logged so far
}

type stats struct {
	refusals, exchanges, exchangeFailures, settled, released metrics.Counter
	grantWait                                                metrics.Timer
}

func newStats(r metrics.Registry) stats {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("monsoon.wallet."+name, r)
	}
	return stats{
		refusals: counter("refusals"), exchanges: counter("exchanges"),
		exchangeFailures: counter("exchange_failures"), settled: counter("settled_slots"),
		released:  counter("released_slots"),
		grantWait: metrics.GetOrRegisterTimer("monsoon.wallet.grant_wait_seconds", r),
	}
}

// New returns a wallet without lots. Run must be called for it to get any.
func New(o Options) *Wallet {
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	return &Wallet{
		transport: o.Transport, log: o.Log, stats: newStats(o.Metrics),
		wake: make(chan struct{}, 1), core: budget.NewWallet(o.Self, o.Region, o.Shards, o.Policy),
		policy: o.Policy, waitingTokens: map[budget.ID]budget.Tokens{}, changed: make(chan struct{}),
	}
}

// SetPolicy replaces the policy.
func (w *Wallet) SetPolicy(p budget.Policy) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.policy = p
	w.core.SetPolicy(p)
}

// Run exchanges with holders and acknowledges bills until ctx ends. It returns nil.
func (w *Wallet) Run(ctx context.Context) error {
	workers := new(errgroup.Group)
	workers.SetLimit(maxParallelExchanges)
	workers.Go(func() error { return w.retryAcks(ctx) })
	for ctx.Err() == nil {
		now := time.Now()
		w.mu.Lock()
		due, next := w.core.Due(now)
		w.core.Prune(now)
		w.mu.Unlock()
		for _, account := range due {
			workers.Go(func() error { w.exchange(ctx, account); return nil })
		}
		w.sleep(ctx, now, next)
	}
	return workers.Wait()
}

// sleep waits until next or a call of wakeUp, for at most maxSleep.
func (w *Wallet) sleep(ctx context.Context, now, next time.Time) {
	wait := maxSleep
	if !next.IsZero() {
		wait = min(wait, next.Sub(now))
	}
	timer := time.NewTimer(max(wait, time.Millisecond))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-w.wake:
	case <-timer.C:
	}
}

// wakeUp makes Run check for due exchanges immediately.
func (w *Wallet) wakeUp() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// exchange runs one exchange for an account, unless one is in flight.
func (w *Wallet) exchange(ctx context.Context, account budget.Account) {
	w.mu.Lock()
	req, ok := w.core.BuildExchange(time.Now(), account)
	w.mu.Unlock()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply, err := w.transport.Exchange(ctx, &req)
	w.stats.exchanges.Inc(1)
	if err != nil {
		w.stats.exchangeFailures.Inc(1)
	}
	w.mu.Lock()
	result := w.core.ApplyReply(time.Now(), account, req.Seq, reply, err)
	w.logViolations()
	close(w.changed)
	w.changed = make(chan struct{})
	w.mu.Unlock()
	w.wakeUp()
	w.sendAcks(ctx, result.Durable)
}

// logViolations logs the last invariant violation if there are new ones. The caller
// holds the lock.
func (w *Wallet) logViolations() {
	c := w.core.Counters()
	if c.Violations > w.violations {
		w.violations = c.Violations
		w.log.Error("wallet invariant violated", "violations", c.Violations, "last", c.LastViolation)
	}
}

// sendAcks tells agents, by address, which of their bills are durable. Failed
// acknowledgements stay pending unless the agent is gone.
func (w *Wallet) sendAcks(ctx context.Context, acks budget.AckList) {
	for address, attempts := range acks {
		err := w.transport.AckBills(ctx, address, attempts)
		if err != nil && !w.transport.AgentGone(address) {
			continue
		}
		w.mu.Lock()
		w.core.MarkAgentAcked(attempts)
		w.mu.Unlock()
	}
}

// retryAcks sends pending acknowledgements again at intervals until ctx ends.
func (w *Wallet) retryAcks(ctx context.Context) error {
	ticker := time.NewTicker(ackRetryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		w.mu.Lock()
		acks := w.core.PendingAcks()
		w.mu.Unlock()
		callCtx, cancel := context.WithTimeout(ctx, ackRetryInterval)
		w.sendAcks(callCtx, acks)
		cancel()
	}
}

// KeyHashes returns the SHA-256 hashes of a budget's API keys, none if the budget does
// not exist. It requests a refresh of hashes older than keysFreshAge from the holder,
// waits for it if they are older than keysStaleAge, and falls back to hashes of up to
// keysMaxAge if it does not arrive. It fails with a *verdict.Error with verdict
// NotRun, or with the error of ctx.
func (w *Wallet) KeyHashes(ctx context.Context, id budget.ID) ([][]byte, error) {
	w.mu.Lock()
	timer := time.NewTimer(max(w.policy.GrantTimeout(), time.Second))
	w.mu.Unlock()
	defer timer.Stop()
	start := time.Now()
	for {
		w.mu.Lock()
		hashes, updatedAt := w.core.KeyHashes(id)
		reason, changed := w.core.ShortfallReason(id), w.changed
		now := time.Now()
		if now.Sub(updatedAt) > keysFreshAge {
			w.core.RequestKeyHashes(now, id)
		}
		w.mu.Unlock()
		if now.Sub(updatedAt) > keysFreshAge {
			w.wakeUp()
		}
		switch {
		case len(hashes) > 0 && now.Sub(updatedAt) <= keysStaleAge:
			return hashes, nil
		case updatedAt.After(start) && reason == budget.ShortfallNoBudget:
			return nil, nil
		case updatedAt.After(start) && reason == budget.ShortfallNone:
			return hashes, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			if len(hashes) > 0 && now.Sub(updatedAt) <= keysMaxAge {
				return hashes, nil
			}
			return nil, verdict.New(verdict.NotRun, verdict.CodeBudgetUnreachable,
				"the keys of budget %q cannot be checked at the moment", id).WithRetryAfter(time.Second)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// Lots is the RPC by which a new holder of an account fetches this router's lots.
func (w *Wallet) Lots(args *wire.LotsArgs, reply *wire.LotsReply) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	lots, epoch, ok := w.core.ReportLots(time.Now(), args.Account, args.Epoch)
	reply.Lots, reply.Epoch, reply.Adopted = lots, epoch, ok
	return nil
}

// Poke is the RPC by which a holder that recalls lots requests an immediate exchange.
func (w *Wallet) Poke(args *wire.LotsArgs, _ *wire.Empty) error {
	w.mu.Lock()
	w.core.RequestExchange(args.Account)
	w.mu.Unlock()
	w.wakeUp()
	return nil
}

// LotBalance returns the state of a budget's lot, false if there is no lot.
func (w *Wallet) LotBalance(id budget.ID) (budget.LotBalance, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.core.Balance(id)
}

// Idle reports whether the wallet has no unfinished work: no request is in progress,
// all bills are durable, and all agents have acknowledged that.
func (w *Wallet) Idle() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.core.Idle()
}

// Drain waits until the wallet is idle, as reported by Idle. It fails with the error
// of ctx.
func (w *Wallet) Drain(ctx context.Context) error {
	for {
		w.mu.Lock()
		idle, changed := w.core.Idle(), w.changed
		w.mu.Unlock()
		if idle {
			return nil
		}
		w.wakeUp()
		timer := time.NewTimer(time.Second)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
		timer.Stop()
	}
}
