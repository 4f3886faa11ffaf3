package prepaid

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/monsoonworks/monsoonworks/internal/store"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
)

// Figures of the exchange with the store.
const (
	// minSyncInterval and maxSyncInterval bound how often a share is changed
	// without a request that waits for it.
	minSyncInterval = 700 * time.Millisecond
	maxSyncInterval = 2500 * time.Millisecond
	// stateInterval is how often the statement is written while budgets are used.
	stateInterval = 1500 * time.Millisecond
	// idleAfter is the time without requests after which a share is given back.
	idleAfter = 4 * time.Second
	// surplus is the demand that a share covers from which a holder looks whether it
	// should give some back, and minSurplus the tokens that it keeps in any case.
	surplus    = 24 * time.Second
	minSurplus = 30000
	// drawPercent is the part of a share's window below which the share is changed.
	drawPercent = 40
	// tick is how often the book looks for shares to change.
	tick = 100 * time.Millisecond
	// accountsPerTxn is the number of accounts in one transaction. Each takes a
	// condition and a write, and so does the statement.
	accountsPerTxn = 14
	// conflictTries is how often a transaction is tried again at once after another
	// holder changed an account.
	conflictTries = 6
	// refreshAge is the age from which an account is read before it is changed, and
	// refreshAccounts the number of accounts up to which that costs less than a
	// conflict.
	refreshAge      = 60 * time.Millisecond
	refreshAccounts = 3
	// closeSpread bounds the random time until the share of an earlier process is
	// closed for which no request asks.
	closeSpread = 3 * time.Second
	// waitStep is how often a request that waits looks again.
	waitStep = 25 * time.Millisecond
	// conflictPause bounds the random pause after a conflict, which keeps holders that
	// met from meeting again.
	conflictPause = 8 * time.Millisecond
	// maxWait is how long a request waits for its holder's share to grow.
	maxWait = 250 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a failed exchange.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// minShort and maxShort bound how long an account that could not cover a request
	// is not asked again for others. The time doubles while the account stays short.
	minShort = 500 * time.Millisecond
	maxShort = 6 * time.Second
	// retryUnreached is the Retry-After of a request that the holder's share does not
	// cover, though the workspace's balance may.
	retryUnreached = 500 * time.Millisecond
)

// Options configure a Book.
type Options struct {
	// QuotaServer names this process; see QuotaServerName.
	QuotaServer string
	// Prefix begins the keys of accounts and statements in the store.
	Prefix string
	// Clock is the host's; see NewBootClock.
	Clock   Clock
	Store   store.KV
	Policy  Policy
	Log     *slog.Logger
	Metrics metrics.Registry
}

// Manager holds a process's shares of accounts. It is safe for concurrent use.
type Manager struct {
	opts  Options
	self  identity
	wake  chan struct{}
	stats stats
	// failing is set while exchanges fail.
	failing atomic.Bool
	// adopted is set when the shares of earlier processes of the host are known. Only
	// Run uses it.
	adopted bool

	mu            sync.Mutex
	ledgers       map[string]*ledger
	stateRevision int64     // of the host's statement
	stated        time.Time // when the statement was written
	unresolved    []int64   // revisions on which statements of unknown outcome depend
}

type stats struct {
	syncs, conflicts, lost, unavailable metrics.Counter
	waits, exhausted, unreached         metrics.Counter
}

// NewManager returns a book without accounts.
func NewManager(o Options) *Manager {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("monsoon.prepaid."+name, o.Metrics)
	}
	return &Manager{
		opts: o, self: identity{holder: o.QuotaServer, start: o.Clock.Now()}, wake: make(chan struct{}, 1), ledgers: make(map[string]*ledger),
		stats: stats{
			syncs: counter("syncs"), conflicts: counter("conflicts"), lost: counter("answers_lost"),
			unavailable: counter("store_unavailable"), waits: counter("waits"),
			exhausted: counter("refused_exhausted"), unreached: counter("refused_unreached"),
		},
	}
}

// QuotaServer names this process.
func (b *Manager) QuotaServer() string { return b.opts.QuotaServer }

