package admission

import (
	"github.com/rcrowley/go-metrics"

	"github.com/monsoonworks/monsoonworks/internal/verdict"
)

const (
	// sampleSize is the number of waiting times in the sample of the histogram.
	sampleSize = 1028
	// sampleAlpha is the decay factor of the sample; 0.015 weights it towards the
	// last five minutes.
	sampleAlpha = 0.015
)

// stats are the metrics of a controller. They are safe for concurrent use.
type stats struct {
	registry   metrics.Registry
	running    metrics.Gauge
	queued     metrics.Gauge
	waitMillis metrics.Histogram
}

func newStats(r metrics.Registry) stats {
	return stats{
		registry: r,
		running:  metrics.GetOrRegisterGauge("monsoon.admission.running_requests", r),
		queued:   metrics.GetOrRegisterGauge("monsoon.admission.queued_requests", r),
		waitMillis: metrics.GetOrRegisterHistogram("monsoon.admission.wait_ms", r,
			metrics.NewExpDecaySample(sampleSize, sampleAlpha)),
	}
}

func (s *stats) countRefusal(code verdict.Code) {
	metrics.GetOrRegisterCounter("monsoon.admission.refused_requests."+string(code), s.registry).Inc(1)
}
