package watchdog

import (
	"context"
	"log/slog"
	"math"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/monsoonworks/monsoonworks/internal/budget"
)

const (
	// Interval is the time between two checks.
	Interval = 5 * time.Second
	// budgetWarningTime is the remaining time, at the current rate of use, below which
	// a budget is in the state Warning.
	budgetWarningTime = time.Hour
	// budgetCriticalTime is the remaining time, at the current rate of use, below which
	// a budget is in the state Critical.
	budgetCriticalTime = 10 * time.Minute
	// budgetIdleTimeout is how long a budget must be unused until its alarm ends.
	budgetIdleTimeout = 10 * time.Minute
	// refusedWarningShare is the threshold of the state Warning for the share of
	// requests since the last check that were refused because of overload, for example
	// because no server or no place in a queue was free.
	refusedWarningShare = 0.01
	// refusedCriticalShare is the threshold of the state Critical for the same share.
	refusedCriticalShare = 0.1
	// queuedWarningShare is the threshold of the state Warning for the share of
	// requests in progress that wait in the router's queue.
	queuedWarningShare = 0.1
	// queuedCriticalShare is the threshold of the state Critical for the same share.
	queuedCriticalShare = 0.5
	// minRequests is the number of requests below which a share is not significant.
	minRequests = 20
	// maxBudgets is the maximum number of watched budgets. Further ones raise no alarm.
	maxBudgets = 10_000
)

// gaugePrefix is the prefix of the names of all metrics of this package.
const gaugePrefix = "monsoon.watchdog."

// Load is the load of a router. Requests and Refused count since the start of the
// process.
type Load struct {
	// Requests were received; Refused were refused because of overload.
	Requests, Refused int64
	// Queued requests wait to be started; Running have been started.
	Queued, Running int64
}

// Options configure a Watchdog. All are required.
type Options struct {
	// Forecasts returns the forecasts of the budgets in use whose holder this router
	// is.
	Forecasts func(now time.Time) []budget.Forecast
	Load      func() Load
	Metrics   metrics.Registry
	Log       *slog.Logger
}

// Watchdog checks budgets and load. It is not safe for concurrent use.
type Watchdog struct {
	opts         Options
	budgets      map[budget.ID]*budgetAlarm
	load         alarm
	previousLoad Load

	lowestSeconds, warningBudgets, criticalBudgets metrics.Gauge
	loadState, refusedPermille, queuedPermille     metrics.Gauge
}

// budgetAlarm is the alarm of a budget that is in use, or was in use less than
// budgetIdleTimeout ago.
type budgetAlarm struct {
	alarm
	lastUse time.Time
	// gaugeName is the name of the budget's gauge, empty while the state is OK.
	gaugeName string
}

// New returns a watchdog. It checks only in Run or Check.
func New(opts Options) *Watchdog {
	gauge := func(name string) metrics.Gauge { return metrics.GetOrRegisterGauge(gaugePrefix+name, opts.Metrics) }
	return &Watchdog{
		opts: opts, budgets: map[budget.ID]*budgetAlarm{},
		lowestSeconds: gauge("least_budget_seconds_left"), warningBudgets: gauge("budgets_warning"), criticalBudgets: gauge("budgets_critical"),
		loadState: gauge("overload_state"), refusedPermille: gauge("refused_permille"), queuedPermille: gauge("queued_permille"),
	}
}

// Run checks every Interval until ctx ends.
func (w *Watchdog) Run(ctx context.Context) {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			w.Check(now)
		}
	}
}

// Check reads the forecasts and the load, and updates states and gauges.
func (w *Watchdog) Check(now time.Time) {
	w.checkBudgets(now)
	w.checkLoad(now)
}

// maxSecondsRemaining is the maximum remaining time, in seconds. It is also the value
// of lowestSeconds if no budget is in use.
const maxSecondsRemaining = math.MaxInt32

