package gate

import (
	"fmt"
	"net"
	"net/http"
	"testing"
)

// BenchmarkStream measures a streamed request by its number of events; the slope is
// the time of an event, caller and server of the test included.
func BenchmarkStream(b *testing.B) {
	for _, n := range []int{1, 100, 1000} {
		b.Run(fmt.Sprintf("events=%d", n), func(b *testing.B) {
			w := newWorld(b, func(_ int, r *http.Request, conn net.Conn) bool {
				return streamHead(conn, r) && events(conn, 1, n) && raw(conn, "0\r\n\r\n")
			})
			for b.Loop() {
				if got := w.do("POST", "/stream/"); got.err != nil {
					b.Fatal(got.err)
				}
			}
		})
	}
}

// BenchmarkPlain measures a plain request.
func BenchmarkPlain(b *testing.B) {
	w := newWorld(b, ok)
	for b.Loop() {
		if got := w.do("POST", "/unsafe/"); got.status != 200 {
			b.Fatal(got.status)
		}
	}
}
