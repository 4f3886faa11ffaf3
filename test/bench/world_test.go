// Package bench measures what router and agent add to the engines' latency.
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

// stepTime makes each stream generate 40 tokens/s, a usual rate of an engine.
const stepTime = 25 * time.Millisecond

// world is a deployment of one router and one model server on loopback
// addresses, without emulated latencies.
type world struct {
	spec            testbed.Spec
	direct, through target
	client          *http.Client
	stamps          stamps
	number          atomic.Int64
}

// target is where streams are sent to.
type target struct{ url, key string }

func newWorld(b *testing.B) *world {
	c := qt.New(b)
	w := &world{
		spec:   testbed.Yukimi(),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}},
		stamps: stamps{byMarker: map[string]*stamp{}},
	}
	w.spec.Domains = []testbed.Domain{{Name: "d", Region: "r", Routers: 1, Models: 1}}
	w.spec.StoreRegion, w.spec.Slots, w.spec.TopUp = "r", 1024, 1<<40
	w.spec.Workspaces = []config.Workspace{{
		Name: "w", HomeRegion: "r", Models: []string{w.spec.Model.Name}, MaxConcurrent: 4096, RequestsPerSecond: 1e6,
	}}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	p, err := testbed.New(ctx, w.spec, testbed.Options{
		Dir: b.TempDir(), WrapEngine: w.stamps.wrap,
		Engine: engine.Config{StepBase: stepTime, StepPerSequence: time.Nanosecond, MaxRunning: 1024, KVBlocks: 1 << 20},
	})
	c.Assert(err, qt.IsNil)
	cluster := testbed.NewCluster(p, slog.New(slog.DiscardHandler))
	b.Cleanup(func() {
		w.client.CloseIdleConnections()
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		c.Check(cluster.Settle(ctx), qt.IsNil)
		c.Check(cluster.StopAll(ctx), qt.IsNil)
		p.Close()
	})
	c.Assert(cluster.StartAll(ctx), qt.IsNil)
	w.direct = target{url: p.Nodes["d-model-1"].Agent.URL}
	w.through = target{url: cluster.Routers()["d-router-1"], key: p.Keys["w"]}
	return w
}

// round runs streams at the same time, each of them once, and waits for all.
func (w *world) round(b *testing.B, to target, streams, tokens int, s *sample) {
	var all sync.WaitGroup
	errs := make(chan error, streams)
	for range streams {
		all.Go(func() {
			if err := w.stream(to, tokens, s); err != nil {
				errs <- err
			}
		})
	}
	all.Wait()
	close(errs)
	for err := range errs {
		b.Fatal(err)
	}
}

// stream runs one stream and adds its times to s, if that is not nil.
func (w *world) stream(to target, tokens int, s *sample) error {
	marker := fmt.Sprintf("b%d", w.number.Add(1))
	at := w.stamps.expect(marker, tokens)
	defer w.stamps.forget(marker)
	body := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"stream":true,"messages":[{"role":"user","content":"[[echo:%s]][[len:%d]]"}]}`,
		w.spec.Model.Name, tokens, marker, tokens)
	req, err := http.NewRequest(http.MethodPost, to.url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+to.key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Request-Id", marker)
	received := make([]time.Time, 0, tokens)
	sent := time.Now()
	resp, err := w.client.Do(req)
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
		s.add(at.times(sent, received))
	}
	return nil
}

// stamps notes when the engine received each request and wrote each token.
type stamps struct {
	mu       sync.Mutex
	byMarker map[string]*stamp
}

// stamp belongs to one request. The engine's handler writes it before the caller
// can read the token that it belongs to.
type stamp struct {
	mu      sync.Mutex
	arrived time.Time
	written []time.Time
}

func (s *stamps) expect(marker string, tokens int) *stamp {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byMarker[marker] = &stamp{written: make([]time.Time, 0, tokens+1)}
	return s.byMarker[marker]
}

func (s *stamps) forget(marker string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byMarker, marker)
}

// wrap notes the times of an engine's requests.
func (s *stamps) wrap(h http.Handler) http.Handler {
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
		s.mu.Lock()
		at := s.byMarker[marker]
		s.mu.Unlock()
		r.Body = io.NopCloser(bytes.NewReader(body))
		if at != nil {
			at.arrived = arrived
			w = &stampWriter{ResponseWriter: w, at: at}
		}
		h.ServeHTTP(w, r)
	})
}

// stampWriter notes the time of each event, which the engine writes at once.
type stampWriter struct {
	http.ResponseWriter
	at *stamp
}

func (w *stampWriter) Write(p []byte) (int, error) {
	w.at.mu.Lock()
	w.at.written = append(w.at.written, time.Now())
	w.at.mu.Unlock()
	return w.ResponseWriter.Write(p)
}

// Unwrap lets the engine flush.
func (w *stampWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// times returns the time to the first token without the engine's part, and the
// time of each token from the engine to the caller.
func (s *stamp) times(sent time.Time, received []time.Time) (first time.Duration, tokens []time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, at := range received {
		tokens = append(tokens, at.Sub(s.written[i]))
	}
	return s.arrived.Sub(sent) + tokens[0], tokens
}
