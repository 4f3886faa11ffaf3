package gate

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// writeEvents sends the events from first to last in one chunk each.
func writeEvents(conn net.Conn, first, last int) bool {
	for id := first; id <= last; id++ {
		if !writeChunk(conn, formatEvent(id)) {
			return false
		}
	}
	return true
}

func formatEvents(first, last int) string {
	var b strings.Builder
	for id := first; id <= last; id++ {
		b.WriteString(formatEvent(id))
	}
	return b.String()
}

// Events must reach the caller complete, unchanged and in order.
func TestStreamRelayed(t *testing.T) {
	f := newFixture(t, func(_ int, r *http.Request, conn net.Conn) bool {
		return writeEventStreamHeader(conn, r) && writeEvents(conn, 1, 5) && writeRaw(conn, "0\r\n\r\n")
	})
	for range 3 {
		got := f.request("POST", "/stream/")
		f.c.Assert(got.err, qt.IsNil)
		f.c.Assert(got.body, qt.Equals, formatEvents(1, 5))
	}
}

// A stream that breaks on a route that is not resumable must be aborted after the
// last complete event: the caller must not take it for a complete response.
func TestBrokenStreamAborted(t *testing.T) {
	f := newFixture(t, func(n int, r *http.Request, conn net.Conn) bool {
		writeEventStreamHeader(conn, r)
		writeEvents(conn, 1, 2)
		writeChunk(conn, "id: 3\nda")
		return false
	}, respondOK)
	got := f.request("POST", "/stream/")
	f.c.Assert(got.err, qt.IsNotNil)
	f.c.Assert(got.body, qt.Equals, formatEvents(1, 2))
	f.c.Assert(f.servers[1].received(), qt.HasLen, 0)
}

// A broken stream on a resumable route continues on another server, and the caller
// receives each event exactly once.
func TestStreamResumed(t *testing.T) {
	breakStream := func(n int, r *http.Request, conn net.Conn) bool {
		writeEventStreamHeader(conn, r)
		writeEvents(conn, 1, 3)
		writeChunk(conn, "id: 4\nda")
		return false
	}
	resume := func(n int, r *http.Request, conn net.Conn) bool {
		var last int
		if _, err := fmt.Sscan(r.Header.Get("Last-Event"), &last); err != nil {
			return false
		}
		return writeEventStreamHeader(conn, r) && writeEvents(conn, last+1, 7) && writeRaw(conn, "0\r\n\r\n")
	}
	f := newFixture(t, breakStream, resume)
	got := f.request("POST", "/resume/")
	f.c.Assert(f.servers[0].received(), qt.HasLen, 1)
	f.c.Assert(got.err, qt.IsNil)
	f.c.Assert(got.body, qt.Equals, formatEvents(1, 7))
}

// If the second server skips an event, the stream must be aborted; if it repeats
// events, they must not be delivered twice.
func TestResumeGapAborted(t *testing.T) {
	breakStream := func(n int, r *http.Request, conn net.Conn) bool {
		writeEventStreamHeader(conn, r)
		writeEvents(conn, 1, 3)
		return false
	}
	for name, first := range map[string]int{"gap": 6, "repeated": 2} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, breakStream, func(n int, r *http.Request, conn net.Conn) bool {
				return writeEventStreamHeader(conn, r) && writeEvents(conn, first, 7) && writeRaw(conn, "0\r\n\r\n")
			})
			got := f.request("POST", "/resume/")
			if name == "gap" {
				f.c.Assert(got.err, qt.IsNotNil)
				f.c.Assert(got.body, qt.Equals, formatEvents(1, 3))
				return
			}
			f.c.Assert(got.body, qt.Equals, formatEvents(1, 7))
		})
	}
}

// A stream whose server stops sending events must be resumed on another server
// before its deadline.
func TestStalledStreamResumed(t *testing.T) {
	f := newFixture(t, func(n int, r *http.Request, conn net.Conn) bool {
		writeEventStreamHeader(conn, r)
		writeEvents(conn, 1, 2)
		time.Sleep(3 * time.Second)
		return false
	}, func(n int, r *http.Request, conn net.Conn) bool {
		return writeEventStreamHeader(conn, r) && writeEvents(conn, 3, 4) && writeRaw(conn, "0\r\n\r\n")
	})
	got := f.request("POST", "/resume/")
	f.c.Assert(got.err, qt.IsNil)
	f.c.Assert(got.body, qt.Equals, formatEvents(1, 4))
	f.c.Assert(got.elapsed < time.Second, qt.IsTrue)
}

// For any input, completeEventsLen returns 0 or the length of a prefix that ends with
// an empty line, and scanEvents does not panic on that prefix.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: x\n\nid: 2\n"))
	f.Add([]byte("\r\n\r\n\n\nid:\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		n := completeEventsLen(b)
		if n < 0 || n > len(b) {
			t.Fatalf("length %d of %d bytes", n, len(b))
		}
		if n > 0 && !bytes.HasSuffix(b[:n], []byte("\n\n")) && !bytes.HasSuffix(b[:n], []byte("\r\n\r\n")) {
			t.Fatalf("%q does not end with an empty line", b[:n])
		}
		scanEvents(b[:n])
	})
}
