package prepaid

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
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
	// stateInterval is how often the statement is written while budgets are used.
	stateInterval = 1500 * time.Millisecond
	// drawPercent is the part of a share's window below which the share is changed.
	drawPercent = 40
	// tick is how often the book looks for shares to change.
	tick = 100 * time.Millisecond
	// accountsPerTxn is the number of accounts in one transaction. Each takes a
	// condition and a write, and so does the statement.
	accountsPerTxn = 14
	// conflictTries is how often a transaction is tried again at once after another
	// gate changed an account.
	conflictTries = 6
	// refreshAge is the age from which an account is read before it is changed, and
	// refreshAccounts the number of accounts up to which that costs less than a
	// conflict.
	refreshAge      = 60 * time.Millisecond
	refreshAccounts = 3
	// waitStep is how often a request that waits looks again.
	waitStep = 25 * time.Millisecond
	// conflictPause bounds the random pause after a conflict, which keeps gates that
	// met from meeting again.
	conflictPause = 8 * time.Millisecond
	// maxWait is how long a request waits for its gate's share to grow.
	maxWait = 250 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a failed exchange.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// minShort and maxShort bound how long an account that could not cover a request
	// is not asked again for others. The time doubles while the account stays short.
	minShort = 500 * time.Millisecond
	maxShort = 6 * time.Second
	// retryUnreached is the Retry-After of a request that the gate's share does not
	// cover, though the workspace's balance may.
	retryUnreached = 500 * time.Millisecond
)