// ReservationRequest asks for a part of a workspace's balance.
type ReservationRequest struct {
	Workspace string
	// Paid is what the workspace has paid for, by the configuration Version.
	Paid    Tokens
	Version int64
	// Bound is what the request consumes at most.
	Bound Tokens
}

// Reservation is an amount that a request may consume.
type Reservation interface {
	// Settle ends the reservation with what the request consumed, at most the amount
	// reserved. Further calls do nothing.
	Settle(used Tokens)
}

// reservation is a Reservation of a Book.
type reservation struct {
	book   *Manager
	ledger *ledger
	amount Tokens
	once   sync.Once
}

// Settle implements Reservation.
func (r *reservation) Settle(used Tokens) {
	r.once.Do(func() {
		r.book.mu.Lock()
		defer r.book.mu.Unlock()
		r.ledger.settle(r.amount, min(used, r.amount))
	})
}

// Reserve takes the bound of a request from the holder's share of the workspace's
// account. It waits briefly for the share to grow. Its errors are *verdict.Error
// with NotRun: CodeBudgetExhausted only if the balance in truth does not cover the
// bound, CodeBudgetUnreachable if this holder cannot tell or cannot get at it.
func (b *Manager) Reserve(ctx context.Context, claim ReservationRequest) (Reservation, error) {
	b.mu.Lock()
	l := b.open(claim.Workspace)
	l.notePaid(claim.Paid, claim.Version)
	l.asked = time.Now()
	if l.reserve(claim.Bound, b.opts.Clock.Now()) {
		b.mu.Unlock()
		return &reservation{book: b, ledger: l, amount: claim.Bound}, nil
	}
	b.mu.Unlock()
	b.stats.waits.Inc(1)
	return b.await(ctx, l, claim.Bound)
}

// open returns the ledger of a workspace, which it makes if there is none. It is
// called under the mutex.
func (b *Manager) open(workspace string) *ledger {
	l := b.ledgers[workspace]
	if l == nil {
		l = newLedger(workspace, time.Now())
		b.ledgers[workspace] = l
	}
	return l
}

// StoreFailing reports whether the last exchange with the store failed.
func (b *Manager) StoreFailing() bool { return b.failing.Load() }

// await waits until the share covers the bound, the account shows that the balance
// does not, or the time is up.
func (b *Manager) await(ctx context.Context, l *ledger, bound Tokens) (Reservation, error) {
	timeout := time.NewTimer(maxWait)
	defer timeout.Stop()
	b.mu.Lock()
	defer b.mu.Unlock()
	began := time.Now()
	l.wanted += bound
	defer func() { l.wanted -= bound }()
	for {
		if l.reserve(bound, b.opts.Clock.Now()) {
			return &reservation{book: b, ledger: l, amount: bound}, nil
		}
		if err := l.refusal(b.self, b.opts.Clock.Now(), bound, began); err != nil {
			b.countRefusal(err)
			return nil, err
		}
		changed := l.changed
		b.mu.Unlock()
		b.signal()
		err := wait(ctx, changed, timeout.C)
		b.mu.Lock()
		if err != nil && err.Code != verdict.CodeCanceled && l.reserve(bound, b.opts.Clock.Now()) {
			return &reservation{book: b, ledger: l, amount: bound}, nil
		}
		if err != nil {
			err.Detail += ": " + l.describe(b.opts.Clock.Now())
			b.countRefusal(err)
			return nil, err
		}
	}
}

// wait waits for a change of the account, or a little: what may be spent also grows
// with time, and as other requests end. It fails when the time is up or the caller
// is gone.
func wait(ctx context.Context, changed <-chan struct{}, timeout <-chan time.Time) *verdict.Error {
	again := time.NewTimer(waitStep)
	defer again.Stop()
	select {
	case <-changed:
		return nil
	case <-again.C:
		return nil
	case <-timeout:
		return unreached("the holder's share does not cover the request")
	case <-ctx.Done():
		return verdict.New(verdict.NotRun, verdict.CodeCanceled, "the caller disconnected")
	}
}

