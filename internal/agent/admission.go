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
	// tombstoneRetention is how long the tombstone of an attempt is kept. Once
	// it is dropped, every attempt that is not newer is refused.
	tombstoneRetention = time.Hour
	// maxTombstones bounds the memory that tombstones use.
	maxTombstones = 1 << 16
)

type tombstone struct {
	attempt uuid.UUID
	addedAt time.Time
}

// admissionState decides whether an attempt may run: it holds the ledger with
// its reservations, bills and fences, and the tombstones. It is guarded by the
// agent's mutex. Callers pass it the current time.
type admissionState struct {
	ledger *budget.Ledger

	// tombstones holds attempts that must not run if they arrive. The ledger's
	// own tombstones are not used.
	tombstones map[uuid.UUID]struct{}
	// tombstoneOrder lists the tombstones, oldest first.
	tombstoneOrder []tombstone
	// horizon covers the attempts whose tombstones were dropped.
	horizon horizon
	// droppedEarly counts tombstones dropped before the end of their retention
	// because of maxTombstones.
	droppedEarly int64
}

func newAdmissionState(self budget.Incarnation) *admissionState {
	return &admissionState{ledger: budget.NewLedger(self), tombstones: make(map[uuid.UUID]struct{})}
}

// admit registers an attempt as running in the ledger, or returns why it must
// not run.
func (s *admissionState) admit(req *wire.ExecRequest) *refusal {
	a := budget.Admission{
		Request: req.Request, Attempt: req.Attempt, Router: req.Router, AgentBoot: req.AgentBoot,
		Budget: req.Budget, Lot: req.Lot, Slot: req.Slot, Reserved: req.MaxCost, AccountEpoch: req.AccountEpoch,
	}
	if req.Claim != nil {
		a.ClaimAccount, a.ClaimEpoch = req.Claim.Account, req.Claim.Epoch
	}
	err := s.ledger.Admit(a)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, budget.ErrDuplicateAttempt):
		return &refusal{duplicate: true}
	case errors.Is(err, budget.ErrEpochsUnknown):
		return refuseWithRetry(verdict.CodeNotReady, err.Error(), unavailableRetryAfter)
	default:
		return refuse(verdict.CodeFenced, err.Error())
	}
}

// bill returns a copy of the bill of an attempt, nil if the attempt has none or
// its bill is durable.
func (s *admissionState) bill(attempt uuid.UUID) *budget.Bill {
	if bill, ok := s.ledger.Bill(attempt); ok {
		return &bill
	}
	return nil
}

// attemptTime returns the time in a UUIDv7 attempt ID, zero for any other ID.
func attemptTime(id uuid.UUID) time.Time {
	if id.Version() != 7 {
		return time.Time{}
	}
	return time.UnixMilli(int64(binary.BigEndian.Uint64(id[:8]) >> 16))
}

// recordAge returns the age of a record about an attempt, recorded at the given
// time. If the time in the ID is later, because the router's clock is ahead, the
// age counts from there: the horizon is never advanced past the present, and it
// must cover the attempt once the record has expired.
func recordAge(id uuid.UUID, recordedAt, now time.Time) time.Duration {
	if t := attemptTime(id); t.After(recordedAt) {
		recordedAt = t
	}
	return now.Sub(recordedAt)
}

// horizon is a time up to which records about attempts may have been dropped.
// It covers the attempts that are not newer: whether there was a record of one
// of them is unknown. The zero value covers no attempt.
type horizon struct{ at time.Time }

// advance moves the horizon so that it covers the attempt, but not past now.
func (h *horizon) advance(id uuid.UUID, now time.Time) {
	if t := earlierOf(attemptTime(id), now); t.After(h.at) {
		h.at = t
	}
}

func (h *horizon) covers(id uuid.UUID) bool {
	return !h.at.IsZero() && !attemptTime(id).After(h.at)
}

// addTombstone makes the agent refuse an attempt that it has not seen.
func (s *admissionState) addTombstone(attempt uuid.UUID, now time.Time) {
	if _, found := s.tombstones[attempt]; found {
		return
	}
	if len(s.tombstones) >= maxTombstones {
		s.dropOldestTombstone(now)
		s.droppedEarly++
	}
	s.tombstones[attempt] = struct{}{}
	s.tombstoneOrder = append(s.tombstoneOrder, tombstone{attempt, now})
}

// dropOldestTombstone drops a tombstone and advances the horizon, so that the
// attempt and every older one are still refused.
func (s *admissionState) dropOldestTombstone(now time.Time) {
	oldest := s.tombstoneOrder[0]
	s.tombstoneOrder = s.tombstoneOrder[1:]
	delete(s.tombstones, oldest.attempt)
	s.horizon.advance(oldest.attempt, now)
}

// tombstoned reports whether an attempt has a tombstone or may have had one,
// and so must not run.
func (s *admissionState) tombstoned(attempt uuid.UUID) bool {
	_, found := s.tombstones[attempt]
	return found || s.horizon.covers(attempt)
}

// takeDroppedEarly returns droppedEarly and resets it.
func (s *admissionState) takeDroppedEarly() int64 {
	n := s.droppedEarly
	s.droppedEarly = 0
	return n
}

// sweep drops tombstones whose retention has ended.
func (s *admissionState) sweep(now time.Time) {
	for len(s.tombstoneOrder) > 0 && recordAge(s.tombstoneOrder[0].attempt, s.tombstoneOrder[0].addedAt, now) > tombstoneRetention {
		s.dropOldestTombstone(now)
	}
}
