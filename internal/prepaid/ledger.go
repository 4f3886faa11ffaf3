package prepaid

import (
	"math"
	"time"
)

// fastDemand and slowDemand are the time constants of the averages of a workspace's
// demand. The higher average counts: a rise is seen soon, and a short lull does not
// make the share small.
const (
	fastDemand = 2 * time.Second
	slowDemand = 10 * time.Second
)

// attempt is a write of the account whose outcome is not known.
type attempt struct {
	share Share
	base  int64 // the revision that it was conditional on
}

// identity is who holds a share and since when.
type identity struct {
	holder string
	start  Instant
	// last is the statement of the process before on the same host, nil if there is
	// none.
	last *Checkpoint
}

// ledger is a holder's part of one workspace's account. It is used under the mutex
// of its Book.
type ledger struct {
	workspace string
	// paid is what was paid for by the newest configuration that a request came with.
	paid        Tokens
	paidVersion int64

	account  QuotaRecord
	revision int64
	known    bool  // the record was read at least once
	damaged  error // the record cannot be read

	share      Share // as it is in the account
	unresolved []attempt
	promises   []promise // rows that may be in the store, the newest last
	spent      Tokens
	reserved   Tokens
	wanted     Tokens // the sum of the bounds that wait

	fast     float64 // tokens a second, averaged over fastDemand
	slow     float64 // the same over slowDemand
	recent   Tokens  // reserved since the demand was averaged
	averaged time.Time
	asked    time.Time // when a request asked last
	synced   time.Time
	closeAt  time.Time // when the share of an earlier process is closed, zero if there is none
	// shortUntil is until when the account is not asked again after it could not
	// cover a request, and shortFor how long that was.
	shortUntil time.Time
	shortFor   time.Duration
	changed    chan struct{} // closed when the account was read again
}

func newLedger(workspace string, now time.Time) *ledger {
	return &ledger{workspace: workspace, account: QuotaRecord{Version: recordVersion}, averaged: now, changed: make(chan struct{})}
}

// notePaid notes what the workspace has paid for by a version of the configuration.
func (l *ledger) notePaid(paid Tokens, version int64) {
	if version < l.paidVersion {
		return
	}
	if paid > l.paid {
		l.shortFor, l.shortUntil = 0, time.Time{}
	}
	l.paid, l.paidVersion = paid, version
}

// usable returns what the holder may have spent in all by now, whatever became of
// writes whose answers were lost.
func (l *ledger) usable(now Instant) Tokens {
	usable := l.limit()
	for _, p := range l.promises {
		if most, ok := p.mostAt(now); ok {
			usable = min(usable, most)
		}
	}
	return usable
}

// limit returns what the holder may spend without writing again, however long it
// takes.
func (l *ledger) limit() Tokens {
	limit := l.share.Limit
	for _, a := range l.unresolved {
		limit = min(limit, a.share.Limit)
	}
	return limit
}

// available returns what a new request may be bound to.
func (l *ledger) available(now Instant) Tokens { return l.usable(now) - l.spent - l.reserved }

// reserve takes an amount for a request if it is available.
func (l *ledger) reserve(amount Tokens, now Instant) bool {
	if l.available(now) < amount {
		return false
	}
	l.reserved += amount
	l.recent += amount
	l.shortFor = 0
	return true
}

// settle ends a reservation with what the request consumed.
func (l *ledger) settle(reserved, used Tokens) {
	l.reserved -= reserved
	l.spent += used
	l.recent += used - reserved
}

// average folds recent consumption into the demand.
func (l *ledger) average(now time.Time) {
	elapsed := now.Sub(l.averaged)
	if elapsed <= 0 {
		return
	}
	rate := float64(max(l.recent, 0)) / elapsed.Seconds()
	l.fast += (rate - l.fast) * weight(elapsed, fastDemand)
	l.slow += (rate - l.slow) * weight(elapsed, slowDemand)
	l.recent, l.averaged = 0, now
}

// weight returns the weight of a rate that was measured over elapsed in an average
// with a time constant.
func weight(elapsed, constant time.Duration) float64 {
	return 1 - math.Exp(-elapsed.Seconds()/constant.Seconds())
}

// demand returns what the holder's requests reserve, in tokens a second.
func (l *ledger) demand() float64 { return max(l.fast, l.slow) }

// position returns the holder's view for the plan.
func (l *ledger) position(self identity) position {
	return position{
		holder: self.holder, workspace: l.workspace, start: self.start, last: self.last,
		spent: l.spent, reserved: l.reserved,
		demand: Tokens(l.demand()), idle: l.idle(time.Now()), wanted: l.wanted,
	}
}

// learn takes over the account as the store has it.
func (l *ledger) learn(a QuotaRecord, revision int64, holder string) {
	if l.known && revision < l.revision {
		return
	}
	if l.revision != revision {
		// A write that was conditional on another revision was done before this
		// one, and is part of it, or can never be done.
		kept := l.unresolved[:0]
		for _, u := range l.unresolved {
			if u.base == revision {
				kept = append(kept, u)
			}
		}
		l.unresolved = kept
	}
	l.account, l.revision, l.known = a, revision, true
	l.share = a.share(holder)
	if !a.hasEarlier(holder) {
		l.closeAt = time.Time{}
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// drawDue reports whether the share should be changed now.
func (l *ledger) drawDue(now time.Time) bool {
	if l.damaged != nil || !l.known {
		return false
	}
	if len(l.unresolved) > 0 || l.wanted > 0 && l.limit()-l.spent-l.reserved < l.wanted {
		return true
	}
	if !l.closeAt.IsZero() && now.After(l.closeAt) {
		return true
	}
	if now.Sub(l.synced) < minSyncInterval {
		return false
	}
	if l.idle(now) {
		return l.share.Limit > l.spent+l.reserved
	}
	unused := l.limit() - l.spent - l.reserved
	if now.Sub(l.synced) >= maxSyncInterval && unused > minSurplus && float64(unused) > l.demand()*surplus.Seconds() {
		// Other holders may be short of what this one does not need.
		return true
	}
	return unused < (l.share.Limit-l.share.Spent)*drawPercent/100
}

// idle reports whether no request has asked for so long that others, who may have
// taken over the workspace, need the share more.
func (l *ledger) idle(now time.Time) bool { return now.Sub(l.asked) >= idleAfter }

// stateDue reports whether the statement keeps requests from what the share allows.
func (l *ledger) stateDue(instant Instant) bool {
	if l.damaged != nil || !l.known || l.limit() == 0 {
		return false
	}
	held := l.limit() - l.usable(instant)
	return held > 0 && (l.wanted > 0 || l.available(instant) < l.lastRow().Burst/4)
}

// lastRow returns the row of the newest statement.
func (l *ledger) lastRow() UsageBound {
	if n := len(l.promises); n > 0 {
		return l.promises[n-1].row
	}
	return UsageBound{}
}

// dropLast removes the newest write of the account, which certainly was not done.
func (l *ledger) dropLast() {
	if n := len(l.unresolved); n > 0 {
		l.unresolved = l.unresolved[:n-1]
	}
}
