package graceful

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// wrapListener wraps accepted connections for a Conns.
type wrapListener struct{ net.Listener }

func (l wrapListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: conn}, nil
}

// A drain must close idle connections at once, answer requests that arrive meanwhile, and
// give up silent new connections after a while.
func TestDrain(t *testing.T) {
	c := qt.New(t)
	conns := NewConns()
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Connection", "close") }),
		ConnState: func(conn net.Conn, state http.ConnState) {
			conns.SetState(conn.(*Conn), state) // all connections come from wrapListener
		},
		ReadHeaderTimeout: time.Minute,
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	go func() { _ = server.Serve(wrapListener{listener}) }()
	defer func() { _ = server.Close() }()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", listener.Addr().String())
		c.Assert(err, qt.IsNil)
		_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
		return conn
	}
	silent, late := dial(), dial()
	time.Sleep(50 * time.Millisecond)
	c.Assert(listener.Close(), qt.IsNil)
	drained := make(chan error, 1)
	started := time.Now()
	go func() { drained <- conns.Drain(t.Context()) }()
	time.Sleep(50 * time.Millisecond)
	_, err = io.WriteString(late, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	c.Assert(err, qt.IsNil)
	response, err := io.ReadAll(late)
	c.Assert(err, qt.IsNil)
	c.Assert(string(response), qt.Matches, `(?s)HTTP/1\.1 200 .*`)
	_, err = io.ReadAll(silent)
	c.Assert(err, qt.IsNil)
	c.Assert(<-drained, qt.IsNil)
	c.Assert(time.Since(started) < firstRequestTime+time.Second, qt.IsTrue)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	c.Assert(conns.Drain(ctx), qt.IsNil)
}
