// Package membership decides whether a backend server may get new requests, by what the
// server itself has said: that it is leaving, or that it wants a rest. The gate's fleet
// table and the router use it. It is pure decision logic: it knows neither the network
// nor how servers say it, and its callers pass the time.
package membership

import (
	"math"
	"time"
)

const (
	// MaxRest limits a rest, so that a faulty value does not take a server out for good.
	MaxRest = 10 * time.Minute
	// For rampSteps times rampStep after a rest, the number of requests that a server gets
	// since the rest is limited: one at first, twice as many with each step.
	rampStep  = 100 * time.Millisecond
	rampSteps = 8
	// minReportedExtension is how much later a rest must end than last reported to be
	// reported again: the refusals of requests sent together extend a rest a little each.
	minReportedExtension = 500 * time.Millisecond
	// invalidReportInterval is the least time between two reports of invalid values.
	invalidReportInterval = time.Minute
)

// Member is what one lifetime of a server has said of its membership. It is safe for concurrent
// use. No other lock is acquired while the mutex of its history is held.
type Member struct {
	// history is shared by the members of all lifetimes of the server. Its mutex guards the
	// fields below.
	history *history
	address string
	// startedAt is the start of the lifetime, zero if unknown.
	startedAt time.Time
	leaving   bool
	lastRest  time.Time // end of the last rest that this member recorded, zero if none
	rampStart time.Time // end of the rest since which admitted is counted
	admitted  int
	// reportedUntil is the end of the rest that Rest last reported.
	reportedUntil     time.Time
	invalidReportedAt time.Time
}

// NewMember returns the member of a server that has said nothing and has no other lifetimes.
func NewMember() *Member { return &Member{history: newHistory()} }

func (m *Member) setAddress(address string) {
	m.history.mu.Lock()
	defer m.history.mu.Unlock()
	m.address = address
}

// Leave records that the server is leaving, which holds for the rest of its lifetime. It
// reports whether that is new.
func (m *Member) Leave(source Source) bool {
	m.history.mu.Lock()
	defer m.history.mu.Unlock()
	changed := !m.isLeaving(source.HeardAt)
	m.leaving = true
	m.history.addLeave(source)
	return changed
}

func (m *Member) isLeaving(now time.Time) bool {
	return m.leaving || m.history.hasLeft(m.address, m.startedAt, now)
}

// restUntil returns the end of the last rest, zero if there was none.
func (m *Member) restUntil() time.Time {
	if until := m.history.restUntil(m.address, m.startedAt); until.After(m.lastRest) {
		return until
	}
	return m.lastRest
}

// RestChange is the effect of a request for a rest.
type RestChange string

// Effects of a request for a rest. RestUnchanged also covers an extension that is too
// short to be reported.
const (
	RestUnchanged RestChange = "unchanged"
	RestStarted   RestChange = "started"
	RestExtended  RestChange = "extended"
)

// Rest records that the server wants no requests for d, at most MaxRest. It never shortens
// a rest. It returns the effect and the end of the rest.
func (m *Member) Rest(source Source, d time.Duration, now time.Time) (RestChange, time.Time) {
	m.history.mu.Lock()
	defer m.history.mu.Unlock()
	until, before := now.Add(min(d, MaxRest)), m.restUntil()
	if d <= 0 {
		return RestUnchanged, before
	}
	m.history.addRest(rest{source, until}, now)
	if !until.After(before) {
		return RestUnchanged, before
	}
	change := RestUnchanged
	switch {
	case !now.Before(before):
		change = RestStarted
	case until.Sub(m.reportedUntil) >= minReportedExtension:
		change = RestExtended
	}
	if change != RestUnchanged {
		m.reportedUntil = until
	}
	m.lastRest = until
	return change, until
}

// Accepts reports whether the server accepts requests: it is neither leaving nor resting.
// It does not consider the ramp.
func (m *Member) Accepts(now time.Time) bool {
	m.history.mu.Lock()
	defer m.history.mu.Unlock()
	return m.accepts(now)
}

func (m *Member) accepts(now time.Time) bool { return !m.isLeaving(now) && !now.Before(m.restUntil()) }

// Available reports whether Admit would admit a request now.
func (m *Member) Available(now time.Time) bool {
	m.history.mu.Lock()
	defer m.history.mu.Unlock()
	return m.accepts(now) && m.admittedSinceRest() < m.rampLimit(now)
}

// Admit reports whether a request may be sent to the server now, and counts it if so.
func (m *Member) Admit(now time.Time) bool {
	m.history.mu.Lock()
	defer m.history.mu.Unlock()
	if !m.accepts(now) || m.admittedSinceRest() >= m.rampLimit(now) {
		return false
	}
	m.admitted++
	return true
}

// admittedSinceRest returns the number of requests admitted since the last rest.
func (m *Member) admittedSinceRest() int {
	if until := m.restUntil(); !until.Equal(m.rampStart) {
		m.rampStart, m.admitted = until, 0
	}
	return m.admitted
}

// rampLimit returns how many requests may have been admitted since the rest.
func (m *Member) rampLimit(now time.Time) int {
	step := now.Sub(m.restUntil()) / rampStep
	if step >= rampSteps {
		return math.MaxInt
	}
	return 1 << step
}

// RampDelay returns when in the ramp after a rest a caller should come back, from the rest's
// end. Callers with u evenly distributed from 0 to 1 come back as the ramp admits them.
func RampDelay(u float64) time.Duration {
	return time.Duration((1 + math.Log2(1+u*(1<<rampSteps-1))) * float64(rampStep))
}

// AvailableAt returns the earliest time from now on at which a request would be admitted,
// as far as is known. It returns false if the server is leaving.
func (m *Member) AvailableAt(now time.Time) (time.Time, bool) {
	m.history.mu.Lock()
	defer m.history.mu.Unlock()
	until := m.restUntil()
	switch {
	case m.isLeaving(now):
		return time.Time{}, false
	case now.Before(until):
		return until, true
	case m.admittedSinceRest() >= m.rampLimit(now):
		return until.Add((now.Sub(until)/rampStep + 1) * rampStep), true
	}
	return now, true
}

// ReportInvalid reports whether an invalid value of the server is to be logged now. It
// limits the reports about one server.
func (m *Member) ReportInvalid(now time.Time) bool {
	m.history.mu.Lock()
	defer m.history.mu.Unlock()
	if !m.invalidReportedAt.IsZero() && now.Sub(m.invalidReportedAt) < invalidReportInterval {
		return false
	}
	m.invalidReportedAt = now
	return true
}
