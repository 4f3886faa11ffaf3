package daemon

import (
	"github.com/rcrowley/go-metrics"

	"github.com/monsoonworks/monsoonworks/internal/verdict"
	"github.com/monsoonworks/monsoonworks/internal/watchdog"
)

// overloadCodes are the refusals that the watchdog counts as overload. Refusals because of
// a workspace's own limits are not among them.
var overloadCodes = []verdict.Code{verdict.CodeOverloaded, verdict.CodeNoServer}

// newWatchdog returns the watchdog of the router's budgets and load. It reads the load from
// the metrics of gateway and admission.
func (r *Router) newWatchdog(c *routerComponents) *watchdog.Watchdog {
	counter := func(name string) int64 { return metrics.GetOrRegisterCounter(name, r.registry).Count() }
	gauge := func(name string) int64 { return metrics.GetOrRegisterGauge(name, r.registry).Value() }
	return watchdog.New(watchdog.Options{
		Forecasts: c.manager.Forecasts, Metrics: r.registry, Log: r.log,
		Load: func() watchdog.Load {
			load := watchdog.Load{
				Requests: counter("monsoon.gateway.requests"),
				Queued:   gauge("monsoon.admission.queued_requests"),
				Running:  gauge("monsoon.admission.running_requests"),
			}
			for _, code := range overloadCodes {
				load.Refused += counter("monsoon.gateway.errors." + string(code))
			}
			return load
		},
	})
}
