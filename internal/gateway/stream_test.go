package gateway

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"pgregory.net/rapid"

	"github.com/monsoonworks/monsoonworks/internal/dispatch"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

var streamBody = strings.Replace(chatBody, "{", `{"stream":true,`, 1)

// lastEventError returns the error in the error event at the end of a stream.
func lastEventError(c *qt.C, stream string) verdict.APIError {
	c.Helper()
	at := strings.LastIndex(stream, "event: error\ndata: ")
	c.Assert(at >= 0, qt.IsTrue, qt.Commentf("%q", stream))
	c.Assert(at == 0 || strings.HasSuffix(stream[:at], "\n\n"), qt.IsTrue)
	var event struct{ Error verdict.APIError }
	c.Assert(json.Unmarshal([]byte(stream[at+len("event: error\ndata: "):]), &event), qt.IsNil)
	return event.Error
}

// Guards against a stream that is modified, lacks its verdict, or ends like a complete
// one although it is truncated.
func TestStreams(t *testing.T) {
	partial := chunk(2)[:20]
	tests := []struct {
		name    string
		frames  [][]byte
		out     dispatch.Outcome
		want    string // complete events that the caller receives
		verdict verdict.Verdict
		code    verdict.Code // of the error event, empty for none
	}{
		{"complete", [][]byte{chunk(1), chunk(2), done}, ranOutcome, string(chunk(1)) + string(chunk(2)) + string(done), verdict.Ran, ""},
		{"one frame", [][]byte{append(chunk(1), done...)}, ranOutcome, string(chunk(1)) + string(done), verdict.Ran, ""},
		{"[DONE] in two frames", [][]byte{chunk(1), done[:9], done[9:]}, ranOutcome, string(chunk(1)) + string(done), verdict.Ran, ""},
		{"no tokens", [][]byte{done}, ranOutcome, string(done), verdict.Ran, ""},
		{"CRLF", [][]byte{[]byte("data: {}\r\n\r\ndata:[DONE]\r\n\r\n")}, ranOutcome, "data: {}\r\n\r\ndata:[DONE]\r\n\r\n", verdict.Ran, ""},
		{"[DONE] within a text", [][]byte{[]byte("data: \"[DONE]\"\n\n"), done}, ranOutcome, "data: \"[DONE]\"\n\n" + string(done), verdict.Ran, ""},
		{"server lost", [][]byte{chunk(1)}, failed(verdict.Ran, verdict.CodeServerLost, "lost"), string(chunk(1)), verdict.Ran, verdict.CodeServerLost},
		{"not-run after data", [][]byte{chunk(1)}, failed(verdict.NotRun, verdict.CodeNoServer, "x"), string(chunk(1)), verdict.Unknown, verdict.CodeNoServer},
		{"lost within an event", [][]byte{chunk(1), partial}, failed(verdict.Ran, verdict.CodeServerLost, "lost"), string(chunk(1)), verdict.Ran, verdict.CodeServerLost},
		{"failure after [DONE]", [][]byte{chunk(1), done}, failed(verdict.Unknown, verdict.CodeServerError, "x"), string(chunk(1)), verdict.Unknown, verdict.CodeServerError},
		{"success without [DONE]", [][]byte{chunk(1)}, ranOutcome, string(chunk(1)), verdict.Ran, verdict.CodeServerError},
		{"data after [DONE]", [][]byte{chunk(1), done, chunk(2)}, ranOutcome, string(chunk(1)), verdict.Ran, verdict.CodeServerError},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			_, url := serveLoopback(t, testOptions(func(_ context.Context, _ *dispatch.Call, s dispatch.Sink) dispatch.Outcome {
				_ = s.Head(500, nil) // replaced by the next one, because nothing was sent yet
				_ = s.Head(200, eventStreamHead)
				for _, frame := range test.frames {
					_ = s.Data(1, frame)
				}
				return test.out
			}))
			resp := send(t, "POST", url+pathChat, streamBody)
			got := readAll(t, resp)
			c.Assert(resp.StatusCode, qt.Equals, 200)
			c.Assert(resp.Header.Get(headerVerdict), qt.Equals, "")
			c.Assert(resp.Trailer.Get(headerVerdict), qt.Equals, test.verdict.String())
			if test.code == "" {
				c.Assert(got, qt.Equals, test.want)
				return
			}
			c.Assert(strings.HasPrefix(got, test.want+"event: error\n"), qt.IsTrue, qt.Commentf("%q", got))
			c.Assert(got, qt.Not(qt.Contains), "[DONE]")
			e := lastEventError(c, got)
			c.Assert(e.Code, qt.Equals, test.code)
			c.Assert(e.Verdict, qt.Equals, test.verdict)
			c.Assert(e.RequestID, qt.Equals, resp.Header.Get(headerRequestID))
		})
	}
}

