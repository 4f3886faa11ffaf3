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

// events streams the events from first to last in one chunk each.
func events(conn net.Conn, first, last int) bool {
	for id := first; id <= last; id++ {
		if !chunk(conn, event(id)) {
			return false
		}
	}
	return true
}

func wanted(first, last int) string {
	var b strings.Builder
	for id := first; id <= last; id++ {
		b.WriteString(event(id))
	}
	return b.String()
}

// Guards against events that are held back, lost or changed.
func TestStreamIsRelayed(t *testing.T) {
	w := newWorld(t, func(_ int, r *http.Request, conn net.Conn) bool {
		return streamHead(conn, r) && events(conn, 1, 5) && raw(conn, "0\r\n\r\n")
	})
	for range 3 {
		got := w.do("POST", "/stream/")
		w.c.Assert(got.err, qt.IsNil)
		w.c.Assert(got.body, qt.Equals, wanted(1, 5))
	}
}

// Guards against a stream that breaks and looks complete, with half an event.
func TestBrokenStreamLooksBroken(t *testing.T) {
	w := newWorld(t, func(n int, r *http.Request, conn net.Conn) bool {
		streamHead(conn, r)
		events(conn, 1, 2)
		chunk(conn, "id: 3\nda")
		return false
	}, ok)
	got := w.do("POST", "/stream/")
	w.c.Assert(got.err, qt.IsNotNil)
	w.c.Assert(got.body, qt.Equals, wanted(1, 2))
	w.c.Assert(w.servers[1].ran(), qt.HasLen, 0)
}

// Guards against a resumed stream in which an event is missing or comes twice.
func TestStreamGoesOnElsewhere(t *testing.T) {
	breaks := func(n int, r *http.Request, conn net.Conn) bool {
		streamHead(conn, r)
		events(conn, 1, 3)
		chunk(conn, "id: 4\nda")
		return false
	}
	goesOn := func(n int, r *http.Request, conn net.Conn) bool {
		var last int
		if _, err := fmt.Sscan(r.Header.Get("Last-Event"), &last); err != nil {
			return false
		}
		return streamHead(conn, r) && events(conn, last+1, 7) && raw(conn, "0\r\n\r\n")
	}
	w := newWorld(t, breaks, goesOn)
	got := w.do("POST", "/resume/")
	w.c.Assert(w.servers[0].ran(), qt.HasLen, 1)
	w.c.Assert(got.err, qt.IsNil)
	w.c.Assert(got.body, qt.Equals, wanted(1, 7))
}

// Guards against a second server that begins at another event than the next one.
func TestGapEndsTheStream(t *testing.T) {
	breaks := func(n int, r *http.Request, conn net.Conn) bool {
		streamHead(conn, r)
		events(conn, 1, 3)
		return false
	}
	for name, first := range map[string]int{"gap": 6, "again": 2} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, breaks, func(n int, r *http.Request, conn net.Conn) bool {
				return streamHead(conn, r) && events(conn, first, 7) && raw(conn, "0\r\n\r\n")
			})
			got := w.do("POST", "/resume/")
			if name == "gap" {
				w.c.Assert(got.err, qt.IsNotNil)
				w.c.Assert(got.body, qt.Equals, wanted(1, 3))
				return
			}
			w.c.Assert(got.body, qt.Equals, wanted(1, 7))
		})
	}
}

// Guards against a stream that stalls at a silent server while another can go on.
func TestStalledStreamGoesOn(t *testing.T) {
	w := newWorld(t, func(n int, r *http.Request, conn net.Conn) bool {
		streamHead(conn, r)
		events(conn, 1, 2)
		time.Sleep(3 * time.Second)
		return false
	}, func(n int, r *http.Request, conn net.Conn) bool {
		return streamHead(conn, r) && events(conn, 3, 4) && raw(conn, "0\r\n\r\n")
	})
	got := w.do("POST", "/resume/")
	w.c.Assert(got.err, qt.IsNil)
	w.c.Assert(got.body, qt.Equals, wanted(1, 4))
	w.c.Assert(got.after < time.Second, qt.IsTrue)
}

// Whatever bytes come, whole events are a prefix that ends at an empty line, and
// scanning them never fails.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: x\n\nid: 2\n"))
	f.Add([]byte("\r\n\r\n\n\nid:\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		n := wholeEvents(b)
		if n < 0 || n > len(b) {
			t.Fatalf("%d of %d bytes", n, len(b))
		}
		if n > 0 && !bytes.HasSuffix(b[:n], []byte("\n\n")) && !bytes.HasSuffix(b[:n], []byte("\r\n\r\n")) {
			t.Fatalf("%q does not end an event", b[:n])
		}
		scanEvents(b[:n])
	})
}
