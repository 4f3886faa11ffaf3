package daemon

import (
	"log/slog"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/monsoonworks/monsoonworks/internal/admission"
	"github.com/monsoonworks/monsoonworks/internal/settings"
)

// retryShareFraction is the fraction of the configured retry share that gates use.
const retryShareFraction = 0.85

// retryLimits derives a gate's part of the retry limits, which are for all gates together. It is safe
// for concurrent use. The locks of the gate's retry budgets are acquired while its mutex is held.
type retryLimits struct {
	set     func(percent, minRetries int)
	started time.Time
	log     *slog.Logger
	gauge   metrics.Gauge

	mu       sync.Mutex
	settings settings.Gate
	fixed    admission.FixedRetries
	last     int // the fixed number that was set last
}

// newRetryLimits returns the limits of a process that starts now. set applies them.
func newRetryLimits(s settings.Gate, set func(percent, minRetries int), registry metrics.Registry, log *slog.Logger) *retryLimits {
	r := &retryLimits{
		set: set, started: time.Now(), log: log,
		gauge: metrics.GetOrRegisterGauge("monsoon.gate.fixed_retries", registry),
	}
	r.configure(s)
	return r
}

// configure replaces the settings.
func (r *retryLimits) configure(s settings.Gate) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settings = s
	r.apply(time.Now())
}

// reportGates notes a number of gates that a relay has counted. Each reply calls it, also if the number
// is the same, since the limit follows from the time as well.
func (r *retryLimits) reportGates(gates int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.fixed.Report(gates, now)
	r.apply(now)
}

// apply sets the limits, and logs a change of the fixed number. The caller holds r.mu.
func (r *retryLimits) apply(now time.Time) {
	domains := len(r.settings.Regions)
	fixed := r.fixed.Limit(r.settings.RetrySlack, domains, now.Sub(r.started))
	r.set(int(r.settings.RetryShare*retryShareFraction*100), fixed)
	r.gauge.Update(int64(fixed))
	if fixed != r.last {
		r.log.Info("fixed retries changed", "retries", fixed, "before", r.last, "slack", r.settings.RetrySlack,
			"domains", domains, "gates_in_domain", r.fixed.Gates(), "age_ms", now.Sub(r.started).Milliseconds())
	}
	r.last = fixed
}