// Guards against bytes that are lost, repeated or reordered when the stream is split
// into events.
func TestEventSplitterPreservesBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		piece := rapid.SampledFrom([]string{"data: {}\n\n", "id: 1\n", "\r\n", "\n", "x", "data: \"[DONE]\"\n\n", "[DONE]"})
		text := strings.Join(rapid.SliceOf(piece).Draw(t, "text"), "")
		var s eventSplitter
		var got bytes.Buffer
		for rest := []byte(text); len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "n")
			complete, err := s.split(bytes.Clone(rest[:n]))
			if err != nil {
				return // data after the [DONE] event
			}
			got.Write(complete)
			rest = rest[n:]
		}
		if all := got.String() + string(s.doneEvent) + string(s.partial); all != text {
			t.Fatalf("got %q, want %q", all, text)
		}
		if cut := got.Len() + len(s.doneEvent); completeEventsLen([]byte(text)) != cut {
			t.Fatalf("complete events of %q end at %d, want %d", text, completeEventsLen([]byte(text)), cut)
		}
	})
}

// Guards against complete responses, refusals and errors before the head that lack
// their status, verdict or length.
func TestCompleteResponses(t *testing.T) {
	c := qt.New(t)
	var do switchableDispatcher
	_, url := serveLoopback(t, testOptions(do.run))
	jsonHead := []wire.Header{{Name: "content-type", Value: "application/json"}, {Name: "X-Verdict", Value: "not-run"}, {Name: "X-Bad", Value: "a\r\nX-Evil: 1"}, {Name: "Transfer-Encoding", Value: "gzip"}}
	do.set(func(_ context.Context, _ *dispatch.Call, s dispatch.Sink) dispatch.Outcome {
		_ = s.Head(200, jsonHead)
		_ = s.Data(1, []byte(`{"a":`))
		_ = s.Data(1, []byte(`1}`))
		return ranOutcome
	})
	resp := send(t, "POST", url+pathChat, chatBody)
	c.Assert(readAll(t, resp), qt.Equals, `{"a":1}`)
	c.Assert(resp.ContentLength, qt.Equals, int64(7))
	c.Assert(resp.Header.Get(headerVerdict), qt.Equals, "ran")
	c.Assert(resp.Header.Get("X-Evil")+resp.Header.Get("X-Bad"), qt.Equals, "")

	// An engine's own refusal is relayed complete, also for a stream.
	do.set(func(_ context.Context, _ *dispatch.Call, s dispatch.Sink) dispatch.Outcome {
		_ = s.Head(422, jsonHead)
		_ = s.Data(0, []byte(`{}`))
		return dispatch.Outcome{Verdict: verdict.NotRun}
	})
	resp = send(t, "POST", url+pathChat, streamBody)
	c.Assert(readAll(t, resp), qt.Equals, `{}`)
	c.Assert([]any{resp.StatusCode, resp.Header.Get(headerVerdict)}, qt.DeepEquals, []any{422, "not-run"})

	for _, test := range []struct {
		out     dispatch.Outcome
		status  int
		verdict string
		retry   string // X-Should-Retry without an idempotency key
	}{
		{failed(verdict.NotRun, verdict.CodeKeyReused, "the key was used for another request"), 422, "not-run", ""},
		{failed(verdict.Unknown, verdict.CodeKeyUnresolved, "x"), 409, "unknown", "false"},
		{failed(verdict.Unknown, verdict.CodeHomeUnreachable, "x"), 503, "unknown", "false"},
		{failed(verdict.NotRun, verdict.CodeBudgetExhausted, "x"), 402, "not-run", ""},
		{dispatch.Outcome{Verdict: verdict.Ran, Err: verdict.New(verdict.NotRun, verdict.CodeNoServer, "x")}, 503, "unknown", "false"},
		{ranOutcome, 502, "ran", "false"}, // no response at all
	} {
		do.set(func(_ context.Context, _ *dispatch.Call, s dispatch.Sink) dispatch.Outcome {
			if test.out.Err != nil {
				_ = s.Head(200, eventStreamHead)
				_ = s.Data(1, []byte("data: half"))
				test.out.Err.RetryAfter = 1100 * time.Millisecond
			}
			return test.out
		})
		for _, body := range []string{chatBody, streamBody} {
			resp := send(t, "POST", url+pathChat, body)
			var p verdict.Problem
			c.Assert(json.NewDecoder(resp.Body).Decode(&p), qt.IsNil)
			c.Assert([]any{resp.StatusCode, resp.Header.Get(headerVerdict), p.Verdict.String(), resp.Header.Get(headerShouldRetry)},
				qt.DeepEquals, []any{test.status, test.verdict, test.verdict, test.retry})
			c.Assert(resp.Header.Get("Retry-After") == "2", qt.Equals, test.out.Err != nil)
		}
	}
	resp = send(t, "POST", url+pathChat, chatBody, "Idempotency-Key: k")
	c.Assert(resp.Header.Get(headerShouldRetry), qt.Equals, "")
	do.set(func(context.Context, *dispatch.Call, dispatch.Sink) dispatch.Outcome { panic("secret") })
	resp = send(t, "POST", url+pathChat, chatBody)
	c.Assert([]any{resp.StatusCode, resp.Header.Get(headerVerdict)}, qt.DeepEquals, []any{500, "unknown"})
	c.Assert(readAll(t, resp), qt.Not(qt.Contains), "secret")
}

