package prepaid

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/monsoonworks/monsoonworks/internal/bootclock"
	"github.com/monsoonworks/monsoonworks/internal/store"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
)

const (
	// A sync writes quota records and the checkpoint. minSyncInterval is the shortest time
	// between two syncs of a record, except if a request waits, the outcome of a write is
	// unknown, or a predecessor's share is due to be closed.
	// excessSyncInterval is the shortest time between a sync and one that only releases excess
	// headroom of a share in use. Policy defines headroom.
	minSyncInterval    = 700 * time.Millisecond
	excessSyncInterval = 2500 * time.Millisecond
	// checkpointInterval is the longest time between checkpoints while tokens are being spent.
	checkpointInterval = 1500 * time.Millisecond
	// idleTimeout is the time without requests after which the headroom of a share is released.
	idleTimeout = 4 * time.Second
	// The headroom of a share is excessive if it is more than minExcess tokens and more than
	// the demand over excessHorizon.
	excessHorizon = 24 * time.Second
	minExcess     = 30000
	// A share is updated once its headroom falls below refillPercent of what it was when the
	// record was last written. An update that is made anyway includes the shares whose headroom
	// is below earlyRefillPercent.
	refillPercent      = 40
	earlyRefillPercent = 70
	// checkInterval is the time between two checks for shares that need an update, and the
	// shortest time between two updates of the averaged demand.
	checkInterval = 100 * time.Millisecond
	// maxRecordsPerTxn is the largest number of quota records in one transaction. Each takes a
	// comparison and a write, and so does the checkpoint; together they must stay within
	// platform.MaxTotalTxnOps.
	maxRecordsPerTxn = 14
	// maxCommitAttempts is the number of attempts to commit a transaction that conflicts
	// with the updates of other owners.
	maxCommitAttempts = 6
	// A record with shares of other owners is read again before an update if this process last
	// wrote it more than maxRecordAge ago. An update of more than maxRefreshedRecords records
	// skips these reads, because they would cost more than a conflict.
	maxRecordAge        = 60 * time.Millisecond
	maxRefreshedRecords = 3
	// maxCloseDelay is the longest random delay before a predecessor's share is closed in a
	// record that needs no other update. The delay spreads the writes of hosts that restart
	// together.
	maxCloseDelay = 3 * time.Second
	// recheckInterval is the time between two checks whether the share covers a waiting
	// request.
	recheckInterval = 25 * time.Millisecond
	// maxConflictJitter is the longest random delay after a conflict. It keeps owners that
	// conflicted from conflicting again.
	maxConflictJitter = 8 * time.Millisecond
	// maxReserveWait is how long a request waits for the share to grow.
	maxReserveWait = 250 * time.Millisecond
	// minBackoff and maxBackoff are the first and the longest delay after a failed sync. The
	// delay doubles with each further failure.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
)

// Options configure a Manager.
type Options struct {
	// Owner is the name under which this process owns shares; see OwnerName.
	Owner string
	// Prefix is the prefix of all keys of records and checkpoints in the store.
	Prefix string
	// Clock is the clock of the host; see bootclock.New.
	Clock   bootclock.Clock
	Store   store.KV
	Policy  Policy
	Log     *slog.Logger
	Metrics metrics.Registry
}

// Manager manages this process's shares of quota records. It is safe for concurrent use.
type Manager struct {
	opts  Options
	self  identity
	wake  chan struct{}
	stats stats
	// failingSince is when the first of the syncs began that have failed since the last success,
	// nil if the last one succeeded.
	failingSince atomic.Pointer[time.Time]
	// predecessorLoaded is set once the checkpoint of the host's previous process was read.
	// Only Run uses it.
	predecessorLoaded bool

	mu                 sync.Mutex
	quotas             map[string]*quota
	checkpointRevision int64     // store revision of the host's checkpoint
	checkpointedAt     time.Time // when the checkpoint was written
	// pendingCheckpointRevisions holds the base revisions of checkpoint writes whose
	// outcome is not known yet.
	pendingCheckpointRevisions []int64
}

