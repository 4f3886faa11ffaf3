package watchdog

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"github.com/monsoonworks/monsoonworks/internal/budget"
)

// fixture drives a watchdog with the forecasts and load that a test sets.
type fixture struct {
	*Watchdog
	forecasts []budget.Forecast
	load      Load
	now       time.Time
	log       bytes.Buffer
	registry  metrics.Registry
}

func newFixture() *fixture {
	f := &fixture{now: time.Unix(1_000_000, 0), registry: metrics.NewRegistry()}
	f.Watchdog = New(Options{
		Forecasts: func(time.Time) []budget.Forecast { return f.forecasts },
		Load:      func() Load { return f.load },
		Metrics:   f.registry, Log: slog.New(slog.NewTextHandler(&f.log, nil)),
	})
	return f
}

// advance checks every Interval for the duration d, with step before each check.
func (f *fixture) advance(d time.Duration, step func()) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(Interval)
		if step != nil {
			step()
		}
		f.Check(f.now)
	}
}

func (f *fixture) logLines() []string {
	text := strings.TrimSpace(f.log.String())
	f.log.Reset()
	if text == "" {
		return nil
	}
	return strings.Split(text, "\n")
}

// Guards against a budget that is exhausted without a warning, a log line per check
// instead of per change, and a state that flaps around its threshold.
func TestBudgetStates(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	use := func(remaining budget.Tokens) {
		f.forecasts = []budget.Forecast{{Budget: "w/main", Remaining: remaining, DemandPerSecond: 10}}
	}
	use(100_000)
	f.advance(time.Minute, nil)
	c.Assert(f.logLines(), qt.HasLen, 0)
	use(35_000) // 3,500 s
	f.advance(raiseDelay-Interval, nil)
	use(100_000) // a short peak of demand
	f.advance(time.Minute, nil)
	c.Assert(f.logLines(), qt.HasLen, 0)

	use(35_000)
	f.advance(time.Minute, nil)
	lines := f.logLines()
	c.Assert(lines, qt.HasLen, 1)
	c.Assert(lines[0], qt.Matches, `.*level=WARN msg="budget state changed" from=ok to=warning budget=w/main seconds_left=3500 .*`)
	c.Assert(f.registry.Get("monsoon.watchdog.budget_seconds_left.w/main").(metrics.Gauge).Value(), qt.Equals, int64(3500))
	below := false
	f.advance(5*time.Minute, func() { // around the threshold
		below = !below
		use(map[bool]budget.Tokens{true: 35_900, false: 36_100}[below])
	})
	c.Assert(f.logLines(), qt.HasLen, 0)

	use(500)
	f.advance(time.Minute, nil)
	c.Assert(f.logLines(), qt.HasLen, 1)
	c.Assert(f.criticalBudgets.Value(), qt.Equals, int64(1))
	f.forecasts = nil // callers wait after a refusal
	f.advance(budgetIdleTimeout/2, nil)
	c.Assert(f.logLines(), qt.HasLen, 0)
	use(1_000_000) // a top-up
	f.advance(2*lowerDelay, nil)
	c.Assert(f.logLines(), qt.HasLen, 1)
	c.Assert(f.registry.Get("monsoon.watchdog.budget_seconds_left.w/main"), qt.IsNil)
}

// Guards against an exhausted budget that counts as healthy, because its requests are
// refused and it therefore shows little demand.
func TestUnmetRequestIsCritical(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	f.forecasts = []budget.Forecast{{Budget: "w/main", Remaining: 28, DemandPerSecond: 1, Unmet: true}}
	f.advance(time.Minute, nil)
	lines := f.logLines()
	c.Assert(lines, qt.HasLen, 1)
	c.Assert(lines[0], qt.Contains, "to=critical")
	f.forecasts = nil
	f.advance(budgetIdleTimeout+Interval, nil)
	lines = f.logLines()
	c.Assert(lines, qt.HasLen, 1)
	c.Assert(lines[0], qt.Contains, "to=ok")
	c.Assert(f.budgets, qt.HasLen, 0)
}

// Guards against an overloaded router without a warning, and against a warning for a
// single refused request.
func TestLoadStates(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	f.advance(time.Minute, func() { f.load.Requests++; f.load.Refused++ }) // one caller
	c.Assert(f.logLines(), qt.HasLen, 0)
	f.advance(time.Minute, func() { f.load.Requests += 100; f.load.Refused += 3 })
	lines := f.logLines()
	c.Assert(lines, qt.HasLen, 1)
	c.Assert(lines[0], qt.Contains, "from=ok to=warning refused_share=0.03")
	f.advance(time.Minute, func() { f.load.Requests += 100; f.load.Refused += 3; f.load.Queued, f.load.Running = 60, 60 })
	c.Assert(f.logLines(), qt.HasLen, 1)
	c.Assert(f.loadState.Value(), qt.Equals, int64(Critical))
	f.load.Queued = 0
	f.advance(lowerDelay+2*Interval, func() { f.load.Requests += 100 })
	lines = f.logLines()
	c.Assert(lines, qt.HasLen, 1)
	c.Assert(lines[0], qt.Contains, "from=critical to=ok")
}