// Guards against a service's request or response that is modified, and against a
// truncated response that looks complete.
func TestServices(t *testing.T) {
	c := qt.New(t)
	var got *dispatch.Call
	var do switchableDispatcher
	_, url := serveLoopback(t, testOptions(do.run))
	respond := func(out dispatch.Outcome, headers []wire.Header, parts ...string) {
		do.set(func(_ context.Context, call *dispatch.Call, s dispatch.Sink) dispatch.Outcome {
			got = call
			_ = s.Head(207, headers)
			for _, part := range parts {
				_ = s.Data(0, []byte(part))
			}
			return out
		})
	}
	respond(ranOutcome, []wire.Header{{Name: "X-A", Value: "1"}, {Name: "x-a", Value: "2"}, {Name: "Connection", Value: "X-Hop"}, {Name: "X-Hop", Value: "1"}}, "or", "der")
	resp := send(t, "PROPFIND", url+"/svc/orders//a%2Fb/c;d?x=%0d&y", "body", "X-One: 1", "X-One: 2", "Connection: X-Drop", "X-Drop: 1",
		"X-Monsoon-Lot: 1", "X-Verdict: ran", "Te: trailers", "X-Request-Id: forged", "Proxy-Authorization: x")
	c.Assert(readAll(t, resp), qt.Equals, "order")
	c.Assert([]any{resp.StatusCode, resp.Header["X-A"], resp.Header["X-Hop"], resp.Header.Get(headerVerdict), resp.Header["Content-Type"]},
		qt.DeepEquals, []any{207, []string{"1", "2"}, []string(nil), "ran", []string(nil)})
	c.Assert([]any{got.Method, got.Path, string(got.Body), got.Idempotent, int(got.MaxCost)}, qt.DeepEquals, []any{"PROPFIND", "//a%2Fb/c;d?x=%0d&y", "body", false, 40})
	names := map[string]int{}
	for _, h := range got.Headers {
		names[h.Name]++
	}
	delete(names, "User-Agent")
	delete(names, "Accept-Encoding")
	c.Assert(names, qt.DeepEquals, map[string]int{"X-One": 2})

	length := []wire.Header{{Name: "Content-Length", Value: "5"}}
	respond(ranOutcome, length)
	c.Assert(send(t, "HEAD", url+"/svc/orders", "").ContentLength, qt.Equals, int64(5))
	c.Assert([]any{got.Path, got.Idempotent}, qt.DeepEquals, []any{"/", true})
	respond(ranOutcome, nil)
	c.Assert(send(t, "GET", url+"/svc/orders/", "").ContentLength, qt.Equals, int64(0))

	lost := failed(verdict.Ran, verdict.CodeServerLost, "lost")
	for _, broken := range []func(){
		func() { respond(lost, nil, "ord") },
		func() { respond(lost, length, "ord") },
		func() { respond(ranOutcome, length, "ord") },
		func() { respond(ranOutcome, length, "ord", "ers") },
	} {
		broken()
		_, err := io.ReadAll(send(t, "GET", url+"/svc/orders/x", "").Body)
		c.Assert(err, qt.ErrorMatches, ".*EOF")
	}
	respond(lost, length)
	c.Assert(send(t, "GET", url+"/svc/orders/x", "").StatusCode, qt.Equals, 502)
	respond(ranOutcome, length)
	c.Assert(send(t, "GET", url+"/svc/orders/x", "").StatusCode, qt.Equals, 502)
}

