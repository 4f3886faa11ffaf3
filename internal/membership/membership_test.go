package membership

import (
	"cmp"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A second request for a rest must not shorten the first, an absurd one must not last for good,
// and the small extensions by requests sent together must not each be reported.
func TestRestOnlyExtended(t *testing.T) {
	c := qt.New(t)
	m := NewMember()
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
		change, until := m.Rest(Source{}, step.rest, now.Add(step.at))
		c.Check(change, qt.Equals, step.change)
		if step.until > 0 {
			c.Check(until.Sub(now), qt.Equals, step.until)
			c.Check(m.Admit(now.Add(step.until-1)), qt.IsFalse)
		}
	}
	c.Check(m.Leave(Source{}), qt.IsTrue)
	c.Check(m.Leave(Source{}), qt.IsFalse)
	c.Check(m.Admit(now.Add(time.Hour)), qt.IsFalse)
	_, ok := m.AvailableAt(now)
	c.Check(ok, qt.IsFalse)
}

// Requests must not all be sent in the instant at which a rest ends.
func TestRampAfterRest(t *testing.T) {
	c := qt.New(t)
	m := NewMember()
	now := time.Now()
	m.Rest(Source{}, time.Second, now)
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
	s.Member(a, "x", now).Leave(Source{})
	list := func(instances ...Instance) {
		listed := map[Instance]bool{}
		for _, i := range instances {
			s.Member(i, "x", now)
			listed[i] = true
		}
		s.EndListing(listed, now)
	}
	list(a)
	now = now.Add(2 * retention)
	list(Instance{"a", 2})
	now = now.Add(retention - 1)
	list(a, Instance{"a", 2})
	c.Assert(s.Member(a, "x", now).Accepts(now), qt.IsFalse)
	c.Assert(s.Member(Instance{"a", 2}, "x", now).Accepts(now), qt.IsTrue)
	list()
	now = now.Add(retention)
	list()
	c.Assert(s.members, qt.HasLen, 0)
	c.Assert(s.unlistedSince, qt.HasLen, 0)
	c.Assert(s.histories, qt.HasLen, 0)
}

// What a lifetime says before the store lists it must hold for it, and what the lifetime before
// said must not, also if the clocks of hosts differ or an answer arrives after the listing.
func TestStatementsOfRestartedServer(t *testing.T) {
	const longRest = 30 * time.Second
	now := time.Now()
	for name, test := range map[string]struct {
		// opened and listed are relative to the restart; the server's clock is ahead by skew.
		opened, listed, skew time.Duration
		address              string
		rests, leaves        bool
	}{
		"new lifetime":                           {opened: 100 * time.Millisecond, listed: time.Second, rests: true, leaves: true},
		"new lifetime, long before its listing":  {opened: 100 * time.Millisecond, listed: 20 * time.Second, rests: true, leaves: true},
		"new lifetime, clock ahead":              {opened: 100 * time.Millisecond, listed: time.Second, skew: time.Second, rests: true, leaves: true},
		"new lifetime, clock ahead by minutes":   {opened: 100 * time.Millisecond, listed: time.Second, skew: 5 * time.Minute, rests: true, leaves: true},
		"new lifetime, clock behind":             {opened: 100 * time.Millisecond, listed: time.Second, skew: -time.Second, rests: true, leaves: true},
		"new lifetime, answer after its listing": {opened: 100 * time.Millisecond, listed: 50 * time.Millisecond, rests: true, leaves: true},
		"new lifetime at another address":        {opened: 100 * time.Millisecond, listed: time.Second, address: "other"},
		"lifetime before":                        {opened: -10 * time.Second, listed: time.Second},
		"lifetime before, kept connection":       {opened: -time.Hour, listed: time.Second},
		"lifetime before, clock behind":          {opened: -10 * time.Second, listed: time.Second, skew: -time.Second},
		"lifetime before, just before its end":   {opened: -3 * time.Second, listed: time.Second, rests: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := NewSet()
			restart := now
			before := s.Member(Instance{"a", restart.Add(-2 * time.Hour).UnixMilli()}, "x", restart.Add(-2*time.Hour))
			address := cmp.Or(test.address, "x")
			source := Source{Address: "x", OpenedAt: restart.Add(test.opened), HeardAt: restart.Add(test.opened)}
			listed := restart.Add(test.listed)
			list := func() *Member {
				return s.Member(Instance{"a", restart.Add(test.skew).UnixMilli()}, address, listed)
			}
			var after *Member
			if test.listed < test.opened {
				after = list()
			}
			before.Rest(source, longRest, restart.Add(test.opened))
			if after == nil {
				after = list()
			}
			c.Check(after.Accepts(listed.Add(time.Second)), qt.Equals, !test.rests)
			c.Check(after.Accepts(restart.Add(test.opened+longRest)), qt.IsTrue)
			before.Leave(source)
			c.Check(after.Accepts(source.HeardAt.Add(departureTime-time.Second)), qt.Equals, !test.leaves)
			c.Check(after.Accepts(source.HeardAt.Add(departureTime)), qt.IsTrue)
			c.Check(s.Member(Instance{"b", restart.UnixMilli()}, "x", listed).Accepts(listed), qt.IsTrue)
		})
	}
}

// A shorter rest of the new lifetime must not be lost behind a longer one of the lifetime before,
// and the longer one must end with its lifetime.
func TestRestsOfTwoLifetimes(t *testing.T) {
	c := qt.New(t)
	s, now := NewSet(), time.Now()
	before := s.Member(Instance{"a", now.Add(-time.Hour).UnixMilli()}, "x", now)
	before.Rest(Source{Address: "x", OpenedAt: now.Add(-time.Minute)}, MaxRest, now)
	restart := now.Add(10 * time.Second)
	before.Rest(Source{Address: "x", OpenedAt: restart}, 5*time.Second, restart)
	after := s.Member(Instance{"a", restart.UnixMilli()}, "x", restart.Add(time.Second))
	at, ok := after.AvailableAt(restart.Add(time.Second))
	c.Assert(ok, qt.IsTrue)
	c.Assert(at.Sub(restart), qt.Equals, 5*time.Second)
	c.Assert(after.Admit(at), qt.IsTrue)
	c.Assert(after.Admit(at), qt.IsFalse) // the limit after a rest holds as well
}
