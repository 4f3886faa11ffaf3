package engine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"github.com/tidwall/gjson"

	standin "github.com/monsoonworks/monsoonworks/devel/standin/engine"
	"github.com/monsoonworks/monsoonworks/devel/standin/pipenet"
	"github.com/monsoonworks/monsoonworks/devel/standin/service"
	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// serveHTTP offers a handler on a network in memory for the length of a test.
func serveHTTP(t *testing.T, handler http.Handler) (*pipenet.Listener, Options) {
	listener := pipenet.Listen()
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		_ = server.Close()
		listener.Cut(true)
		time.Sleep(time.Minute) // virtual; ends the engine's last step
	})
	return listener, Options{URL: "http://engine", Dial: listener.Dial, Metrics: metrics.NewRegistry()}
}

func chatRequest(content string) *Request {
	return &Request{ID: uuid.New(), Path: "/v1/chat/completions", Body: fmt.Appendf(nil,
		`{"model":"standin","stream":true,"messages":[{"role":"user","content":%q}]}`, content)}
}

// collector gathers what a run delivers.
type collector struct {
	text   strings.Builder
	tokens uint32
	usage  *Usage
}

func (col *collector) add(e *Event) error {
	col.tokens += e.Tokens
	col.text.WriteString(gjson.Get(e.JSON, "choices.0.delta.content").Str)
	if e.Usage != nil {
		col.usage = e.Usage
	}
	return nil
}

// Guards against a broken connection that loses or repeats tokens.
func TestRunResumesAfterABrokenConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e := standin.New(standin.Config{})
		listener, opts := serveHTTP(t, e.Handler())
		client := New(opts)
		defer client.Close()
		var col collector
		err := client.Run(t.Context(), chatRequest("[[len:50]]"), func(event *Event) error {
			if col.tokens%20 == 10 {
				listener.Cut(false)
			}
			return col.add(event)
		})
		c.Assert(err, qt.IsNil)
		want, _ := standin.Answer("user\n[[len:50]]\n", 0)
		c.Assert(col.text.String(), qt.Equals, want)
		c.Assert(col.tokens, qt.Equals, uint32(50))
		c.Assert(col.usage.Output, qt.Equals, budget.Tokens(50))
		c.Assert(client.resumes.Count() >= 2, qt.IsTrue)
	})
}

// Guards against a server's death that is taken for an end, and against a refused
// connection that is taken for a request that may have run.
func TestRunTellsHowTheServerWasLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e := standin.New(standin.Config{RestartTime: 50 * time.Millisecond})
		listener, opts := serveHTTP(t, e.Handler())
		client := New(opts)
		defer client.Close()
		crash := func(then func()) error {
			return client.Run(t.Context(), chatRequest("[[len:50]]"), func(*Event) error {
				then()
				return nil
			})
		}
		c.Assert(crash(e.Crash), qt.ErrorIs, ErrStreamLost) // back before the resume ended
		time.Sleep(time.Second)
		c.Assert(crash(func() { listener.Cut(true) }), qt.ErrorIs, ErrServerLost)
		c.Assert(crash(func() {}), qt.ErrorIs, ErrNotSent)
		listener.Reopen()
		var status *StatusError
		err := client.Run(t.Context(), &Request{ID: uuid.New(), Path: "/v1/completions", Body: []byte("{")}, nil)
		c.Assert(errors.As(err, &status), qt.IsTrue)
		c.Assert(status.Status, qt.Equals, http.StatusBadRequest)
	})
}

// Guards against a connection that goes silent for good.
func TestRunLeavesASilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e := standin.New(standin.Config{})
		silent := make(chan struct{})
		_, opts := serveHTTP(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				_ = e.Submit(standin.Request{ID: r.Header.Get("X-Request-Id"), Model: "standin", Prompt: "[[len:9]]", Chat: true})
				w.WriteHeader(http.StatusOK)
				_ = http.NewResponseController(w).Flush()
				<-silent
				return
			}
			e.Handler().ServeHTTP(w, r)
		}))
		defer close(silent)
		client := New(opts)
		defer client.Close()
		var col collector
		c.Assert(client.Run(t.Context(), chatRequest(""), col.add), qt.IsNil)
		c.Assert(col.tokens, qt.Equals, uint32(9))
	})
}

