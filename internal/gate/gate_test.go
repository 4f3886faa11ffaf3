package gate

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonworks/monsoonworks/internal/catalog"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
)

// Guards against a request that reaches the server changed, with the key, or with
// another workspace.
func TestForwardedExactly(t *testing.T) {
	w := newWorld(t, ok)
	got := w.do("POST", "/unsafe/a%2Fb//c/?q=1&q=%20", "Workspace", "forged", "X-Own", "kept")
	w.c.Assert(got.status, qt.Equals, 200)
	w.c.Assert(got.body, qt.Equals, "fine")
	w.c.Assert(got.header.Get("Stamp"), qt.Equals, "s")
	r := w.servers[0].ran()[0]
	w.c.Assert(r.RequestURI, qt.Equals, "/unsafe/a%2Fb//c/?q=1&q=%20")
	w.c.Assert(r.Method, qt.Equals, "POST")
	w.c.Assert(r.Host, qt.Equals, "h")
	w.c.Assert(w.servers[0].bodies[0], qt.Equals, "the body")
	w.c.Assert(r.Header.Get("X-Own"), qt.Equals, "kept")
	w.c.Assert(r.Header.Get("Key"), qt.Equals, "")
	w.c.Assert(r.Header.Get("Workspace"), qt.Equals, "ws")
	w.c.Assert(r.Header.Get("Instance"), qt.Equals, "svcs0")
	left, err := time.ParseDuration(r.Header.Get("Left"))
	w.c.Assert(err, qt.IsNil)
	w.c.Assert(left > 400*time.Millisecond && left <= 600*time.Millisecond, qt.IsTrue)
}

// Guards against answers that the configuration does not allow, and against 401 or
// 404 while none is known.
func TestConfigurationDecides(t *testing.T) {
	w := newWorld(t, ok)
	w.c.Assert(w.do("GET", "/nowhere/").status, qt.Equals, 404)
	w.c.Assert(w.do("GET", "/safe").status, qt.Equals, 404)
	w.c.Assert(w.do("GET", "/safe/", "Key", "wrong").status, qt.Equals, 401)
	w.c.Assert(w.do("GET", "/open/", "Key", "").status, qt.Equals, 200)
	w.gate.SetCatalog(testCatalog(2, testRoutes()[1:]))
	w.c.Assert(w.do("GET", "/safe/").status, qt.Equals, 404)
	w.gate.SetCatalog(nil)
	got := w.do("GET", "/safe/", "Key", "wrong")
	w.c.Assert(got.status, qt.Equals, 503)
	w.c.Assert(got.header.Get("Retry-After"), qt.Equals, "0.500")
}

// Guards against a request that runs twice because the HTTP library or the gate
// sends it again after a connection broke, whatever its method.
func TestNonIdempotentRunsOnce(t *testing.T) {
	keepThenReset := func(n int, r *http.Request, conn net.Conn) bool {
		if n == 0 {
			return answer(conn, r, 200, "first")
		}
		return reset(n, r, conn)
	}
	for _, method := range []string{"GET", "POST", "PUT", "DELETE"} {
		w := newWorld(t, keepThenReset, ok)
		w.c.Assert(w.do(method, "/unsafe/").status, qt.Equals, 200)
		got := w.do(method, "/unsafe/")
		w.c.Assert(got.status, qt.Equals, 502)
		w.c.Assert(w.servers[0].ran(), qt.HasLen, 2)
		w.c.Assert(w.servers[1].ran(), qt.HasLen, 0)
	}
}

// Guards against an idempotent request that fails although another server answers.
func TestIdempotentGoesToAnotherServer(t *testing.T) {
	w := newWorld(t, reset, ok)
	w.c.Assert(w.do("POST", "/safe/").status, qt.Equals, 200)
	w.c.Assert(w.servers[1].ran(), qt.HasLen, 1)
}

// Guards against a refused request that is not sent to the next server, and against
// more servers than the route allows.
func TestRefusedGoesToAnotherServer(t *testing.T) {
	w := newWorld(t, shed, ok)
	w.c.Assert(w.do("POST", "/unsafe/").status, qt.Equals, 200)
	got := newWorld(t, shed, ok)
	answer := got.do("POST", "/unsafe/once/")
	got.c.Assert(answer.status, qt.Equals, 503)
	got.c.Assert(answer.header.Get("Retry-After"), qt.Not(qt.Equals), "")
	got.c.Assert(got.servers[1].ran(), qt.HasLen, 0)
}

