package overload

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Plays a burst and a lasting load on a narrow link: only the lasting one makes the
// host crowded, and it is free again only when much of the load is gone.
func TestNarrowLink(t *testing.T) {
	c := qt.New(t)
	m := NewDetector(10) // 1.25 MB/s
	play := func(megabytesPerSecond float64, intervals int) {
		for range intervals {
			m.read(interval, 0, int64(megabytesPerSecond*1e6*interval.Seconds()))
		}
	}
	play(0.3, 20)
	c.Assert(m.Overloaded(), qt.IsFalse)
	play(1.25, 2)
	c.Assert(m.Overloaded(), qt.IsFalse)
	play(1.1, 20)
	c.Assert(m.Overloaded(), qt.IsTrue)
	play(0.6, 20)
	c.Assert(m.Overloaded(), qt.IsTrue)
	play(0.2, 20)
	c.Assert(m.Overloaded(), qt.IsFalse)
}

// Guards against a host that takes callers while its timers are late.
func TestLateProcessor(t *testing.T) {
	c := qt.New(t)
	m := NewDetector(0)
	for range 20 {
		m.read(interval+100*time.Millisecond, 1<<40, 1<<40)
	}
	c.Assert(m.Overloaded(), qt.IsTrue)
	for range 20 {
		m.read(interval, 0, 0)
	}
	c.Assert(m.Overloaded(), qt.IsFalse)
}
