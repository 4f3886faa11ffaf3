package gate

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/monsoonworks/monsoonworks/internal/verdict"
)

// Size and decay of the samples of times, see go-metrics.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// stats are the metrics of a gate. All are safe for concurrent use.
type stats struct {
	registry  metrics.Registry
	requests  metrics.Counter
	attempts  metrics.Counter
	retries   metrics.Counter
	noRetry   metrics.Counter
	foreign   metrics.Counter
	resumed   metrics.Counter
	broken    metrics.Counter
	left      metrics.Counter
	events    metrics.Counter
	firstByte metrics.Timer
	duration  metrics.Timer
}

func newStats(r metrics.Registry) stats {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("monsoon.gate."+name, r) }
	timer := func(name string) metrics.Timer {
		t := metrics.NewCustomTimer(metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha)), metrics.NewMeter())
		if err := r.Register("monsoon.gate."+name, t); err != nil {
			t.Stop()
			return metrics.GetOrRegisterTimer("monsoon.gate."+name, r)
		}
		return t
	}
	return stats{
		registry: r, requests: counter("requests"), attempts: counter("attempts"), retries: counter("retries"),
		noRetry: counter("retries_denied"), foreign: counter("foreign_answers"), resumed: counter("streams_resumed"),
		broken: counter("streams_broken"), left: counter("callers_left"), events: counter("events"),
		firstByte: timer("first_byte_seconds"), duration: timer("request_seconds"),
	}
}

func (s *stats) refused(code verdict.Code) {
	metrics.GetOrRegisterCounter("monsoon.gate.refused."+string(code), s.registry).Inc(1)
}

func (s *stats) ended(started time.Time) { s.duration.UpdateSince(started) }
