package agent

import (
	"time"

	"github.com/google/uuid"

	"github.com/monsoonworks/monsoonworks/internal/verdict"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

const (
	// keyedRetention is how long the record of a finished attempt with an
	// idempotency key is kept: a key repeated within it must find its attempt.
	// unkeyedRetention is that of other attempts.
	keyedRetention   = time.Hour
	unkeyedRetention = 10 * time.Minute
	// responseRetention is how long a finished response is kept.
	// deliveredRetention is how long a response without an idempotency key is
	// kept after its delivery.
	responseRetention  = 10 * time.Minute
	deliveredRetention = 10 * time.Second
	// maxKeptResponseBytes bounds the total size of finished responses.
	maxKeptResponseBytes = 8 << 20
)

// attemptHistory lists finished attempts in the order in which they finished.
// It is guarded by the agent's mutex.
type attemptHistory struct {
	// maxRecords bounds both lists together.
	maxRecords     int
	keyed, unkeyed []*attempt
	// keptBytes is the total size of the kept finished responses.
	keptBytes int
	// horizon covers the attempts whose records were dropped: one that it
	// covers may have run even if it has no record.
	horizon horizon
}

func (h *attemptHistory) add(at *attempt) {
	h.keptBytes += at.responseBytes
	if at.keyed() {
		h.keyed = append(h.keyed, at)
	} else {
		h.unkeyed = append(h.unkeyed, at)
	}
}

// dropResponse drops a finished response unless it has a reader, and reports
// whether it did.
func (h *attemptHistory) dropResponse(at *attempt) bool {
	if at.responseDropped || !at.response.drop() {
		return false
	}
	at.responseDropped = true
	h.keptBytes -= at.responseBytes
	return true
}

// trimResponses drops the oldest responses that have no reader, those without an
// idempotency key first, until the rest fit maxKeptResponseBytes. It returns the
// number of dropped responses.
func (h *attemptHistory) trimResponses() int {
	dropped := 0
	for _, list := range [][]*attempt{h.unkeyed, h.keyed} {
		for _, at := range list {
			if h.keptBytes <= maxKeptResponseBytes {
				return dropped
			}
			if at.responseBytes > 0 && h.dropResponse(at) {
				dropped++
			}
		}
	}
	return dropped
}

// expireResponses drops responses whose retention has ended.
func (h *attemptHistory) expireResponses(now time.Time) {
	for _, at := range h.unkeyed {
		delivered := !at.deliveredAt.IsZero() && now.Sub(at.deliveredAt) > deliveredRetention
		if delivered || now.Sub(at.finishedAt) > responseRetention {
			h.dropResponse(at)
		}
	}
	for _, at := range h.keyed {
		if now.Sub(at.finishedAt) <= responseRetention {
			break
		}
		h.dropResponse(at)
	}
}

// expireRecords drops the records whose retention has ended, and then the oldest
// ones, those without an idempotency key first, until at most maxRecords are
// left. It calls remove for each dropped record and returns how many were dropped
// early because of maxRecords.
func (h *attemptHistory) expireRecords(now time.Time, remove func(*attempt)) (early int) {
	drop := func(list []*attempt) []*attempt {
		remove(list[0])
		h.horizon.advance(list[0].id, now)
		list[0] = nil
		return list[1:]
	}
	for len(h.unkeyed) > 0 && recordAge(h.unkeyed[0].id, h.unkeyed[0].finishedAt, now) > unkeyedRetention {
		h.unkeyed = drop(h.unkeyed)
	}
	for len(h.keyed) > 0 && recordAge(h.keyed[0].id, h.keyed[0].finishedAt, now) > keyedRetention {
		h.keyed = drop(h.keyed)
	}
	for len(h.keyed)+len(h.unkeyed) > h.maxRecords {
		early++
		if len(h.unkeyed) > 0 {
			h.unkeyed = drop(h.unkeyed)
		} else {
			h.keyed = drop(h.keyed)
		}
	}
	return early
}

// sweep drops state whose retention has ended or that exceeds the limits.
func (a *Agent) sweep() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.history.expireResponses(now)
	a.metrics.responsesDropped.Inc(int64(a.history.trimResponses()))
	early := a.history.expireRecords(now, func(at *attempt) {
		a.history.dropResponse(at)
		delete(a.attempts, at.id)
	})
	a.metrics.recordsDropped.Inc(int64(early))
	a.admission.sweep(now)
	a.metrics.tombstonesDropped.Inc(a.admission.takeDroppedEarly())
	a.metrics.responseBytes.Update(a.runningResponseBytes.Load() + int64(a.history.keptBytes))
}

// resolveLocked returns the state of an attempt, and its Done message if it has
// ended. With addTombstone set, it adds a tombstone for an attempt that the
// agent has not seen. Callers hold mu.
func (a *Agent) resolveLocked(id uuid.UUID, addTombstone bool) (wire.AttemptState, *wire.Done) {
	if at := a.attempts[id]; at != nil {
		switch {
		case at.state != stateFinished:
			return wire.AttemptRunning, nil
		case at.responseDropped:
			return wire.AttemptExpired, a.doneLocked(at)
		default:
			return wire.AttemptFinished, a.doneLocked(at)
		}
	}
	if a.admission.tombstoned(id) {
		return wire.AttemptUnknown, nil
	}
	if bill := a.admission.bill(id); bill != nil {
		return wire.AttemptExpired, &wire.Done{
			Attempt: id, Verdict: verdict.Ran, Code: verdict.CodeAnswerNotKept, Bill: bill, Load: a.loadLocked(),
		}
	}
	if a.history.horizon.covers(id) {
		return wire.AttemptExpired, &wire.Done{
			Attempt: id, Verdict: verdict.Unknown, Code: verdict.CodeAnswerNotKept, Load: a.loadLocked(),
		}
	}
	if addTombstone {
		a.admission.addTombstone(id, time.Now())
	}
	return wire.AttemptUnknown, nil
}
