package watchdog

import (
	"context"
	"log/slog"
	"math"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/monsoonworks/monsoonworks/internal/budget"
)

// Thresholds.
const (
	// Interval is the time between two looks.
	Interval = 5 * time.Second
	// Of a budget: the time left at the present rate.
	budgetWarning  = time.Hour
	budgetCritical = 10 * time.Minute
	// budgetIdleAfter is how long a budget must be unused until its state ends.
	budgetIdleAfter = 10 * time.Minute
	// Of a router: the share of requests refused because no server or no place in
	// a queue was free, since the last look.
	refusedWarning  = 0.01
	refusedCritical = 0.1
	// And the share of the requests in progress that wait in its queue.
	queuedWarning  = 0.1
	queuedCritical = 0.5
	// leastRequests is the number of requests below which a share says nothing.
	leastRequests = 20
	// maxBudgets bounds the budgets that are watched.
	maxBudgets = 10_000
)

// gaugePrefix is the prefix of all metrics of this package.
const gaugePrefix = "monsoon.watchdog."

// Load is how much a router has to do. Requests and Refused count since the
// start.
type Load struct {
	// Requests came in; Refused were refused because of too much load.
	Requests, Refused int64
	// Queued wait for their start; Running have started.
	Queued, Running int64
}

// Options configure a Watchdog. All are required.
type Options struct {
	// Forecasts returns the budgets in use that this router holds.
	Forecasts func(now time.Time) []budget.Forecast
	Load      func() Load
	Registry  metrics.Registry
	Log       *slog.Logger
}

// Watchdog watches budgets and load. It is used by one goroutine.
type Watchdog struct {
	o       Options
	budgets map[budget.ID]*watched
	load    alarm
	last    Load

	leastSeconds, warning, critical            metrics.Gauge
	loadState, refusedPermille, queuedPermille metrics.Gauge
}

// watched is a budget that is or was in use.
type watched struct {
	alarm
	lastUse time.Time
	// gauge exists while the state is not ok.
	gauge string
}

// New returns a watchdog. Run or Look makes it work.
func New(o Options) *Watchdog {
	gauge := func(name string) metrics.Gauge { return metrics.GetOrRegisterGauge(gaugePrefix+name, o.Registry) }
	return &Watchdog{
		o: o, budgets: map[budget.ID]*watched{},
		leastSeconds: gauge("least_budget_seconds_left"), warning: gauge("budgets_warning"), critical: gauge("budgets_critical"),
		loadState: gauge("overload_state"), refusedPermille: gauge("refused_permille"), queuedPermille: gauge("queued_permille"),
	}
}

// Run looks at an interval until ctx ends.
func (w *Watchdog) Run(ctx context.Context) {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			w.Look(now)
		}
	}
}

// Look takes the present state over.
func (w *Watchdog) Look(now time.Time) {
	w.lookAtBudgets(now)
	w.lookAtLoad(now)
}

// noLimit stands for "no budget in use" in the gauge.
const noLimit = math.MaxInt32

func (w *Watchdog) lookAtBudgets(now time.Time) {
	least := int64(noLimit)
	for _, f := range w.o.Forecasts(now) {
		b := w.budgets[f.Budget]
		if b == nil {
			if len(w.budgets) >= maxBudgets {
				continue
			}
			b = &watched{}
			w.budgets[f.Budget] = b
		}
		b.lastUse = now
		seconds := secondsLeft(f)
		least = min(least, int64(seconds))
		w.observe(now, f, b, seconds)
	}
	counts := map[State]int64{}
	for id, b := range w.budgets {
		if now.Sub(b.lastUse) >= budgetIdleAfter {
			w.forget(id, b)
			continue
		}
		counts[b.state]++
	}
	w.leastSeconds.Update(least)
	w.warning.Update(counts[Warning])
	w.critical.Update(counts[Critical])
}

// secondsLeft returns how long a budget lasts at its present rate.
func secondsLeft(f budget.Forecast) float64 {
	switch {
	case f.Unmet && float64(f.Remaining) < f.DemandPerSecond*budgetCritical.Seconds() || f.Remaining <= 0:
		return 0
	case f.DemandPerSecond <= 0:
		return noLimit
	}
	return min(float64(f.Remaining)/f.DemandPerSecond, noLimit)
}

func (w *Watchdog) observe(now time.Time, f budget.Forecast, b *watched, seconds float64) {
	from := b.state
	if b.alarm.observe(now, b.grade(seconds, budgetWarning.Seconds(), budgetCritical.Seconds())) {
		report(w.o.Log, "budget state changed", from, b.state, "budget", f.Budget, "seconds_left", int64(seconds),
			"left_tokens", f.Remaining, "demand_tokens_per_second", math.Round(f.DemandPerSecond))
	}
	if b.state == OK {
		w.dropGauge(b)
		return
	}
	b.gauge = gaugePrefix + "budget_seconds_left." + string(f.Budget)
	metrics.GetOrRegisterGauge(b.gauge, w.o.Registry).Update(int64(seconds))
}

func (w *Watchdog) dropGauge(b *watched) {
	if b.gauge != "" {
		w.o.Registry.Unregister(b.gauge)
		b.gauge = ""
	}
}

// forget ends the watch of a budget that is not used any more.
func (w *Watchdog) forget(id budget.ID, b *watched) {
	if b.state != OK {
		report(w.o.Log, "budget state changed", b.state, OK, "budget", id, "reason", "not in use")
	}
	w.dropGauge(b)
	delete(w.budgets, id)
}

func (w *Watchdog) lookAtLoad(now time.Time) {
	load := w.o.Load()
	requests, refused := load.Requests-w.last.Requests, load.Refused-w.last.Refused
	w.last = load
	refusedShare, queuedShare := share(refused, requests), share(load.Queued, load.Queued+load.Running)
	w.refusedPermille.Update(int64(1000 * refusedShare))
	w.queuedPermille.Update(int64(1000 * queuedShare))
	from := w.load.state
	seen := max(w.load.gradeShare(refusedShare, refusedWarning, refusedCritical),
		w.load.gradeShare(queuedShare, queuedWarning, queuedCritical))
	if w.load.observe(now, seen) {
		report(w.o.Log, "load state changed", from, w.load.state, "refused_share", refusedShare, "queued_share", queuedShare,
			"running_requests", load.Running, "queued_requests", load.Queued)
	}
	w.loadState.Update(int64(w.load.state))
}

// share returns part/whole, 0 if the whole is too small to say anything.
func share(part, whole int64) float64 {
	if whole < leastRequests {
		return 0
	}
	return min(1, float64(part)/float64(whole))
}