// Guards against chunks of another request's answer that reach the caller.
func TestRunDropsChunksOfAnotherAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const own, other = `data: {"id":"own","choices":[{"delta":{"content":"x"}}]}`, `data: {"id":"other","choices":[{"delta":{"content":"y"}}]}`
		var gets atomic.Int32
		_, opts := serveHTTP(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				_, _ = fmt.Fprintf(w, "id: 1\n%s\n\nid: 2\n%s\n\n", own, other)
				return
			}
			if gets.Add(1) == 1 {
				w.Header().Set("X-Request-Id", uuid.NewString())
				return
			}
			c.Check(r.Header.Get("Last-Event-ID"), qt.Equals, "1")
			_, _ = fmt.Fprintf(w, "id: 2\n%s\n\ndata: [DONE]\n\n", own)
		}))
		client := New(opts)
		defer client.Close()
		var col collector
		c.Assert(client.Run(t.Context(), chatRequest(""), col.add), qt.IsNil)
		c.Assert(col.text.String(), qt.Equals, "xx")
		c.Assert(client.crossed.Count(), qt.Equals, int64(2))
	})
}

// Guards against an answer with a missing chunk, and against one that repeats
// chunks because they had no numbers to resume from.
func TestRunDeliversEachChunkOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const text = `data: {"choices":[{"delta":{"content":"x"}}]}`
		numbered := true
		_, opts := serveHTTP(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			switch {
			case !numbered:
				_, _ = fmt.Fprintf(w, "%s\n\n", text)
			case r.Method == http.MethodPost:
				_, _ = fmt.Fprintf(w, "id: 1\n%s\n\nid: 3\n%s\n\n", text, text)
			default:
				_, _ = fmt.Fprintf(w, "id: 1\n%s\n\nid: 2\n%s\n\nid: 3\n%s\n\ndata: [DONE]\n\n", text, text, text)
			}
		}))
		client := New(opts)
		defer client.Close()
		var col collector
		c.Assert(client.Run(t.Context(), chatRequest(""), col.add), qt.IsNil)
		c.Assert(col.text.String(), qt.Equals, "xxx")
		numbered, col = false, collector{}
		c.Assert(client.Run(t.Context(), chatRequest(""), col.add), qt.ErrorIs, ErrServerLost)
		c.Assert(col.text.String(), qt.Equals, "x")
	})
}

// sinkLog records what a follower of cache events learns.
type sinkLog []string

func (s *sinkLog) Stored(blocks []uint64)  { *s = append(*s, fmt.Sprint("stored", blocks)) }
func (s *sinkLog) Removed(blocks []uint64) { *s = append(*s, fmt.Sprint("removed", blocks)) }
func (s *sinkLog) Cleared()                { *s = append(*s, "cleared") }
func (s *sinkLog) Gap()                    { *s = append(*s, "gap") }

// Guards against gaps and restarts of the numbers that pass unnoticed.
func TestCacheFollowerNoticesGapsAndRestarts(t *testing.T) {
	c := qt.New(t)
	var log sinkLog
	f := cacheFollower{sink: &log}
	for _, batch := range []string{
		`{"events":[{"seq":1,"type":"stored","blocks":[7]},{"seq":3,"type":"removed","blocks":[7]}],"next":3}`,
		`{"events":[],"next":5}`,
		`{"events":[{"seq":4,"type":"stored","blocks":[1]}],"next":5}`,
		`{"events":[],"next":0}`,
		`{"events":[{"seq":1,"type":"cleared"}],"next":1}`,
	} {
		c.Assert(f.apply([]byte(batch)), qt.IsNil)
	}
	f.failed()
	f.failed()
	c.Assert([]string(log), qt.DeepEquals, []string{"stored[7]", "gap", "removed[7]", "gap", "cleared", "cleared", "gap"})
}

// Guards against a call of a plain service that is changed on its way.
func TestServiceCallIsForwardedUnchanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		_, opts := serveHTTP(t, service.New(service.Config{}).Handler())
		client := NewServiceClient(opts)
		defer client.Close()
		resp, err := client.Call(t.Context(), &ServiceRequest{Method: "PATCH", Path: "/echo/a%2Fb?x=1&x=2", Body: []byte("tray"),
			Headers: []wire.Header{
				{Name: "x-shop", Value: "1"}, {Name: "X-Shop", Value: "2"}, {Name: "Authorization", Value: "secret"},
				{Name: "Connection", Value: "X-Hop"}, {Name: "X-Hop", Value: "1"}, {Name: "Idempotency-Key", Value: "k"},
			}})
		c.Assert(err, qt.IsNil)
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		c.Assert(err, qt.IsNil)
		echo := gjson.ParseBytes(body)
		c.Assert(echo.Get("method").Str, qt.Equals, "PATCH")
		c.Assert(echo.Get("query").Str, qt.Equals, "x=1&x=2")
		c.Assert(echo.Get("body").Str, qt.Equals, "tray")
		c.Assert(echo.Get("header.X-Shop").Raw, qt.Equals, `["1","2"]`)
		for _, bad := range []*ServiceRequest{
			{Method: "GET", Path: "@other/stock"}, {Method: "G T", Path: "/stock"},
			{Method: "GET", Path: "/stock", Headers: []wire.Header{{Name: "X-Shop", Value: "1\r\nX-Evil: 2"}}},
		} {
			_, err := client.Call(t.Context(), bad)
			c.Assert(err, qt.ErrorIs, ErrInvalidRequest)
		}
		for _, absent := range []string{"Authorization", "X-Hop", "User-Agent"} {
			c.Assert(echo.Get("header."+absent).Exists(), qt.IsFalse, qt.Commentf(absent))
		}
	})
}

