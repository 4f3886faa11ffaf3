package agent

import (
	"encoding/binary"
	"time"

	"github.com/google/uuid"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// Retention of what an agent must remember to refuse late messages.
const (
	// fenceRetention is how long a router incarnation stays fenced. A session
	// that existed when the fence was set cannot live that long without use,
	// and a newer session needs a lot that the holder does not renew.
	fenceRetention = 24 * time.Hour
	// tombstoneRetention is how long an attempt that must not run is listed.
	// After it, every attempt that is as old is refused.
	tombstoneRetention = time.Hour
	// maxFences and maxTombstones bound the agent's memory.
	maxFences     = 1 << 16
	maxTombstones = 1 << 16
)

type fenceKey struct {
	account budget.Account
	router  budget.Incarnation
}

type billEntry struct {
	bill   budget.Bill
	router budget.Incarnation
}

type tombstone struct {
	attempt uuid.UUID
	at      time.Time
}

// ledger holds what outlives a request: bills, fences, claim epochs and
// tombstones. It is guarded by the agent's lock and never reads a clock.
type ledger struct {
	bills  map[uuid.UUID]billEntry
	fences map[fenceKey]time.Time
	epochs map[budget.Account]uint64

	tombstones map[uuid.UUID]struct{}
	// tombstoneOrder lists the tombstones, oldest first.
	tombstoneOrder []tombstone
	// floor covers the attempts whose tombstones were dropped.
	floor floor
	// droppedEarly counts fences and tombstones that were dropped for lack of
	// memory.
	droppedEarly int64
}

func newLedger() *ledger {
	return &ledger{
		bills:      make(map[uuid.UUID]billEntry),
		fences:     make(map[fenceKey]time.Time),
		epochs:     make(map[budget.Account]uint64),
		tombstones: make(map[uuid.UUID]struct{}),
	}
}

// attemptTime returns the time that an attempt id carries, zero if it carries
// none.
func attemptTime(id uuid.UUID) time.Time {
	if id.Version() != 7 {
		return time.Time{}
	}
	return time.UnixMilli(int64(binary.BigEndian.Uint64(id[:8]) >> 16))
}

// ageOf returns how old a record about an attempt is, made at the given time. A
// record about an id that lies in the future does not age until then, so that a
// floor made from it is never in the future.
func ageOf(id uuid.UUID, made, now time.Time) time.Duration {
	if t := attemptTime(id); t.After(made) {
		made = t
	}
	return now.Sub(made)
}

// floor is a time that replaces dropped records about attempts: what is known
// about an attempt that is not newer is lost. The zero value replaces nothing.
type floor struct{ at time.Time }

// raise covers an attempt, but no time after now.
func (f *floor) raise(id uuid.UUID, now time.Time) {
	if t := earlier(attemptTime(id), now); t.After(f.at) {
		f.at = t
	}
}

func (f *floor) covers(id uuid.UUID) bool {
	return !f.at.IsZero() && !attemptTime(id).After(f.at)
}

func (l *ledger) addBill(bill budget.Bill, router budget.Incarnation) {
	l.bills[bill.Attempt] = billEntry{bill: bill, router: router}
}

// bill returns a copy of the bill of an attempt, nil if it has none or the bill
// is durable.
func (l *ledger) bill(attempt uuid.UUID) *budget.Bill {
	entry, found := l.bills[attempt]
	if !found {
		return nil
	}
	return &entry.bill
}

func (l *ledger) acknowledge(attempts []uuid.UUID) {
	for _, id := range attempts {
		delete(l.bills, id)
	}
}

// collect adds the account's bills to a reply.
func (l *ledger) collect(account budget.Account, reply *wire.CollectReply) {
	for _, entry := range l.bills {
		if entry.bill.Lot.Account == account {
			reply.Bills = append(reply.Bills, entry.bill)
			reply.Routers = append(reply.Routers, entry.router.Boot)
		}
	}
}

func (l *ledger) fence(account budget.Account, router budget.Incarnation, now time.Time) {
	if len(l.fences) >= maxFences {
		l.dropOldestFence()
	}
	l.fences[fenceKey{account, router}] = now
}

func (l *ledger) dropOldestFence() {
	var oldest fenceKey
	var at time.Time
	for key, t := range l.fences {
		if at.IsZero() || t.Before(at) {
			oldest, at = key, t
		}
	}
	delete(l.fences, oldest)
	l.droppedEarly++
}

func (l *ledger) fenced(account budget.Account, router budget.Incarnation) bool {
	_, found := l.fences[fenceKey{account, router}]
	return found
}

// raiseEpoch makes claims with a lower epoch refused.
func (l *ledger) raiseEpoch(account budget.Account, epoch uint64) {
	l.epochs[account] = max(l.epochs[account], epoch)
}

// entomb makes an attempt that was never seen refused from now on.
func (l *ledger) entomb(attempt uuid.UUID, now time.Time) {
	if _, found := l.tombstones[attempt]; found {
		return
	}
	if len(l.tombstones) >= maxTombstones {
		l.dropOldestTombstone(now)
		l.droppedEarly++
	}
	l.tombstones[attempt] = struct{}{}
	l.tombstoneOrder = append(l.tombstoneOrder, tombstone{attempt, now})
}

// dropOldestTombstone replaces a tombstone by the floor, which refuses every
// attempt that is not newer.
func (l *ledger) dropOldestTombstone(now time.Time) {
	oldest := l.tombstoneOrder[0]
	l.tombstoneOrder = l.tombstoneOrder[1:]
	delete(l.tombstones, oldest.attempt)
	l.floor.raise(oldest.attempt, now)
}

// entombed reports whether an attempt must not run.
func (l *ledger) entombed(attempt uuid.UUID) bool {
	_, found := l.tombstones[attempt]
	return found || l.floor.covers(attempt)
}

// takeDroppedEarly returns the count since the last call.
func (l *ledger) takeDroppedEarly() int64 {
	n := l.droppedEarly
	l.droppedEarly = 0
	return n
}

// sweep drops what is past its retention.
func (l *ledger) sweep(now time.Time) {
	for len(l.tombstoneOrder) > 0 && ageOf(l.tombstoneOrder[0].attempt, l.tombstoneOrder[0].at, now) > tombstoneRetention {
		l.dropOldestTombstone(now)
	}
	for key, at := range l.fences {
		if now.Sub(at) > fenceRetention {
			delete(l.fences, key)
		}
	}
}
