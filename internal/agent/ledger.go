package agent

import (
	"encoding/binary"
	"errors"
	"time"

	"github.com/google/uuid"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

const (
	// tombstoneRetention is how long an attempt that must not run is listed.
	// After it, every attempt that is as old is refused.
	tombstoneRetention = time.Hour
	// maxTombstones bounds the memory of tombstones.
	maxTombstones = 1 << 16
)

type tombstone struct {
	attempt uuid.UUID
	at      time.Time
}

// ledger holds what outlives a request: the book with its reservations, bills
// and fences, and the tombstones. It is guarded by the agent's lock and never
// reads a clock.
type ledger struct {
	book *budget.Ledger

	tombstones map[uuid.UUID]struct{}
	// tombstoneOrder lists the tombstones, oldest first.
	tombstoneOrder []tombstone
	// floor covers the attempts whose tombstones were dropped.
	floor floor
	// droppedEarly counts tombstones that were dropped for lack of memory.
	droppedEarly int64
}

func newLedger(self budget.Incarnation) *ledger {
	return &ledger{book: budget.NewLedger(self), tombstones: make(map[uuid.UUID]struct{})}
}

// admit registers an attempt as running in the book, or returns why it must not
// run.
func (l *ledger) admit(req *wire.ExecRequest) *refusal {
	a := budget.Admission{
		Request: req.Request, Attempt: req.Attempt, Router: req.Router, TargetBoot: req.TargetBoot,
		Budget: req.Budget, Lot: req.Lot, Slot: req.Slot, Reserve: req.MaxCost, AccountEpoch: req.AccountEpoch,
	}
	if req.Claim != nil {
		a.ClaimAccount, a.ClaimEpoch = req.Claim.Account, req.Claim.Epoch
	}
	err := l.book.Admit(a)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, budget.ErrDuplicateAttempt):
		return &refusal{seen: true}
	case errors.Is(err, budget.ErrEpochsUnknown):
		return refuseFor(verdict.CodeNotReady, err.Error(), downRetryAfter)
	default:
		return refuse(verdict.CodeFenced, err.Error())
	}
}

// bill returns a copy of the bill of an attempt, nil if it has none or the bill
// is durable.
func (l *ledger) bill(attempt uuid.UUID) *budget.Bill {
	if bill, ok := l.book.Bill(attempt); ok {
		return &bill
	}
	return nil
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

// sweep drops tombstones that are past their retention.
func (l *ledger) sweep(now time.Time) {
	for len(l.tombstoneOrder) > 0 && ageOf(l.tombstoneOrder[0].attempt, l.tombstoneOrder[0].at, now) > tombstoneRetention {
		l.dropOldestTombstone(now)
	}
}
