package fleet

import (
	"math"
	"time"
)

const (
	// minStreamSamples is the number of complete streams from which the time of others is estimated.
	minStreamSamples = 10
	// streamDeviations is how many mean deviations above the mean a stream is expected to take, at most
	// 1/deviationDivisor of the mean. Where lengths vary much, most streams end far sooner than the
	// longest, and a refusal costs their callers a retry.
	streamDeviations = 2
	deviationDivisor = 4
	// maxExpectedTime limits the expected time of a stream.
	maxExpectedTime = time.Hour
)

// streamTimes holds the moving average of the time from the first byte of a stream to its end, per
// declared event, and the mean deviation from it. Streams may be much shorter than declared.
type streamTimes struct {
	samples         int
	mean, deviation float64 // in seconds
}

func (t *streamTimes) observe(perEvent time.Duration) {
	t.samples++
	weight := max(1/float64(t.samples), serviceSampleWeight)
	difference := perEvent.Seconds() - t.mean
	t.mean += difference * weight
	if t.samples > 1 {
		t.deviation += (math.Abs(difference) - t.deviation) * weight
	}
}

// expected returns the time from the first byte to the end of a stream, 0 if unknown.
func (t *streamTimes) expected(events int64) time.Duration {
	if t.samples < minStreamSamples {
		return 0
	}
	perEvent := t.mean + min(streamDeviations*t.deviation, t.mean/deviationDivisor)
	seconds := perEvent * float64(events)
	return time.Duration(min(seconds, maxExpectedTime.Seconds()) * float64(time.Second))
}

// StreamEnded records that the stream of the attempt is complete. events is the number of events
// that the request declared.
func (a *Attempt) StreamEnded(events int64, now time.Time) {
	if !a.gotFirstByte || events <= 0 {
		return
	}
	stats := a.server.stats
	stats.mu.Lock()
	defer stats.mu.Unlock()
	stats.streams.observe(now.Sub(a.started.Add(a.timeToFirstByte)) / time.Duration(events))
}

// ExpectedStreamTime returns the time within which most streams of a service with as many declared
// events end, 0 if unknown.
func (t *Table) ExpectedStreamTime(service string, class PromptClass, events int64) time.Duration {
	servers := t.Servers(service)
	if len(servers) == 0 || events <= 0 {
		return 0
	}
	stats := servers[0].stats
	stats.mu.Lock()
	defer stats.mu.Unlock()
	if rest := stats.streams.expected(events); rest > 0 {
		return stats.meanTimeToFirstByte[class] + rest
	}
	return 0
}
