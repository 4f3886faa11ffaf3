package gate

import (
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A stream whose server falls silent for a moment must be complete even if the next server answers
// with an error, and the error must not reach its caller.
func TestSilentStreamOutlivesError(t *testing.T) {
	silent := func(_ int, r *http.Request, conn net.Conn) bool {
		writeEventStreamHeader(conn, r)
		writeEvents(conn, 1, 3)
		time.Sleep(600 * time.Millisecond)
		return writeEvents(conn, 4, 6) && writeRaw(conn, "0\r\n\r\n")
	}
	for name, second := range map[string]script{
		"500":           respondWith(500, stampedHead, "failed\n\n", withLength),
		"404 in chunks": respondWith(404, stampedHead, "failed\n\n", inChunks),
		"503 until end": respondWith(503, "Id: ID\r\nNot-Run: 1\r\n", "busy\n\n", untilClose),
		"text":          respondWith(200, stampedHead+"Content-Type: text/plain\r\n", "failed\n\n", withLength),
		"head":          respondWith(200, streamHead, errorText, inChunks),
		"gap":           respondWith(200, streamHead, formatEvents(5, 6), inChunks),
		"comment":       respondWith(200, streamHead, ": wait\n\n", untilClose),
		"empty":         respondWith(200, streamHead, "", untilReset),
		"reset":         resetConn,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, silent, second)
			got := f.request("POST", "/resume/")
			f.c.Check(got.err, qt.IsNil)
			want := formatEvents(1, 6)
			if name == "comment" {
				want = formatEvents(1, 3) + ": wait\n\n" + formatEvents(4, 6)
			}
			f.c.Check(got.body, qt.Equals, want)
			f.c.Check(len(f.servers[1].received()), qt.Equals, 1)
		})
	}
}
