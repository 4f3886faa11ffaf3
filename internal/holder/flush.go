package holder

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/config"
	"github.com/monsoonworks/monsoonworks/internal/store"
)

// flush writes the changes of an account to the store, with one read of the treasury
// and one transaction for all budgets. If the treasury cannot be read, the flush
// moves no escrow from or to it.
func (m *Manager) flush(ctx context.Context, a *account) {
	a.flushing.Lock()
	defer a.flushing.Unlock()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	treasury, treasuryRev, err := m.readTreasury(ctx, a.key.Shard)
	if err != nil {
		m.reportFlushFailure(a, "reading the treasury failed; flushing without drawing or returning escrow", err)
	}
	plan, err := m.prepareFlush(a, treasury)
	switch {
	case errors.Is(err, budget.ErrUnresolved) || errors.Is(err, budget.ErrDrawnMismatch):
		m.resolveFlush(ctx, a)
		return
	case err != nil:
		m.reportFlushFailure(a, "flush preparation failed", err)
		return
	case plan == nil:
		return
	}
	m.commit(ctx, a, plan, treasuryRev)
}

func (m *Manager) readTreasury(ctx context.Context, shard budget.Shard) (*budget.Treasury, int64, error) {
	m.stats.storeReads.Inc(1)
	entry, err := m.opts.Store.Get(ctx, treasuryKey(shard))
	if err != nil {
		return nil, 0, err
	}
	if entry.ModRevision == 0 {
		return budget.NewTreasury(shard), 0, nil
	}
	t, err := budget.DecodeTreasury(entry.Value)
	if err != nil {
		return nil, 0, fmt.Errorf("%s: %w", entry.Key, err)
	}
	return t, entry.ModRevision, nil
}

func (m *Manager) prepareFlush(a *account, treasury *budget.Treasury) (*budget.FlushPlan, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.core == nil {
		return nil, budget.ErrDeposed
	}
	now := time.Now()
	if treasury != nil {
		a.core.ObserveTreasury(now, treasury)
	}
	return a.core.PrepareFlush(now, treasury)
}

// commit writes a plan to the store and passes the outcome to the budget.Holder.
func (m *Manager) commit(ctx context.Context, a *account, plan *budget.FlushPlan, treasuryRev int64) {
	txn, err := m.flushTxn(a, plan, treasuryRev)
	if err != nil {
		m.flushDone(a, plan, budget.FlushFailed, 0)
		m.reportFlushFailure(a, "flush encoding failed", err)
		return
	}
	m.stats.storeWrites.Inc(1)
	result, err := m.opts.Store.Commit(ctx, txn)
	outcome := flushOutcome(result, err)
	acks := m.flushDone(a, plan, outcome, result.Revision)
	if outcome != budget.FlushCommitted {
		m.reportFlushFailure(a, "flush not confirmed by the store", err)
	}
	if outcome == budget.FlushConflict || outcome == budget.FlushUnknown {
		m.resolveFlush(ctx, a)
	}
	m.sendAcks(ctx, acks)
}

// flushOutcome returns the outcome of a commit to the store. After ErrUnavailable or
// ErrTooLarge the transaction was certainly not committed; after any other error it
// may have been.
func flushOutcome(result store.TxnResult, err error) budget.FlushOutcome {
	switch {
	case err == nil && result.Committed:
		return budget.FlushCommitted
	case err == nil:
		return budget.FlushConflict
	case errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrTooLarge):
		return budget.FlushFailed
	default:
		return budget.FlushUnknown
	}
}

