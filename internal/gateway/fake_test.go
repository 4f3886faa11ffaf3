package gateway

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"github.com/monsoonworks/monsoonworks/internal/admission"
	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/dispatch"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

const (
	testKey  = "mw_yukimi_main_s3cret"
	otherKey = "mw_armor_main_0ther"
	chatBody = `{"model":"small","max_tokens":16,"messages":[{"role":"user","content":"hello"}]}`
)

// fakeDirectory has the workspace "yukimi", which may call the model "small" and the
// service "orders", and the workspace "armor", which may call neither.
type fakeDirectory struct{ notReady bool }

func (fakeDirectory) Workspace(name string) (Workspace, bool) {
	switch name {
	case "yukimi":
		return Workspace{Name: name, HomeRegion: "doo-central", Models: []string{"small"}, Services: []string{"orders"}}, true
	case "armor":
		return Workspace{Name: name, HomeRegion: "finistere"}, true
	}
	return Workspace{}, false
}

func (fakeDirectory) Model(name string) (Model, bool) {
	m := Model{Name: name, PromptTokensPerByte: 0.5, MessageOverheadTokens: 8, MaxOutputTokens: 4096, Deadline: time.Minute}
	return m, name == "small"
}

func (fakeDirectory) Service(name string) (Service, bool) {
	s := Service{Name: name, Price: 40, IdempotentMethods: []string{"GET", "HEAD"}, Deadline: time.Minute, MaxBodyBytes: 1 << 10}
	return s, name == "orders"
}

func (d fakeDirectory) Ready() bool { return !d.notReady }

// fakeKeySource has two budgets, each with both test keys, and counts the lookups. The keys
// of a third budget are unreachable.
type fakeKeySource struct{ lookups atomic.Int32 }

func (k *fakeKeySource) KeyHashes(_ context.Context, id budget.ID) ([][]byte, error) {
	k.lookups.Add(1)
	switch id {
	case "yukimi/main", "armor/main":
		first, second := sha256.Sum256([]byte(testKey)), sha256.Sum256([]byte(otherKey))
		return [][]byte{first[:], second[:]}, nil
	case "yukimi/far":
		return nil, verdict.New(verdict.Unknown, verdict.CodeBudgetUnreachable, "no holder").WithRetryAfter(1500 * time.Millisecond)
	}
	return nil, verdict.New(verdict.NotRun, verdict.CodeNotFound, "no such budget")
}

// dispatchFunc is a function that implements Dispatcher.
type dispatchFunc func(context.Context, *dispatch.Call, dispatch.Sink) dispatch.Outcome

func (f dispatchFunc) Do(ctx context.Context, c *dispatch.Call, s dispatch.Sink) dispatch.Outcome {
	return f(ctx, c, s)
}

// switchableDispatcher runs a dispatchFunc that a test can replace between requests.
type switchableDispatcher struct{ atomic.Pointer[dispatchFunc] }

func (s *switchableDispatcher) set(f dispatchFunc) { s.Store(&f) }

func (s *switchableDispatcher) run(ctx context.Context, c *dispatch.Call, sink dispatch.Sink) dispatch.Outcome {
	return (*s.Load())(ctx, c, sink)
}

type admitAll struct{}

func (admitAll) Acquire(context.Context, admission.Request) (func(), error) { return func() {}, nil }

var ranOutcome = dispatch.Outcome{Verdict: verdict.Ran}

func failed(v verdict.Verdict, code verdict.Code, detail string) dispatch.Outcome {
	return dispatch.Outcome{Verdict: v, Err: verdict.New(v, code, "%s", detail)}
}

func testOptions(do dispatchFunc) Options {
	return Options{
		Directory: fakeDirectory{}, Keys: &fakeKeySource{}, Dispatcher: do, Admission: admitAll{},
		Metrics: metrics.NewRegistry(), Logger: slog.New(slog.DiscardHandler),
	}
}

// serveLoopback serves a gateway on a loopback port until the end of the test.
func serveLoopback(t testing.TB, opts Options) (g *Gateway, url string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	g = New(opts)
	served := make(chan error, 1)
	go func() { served <- g.Serve(ln) }()
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		_ = g.server.Close()
		qt.Check(t, <-served, qt.IsNil)
	})
	return g, "http://" + ln.Addr().String()
}

// send sends a request with the test key. fields are "Name: value" lines; an Authorization
// field replaces the test key.
func send(t testing.TB, method, url, body string, fields ...string) *http.Response {
	resp, err := sendContext(t.Context(), method, url, body, fields...)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

func sendContext(ctx context.Context, method, url, body string, fields ...string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	for _, field := range fields {
		name, value, _ := strings.Cut(field, ": ")
		if req.Header.Add(name, value); name == "Authorization" {
			req.Header.Set(name, value)
		}
	}
	return http.DefaultClient.Do(req)
}

func readAll(t testing.TB, resp *http.Response) string {
	raw, err := io.ReadAll(resp.Body)
	qt.Assert(t, err, qt.IsNil)
	return string(raw)
}

func chunk(i int) []byte {
	return fmt.Appendf(nil, "id: %d\ndata: {\"id\":\"c\",\"object\":\"chat.completion.chunk\",\"created\":1,\"model\":\"small\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"t%d \"}}]}\n\n", i, i)
}

var done = []byte("data: [DONE]\n\n")

var eventStreamHead = []wire.Header{{Name: "Content-Type", Value: "text/event-stream"}}

// streamTokens returns a dispatchFunc that sends n events and the [DONE] event.
func streamTokens(n int) dispatchFunc {
	frames := make([][]byte, n)
	for i := range frames {
		frames[i] = chunk(i)
	}
	return func(_ context.Context, _ *dispatch.Call, s dispatch.Sink) dispatch.Outcome {
		_ = s.Head(200, eventStreamHead)
		for _, frame := range frames {
			_ = s.Data(1, frame)
		}
		_ = s.Data(0, done)
		return ranOutcome
	}
}