// Options configure a Book.
type Options struct {
	// Holder names this process; see HolderName.
	Holder string
	// Prefix begins the keys of accounts and statements in the store.
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

// NewBook returns a book without accounts.
func NewBook(o Options) *Book {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("monsoon.prepaid."+name, o.Metrics)
	}
	return &Book{
		opts: o, self: identity{holder: o.Holder, start: o.Clock.Now()}, wake: make(chan struct{}, 1), ledgers: make(map[string]*ledger),
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
		if tokens > l.paid {
			l.shortFor, l.shortUntil = 0, time.Time{}
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
		if err != nil && err.Code != verdict.CodeCanceled && l.reserve(bound, b.opts.Clock.Now()) {
			return &Reservation{book: b, ledger: l, amount: bound}, nil
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
	if !l.account.mayCover(l.position(self), l.paid, bound) {
		return verdict.New(verdict.NotRun, verdict.CodeBudgetExhausted, "the balance does not cover the request: %s", l.describe(now))
	}
	if l.synced.After(began) && l.paid-l.account.limits() < bound {
		l.noteShort(bound)
		return unreached("other gates hold what is left of the balance: " + l.describe(now))
	}
	if began.Before(l.shortUntil) {
		return unreached("other gates held what is left of the balance a moment ago: " + l.describe(now))
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
	others := l.account.limits() - l.account.Closed - l.account.share(l.share.Holder).Limit
	return fmt.Sprintf("paid %d, spent here %d, reserved here %d, limit here %d, usable here now %d, held by others %d, ended gates %d of which spent %d, account read %s",
		l.paid, l.spent, l.reserved, l.limit(), l.usable(now), others, l.account.Closed, l.account.ClosedSpent, l.readAge())
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
		batch, state := b.due(time.Now())
		if len(batch) == 0 && !state {
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

// due returns the ledgers whose shares should be changed now, and whether the
// statement should be written in any case.
func (b *Book) due(now time.Time) (batch []*ledger, state bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	instant := b.opts.Clock.Now()
	age := now.Sub(b.stated)
	for _, l := range b.ledgers {
		if now.Sub(l.averaged) >= tick {
			l.average(now)
		}
		if l.drawDue(now) {
			batch = append(batch, l)
		}
		state = state || l.stateDue(instant) || age >= stateInterval && l.spent != l.lastRow().Spent
	}
	slices.SortFunc(batch, func(a, b *ledger) int { return cmp.Compare(b.wanted, a.wanted) })
	return batch[:min(len(batch), accountsPerTxn)], state || len(b.unresolved) > 0
}

// planner returns the account that a ledger should write.
type planner func(l *ledger) Account

func (b *Book) planShares(l *ledger) Account {
	return b.opts.Policy.plan(l.account, l.position(b.self), l.paid)
}

// exchange writes the statement and the planned accounts in one transaction.
// Another gate's change of an account is learned and the plan made again.
func (b *Book) exchange(ctx context.Context, batch []*ledger, plan planner) error {
	began := time.Now()
	b.refresh(ctx, batch)
	for try := range conflictTries {
		p, err := b.propose(batch, plan)
		if err != nil {
			return err
		}
		b.stats.syncs.Inc(1)
		result, err := b.opts.Store.Commit(ctx, p.txn)
		if err != nil {
			b.failed(p, err)
			return err
		}
		if result.Committed {
			b.committed(p, result.Revision)
			b.opts.Log.Info("shares changed", "accounts", len(batch), "conflicts", try,
				"revision", result.Revision, "ms", time.Since(began).Milliseconds())
			return nil
		}
		b.stats.conflicts.Inc(1)
		if err := b.learn(p, result.Current); err != nil {
			return err
		}
		// The fewer accounts, the less likely is the next conflict. Those left out
		// are due again.
		batch = batch[:(len(batch)+1)/2]
		if err := pause(ctx, rand.N(conflictPause)); err != nil {
			return err
		}
	}
	return errConflicts
}

// refresh reads accounts that were not read a moment ago, at a tenth of the price of
// the conflict that the transaction would meet otherwise. What it cannot read, the
// transaction finds out.
func (b *Book) refresh(ctx context.Context, batch []*ledger) {
	reader, ok := b.opts.Store.(store.StaleReader)
	if !ok || len(batch) > refreshAccounts {
		return
	}
	for _, l := range batch {
		b.mu.Lock()
		fresh := time.Since(l.synced) < refreshAge || l.damaged != nil
		b.mu.Unlock()
		if fresh {
			continue
		}
		e, err := reader.GetStale(ctx, b.key(l))
		if err != nil {
			return
		}
		account, err := DecodeAccount(e.Value)
		if err != nil || e.ModRevision == 0 {
			return
		}
		b.mu.Lock()
		l.learn(account, e.ModRevision, b.opts.Holder)
		b.mu.Unlock()
	}
}

var errConflicts = errors.New("accounts keep changing")

// proposal is a transaction and what it would make true.
type proposal struct {
	txn       store.Txn
	batch     []*ledger
	accounts  []Account
	statement Statement
}

// propose plans the accounts and the statement. From here until the outcome is
// known, only what both the old and the new ones allow can be spent.
func (b *Book) propose(batch []*ledger, plan planner) (proposal, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := proposal{batch: batch, statement: b.statement(batch)}
	raw, err := json.Marshal(&p.statement)
	if err != nil {
		return p, err
	}
	p.add(b.statementKey(), b.stateRevision, raw)
	for _, l := range batch {
		account := plan(l)
		if raw, err = account.Encode(); err != nil {
			return p, err
		}
		p.accounts = append(p.accounts, account)
		p.add(b.key(l), l.revision, raw)
	}
	for i, l := range batch {
		l.unresolved = append(l.unresolved, attempt{share: p.accounts[i].share(b.opts.Holder), base: l.revision})
	}
	for _, l := range b.ledgers {
		l.promises = append(l.promises, p.statement.promise(l.workspace))
	}
	return p, nil
}

func (p *proposal) add(key string, revision int64, value []byte) {
	p.txn.Compare = append(p.txn.Compare, store.Compare{Key: key, ModRevision: revision})
	p.txn.Write = append(p.txn.Write, store.Write{Key: key, Value: value})
}

// statement returns the gate's present statement: about the budgets of which it has
// a share, and those of batch.
func (b *Book) statement(batch []*ledger) Statement {
	s := Statement{Version: recordVersion, Holder: b.opts.Holder, At: b.opts.Clock.Now(), Rows: make(map[string]Row)}
	for _, l := range b.ledgers {
		if l.share.Limit > 0 || slices.Contains(batch, l) {
			s.Rows[l.workspace] = b.opts.Policy.row(l.position(b.self))
		}
	}
	return s
}

// promise returns what the statement promises about a workspace.
func (s *Statement) promise(workspace string) promise {
	row, ok := s.Rows[workspace]
	return promise{row: row, at: s.At, none: !ok}
}

func (b *Book) key(l *ledger) string { return b.opts.Prefix + "account/" + l.workspace }

// statementKey is the key of the statements of this host's processes.
func (b *Book) statementKey() string { return b.opts.Prefix + "gate/" + hostOf(b.opts.Holder) }

// committed takes over what was written.
func (b *Book) committed(p proposal, revision int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	for i, l := range p.batch {
		l.synced = now
		l.learn(p.accounts[i], revision, b.opts.Holder)
	}
	b.settleStatement(&p.statement, revision)
	b.stated = now
}

// settleStatement notes which statement is in the store. Earlier ones can never be
// written any more.
func (b *Book) settleStatement(s *Statement, revision int64) {
	b.stateRevision, b.unresolved = revision, b.unresolved[:0]
	for _, l := range b.ledgers {
		l.promises = append(l.promises[:0], s.promise(l.workspace))
	}
}

// failed notes a transaction that the store did not decide. One that certainly was
// not done leaves nothing unresolved.
func (b *Book) failed(p proposal, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !errors.Is(err, store.ErrUnavailable) && !errors.Is(err, store.ErrTooLarge) {
		b.stats.lost.Inc(1)
		b.unresolved = append(b.unresolved, b.stateRevision)
		return
	}
	b.stats.unavailable.Inc(1)
	b.drop(p)
}

// drop forgets a transaction that certainly was not done.
func (b *Book) drop(p proposal) {
	for _, l := range p.batch {
		l.dropLast()
	}
	for _, l := range b.ledgers {
		if n := len(l.promises); n > 0 && l.promises[n-1].at == p.statement.At {
			l.promises = l.promises[:n-1]
		}
	}
}

// learn takes over the records that a failed condition showed. A record that is
// not among them does not exist.
func (b *Book) learn(p proposal, current []store.Entry) error {
	found := make(map[string]store.Entry, len(current))
	for _, e := range current {
		found[e.Key] = e
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drop(p) // the transaction that showed this was not done
	if err := b.learnStatement(found[b.statementKey()]); err != nil {
		return err
	}
	var damaged error
	for _, l := range p.batch {
		e := found[b.key(l)]
		account, err := DecodeAccount(e.Value)
		if err != nil {
			l.damaged = err
			damaged = fmt.Errorf("account %s: %w", l.workspace, err)
			continue
		}
		l.learn(account, e.ModRevision, b.opts.Holder)
	}
	return damaged
}

// learnStatement takes over the host's statement as it is in the store: one of the
// process before, or one of this process whose answer was lost.
func (b *Book) learnStatement(e store.Entry) error {
	if e.ModRevision == b.stateRevision {
		return nil
	}
	s, err := DecodeStatement(e.Value)
	if err != nil {
		// The next statement replaces it. What the process before left counts as
		// spent.
		b.opts.Log.Error("statement not readable", "key", e.Key, "error", err)
		b.stateRevision = e.ModRevision
		return nil
	}
	if s.Holder == b.opts.Holder {
		b.settleStatement(s, e.ModRevision)
		return nil
	}
	b.self.last, b.stateRevision = s, e.ModRevision
	return nil
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
	next.closeBefore(b.self.holder, b.self.start, l.workspace, b.self.last)
	used := l.spent + l.reserved
	next.Closed += used
	next.ClosedSpent += used
	next.Shares = slices.DeleteFunc(next.Shares, func(s Share) bool { return s.Holder == b.self.holder })
	return next
}