func (m *Manager) flushTxn(a *account, plan *budget.FlushPlan, treasuryRev int64) (store.Txn, error) {
	a.mu.Lock()
	accountRev, holderRev := a.accountRev, a.holderRev
	a.mu.Unlock()
	accountValue, err := plan.Account.Encode()
	if err != nil {
		return store.Txn{}, err
	}
	txn := store.Txn{
		Compare: []store.Compare{
			{Key: accountKey(a.key), ModRevision: accountRev},
			{Key: config.HolderKey(a.key), ModRevision: holderRev},
		},
		Write: []store.Write{{Key: accountKey(a.key), Value: accountValue}},
	}
	if plan.Treasury != nil {
		value, err := plan.Treasury.Encode()
		if err != nil {
			return store.Txn{}, err
		}
		txn.Compare = append(txn.Compare, store.Compare{Key: treasuryKey(a.key.Shard), ModRevision: treasuryRev})
		txn.Write = append(txn.Write, store.Write{Key: treasuryKey(a.key.Shard), Value: value})
	}
	if !plan.Bills.Empty() {
		value, err := plan.Bills.Encode()
		if err != nil {
			return store.Txn{}, err
		}
		txn.Write = append(txn.Write, store.Write{Key: billsKey(&plan.Bills), Value: value})
	}
	if plan.Account.SealedEpoch == plan.Account.Epoch {
		value, err := m.releasedRecord(plan.Account)
		if err != nil {
			return store.Txn{}, err
		}
		txn.Write = append(txn.Write, store.Write{Key: config.HolderKey(a.key), Value: value})
	}
	return txn, nil
}

// releasedRecord encodes the holder record of an account whose record is sealed.
// With it a successor takes the account over without waiting for deadAfter.
func (m *Manager) releasedRecord(accountRecord *budget.AccountRecord) ([]byte, error) {
	return json.Marshal(Record{
		Epoch: accountRecord.Epoch, Name: m.opts.Self.Name, Address: m.opts.Address, Boot: m.opts.Self.Boot, Released: true,
	})
}

func (m *Manager) flushDone(a *account, plan *budget.FlushPlan, outcome budget.FlushOutcome, rev int64) budget.AckList {
	a.mu.Lock()
	defer a.mu.Unlock()
	acks := a.core.FlushDone(time.Now(), plan, outcome)
	if outcome == budget.FlushCommitted {
		a.accountRev = rev
		if plan.Account.SealedEpoch == plan.Account.Epoch {
			a.holderRev = rev
		}
		m.countCommitted(plan)
	}
	return acks
}

// countCommitted counts a committed flush with its bills and losses, and logs the
// losses.
func (m *Manager) countCommitted(plan *budget.FlushPlan) {
	m.stats.flushes.Inc(1)
	m.stats.bills.Inc(int64(len(plan.Bills.Bills)))
	for _, loss := range plan.Bills.Losses {
		m.stats.lostTokens.Inc(int64(loss.Amount))
		m.log.Warn("amount counted as spent because its bills cannot be recovered",
			"budget", loss.Budget, "tokens", loss.Amount, "router", loss.Router.Name, "agents", loss.Agents)
	}
}

// resolveFlush reads the account record back after a conflict or an unknown outcome,
// to find out which flush was committed.
func (m *Manager) resolveFlush(ctx context.Context, a *account) {
	holderEntry, accountEntry, accountRecord, err := m.readAccount(ctx, a.key)
	if err != nil || accountRecord == nil {
		m.reportFlushFailure(a, "account read-back failed", err)
		return
	}
	a.mu.Lock()
	acks, err := a.core.ResolveFlush(time.Now(), accountRecord)
	if err == nil {
		a.accountRev, a.holderRev = accountEntry.ModRevision, holderEntry.ModRevision
	}
	m.logViolations(a)
	a.mu.Unlock()
	m.sendAcks(ctx, acks)
}

// reportFlushFailure counts and logs a failed step of a flush. The flush continues after
// some of them.
func (m *Manager) reportFlushFailure(a *account, msg string, err error) {
	m.stats.flushFailures.Inc(1)
	m.log.Debug(msg, "shard", a.key.Shard, "region", a.key.Region, "error", err)
}

// sendAcks tells agents which of the bills collected from them are durable. A failed
// call is not retried: the bills are acknowledged after the next collection from
// the agent.
func (m *Manager) sendAcks(ctx context.Context, acks budget.AckList) {
	for name, attempts := range acks {
		if address, ok := m.live.agentAddress(name); ok {
			m.ackBills(ctx, address, attempts)
		}
	}
}