type stats struct {
	syncs, conflicts, lostReplies, unavailable metrics.Counter
	waits, exhausted, unreachable              metrics.Counter
}

// NewManager returns a manager without shares.
func NewManager(o Options) *Manager {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("monsoon.prepaid."+name, o.Metrics)
	}
	return &Manager{
		opts: o, self: identity{owner: o.Owner, start: o.Clock.Now()}, wake: make(chan struct{}, 1), quotas: make(map[string]*quota),
		stats: stats{
			syncs: counter("syncs"), conflicts: counter("conflicts"), lostReplies: counter("answers_lost"),
			unavailable: counter("store_unavailable"), waits: counter("waits"),
			exhausted: counter("refused_exhausted"), unreachable: counter("refused_unreached"),
		},
	}
}

// Owner returns the name under which this process owns shares.
func (m *Manager) Owner() string { return m.opts.Owner }

// ReservationRequest asks for a reservation from a workspace's balance. Its fields are sent
// between processes by package reserve under their Go names.
type ReservationRequest struct {
	Workspace string
	// Paid is the amount that the workspace has paid for, in tokens, as of the
	// configuration version Version.
	Paid    Tokens
	Version int64
	// Bound is the upper bound of the request's consumption, in tokens.
	Bound Tokens
}

// Reservation is an amount of tokens set aside for one request.
type Reservation interface {
	// Settle ends the reservation and charges the tokens that the request consumed, at most
	// the reserved amount. Further calls do nothing.
	Settle(used Tokens)
}

// reservation implements Reservation for Manager.
type reservation struct {
	manager *Manager
	quota   *quota
	amount  Tokens
	once    sync.Once
}

// Settle implements Reservation.
func (r *reservation) Settle(used Tokens) {
	r.once.Do(func() {
		r.manager.mu.Lock()
		defer r.manager.mu.Unlock()
		r.quota.settle(r.amount, min(used, r.amount))
	})
}

// Reserve reserves req.Bound tokens from this process's share of the workspace's quota. It
// waits up to maxReserveWait for the share to grow. Its errors are *verdict.Error
// with NotRun: CodeBudgetExhausted only if the balance does not cover the bound or is
// negligible, CodeBudgetUnreachable if this process cannot tell or cannot get the tokens in
// time, and CodeCanceled if ctx ends first.
func (m *Manager) Reserve(ctx context.Context, req ReservationRequest) (Reservation, error) {
	m.mu.Lock()
	q := m.quotaOf(req.Workspace)
	q.setPaid(req.Paid, req.Version)
	q.requestedAt = time.Now()
	if q.reserve(req.Bound, m.opts.Clock.Now()) {
		m.mu.Unlock()
		return &reservation{manager: m, quota: q, amount: req.Bound}, nil
	}
	m.mu.Unlock()
	m.stats.waits.Inc(1)
	return m.waitForShare(ctx, q, req.Bound)
}

// quotaOf returns the quota of a workspace and creates it if necessary. The caller holds mu.
func (m *Manager) quotaOf(workspace string) *quota {
	q := m.quotas[workspace]
	if q == nil {
		q = newQuota(workspace, time.Now())
		m.quotas[workspace] = q
	}
	return q
}

// SyncFailing reports whether the last check by Run failed to read records or to update the
// shares or the checkpoint. A check that finds nothing to do does not fail. The store may reply
// all the same: an update also fails if it keeps conflicting with other processes or finds a
// corrupt record.
func (m *Manager) SyncFailing() bool { return m.failingSince.Load() != nil }

// noteSync records the result of a check that began at started.
func (m *Manager) noteSync(started time.Time, err error) {
	switch {
	case err == nil:
		m.failingSince.Store(nil)
	case m.failingSince.Load() == nil:
		m.failingSince.Store(&started)
	}
}