// Guards against a status that promises that a request did not run, when the
// server did not say so.
func TestPromiseNeedsTheServersWord(t *testing.T) {
	for _, status := range []int{503, 429, 408} {
		w := newWorld(t, func(_ int, r *http.Request, conn net.Conn) bool { return answer(conn, r, status, "") })
		w.c.Assert(w.do("POST", "/unsafe/").status, qt.Equals, 502)
	}
}

// Guards against bytes of another request, or that are no whole answer of the
// server, which reach a caller.
func TestForeignAndDamagedAnswers(t *testing.T) {
	scripts := map[string]script{
		"cut short": func(_ int, r *http.Request, conn net.Conn) bool {
			raw(conn, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\nStamp: s\r\nContent-Length: 100\r\n\r\nhalf")
			return false
		},
		"not stamped": func(_ int, r *http.Request, conn net.Conn) bool {
			return raw(conn, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\nContent-Length: 2\r\n\r\nno")
		},
		"encoded": func(_ int, r *http.Request, conn net.Conn) bool {
			return answer(conn, r, 200, "zz", "Content-Encoding: gzip")
		},
		"no answer":     func(_ int, _ *http.Request, conn net.Conn) bool { return raw(conn, "garbage\r\n\r\n") },
		"only foreign":  func(_ int, _ *http.Request, conn net.Conn) bool { return raw(conn, foreign) && false },
		"foreign, open": func(_ int, _ *http.Request, conn net.Conn) bool { raw(conn, foreignOpen); return false },
	}
	for name, s := range scripts {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, s)
			got := w.do("POST", "/unsafe/")
			w.c.Assert(got.status >= 502, qt.IsTrue, qt.Commentf("%d %q", got.status, got.body))
			w.c.Assert(got.header.Get("Stamp"), qt.Equals, "")
		})
	}
}

const (
	foreign     = "HTTP/1.1 200 OK\r\nId: other\r\nStamp: s\r\nContent-Length: 5\r\n\r\nother"
	foreignOpen = "HTTP/1.1 200 OK\r\nId: other\r\nStamp: s\r\n\r\nother"
)

// Guards against a late answer to another request that costs a request its own.
func TestLateAnswerIsSkipped(t *testing.T) {
	w := newWorld(t, func(_ int, r *http.Request, conn net.Conn) bool {
		return raw(conn, foreign) && answer(conn, r, 200, "mine")
	})
	got := w.do("POST", "/unsafe/")
	w.c.Assert(got.status, qt.Equals, 200)
	w.c.Assert(got.body, qt.Equals, "mine")
}

