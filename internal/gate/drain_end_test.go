package gate

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"github.com/monsoonworks/monsoonworks/internal/upstream"
)

const (
	// drainTime is the length of a short drain.
	drainTime = 500 * time.Millisecond
	// longDrainTime is that of a drain with the full time for the last answers.
	longDrainTime = 1600 * time.Millisecond
)

// drainWith begins a drain as soon as requests are in progress. It returns its end.
func (f *fixture) drainWith(requests int, length time.Duration) (ends time.Time) {
	for f.gate.InProgress() < requests {
		time.Sleep(time.Millisecond)
	}
	ends = time.Now().Add(length)
	f.gate.Drain(ends)
	go func() {
		ctx, cancel := context.WithDeadline(context.Background(), ends)
		defer cancel()
		_ = f.frontend.Shutdown(ctx)
	}()
	return ends
}

// silentDialer never connects.
type silentDialer struct{}

func (silentDialer) DialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// silent leaves requests without a response.
func silent(_ int, _ *http.Request, conn net.Conn) bool {
	_, _ = conn.Read(make([]byte, 1)) // until the gate closes the connection
	return false
}

// silentAfterHead sends only the header of an event stream.
func silentAfterHead(n int, r *http.Request, conn net.Conn) bool {
	return writeEventStreamHeader(conn, r) && silent(n, r, conn)
}

// Guards against connections closed without an answer at the end of a drain: a request that no server got
// must be refused, and one that may have run must be told so, without a further attempt.
func TestDrainEndIsAnswered(t *testing.T) {
	const refused, unknown = "draining (not-run)\n", "server-lost (unknown)\n"
	for name, test := range map[string]struct {
		path     string
		script   script
		setup    func(*fixture)
		status   int
		body     string
		received int
		drain    time.Duration // longDrainTime if 0
	}{
		"reservation":          {"/resume/", respondOK, func(f *fixture) { f.reserver.delay = time.Minute }, 503, refused, 0, 0},
		"connection":           {"/safe/", respondOK, func(f *fixture) { f.gate.opts.Pool = upstream.NewPool(silentDialer{}, metrics.NewRegistry()) }, 503, refused, 0, drainTime}, // opening connections is given up later
		"order":                {"/unsafe/", silent, nil, 502, unknown, 1, 0},
		"repeatable":           {"/safe/", silent, nil, 502, unknown, 2, 0},
		"stream":               {"/stream/", silent, nil, 502, unknown, 1, 0},
		"stream without event": {"/stream/", silentAfterHead, nil, 502, unknown, 1, 0},
		"resumable stream":     {"/resume/", silentAfterHead, nil, 502, unknown, 2, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, test.script, test.script)
			routes := testRoutes()
			for i := range routes {
				routes[i].Timeout = 2 * longDrainTime
			}
			f.gate.SetCatalog(testCatalog(2, routes))
			if test.setup != nil {
				test.setup(f)
			}
			results := make(chan callResult, 1)
			go func() { results <- f.request("POST", test.path) }()
			ends := f.drainWith(1, cmp.Or(test.drain, longDrainTime))
			got := <-results
			f.c.Assert(got.err, qt.IsNil)
			f.c.Check(time.Now().Before(ends), qt.IsTrue)
			f.c.Check(got.status, qt.Equals, test.status)
			f.c.Check(got.body, qt.Equals, test.body)
			if test.status == http.StatusServiceUnavailable {
				f.c.Check(got.header.Get("Retry-After"), qt.Equals, "0.010")
			}
			f.c.Check(len(f.servers[0].received())+len(f.servers[1].received()), qt.Equals, test.received)
		})
	}
}

// Guards against a body that is still arriving at the end of a drain and gets no answer.
func TestDrainEndsWithinBody(t *testing.T) {
	f := newFixture(t, respondOK)
	conn := f.dialRaw()
	writeRaw(conn, "POST /unsafe/ HTTP/1.1\r\nHost: h\r\nId: a\r\nKey: k\r\nContent-Length: 9\r\n\r\npart")
	f.drainWith(1, longDrainTime)
	response, err := http.ReadResponse(conn.reader, nil)
	f.c.Assert(err, qt.IsNil)
	body, err := io.ReadAll(response.Body)
	f.c.Assert(err, qt.IsNil)
	f.c.Check(response.StatusCode, qt.Equals, 503)
	f.c.Check(string(body), qt.Equals, "draining (not-run)\n")
	f.c.Check(f.servers[0].received(), qt.HasLen, 0)
}

// Guards against cutting a stream that has begun earlier than at the end of the drain.
func TestBegunStreamLastsUntilDrainEnds(t *testing.T) {
	for _, path := range []string{"/stream/", "/resume/"} {
		f := newFixture(t, func(_ int, r *http.Request, conn net.Conn) bool {
			ok := writeEventStreamHeader(conn, r)
			for id := 1; ok; id++ {
				ok = writeEvents(conn, id, id)
				time.Sleep(10 * time.Millisecond)
			}
			return false
		})
		results := make(chan time.Time, 1)
		go func() {
			_ = f.request("POST", path, "Tokens", "1000")
			results <- time.Now()
		}()
		for len(f.servers[0].received()) == 0 {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(100 * time.Millisecond)
		ends := f.drainWith(1, drainTime)
		ended := <-results
		f.c.Check(ended.After(ends.Add(-10*time.Millisecond)) && ended.Before(ends.Add(time.Second)), qt.IsTrue, qt.Commentf("%s: ended %v after the drain", path, ended.Sub(ends)))
	}
}

// Guards against accepting a stream in a drain that will be cut off at its end, and against refusing one
// that ends in time.
func TestDrainRefusesLongStreams(t *testing.T) {
	f := newFixture(t, func(_ int, r *http.Request, conn net.Conn) bool {
		ok := writeEventStreamHeader(conn, r)
		for id := 1; ok && id <= 10; id++ {
			time.Sleep(10 * time.Millisecond)
			ok = writeEvents(conn, id, id)
		}
		return ok && writeRaw(conn, "0\r\n\r\n")
	})
	const declared = "60" // tokens, of which an event holds up to 3
	for range 12 {
		f.c.Assert(f.request("POST", "/stream/", "Tokens", declared).err, qt.IsNil)
	}
	f.gate.Drain(time.Now().Add(1500 * time.Millisecond))
	f.c.Check(f.request("POST", "/stream/", "Tokens", declared).status, qt.Equals, 200)
	received := len(f.servers[0].received())
	long := f.request("POST", "/stream/", "Tokens", "1800")
	f.c.Check(long.status, qt.Equals, 503)
	f.c.Check(long.body, qt.Equals, "draining (not-run)\n")
	f.c.Check(f.request("POST", "/stream/", "Tokens", "1800", "Last-Event", "1").status, qt.Equals, 200)
	f.c.Check(f.servers[0].received(), qt.HasLen, received+1)
}
