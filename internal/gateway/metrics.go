package gateway

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/monsoonworks/monsoonworks/internal/verdict"
)

const (
	// sampleSize is the reservoir size of a histogram: for a normal distribution,
	// 1028 values give a 5% margin of error at a confidence level of 99.9%.
	sampleSize = 1028
	// sampleAlpha is the decay factor of a histogram: 0.015 weights the samples
	// towards the last five minutes.
	sampleAlpha = 0.015
)

// stats are the gateway's metrics. They are safe for concurrent use.
type stats struct {
	registry        metrics.Registry
	requests        metrics.Counter
	brokenResponses metrics.Counter // responses that failed after a part was sent
	inProgress      metrics.Gauge
	firstByte       metrics.Histogram // time until the response head is sent, in microseconds
	duration        metrics.Histogram // of dispatched calls with their wait for admission, in microseconds
}

func newStats(r metrics.Registry) stats {
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram(name, r, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}
	return stats{
		registry:        r,
		requests:        metrics.GetOrRegisterCounter("monsoon.gateway.requests", r),
		brokenResponses: metrics.GetOrRegisterCounter("monsoon.gateway.broken_answers", r),
		inProgress:      metrics.GetOrRegisterGauge("monsoon.gateway.calls_in_progress", r),
		firstByte:       histogram("monsoon.gateway.first_byte_us"),
		duration:        histogram("monsoon.gateway.call_us"),
	}
}

// countError counts an error response by its code.
func (s *stats) countError(code verdict.Code) {
	metrics.GetOrRegisterCounter("monsoon.gateway.errors."+string(code), s.registry).Inc(1)
}

func (s *stats) observe(h metrics.Histogram, d time.Duration) { h.Update(d.Microseconds()) }
