package wire

import (
	"encoding/binary"
	"net"
	"sync/atomic"
	"time"
)

// countingConn counts bytes and remembers when it last received any.
type countingConn struct {
	net.Conn
	start    time.Time
	lastRead atomic.Int64
	received atomic.Int64
	sent     atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastRead.Store(int64(time.Since(c.start)))
		c.received.Add(int64(n))
	}
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

// since is the time since the connection was made.
func (c *countingConn) since() time.Duration { return time.Since(c.start) }

// The parts of a yamux frame header that joinConn looks at.
const (
	muxHeaderBytes  = 12
	muxTypeOffset   = 1
	muxTypeData     = 0
	muxLengthOffset = 8
)

// joinConn sends the header and the body of a yamux frame with one write. yamux
// writes them separately, which makes two packets of each generated token. Its
// Write is called by yamux's sender only, which writes the body right after the
// header.
type joinConn struct {
	net.Conn
	buf []byte // a header whose body has not been written yet
}

// Write implements net.Conn. It keeps the header of a frame with a body until the
// body comes.
func (c *joinConn) Write(p []byte) (int, error) {
	if len(c.buf) == 0 && hasBody(p) {
		c.buf = append(c.buf, p...)
		return len(p), nil
	}
	if len(c.buf) == 0 {
		return c.Conn.Write(p)
	}
	c.buf = append(c.buf, p...)
	_, err := c.Conn.Write(c.buf)
	c.buf = c.buf[:0]
	if err != nil {
		return 0, err
	}
	return len(p), nil
}

func hasBody(p []byte) bool {
	return len(p) == muxHeaderBytes && p[muxTypeOffset] == muxTypeData &&
		binary.BigEndian.Uint32(p[muxLengthOffset:]) > 0
}
