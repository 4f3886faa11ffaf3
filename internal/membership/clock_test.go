package membership

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a restarted server that stays out of use because the lifetime before was leaving and
// the gate's clock is ahead of the server's.
func TestDepartureOfLifetimeBeforeWithClockAhead(t *testing.T) {
	c := qt.New(t)
	const ahead = time.Minute // of the gate's clock
	s, restart := NewSet(), time.Now()
	started := func(at time.Time) Instance { return Instance{"a", at.Add(-ahead).UnixMilli()} }
	before := s.Member(started(restart.Add(-time.Hour)), "x", restart.Add(-time.Hour))
	before.Leave(Source{Address: "x", OpenedAt: restart.Add(-30 * time.Second)})
	after := s.Member(started(restart), "x", restart.Add(time.Second))
	c.Check(after.Accepts(restart.Add(time.Hour)), qt.IsTrue)
}