// refusal returns the error of a request that waiting does not help, nil if it
// may. An account that was read before the request began to wait proves nothing,
// unless it was short of balance a moment ago.
func (l *ledger) refusal(self identity, now Instant, bound Tokens, began time.Time) *verdict.Error {
	if l.damaged != nil {
		return unreached("the workspace's account cannot be read")
	}
	if !l.known {
		return nil
	}
	if !l.account.mayCover(l.position(self), l.paid, bound) {
		return verdict.New(verdict.NotRun, verdict.CodeBudgetExhausted, "the balance does not cover the request: %s", l.describe(now))
	}
	if l.synced.After(began) && l.paid-l.account.limits() < bound {
		l.noteShort(bound)
		return unreached("other holders hold what is left of the balance: " + l.describe(now))
	}
	if began.Before(l.shortUntil) {
		err := unreached("other holders held what is left of the balance a moment ago: " + l.describe(now))
		err.RetryAfter = max(err.RetryAfter, l.shortUntil.Sub(began))
		return err
	}
	return nil
}

// readAge says when the account was read, for logs.
func (l *ledger) readAge() string {
	if l.synced.IsZero() {
		return "never"
	}
	return time.Since(l.synced).Round(time.Millisecond).String() + " ago"
}

// noteShort notes that the account was read and does not cover a request.
func (l *ledger) noteShort(bound Tokens) {
	if l.limit()-l.spent-l.reserved >= bound || l.synced.Before(l.shortUntil) {
		return
	}
	l.shortFor = min(max(l.shortFor*2, minShort), maxShort)
	l.shortUntil = l.synced.Add(l.shortFor)
}

// describe gives the amounts that decide about a request, for logs.
func (l *ledger) describe(now Instant) string {
	others := l.account.limits() - l.account.Closed - l.account.share(l.share.QuotaServer).Limit
	return fmt.Sprintf("paid %d, spent here %d, reserved here %d, limit here %d, usable here now %d, held by others %d, ended holders %d of which spent %d, account read %s",
		l.paid, l.spent, l.reserved, l.limit(), l.usable(now), others, l.account.Closed, l.account.ClosedSpent, l.readAge())
}

func unreached(detail string) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeBudgetUnreachable, "%s", detail).WithRetryAfter(retryUnreached)
}

func (b *Manager) countRefusal(err *verdict.Error) {
	if err.Code == verdict.CodeBudgetExhausted {
		b.stats.exhausted.Inc(1)
	} else {
		b.stats.unreached.Inc(1)
	}
}

// signal wakes the exchange.
func (b *Manager) signal() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// Close gives back what is not spent. It is called after the last request.
func (b *Manager) Close(ctx context.Context) error {
	var errs []error
	for _, batch := range b.batches() {
		errs = append(errs, b.exchange(ctx, batch, b.planEnd))
	}
	return errors.Join(errs...)
}

// batches returns the ledgers with a share, in groups for one transaction.
func (b *Manager) batches() [][]*ledger {
	b.mu.Lock()
	defer b.mu.Unlock()
	var batches [][]*ledger
	for _, l := range b.ledgers {
		if l.share.Limit == 0 && len(l.unresolved) == 0 || l.damaged != nil {
			continue
		}
		if n := len(batches); n == 0 || len(batches[n-1]) == accountsPerTxn {
			batches = append(batches, nil)
		}
		batches[len(batches)-1] = append(batches[len(batches)-1], l)
	}
	return batches
}

// planEnd ends the holder's own share with what it spent.
func (b *Manager) planEnd(l *ledger) QuotaRecord {
	next := l.account
	next.Shares = append([]Share(nil), l.account.Shares...)
	next.closeBefore(b.self.holder, b.self.start, l.workspace, b.self.last)
	used := l.spent + l.reserved
	next.Closed += used
	next.ClosedSpent += used
	next.Shares = slices.DeleteFunc(next.Shares, func(s Share) bool { return s.QuotaServer == b.self.holder })
	return next
}
