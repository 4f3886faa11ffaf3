package prepaid

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
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
	// tick is how often the book looks for shares to change.
	tick = 100 * time.Millisecond
	// accountsPerTxn is the number of accounts in one transaction. Each takes a
	// condition and a write.
	accountsPerTxn = 15
	// conflictTries is how often a transaction is tried again at once after another
	// gate changed an account.
	conflictTries = 6
	// maxWait is how long a request waits for its gate's share to grow.
	maxWait = 250 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a failed exchange.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// shortMemory is how long an account that could not cover a request is not asked
	// again for others.
	shortMemory = time.Second
	// retryUnreached is the Retry-After of a request that the gate's share does not
	// cover, though the workspace's balance may.
	retryUnreached = 500 * time.Millisecond
)

// Options configure a Book.
type Options struct {
	// Holder names this process; see HolderName.
	Holder string
	// Prefix begins the accounts' keys in the store.
	Prefix string
	// Clock is the host's; see NewBootClock.
	Clock   Clock
	Store   store.KV
	Policy  Policy
	Log     *slog.Logger
	Metrics metrics.Registry
}

// Book holds a gate's shares of all accounts. It is safe for concurrent use.
type Book struct {
	opts  Options
	self  identity
	wake  chan struct{}
	stats stats

	mu      sync.Mutex
	ledgers map[string]*ledger
	last    string // the last workspace of the exchange before
}

type stats struct {
	syncs, conflicts, lost, unavailable metrics.Counter
	waits, exhausted, unreached         metrics.Counter
}

// NewBook returns a book without accounts.
func NewBook(o Options) *Book {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("monsoon.prepaid."+name, o.Metrics)
	}
	return &Book{
		opts: o, self: identity{o.Holder, o.Clock.Now()}, wake: make(chan struct{}, 1), ledgers: make(map[string]*ledger),
		stats: stats{
			syncs: counter("syncs"), conflicts: counter("conflicts"), lost: counter("answers_lost"),
			unavailable: counter("store_unavailable"), waits: counter("waits"),
			exhausted: counter("refused_exhausted"), unreached: counter("refused_unreached"),
		},
	}
}

// SetPaid sets what workspaces have paid for. A workspace without an entry keeps
// its ledger, since its requests may be in progress.
func (b *Book) SetPaid(paid map[string]Tokens) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	for workspace, tokens := range paid {
		l := b.ledgers[workspace]
		if l == nil {
			l = newLedger(workspace, now)
			b.ledgers[workspace] = l
		}
		l.paid = tokens
	}
	b.signal()
}

// Ready reports whether every account was read at least once.
func (b *Book) Ready() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, l := range b.ledgers {
		if !l.known && l.damaged == nil {
			return false
		}
	}
	return true
}

// Reservation is an amount that a request may consume.
type Reservation struct {
	book   *Book
	ledger *ledger
	amount Tokens
	once   sync.Once
}

// Settle ends the reservation with what the request consumed, at most the amount
// reserved. Further calls do nothing.
func (r *Reservation) Settle(used Tokens) {
	r.once.Do(func() {
		r.book.mu.Lock()
		defer r.book.mu.Unlock()
		r.ledger.settle(r.amount, min(used, r.amount))
	})
}

// Reserve takes the bound of a request from the gate's share of the workspace's
// account. It waits briefly for the share to grow. Its errors are *verdict.Error
// with NotRun: CodeBudgetExhausted only if the balance in truth does not cover the
// bound, CodeBudgetUnreached if this gate cannot tell or cannot get at it.
func (b *Book) Reserve(ctx context.Context, workspace string, bound Tokens) (*Reservation, error) {
	b.mu.Lock()
	l := b.ledgers[workspace]
	if l != nil && l.reserve(bound, b.opts.Clock.Now()) {
		b.mu.Unlock()
		return &Reservation{book: b, ledger: l, amount: bound}, nil
	}
	b.mu.Unlock()
	if l == nil {
		return nil, verdict.New(verdict.NotRun, verdict.CodeBudgetUnreached, "the workspace has no account yet").WithRetryAfter(retryUnreached)
	}
	b.stats.waits.Inc(1)
	return b.await(ctx, l, bound)
}

