package graceful

import (
	"net"
	"net/http"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against shrinking a send buffer that the kernel has made larger than may be set.
func TestSendBufferIsNeverShrunk(t *testing.T) {
	c := qt.New(t)
	const limit = 212992
	for current, want := range map[int]int{87040: limit, 2*limit - 1: limit, 2 * limit: 0, 2626560: 0} {
		c.Check(raisedSendBuffer(current, limit), qt.Equals, want, qt.Commentf("%d", current))
	}
	c.Check(raisedSendBuffer(2626560, 64<<20), qt.Equals, sendBufferBytes)
}

// Guards against a response whose rest does not fit into the send buffer at the end of a shutdown.
func TestRaiseSendBuffers(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	defer client.Close()
	server, err := listener.Accept()
	c.Assert(err, qt.IsNil)
	defer server.Close()
	conns, conn := NewConns(), &Conn{Conn: server}
	size := func() (n int) {
		raw, err := server.(*net.TCPConn).SyscallConn()
		c.Assert(err, qt.IsNil)
		var optionErr error
		err = raw.Control(func(fd uintptr) { n, optionErr = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF) })
		c.Assert(err, qt.IsNil)
		c.Assert(optionErr, qt.IsNil)
		return n
	}
	before := size()
	conns.SetState(conn, http.StateIdle)
	c.Assert(conns.RaiseSendBuffers(), qt.IsNil)
	c.Check(size(), qt.Equals, before)
	conns.SetState(conn, http.StateActive)
	c.Assert(conns.RaiseSendBuffers(), qt.IsNil)
	c.Check(size() >= max(before, 2*min(sendBufferBytes, sendBufferLimit())), qt.IsTrue, qt.Commentf("%d before, %d after", before, size()))
}
