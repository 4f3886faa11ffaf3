package prepaid

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/store"
)

// Run changes shares in the store as they are used, until ctx ends.
func (b *Manager) Run(ctx context.Context) error {
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
		err := b.load(ctx)
		if batch, state := b.due(time.Now()); err == nil && (len(batch) > 0 || state) {
			err = b.exchange(ctx, batch, b.planShares)
		}
		b.failing.Store(err != nil)
		if err != nil {
			b.opts.Log.Warn("shares not changed", "error", err, "retry_in", backoff)
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

// load reads the accounts that are not known yet: those of which an earlier process
// of the host held a share, and those that requests ask for.
func (b *Manager) load(ctx context.Context) error {
	if err := b.adopt(ctx); err != nil {
		return err
	}
	for _, l := range b.unread() {
		e, err := b.opts.Store.Get(ctx, b.key(l))
		if err != nil {
			return err
		}
		b.read(l, e)
	}
	return nil
}

// adopt reads the statement of the process before on this host, and opens the ledgers
// of which that one had a share.
func (b *Manager) adopt(ctx context.Context) error {
	if b.adopted {
		return nil
	}
	e, err := b.opts.Store.Get(ctx, b.statementKey())
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.learnStatement(e)
	if b.self.last != nil {
		for workspace := range b.self.last.Rows {
			b.open(workspace)
		}
	}
	b.adopted = true
	return nil
}

// unread returns the ledgers whose accounts were not read yet.
func (b *Manager) unread() []*ledger {
	b.mu.Lock()
	defer b.mu.Unlock()
	var unread []*ledger
	for _, l := range b.ledgers {
		if !l.known && l.damaged == nil {
			unread = append(unread, l)
		}
	}
	return unread
}

// read takes over an account that was read for the first time.
func (b *Manager) read(l *ledger, e store.Entry) {
	account, err := DecodeQuotaRecord(e.Value)
	b.mu.Lock()
	defer b.mu.Unlock()
	if err != nil {
		l.damaged = err
		b.opts.Log.Error("account not readable", "workspace", l.workspace, "error", err)
		return
	}
	l.learn(account, e.ModRevision, b.opts.QuotaServer)
	if account.hasEarlier(b.opts.QuotaServer) {
		l.closeAt = time.Now().Add(rand.N(closeSpread))
	}
}

// due returns the ledgers whose shares should be changed now, and whether the
// statement should be written in any case.
func (b *Manager) due(now time.Time) (batch []*ledger, state bool) {
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
type planner func(l *ledger) QuotaRecord

func (b *Manager) planShares(l *ledger) QuotaRecord {
	return b.opts.Policy.plan(l.account, l.position(b.self), l.paid)
}

// exchange writes the statement and the planned accounts in one transaction.
// Another holder's change of an account is learned and the plan made again.
func (b *Manager) exchange(ctx context.Context, batch []*ledger, plan planner) error {
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
			b.opts.Log.Info("shares changed", "accounts", len(p.batch), "conflicts", try,
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
func (b *Manager) refresh(ctx context.Context, batch []*ledger) {
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
		account, err := DecodeQuotaRecord(e.Value)
		if err != nil || e.ModRevision == 0 {
			return
		}
		b.mu.Lock()
		l.learn(account, e.ModRevision, b.opts.QuotaServer)
		b.mu.Unlock()
	}
}

var errConflicts = errors.New("accounts keep changing")

// proposal is a transaction and what it would make true.
type proposal struct {
	txn       store.Txn
	batch     []*ledger
	accounts  []QuotaRecord
	statement Checkpoint
}

// propose plans the accounts and the statement. From here until the outcome is
// known, only what both the old and the new ones allow can be spent.
func (b *Manager) propose(batch []*ledger, plan planner) (proposal, error) {
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
		l.unresolved = append(l.unresolved, attempt{share: p.accounts[i].share(b.opts.QuotaServer), base: l.revision})
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

// statement returns the holder's present statement: about the budgets of which it has
// a share, those of batch, and those of which an earlier process may have a share
// still, so that the next process finds them.
func (b *Manager) statement(batch []*ledger) Checkpoint {
	s := Checkpoint{Version: recordVersion, QuotaServer: b.opts.QuotaServer, At: b.opts.Clock.Now(), Rows: make(map[string]UsageBound)}
	for _, l := range b.ledgers {
		if l.share.Limit > 0 || !l.known || l.account.hasEarlier(b.opts.QuotaServer) || slices.Contains(batch, l) {
			s.Rows[l.workspace] = b.opts.Policy.row(l.position(b.self))
		}
	}
	return s
}

// promise returns what the statement promises about a workspace.
func (s *Checkpoint) promise(workspace string) promise {
	row, ok := s.Rows[workspace]
	return promise{row: row, at: s.At, none: !ok}
}

func (b *Manager) key(l *ledger) string { return b.opts.Prefix + "account/" + l.workspace }

// statementKey is the key of the statements of this host's processes.
func (b *Manager) statementKey() string {
	return b.opts.Prefix + "holder/" + hostOf(b.opts.QuotaServer)
}

// committed takes over what was written.
func (b *Manager) committed(p proposal, revision int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	for i, l := range p.batch {
		l.synced = now
		l.learn(p.accounts[i], revision, b.opts.QuotaServer)
	}
	b.settleStatement(&p.statement, revision)
	b.stated = now
}

// settleStatement notes which statement is in the store. Earlier ones can never be
// written any more.
func (b *Manager) settleStatement(s *Checkpoint, revision int64) {
	b.stateRevision, b.unresolved = revision, b.unresolved[:0]
	for _, l := range b.ledgers {
		l.promises = append(l.promises[:0], s.promise(l.workspace))
	}
}

// failed notes a transaction that the store did not decide. One that certainly was
// not done leaves nothing unresolved.
func (b *Manager) failed(p proposal, err error) {
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
func (b *Manager) drop(p proposal) {
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
func (b *Manager) learn(p proposal, current []store.Entry) error {
	found := make(map[string]store.Entry, len(current))
	for _, e := range current {
		found[e.Key] = e
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drop(p) // the transaction that showed this was not done
	b.learnStatement(found[b.statementKey()])
	var damaged error
	for _, l := range p.batch {
		e := found[b.key(l)]
		account, err := DecodeQuotaRecord(e.Value)
		if err != nil {
			l.damaged = err
			damaged = fmt.Errorf("account %s: %w", l.workspace, err)
			continue
		}
		l.learn(account, e.ModRevision, b.opts.QuotaServer)
	}
	return damaged
}

// learnStatement takes over the host's statement as it is in the store: one of the
// process before, or one of this process whose answer was lost.
func (b *Manager) learnStatement(e store.Entry) {
	if e.ModRevision == b.stateRevision {
		return
	}
	s, err := DecodeCheckpoint(e.Value)
	if err != nil {
		// The next statement replaces it. What the process before left counts as
		// spent.
		b.opts.Log.Error("statement not readable", "key", e.Key, "error", err)
		b.stateRevision = e.ModRevision
		return
	}
	if s.QuotaServer == b.opts.QuotaServer {
		b.settleStatement(s, e.ModRevision)
		return
	}
	b.self.last, b.stateRevision = s, e.ModRevision
}