// await waits until the share covers the bound, the account shows that the balance
// does not, or the time is up.
func (b *Book) await(ctx context.Context, l *ledger, bound Tokens) (*Reservation, error) {
	timeout := time.NewTimer(maxWait)
	defer timeout.Stop()
	b.mu.Lock()
	defer b.mu.Unlock()
	began := time.Now()
	l.wanted += bound
	defer func() { l.wanted -= bound }()
	for {
		if l.reserve(bound, b.opts.Clock.Now()) {
			return &Reservation{book: b, ledger: l, amount: bound}, nil
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
		if err != nil {
			err.Detail += ": " + l.describe(b.opts.Clock.Now())
			b.countRefusal(err)
			return nil, err
		}
	}
}

// wait waits for a change of the account. It fails when the time is up or the
// caller is gone.
func wait(ctx context.Context, changed <-chan struct{}, timeout <-chan time.Time) *verdict.Error {
	select {
	case <-changed:
		return nil
	case <-timeout:
		return unreached("the gate's share does not cover the request")
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
	if !l.account.mayCover(l.position(self, now), l.paid, bound) {
		return verdict.New(verdict.NotRun, verdict.CodeBudgetExhausted, "the balance does not cover the request: %s", l.describe(now))
	}
	if l.synced.After(began) {
		if l.limit()-l.spent-l.reserved < bound {
			l.short = l.synced
		}
		return unreached("other gates hold what is left of the balance: " + l.describe(now))
	}
	if began.Sub(l.short) < shortMemory {
		return unreached("other gates held what is left of the balance a moment ago: " + l.describe(now))
	}
	return nil
}

// describe gives the amounts that decide about a request, for logs.
func (l *ledger) describe(now Instant) string {
	others := l.account.limits() - l.account.Closed - l.account.share(l.share.Holder).Limit
	return fmt.Sprintf("paid %d, spent here %d, reserved here %d, limit here %d, usable here now %d, held by others %d, ended gates %d of which spent %d, account read %d ms ago",
		l.paid, l.spent, l.reserved, l.limit(), l.usable(now), others, l.account.Closed, l.account.ClosedSpent, time.Since(l.synced).Milliseconds())
}

func unreached(detail string) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeBudgetUnreached, "%s", detail).WithRetryAfter(retryUnreached)
}

func (b *Book) countRefusal(err *verdict.Error) {
	if err.Code == verdict.CodeBudgetExhausted {
		b.stats.exhausted.Inc(1)
	} else {
		b.stats.unreached.Inc(1)
	}
}

// signal wakes the exchange.
func (b *Book) signal() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// Run changes shares in the store as they are used, until ctx ends.
func (b *Book) Run(ctx context.Context) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	backoff := minBackoff
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-b.wake:
		}
		batch := b.due(time.Now())
		if len(batch) == 0 {
			continue
		}
		if err := b.exchange(ctx, batch, b.planShares); err != nil {
			b.opts.Log.Warn("shares not changed", "accounts", len(batch), "error", err, "retry_in", backoff)
			if pause(ctx, backoff) != nil {
				return nil
			}
			backoff = min(backoff*2, maxBackoff)
			continue
		}
		backoff = minBackoff
	}
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// due returns the ledgers whose shares should be changed now.
func (b *Book) due(now time.Time) []*ledger {
	b.mu.Lock()
	defer b.mu.Unlock()
	var due, stale []*ledger
	for _, l := range b.ledgers {
		if now.Sub(l.averaged) >= tick {
			l.average(now)
		}
		switch {
		case l.due(b.opts.Clock.Now(), now):
			due = append(due, l)
		case l.stale(now):
			stale = append(stale, l)
		}
	}
	urgent := false
	for _, l := range due {
		urgent = urgent || l.wanted > 0
	}
	batch := due
	if len(due) > 0 && !urgent {
		// Accounts that would be due soon go along, so that the calls are few. With
		// a request that waits they do not: each can make the exchange conflict.
		batch = append(batch, stale...)
	}
	return batch[:min(len(batch), accountsPerTxn)]
}

// planner returns the account that a ledger should write.
type planner func(l *ledger) Account

