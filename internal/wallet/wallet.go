// Package wallet runs a router's wallet: it exchanges lots and bills with the
// holders of the region, makes callers wait for grants for a bounded time, and
// tells agents which of their bills are durable.
package wallet

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/attribute"
	"golang.org/x/sync/errgroup"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/telemetry"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

const (
	// exchangeTimeout bounds one exchange with a holder.
	exchangeTimeout = 2 * time.Second
	// readyTimeout bounds the wait for the renewal of a lot.
	readyTimeout = 2 * time.Second
	// keysFreshFor is how long key hashes are used without asking again.
	keysFreshFor = 5 * time.Second
	// keysStaleFor is how long they are used while an answer is awaited. A
	// revoked key stays usable for at most this time while its holder answers.
	keysStaleFor = 30 * time.Second
	// keysUsableFor is how long key hashes are used while no holder answers.
	keysUsableFor = time.Hour
	// ackInterval is the time between repeated acknowledgements to agents.
	ackInterval = 15 * time.Second
	// maxIdleWait bounds the loop's sleep.
	maxIdleWait = time.Second
	// maxParallelExchanges is the size of the pool of exchange workers.
	maxParallelExchanges = 16
	// retryAfterUnreachable is what a caller is told to wait when balance exists
	// but cannot be reached.
	retryAfterUnreachable = 5 * time.Second
)

// Transport reaches holders and agents.
type Transport interface {
	// Exchange sends a request to the account's holder and waits for the answer.
	Exchange(ctx context.Context, req *budget.ExchangeRequest) (*budget.ExchangeReply, error)
	// AckBills tells an agent which bills are durable.
	AckBills(ctx context.Context, address string, attempts []uuid.UUID) error
	// AgentGone reports whether no agent with the address is left, so that its copies
	// of bills are gone too.
	AgentGone(address string) bool
}

// Options configure a Wallet.
type Options struct {
	Self   budget.Incarnation
	Region string
	Shards uint32
	Policy budget.Policy
	// Transport must be set.
	Transport Transport
	Registry  metrics.Registry
	Log       *slog.Logger
}

// Wallet is safe for concurrent use. It has one lock, which is never held during
// a call to another process.
type Wallet struct {
	transport Transport
	log       *slog.Logger
	stats     stats
	wake      chan struct{}

	mu      sync.Mutex
	core    *budget.Wallet
	policy  budget.Policy
	waiting map[budget.ID]budget.Tokens
	changed chan struct{} // closed and replaced after each answer
	faults  int64         // invariant violations logged so far
}

type stats struct {
	refusals, exchanges, failures, settled, released metrics.Counter
	wait                                             metrics.Timer
}

func newStats(r metrics.Registry) stats {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("monsoon.wallet."+name, r)
	}
	return stats{
		refusals: counter("refusals"), exchanges: counter("exchanges"),
		failures: counter("exchange_failures"), settled: counter("settled_slots"),
		released: counter("released_slots"),
		wait:     metrics.GetOrRegisterTimer("monsoon.wallet.grant_wait_seconds", r),
	}
}

// New returns a wallet without lots. Run must be called for it to work.
func New(o Options) *Wallet {
	if o.Registry == nil {
		o.Registry = metrics.NewRegistry()
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	return &Wallet{
		transport: o.Transport, log: o.Log, stats: newStats(o.Registry),
		wake: make(chan struct{}, 1), core: budget.NewWallet(o.Self, o.Region, o.Shards, o.Policy),
		policy: o.Policy, waiting: map[budget.ID]budget.Tokens{}, changed: make(chan struct{}),
	}
}

// SetPolicy applies a changed configuration.
func (w *Wallet) SetPolicy(p budget.Policy) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.policy = p
	w.core.SetPolicy(p)
}

// Run exchanges with holders until ctx ends. It returns nil.
func (w *Wallet) Run(ctx context.Context) error {
	workers := new(errgroup.Group)
	workers.SetLimit(maxParallelExchanges)
	workers.Go(func() error { return w.repeatAcks(ctx) })
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

func (w *Wallet) sleep(ctx context.Context, now, next time.Time) {
	wait := maxIdleWait
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

// poke makes Run look for due exchanges at once.
func (w *Wallet) poke() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// exchange does one exchange for an account, unless one is in flight.
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
		w.stats.failures.Inc(1)
	}
	w.mu.Lock()
	result := w.core.ApplyReply(time.Now(), account, req.Seq, reply, err)
	w.reportFaults()
	close(w.changed)
	w.changed = make(chan struct{})
	w.mu.Unlock()
	w.poke()
	w.acknowledge(ctx, result.Durable)
}

