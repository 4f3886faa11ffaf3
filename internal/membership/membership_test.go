package membership

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A second request for a rest must not shorten the first, an absurd one must not last for good,
// and the small extensions by requests sent together must not each be reported.
func TestRestOnlyExtended(t *testing.T) {
	c := qt.New(t)
	var m Member
	now := time.Now()
	for _, step := range []struct {
		at, rest time.Duration
		change   RestChange
		until    time.Duration
	}{
		{0, 0, RestUnchanged, 0}, {0, -time.Second, RestUnchanged, 0},
		{0, 2 * time.Second, RestStarted, 2 * time.Second},
		{100 * time.Millisecond, time.Second, RestUnchanged, 2 * time.Second},
		{100 * time.Millisecond, 2 * time.Second, RestUnchanged, 2100 * time.Millisecond},
		{500 * time.Millisecond, 2 * time.Second, RestExtended, 2500 * time.Millisecond},
		{3 * time.Second, math.MaxInt64, RestStarted, 3*time.Second + MaxRest},
	} {
		change, until := m.Rest(step.rest, now.Add(step.at))
		c.Check(change, qt.Equals, step.change)
		if step.until > 0 {
			c.Check(until.Sub(now), qt.Equals, step.until)
			c.Check(m.Admit(now.Add(step.until-1)), qt.IsFalse)
		}
	}
	c.Check(m.Leave(), qt.IsTrue)
	c.Check(m.Leave(), qt.IsFalse)
	c.Check(m.Admit(now.Add(time.Hour)), qt.IsFalse)
	_, ok := m.AvailableAt(now)
	c.Check(ok, qt.IsFalse)
}

// Requests must not all be sent in the instant at which a rest ends.
func TestRampAfterRest(t *testing.T) {
	c := qt.New(t)
	var m Member
	now := time.Now()
	m.Rest(time.Second, now)
	admitted := 0
	for at := now; at.Before(now.Add(time.Second + rampSteps*rampStep)); at = at.Add(10 * time.Millisecond) {
		for m.Available(at) {
			c.Assert(m.Admit(at), qt.IsTrue)
			admitted++
		}
		next, ok := m.AvailableAt(at)
		c.Assert(ok && next.After(at) && !m.Available(next.Add(-1)) && m.Available(next), qt.IsTrue)
		limit := 0
		if after := at.Sub(now) - time.Second; after >= 0 {
			limit = 1 << (after / rampStep)
		}
		c.Assert(admitted, qt.Equals, limit)
	}
	c.Assert(RampDelay(1) <= (rampSteps+1)*rampStep, qt.IsTrue)
}

// A member must be kept while its entry is missing for a while, and not for good.
func TestMemberOutlastsEntry(t *testing.T) {
	c := qt.New(t)
	s, a, now := NewSet(), Instance{"a", 1}, time.Now()
	s.Member(a).Leave()
	list := func(instances ...Instance) {
		listed := map[Instance]bool{}
		for _, i := range instances {
			s.Member(i)
			listed[i] = true
		}
		s.EndListing(listed, now)
	}
	list(a)
	now = now.Add(2 * retention)
	list(Instance{"a", 2})
	now = now.Add(retention - 1)
	list(a, Instance{"a", 2})
	c.Assert(s.Member(a).Accepts(now), qt.IsFalse)
	c.Assert(s.Member(Instance{"a", 2}).Accepts(now), qt.IsTrue)
	list()
	now = now.Add(retention)
	list()
	c.Assert(s.members, qt.HasLen, 0)
	c.Assert(s.unlistedSince, qt.HasLen, 0)
}
