package bench

import (
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// streamTokens is the length of the answers whose latency is measured.
const streamTokens = 32

// BenchmarkAdded measures what router and agent add to the time to the first
// token and to the delivery of each token. One iteration runs the streams
// directly at the engine and then through the system, so that both see the same
// machine. The target at 64 streams is a median under 0.5 ms and a p99 under 2 ms.
//
// Times of the engine do not count: the time to the first token is that from the
// caller to the engine plus that of the first token back.
func BenchmarkAdded(b *testing.B) {
	for _, streams := range []int{1, 64, 512} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			w := newWorld(b)
			w.round(b, w.through, streams, streamTokens, nil) // opens connections and lots
			w.round(b, w.direct, streams, streamTokens, nil)
			direct, through := newSample(), newSample()
			for b.Loop() {
				w.round(b, w.direct, streams, streamTokens, direct)
				w.round(b, w.through, streams, streamTokens, through)
			}
			b.ReportMetric(0, "ns/op")
			for _, q := range []float64{50, 99} {
				report := func(name string, of func(*sample) *hdrhistogram.Histogram) {
					d, t := of(direct).ValueAtQuantile(q), of(through).ValueAtQuantile(q)
					b.ReportMetric(float64(t-d)/1000, fmt.Sprintf("added-%s-p%.0f-us", name, q))
					b.ReportMetric(float64(d)/1000, fmt.Sprintf("direct-%s-p%.0f-us", name, q))
				}
				report("first", func(s *sample) *hdrhistogram.Histogram { return s.first })
				report("token", func(s *sample) *hdrhistogram.Histogram { return s.token })
			}
		})
	}
}

// BenchmarkAllocations measures the allocations of router and agent: those of
// the whole process through the system less those of the same calls directly at
// the engine. Two lengths of answers tell what a request costs from what a token
// costs.
func BenchmarkAllocations(b *testing.B) {
	const short, long, streams = 8, 136, 16
	w := newWorld(b)
	w.round(b, w.through, streams, long, nil)
	w.round(b, w.direct, streams, long, nil)
	var shortAdded, longAdded float64
	rounds := 0
	for b.Loop() {
		rounds++
		shortAdded += w.allocations(b, w.through, streams, short) - w.allocations(b, w.direct, streams, short)
		longAdded += w.allocations(b, w.through, streams, long) - w.allocations(b, w.direct, streams, long)
	}
	perToken := (longAdded - shortAdded) / float64(rounds) / (long - short)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(perToken, "allocs/token")
	b.ReportMetric(shortAdded/float64(rounds)-short*perToken, "allocs/request")
}

// allocations returns the allocations of the process per request of a round.
func (w *world) allocations(b *testing.B, to target, streams, tokens int) float64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	w.round(b, to, streams, tokens, nil)
	runtime.ReadMemStats(&after)
	return float64(after.Mallocs-before.Mallocs) / float64(streams)
}

// sample collects times in nanoseconds.
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