// Guards against extra bytes after an answer that become the next one's.
func TestExtraAnswerClosesTheConnection(t *testing.T) {
	w := newWorld(t, func(n int, r *http.Request, conn net.Conn) bool {
		return answer(conn, r, 200, "own") && raw(conn, "HTTP/1.1 200 OK\r\nId: id-1\r\nStamp: s\r\nContent-Length: 5\r\n\r\nextra")
	})
	for range 3 {
		w.c.Assert(w.do("POST", "/unsafe/").body, qt.Equals, "own")
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against an address that serves somebody else: the request was not run.
func TestMisdirected(t *testing.T) {
	w := newWorld(t, func(_ int, r *http.Request, conn net.Conn) bool {
		return raw(conn, "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n")
	}, ok)
	w.c.Assert(w.do("POST", "/unsafe/").status, qt.Equals, 200)
	w.c.Assert(w.do("POST", "/unsafe/").status, qt.Equals, 200)
	w.c.Assert(w.servers[0].ran(), qt.HasLen, 1)
}

// Guards against a caller that waits beyond the route's timeout, and against a
// promise that its request did not run.
func TestTimeoutIsAnsweredAtOnce(t *testing.T) {
	silent := func(_ int, r *http.Request, conn net.Conn) bool { time.Sleep(5 * time.Second); return false }
	w := newWorld(t, silent)
	got := w.do("POST", "/unsafe/", "Deadline", "5s")
	w.c.Assert(got.status, qt.Equals, 504)
	w.c.Assert(got.after < 900*time.Millisecond, qt.IsTrue, qt.Commentf("%v", got.after))
}

// Guards against a silent server that keeps an idempotent request until its end.
func TestSilentServerIsLeft(t *testing.T) {
	silent := func(_ int, r *http.Request, conn net.Conn) bool { time.Sleep(5 * time.Second); return false }
	w := newWorld(t, silent, ok)
	got := w.do("GET", "/safe/")
	w.c.Assert(got.status, qt.Equals, 200)
	w.c.Assert(got.after < 550*time.Millisecond, qt.IsTrue)
}

// Guards against a server that goes on working for a caller that has left.
func TestCallerLeaves(t *testing.T) {
	ended := make(chan struct{})
	w := newWorld(t, func(_ int, _ *http.Request, conn net.Conn) bool {
		_, err := conn.Read(make([]byte, 1))
		if err == io.EOF || err != nil {
			close(ended)
		}
		return false
	})
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, "POST", w.url+"/stream/", nil)
	w.c.Assert(err, qt.IsNil)
	r.Host = "h"
	r.Header.Set("Key", "k")
	r.Header.Set("Tokens", "1")
	_, err = w.client.Do(r)
	w.c.Assert(err, qt.IsNotNil)
	select {
	case <-ended:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the server still works 0.5 s after its caller left")
	}
}

// Guards against a budget that is spent and yet reaches a server.
func TestBudgetRefuses(t *testing.T) {
	w := newWorld(t, ok)
	w.budgets.refuse = verdict.New(verdict.NotRun, verdict.CodeBudgetExhausted, "spent")
	w.c.Assert(w.do("POST", "/stream/").status, qt.Equals, 402)
	w.c.Assert(w.do("POST", "/unsafe/").status, qt.Equals, 200) // consumes no tokens
	w.c.Assert(w.servers[0].ran(), qt.HasLen, 1)
}

// Guards against the body of a caller that is larger than the configuration allows.
func TestLargeBody(t *testing.T) {
	w := newWorld(t, ok)
	r, err := http.NewRequest("POST", w.url+"/unsafe/", strings.NewReader(strings.Repeat("x", 2<<20)))
	w.c.Assert(err, qt.IsNil)
	r.Host = "h"
	r.Header.Set("Key", "k")
	response, err := w.client.Do(r)
	if err == nil { // the gate may close before the caller has sent all
		w.c.Assert(response.StatusCode, qt.Equals, 413)
		_ = response.Body.Close()
	}
	w.c.Assert(w.servers[0].ran(), qt.HasLen, 0)
}

// Guards against retries that multiply an overload.
func TestRetriesAreBounded(t *testing.T) {
	w := newWorld(t, shed, shed, shed)
	for range 60 {
		w.do("GET", "/safe/")
	}
	total := 0
	for _, s := range w.servers {
		total += len(s.ran())
	}
	w.c.Assert(total <= 60+30, qt.IsTrue, qt.Commentf("%d arrivals for 60 requests", total))
}

// Guards against requests that a planned stop cuts off.
func TestShutdownCutsNothing(t *testing.T) {
	begun := make(chan struct{})
	w := newWorld(t, func(_ int, r *http.Request, conn net.Conn) bool {
		close(begun)
		time.Sleep(300 * time.Millisecond)
		return answer(conn, r, 200, "fine")
	})
	results := make(chan result, 1)
	go func() { results <- w.do("POST", "/unsafe/") }()
	<-begun
	w.gate.Drain()
	w.c.Assert(w.front.StopAccepting(), qt.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	w.c.Assert(w.front.Shutdown(ctx), qt.IsNil)
	w.c.Assert((<-results).body, qt.Equals, "fine")
}

// Guards against an order that is sent on a connection that its server has closed:
// its outcome would not be known.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	w := newWorld(t, func(_ int, r *http.Request, conn net.Conn) bool {
		answer(conn, r, 200, "fine")
		return false
	})
	for range 3 {
		w.c.Assert(w.do("POST", "/unsafe/").status, qt.Equals, 200)
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against a request that goes twice to the same server.
func TestServerIsTriedOnce(t *testing.T) {
	w := newWorld(t, shed)
	w.c.Assert(w.do("POST", "/unsafe/").status, qt.Equals, 503)
	w.c.Assert(w.servers[0].ran(), qt.HasLen, 1)
}

// Guards against a bill for a request that did not run, for a prompt more than once,
// or for more output than the request may have.
func TestUsedTokens(t *testing.T) {
	c := qt.New(t)
	service := &catalog.Service{Engine: &catalog.Engine{MaxTokensPerEvent: 6}}
	for _, test := range []struct {
		mayRan bool
		sent   int
		events int
		want   int64
	}{
		{false, 2, 0, 0}, {true, 1, 0, 100}, {true, 2, 3, 118}, {true, 1, 20, 150},
	} {
		x := &exchange{service: service, mayRan: test.mayRan, sent: test.sent}
		x.call.PromptTokens, x.call.MaxOutputTokens = 100, 50
		x.stream.delivered = test.events
		c.Assert(x.used(), qt.Equals, test.want)
	}
}
