package gateway

import (
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"

	"github.com/monsoonworks/monsoonworks/internal/admission"
)

// discardWriter is an http.ResponseWriter without a connection. It discards the body.
type discardWriter struct {
	header http.Header
	status int
}

func (w *discardWriter) Header() http.Header         { return w.header }
func (w *discardWriter) WriteHeader(status int)      { w.status = status }
func (w *discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (w *discardWriter) Flush()                      {}

// benchTokens is the number of tokens in each benchmarked stream.
const benchTokens = 256

// BenchmarkStreams runs streams through the handler without connections, so that only
// the gateway's own allocations are counted. Allocations per request are those of a
// stream of one token; allocations per token are derived from the difference to a
// longer stream.
func BenchmarkStreams(b *testing.B) {
	for _, streams := range []int{1, 64, 512} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			short := allocsPerStream(b, streams, 1)
			long := allocsPerStream(b, streams, benchTokens)
			b.ReportMetric(short, "allocs/request")
			b.ReportMetric((long-short)/(benchTokens-1), "allocs/token")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*streams*(benchTokens+1)), "ns/token")
			b.ReportMetric(0, "ns/op") // would be the time of a whole batch of streams
		})
	}
}

func allocsPerStream(b *testing.B, streams, tokens int) float64 {
	opts := testOptions(streamTokens(tokens))
	opts.Admission = admission.New(admission.Options{
		Limits:  func(string) admission.Limits { return admission.Limits{} },
		Routers: func() int { return 1 },
		Metrics: opts.Metrics,
	})
	g := New(opts)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range b.N {
		var wg sync.WaitGroup
		for range streams {
			wg.Go(func() {
				req, _ := http.NewRequest("POST", pathChat, strings.NewReader(streamBody))
				req.Header.Set("Authorization", "Bearer "+testKey)
				g.ServeHTTP(&discardWriter{header: http.Header{}}, req)
			})
		}
		wg.Wait()
	}
	runtime.ReadMemStats(&after)
	return float64(after.Mallocs-before.Mallocs) / float64(b.N*streams)
}

// BenchmarkLoopback runs streams over loopback connections. It includes the cost of
// the client.
func BenchmarkLoopback(b *testing.B) {
	for _, streams := range []int{1, 64, 512} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			_, url := serveLoopback(b, testOptions(streamTokens(benchTokens)))
			b.ReportAllocs()
			for b.Loop() {
				var wg sync.WaitGroup
				for range streams {
					wg.Go(func() { readAll(b, send(b, "POST", url+pathChat, streamBody)) })
				}
				wg.Wait()
			}
		})
	}
}
