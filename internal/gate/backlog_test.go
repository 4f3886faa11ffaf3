package gate

import (
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a stop that resets connections in the backlog because room for them came late.
func TestBacklogServedAfterRoom(t *testing.T) {
	f := newFixture(t, func(n int, r *http.Request, conn net.Conn) bool {
		if n <= 1 {
			time.Sleep(400 * time.Millisecond)
		}
		return respondOK(n, r, conn)
	})
	f.frontend.SetMaxConns(1)
	const head = " HTTP/1.1\r\nHost: h\r\nId: a\r\nKey: k\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	first := f.dialRaw()
	writeRaw(first, "POST /unsafe/"+head)
	for f.gate.InProgress() == 0 {
		time.Sleep(time.Millisecond)
	}
	second := f.dialRaw()
	writeRaw(second, "POST /unsafe/"+head)
	time.Sleep(150 * time.Millisecond)
	f.gate.Drain(time.Now().Add(2 * time.Second))
	f.c.Check(f.frontend.StopAccepting(), qt.IsNil)
	response, err := http.ReadResponse(first.reader, nil)
	f.c.Check(err, qt.IsNil)
	f.c.Check(response.StatusCode, qt.Equals, 200)
	_, err = http.ReadResponse(second.reader, nil)
	f.c.Check(err, qt.IsNil)
}
