package agent

import (
	"time"

	"github.com/google/uuid"

	"github.com/monsoonworks/monsoonworks/internal/verdict"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// Retention of finished attempts.
const (
	// keyedRetention is the key window: within it, a repeated idempotency key
	// must find its attempt.
	keyedRetention   = time.Hour
	unkeyedRetention = 10 * time.Minute
	// answerRetention is how long a finished answer is kept, and
	// deliveredRetention how long one without a key after it was delivered.
	answerRetention    = 10 * time.Minute
	deliveredRetention = 10 * time.Second
	// maxKeptAnswerBytes bounds the finished answers.
	maxKeptAnswerBytes = 8 << 20
)

// memory lists the finished attempts in the order in which they finished. It is
// guarded by the agent's lock.
type memory struct {
	// maxRecords bounds both lists together.
	maxRecords     int
	keyed, unkeyed []*attempt
	// keptBytes is the size of the finished answers that are kept.
	keptBytes int
	// floor covers the attempts whose records were dropped: an unknown one may
	// have run.
	floor floor
}

func (m *memory) finished(at *attempt) {
	m.keptBytes += at.answerBytes
	if at.keyed() {
		m.keyed = append(m.keyed, at)
	} else {
		m.unkeyed = append(m.unkeyed, at)
	}
}

// dropAnswer forgets a finished answer unless someone reads it.
func (m *memory) dropAnswer(at *attempt) bool {
	if at.answerLost || !at.answer.drop() {
		return false
	}
	at.answerLost = true
	m.keptBytes -= at.answerBytes
	return true
}

// trimAnswers drops the oldest answers, those without a key first, until the
// kept ones are within their bound. It returns how many it dropped.
func (m *memory) trimAnswers() int {
	dropped := 0
	for _, list := range [][]*attempt{m.unkeyed, m.keyed} {
		for _, at := range list {
			if m.keptBytes <= maxKeptAnswerBytes {
				return dropped
			}
			if at.answerBytes > 0 && m.dropAnswer(at) {
				dropped++
			}
		}
	}
	return dropped
}

// expireAnswers drops the answers that are past their retention.
func (m *memory) expireAnswers(now time.Time) {
	for _, at := range m.unkeyed {
		delivered := !at.deliveredAt.IsZero() && now.Sub(at.deliveredAt) > deliveredRetention
		if delivered || now.Sub(at.finishedAt) > answerRetention {
			m.dropAnswer(at)
		}
	}
	for _, at := range m.keyed {
		if now.Sub(at.finishedAt) <= answerRetention {
			break
		}
		m.dropAnswer(at)
	}
}

// expireRecords forgets the records that are past their retention and calls
// forget for each. It returns how many it dropped early, because there were too
// many.
func (m *memory) expireRecords(now time.Time, forget func(*attempt)) (early int) {
	drop := func(list []*attempt) []*attempt {
		forget(list[0])
		m.floor.raise(list[0].id, now)
		list[0] = nil
		return list[1:]
	}
	for len(m.unkeyed) > 0 && ageOf(m.unkeyed[0].id, m.unkeyed[0].finishedAt, now) > unkeyedRetention {
		m.unkeyed = drop(m.unkeyed)
	}
	for len(m.keyed) > 0 && ageOf(m.keyed[0].id, m.keyed[0].finishedAt, now) > keyedRetention {
		m.keyed = drop(m.keyed)
	}
	for len(m.keyed)+len(m.unkeyed) > m.maxRecords {
		early++
		if len(m.unkeyed) > 0 {
			m.unkeyed = drop(m.unkeyed)
		} else {
			m.keyed = drop(m.keyed)
		}
	}
	return early
}

// sweep forgets what is past its retention.
func (a *Agent) sweep() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.memory.expireAnswers(now)
	a.metrics.answersDropped.Inc(int64(a.memory.trimAnswers()))
	early := a.memory.expireRecords(now, func(at *attempt) {
		a.memory.dropAnswer(at)
		delete(a.attempts, at.id)
	})
	a.metrics.recordsDropped.Inc(int64(early))
	a.ledger.sweep(now)
	a.metrics.ledgerDropped.Inc(a.ledger.takeDroppedEarly())
	a.metrics.answerBytes.Update(a.answerBytes.Load() + int64(a.memory.keptBytes))
}

// resolveLocked returns what is known about an attempt. With fence set, an
// attempt that was not seen is refused from now on. Callers hold mu.
func (a *Agent) resolveLocked(id uuid.UUID, fence bool) (wire.AttemptState, *wire.Done) {
	if at := a.attempts[id]; at != nil {
		switch {
		case at.state != stateFinished:
			return wire.AttemptRunning, nil
		case at.answerLost:
			return wire.AttemptExpired, a.doneLocked(at)
		default:
			return wire.AttemptFinished, a.doneLocked(at)
		}
	}
	if a.ledger.entombed(id) {
		return wire.AttemptUnknown, nil
	}
	if bill := a.ledger.bill(id); bill != nil {
		return wire.AttemptExpired, &wire.Done{
			Attempt: id, Verdict: verdict.Ran, Code: verdict.CodeAnswerNotKept, Bill: bill, Load: a.loadLocked(),
		}
	}
	if a.memory.floor.covers(id) {
		return wire.AttemptExpired, &wire.Done{
			Attempt: id, Verdict: verdict.Unknown, Code: verdict.CodeAnswerNotKept, Load: a.loadLocked(),
		}
	}
	if fence {
		a.ledger.entomb(id, time.Now())
	}
	return wire.AttemptUnknown, nil
}
