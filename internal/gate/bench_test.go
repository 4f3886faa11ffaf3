package gate

import (
	"fmt"
	"net"
	"net/http"
	"testing"
)

// BenchmarkStream measures a streamed request for several numbers of events. The
// times include the work of the test's caller and backend server for each event.
func BenchmarkStream(b *testing.B) {
	for _, n := range []int{1, 100, 1000} {
		b.Run(fmt.Sprintf("events=%d", n), func(b *testing.B) {
			f := newFixture(b, func(_ int, r *http.Request, conn net.Conn) bool {
				return writeEventStreamHeader(conn, r) && writeEvents(conn, 1, n) && writeRaw(conn, "0\r\n\r\n")
			})
			for b.Loop() {
				if got := f.request("POST", "/stream/", "Tokens", "1000"); got.err != nil {
					b.Fatal(got.err)
				}
			}
		})
	}
}

// BenchmarkPlain measures a request to a plain service.
func BenchmarkPlain(b *testing.B) {
	f := newFixture(b, respondOK)
	for b.Loop() {
		if got := f.request("POST", "/unsafe/"); got.status != 200 {
			b.Fatal(got.status)
		}
	}
}
