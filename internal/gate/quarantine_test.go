package gate

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonworks/monsoonworks/internal/suspect"
)

// crash ends a connection as a server does that has crashed: its listener is closed first.
func (f *fixture) crash(server int, conn net.Conn) bool {
	_ = f.servers[server].listener.Close()
	return resetConn(0, nil, conn)
}

// reportedCrashes waits until n crashes have been reported.
func (f *fixture) reportedCrashes(n int) []suspect.Crash {
	f.c.Helper()
	deadline := time.Now().Add(3 * time.Second)
	for {
		f.quarantine.mu.Lock()
		crashes := append([]suspect.Crash(nil), f.quarantine.crashes...)
		f.quarantine.mu.Unlock()
		if len(crashes) >= n || time.Now().After(deadline) {
			f.c.Assert(crashes, qt.HasLen, n)
			return crashes
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Guards against a request that crashes a server and is then sent to the next one, whatever marks the
// end of its response, and whether its connection is reset or closed.
func TestCrashingRequestNotSentOn(t *testing.T) {
	for _, writeHeader := range []func(net.Conn, *http.Request) bool{writeEventStreamHeader, writeUnframedHeader} {
		for _, end := range []script{resetConn, closeConn} {
			testCrashingRequest(t, writeHeader, end)
		}
	}
}

// closeConn closes the connection on every request.
func closeConn(int, *http.Request, net.Conn) bool { return false }

func testCrashingRequest(t *testing.T, writeHeader func(net.Conn, *http.Request) bool, end script) {
	var f *fixture
	f = newFixture(t, func(n int, r *http.Request, conn net.Conn) bool {
		writeHeader(conn, r)
		time.Sleep(20 * time.Millisecond)
		_ = f.servers[0].listener.Close()
		return end(n, r, conn)
	}, resumeStream)
	f.quarantine.suspected = []uint64{partID("b")}
	got := f.request("POST", "/resume/", "Parts", "a,b,own")
	f.c.Assert(got.status, qt.Equals, 502)
	f.c.Assert(got.body, qt.Contains, "unknown")
	f.c.Assert(f.servers[1].received(), qt.HasLen, 0)
	crashes := f.reportedCrashes(1)
	f.c.Assert(crashes[0].ID, qt.Equals, "llms0@0")
	f.c.Assert(crashes[0].Candidates, qt.HasLen, 1)
	f.c.Assert(crashes[0].Candidates[0].Begun, qt.IsTrue)
	f.c.Assert(crashes[0].Candidates[0].Fingerprints, qt.HasLen, 3)
	f.c.Assert(crashes[0].Candidates[0].Fingerprints[:2], qt.DeepEquals, []uint64{partID("a"), partID("b")})
}

// Guards against taking a request that only waited at a crashing server for the cause, and against
// giving it up.
func TestWaitingRequestSentOn(t *testing.T) {
	var f *fixture
	f = newFixture(t, func(_ int, _ *http.Request, conn net.Conn) bool { return f.crash(0, conn) }, resumeStream)
	got := f.request("POST", "/resume/", "Parts", "a,own")
	f.c.Assert(got.err, qt.IsNil)
	f.c.Assert(got.body, qt.Equals, formatEvents(1, 5))
	f.c.Assert(f.reportedCrashes(1)[0].Candidates[0].Begun, qt.IsFalse)
	f.quarantine.mu.Lock()
	defer f.quarantine.mu.Unlock()
	f.c.Assert(f.quarantine.sound, qt.HasLen, 1)
	f.c.Assert(f.quarantine.sound[0][0], qt.Equals, partID("a"))
}

// Guards against sending on a request that was in progress at an earlier crash and crashes a server again,
// before its answer or after the first event.
func TestRepeatedCrashingRequestNotSentOn(t *testing.T) {
	for name, writeAnswer := range map[string]func(net.Conn, *http.Request){
		"before the answer": func(net.Conn, *http.Request) {},
		"after an event": func(conn net.Conn, r *http.Request) {
			writeEventStreamHeader(conn, r)
			writeEvents(conn, 1, 1)
		},
	} {
		var f *fixture
		var poison atomic.Bool
		f = newFixture(t, func(n int, r *http.Request, conn net.Conn) bool {
			if !poison.Load() {
				return resumeStream(n, r, conn)
			}
			writeAnswer(conn, r)
			time.Sleep(20 * time.Millisecond)
			return f.crash(0, conn)
		}, resumeStream)
		whole := f.fingerprintsOf("/resume/", "a,b,own")[2]
		f.quarantine.suspected = []uint64{whole}
		poison.Store(true)
		f.request("POST", "/resume/", "Parts", "a,b,own")
		f.c.Check(f.servers[1].received(), qt.HasLen, 0, qt.Commentf("%s", name))
		f.reportedCrashes(1)
	}
}

// Guards against missing a crash by a request whose answer had sent its first event, and against taking
// that event as proof that the request is sound. It also shows that the stream goes on elsewhere.
func TestCrashAfterFirstEventReported(t *testing.T) {
	for name, test := range map[string]struct {
		writeHead  func(net.Conn, *http.Request) bool
		writeEvent func(net.Conn, string) bool
		end        script
	}{
		"reset": {writeEventStreamHeader, writeChunk, resetConn}, "closed": {writeEventStreamHeader, writeChunk, closeConn},
		"end not marked": {writeUnframedHeader, writeRaw, closeConn},
	} {
		t.Run(name, func(t *testing.T) {
			var f *fixture
			f = newFixture(t, func(n int, r *http.Request, conn net.Conn) bool {
				test.writeHead(conn, r)
				test.writeEvent(conn, formatEvent(1))
				time.Sleep(20 * time.Millisecond)
				_ = f.servers[0].listener.Close()
				return test.end(n, r, conn)
			}, resumeStream)
			got := f.request("POST", "/resume/", "Parts", "a,b,own")
			f.c.Assert(got.err, qt.IsNil)
			if name == "end not marked" {
				f.c.Assert(got.body, qt.Equals, formatEvents(1, 1))
			} else {
				f.c.Assert(got.body, qt.Equals, formatEvents(1, 5))
			}
			crash := f.reportedCrashes(1)[0]
			f.c.Assert(crash.Candidates, qt.HasLen, 1)
			f.c.Assert(crash.Candidates[0].Begun, qt.IsFalse)
			f.c.Assert(crash.Candidates[0].Answering, qt.IsTrue)
			f.c.Assert(crash.Candidates[0].Fingerprints[:2], qt.DeepEquals, []uint64{partID("a"), partID("b")})
			f.quarantine.mu.Lock()
			defer f.quarantine.mu.Unlock()
			// Only the second server has answered, where there was one.
			f.c.Assert(f.quarantine.sound, qt.HasLen, len(f.servers[1].received()))
		})
	}
}

// Guards against sound requests that are never reported as such, however their answers end.
func TestSoundRequestsReported(t *testing.T) {
	unmarked := func(_ int, r *http.Request, conn net.Conn) bool {
		writeUnframedHeader(conn, r)
		writeRaw(conn, formatEvents(1, 2))
		return false
	}
	unending := func(_ int, r *http.Request, conn net.Conn) bool {
		writeEventStreamHeader(conn, r)
		for id := 1; writeChunk(conn, formatEvent(id)); id++ {
			time.Sleep(50 * time.Millisecond)
		}
		return false
	}
	for name, s := range map[string]script{"whole": resumeStream, "end not marked": unmarked, "beyond the beginning": unending} {
		f := newFixture(t, s)
		f.request("POST", "/resume/", "Parts", "a,own", "Deadline", "900ms")
		deadline := time.Now().Add(2 * time.Second)
		sound := 0
		for ; sound == 0 && time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
			f.quarantine.mu.Lock()
			sound = len(f.quarantine.sound)
			f.quarantine.mu.Unlock()
		}
		f.c.Check(sound, qt.Equals, 1, qt.Commentf("%s", name))
	}
}

// Guards against counting a broken connection of a living server, or a stream beyond its beginning, as a
// crash that the request caused.
func TestBrokenConnectionIsNoCrash(t *testing.T) {
	f := newFixture(t, resetConn, resumeStream)
	f.c.Assert(f.request("POST", "/resume/").err, qt.IsNil)
	var g *fixture
	g = newFixture(t, func(_ int, r *http.Request, conn net.Conn) bool {
		writeEventStreamHeader(conn, r)
		for id := range 4 {
			writeEvents(conn, id+1, id+1)
			time.Sleep(answerBeginning/4 + 10*time.Millisecond)
		}
		return g.crash(0, conn)
	}, resumeStream)
	got := g.request("POST", "/resume/")
	g.c.Assert(got.err, qt.IsNil)
	g.c.Assert(got.body, qt.Equals, formatEvents(1, 5))
	time.Sleep(100 * time.Millisecond)
	f.reportedCrashes(0)
	g.reportedCrashes(0)
}

// Guards against sending a request that is blocked, whole or by a part of its prompt, and against
// blocking it by its last part, which is its own.
func TestQuarantinedRequestRefused(t *testing.T) {
	f := newFixture(t, respondOK)
	for name, blocked := range map[string]uint64{
		"first part": partID("a"), "second part": partID("b"),
		"whole request": f.fingerprintsOf("/safe/", "a,b,own")[2],
	} {
		f.quarantine.blocked = []uint64{blocked}
		got := f.request("POST", "/safe/", "Parts", "a,b,own")
		f.c.Assert(got.status, qt.Equals, 503, qt.Commentf("%s", name))
		f.c.Assert(got.body, qt.Equals, "quarantined (not-run)\n")
		f.c.Assert(got.header.Get("Retry-After"), qt.Equals, "1.000")
	}
	f.c.Assert(f.servers[0].received(), qt.HasLen, 0)
	f.quarantine.blocked = []uint64{partID("own")}
	f.c.Assert(f.request("POST", "/safe/", "Parts", "a,b,own").status, qt.Equals, 200)
	f.c.Assert(f.request("POST", "/safe/", "Parts", "a,b").status, qt.Equals, 200)
}

// Guards against giving up a request whose server crashed for the first time, which may be for another
// reason, and against missing the crash because the server ends its connections first.
func TestRequestOfFirstCrashSentOn(t *testing.T) {
	var f *fixture
	f = newFixture(t, func(_ int, r *http.Request, conn net.Conn) bool {
		writeEventStreamHeader(conn, r)
		time.Sleep(20 * time.Millisecond)
		time.AfterFunc(20*time.Millisecond, func() { _ = f.servers[0].listener.Close() })
		return resetConn(0, r, conn)
	}, resumeStream)
	got := f.request("POST", "/resume/", "Parts", "a,own")
	f.c.Assert(got.err, qt.IsNil)
	f.c.Assert(got.body, qt.Equals, formatEvents(1, 5))
	f.c.Assert(f.reportedCrashes(1)[0].Candidates[0].Begun, qt.IsTrue)
}
