package loadgen

import (
	"context"
	"errors"
	"io"
	"net/http"
	"reflect"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonworks/monsoonworks/devel/history"
	"github.com/monsoonworks/monsoonworks/devel/standin/engine"
)

func plan(mix Mix) Plan {
	return Plan{Seed: 7, Rate: 100, Duration: 10 * time.Second, Mix: mix, Workspaces: []string{"w0", "w1", "w2", "w3"}}
}

var targets = Targets{Model: "m", Service: "s", PromptTokensPerByte: 0.5, MessageOverheadTokens: 8, ServicePrice: 10}

// Guards against load tests that are not reproducible: the same seed must give the same
// schedule and requests, and another seed a different schedule.
func TestScheduleIsFixedBySeed(t *testing.T) {
	c := qt.New(t)
	for _, mix := range []Mix{YukimiMix(), ArmorMix()} {
		p := plan(mix)
		first := Schedule(p)
		c.Assert(reflect.DeepEqual(first, Schedule(p)), qt.IsTrue)
		p.Seed++
		c.Assert(reflect.DeepEqual(first, Schedule(p)), qt.IsFalse)
		c.Assert(len(first) > 900 && len(first) < 1100, qt.IsTrue, qt.Commentf("%d arrivals", len(first)))

		classes, workspaces := map[string]int{}, map[string]int{}
		build := map[string]func(*builder) call{}
		for _, class := range mix.Classes {
			build[class.Name] = class.build
		}
		for _, a := range first {
			classes[a.Class]++
			workspaces[a.Workspace]++
			one := build[a.Class](newBuilder(targets, a, "x"))
			c.Assert(string(build[a.Class](newBuilder(targets, a, "x")).body), qt.Equals, string(one.body))
		}
		c.Assert(classes, qt.HasLen, len(mix.Classes))
		c.Assert(workspaces["w0"] > 2*workspaces["w2"], qt.IsTrue, qt.Commentf("%v is not skewed", workspaces))
	}
}

// roundTripFunc is an http.RoundTripper that calls a function.
type roundTripFunc func(*http.Request) (*http.Response, error)

func (f roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

func newResponse(status int, verdict, contentType, body string) *http.Response {
	return &http.Response{StatusCode: status, Body: io.NopCloser(strings.NewReader(body)), Header: http.Header{
		"X-Verdict": {verdict}, "X-Request-Id": {"q"}, "Content-Type": {contentType},
	}}
}

func newGenerator(c *qt.C, p Plan, transport http.RoundTripper) *Generator {
	o := Options{
		Plan: p, Targets: targets, Routers: []Endpoint{{"r1", "http://r1"}, {"r2", "http://r2"}},
		APIKeys: map[string]string{}, Budgets: map[string]string{}, Transport: transport, TryTimeout: time.Minute,
	}
	for _, w := range p.Workspaces {
		o.APIKeys[w] = "mw_" + w + "_main_x"
	}
	g, err := New(o)
	c.Assert(err, qt.IsNil)
	return g
}

// Guards against coordinated omission: requests must be sent at their scheduled times
// although each response takes 30 s, and latencies are measured from these times.
func TestSlowServerDoesNotSlowTheLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const slow = 30 * time.Second
		g := newGenerator(c, plan(ArmorMix()), roundTripFunc(func(*http.Request) (*http.Response, error) {
			time.Sleep(slow)
			return newResponse(503, history.VerdictNotRun, "application/problem+json", `{"code":"overloaded"}`), nil
		}))
		requests := g.Run(context.Background(), time.Now())
		c.Assert(requests, qt.HasLen, g.Planned())
		for _, r := range requests {
			c.Assert(r.Tries, qt.HasLen, 1)
			c.Assert(r.Tries[0].Start, qt.Equals, r.Intended)
			c.Assert(r.Tries[0].End, qt.Equals, r.Intended+slow)
			c.Assert(r.Tries[0].Code, qt.Equals, "overloaded")
		}
		c.Assert(time.Since(g.started) < plan(ArmorMix()).Duration+slow+time.Second, qt.IsTrue)
	})
}

// Guards against duplicate orders: after a broken connection or an unknown outcome
// the caller must retry at the other router with the same idempotency key, and after
// a definite outcome it must not retry.
func TestRetriesKeepTheKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var mu sync.Mutex
		tries := map[string]int{}
		p := plan(Mix{Classes: []Class{{Name: "order", Share: 1, build: goodsOrder}}})
		p.Duration = time.Second
		g := newGenerator(c, p, roundTripFunc(func(r *http.Request) (*http.Response, error) {
			mu.Lock()
			defer mu.Unlock()
			key := r.Header.Get("Idempotency-Key")
			tries[key]++
			switch tries[key] {
			case 1:
				return nil, errors.New("connection reset")
			case 2:
				return newResponse(409, history.VerdictUnknown, "application/problem+json", `{"code":"key-unresolved"}`), nil
			default:
				return newResponse(201, history.VerdictRan, "application/json", `{"body":"[[echo:x]]"}`), nil
			}
		}))
		for _, r := range g.Run(context.Background(), time.Now()) {
			c.Assert(r.Tries, qt.HasLen, 3)
			c.Assert(tries[r.Key], qt.Equals, 3)
			c.Assert(r.Tries[0].Router, qt.Not(qt.Equals), r.Tries[1].Router)
			c.Assert(r.Tries[0].Complete, qt.IsFalse)
			c.Assert(r.LastTry().OK(), qt.IsTrue)
			c.Assert(r.LastTry().Echo, qt.Equals, "x")
		}
	})
}

// Guards against truncated responses that are recorded as complete or whose tokens are
// counted wrongly. The checker relies on both.
func TestReadResponses(t *testing.T) {
	const token = `data: {"choices":[{"delta":{"content":" milk"}}]}` + "\n\n"
	const echo = `data: {"choices":[{"delta":{"content":"[[echo:x]]"}}]}` + "\n\n"
	stream, whole := "text/event-stream", "application/json"
	for _, test := range []struct {
		name, contentType, body string
		complete, malformed     bool
		tokens                  int
		code                    string
	}{
		{"stream", stream, echo + token + "data: [DONE]\n\n", true, false, 2, ""},
		{"stream without its end", stream, echo + token, false, false, 2, ""},
		{"stream with an error event", stream, echo + "event: error\ndata: {\"error\":{\"code\":\"server-lost\"}}\n\n", false, false, 1, "server-lost"},
		{"stream with a truncated event", stream, echo + `data: {"choices":[{"del`, false, true, 1, ""},
		{"complete JSON", whole, `{"choices":[{"message":{"content":"[[echo:x]] milk cream"}}]}`, true, false, 3, ""},
		{"truncated JSON", whole, `{"choices":[{"message":{"content":"[[echo:x]] mi`, true, true, 0, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			try := history.Try{}
			r := responseReader{try: &try, clock: func() time.Duration { return time.Second }}
			err := r.read(newResponse(200, history.VerdictRan, test.contentType, test.body))
			c.Assert(err == nil, qt.Equals, test.complete)
			c.Assert(try.Complete, qt.Equals, test.complete)
			c.Assert(try.Malformed, qt.Equals, test.malformed)
			c.Assert(try.Tokens, qt.Equals, test.tokens)
			c.Assert(try.Code, qt.Equals, test.code)
			c.Assert(try.Echo, qt.Equals, "x")
		})
	}
	text, tokens := engine.ResponseText("[[echo:x]][[len:40]]", 100)
	qt.Assert(t, 1+strings.Count(text, " "), qt.Equals, tokens, qt.Commentf("tokens of a JSON response are counted by spaces"))
}