// logViolations logs new invariant violations. The caller holds the lock.
func (w *Wallet) reportFaults() {
	c := w.core.Counters()
	if c.Violations > w.faults {
		w.faults = c.Violations
		w.log.Error("wallet invariant violated", "violations", c.Violations, "last", c.LastViolation)
	}
}

func (w *Wallet) acknowledge(ctx context.Context, acks budget.AckList) {
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

// repeatAcks repeats acknowledgements that did not arrive.
func (w *Wallet) repeatAcks(ctx context.Context) error {
	ticker := time.NewTicker(ackInterval)
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
		callCtx, cancel := context.WithTimeout(ctx, ackInterval)
		w.acknowledge(callCtx, acks)
		cancel()
	}
}

// Reserve takes a reservation of amount tokens. While the lot is too small it
// waits for a grant, for a time that the policy bounds. It fails with a
// *verdict.Error with verdict NotRun, or with the error of ctx.
func (w *Wallet) Reserve(ctx context.Context, id budget.ID, amount budget.Tokens) (budget.Reservation, error) {
	start := time.Now()
	w.mu.Lock()
	hold, _, ok := w.core.Reserve(start, id, amount)
	if ok {
		w.mu.Unlock()
		return hold, nil
	}
	w.addWaiting(start, id, amount)
	wait := w.policy.GrantTimeout()
	w.mu.Unlock()
	defer w.stats.wait.UpdateSince(start)
	waitCtx, span := telemetry.StartSpan(ctx, "wallet.wait_for_grant",
		attribute.String("monsoon.budget", string(id)), attribute.Int64("monsoon.tokens", int64(amount)))
	hold, err := w.waitForGrant(waitCtx, id, amount, start.Add(wait))
	telemetry.EndSpan(span, spanCode(err))
	w.mu.Lock()
	w.addWaiting(time.Now(), id, -amount)
	w.mu.Unlock()
	if err != nil {
		w.stats.refusals.Inc(1)
	}
	return hold, err
}

// addWaiting changes the sum that callers wait for. The caller holds the lock.
func (w *Wallet) addWaiting(now time.Time, id budget.ID, amount budget.Tokens) {
	w.waiting[id] += amount
	w.core.SetWaiting(now, id, w.waiting[id])
	if w.waiting[id] == 0 {
		delete(w.waiting, id)
	}
}

// spanCode returns the code of an error for a span.
func spanCode(err error) string {
	if err == nil {
		return ""
	}
	return string(verdict.CodeOf(err))
}

func (w *Wallet) waitForGrant(ctx context.Context, id budget.ID, amount budget.Tokens, until time.Time) (budget.Reservation, error) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	for {
		w.mu.Lock()
		hold, _, ok := w.core.Reserve(time.Now(), id, amount)
		missing, changed := w.core.Shortfall(id), w.changed
		w.mu.Unlock()
		switch {
		case ok:
			return hold, nil
		case missing == budget.ShortfallExhausted || missing == budget.ShortfallNoBudget:
			return hold, refusal(missing, id, amount)
		}
		w.poke()
		select {
		case <-changed:
		case <-timer.C:
			return hold, refusal(missing, id, amount)
		case <-ctx.Done():
			return hold, ctx.Err()
		}
	}
}

// refusal explains why a reservation was not granted.
func refusal(missing budget.ShortfallReason, id budget.ID, amount budget.Tokens) error {
	switch missing {
	case budget.ShortfallExhausted:
		return verdict.New(verdict.NotRun, verdict.CodeBudgetExhausted,
			"budget %q has less than the %d tokens left that this request may use", id, amount)
	case budget.ShortfallReserved:
		return verdict.New(verdict.NotRun, verdict.CodeBudgetExhausted,
			"requests in progress have reserved what budget %q has left", id).WithRetryAfter(time.Second)
	case budget.ShortfallNoBudget:
		return verdict.New(verdict.NotRun, verdict.CodeNotFound, "budget %q does not exist", id)
	default:
		return verdict.New(verdict.NotRun, verdict.CodeBudgetUnreachable,
			"the balance of budget %q cannot be reached at the moment", id).WithRetryAfter(retryAfterUnreachable)
	}
}

