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
	"github.com/monsoonworks/monsoonworks/internal/wait"
)

// Run keeps this process's shares and checkpoint in the store up to date until ctx ends. It
// returns nil.
func (m *Manager) Run(ctx context.Context) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	backoff := minBackoff
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-m.wake:
		}
		started := time.Now()
		err := m.loadRecords(ctx)
		if batch, checkpoint := m.due(time.Now()); err == nil && (len(batch) > 0 || checkpoint) {
			err = m.sync(ctx, batch, m.planShares)
		}
		m.noteSync(started, err)
		if err != nil {
			m.opts.Log.Warn("quota sync failed", "error", err, "retry_in", backoff)
			if !wait.Sleep(ctx, backoff) {
				return nil
			}
			backoff = min(backoff*2, maxBackoff)
			continue
		}
		backoff = minBackoff
	}
}

// loadRecords reads the quota records that are not loaded yet: those in which an earlier
// process of the host had a share, and those that requests need.
func (m *Manager) loadRecords(ctx context.Context) error {
	if err := m.loadPredecessor(ctx); err != nil {
		return err
	}
	for _, q := range m.notLoaded() {
		entry, err := m.opts.Store.Get(ctx, m.recordKey(q))
		if err != nil {
			return err
		}
		m.applyFirstRead(q, entry)
	}
	return nil
}

// loadPredecessor reads the checkpoint of the host's previous process and adds a quota for
// each workspace in it.
func (m *Manager) loadPredecessor(ctx context.Context) error {
	if m.predecessorLoaded {
		return nil
	}
	entry, err := m.opts.Store.Get(ctx, m.checkpointKey())
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applyCheckpoint(entry)
	if m.self.prev != nil {
		for workspace := range m.self.prev.UsageBounds {
			m.quotaOf(workspace)
		}
	}
	m.predecessorLoaded = true
	return nil
}

// notLoaded returns the quotas whose records have not been read yet.
func (m *Manager) notLoaded() []*quota {
	m.mu.Lock()
	defer m.mu.Unlock()
	var notLoaded []*quota
	for _, q := range m.quotas {
		if !q.loaded && q.corrupt == nil {
			notLoaded = append(notLoaded, q)
		}
	}
	return notLoaded
}

// applyFirstRead applies the first read of a quota's record.
func (m *Manager) applyFirstRead(q *quota, entry store.Entry) {
	record, err := DecodeQuotaRecord(entry.Value)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		q.corrupt = err
		m.opts.Log.Error("quota record is corrupt, refusing the workspace's reservations", "workspace", q.workspace, "error", err)
		return
	}
	q.applyRecord(record, entry.ModRevision, m.opts.Owner)
	if record.hasPredecessor(m.opts.Owner) {
		q.closeAt = time.Now().Add(rand.N(maxCloseDelay))
	}
}

// due returns the quotas to update now, and whether the checkpoint must be written even if
// there are none. If the share of one must be updated, those that will be due soon are too. If
// there are more than maxRecordsPerTxn, it returns the most urgent ones, with the largest waiting
// amounts first.
func (m *Manager) due(now time.Time) (batch []*quota, checkpoint bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	instant := m.opts.Clock.Now()
	age := now.Sub(m.checkpointedAt)
	var soon []*quota
	for _, q := range m.quotas {
		if now.Sub(q.averagedAt) >= checkInterval {
			q.updateDemand(now)
		}
		switch q.syncUrgency(now) {
		case due:
			batch = append(batch, q)
		case soonDue:
			soon = append(soon, q)
		}
		checkpoint = checkpoint || q.checkpointDue(m.opts.Policy, m.self, instant) || age >= checkpointInterval && q.spent != q.lastUsageBound().Spent
	}
	checkpoint = checkpoint || len(m.pendingCheckpointRevisions) > 0
	slices.SortFunc(batch, func(a, b *quota) int { return cmp.Compare(b.waiting, a.waiting) })
	if len(batch) > 0 || checkpoint {
		batch = append(batch, soon...)
	}
	return batch[:min(len(batch), maxRecordsPerTxn)], checkpoint
}

// planFunc returns the record to write for a quota.
type planFunc func(q *quota) QuotaRecord

func (m *Manager) planShares(q *quota) QuotaRecord {
	return m.opts.Policy.plan(q.record, q.localState(m.self), q.paid)
}

