package wire

import (
	"encoding/binary"
	"net"
	"sync/atomic"
	"time"
)

// countingConn counts bytes and records when it last received any.
type countingConn struct {
	net.Conn
	start    time.Time
	lastRead atomic.Int64 // nanoseconds since start
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

// elapsed returns the time since the connection was established.
func (c *countingConn) elapsed() time.Duration { return time.Since(c.start) }

// Layout of a yamux frame header, as far as coalescingConn uses it.
const (
	yamuxHeaderBytes  = 12
	yamuxTypeOffset   = 1
	yamuxTypeData     = 0
	yamuxLengthOffset = 8
)

// coalescingConn sends the header and the body of a yamux frame in one write.
// yamux writes them separately, which would send two packets for each generated
// token. Write is called only by yamux's send loop, which writes the body directly
// after the header.
type coalescingConn struct {
	net.Conn
	buf []byte // header of a frame whose body is not written yet
}

// Write implements net.Conn. It buffers the header of a frame with a body until
// the body is written.
func (c *coalescingConn) Write(p []byte) (int, error) {
	if len(c.buf) == 0 && isDataHeader(p) {
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

// isDataHeader reports whether p is the header of a data frame with a body.
func isDataHeader(p []byte) bool {
	return len(p) == yamuxHeaderBytes && p[yamuxTypeOffset] == yamuxTypeData &&
		binary.BigEndian.Uint32(p[yamuxLengthOffset:]) > 0
}