// ConfirmLot waits until the hold's lot may be used on an agent session that was
// established at the given time, and returns the epoch that goes into the
// request. It fails with a *verdict.Error with verdict NotRun.
func (w *Wallet) ConfirmLot(ctx context.Context, hold budget.Reservation, established time.Time) (uint64, error) {
	timer := time.NewTimer(readyTimeout)
	defer timer.Stop()
	for {
		w.mu.Lock()
		ready, err := w.core.Ready(hold, established)
		epoch := w.core.LotEpoch(hold)
		if !ready && err == nil {
			w.core.RequestExchange(hold.Lot.Account)
		}
		changed := w.changed
		w.mu.Unlock()
		switch {
		case errors.Is(err, budget.ErrLotDropped):
			return 0, unreached(hold).WithCause(err)
		case err != nil:
			return 0, err
		case ready:
			return epoch, nil
		}
		w.poke()
		select {
		case <-changed:
		case <-timer.C:
			return 0, unreached(hold)
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
}

func unreached(hold budget.Reservation) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeBudgetUnreachable,
		"the reservation in budget %q could not be confirmed", hold.Budget).WithRetryAfter(time.Second)
}

// Settle replaces a hold by its bill. agentAddress names the agent that has a
// copy of the bill or may still make one, empty if none can.
func (w *Wallet) Settle(hold budget.Reservation, bill budget.Bill, agentAddress string) {
	w.mu.Lock()
	err := w.core.Settle(time.Now(), hold, bill, agentAddress)
	w.mu.Unlock()
	w.stats.settled.Inc(1)
	w.logEnd("settle", hold, err)
}

// Release gives a hold back. It is allowed only if its attempt certainly did not
// run and never will.
func (w *Wallet) Release(hold budget.Reservation) {
	w.mu.Lock()
	err := w.core.Release(time.Now(), hold)
	w.mu.Unlock()
	w.stats.released.Inc(1)
	w.logEnd("release", hold, err)
}

func (w *Wallet) logEnd(what string, hold budget.Reservation, err error) {
	if err != nil && !errors.Is(err, budget.ErrLotDropped) {
		w.log.Error("reservation not ended", "operation", what, "budget", hold.Budget, "slot", hold.Slot, "error", err)
	}
}

// KeyHashes returns the SHA-256 hashes of a budget's API keys. It asks the holder if
// they are older than a few seconds and goes on with known ones while no holder
// answers. A budget that does not exist has no keys.
func (w *Wallet) KeyHashes(ctx context.Context, id budget.ID) ([][]byte, error) {
	w.mu.Lock()
	timer := time.NewTimer(max(w.policy.GrantTimeout(), time.Second))
	w.mu.Unlock()
	defer timer.Stop()
	asked := time.Now()
	for {
		w.mu.Lock()
		hashes, at := w.core.KeyHashes(id)
		missing, changed := w.core.Shortfall(id), w.changed
		now := time.Now()
		if now.Sub(at) > keysFreshFor {
			w.core.RequestKeyHashes(now, id)
		}
		w.mu.Unlock()
		if now.Sub(at) > keysFreshFor {
			w.poke()
		}
		switch {
		case len(hashes) > 0 && now.Sub(at) <= keysStaleFor:
			return hashes, nil
		case at.After(asked) && missing == budget.ShortfallNoBudget:
			return nil, nil
		case at.After(asked) && missing == budget.ShortfallNone:
			return hashes, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			if len(hashes) > 0 && now.Sub(at) <= keysUsableFor {
				return hashes, nil
			}
			return nil, verdict.New(verdict.NotRun, verdict.CodeBudgetUnreachable,
				"the keys of budget %q cannot be checked at the moment", id).WithRetryAfter(time.Second)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// Lots implements the call of a holder that took an account over.
func (w *Wallet) Lots(args *wire.LotsArgs, reply *wire.LotsReply) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	lots, epoch, ok := w.core.Lots(time.Now(), args.Account, args.Epoch)
	reply.Lots, reply.Epoch, reply.Adopted = lots, epoch, ok
	return nil
}

// Poke implements the call of a holder that recalls lots of an account.
func (w *Wallet) Poke(args *wire.LotsArgs, _ *wire.Empty) error {
	w.mu.Lock()
	w.core.RequestExchange(args.Account)
	w.mu.Unlock()
	w.poke()
	return nil
}

// Balance returns the state of a budget's lot at this router.
func (w *Wallet) Balance(id budget.ID) (budget.LotBalance, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.core.Balance(id)
}

// Idle reports whether nothing is left to report: no request is in progress, all
// bills are durable, and all agents have acknowledged it.
func (w *Wallet) Idle() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.core.Idle()
}

// Drain waits until nothing is left to report: all bills are durable and all
// agents have acknowledged it. It fails with the error of ctx.
func (w *Wallet) Drain(ctx context.Context) error {
	for {
		w.mu.Lock()
		idle, changed := w.core.Idle(), w.changed
		w.mu.Unlock()
		if idle {
			return nil
		}
		w.poke()
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
