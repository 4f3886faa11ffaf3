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

// The server must receive the request unchanged, except that the API key is removed and
// the workspace of that key replaces one that the caller claims.
func TestRequestForwardedUnchanged(t *testing.T) {
	f := newFixture(t, respondOK)
	got := f.request("POST", "/unsafe/a%2Fb//c/?q=1&q=%20", "Workspace", "forged", "X-Own", "kept")
	f.c.Assert(got.status, qt.Equals, 200)
	f.c.Assert(got.body, qt.Equals, "fine")
	f.c.Assert(got.header.Get("Stamp"), qt.Equals, "s")
	r := f.servers[0].received()[0]
	f.c.Assert(r.RequestURI, qt.Equals, "/unsafe/a%2Fb//c/?q=1&q=%20")
	f.c.Assert(r.Method, qt.Equals, "POST")
	f.c.Assert(r.Host, qt.Equals, "h")
	f.c.Assert(f.servers[0].bodies[0], qt.Equals, "the body")
	f.c.Assert(r.Header.Get("X-Own"), qt.Equals, "kept")
	f.c.Assert(r.Header.Get("Key"), qt.Equals, "")
	f.c.Assert(r.Header.Get("Workspace"), qt.Equals, "ws")
	f.c.Assert(r.Header.Get("Instance"), qt.Equals, "svcs0")
	left, err := time.ParseDuration(r.Header.Get("Left"))
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(left > 400*time.Millisecond && left <= 600*time.Millisecond, qt.IsTrue)
}

// Requests must be refused if no route matches or the key is unknown. Without a
// configuration the gate must answer 503, not 401 or 404.
func TestRoutesAndKeysEnforced(t *testing.T) {
	f := newFixture(t, respondOK)
	f.c.Assert(f.request("GET", "/nowhere/").status, qt.Equals, 404)
	f.c.Assert(f.request("GET", "/safe").status, qt.Equals, 404)
	f.c.Assert(f.request("GET", "/safe/", "Key", "wrong").status, qt.Equals, 401)
	f.c.Assert(f.request("GET", "/open/", "Key", "").status, qt.Equals, 200)
	f.gate.SetCatalog(testCatalog(2, testRoutes()[1:]))
	f.c.Assert(f.request("GET", "/safe/").status, qt.Equals, 404)
	f.gate.SetCatalog(nil)
	got := f.request("GET", "/safe/", "Key", "wrong")
	f.c.Assert(got.status, qt.Equals, 503)
	f.c.Assert(got.header.Get("Retry-After"), qt.Equals, "0.500")
}

// A request that is not idempotent must not be sent again after its connection
// broke. net/http's transport does that by itself for some methods on reused
// connections.
func TestNonIdempotentRunsOnce(t *testing.T) {
	keepThenReset := func(n int, r *http.Request, conn net.Conn) bool {
		if n == 0 {
			return respond(conn, r, 200, "first")
		}
		return resetConn(n, r, conn)
	}
	for _, method := range []string{"GET", "POST", "PUT", "DELETE"} {
		f := newFixture(t, keepThenReset, respondOK)
		f.c.Assert(f.request(method, "/unsafe/").status, qt.Equals, 200)
		got := f.request(method, "/unsafe/")
		f.c.Assert(got.status, qt.Equals, 502)
		f.c.Assert(f.servers[0].received(), qt.HasLen, 2)
		f.c.Assert(f.servers[1].received(), qt.HasLen, 0)
	}
}

// An idempotent request must be retried on another server after a connection reset.
func TestIdempotentRetriedAfterConnectionLoss(t *testing.T) {
	f := newFixture(t, resetConn, respondOK)
	f.c.Assert(f.request("POST", "/safe/").status, qt.Equals, 200)
	f.c.Assert(f.servers[1].received(), qt.HasLen, 1)
}

// A request that a server refused must be retried on another server, but not beyond
// the route's MaxAttempts.
func TestRefusedRetriedOnAnotherServer(t *testing.T) {
	f := newFixture(t, shed, respondOK)
	f.c.Assert(f.request("POST", "/unsafe/").status, qt.Equals, 200)
	single := newFixture(t, shed, respondOK)
	got := single.request("POST", "/unsafe/once/")
	single.c.Assert(got.status, qt.Equals, 503)
	single.c.Assert(got.header.Get("Retry-After"), qt.Not(qt.Equals), "")
	single.c.Assert(single.servers[1].received(), qt.HasLen, 0)
}

// A status that implies that the request did not run must not reach the caller if
// the server did not confirm it.
func TestUnconfirmedRefusalStatus(t *testing.T) {
	for _, status := range []int{503, 429, 408} {
		f := newFixture(t, func(_ int, r *http.Request, conn net.Conn) bool { return respond(conn, r, status, "") })
		f.c.Assert(f.request("POST", "/unsafe/").status, qt.Equals, 502)
	}
}

