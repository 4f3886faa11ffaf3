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

// scene drives a watchdog with values of the test.
type scene struct {
	*Watchdog
	forecasts []budget.Forecast
	load      Load
	now       time.Time
	log       bytes.Buffer
	registry  metrics.Registry
}

func newScene() *scene {
	s := &scene{now: time.Unix(1_000_000, 0), registry: metrics.NewRegistry()}
	s.Watchdog = New(Options{
		Forecasts: func(time.Time) []budget.Forecast { return s.forecasts },
		Load:      func() Load { return s.load },
		Registry:  s.registry, Log: slog.New(slog.NewTextHandler(&s.log, nil)),
	})
	return s
}

// pass looks for a time at the usual interval, with step before each look.
func (s *scene) pass(d time.Duration, step func()) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(Interval)
		if step != nil {
			step()
		}
		s.Look(s.now)
	}
}

func (s *scene) lines() []string {
	text := strings.TrimSpace(s.log.String())
	s.log.Reset()
	if text == "" {
		return nil
	}
	return strings.Split(text, "\n")
}

// Guards against a budget that runs dry without a warning, a line per look
// instead of per change, and a state that flaps around its threshold.
func TestBudgetStates(t *testing.T) {
	c := qt.New(t)
	s := newScene()
	use := func(left budget.Tokens) {
		s.forecasts = []budget.Forecast{{Budget: "w/main", Remaining: left, DemandPerSecond: 10}}
	}
	use(100_000)
	s.pass(time.Minute, nil)
	c.Assert(s.lines(), qt.HasLen, 0)
	use(35_000) // 3,500 s
	s.pass(raiseAfter-Interval, nil)
	use(100_000) // a short peak of demand
	s.pass(time.Minute, nil)
	c.Assert(s.lines(), qt.HasLen, 0)

	use(35_000)
	s.pass(time.Minute, nil)
	lines := s.lines()
	c.Assert(lines, qt.HasLen, 1)
	c.Assert(lines[0], qt.Matches, `.*level=WARN msg="budget state changed" from=ok to=warning budget=w/main seconds_left=3500 .*`)
	c.Assert(s.registry.Get("monsoon.watchdog.budget_seconds_left.w/main").(metrics.Gauge).Value(), qt.Equals, int64(3500))
	side := false
	s.pass(5*time.Minute, func() { // around the threshold
		side = !side
		use(map[bool]budget.Tokens{true: 35_900, false: 36_100}[side])
	})
	c.Assert(s.lines(), qt.HasLen, 0)

	use(500)
	s.pass(time.Minute, nil)
	c.Assert(s.lines(), qt.HasLen, 1)
	c.Assert(s.critical.Value(), qt.Equals, int64(1))
	s.forecasts = nil // refused callers wait
	s.pass(budgetIdleAfter/2, nil)
	c.Assert(s.lines(), qt.HasLen, 0)
	use(1_000_000) // a top-up
	s.pass(2*lowerAfter, nil)
	c.Assert(s.lines(), qt.HasLen, 1)
	c.Assert(s.registry.Get("monsoon.watchdog.budget_seconds_left.w/main"), qt.IsNil)
}

// Guards against a dry budget that shows no demand and counts as well.
func TestUnmetWishIsCritical(t *testing.T) {
	c := qt.New(t)
	s := newScene()
	s.forecasts = []budget.Forecast{{Budget: "w/main", Remaining: 28, DemandPerSecond: 1, Unmet: true}}
	s.pass(time.Minute, nil)
	lines := s.lines()
	c.Assert(lines, qt.HasLen, 1)
	c.Assert(lines[0], qt.Contains, "to=critical")
	s.forecasts = nil
	s.pass(budgetIdleAfter+Interval, nil)
	lines = s.lines()
	c.Assert(lines, qt.HasLen, 1)
	c.Assert(lines[0], qt.Contains, "to=ok")
	c.Assert(s.budgets, qt.HasLen, 0)
}

// Guards against an overloaded router without a warning, and a warning for a
// single refused request.
func TestLoadStates(t *testing.T) {
	c := qt.New(t)
	s := newScene()
	s.pass(time.Minute, func() { s.load.Requests++; s.load.Refused++ }) // one caller
	c.Assert(s.lines(), qt.HasLen, 0)
	s.pass(time.Minute, func() { s.load.Requests += 100; s.load.Refused += 3 })
	lines := s.lines()
	c.Assert(lines, qt.HasLen, 1)
	c.Assert(lines[0], qt.Contains, "from=ok to=warning refused_share=0.03")
	s.pass(time.Minute, func() { s.load.Requests += 100; s.load.Refused += 3; s.load.Queued, s.load.Running = 60, 60 })
	c.Assert(s.lines(), qt.HasLen, 1)
	c.Assert(s.loadState.Value(), qt.Equals, int64(Critical))
	s.load.Queued = 0
	s.pass(lowerAfter+2*Interval, func() { s.load.Requests += 100 })
	lines = s.lines()
	c.Assert(lines, qt.HasLen, 1)
	c.Assert(lines[0], qt.Contains, "from=critical to=ok")
}
