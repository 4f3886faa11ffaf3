// Package upstream pools the gate's connections to backend servers. Each connection
// carries one request at a time, nothing is ever sent twice, and every error tells
// whether the server may have received the request. net/http's Transport does not
// offer this, because it retries requests on reused connections by itself. The
// package does not interpret the contents of requests and responses.
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
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Request is a request for a backend server.
type Request struct {
	Method string
	// Target is the request target (path and query), byte for byte as in the request
	// line.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// ErrNotSent means that nothing of the request was sent.
var ErrNotSent = errors.New("request not sent")

// readBufferBytes is the size of a connection's read buffer.
const readBufferBytes = 4 << 10

// maxHeadBytes limits the head of a response together with the informational responses
// before it.
const maxHeadBytes = 32 << 10

// ErrHeadTooLarge means that the server sent maxHeadBytes without completing the head
// of a response.
var ErrHeadTooLarge = errors.New("the head of the response is larger than 32 KiB")

// headLimiter limits what is read from a connection while the head of a response is
// read. A body has no limit here; its reader sets one.
type headLimiter struct {
	conn    io.Reader
	limited bool
	left    int // bytes that may still be read while limited is set
	// err is the error that ended the connection. The system reports a reset only once.
	err error
}

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if l.err != nil {
		return 0, l.err
	}
	if l.limited {
		if l.left <= 0 {
			return 0, ErrHeadTooLarge
		}
		p = p[:min(len(p), l.left)]
	}
	n, err := l.conn.Read(p)
	l.left -= n
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		l.err = err
	}
	return n, err
}

// asyncWriteBytes is the size of an encoded request from which it is written in the
// background while the response is awaited, because a server may respond before it
// has read all of a large body.
const asyncWriteBytes = 8 << 10

// Conn is a connection to a backend server that carries one request at a time.
type Conn struct {
	pool    *Pool
	address string
	net.Conn
	head   *headLimiter
	reader *bufio.Reader // reads from head
	reused bool          // carried another request before
	// openedAt is when the connection had been opened.
	openedAt time.Time
	// idleTimeout is how long the server keeps an idle connection open, 0 if unknown.
	idleTimeout time.Duration
	idleSince   time.Time
	// writeResult receives the result of an asynchronous write.
	writeResult   chan error
	unusable      bool        // must not return to the pool: reading failed or ctx of Send ended
	stopInterrupt func() bool // stops the context.AfterFunc of Send
	// interrupted is set when the request's context ends.
	interrupted atomic.Bool
	discarded   bool
}

func newConn(pool *Pool, address string, conn net.Conn) *Conn {
	head := &headLimiter{conn: conn}
	return &Conn{
		pool: pool, address: address, Conn: conn, head: head, reader: bufio.NewReaderSize(head, readBufferBytes), openedAt: time.Now(),
	}
}

// Reused reports whether the connection carried another request before. Only then can
// a late response to another request arrive on it.
func (c *Conn) Reused() bool { return c.reused }

// OpenedAt returns when the connection had been opened.
func (c *Conn) OpenedAt() time.Time { return c.openedAt }

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// Send writes a request. It fails with ErrNotSent if nothing was written. A large
// request is written in the background: WriteError, not Send, returns the error of the
// write. When ctx ends, reads and writes on the connection fail.
func (c *Conn) Send(ctx context.Context, r *Request) error {
	c.stopInterrupt = context.AfterFunc(ctx, func() { c.interrupt() })
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
	if buffer.Len() < asyncWriteBytes {
		return c.write(buffer)
	}
	c.writeResult = make(chan error, 1)
	go func() { c.writeResult <- c.write(buffer) }()
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

// interrupt makes reads and writes in progress fail.
func (c *Conn) interrupt() {
	c.interrupted.Store(true)
	// The deadline is in the past. An error means that the connection is already closed.
	_ = c.SetDeadline(time.Unix(1, 0))
}

// SetResponseDeadline sets the deadline of further reads. Reads still fail if the
// request's context has ended.
func (c *Conn) SetResponseDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	if c.interrupted.Load() {
		return c.SetDeadline(time.Unix(1, 0))
	}
	return nil
}

// Await waits until there are bytes to read, and consumes none. After a timeout the response can
// still be read.
func (c *Conn) Await() error {
	_, err := c.reader.Peek(1)
	return err
}

// ReadResponse reads the head of the next response. It skips informational (1xx)
// responses. It fails with ErrHeadTooLarge after maxHeadBytes.
func (c *Conn) ReadResponse(method string) (*http.Response, error) {
	c.head.limited, c.head.left = true, maxHeadBytes
	defer func() { c.head.limited = false }()
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			c.unusable = true
			return nil, err
		}
		if response.StatusCode >= 200 {
			return response, nil
		}
	}
}

// Release ends the use of the connection after a response. The connection returns
// to the pool if the response was read and the request written completely and no
// further bytes have arrived; otherwise it is closed.
func (c *Conn) Release(response *http.Response, complete bool, idleTimeout time.Duration) {
	if c.stopInterrupt != nil && !c.stopInterrupt() {
		c.unusable = true
	}
	if !complete || response == nil || response.Close || c.reader.Buffered() > 0 || !c.writeSucceeded() || c.unusable {
		c.Discard()
		return
	}
	if idleTimeout > 0 {
		c.idleTimeout = idleTimeout
	}
	c.stopInterrupt = nil
	if err := c.SetDeadline(time.Time{}); err != nil {
		c.Discard()
		return
	}
	c.pool.putIdle(c)
}

// Discard closes the connection. Further calls do nothing.
func (c *Conn) Discard() {
	if c.discarded {
		return
	}
	c.discarded = true
	if c.stopInterrupt != nil {
		c.stopInterrupt()
	}
	// A close error has no consequence: the connection is not used again.
	_ = c.Close()
	c.pool.connClosed(c.address)
}

// writeSucceeded reports whether the request was written completely.
func (c *Conn) writeSucceeded() bool {
	if c.writeResult == nil {
		return true
	}
	select {
	case err := <-c.writeResult:
		c.writeResult = nil
		return err == nil
	default:
		return false
	}
}

// WriteError returns the error of an asynchronous write, nil if it succeeded or is
// still in progress.
func (c *Conn) WriteError() error {
	if c.writeResult == nil {
		return nil
	}
	select {
	case err := <-c.writeResult:
		c.writeResult <- err
		return err
	default:
		return nil
	}
}

// reusable reports whether an idle connection is still open and has received no
// bytes. Bytes without a request make it unusable.
func (c *Conn) reusable() bool {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = control.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && idle
}
