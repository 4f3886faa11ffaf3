package gate

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/monsoonworks/monsoonworks/internal/verdict"
)

// Reservoir size and decay of the timers' samples; see metrics.NewExpDecaySample.
// These are the defaults of metrics.NewTimer.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// stats holds the metrics of a gate. It is safe for concurrent use.
type stats struct {
	registry            metrics.Registry
	requests            metrics.Counter
	attempts            metrics.Counter
	retries             metrics.Counter
	retriesDenied       metrics.Counter
	mismatchedResponses metrics.Counter
	streamsResumed      metrics.Counter
	streamsBroken       metrics.Counter
	continued           metrics.Counter
	serverCrashes       metrics.Counter
	callersDisconnected metrics.Counter
	drainCuts           metrics.Counter // requests cut off at the end of a drain
	connLimitWaits      metrics.Counter // times that the limit of callers' connections was found reached
	acceptFailures      metrics.Counter
	unbuffered          metrics.Counter // responses relayed as they arrived for lack of memory
	events              metrics.Counter
	firstByte           metrics.Timer
	duration            metrics.Timer
	membership          membershipStats
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
		retriesDenied: counter("retries_denied"), mismatchedResponses: counter("foreign_answers"), streamsResumed: counter("streams_resumed"),
		streamsBroken: counter("streams_broken"), continued: counter("responses_continued"), serverCrashes: counter("server_crashes"), callersDisconnected: counter("callers_left"), drainCuts: counter("drain_cuts"), events: counter("events"),
		connLimitWaits: counter("connection_limit_waits"), acceptFailures: counter("accept_failures"), unbuffered: counter("responses_unbuffered"),
		firstByte: timer("first_byte_seconds"), duration: timer("request_seconds"), membership: newMembershipStats(r),
	}
}

func (s *stats) countRefusal(code verdict.Code) {
	metrics.GetOrRegisterCounter("monsoon.gate.refused."+string(code), s.registry).Inc(1)
}

func (s *stats) observeDuration(started time.Time) { s.duration.UpdateSince(started) }
