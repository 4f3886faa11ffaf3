package gate

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a caller that reads nothing and holds the memory of a large answer for ever.
func TestUnreadAnswerFreesMemory(t *testing.T) {
	large := strings.Repeat("x", 5<<20)
	for _, path := range []string{"/unsafe/", "/safe/"} {
		status := 200
		if path == "/safe/" {
			status = 500 // relayed after the last attempt
		}
		f := newFixture(t, func(_ int, r *http.Request, conn net.Conn) bool { return respond(conn, r, status, large) })
		f.gate.memory.limit = 64 << 20
		caller := f.dialRaw()
		defer func() { _ = caller.Close() }()
		f.c.Assert(caller.Conn.(*net.TCPConn).SetReadBuffer(4<<10), qt.IsNil)
		writeRaw(caller, "POST "+path+" HTTP/1.1\r\nHost: h\r\nId: a\r\nKey: k\r\nContent-Length: 0\r\n\r\n")
		started := time.Now()
		for f.gate.InProgress() == 0 || f.gate.memory.used.Load() == 0 {
			time.Sleep(time.Millisecond)
			f.c.Assert(time.Since(started) < 2*time.Second, qt.IsTrue, qt.Commentf("%s: %s", path, f.logged))
		}
		for f.gate.InProgress() > 0 && time.Since(started) < 600*time.Millisecond+writeMargin+time.Second {
			time.Sleep(time.Millisecond)
		}
		f.c.Check(f.gate.InProgress(), qt.Equals, 0)
		f.c.Check(f.gate.memory.used.Load(), qt.Equals, int64(0))
		f.c.Check(f.logged.String(), qt.Contains, "write_ms=")
	}
}

// Guards against losing the answer to a request that ran when the memory for bodies is used up, and against
// relaying one as whole that breaks off.
func TestAnswersWithoutMemory(t *testing.T) {
	large := strings.Repeat("0123456789abcdef", 200<<10)
	whole := func(_ int, r *http.Request, conn net.Conn) bool { return respond(conn, r, 200, large) }
	cutOff := func(_ int, r *http.Request, conn net.Conn) bool {
		writeRaw(conn, fmt.Sprintf("HTTP/1.1 200 X\r\nId: %s\r\nStamp: s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("Id"), len(large)+1, large))
		return false
	}
	for name, test := range map[string]struct {
		script script
		limit  int64
		cut    bool
	}{
		"length": {whole, 1 << 20, false}, "no memory at all": {whole, 0, false},
		"cut off": {cutOff, 1 << 20, true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, test.script)
			f.gate.memory.limit = test.limit
			got := f.request("POST", "/unsafe/", "Deadline", "500ms")
			f.c.Check(got.status, qt.Equals, 200)
			f.c.Check(got.err != nil, qt.Equals, test.cut)
			f.c.Check(got.body == large || test.cut, qt.IsTrue)
			for start := time.Now(); f.gate.InProgress() > 0 && time.Since(start) < time.Second; {
				time.Sleep(time.Millisecond)
			}
			f.c.Check(f.gate.memory.used.Load(), qt.Equals, int64(0))
		})
	}
}
