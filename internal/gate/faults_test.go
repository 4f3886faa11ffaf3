package gate

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonworks/monsoonworks/internal/fleet"
)

// A second copy of a response that arrives late, on a connection that is in use again, must not
// be taken for the response to the next request, whether or not it has an ID.
func TestLateSecondCopy(t *testing.T) {
	const refusal = "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	for name, test := range map[string]struct {
		copyOf, first string
		pause         time.Duration
	}{
		"response, in use":      {copyOf: "HTTP/1.1 200 OK\r\nId: id-1\r\nStamp: s\r\nContent-Length: 3\r\n\r\nold"},
		"response, idle":        {copyOf: "HTTP/1.1 200 OK\r\nId: id-1\r\nStamp: s\r\nContent-Length: 3\r\n\r\nold", pause: 30 * time.Millisecond},
		"refusal without ID":    {copyOf: refusal},
		"refusal with ID":       {copyOf: strings.Replace(refusal, "Not", "Id: id-1\r\nNot", 1)},
		"misdirected":           {copyOf: "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n"},
		"after refusal, no ID":  {first: refusal, copyOf: refusal},
		"response without ID":   {copyOf: "HTTP/1.1 200 OK\r\nStamp: s\r\nContent-Length: 3\r\n\r\nold"},
		"after refusal with ID": {first: strings.Replace(refusal, "Not", "Id: id-1\r\nNot", 1), copyOf: strings.Replace(refusal, "Not", "Id: id-1\r\nNot", 1)},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, func(n int, r *http.Request, conn net.Conn) bool {
				if n > 0 {
					return writeRaw(conn, test.copyOf) && respond(conn, r, 200, "own")
				}
				ok := test.first != "" && writeRaw(conn, test.first) || test.first == "" && respond(conn, r, 200, "own")
				if test.pause > 0 {
					writeRaw(conn, test.copyOf)
				}
				return ok
			}, respondOK)
			// Only the first server is used until the second request has been sent.
			f.table.Apply([]fleet.Entry{{ID: "svcs0", Service: "svc", Address: f.servers[0].listener.Addr().String(), Domain: "d0", Slots: 4, Revision: 2}})
			first := f.request("POST", "/unsafe/", "Id", "id-1")
			f.c.Assert(first.status == 200 || test.first != "" && first.status == 503, qt.IsTrue)
			time.Sleep(test.pause)
			got := f.request("POST", "/unsafe/", "Id", "id-2")
			f.c.Assert(f.servers[0].received(), qt.HasLen, 2)
			if test.pause > 0 || strings.HasSuffix(name, "no ID") {
				return // on a new connection, where a second copy of an earlier response cannot arrive
			}
			f.c.Assert(got.status, qt.Equals, 200)
			f.c.Assert(got.body, qt.Equals, "own")
		})
	}
}

