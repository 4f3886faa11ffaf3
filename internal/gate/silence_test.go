package gate

import (
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// silentStream sends two events, is silent for pause, and then completes the stream.
func silentStream(pause time.Duration) script {
	return func(_ int, r *http.Request, conn net.Conn) bool {
		if !writeEventStreamHeader(conn, r) || !writeEvents(conn, 1, 2) {
			return false
		}
		time.Sleep(pause)
		return writeEvents(conn, 3, 5) && writeRaw(conn, "0\r\n\r\n")
	}
}

// Guards against ending a sound stream because its server was silent for a while and no other server
// could continue it.
func TestSilentStreamNotLost(t *testing.T) {
	const pause = time.Second
	serverError := func(_ int, r *http.Request, conn net.Conn) bool { return respond(conn, r, 500, "broken") }
	for name, others := range map[string][]script{
		"no other server": nil,
		"others refuse":   {shed},
		"others reset":    {resetConn},
		"others fail":     {serverError},
		"others skip an event": {func(_ int, r *http.Request, conn net.Conn) bool {
			return writeEventStreamHeader(conn, r) && writeEvents(conn, 4, 5) && writeRaw(conn, "0\r\n\r\n")
		}},
		"others are silent": {func(int, *http.Request, net.Conn) bool { time.Sleep(3 * time.Second); return false }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, append([]script{silentStream(pause)}, others...)...)
			got := f.request("POST", "/resume/")
			f.c.Assert(got.err, qt.IsNil)
			f.c.Assert(got.body, qt.Equals, formatEvents(1, 5))
		})
	}
}

// Guards against refusing an idempotent request whose server was silent for a while, because no other
// server could take it.
func TestSilentServerNotGivenUp(t *testing.T) {
	slow := func(_ int, r *http.Request, conn net.Conn) bool {
		time.Sleep(450 * time.Millisecond)
		return respond(conn, r, 200, "late")
	}
	for name, others := range map[string][]script{"no other server": nil, "others refuse": {shed}, "others reset": {resetConn}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, append([]script{slow}, others...)...)
			got := f.request("POST", "/safe/")
			f.c.Assert(got.status, qt.Equals, 200)
			f.c.Assert(got.body, qt.Equals, "late")
		})
	}
}

// Guards against waiting for a second server while the first, which was silent for a while, goes on.
func TestSilentServerGoesOnFirst(t *testing.T) {
	slow := func(_ int, r *http.Request, conn net.Conn) bool {
		time.Sleep(1200 * time.Millisecond)
		return resumeStream(0, r, conn)
	}
	f := newFixture(t, silentStream(600*time.Millisecond), slow)
	got := f.request("POST", "/resume/")
	f.c.Assert(got.err, qt.IsNil)
	f.c.Assert(got.body, qt.Equals, formatEvents(1, 5))
	f.c.Assert(got.elapsed < time.Second, qt.IsTrue, qt.Commentf("%v", got.elapsed))
	f.c.Assert(f.servers[1].received(), qt.HasLen, 1)
}
