package gate

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a caller that reads nothing and holds the memory of a large answer for ever.
func TestUnreadAnswerFreesMemory(t *testing.T) {
	large := strings.Repeat("x", 12<<20)
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
		writeRaw(caller, "POST "+path+" HTTP/1.1\r\nHost: h\r\nId: a\r\nKey: k\r\nDeadline: 400ms\r\nContent-Length: 0\r\n\r\n")
		started := time.Now()
		for f.gate.InProgress() == 0 || f.gate.memory.used.Load() == 0 {
			time.Sleep(time.Millisecond)
			f.c.Assert(time.Since(started) < 2*time.Second, qt.IsTrue, qt.Commentf("%s: %s", path, f.logged))
		}
		for f.gate.InProgress() > 0 && time.Since(started) < 400*time.Millisecond+writeMargin+time.Second {
			time.Sleep(time.Millisecond)
		}
		f.c.Check(f.gate.InProgress(), qt.Equals, 0)
		f.c.Check(f.gate.memory.used.Load(), qt.Equals, int64(0))
		f.c.Check(f.logged.String(), qt.Contains, "write_ms=")
	}
}