// A planned stop under load must not end a request without a response once it was accepted: on
// a new connection, or passed on to a server.
func TestPlannedStopUnderLoad(t *testing.T) {
	f := newFixture(t, func(_ int, r *http.Request, conn net.Conn) bool {
		time.Sleep(5 * time.Millisecond)
		return respond(conn, r, 200, "fine")
	})
	var mu sync.Mutex
	failed := map[string]error{} // by request ID
	var callers sync.WaitGroup
	// deregistered ends new connections, as a load balancer does, stopped the rest.
	deregistered, stopped := make(chan struct{}), make(chan struct{})
	call := func(client *http.Client, id string) bool {
		r, err := http.NewRequest("POST", f.url+"/unsafe/", strings.NewReader("b"))
		if err != nil {
			return false
		}
		r.Host, r.Header = "h", http.Header{"Id": {id}, "Key": {"k"}}
		response, err := client.Do(r)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		if err != nil {
			mu.Lock()
			failed[id] = err
			mu.Unlock()
		}
		return err == nil
	}
	for n := range 40 {
		callers.Go(func() {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: n%2 == 0}}
			kind, end := "kept", stopped
			if n%2 == 0 {
				kind, end = "new", deregistered
			}
			for i := 0; ; i++ {
				select {
				case <-end:
					return
				default:
				}
				if id := fmt.Sprintf("%s-%d-%d", kind, n, i); !call(client, id) {
					return
				}
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	f.gate.Drain(time.Now().Add(time.Hour))
	time.Sleep(50 * time.Millisecond)
	close(deregistered)
	f.c.Assert(f.frontend.StopAccepting(), qt.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	f.c.Assert(f.frontend.Shutdown(ctx), qt.IsNil)
	close(stopped)
	callers.Wait()
	ran := map[string]bool{}
	for _, r := range f.servers[0].received() {
		ran[r.Header.Get("Id")] = true
	}
	f.c.Assert(len(ran) > 200, qt.IsTrue, qt.Commentf("%d requests", len(ran)))
	for id, err := range failed {
		if ran[id] {
			t.Errorf("%s ran and got no response: %v", id, err)
		}
		if strings.HasPrefix(id, "new") {
			t.Errorf("%s was accepted and got no response: %v", id, err)
		}
	}
}

// A request that arrives during a planned stop, on a connection that was accepted before or in
// two parts, must get its response. http.Server.Shutdown drops both.
func TestRequestDuringStop(t *testing.T) {
	f := newFixture(t, respondOK)
	const request = "POST /unsafe/ HTTP/1.1\r\nHost: h\r\nId: a\r\nKey: k\r\nContent-Length: 0\r\n\r\n"
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", f.frontend.listener.Addr().String())
		f.c.Assert(err, qt.IsNil)
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		return conn
	}
	assertOK := func(conn net.Conn) {
		t.Helper()
		buffer := make([]byte, 4096)
		n, err := conn.Read(buffer)
		f.c.Assert(err, qt.IsNil)
		f.c.Assert(string(buffer[:n]), qt.Matches, `(?s)HTTP/1\.1 200 .*`)
	}
	kept, idle, opened, parts := dial(), dial(), dial(), dial()
	for _, conn := range []net.Conn{kept, idle} {
		writeRaw(conn, request)
		assertOK(conn)
	}
	writeRaw(parts, request[:20])
	writeRaw(kept, request[:20])
	time.Sleep(50 * time.Millisecond)
	f.gate.Drain(time.Now().Add(time.Hour))
	f.c.Assert(f.frontend.StopAccepting(), qt.IsNil)
	shutdown := make(chan error, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	go func() { shutdown <- f.frontend.Shutdown(ctx) }()
	_, err := idle.Read(make([]byte, 1))
	f.c.Assert(err, qt.Equals, io.EOF)
	time.Sleep(100 * time.Millisecond)
	writeRaw(opened, request)
	assertOK(opened)
	writeRaw(parts, request[20:])
	assertOK(parts)
	writeRaw(kept, request[20:])
	assertOK(kept)
	f.c.Assert(<-shutdown, qt.IsNil)
}

// trickle sends a part of a stream every 30 ms until the connection is closed.
func trickle(conn net.Conn, part string) bool {
	for writeChunk(conn, part) {
		time.Sleep(30 * time.Millisecond)
	}
	return false
}

func resumeStream(_ int, r *http.Request, conn net.Conn) bool {
	last := 0
	if text := r.Header.Get("Last-Event"); text != "" {
		if _, err := fmt.Sscan(text, &last); err != nil {
			return false
		}
	}
	return writeEventStreamHeader(conn, r) && writeEvents(conn, last+1, 5) && writeRaw(conn, "0\r\n\r\n")
}

// Guards against relaying a response as whole whose server stopped within its head, or before the end of its
// body, wherever it was cut off.
func TestResponseCutAnywhereIsNotRelayed(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: id-1\r\nStamp: s\r\n"
	for name, test := range map[string]struct{ path, response string }{
		"length":         {"/unsafe/", head + "Content-Length: 12\r\n\r\ntwelve bytes"},
		"chunks":         {"/unsafe/", head + "Transfer-Encoding: chunked\r\n\r\n6\r\ntwelve\r\n6\r\n bytes\r\n0\r\n\r\n"},
		"stream":         {"/stream/", head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n11\r\nid: 1\ndata: e1\n\n\r\n0\r\n\r\n"},
		"unmarked":       {"/unsafe/", head + "Connection: close\r\n"},
		"after a notice": {"/unsafe/", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + head},
	} {
		t.Run(name, func(t *testing.T) {
			for _, end := range []script{closeConn, resetConn} {
				f := newFixture(t, func(n int, r *http.Request, conn net.Conn) bool {
					writeRaw(conn, test.response[:n])
					return end(n, r, conn)
				})
				for n := range test.response {
					got := f.request("POST", test.path)
					whole := got.err == nil && got.status < 300
					f.c.Assert(whole, qt.IsFalse, qt.Commentf("cut after %d bytes: status %d, body %q", n, got.status, got.body))
				}
			}
		})
	}
}

// Guards against requests that a stopping gate accepts late, passes on and cuts off at the end of its
// drain, and against refusing those that are answered before.
func TestLateRequestsOfDrainRefused(t *testing.T) {
	f := newFixture(t, respondOK)
	f.c.Assert(f.request("POST", "/unsafe/").status, qt.Equals, 200)
	f.gate.Drain(time.Now().Add(900 * time.Millisecond))
	early := f.request("POST", "/unsafe/", "Deadline", "2s")
	f.c.Assert(early.status, qt.Equals, 200)
	time.Sleep(400 * time.Millisecond)
	for _, path := range []string{"/unsafe/", "/safe/", "/stream/"} {
		late := f.request("POST", path, "Deadline", "2s")
		f.c.Check(late.status, qt.Equals, 503, qt.Commentf("%s", path))
		f.c.Check(late.body, qt.Equals, "draining (not-run)\n")
		f.c.Check(late.header.Get("Retry-After"), qt.Equals, "0.010")
	}
	f.c.Assert(f.servers[0].received(), qt.HasLen, 2)
	f.c.Assert(f.request("POST", "/unsafe/", "Deadline", "200ms").status, qt.Equals, 200)
}

// A stalled stream that sends a byte or a comment now and then must be moved to another server
// if it can be resumed, and end at its deadline otherwise.
func TestTricklingStreamEnds(t *testing.T) {
	for name, part := range map[string]string{"bytes": "x", "comments": ": wait\n\n", "lines": "data: x\n"} {
		t.Run(name, func(t *testing.T) {
			stalled := func(_ int, r *http.Request, conn net.Conn) bool {
				return writeEventStreamHeader(conn, r) && writeEvents(conn, 1, 2) && trickle(conn, part)
			}
			f := newFixture(t, stalled, resumeStream)
			got := f.request("POST", "/resume/")
			f.c.Assert(got.err, qt.IsNil)
			events := strings.ReplaceAll(got.body, ": wait\n\n", "")
			f.c.Assert(events, qt.Equals, formatEvents(1, 5))
			f.c.Assert(got.elapsed < time.Second, qt.IsTrue, qt.Commentf("%v", got.elapsed))
			got = f.request("POST", "/stream/")
			f.c.Assert(got.err, qt.IsNotNil)
			f.c.Assert(got.elapsed < 2500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", got.elapsed))
		})
	}
}

// A stream that is slow but sends whole events must not be cut or moved: events every 200 ms,
// where the route aims at 100 ms and a stall is three times that.
func TestSlowStreamNotCut(t *testing.T) {
	slow := func(_ int, r *http.Request, conn net.Conn) bool {
		writeEventStreamHeader(conn, r)
		for id := 1; id <= 7; id++ {
			time.Sleep(200 * time.Millisecond)
			text := formatEvent(id)
			// A part of the event early, the rest late.
			if !writeChunk(conn, text[:4]) {
				return false
			}
			time.Sleep(20 * time.Millisecond)
			if !writeChunk(conn, text[4:]) {
				return false
			}
		}
		return writeRaw(conn, "0\r\n\r\n")
	}
	for _, path := range []string{"/stream/", "/resume/"} {
		f := newFixture(t, slow, resetConn)
		got := f.request("POST", path)
		f.c.Assert(got.err, qt.IsNil, qt.Commentf("%s", path))
		f.c.Assert(got.body, qt.Equals, formatEvents(1, 7))
		f.c.Assert(f.servers[1].received(), qt.HasLen, 0)
	}
}

// If the response to work that ran is lost, the request must not run again and its caller must
// not be told that it did not run.
func TestLostResponseOfWorkThatRan(t *testing.T) {
	for name, lost := range map[string]script{
		"closed": func(int, *http.Request, net.Conn) bool { return false },
		"reset":  resetConn,
		"silent": func(int, *http.Request, net.Conn) bool { time.Sleep(3 * time.Second); return false },
		"part of head": func(_ int, _ *http.Request, conn net.Conn) bool {
			writeRaw(conn, "HTTP/1.1 503 X\r\nNot-R")
			return false
		},
		"informational": func(_ int, _ *http.Request, conn net.Conn) bool {
			writeRaw(conn, "HTTP/1.1 100 X\r\n\r\n")
			return false
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, lost, respondOK)
			for _, path := range []string{"/unsafe/", "/stream/"} {
				got := f.request("POST", path, "Deadline", "500ms")
				f.c.Assert(got.status == 502 || got.status == 504, qt.IsTrue, qt.Commentf("%s: %d", path, got.status))
				f.c.Assert(got.body, qt.Contains, "unknown")
			}
			f.c.Assert(len(f.servers[0].received())+len(f.servers[1].received()), qt.Equals, 2)
		})
	}
}

// A malformed request must be refused or its connection closed, and others must be served
// meanwhile and afterwards.
func TestMalformedRequests(t *testing.T) {
	f := newFixture(t, respondOK)
	for name, text := range map[string]string{
		"garbage":         strings.Repeat("\x00\xff", 1000),
		"long line":       "GET /" + strings.Repeat("a", 64<<10),
		"many headers":    "GET /safe/ HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("A: b\r\n", 16<<10),
		"two lengths":     "POST /safe/ HTTP/1.1\r\nHost: h\r\nKey: k\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
		"no ID":           "GET /safe/ HTTP/1.1\r\nHost: h\r\nKey: k\r\n\r\n",
		"length and both": "POST /safe/ HTTP/1.1\r\nHost: h\r\nId: id-1\r\nKey: k\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"negative length": "POST /safe/ HTTP/1.1\r\nHost: h\r\nKey: k\r\nContent-Length: -5\r\n\r\n",
		"bad chunk":       "POST /unsafe/ HTTP/1.1\r\nHost: h\r\nKey: k\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
		"endless ext":     "POST /unsafe/ HTTP/1.1\r\nHost: h\r\nKey: k\r\nTransfer-Encoding: chunked\r\n\r\n1;" + strings.Repeat("x", 64<<10),
		"bad deadline":    "GET /safe/ HTTP/1.1\r\nHost: h\r\nKey: k\r\nDeadline: soon\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			conn, err := net.Dial("tcp", f.frontend.listener.Addr().String())
			c.Assert(err, qt.IsNil)
			defer func() { _ = conn.Close() }()
			_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
			writeRaw(conn, text)
			buffer := make([]byte, 64)
			n, err := conn.Read(buffer)
			if err == nil {
				want := `(?s)HTTP/1\.1 4.*`
				if name == "length and both" {
					want = `(?s)HTTP/1\.1 200 .*` // forwarded with the length of the chunks
				}
				c.Assert(string(buffer[:n]), qt.Matches, want)
			}
			c.Assert(f.request("POST", "/safe/").status, qt.Equals, 200)
		})
	}
	for _, r := range f.servers[0].received() {
		f.c.Assert(r.Header.Get("Id"), qt.Equals, "id-1")
	}
}

// A server whose entry lapses while it works, because it is silent or slow to report, must
// finish its work: the request must not be started again elsewhere or given up.
func TestSilentServerKeepsItsWork(t *testing.T) {
	started := make(chan struct{}, 2)
	work := func(_ int, r *http.Request, conn net.Conn) bool {
		started <- struct{}{}
		time.Sleep(300 * time.Millisecond)
		if strings.HasPrefix(r.URL.Path, "/resume/") {
			return resumeStream(0, r, conn)
		}
		return respond(conn, r, 200, "done")
	}
	f := newFixture(t, work, respondOK)
	for path, want := range map[string]string{"/unsafe/": "done", "/resume/": formatEvents(1, 5)} {
		results := make(chan callResult, 1)
		go func() { results <- f.request("POST", path) }()
		<-started
		// Both entries of the working server lapse; the other server stays.
		other := f.servers[1].listener.Addr().String()
		f.table.Apply([]fleet.Entry{
			{ID: "svcs1", Service: "svc", Address: other, Domain: "d1", Slots: 4, Revision: 1},
			{ID: "llms1", Service: "llm", Address: other, Domain: "d1", Slots: 4, Revision: 1},
		})
		got := <-results
		f.c.Assert(got.err, qt.IsNil)
		f.c.Assert(got.body, qt.Equals, want)
		f.c.Assert(f.servers[1].received(), qt.HasLen, 0)
		working := f.servers[0].listener.Addr().String()
		f.table.Apply([]fleet.Entry{
			{ID: "svcs0", Service: "svc", Address: working, Domain: "d0", Slots: 4, Revision: 3},
			{ID: "llms0", Service: "llm", Address: working, Domain: "d0", Slots: 4, Revision: 3},
			{ID: "svcs1", Service: "svc", Address: other, Domain: "d1", Slots: 4, Revision: 1},
			{ID: "llms1", Service: "llm", Address: other, Domain: "d1", Slots: 4, Revision: 1},
		})
	}
}
