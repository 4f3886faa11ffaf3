package fleet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func entry(id string, revision int64) Entry {
	return Entry{ID: id, Service: "svc", Address: "10.0.0.1:80", Domain: "d", Slots: 4, Revision: revision}
}

func one(table *Table) *Server { return table.Servers("svc")[0] }

// Guards against a server that gets requests after it said that it is leaving, and
// against health that is kept over a restart.
func TestEntries(t *testing.T) {
	c := qt.New(t)
	table := NewTable()
	c.Assert(table.Apply([]Entry{entry("a", 1), entry("b", 2)}), qt.HasLen, 2)
	c.Assert(table.Servers("svc"), qt.HasLen, 2)
	c.Assert(table.Apply([]Entry{entry("a", 1), entry("b", 2)}), qt.HasLen, 0)
	leaving := entry("b", 3)
	leaving.Draining = true
	changes := table.Apply([]Entry{entry("a", 1), leaving})
	c.Assert(changes, qt.HasLen, 1)
	c.Assert(changes[0].Kind, qt.Equals, "draining")
	c.Assert(table.Servers("svc"), qt.HasLen, 1)
	now := time.Now()
	for range brokenLimit {
		one(table).Begin(ShortPrompt, now).End(ConnectionFailed, now)
	}
	c.Assert(one(table).Usable(now), qt.IsFalse)
	again := entry("a", 4)
	again.StartedAtMillis = 99
	c.Assert(table.Apply([]Entry{again})[0].Kind, qt.Equals, "restarted")
	c.Assert(one(table).Usable(now), qt.IsTrue)
}

// Guards against a dead server that gets many requests, and against one that gets
// none after it is back.
func TestFailedServerIsTriedOnce(t *testing.T) {
	c := qt.New(t)
	table := NewTable()
	table.Apply([]Entry{entry("a", 1)})
	s, now := one(table), time.Now()
	s.Begin(ShortPrompt, now).End(Unreachable, now)
	c.Assert(s.Usable(now.Add(firstBackoff/2)), qt.IsFalse)
	now = now.Add(firstBackoff)
	c.Assert(s.Usable(now), qt.IsTrue)
	trial := s.Begin(ShortPrompt, now)
	c.Assert(s.Usable(now), qt.IsFalse)
	trial.FirstByte(now)
	trial.End(Answered, now)
	c.Assert(s.Usable(now), qt.IsTrue)
	for range 20 {
		s.Begin(ShortPrompt, now).End(Unreachable, now)
	}
	c.Assert(s.Usable(now.Add(maxBackoff)), qt.IsTrue)
}

// Plays one server that fails 40% of its requests among others that fail 14%, which
// is usual there: only the one is avoided, and it is tried again later.
func TestGreyServerIsAvoided(t *testing.T) {
	c := qt.New(t)
	table := NewTable()
	a, b := entry("a", 1), entry("b", 1)
	table.Apply([]Entry{a, b})
	now := time.Now()
	play := func(s *Server, failEvery, n int) {
		for i := range n {
			result := Answered
			if i%failEvery == 0 {
				result = ServerError
			}
			s.Begin(ShortPrompt, now).End(result, now)
		}
	}
	usual, grey := table.Servers("svc")[0], table.Servers("svc")[1]
	play(usual, 7, 300)
	c.Assert(usual.Degraded(now), qt.IsFalse)
	play(grey, 2, 20)
	c.Assert(grey.Degraded(now), qt.IsTrue)
	c.Assert(usual.Degraded(now), qt.IsFalse)
	c.Assert(grey.Degraded(now.Add(avoidRecheck+time.Millisecond)), qt.IsFalse)
}

// Guards against a slow server that is taken for a usual one, and against long
// prompts that make a server look slow.
func TestSlowServerIsAvoided(t *testing.T) {
	c := qt.New(t)
	table := NewTable()
	table.Apply([]Entry{entry("a", 1), entry("b", 1)})
	now := time.Now()
	play := func(s *Server, class PromptClass, first time.Duration, n int) {
		for range n {
			a := s.Begin(class, now)
			a.FirstByte(now.Add(first))
			a.End(Answered, now.Add(first))
		}
	}
	usual, slow := table.Servers("svc")[0], table.Servers("svc")[1]
	play(usual, ShortPrompt, 50*time.Millisecond, 200)
	play(usual, LongPrompt, 400*time.Millisecond, 50)
	c.Assert(usual.Degraded(now), qt.IsFalse)
	play(slow, ShortPrompt, 400*time.Millisecond, 10)
	c.Assert(slow.Degraded(now), qt.IsTrue)
	c.Assert(usual.InProgress(), qt.Equals, 0)
	c.Assert(slow.AwaitingFirstByte(), qt.Equals, 0)
}
