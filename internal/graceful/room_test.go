package graceful

import (
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against closing all idle connections to make room for one.
func TestMakeRoomClosesNoMoreThanNeeded(t *testing.T) {
	c := qt.New(t)
	const limit = 20
	conns := NewConns()
	all := make([]*Conn, limit)
	for i := range all {
		server, client := net.Pipe()
		defer client.Close()
		all[i] = &Conn{Conn: server}
		conns.SetState(all[i], http.StateIdle)
	}
	time.Sleep(20 * time.Millisecond)
	conns.MakeRoom(limit, 10*time.Millisecond)
	expired := 0
	for _, conn := range all {
		if conn.expired {
			expired++
		}
	}
	c.Check(expired <= 2, qt.IsTrue, qt.Commentf("%d of %d", expired, limit))
}