// Guards against a body that is replaced because a part of it equals an error response
// of net/http itself.
func TestBodyLikeNetHTTPError(t *testing.T) {
	c := qt.New(t)
	httpError := "HTTP/1.1 400 Bad Request" + string(netHTTPErrorFields)
	var do switchableDispatcher
	_, url := serveLoopback(t, testOptions(do.run))
	for shift := range len(httpError) {
		body := strings.Repeat(" ", shift) + strings.Repeat(httpError, 400)
		do.set(func(_ context.Context, _ *dispatch.Call, s dispatch.Sink) dispatch.Outcome {
			_ = s.Head(200, nil)
			_ = s.Data(0, []byte(body))
			return ranOutcome
		})
		c.Assert(readAll(t, send(t, "GET", url+"/svc/orders/x", "")) == body, qt.IsTrue, qt.Commentf("shift %d", shift))
	}
}

// Guards against a caller that stops reading and so keeps an engine slot in use.
func TestStalledCaller(t *testing.T) {
	c := qt.New(t)
	failure := make(chan error, 1)
	opts := testOptions(func(_ context.Context, _ *dispatch.Call, s dispatch.Sink) dispatch.Outcome {
		_ = s.Head(200, eventStreamHead)
		event := append(bytes.Repeat([]byte(": "), 32<<10), "\n\n"...)
		for {
			if err := s.Data(1, event); err != nil {
				failure <- err
				return failed(verdict.Ran, verdict.CodeCanceled, "stalled")
			}
		}
	})
	opts.WriteTimeout = time.Millisecond
	_, url := serveLoopback(t, opts)
	resp := send(t, "POST", url+pathChat, streamBody)
	c.Assert(<-failure, qt.ErrorIs, os.ErrDeadlineExceeded)
	_, err := io.Copy(io.Discard, resp.Body)
	c.Assert(err, qt.ErrorMatches, ".*EOF")
}

// Guards against an engine slot that stays in use after its caller has disconnected.
func TestCallerDisconnects(t *testing.T) {
	c := qt.New(t)
	ended := make(chan error, 1)
	_, url := serveLoopback(t, testOptions(func(ctx context.Context, _ *dispatch.Call, s dispatch.Sink) dispatch.Outcome {
		_ = s.Head(200, eventStreamHead)
		_ = s.Data(1, chunk(1))
		<-ctx.Done()
		ended <- ctx.Err()
		return failed(verdict.Ran, verdict.CodeCanceled, "canceled")
	}))
	ctx, cancel := context.WithCancel(t.Context())
	resp, err := sendContext(ctx, "POST", url+pathChat, streamBody)
	c.Assert(err, qt.IsNil)
	_, err = bufio.NewReader(resp.Body).ReadString('\n')
	c.Assert(err, qt.IsNil)
	cancel()
	c.Assert(<-ended, qt.Equals, context.Canceled)
}

// heldStream returns a call that sends a chunk and then waits for resume to be closed.
func heldStream(resume <-chan struct{}) func(context.Context, *dispatch.Call, dispatch.Sink) dispatch.Outcome {
	return func(_ context.Context, _ *dispatch.Call, s dispatch.Sink) dispatch.Outcome {
		_ = s.Head(200, eventStreamHead)
		_ = s.Data(1, chunk(1))
		<-resume
		_ = s.Data(0, done)
		return ranOutcome
	}
}