// sync writes the checkpoint and the planned records in one transaction. If another owner
// has changed a record meanwhile, sync applies that record and plans again.
func (m *Manager) sync(ctx context.Context, batch []*quota, plan planFunc) error {
	start := time.Now()
	m.refresh(ctx, batch)
	for attempt := range maxCommitAttempts {
		t, err := m.prepare(batch, plan)
		if err != nil {
			return err
		}
		m.stats.syncs.Inc(1)
		result, err := m.opts.Store.Commit(ctx, t.txn)
		if err != nil {
			m.noteFailure(t, err)
			return err
		}
		if result.Committed {
			m.logClosed(t)
			m.applyCommitted(t, result.Revision)
			m.opts.Log.Info("quota sync committed", "accounts", len(t.batch), "conflicts", attempt,
				"revision", result.Revision, "ms", time.Since(start).Milliseconds())
			return nil
		}
		m.stats.conflicts.Inc(1)
		if err := m.applyConflict(t, result.Current); err != nil {
			return err
		}
		// A smaller batch is less likely to conflict again. The quotas that are left out
		// stay due, so Run updates them later; Close does not.
		batch = batch[:(len(batch)+1)/2]
		if !wait.Sleep(ctx, rand.N(maxConflictJitter)) {
			return ctx.Err()
		}
	}
	return errTooManyConflicts
}

// logClosed logs, for each share of an earlier process that a committed transaction closes,
// the amounts that decide about it. What that process had reserved and what it may have spent
// beyond that are lost to the workspace unless they were spent.
func (m *Manager) logClosed(t syncTxn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, q := range t.batch {
		next := &t.records[i]
		for _, share := range q.record.Shares {
			if share.Owner == m.opts.Owner || !sameHost(share.Owner, m.opts.Owner) {
				continue
			}
			maxSpent, minSpent := m.self.prev.spentBounds(share, q.workspace, m.self.start)
			m.opts.Log.Info("share of an earlier process closed", "workspace", q.workspace, "owner", share.Owner,
				"limit", share.Limit, "spent", share.Spent, "reserved", share.Reserved, "counted_spent", maxSpent, "known_spent", minSpent,
				"demand", share.Demand, "paid", q.paid, "closed", next.Closed, "closed_spent", next.ClosedSpent)
		}
	}
}

// refresh rereads the records that have shares of other owners and that this process has not
// written within maxRecordAge, if the batch is small: a stale read costs a tenth of what a conflict
// of the transaction costs. An error only ends the refresh, because the transaction detects
// outdated records.
func (m *Manager) refresh(ctx context.Context, batch []*quota) {
	reader, ok := m.opts.Store.(store.StaleReader)
	if !ok || len(batch) > maxRefreshedRecords {
		return
	}
	for _, q := range batch {
		m.mu.Lock()
		skip := time.Since(q.syncedAt) < maxRecordAge || q.corrupt != nil || !q.record.hasOtherOwners(m.opts.Owner)
		m.mu.Unlock()
		if skip {
			continue
		}
		entry, err := reader.GetStale(ctx, m.recordKey(q))
		if err != nil {
			return
		}
		record, err := DecodeQuotaRecord(entry.Value)
		if err != nil || entry.ModRevision == 0 {
			return
		}
		m.mu.Lock()
		q.applyRecord(record, entry.ModRevision, m.opts.Owner)
		m.mu.Unlock()
	}
}

var errTooManyConflicts = errors.New("all attempts to commit conflicted with other processes")

// syncTxn is a transaction with the state that it writes.
type syncTxn struct {
	txn        store.Txn
	batch      []*quota
	records    []QuotaRecord
	checkpoint Checkpoint
}

// prepare plans the records and the checkpoint. Until the outcome of the transaction is
// known, only what both the old and the new records and checkpoints allow can be spent.
func (m *Manager) prepare(batch []*quota, plan planFunc) (syncTxn, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := syncTxn{batch: batch, checkpoint: m.newCheckpoint(batch)}
	raw, err := json.Marshal(&t.checkpoint)
	if err != nil {
		return t, err
	}
	t.addWrite(m.checkpointKey(), m.checkpointRevision, raw)
	for _, q := range batch {
		record := plan(q)
		if raw, err = record.Encode(); err != nil {
			return t, err
		}
		t.records = append(t.records, record)
		t.addWrite(m.recordKey(q), q.revision, raw)
	}
	for i, q := range batch {
		q.pendingWrites = append(q.pendingWrites, pendingWrite{share: t.records[i].shareOf(m.opts.Owner), baseRevision: q.revision})
	}
	for _, q := range m.quotas {
		q.checkpointBounds = append(q.checkpointBounds, t.checkpoint.usageBoundOf(q.workspace))
	}
	return t, nil
}

func (t *syncTxn) addWrite(key string, revision int64, value []byte) {
	t.txn.Compare = append(t.txn.Compare, store.Compare{Key: key, ModRevision: revision})
	t.txn.Write = append(t.txn.Write, store.Write{Key: key, Value: value})
}