// Guards against an order that the transport sends twice after its connection
// broke, and against a failure that claims that an order did not run.
func TestServiceCallIsSentOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var seen atomic.Int32
		listener, opts := serveHTTP(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost && seen.Add(1) > 0 {
				panic(http.ErrAbortHandler)
			}
		}))
		client := NewServiceClient(opts)
		defer client.Close()
		warm, err := client.Call(t.Context(), &ServiceRequest{Method: "GET", Path: "/", Idempotent: true})
		c.Assert(err, qt.IsNil)
		c.Assert(warm.Body.Close(), qt.IsNil)
		order := &ServiceRequest{Method: "POST", Path: "/orders", Headers: []wire.Header{{Name: "Idempotency-Key", Value: "k"}}}
		_, err = client.Call(t.Context(), order)
		c.Assert(err, qt.ErrorIs, ErrServerLost)
		c.Assert(seen.Load(), qt.Equals, int32(1))
		listener.Cut(true)
		_, err = client.Call(t.Context(), order)
		c.Assert(err, qt.ErrorIs, ErrNotSent)
	})
}

// Guards against a cancelled run that leaves the engine working.
func TestCancelStopsTheEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e := standin.New(standin.Config{})
		_, opts := serveHTTP(t, e.Handler())
		client := New(opts)
		defer client.Close()
		ctx, cancel := context.WithCancelCause(t.Context())
		gone := errors.New("caller is gone")
		req := chatRequest("[[len:50]]")
		tokens := 0
		err := client.Run(ctx, req, func(*Event) error {
			if tokens++; tokens == 5 {
				cancel(gone)
			}
			return nil
		})
		c.Assert(err, qt.Equals, gone)
		usage, err := client.Cancel(t.Context(), req.ID)
		c.Assert(err, qt.IsNil)
		c.Assert(usage.Output >= 5 && usage.Output < 50, qt.IsTrue)
		c.Assert(e.Runs()[0].Ending, qt.Equals, standin.EndCanceled)
		usage, err = client.Cancel(t.Context(), uuid.New())
		c.Assert(err, qt.IsNil)
		c.Assert(usage, qt.IsNil)
	})
}

// FuzzEvents guards against a parser that panics, accepts events over their
// limit, or depends on how the input is cut into reads.
func FuzzEvents(f *testing.F) {
	for _, seed := range []string{
		"id: 1\ndata: {\"id\":\"a\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"x\"},\"finish_reason\":null}],\"token_ids\":[1,2]}\n\n",
		"data: {\"choices\":[],\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":-4}}\r\n\r\ndata: [DONE]\n\n",
		": comment\nevent: x\ndata: {\ndata: }\n\nid: 9223372036854775808\n\n",
		"data: {\"choices\":[{\"text\":\"x\"}]}\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		whole := readAll(t, strings.NewReader(string(input)))
		bytewise := readAll(t, iotest.OneByteReader(strings.NewReader(string(input))))
		if whole != bytewise {
			t.Fatalf("events differ with the size of reads: %q and %q", whole, bytewise)
		}
	})
}

func readAll(t *testing.T, r io.Reader) string {
	var out strings.Builder
	for events := newEventReader(r); ; {
		raw, err := events.next()
		if err != nil {
			return out.String()
		}
		if len(raw.data) > MaxEventBytes {
			t.Fatalf("event of %d bytes", len(raw.data))
		}
		var event Event
		err = parseEvent(raw.data, &event)
		usage := Usage{}
		if event.Usage != nil {
			usage = *event.Usage
		}
		if min(usage.Prompt, usage.Output, usage.Cached) < 0 {
			t.Fatalf("negative usage in %q", raw.data)
		}
		event.Usage = nil
		_, _ = fmt.Fprintf(&out, "%d %q %v %v %v\n", raw.id, raw.data, event, usage, err != nil)
	}
}