func (b *Book) planShares(l *ledger) Account {
	return b.opts.Policy.plan(l.account, l.position(b.self, b.opts.Clock.Now()), l.paid)
}

// exchange writes the planned accounts in one transaction. Another gate's change
// is learned and the plan made again.
func (b *Book) exchange(ctx context.Context, batch []*ledger, plan planner) error {
	began := time.Now()
	for try := range conflictTries {
		txn, proposals, err := b.propose(batch, plan)
		if err != nil {
			return err
		}
		b.stats.syncs.Inc(1)
		result, err := b.opts.Store.Commit(ctx, txn)
		if err != nil {
			b.failed(batch, err)
			return err
		}
		if result.Committed {
			b.committed(batch, proposals, result.Revision)
			b.opts.Log.Info("shares changed", "accounts", len(batch), "conflicts", try,
				"revision", result.Revision, "ms", time.Since(began).Milliseconds())
			return nil
		}
		b.stats.conflicts.Inc(1)
		if err := b.learn(batch, result.Current); err != nil {
			return err
		}
	}
	return errConflicts
}

var errConflicts = errors.New("accounts keep changing")

// propose plans the accounts. From here until the outcome is known, only what both
// the old and the new limits allow can be spent.
func (b *Book) propose(batch []*ledger, plan planner) (store.Txn, []Account, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var txn store.Txn
	proposals := make([]Account, len(batch))
	for i, l := range batch {
		proposals[i] = plan(l)
		raw, err := proposals[i].Encode()
		if err != nil {
			return txn, nil, err
		}
		key := b.key(l)
		txn.Compare = append(txn.Compare, store.Compare{Key: key, ModRevision: l.revision})
		txn.Write = append(txn.Write, store.Write{Key: key, Value: raw})
	}
	for i, l := range batch {
		l.unresolved = append(l.unresolved, attempt{share: proposals[i].share(b.opts.Holder), base: l.revision})
	}
	return txn, proposals, nil
}

func (b *Book) key(l *ledger) string { return b.opts.Prefix + l.workspace }

// committed takes over the accounts that were written.
func (b *Book) committed(batch []*ledger, proposals []Account, revision int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	for i, l := range batch {
		l.synced = now
		l.learn(proposals[i], revision, b.opts.Holder)
	}
}

// failed notes a transaction that the store did not decide. One that certainly was
// not done leaves nothing unresolved.
func (b *Book) failed(batch []*ledger, err error) {
	if !errors.Is(err, store.ErrUnavailable) && !errors.Is(err, store.ErrTooLarge) {
		b.stats.lost.Inc(1)
		return
	}
	b.stats.unavailable.Inc(1)
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, l := range batch {
		l.dropLast()
	}
}

// learn takes over the accounts that a failed condition showed. An account that is
// not among them does not exist.
func (b *Book) learn(batch []*ledger, current []store.Entry) error {
	found := make(map[string]store.Entry, len(current))
	for _, e := range current {
		found[e.Key] = e
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var damaged error
	for _, l := range batch {
		e := found[b.key(l)]
		account, err := DecodeAccount(e.Value)
		if err != nil {
			l.damaged = err
			damaged = fmt.Errorf("account %s: %w", l.workspace, err)
			continue
		}
		l.dropLast() // the transaction that showed this was not done
		l.learn(account, e.ModRevision, b.opts.Holder)
	}
	return damaged
}

// Close gives back what is not spent. It is called after the last request.
func (b *Book) Close(ctx context.Context) error {
	var errs []error
	for _, batch := range b.batches() {
		errs = append(errs, b.exchange(ctx, batch, b.planEnd))
	}
	return errors.Join(errs...)
}

// batches returns the ledgers with a share, in groups for one transaction.
func (b *Book) batches() [][]*ledger {
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

// planEnd ends the gate's own share with what it spent.
func (b *Book) planEnd(l *ledger) Account {
	next := l.account
	next.Shares = append([]Share(nil), l.account.Shares...)
	next.closeBefore(b.self.holder, b.self.start)
	used := l.spent + l.reserved
	next.Closed += used
	next.ClosedSpent += used
	next.Shares = slices.DeleteFunc(next.Shares, func(s Share) bool { return s.Holder == b.self.holder })
	return next
}