// Guards against a drain that aborts a stream, and against requests that are accepted
// during the drain or refused without the verdict not-run.
func TestDrain(t *testing.T) {
	c := qt.New(t)
	resume := make(chan struct{})
	g, url := serveLoopback(t, testOptions(heldStream(resume)))
	c.Assert(send(t, "GET", url+pathReady, "").StatusCode, qt.Equals, 200)
	stream := send(t, "POST", url+pathChat, streamBody)
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	c.Assert(g.Drain(canceled), qt.ErrorMatches, "1 calls in progress: .*")
	refused := send(t, "POST", url+pathChat, chatBody)
	c.Assert(refused.Close, qt.IsTrue)
	c.Assert(refused.Header.Get("Retry-After"), qt.Equals, "1")
	assertNotRun(c, refused, 503, verdict.CodeDraining)
	assertNotRun(c, send(t, "GET", url+pathReady, ""), 503, verdict.CodeDraining)
	c.Assert(send(t, "GET", url+pathHealth, "").StatusCode, qt.Equals, 200)
	c.Assert(g.InProgress(), qt.Equals, 1)
	close(resume)
	c.Assert(readAll(t, stream), qt.Equals, string(chunk(1))+string(done))
	c.Assert(g.Drain(t.Context()), qt.IsNil)
	c.Assert(g.Shutdown(t.Context()), qt.IsNil)
}

// Guards against a shutdown that cuts a response off when its time ends, and against one that
// drops a request on a connection that was accepted before.
func TestShutdownKeepsResponses(t *testing.T) {
	c := qt.New(t)
	resume := make(chan struct{})
	g, url := serveLoopback(t, testOptions(heldStream(resume)))
	stream := send(t, "POST", url+pathChat, streamBody)
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	c.Assert(conn.SetDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
	time.Sleep(20 * time.Millisecond) // until the connection is accepted
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	c.Assert(g.Drain(canceled), qt.IsNotNil)
	c.Assert(g.Shutdown(canceled), qt.ErrorIs, context.Canceled)
	_, err = io.WriteString(conn, "GET "+pathReady+" HTTP/1.1\r\nHost: h\r\n\r\n")
	c.Assert(err, qt.IsNil)
	buffer := make([]byte, 64)
	n, err := conn.Read(buffer)
	c.Assert(err, qt.IsNil)
	c.Assert(string(buffer[:n]), qt.Matches, `(?s)HTTP/1\.1 503 .*`)
	close(resume)
	c.Assert(readAll(t, stream), qt.Equals, string(chunk(1))+string(done))
	c.Assert(g.Drain(t.Context()), qt.IsNil)
	c.Assert(g.Shutdown(t.Context()), qt.IsNil)
}

// lateListener reports its end only once it is released, as on a busy host.
type lateListener struct {
	net.Listener
	released chan struct{}
}

func (l lateListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.released
	}
	return conn, err
}

// Guards against a shutdown that fails because Serve has not returned yet when the last
// connection is closed.
func TestShutdownWhileServeReturns(t *testing.T) {
	c := qt.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	listener := lateListener{inner, make(chan struct{})}
	g := New(testOptions(heldStream(nil)))
	served := make(chan error, 1)
	go func() { served <- g.Serve(listener) }()
	c.Assert(send(t, "GET", "http://"+inner.Addr().String()+pathReady, "").StatusCode, qt.Equals, 200)
	c.Check(g.Drain(t.Context()), qt.IsNil)
	// Server.Close waits until Serve has returned.
	time.AfterFunc(50*time.Millisecond, func() { close(listener.released) })
	c.Check(g.Shutdown(t.Context()), qt.IsNil)
	c.Assert(<-served, qt.IsNil)
}

