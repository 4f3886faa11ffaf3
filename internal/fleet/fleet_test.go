package fleet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func testEntry(id string, revision int64) Entry {
	return Entry{ID: id, Service: "svc", Address: "10.0.0.1:80", Domain: "d", Slots: 4, Revision: revision}
}

func onlyServer(table *Table) *Server { return table.Servers("svc")[0] }

// A server that is draining must get no requests, and a restarted one must not
// inherit its health history.
func TestApplyEntries(t *testing.T) {
	c := qt.New(t)
	table := NewTable()
	c.Assert(table.Apply([]Entry{testEntry("a", 1), testEntry("b", 2)}), qt.HasLen, 2)
	c.Assert(table.Servers("svc"), qt.HasLen, 2)
	c.Assert(table.Apply([]Entry{testEntry("a", 1), testEntry("b", 2)}), qt.HasLen, 0)
	draining := testEntry("b", 3)
	draining.Draining = true
	changes := table.Apply([]Entry{testEntry("a", 1), draining})
	c.Assert(changes, qt.HasLen, 1)
	c.Assert(changes[0].Kind, qt.Equals, "draining")
	c.Assert(table.Servers("svc"), qt.HasLen, 1)
	now := time.Now()
	for range failureThreshold {
		onlyServer(table).Begin(ShortPrompt, now).End(ConnectionFailed, now)
	}
	c.Assert(onlyServer(table).Usable(now), qt.IsFalse)
	restarted := testEntry("a", 4)
	restarted.StartedUnixMilli = 99
	c.Assert(table.Apply([]Entry{restarted})[0].Kind, qt.Equals, "restarted")
	c.Assert(onlyServer(table).Usable(now), qt.IsTrue)
}

// An unreachable server must get one request after its backoff, and all requests
// again once that one is answered.
func TestFailedServerProbed(t *testing.T) {
	c := qt.New(t)
	table := NewTable()
	table.Apply([]Entry{testEntry("a", 1)})
	s, now := onlyServer(table), time.Now()
	s.Begin(ShortPrompt, now).End(Unreachable, now)
	c.Assert(s.Usable(now.Add(minBackoff/2)), qt.IsFalse)
	now = now.Add(minBackoff)
	c.Assert(s.Usable(now), qt.IsTrue)
	probe := s.Begin(ShortPrompt, now)
	c.Assert(s.Usable(now), qt.IsFalse)
	probe.FirstByte(now)
	probe.End(Answered, now)
	c.Assert(s.Usable(now), qt.IsTrue)
	for range 20 {
		s.Begin(ShortPrompt, now).End(Unreachable, now)
	}
	c.Assert(s.Usable(now.Add(maxBackoff)), qt.IsTrue)
}

// Where servers usually fail one request in seven (14%), only one that fails every
// second request counts as degraded, and it gets requests again after
// degradedRecheck.
func TestPartiallyFailingServerDegraded(t *testing.T) {
	c := qt.New(t)
	table := NewTable()
	a, b := testEntry("a", 1), testEntry("b", 1)
	table.Apply([]Entry{a, b})
	now := time.Now()
	simulate := func(s *Server, failEvery, n int) {
		for i := range n {
			result := Answered
			if i%failEvery == 0 {
				result = ServerError
			}
			s.Begin(ShortPrompt, now).End(result, now)
		}
	}
	healthy, faulty := table.Servers("svc")[0], table.Servers("svc")[1]
	simulate(healthy, 7, 300)
	c.Assert(healthy.Degraded(now), qt.IsFalse)
	simulate(faulty, 2, 20)
	c.Assert(faulty.Degraded(now), qt.IsTrue)
	c.Assert(healthy.Degraded(now), qt.IsFalse)
	c.Assert(faulty.Degraded(now.Add(degradedRecheck+time.Millisecond)), qt.IsFalse)
}

// A server that is slower than the others of its service counts as degraded. Long
// prompts with their later first byte must not make a server look slow.
func TestSlowServerDegraded(t *testing.T) {
	c := qt.New(t)
	table := NewTable()
	table.Apply([]Entry{testEntry("a", 1), testEntry("b", 1)})
	now := time.Now()
	simulate := func(s *Server, class PromptClass, timeToFirstByte time.Duration, n int) {
		for range n {
			a := s.Begin(class, now)
			a.FirstByte(now.Add(timeToFirstByte))
			a.End(Answered, now.Add(timeToFirstByte))
		}
	}
	healthy, slow := table.Servers("svc")[0], table.Servers("svc")[1]
	simulate(healthy, ShortPrompt, 50*time.Millisecond, 200)
	simulate(healthy, LongPrompt, 400*time.Millisecond, 50)
	c.Assert(healthy.Degraded(now), qt.IsFalse)
	simulate(slow, ShortPrompt, 400*time.Millisecond, 10)
	c.Assert(slow.Degraded(now), qt.IsTrue)
	c.Assert(healthy.InProgress(), qt.Equals, 0)
	c.Assert(slow.AwaitingFirstByte(), qt.Equals, 0)
}
