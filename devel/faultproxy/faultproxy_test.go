package faultproxy

import (
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func echoServer(c *qt.C) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn); _ = conn.Close() }()
		}
	}()
	return l.Addr().String()
}

func echo(conn net.Conn, timeout time.Duration) error {
	_ = conn.SetDeadline(time.Now().Add(timeout))
	if _, err := conn.Write([]byte("ping")); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, make([]byte, 4))
	return err
}

// Guards against fault tests that pass because the proxy injected no fault.
func TestFaults(t *testing.T) {
	c := qt.New(t)
	p, err := New("127.0.0.1:0", echoServer(c))
	c.Assert(err, qt.IsNil)
	defer p.Close()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", p.Address())
		c.Assert(err, qt.IsNil)
		c.Cleanup(func() { _ = conn.Close() })
		return conn
	}

	old := dial()
	c.Assert(echo(old, 5*time.Second), qt.IsNil)
	p.Freeze()
	c.Assert(echo(old, 100*time.Millisecond), qt.ErrorMatches, ".*i/o timeout")
	fresh := dial()
	c.Assert(echo(fresh, 5*time.Second), qt.IsNil)

	p.CloseConns()
	c.Assert(echo(fresh, 5*time.Second), qt.IsNotNil)
	p.Partition(true)
	c.Assert(echo(dial(), 100*time.Millisecond), qt.ErrorMatches, ".*i/o timeout")
	p.Partition(false)
	c.Assert(echo(dial(), 5*time.Second), qt.IsNil)
	p.Refuse(true)
	c.Assert(echo(dial(), 5*time.Second), qt.IsNotNil)
}