// Guards against a slow caller that never releases the memory acquired for its body, and
// against a body that is accepted while the memory for bodies is in use.
func TestSlowBody(t *testing.T) {
	c := qt.New(t)
	opts := testOptions(streamTokens(1))
	opts.BodyTimeout = 20 * time.Millisecond
	g, url := serveLoopback(t, opts)
	slow, stop := io.Pipe()
	defer func() { _ = stop.Close() }()
	req, err := http.NewRequestWithContext(t.Context(), "POST", url+pathChat, slow)
	c.Assert(err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := http.DefaultClient.Do(req)
	c.Assert(err, qt.IsNil)
	defer func() { _ = resp.Body.Close() }()
	assertNotRun(c, resp, 400, verdict.CodeBadRequest)
	c.Assert(g.bodyMemory.TryAcquire(g.opts.BodyMemory), qt.IsTrue)
	full := send(t, "POST", url+pathChat, chatBody)
	assertNotRun(c, full, 503, verdict.CodeOverloaded)
}

// Guards against a context that ends before the dispatcher has enforced the deadline
// and found out the outcomes of its attempts.
func TestContextOutlivesDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		g := New(testOptions(func(ctx context.Context, call *dispatch.Call, _ dispatch.Sink) dispatch.Outcome {
			<-ctx.Done()
			qt.Check(t, call.Deadline.Sub(started), qt.Equals, 100*time.Millisecond)
			return failed(verdict.Unknown, verdict.CodeDeadlineExceeded, "late")
		}))
		req, _ := http.NewRequest("POST", pathChat, strings.NewReader(chatBody))
		req.Header.Set("Authorization", "Bearer "+testKey)
		req.Header.Set(headerTimeout, "100")
		w := &discardWriter{header: http.Header{}}
		g.ServeHTTP(w, req)
		qt.Assert(t, time.Since(started), qt.Equals, 100*time.Millisecond+deadlineGrace)
		qt.Assert(t, w.status, qt.Equals, 504)
	})
}

// Guards against responses that the OpenAI client library cannot parse.
func TestOpenAIClient(t *testing.T) {
	c := qt.New(t)
	var do switchableDispatcher
	_, url := serveLoopback(t, testOptions(do.run))
	client := openai.NewClient(option.WithBaseURL(url+"/v1"), option.WithAPIKey(testKey), option.WithMaxRetries(0))
	params := openai.ChatCompletionNewParams{
		Model: "small", MaxCompletionTokens: openai.Int(16),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.SystemMessage("be brief"), openai.UserMessage("hello")},
	}
	do.set(streamTokens(3))
	stream := client.Chat.Completions.NewStreaming(t.Context(), params)
	text := ""
	for stream.Next() {
		text += stream.Current().Choices[0].Delta.Content
	}
	c.Assert(stream.Err(), qt.IsNil)
	c.Assert(text, qt.Equals, "t0 t1 t2 ")

	do.set(func(_ context.Context, _ *dispatch.Call, s dispatch.Sink) dispatch.Outcome {
		_ = s.Head(200, eventStreamHead)
		_ = s.Data(1, chunk(1))
		return failed(verdict.Ran, verdict.CodeServerLost, "the server was lost")
	})
	stream = client.Chat.Completions.NewStreaming(t.Context(), params)
	c.Assert(stream.Next(), qt.IsTrue)
	c.Assert(stream.Next(), qt.IsFalse)
	c.Assert(stream.Err(), qt.ErrorMatches, "(?s).*the server was lost.*")

	do.set(func(_ context.Context, _ *dispatch.Call, s dispatch.Sink) dispatch.Outcome {
		_ = s.Head(200, []wire.Header{{Name: "Content-Type", Value: "application/json"}})
		_ = s.Data(1, []byte(`{"id":"c","object":"chat.completion","choices":[{"index":0,"message":{"role":"assistant","content":"hi"}}]}`))
		return ranOutcome
	})
	completion, err := client.Chat.Completions.New(t.Context(), params)
	c.Assert(err, qt.IsNil)
	c.Assert(completion.Choices[0].Message.Content, qt.Equals, "hi")
	models, err := client.Models.List(t.Context())
	c.Assert(err, qt.IsNil)
	c.Assert(models.Data[0].ID, qt.Equals, "small")
	_, err = client.Models.Get(t.Context(), "small")
	c.Assert(err, qt.IsNil)

	do.set(func(context.Context, *dispatch.Call, dispatch.Sink) dispatch.Outcome {
		return failed(verdict.NotRun, verdict.CodeBudgetExhausted, "the budget is spent")
	})
	_, err = client.Chat.Completions.New(t.Context(), params)
	var apiErr *openai.Error
	c.Assert(err, qt.ErrorAs, &apiErr)
	c.Assert([]any{apiErr.StatusCode, apiErr.Message, apiErr.Code, apiErr.Type}, qt.DeepEquals,
		[]any{402, "the budget is spent", "budget-exhausted", "insufficient_quota"})
}
