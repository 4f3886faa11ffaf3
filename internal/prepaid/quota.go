package prepaid

import (
	"math"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/bootclock"
)

// The demand of a share is the higher of two moving averages with these time constants, so
// that an increase is seen soon and a short pause does not shrink the share.
const (
	fastTimeConstant = 2 * time.Second
	slowTimeConstant = 10 * time.Second
)

// pendingWrite is a write of the quota record whose outcome is not known yet.
type pendingWrite struct {
	share        Share
	baseRevision int64 // the store revision that the write was conditional on
}

// identity is the name and the start of this process, and its predecessor's checkpoint.
type identity struct {
	owner string
	start bootclock.Instant
	// prev is the checkpoint of the host's previous process, nil if there is none.
	prev *Checkpoint
}

// quota is this process's state for one workspace's quota: the quota record as last read or
// written, and what this process has spent and reserved of its share. Manager.mu guards it.
type quota struct {
	workspace string
	// paid is the paid amount of the newest configuration version seen in a request.
	paid        Tokens
	paidVersion int64

	record   QuotaRecord
	revision int64 // store revision of record
	loaded   bool  // the record was read at least once
	corrupt  error // why the record cannot be decoded, nil if it can

	share            Share // as in record
	pendingWrites    []pendingWrite
	checkpointBounds []checkpointBound // checkpoint bounds that may be in the store, newest last
	spent            Tokens
	reserved         Tokens
	waiting          Tokens // sum of the amounts of waiting requests

	fastRate     float64 // tokens per second, averaged over fastTimeConstant
	slowRate     float64 // tokens per second, averaged over slowTimeConstant
	recentTokens Tokens  // reserved since averagedAt, less what settlements since then returned
	averagedAt   time.Time
	requestedAt  time.Time // last request for a reservation
	syncedAt     time.Time // last write of the record by this process
	closeAt      time.Time // when the shares of earlier processes are closed at the latest, zero if there are none
	// Until insufficientUntil, requests that the share does not cover are refused without
	// a sync. insufficientPeriod is the length of that period.
	insufficientUntil  time.Time
	insufficientPeriod time.Duration
	changed            chan struct{} // closed when a record is applied
}

func newQuota(workspace string, now time.Time) *quota {
	return &quota{workspace: workspace, record: QuotaRecord{Version: recordVersion}, averagedAt: now, changed: make(chan struct{})}
}

// setPaid sets the paid amount unless a newer configuration version has already set it.
func (q *quota) setPaid(paid Tokens, version int64) {
	if version < q.paidVersion {
		return
	}
	if paid > q.paid {
		q.insufficientPeriod, q.insufficientUntil = 0, time.Time{}
	}
	q.paid, q.paidVersion = paid, version
}

// limitAt returns the most that this process may have spent in total by now, whatever the
// outcome of its pending writes is.
func (q *quota) limitAt(now bootclock.Instant) Tokens {
	limit := q.limit()
	for _, b := range q.checkpointBounds {
		if maxSpent, ok := b.maxSpentAt(now); ok {
			limit = min(limit, maxSpent)
		}
	}
	return limit
}

// limit returns the most that this process may spend in total until the quota record is written
// again, whatever the outcome of its pending writes is. Checkpoints may allow less for a time;
// see limitAt.
func (q *quota) limit() Tokens {
	limit := q.share.Limit
	for _, w := range q.pendingWrites {
		limit = min(limit, w.share.Limit)
	}
	return limit
}

// available returns the amount that a new request can reserve.
func (q *quota) available(now bootclock.Instant) Tokens { return q.limitAt(now) - q.spent - q.reserved }

// reserve reserves an amount if it is available.
func (q *quota) reserve(amount Tokens, now bootclock.Instant) bool {
	if q.available(now) < amount {
		return false
	}
	q.reserved += amount
	q.recentTokens += amount
	q.insufficientPeriod = 0
	return true
}

// settle ends a reservation and charges what the request consumed.
func (q *quota) settle(reserved, consumed Tokens) {
	q.reserved -= reserved
	q.spent += consumed
	q.recentTokens += consumed - reserved
}

// updateDemand adds the consumption since the last update to the averages.
func (q *quota) updateDemand(now time.Time) {
	elapsed := now.Sub(q.averagedAt)
	if elapsed <= 0 {
		return
	}
	rate := float64(max(q.recentTokens, 0)) / elapsed.Seconds()
	q.fastRate += (rate - q.fastRate) * ewmaWeight(elapsed, fastTimeConstant)
	q.slowRate += (rate - q.slowRate) * ewmaWeight(elapsed, slowTimeConstant)
	q.recentTokens, q.averagedAt = 0, now
}

