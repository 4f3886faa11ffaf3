package graceful

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// drainFixture is an HTTP server whose connections a Conns follows. wrap is applied to each
// accepted connection below its Conn.
type drainFixture struct {
	c        *qt.C
	conns    *Conns
	listener net.Listener
	wrap     func(net.Conn) net.Conn
}

// Accept implements net.Listener.
func (f *drainFixture) Accept() (net.Conn, error) {
	conn, err := f.listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: f.wrap(conn)}, nil
}

// Close implements net.Listener.
func (f *drainFixture) Close() error { return f.listener.Close() }

// Addr implements net.Listener.
func (f *drainFixture) Addr() net.Addr { return f.listener.Addr() }

func newDrainFixture(t *testing.T, wrap func(net.Conn) net.Conn) *drainFixture {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	f := &drainFixture{c: c, conns: NewConns(), listener: listener, wrap: wrap}
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if _, err := io.Copy(w, r.Body); err != nil {
				panic(http.ErrAbortHandler)
			}
		}),
		ConnState:         func(conn net.Conn, state http.ConnState) { f.conns.SetState(conn.(*Conn), state) }, // from Accept
		ReadHeaderTimeout: time.Minute,
	}
	go func() { _ = server.Serve(f) }()
	t.Cleanup(func() { _ = server.Close() })
	return f
}

// caller is a kept connection to the fixture's server.
type caller struct {
	c *qt.C
	net.Conn
	reader *bufio.Reader
}

func (f *drainFixture) dial() *caller {
	conn, err := net.Dial("tcp", f.listener.Addr().String())
	f.c.Assert(err, qt.IsNil)
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	return &caller{c: f.c, Conn: conn, reader: bufio.NewReader(conn)}
}

const (
	requestStart = "POST / HTTP/1.1\r\nHost: h\r\nContent-Le"
	requestRest  = "ngth: 2\r\n\r\nok"
)

func (c *caller) send(text string) {
	c.c.Helper()
	_, err := io.WriteString(c, text)
	c.c.Assert(err, qt.IsNil)
}

// receive reads a response, which must be complete.
func (c *caller) receive() {
	c.c.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	c.c.Assert(err, qt.IsNil)
	body, err := io.ReadAll(response.Body)
	c.c.Assert(err, qt.IsNil)
	c.c.Assert(string(body), qt.Equals, "ok")
}

// A drain must not cut off a request that arrives in parts on a connection which was new or
// idle for long.
func TestDrainLeavesArrivingRequest(t *testing.T) {
	for _, kept := range []bool{false, true} {
		t.Run(map[bool]string{false: "new", true: "kept"}[kept], func(t *testing.T) {
			t.Parallel()
			f := newDrainFixture(t, func(conn net.Conn) net.Conn { return conn })
			conn := f.dial()
			if kept {
				conn.send(requestStart + requestRest)
				conn.receive()
				time.Sleep(firstRequestTime)
			}
			conn.send(requestStart)
			time.Sleep(50 * time.Millisecond)
			go func() { _ = f.conns.Drain(t.Context()) }()
			if !kept {
				time.Sleep(firstRequestTime)
			}
			time.Sleep(50 * time.Millisecond)
			conn.send(requestRest)
			conn.receive()
		})
	}
}