// newCheckpoint returns the current checkpoint. It covers the workspaces in which this
// process has a share, those of batch, and those in which an earlier process may still have
// a share, so that the next process finds them.
func (m *Manager) newCheckpoint(batch []*quota) Checkpoint {
	c := Checkpoint{Version: recordVersion, Owner: m.opts.Owner, At: m.opts.Clock.Now(), UsageBounds: make(map[string]UsageBound)}
	for _, q := range m.quotas {
		if q.share.Limit > 0 || !q.loaded || q.record.hasPredecessor(m.opts.Owner) || slices.Contains(batch, q) {
			c.UsageBounds[q.workspace] = m.opts.Policy.usageBound(q.localState(m.self))
		}
	}
	return c
}

// usageBoundOf returns the checkpoint's bound on the spending of a workspace.
func (c *Checkpoint) usageBoundOf(workspace string) checkpointBound {
	bound, ok := c.UsageBounds[workspace]
	return checkpointBound{bound: bound, at: c.At, absent: !ok}
}

func (m *Manager) recordKey(q *quota) string { return m.opts.Prefix + "account/" + q.workspace }

// checkpointKey returns the key of the host's checkpoint.
func (m *Manager) checkpointKey() string { return m.opts.Prefix + "holder/" + host(m.opts.Owner) }

// applyCommitted applies the records and the checkpoint of a committed transaction.
func (m *Manager) applyCommitted(t syncTxn, revision int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for i, q := range t.batch {
		q.syncedAt = now
		q.applyRecord(t.records[i], revision, m.opts.Owner)
	}
	m.confirmCheckpoint(&t.checkpoint, revision)
	m.checkpointedAt = now
}

// confirmCheckpoint sets c as the checkpoint that is in the store. Earlier writes with
// unknown outcome can no longer take effect, because they are conditional on an older
// revision.
func (m *Manager) confirmCheckpoint(c *Checkpoint, revision int64) {
	m.checkpointRevision, m.pendingCheckpointRevisions = revision, m.pendingCheckpointRevisions[:0]
	for _, q := range m.quotas {
		q.checkpointBounds = append(q.checkpointBounds[:0], c.usageBoundOf(q.workspace))
	}
}

// noteFailure handles a failed commit. A transaction that certainly had no effect is
// discarded, any other stays pending.
func (m *Manager) noteFailure(t syncTxn, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !errors.Is(err, store.ErrUnavailable) && !errors.Is(err, store.ErrTooLarge) {
		m.stats.lostReplies.Inc(1)
		m.pendingCheckpointRevisions = append(m.pendingCheckpointRevisions, m.checkpointRevision)
		return
	}
	m.stats.unavailable.Inc(1)
	m.discard(t)
}

// discard removes the pending state of a transaction that certainly had no effect.
func (m *Manager) discard(t syncTxn) {
	for _, q := range t.batch {
		q.dropLastWrite()
	}
	for _, q := range m.quotas {
		if n := len(q.checkpointBounds); n > 0 && q.checkpointBounds[n-1].at == t.checkpoint.At {
			q.checkpointBounds = q.checkpointBounds[:n-1]
		}
	}
}

// applyConflict applies the records that the store returned for a failed comparison. A
// record that is not among them does not exist.
func (m *Manager) applyConflict(t syncTxn, current []store.Entry) error {
	found := make(map[string]store.Entry, len(current))
	for _, entry := range current {
		found[entry.Key] = entry
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.discard(t) // a failed comparison means that nothing was written
	m.applyCheckpoint(found[m.checkpointKey()])
	var corrupt error
	for _, q := range t.batch {
		entry := found[m.recordKey(q)]
		record, err := DecodeQuotaRecord(entry.Value)
		if err != nil {
			q.corrupt = err
			corrupt = fmt.Errorf("quota record of workspace %s: %w", q.workspace, err)
			continue
		}
		q.applyRecord(record, entry.ModRevision, m.opts.Owner)
	}
	return corrupt
}

// applyCheckpoint applies the host's checkpoint as it is in the store: written by the
// previous process, or by this one in a transaction whose reply was lost.
func (m *Manager) applyCheckpoint(entry store.Entry) {
	if entry.ModRevision == m.checkpointRevision {
		return
	}
	c, err := DecodeCheckpoint(entry.Value)
	if err != nil {
		// The next checkpoint overwrites it. Without the predecessor's checkpoint its
		// shares count as spent in full.
		m.opts.Log.Error("checkpoint is corrupt and will be overwritten, the predecessor's shares count as spent", "key", entry.Key, "error", err)
		m.checkpointRevision = entry.ModRevision
		return
	}
	if c.Owner == m.opts.Owner {
		m.confirmCheckpoint(c, entry.ModRevision)
		return
	}
	m.self.prev, m.checkpointRevision = c, entry.ModRevision
}