// ewmaWeight returns the weight of a new sample, measured over elapsed, in an exponentially
// weighted moving average.
func ewmaWeight(elapsed, timeConstant time.Duration) float64 {
	return 1 - math.Exp(-elapsed.Seconds()/timeConstant.Seconds())
}

// demand returns the averaged consumption in tokens per second.
func (q *quota) demand() float64 { return max(q.fastRate, q.slowRate) }

// localState returns the state of the quota as Policy needs it.
func (q *quota) localState(self identity) localState {
	return localState{
		owner: self.owner, workspace: q.workspace, start: self.start, prev: self.prev,
		spent: q.spent, reserved: q.reserved,
		demand: Tokens(q.demand()), idle: q.idle(time.Now()), waiting: q.waiting,
	}
}

// applyRecord applies the record as it is in the store at a revision. A revision older than
// that of the current record is ignored.
func (q *quota) applyRecord(record QuotaRecord, revision int64, owner string) {
	if q.loaded && revision < q.revision {
		return
	}
	if q.revision != revision {
		// A pending write that was conditional on another revision either is part of
		// this record or can no longer take effect.
		kept := q.pendingWrites[:0]
		for _, w := range q.pendingWrites {
			if w.baseRevision == revision {
				kept = append(kept, w)
			}
		}
		q.pendingWrites = kept
	}
	q.record, q.revision, q.loaded = record, revision, true
	q.share = record.shareOf(owner)
	if !record.hasPredecessor(owner) {
		q.closeAt = time.Time{}
	}
	close(q.changed)
	q.changed = make(chan struct{})
}

// urgency tells whether a share must be updated.
type urgency uint8

const (
	notDue urgency = iota
	// soonDue is a share that another update takes along, which saves a store call later.
	soonDue
	due
)

// syncUrgency returns whether the share must be updated now.
func (q *quota) syncUrgency(now time.Time) urgency {
	if q.corrupt != nil || !q.loaded {
		return notDue
	}
	if len(q.pendingWrites) > 0 || q.waiting > 0 && q.limit()-q.spent-q.reserved < q.waiting {
		return due
	}
	if !q.closeAt.IsZero() && now.After(q.closeAt) {
		return due
	}
	if now.Sub(q.syncedAt) < minSyncInterval {
		return notDue
	}
	headroom := q.limit() - q.spent - q.reserved
	if q.idle(now) {
		return dueIf(headroom > 0)
	}
	if now.Sub(q.syncedAt) >= excessSyncInterval && headroom > minExcess && float64(headroom) > q.demand()*excessHorizon.Seconds() {
		// Other owners may need what is not used here.
		return due
	}
	return q.refillUrgency(headroom)
}

// refillUrgency compares the headroom with what it was when the record was last written.
func (q *quota) refillUrgency(headroom Tokens) urgency {
	full := q.share.Limit - q.share.Spent - q.share.Reserved
	if headroom >= full*refillPercent/100 && headroom < full*earlyRefillPercent/100 {
		return soonDue
	}
	return dueIf(headroom < full*refillPercent/100)
}

func dueIf(condition bool) urgency {
	if condition {
		return due
	}
	return notDue
}

// idle reports whether there was no request for idleTimeout. Another owner may serve the
// workspace by now and need the share.
func (q *quota) idle(now time.Time) bool { return now.Sub(q.requestedAt) >= idleTimeout }

// checkpointDue reports whether the bounds of checkpoints withhold tokens that the share
// allows and that requests wait for or will soon need.
func (q *quota) checkpointDue(policy Policy, self identity, instant bootclock.Instant) bool {
	if q.corrupt != nil || !q.loaded || q.limit() == 0 {
		return false
	}
	reducedBy := q.limit() - q.limitAt(instant)
	return reducedBy > 0 && (q.waiting > 0 || q.available(instant) < policy.burst(q.localState(self))/4)
}

// lastUsageBound returns the bound of the newest checkpoint.
func (q *quota) lastUsageBound() UsageBound {
	if n := len(q.checkpointBounds); n > 0 {
		return q.checkpointBounds[n-1].bound
	}
	return UsageBound{}
}

// dropLastWrite removes the newest pending write, which certainly had no effect.
func (q *quota) dropLastWrite() {
	if n := len(q.pendingWrites); n > 0 {
		q.pendingWrites = q.pendingWrites[:n-1]
	}
}