func (w *Watchdog) checkBudgets(now time.Time) {
	lowest := int64(maxSecondsRemaining)
	for _, f := range w.opts.Forecasts(now) {
		b := w.budgets[f.Budget]
		if b == nil {
			if len(w.budgets) >= maxBudgets {
				continue
			}
			b = &budgetAlarm{}
			w.budgets[f.Budget] = b
		}
		b.lastUse = now
		seconds := secondsRemaining(f)
		lowest = min(lowest, int64(seconds))
		w.observeBudget(now, f, b, seconds)
	}
	counts := map[State]int64{}
	for id, b := range w.budgets {
		if now.Sub(b.lastUse) >= budgetIdleTimeout {
			w.removeIdle(id, b)
			continue
		}
		counts[b.state]++
	}
	w.lowestSeconds.Update(lowest)
	w.warningBudgets.Update(counts[Warning])
	w.criticalBudgets.Update(counts[Critical])
}

// secondsRemaining returns how long a budget lasts at its current rate of use. It returns
// 0 if nothing remains, or if the budget lasts less than budgetCriticalTime and a recent
// request could not be met.
func secondsRemaining(f budget.Forecast) float64 {
	switch {
	case f.Unmet && float64(f.Remaining) < f.DemandPerSecond*budgetCriticalTime.Seconds() || f.Remaining <= 0:
		return 0
	case f.DemandPerSecond <= 0:
		return maxSecondsRemaining
	}
	return min(float64(f.Remaining)/f.DemandPerSecond, maxSecondsRemaining)
}

func (w *Watchdog) observeBudget(now time.Time, f budget.Forecast, b *budgetAlarm, seconds float64) {
	from := b.state
	if b.alarm.observe(now, b.stateIfLow(seconds, budgetWarningTime.Seconds(), budgetCriticalTime.Seconds())) {
		logTransition(w.opts.Log, "budget state changed", from, b.state, "budget", f.Budget, "seconds_left", int64(seconds),
			"left_tokens", f.Remaining, "demand_tokens_per_second", math.Round(f.DemandPerSecond))
	}
	if b.state == OK {
		w.unregisterGauge(b)
		return
	}
	b.gaugeName = gaugePrefix + "budget_seconds_left." + string(f.Budget)
	metrics.GetOrRegisterGauge(b.gaugeName, w.opts.Metrics).Update(int64(seconds))
}

func (w *Watchdog) unregisterGauge(b *budgetAlarm) {
	if b.gaugeName != "" {
		w.opts.Metrics.Unregister(b.gaugeName)
		b.gaugeName = ""
	}
}

// removeIdle ends the alarm of a budget that is no longer in use.
func (w *Watchdog) removeIdle(id budget.ID, b *budgetAlarm) {
	if b.state != OK {
		logTransition(w.opts.Log, "budget state changed", b.state, OK, "budget", id, "reason", "not in use")
	}
	w.unregisterGauge(b)
	delete(w.budgets, id)
}

func (w *Watchdog) checkLoad(now time.Time) {
	load := w.opts.Load()
	requests, refused := load.Requests-w.previousLoad.Requests, load.Refused-w.previousLoad.Refused
	w.previousLoad = load
	refusedShare, queuedShare := share(refused, requests), share(load.Queued, load.Queued+load.Running)
	w.refusedPermille.Update(int64(1000 * refusedShare))
	w.queuedPermille.Update(int64(1000 * queuedShare))
	from := w.load.state
	observed := max(w.load.stateIfHigh(refusedShare, refusedWarningShare, refusedCriticalShare),
		w.load.stateIfHigh(queuedShare, queuedWarningShare, queuedCriticalShare))
	if w.load.observe(now, observed) {
		logTransition(w.opts.Log, "load state changed", from, w.load.state, "refused_share", refusedShare, "queued_share", queuedShare,
			"running_requests", load.Running, "queued_requests", load.Queued)
	}
	w.loadState.Update(int64(w.load.state))
}

// share returns part/whole, 0 if whole is below minRequests.
func share(part, whole int64) float64 {
	if whole < minRequests {
		return 0
	}
	return min(1, float64(part)/float64(whole))
}