// Responses to other requests, and responses that are truncated or not the server's
// own, must not reach the caller.
func TestInvalidResponsesRejected(t *testing.T) {
	scripts := map[string]script{
		"truncated": func(_ int, r *http.Request, conn net.Conn) bool {
			writeRaw(conn, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\nStamp: s\r\nContent-Length: 100\r\n\r\nhalf")
			return false
		},
		"not stamped": func(_ int, r *http.Request, conn net.Conn) bool {
			return writeRaw(conn, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\nContent-Length: 2\r\n\r\nno")
		},
		"encoded": func(_ int, r *http.Request, conn net.Conn) bool {
			return respond(conn, r, 200, "zz", "Content-Encoding: gzip")
		},
		"not HTTP":              func(_ int, _ *http.Request, conn net.Conn) bool { return writeRaw(conn, "garbage\r\n\r\n") },
		"only mismatched":       func(_ int, _ *http.Request, conn net.Conn) bool { return writeRaw(conn, otherResponse) && false },
		"mismatched, no length": func(_ int, _ *http.Request, conn net.Conn) bool { writeRaw(conn, otherResponseNoLength); return false },
	}
	for name, s := range scripts {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, s)
			got := f.request("POST", "/unsafe/")
			f.c.Assert(got.status >= 502, qt.IsTrue, qt.Commentf("%d %q", got.status, got.body))
			f.c.Assert(got.header.Get("Stamp"), qt.Equals, "")
		})
	}
}

const (
	otherResponse         = "HTTP/1.1 200 OK\r\nId: other\r\nStamp: s\r\nContent-Length: 5\r\n\r\nother"
	otherResponseNoLength = "HTTP/1.1 200 OK\r\nId: other\r\nStamp: s\r\n\r\nother"
)

// A response to an earlier request on the connection must be skipped; the request's
// own response follows it.
func TestMismatchedResponseSkipped(t *testing.T) {
	f := newFixture(t, func(_ int, r *http.Request, conn net.Conn) bool {
		return writeRaw(conn, otherResponse) && respond(conn, r, 200, "mine")
	})
	got := f.request("POST", "/unsafe/")
	f.c.Assert(got.status, qt.Equals, 200)
	f.c.Assert(got.body, qt.Equals, "mine")
}

// Extra bytes after a response must not be taken for the response to the next
// request.
func TestExtraBytesCloseConnection(t *testing.T) {
	f := newFixture(t, func(n int, r *http.Request, conn net.Conn) bool {
		return respond(conn, r, 200, "own") && writeRaw(conn, "HTTP/1.1 200 OK\r\nId: id-1\r\nStamp: s\r\nContent-Length: 5\r\n\r\nextra")
	})
	for range 3 {
		f.c.Assert(f.request("POST", "/unsafe/").body, qt.Equals, "own")
		time.Sleep(20 * time.Millisecond)
	}
}

// A 421 response means that another server has the address: the request was not run
// and must be retried, and the server must not be used again.
func TestMisdirectedRetried(t *testing.T) {
	f := newFixture(t, func(_ int, r *http.Request, conn net.Conn) bool {
		return writeRaw(conn, "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n")
	}, respondOK)
	f.c.Assert(f.request("POST", "/unsafe/").status, qt.Equals, 200)
	f.c.Assert(f.request("POST", "/unsafe/").status, qt.Equals, 200)
	f.c.Assert(f.servers[0].received(), qt.HasLen, 1)
}

// The gate must respond after the route's timeout, even if the caller would wait
// longer, and must not claim that the request did not run.
func TestRouteTimeout(t *testing.T) {
	unresponsive := func(_ int, r *http.Request, conn net.Conn) bool { time.Sleep(5 * time.Second); return false }
	f := newFixture(t, unresponsive)
	got := f.request("POST", "/unsafe/", "Deadline", "5s")
	f.c.Assert(got.status, qt.Equals, 504)
	f.c.Assert(got.elapsed < 900*time.Millisecond, qt.IsTrue, qt.Commentf("%v", got.elapsed))
}

// An idempotent request must not wait for an unresponsive server until its
// deadline.
func TestUnresponsiveServerTimedOut(t *testing.T) {
	unresponsive := func(_ int, r *http.Request, conn net.Conn) bool { time.Sleep(5 * time.Second); return false }
	f := newFixture(t, unresponsive, respondOK)
	got := f.request("GET", "/safe/")
	f.c.Assert(got.status, qt.Equals, 200)
	f.c.Assert(got.elapsed < 550*time.Millisecond, qt.IsTrue)
}

