package overload

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Only sustained load on the link makes the host overloaded, not a burst. The host
// recovers only when the load has dropped well below the limit.
func TestLinkUsageHysteresis(t *testing.T) {
	c := qt.New(t)
	d := NewDetector(10) // 1.25 MB/s
	simulate := func(megabytesPerSecond float64, intervals int) {
		for range intervals {
			d.sample(sampleInterval, 0, int64(megabytesPerSecond*1e6*sampleInterval.Seconds()))
		}
	}
	simulate(0.3, 20)
	c.Assert(d.Overloaded(), qt.IsFalse)
	simulate(1.25, 2)
	c.Assert(d.Overloaded(), qt.IsFalse)
	simulate(1.1, 20)
	c.Assert(d.Overloaded(), qt.IsTrue)
	simulate(0.6, 20)
	c.Assert(d.Overloaded(), qt.IsTrue)
	simulate(0.2, 20)
	c.Assert(d.Overloaded(), qt.IsFalse)
}

// A host whose timers fire late must become overloaded, and recover afterwards.
func TestSchedulingDelay(t *testing.T) {
	c := qt.New(t)
	d := NewDetector(0)
	for range 20 {
		d.sample(sampleInterval+100*time.Millisecond, 1<<40, 1<<40)
	}
	c.Assert(d.Overloaded(), qt.IsTrue)
	for range 20 {
		d.sample(sampleInterval, 0, 0)
	}
	c.Assert(d.Overloaded(), qt.IsFalse)
}
