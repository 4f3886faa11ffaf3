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

// serveHTTP serves a handler on an in-memory network for the duration of a
// test.
func serveHTTP(t *testing.T, handler http.Handler) (*pipenet.Listener, Options) {
	listener := pipenet.Listen()
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		_ = server.Close()
		listener.CloseConns(true)
		time.Sleep(time.Minute) // virtual time; ends the engine's last step
	})
	return listener, Options{URL: "http://engine", Dial: listener.Dial, Metrics: metrics.NewRegistry()}
}

func chatRequest(content string) *Request {
	return &Request{ID: uuid.New(), Path: "/v1/chat/completions", Body: fmt.Appendf(nil,
		`{"model":"standin","stream":true,"messages":[{"role":"user","content":%q}]}`, content)}
}

// collector collects the chunks of a run.
type collector struct {
	text   strings.Builder
	tokens uint32
	usage  *Usage
}

func (col *collector) add(chunk *Chunk) error {
	col.tokens += chunk.Tokens
	col.text.WriteString(gjson.Get(chunk.JSON, "choices.0.delta.content").Str)
	if chunk.Usage != nil {
		col.usage = chunk.Usage
	}
	return nil
}

// Guards against tokens that are lost or repeated when the connection is lost.
func TestRunResumesAfterLostConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e := standin.New(standin.Config{})
		listener, opts := serveHTTP(t, e.Handler())
		client := New(opts)
		defer client.Close()
		var col collector
		err := client.Run(t.Context(), chatRequest("[[len:50]]"), func(chunk *Chunk) error {
			if col.tokens%20 == 10 {
				listener.CloseConns(false)
			}
			return col.add(chunk)
		})
		c.Assert(err, qt.IsNil)
		want, _ := standin.ResponseText("user\n[[len:50]]\n", 0)
		c.Assert(col.text.String(), qt.Equals, want)
		c.Assert(col.tokens, qt.Equals, uint32(50))
		c.Assert(col.usage.Output, qt.Equals, budget.Tokens(50))
		c.Assert(client.resumedStreams.Count() >= 2, qt.IsTrue)
	})
}

// Guards against treating a server crash as the end of a response, and a
// refused connection as a request that may have run.
func TestRunErrorsAfterServerLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e := standin.New(standin.Config{RestartTime: 50 * time.Millisecond})
		listener, opts := serveHTTP(t, e.Handler())
		client := New(opts)
		defer client.Close()
		runWith := func(onChunk func()) error {
			return client.Run(t.Context(), chatRequest("[[len:50]]"), func(*Chunk) error {
				onChunk()
				return nil
			})
		}
		c.Assert(runWith(e.Crash), qt.ErrorIs, ErrStreamLost) // the server restarts before the resume timeout
		time.Sleep(time.Second)
		c.Assert(runWith(func() { listener.CloseConns(true) }), qt.ErrorIs, ErrServerLost)
		c.Assert(runWith(func() {}), qt.ErrorIs, ErrNotSent)
		listener.StopRefusing()
		var status *StatusError
		err := client.Run(t.Context(), &Request{ID: uuid.New(), Path: "/v1/completions", Body: []byte("{")}, nil)
		c.Assert(errors.As(err, &status), qt.IsTrue)
		c.Assert(status.Status, qt.Equals, http.StatusBadRequest)
	})
}

// Guards against waiting for a connection that has become unresponsive.
func TestRunAbandonsUnresponsiveConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e := standin.New(standin.Config{})
		release := make(chan struct{})
		_, opts := serveHTTP(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				_ = e.Submit(standin.Request{ID: r.Header.Get("X-Request-Id"), Model: "standin", Prompt: "[[len:9]]", Chat: true})
				w.WriteHeader(http.StatusOK)
				_ = http.NewResponseController(w).Flush()
				<-release
				return
			}
			e.Handler().ServeHTTP(w, r)
		}))
		defer close(release)
		client := New(opts)
		defer client.Close()
		var col collector
		c.Assert(client.Run(t.Context(), chatRequest(""), col.add), qt.IsNil)
		c.Assert(col.tokens, qt.Equals, uint32(9))
	})
}

// Guards against chunks of another request's response that reach the caller.
func TestRunDropsMismatchedChunks(t *testing.T) {
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
		c.Assert(client.mismatchedChunks.Count(), qt.Equals, int64(2))
	})
}

