// Package upstream holds the connections to backend servers. It sends one request
// at a time on each, never sends anything twice, and says of each failure whether
// the server may have seen the request. net/http's own transport is not used for
// this, because it repeats requests on kept connections by itself.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Request is a request for a backend server.
type Request struct {
	Method string
	// Target is the path and query as they stand in the request line.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// ErrNotSent means that no byte of the request reached the server.
var ErrNotSent = errors.New("request not sent")

// readBufferBytes is the read buffer of a connection.
const readBufferBytes = 4 << 10

// concurrentWriteBytes is the body size from which a request is written while its
// answer is awaited: a server may answer before it has read a long body.
const concurrentWriteBytes = 8 << 10

// Conn is a connection to a backend server with one request at a time.
type Conn struct {
	pool    *Pool
	address string
	net.Conn
	reader *bufio.Reader
	// idleTimeout is how long the server keeps the connection, 0 if unknown.
	idleTimeout time.Duration
	idleSince   time.Time
	// written delivers the result of a write that goes on while the answer is read.
	written chan error
	broken  bool // the answer could not be read
	stop    func() bool
	// interrupted is set when the request's context ends.
	interrupted atomic.Bool
	// discarded connections are closed.
	discarded bool
}

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// Send writes a request. It fails with ErrNotSent if nothing was written. When ctx
// ends, reads and writes of the connection fail.
func (c *Conn) Send(ctx context.Context, r *Request) error {
	c.stop = context.AfterFunc(ctx, func() { c.interrupt() })
	buffer, _ := buffers.Get().(*bytes.Buffer)
	buffer.Reset()
	request := http.Request{
		Method: r.Method, URL: &url.URL{Scheme: "http", Host: c.address, Opaque: r.Target}, Host: r.Host,
		Header: r.Header, ContentLength: int64(len(r.Body)), Body: http.NoBody,
	}
	if len(r.Body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(r.Body))
	}
	if err := request.Write(buffer); err != nil {
		buffers.Put(buffer)
		return errors.Join(ErrNotSent, err)
	}
	if buffer.Len() < concurrentWriteBytes {
		return c.write(buffer)
	}
	c.written = make(chan error, 1)
	go func() { c.written <- c.write(buffer) }()
	return nil
}

func (c *Conn) write(buffer *bytes.Buffer) error {
	n, err := c.Write(buffer.Bytes())
	buffers.Put(buffer)
	if err != nil && n == 0 {
		return errors.Join(ErrNotSent, err)
	}
	return err
}

// interrupt ends reads and writes in progress.
func (c *Conn) interrupt() {
	c.interrupted.Store(true)
	// The connection is closed by its user; an error here means it already is.
	_ = c.SetDeadline(time.Unix(1, 0))
}

// SetResponseDeadline bounds the reads that follow, unless the request's context has ended.
func (c *Conn) SetResponseDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	if c.interrupted.Load() {
		return c.SetDeadline(time.Unix(1, 0))
	}
	return nil
}

// ReadResponse reads the header of the next answer. Informational answers are skipped.
func (c *Conn) ReadResponse(method string) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			c.broken = true
			return nil, err
		}
		if response.StatusCode >= 200 {
			return response, nil
		}
	}
}

// Release ends the use of the connection after an answer. It is kept if the answer
// was read whole, the request written whole, and nothing else came.
func (c *Conn) Release(response *http.Response, whole bool, idleTimeout time.Duration) {
	if c.stop != nil && !c.stop() {
		c.broken = true // interrupted
	}
	if !whole || response == nil || response.Close || c.reader.Buffered() > 0 || !c.writeDone() || c.broken {
		c.Discard()
		return
	}
	if idleTimeout > 0 {
		c.idleTimeout = idleTimeout
	}
	c.stop = nil
	if err := c.SetDeadline(time.Time{}); err != nil {
		c.Discard()
		return
	}
	c.pool.put(c)
}

// Discard closes the connection. Further calls do nothing.
func (c *Conn) Discard() {
	if c.discarded {
		return
	}
	c.discarded = true
	if c.stop != nil {
		c.stop()
	}
	// Nothing follows on the connection, whatever became of it.
	_ = c.Close()
	c.pool.closed(c.address)
}

// writeDone reports whether the request was written whole.
func (c *Conn) writeDone() bool {
	if c.written == nil {
		return true
	}
	select {
	case err := <-c.written:
		c.written = nil
		return err == nil
	default:
		return false
	}
}

// WriteError returns the error of a write that went on while the answer was
// awaited, nil if there is none so far.
func (c *Conn) WriteError() error {
	if c.written == nil {
		return nil
	}
	select {
	case err := <-c.written:
		c.written <- err
		return err
	default:
		return nil
	}
}

// usable reports whether a kept connection is still open and quiet. Bytes that
// nobody asked for make it unusable.
func (c *Conn) usable() bool {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}