// waitForShare waits until the share covers the amount, refusal returns an error, maxReserveWait
// has elapsed, or ctx ends.
func (m *Manager) waitForShare(ctx context.Context, q *quota, amount Tokens) (Reservation, error) {
	timeout := time.NewTimer(maxReserveWait)
	defer timeout.Stop()
	m.mu.Lock()
	defer m.mu.Unlock()
	waitStart := time.Now()
	q.waiting += amount
	defer func() { q.waiting -= amount }()
	for {
		if q.reserve(amount, m.opts.Clock.Now()) {
			return &reservation{manager: m, quota: q, amount: amount}, nil
		}
		if err := m.refusal(q, amount, waitStart); err != nil {
			m.countRefusal(err)
			return nil, err
		}
		changed := q.changed
		m.mu.Unlock()
		m.wakeSync()
		err := waitForChange(ctx, changed, timeout.C)
		m.mu.Lock()
		if err != nil && err.Code != verdict.CodeCanceled && q.reserve(amount, m.opts.Clock.Now()) {
			return &reservation{manager: m, quota: q, amount: amount}, nil
		}
		if err != nil {
			err.Detail += ": " + q.describe(m.opts.Clock.Now())
			if err.Code == verdict.CodeBudgetUnreachable {
				err.RetryAfter = m.retryAfter()
			}
			m.countRefusal(err)
			return nil, err
		}
	}
}

// waitForChange waits until the record changes or recheckInterval has elapsed: tokens also
// become available with time, and as other requests end. It fails on timeout or if the
// caller disconnects.
func waitForChange(ctx context.Context, changed <-chan struct{}, timeout <-chan time.Time) *verdict.Error {
	recheck := time.NewTimer(recheckInterval)
	defer recheck.Stop()
	select {
	case <-changed:
		return nil
	case <-recheck.C:
		return nil
	case <-timeout:
		return unreachableError("the holder's share does not cover the request")
	case <-ctx.Done():
		return verdict.New(verdict.NotRun, verdict.CodeCanceled, "the caller disconnected")
	}
}

func (m *Manager) countRefusal(err *verdict.Error) {
	if err.Code == verdict.CodeBudgetExhausted {
		m.stats.exhausted.Inc(1)
	} else {
		m.stats.unreachable.Inc(1)
	}
}

// wakeSync wakes the sync loop.
func (m *Manager) wakeSync() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Close releases this process's shares. It must be called after the last request: amounts
// that are still reserved count as spent.
func (m *Manager) Close(ctx context.Context) error {
	var errs []error
	for _, batch := range m.batches() {
		errs = append(errs, m.sync(ctx, batch, m.planClose))
	}
	return errors.Join(errs...)
}

// batches returns the quotas with a share or a pending write, in batches of at most
// maxRecordsPerTxn.
func (m *Manager) batches() [][]*quota {
	m.mu.Lock()
	defer m.mu.Unlock()
	var batches [][]*quota
	for _, q := range m.quotas {
		if q.share.Limit == 0 && len(q.pendingWrites) == 0 || q.corrupt != nil {
			continue
		}
		if n := len(batches); n == 0 || len(batches[n-1]) == maxRecordsPerTxn {
			batches = append(batches, nil)
		}
		batches[len(batches)-1] = append(batches[len(batches)-1], q)
	}
	return batches
}

// planClose replaces this process's share by a closed amount that covers what it has spent
// and what is still reserved.
func (m *Manager) planClose(q *quota) QuotaRecord {
	next := q.record
	next.Shares = append([]Share(nil), q.record.Shares...)
	next.closePredecessors(m.self.owner, m.self.start, q.workspace, m.self.prev)
	spent := q.spent + q.reserved
	next.Closed += spent
	next.ClosedSpent += spent
	next.Shares = slices.DeleteFunc(next.Shares, func(s Share) bool { return s.Owner == m.self.owner })
	return next
}