// Guards against a response with a missing chunk, and against repeated chunks
// of a stream that cannot be resumed because its events have no IDs.
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

// sinkLog records the calls to a CacheSink.
type sinkLog []string

func (s *sinkLog) Stored(blocks []uint64)  { *s = append(*s, fmt.Sprint("stored", blocks)) }
func (s *sinkLog) Removed(blocks []uint64) { *s = append(*s, fmt.Sprint("removed", blocks)) }
func (s *sinkLog) Cleared()                { *s = append(*s, "cleared") }
func (s *sinkLog) Gap()                    { *s = append(*s, "gap") }

// Guards against undetected gaps and restarts of the sequence numbers.
func TestCacheWatcherDetectsGapsAndRestarts(t *testing.T) {
	c := qt.New(t)
	var log sinkLog
	watcher := cacheWatcher{sink: &log}
	for _, batch := range []string{
		`{"events":[{"seq":1,"type":"stored","blocks":[7]},{"seq":3,"type":"removed","blocks":[7]}],"next":3}`,
		`{"events":[],"next":5}`,
		`{"events":[{"seq":4,"type":"stored","blocks":[1]}],"next":5}`,
		`{"events":[],"next":0}`,
		`{"events":[{"seq":1,"type":"cleared"}],"next":1}`,
	} {
		c.Assert(watcher.apply([]byte(batch)), qt.IsNil)
	}
	watcher.pollFailed()
	watcher.pollFailed()
	c.Assert([]string(log), qt.DeepEquals, []string{"stored[7]", "gap", "removed[7]", "gap", "cleared", "cleared", "gap"})
}

// Guards against a forwarded service request that differs in more than its
// credentials and hop-by-hop headers, and against forwarding an invalid one.
func TestServiceRequestIsForwardedUnchanged(t *testing.T) {
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

// Guards against a non-idempotent request that the transport sends again after
// its connection was lost, and against an error that claims that it did not
// run.
func TestServiceRequestIsSentOnce(t *testing.T) {
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
		req := &ServiceRequest{Method: "POST", Path: "/orders", Headers: []wire.Header{{Name: "Idempotency-Key", Value: "k"}}}
		_, err = client.Call(t.Context(), req)
		c.Assert(err, qt.ErrorIs, ErrServerLost)
		c.Assert(seen.Load(), qt.Equals, int32(1))
		listener.CloseConns(true)
		_, err = client.Call(t.Context(), req)
		c.Assert(err, qt.ErrorIs, ErrNotSent)
	})
}

// Guards against an engine that continues after its run was canceled.
func TestCancelStopsEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e := standin.New(standin.Config{})
		_, opts := serveHTTP(t, e.Handler())
		client := New(opts)
		defer client.Close()
		ctx, cancel := context.WithCancelCause(t.Context())
		errDisconnected := errors.New("caller disconnected")
		req := chatRequest("[[len:50]]")
		tokens := 0
		err := client.Run(ctx, req, func(*Chunk) error {
			if tokens++; tokens == 5 {
				cancel(errDisconnected)
			}
			return nil
		})
		c.Assert(err, qt.Equals, errDisconnected)
		usage, err := client.Cancel(t.Context(), req.ID)
		c.Assert(err, qt.IsNil)
		c.Assert(usage.Output >= 5 && usage.Output < 50, qt.IsTrue)
		c.Assert(e.Requests()[0].Ending, qt.Equals, standin.EndCanceled)
		usage, err = client.Cancel(t.Context(), uuid.New())
		c.Assert(err, qt.IsNil)
		c.Assert(usage, qt.IsNil)
	})
}

// FuzzEvents guards against a parser that panics, accepts events over the size
// limit, or depends on how the input is split into reads.
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
			t.Fatalf("events depend on the size of reads: %q and %q", whole, bytewise)
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
		var chunk Chunk
		err = parseChunk(raw.data, &chunk)
		usage := Usage{}
		if chunk.Usage != nil {
			usage = *chunk.Usage
		}
		if min(usage.Prompt, usage.Output, usage.Cached) < 0 {
			t.Fatalf("negative usage in %q", raw.data)
		}
		chunk.Usage = nil
		_, _ = fmt.Fprintf(&out, "%d %q %v %v %v\n", raw.id, raw.data, chunk, usage, err != nil)
	}
}
