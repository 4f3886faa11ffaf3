// Package bench measures the latency and the allocations that router and agent add
// to those of the engine.
package bench

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonworks/monsoonworks/devel/standin/engine"
	"github.com/monsoonworks/monsoonworks/devel/testbed"
	"github.com/monsoonworks/monsoonworks/internal/config"
)

// stepTime is the time per token of each stream; 40 tokens/s is a usual rate of an
// engine.
const stepTime = 25 * time.Millisecond

// fixture is a deployment of one router and one model engine with its agent on loopback
// addresses, without emulated latencies.
type fixture struct {
	spec              testbed.Spec
	direct, viaRouter target
	client            *http.Client
	recorder          recorder
	nextMarker        atomic.Int64
}

// target is the base URL and API key that streams are sent with. Without a key they
// go directly to the engine.
type target struct{ url, key string }

func newFixture(b *testing.B) *fixture {
	c := qt.New(b)
	f := &fixture{
		spec:     testbed.Yukimi(),
		client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}},
		recorder: recorder{byMarker: map[string]*requestTimes{}},
	}
	f.spec.Domains = []testbed.Domain{{Name: "d", Region: "r", Routers: 1, Models: 1}}
	f.spec.StoreRegion, f.spec.Slots, f.spec.TopUp = "r", 1024, 1<<40
	f.spec.Workspaces = []config.Workspace{{
		Name: "w", HomeRegion: "r", Models: []string{f.spec.Model.Name}, MaxConcurrent: 4096, RequestsPerSecond: 1e6,
	}}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	p, err := testbed.New(ctx, f.spec, testbed.Options{
		Dir: b.TempDir(), WrapEngine: f.recorder.wrap,
		Engine: engine.Config{StepBase: stepTime, StepPerSequence: time.Nanosecond, MaxRunning: 1024, KVBlocks: 1 << 20},
	})
	c.Assert(err, qt.IsNil)
	cluster := testbed.NewCluster(p, slog.New(slog.DiscardHandler))
	b.Cleanup(func() {
		f.client.CloseIdleConnections()
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		c.Check(cluster.FlushBills(ctx), qt.IsNil)
		c.Check(cluster.StopAll(ctx), qt.IsNil)
		p.Close()
	})
	c.Assert(cluster.StartAll(ctx), qt.IsNil)
	f.direct = target{url: p.ProcessSettings["d-model-1"].Agent.URL}
	f.viaRouter = target{url: cluster.Routers()["d-router-1"], key: p.Keys["w"]}
	return f
}

// runStreams runs concurrent streams, waits for all and fails the benchmark if one
// fails.
func (f *fixture) runStreams(b *testing.B, to target, streams, tokens int, s *sample) {
	var wg sync.WaitGroup
	errs := make(chan error, streams)
	for range streams {
		wg.Go(func() {
			if err := f.stream(to, tokens, s); err != nil {
				errs <- err
			}
		})
	}
	wg.Wait()
	close(errs)
	for err := range errs {
		b.Fatal(err)
	}
}

// stream runs one stream and adds its latencies to s, unless s is nil.
func (f *fixture) stream(to target, tokens int, s *sample) error {
	marker := fmt.Sprintf("b%d", f.nextMarker.Add(1))
	rt := f.recorder.register(marker, tokens)
	defer f.recorder.remove(marker)
	body := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"stream":true,"messages":[{"role":"user","content":"[[echo:%s]][[len:%d]]"}]}`,
		f.spec.Model.Name, tokens, marker, tokens)
	req, err := http.NewRequest(http.MethodPost, to.url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+to.key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Request-Id", marker)
	received := make([]time.Time, 0, tokens)
	sent := time.Now()
	resp, err := f.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		if bytes.Contains(scanner.Bytes(), []byte(`"content":"`)) {
			received = append(received, time.Now())
		}
	}
	if len(received) != tokens {
		return fmt.Errorf("status %d, %d tokens of %d: %v", resp.StatusCode, len(received), tokens, scanner.Err())
	}
	if s != nil {
		s.add(rt.times(sent, received))
	}
	return nil
}

// recorder records when the engine received each request and wrote each token.
// Requests are identified by a marker in the prompt.
type recorder struct {
	mu       sync.Mutex
	byMarker map[string]*requestTimes
}

// requestTimes holds the times of one request. The engine's handler records a time
// before the caller can read the token.
type requestTimes struct {
	mu      sync.Mutex
	arrived time.Time
	written []time.Time
}

func (rec *recorder) register(marker string, tokens int) *requestTimes {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.byMarker[marker] = &requestTimes{written: make([]time.Time, 0, tokens+1)}
	return rec.byMarker[marker]
}

func (rec *recorder) remove(marker string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	delete(rec.byMarker, marker)
}

// wrap returns a handler that records the times of an engine's requests.
func (rec *recorder) wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			h.ServeHTTP(w, r)
			return
		}
		arrived := time.Now()
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		_, rest, _ := strings.Cut(string(body), engine.EchoOpen)
		marker, _, _ := strings.Cut(rest, "]]")
		rec.mu.Lock()
		rt := rec.byMarker[marker]
		rec.mu.Unlock()
		r.Body = io.NopCloser(bytes.NewReader(body))
		if rt != nil {
			rt.arrived = arrived
			w = &timingWriter{ResponseWriter: w, times: rt}
		}
		h.ServeHTTP(w, r)
	})
}

// timingWriter records the time of each Write. The engine writes each event with
// one call.
type timingWriter struct {
	http.ResponseWriter
	times *requestTimes
}

func (w *timingWriter) Write(p []byte) (int, error) {
	w.times.mu.Lock()
	w.times.written = append(w.times.written, time.Now())
	w.times.mu.Unlock()
	return w.ResponseWriter.Write(p)
}

// Unwrap gives http.ResponseController access to the writer that can flush.
func (w *timingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// times returns the time to the first token excluding the engine's time, and the
// time of each token from the engine to the caller.
func (rt *requestTimes) times(sent time.Time, received []time.Time) (first time.Duration, tokens []time.Duration) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	for i, at := range received {
		tokens = append(tokens, at.Sub(rt.written[i]))
	}
	return rt.arrived.Sub(sent) + tokens[0], tokens
}