// When the caller disconnects, the gate must close the connection to the server, so
// that the server stops working on the request.
func TestCallerDisconnect(t *testing.T) {
	closed := make(chan struct{})
	f := newFixture(t, func(_ int, _ *http.Request, conn net.Conn) bool {
		_, err := conn.Read(make([]byte, 1))
		if err == io.EOF || err != nil {
			close(closed)
		}
		return false
	})
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, "POST", f.url+"/stream/", nil)
	f.c.Assert(err, qt.IsNil)
	r.Host = "h"
	r.Header.Set("Id", "id-1")
	r.Header.Set("Key", "k")
	r.Header.Set("Tokens", "50")
	_, err = f.client.Do(r)
	f.c.Assert(err, qt.IsNotNil)
	select {
	case <-closed:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the connection to the server is still open 0.5 s after the caller disconnected")
	}
}

// A request that is charged to an exhausted quota must not reach a server.
func TestExhaustedQuota(t *testing.T) {
	f := newFixture(t, respondOK)
	f.reserver.refuse = verdict.New(verdict.NotRun, verdict.CodeBudgetExhausted, "spent")
	f.c.Assert(f.request("POST", "/stream/").status, qt.Equals, 402)
	f.c.Assert(f.request("POST", "/unsafe/").status, qt.Equals, 200) // consumes no tokens
	f.c.Assert(f.servers[0].received(), qt.HasLen, 1)
}

// A body over the configured limit must be refused and not reach a server.
func TestBodyTooLarge(t *testing.T) {
	f := newFixture(t, respondOK)
	r, err := http.NewRequest("POST", f.url+"/unsafe/", strings.NewReader(strings.Repeat("x", 2<<20)))
	f.c.Assert(err, qt.IsNil)
	r.Host = "h"
	r.Header.Set("Id", "id-1")
	r.Header.Set("Key", "k")
	response, err := f.client.Do(r)
	if err == nil { // the gate may close the connection before the caller has sent the body
		f.c.Assert(response.StatusCode, qt.Equals, 413)
		_ = response.Body.Close()
	}
	f.c.Assert(f.servers[0].received(), qt.HasLen, 0)
}

// Retries must stay within the retry budget, so that they cannot multiply an
// overload.
func TestRetryBudget(t *testing.T) {
	f := newFixture(t, shed, shed, shed)
	for range 60 {
		f.request("GET", "/safe/")
	}
	total := 0
	for _, s := range f.servers {
		total += len(s.received())
	}
	f.c.Assert(total <= 60+30, qt.IsTrue, qt.Commentf("%d attempts for 60 requests", total))
}

// A drain must not interrupt requests in progress.
func TestGracefulShutdown(t *testing.T) {
	started := make(chan struct{})
	f := newFixture(t, func(_ int, r *http.Request, conn net.Conn) bool {
		close(started)
		time.Sleep(300 * time.Millisecond)
		return respond(conn, r, 200, "fine")
	})
	results := make(chan callResult, 1)
	go func() { results <- f.request("POST", "/unsafe/") }()
	<-started
	f.gate.Drain(time.Now().Add(time.Hour))
	f.c.Assert(f.frontend.StopAccepting(), qt.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	f.c.Assert(f.frontend.Shutdown(ctx), qt.IsNil)
	f.c.Assert((<-results).body, qt.Equals, "fine")
}

// A request must not be sent on a connection that the server has closed: its
// outcome would be unknown.
func TestClosedIdleConnectionNotReused(t *testing.T) {
	f := newFixture(t, func(_ int, r *http.Request, conn net.Conn) bool {
		respond(conn, r, 200, "fine")
		return false
	})
	for range 3 {
		f.c.Assert(f.request("POST", "/unsafe/").status, qt.Equals, 200)
		time.Sleep(20 * time.Millisecond)
	}
}

// A request must not be sent to the same server twice.
func TestServerAttemptedOnce(t *testing.T) {
	f := newFixture(t, shed)
	f.c.Assert(f.request("POST", "/unsafe/").status, qt.Equals, 503)
	f.c.Assert(f.servers[0].received(), qt.HasLen, 1)
}

// A request that did not run must cost nothing. Otherwise the prompt must be
// charged once, whatever the number of attempts, and the output at most up to the
// reservation.
func TestConsumedTokens(t *testing.T) {
	c := qt.New(t)
	service := &catalog.Service{Engine: &catalog.Engine{MaxTokensPerEvent: 6}}
	for _, test := range []struct {
		mayHaveRun   bool
		attemptsSent int
		events       int
		want         int64
	}{
		{false, 2, 0, 0}, {true, 1, 0, 100}, {true, 2, 3, 118}, {true, 1, 20, 150},
	} {
		p := &proxyRequest{service: service, mayHaveRun: test.mayHaveRun, attemptsSent: test.attemptsSent}
		p.requestInfo.PromptTokens, p.requestInfo.MaxOutputTokens = 100, 50
		p.stream.eventCount = test.events
		c.Assert(p.consumedTokens(), qt.Equals, test.want)
	}
}
