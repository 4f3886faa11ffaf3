package bench

import (
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// streamTokens is the number of tokens of each measured stream.
const streamTokens = 32

// BenchmarkAdded measures the latency that router and agent add to the first token
// and to each token. Each iteration sends the streams directly to the engine and
// then through router and agent, so that both run under the same conditions of the
// host. The target at 64 streams is a median below 0.5 ms and a p99 below 2 ms.
//
// Time inside the engine is excluded: the latency of the first token is the time
// from the caller to the engine plus the time of the first token back.
func BenchmarkAdded(b *testing.B) {
	for _, streams := range []int{1, 64, 512} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			f := newFixture(b)
			f.runStreams(b, f.viaRouter, streams, streamTokens, nil) // opens connections and lots
			f.runStreams(b, f.direct, streams, streamTokens, nil)
			direct, viaRouter := newSample(), newSample()
			for b.Loop() {
				f.runStreams(b, f.direct, streams, streamTokens, direct)
				f.runStreams(b, f.viaRouter, streams, streamTokens, viaRouter)
			}
			b.ReportMetric(0, "ns/op")
			for _, q := range []float64{50, 99} {
				report := func(name string, histogram func(*sample) *hdrhistogram.Histogram) {
					directLatency, viaRouterLatency := histogram(direct).ValueAtQuantile(q), histogram(viaRouter).ValueAtQuantile(q)
					b.ReportMetric(float64(viaRouterLatency-directLatency)/1000, fmt.Sprintf("added-%s-p%.0f-us", name, q))
					b.ReportMetric(float64(directLatency)/1000, fmt.Sprintf("direct-%s-p%.0f-us", name, q))
				}
				report("first", func(s *sample) *hdrhistogram.Histogram { return s.first })
				report("token", func(s *sample) *hdrhistogram.Histogram { return s.token })
			}
		})
	}
}

// BenchmarkAllocations measures the allocations of router and agent: those of the
// process for calls through router and agent, minus those for the same calls
// directly to the engine. Two response lengths separate the allocations per request
// from those per token.
func BenchmarkAllocations(b *testing.B) {
	const short, long, streams = 8, 136, 16
	f := newFixture(b)
	f.runStreams(b, f.viaRouter, streams, long, nil)
	f.runStreams(b, f.direct, streams, long, nil)
	var shortAdded, longAdded float64
	rounds := 0
	for b.Loop() {
		rounds++
		shortAdded += f.allocations(b, f.viaRouter, streams, short) - f.allocations(b, f.direct, streams, short)
		longAdded += f.allocations(b, f.viaRouter, streams, long) - f.allocations(b, f.direct, streams, long)
	}
	perToken := (longAdded - shortAdded) / float64(rounds) / (long - short)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(perToken, "allocs/token")
	b.ReportMetric(shortAdded/float64(rounds)-short*perToken, "allocs/request")
}

// allocations runs streams and returns the allocations of the process per stream.
func (f *fixture) allocations(b *testing.B, to target, streams, tokens int) float64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f.runStreams(b, to, streams, tokens, nil)
	runtime.ReadMemStats(&after)
	return float64(after.Mallocs-before.Mallocs) / float64(streams)
}

// sample collects latencies in nanoseconds.
type sample struct {
	mu           sync.Mutex
	first, token *hdrhistogram.Histogram
}

func newSample() *sample {
	return &sample{
		first: hdrhistogram.New(1, int64(time.Minute), 3), token: hdrhistogram.New(1, int64(time.Minute), 3),
	}
}

func (s *sample) add(first time.Duration, tokens []time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.first.RecordValue(max(1, int64(first)))
	for _, d := range tokens {
		_ = s.token.RecordValue(max(1, int64(d)))
	}
}
