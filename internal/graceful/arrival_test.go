package graceful

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
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
	begun    atomic.Int64 // number of requests whose handler has begun
	draining atomic.Bool
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
			f.begun.Add(1)
			if f.draining.Load() {
				w.Header().Set("Connection", "close")
			}
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

// hookConn runs hooks around the calls of the connection below a Conn.
type hookConn struct {
	net.Conn
	mu            sync.Mutex
	beforeRead    func()
	beforeExpiry  func() // before a read deadline in the past is set
	afterDeadline func() // after one in the future was set
}

// Read implements net.Conn.
func (c *hookConn) Read(p []byte) (int, error) {
	c.run(func() func() { return c.beforeRead })
	return c.Conn.Read(p)
}

// SetReadDeadline implements net.Conn.
func (c *hookConn) SetReadDeadline(t time.Time) error {
	if time.Until(t) <= 0 {
		if !t.IsZero() {
			c.run(func() func() { return c.beforeExpiry })
		}
		return c.Conn.SetReadDeadline(t)
	}
	err := c.Conn.SetReadDeadline(t)
	c.run(func() func() { return c.afterDeadline })
	return err
}

// run runs the hook that get returns while the mutex is held.
func (c *hookConn) run(get func() func()) {
	c.mu.Lock()
	hook := get()
	c.mu.Unlock()
	if hook != nil {
		hook()
	}
}

// The end of an idle wait must not cut off a request whose first bytes are read at that moment.
func TestDrainDeadlineAfterFirstBytes(t *testing.T) {
	hooked := make(chan *hookConn, 1)
	f := newDrainFixture(t, func(conn net.Conn) net.Conn {
		h := &hookConn{Conn: conn}
		hooked <- h
		return h
	})
	conn := f.dial()
	conn.send(requestStart + requestRest)
	conn.receive()
	time.Sleep(50 * time.Millisecond)
	var once, readOnce sync.Once
	read := make(chan struct{}) // closed when the server has read the first bytes
	h := <-hooked
	h.mu.Lock()
	h.afterDeadline = func() { readOnce.Do(func() { close(read) }) }
	h.beforeExpiry = func() {
		once.Do(func() {
			conn.send(requestStart)
			select {
			case <-read:
			case <-time.After(100 * time.Millisecond):
			}
		})
	}
	h.mu.Unlock()
	go func() { _ = f.conns.Drain(t.Context()) }()
	time.Sleep(300 * time.Millisecond)
	conn.send(requestRest)
	conn.receive()
}

// The end of an idle wait must not cut off a request that has arrived and is not read yet.
func TestDrainDeadlineBeforeRead(t *testing.T) {
	hooked := make(chan *hookConn, 1)
	f := newDrainFixture(t, func(conn net.Conn) net.Conn {
		h := &hookConn{Conn: conn}
		hooked <- h
		return h
	})
	conn := f.dial()
	h := <-hooked
	conn.send(requestStart)
	time.Sleep(50 * time.Millisecond)
	// The server's next read, after the response, starts late.
	var reads int
	h.mu.Lock()
	h.beforeRead = func() {
		if reads++; reads == 2 {
			time.Sleep(300 * time.Millisecond)
		}
	}
	h.mu.Unlock()
	conn.send(requestRest)
	conn.receive()
	conn.send(requestStart + requestRest)
	go func() { _ = f.conns.Drain(t.Context()) }()
	conn.receive()
}

// A request whose handler has begun must be answered, whenever the drain begins.
func TestDrainAnswersBegunRequests(t *testing.T) {
	const callers, rounds = 32, 20
	for round := range rounds {
		f := newDrainFixture(t, func(conn net.Conn) net.Conn { return conn })
		var answered atomic.Int64
		var group sync.WaitGroup
		for range callers {
			conn := f.dial()
			group.Go(func() {
				for {
					if _, err := io.WriteString(conn, requestStart+requestRest); err != nil {
						return
					}
					response, err := http.ReadResponse(conn.reader, nil)
					if err != nil {
						return
					}
					if body, err := io.ReadAll(response.Body); err != nil || response.StatusCode != http.StatusOK || string(body) != "ok" {
						t.Errorf("status %d, body %q, error %v", response.StatusCode, body, err)
						return
					}
					answered.Add(1)
					time.Sleep(time.Millisecond)
				}
			})
		}
		time.Sleep(time.Duration(5+round) * time.Millisecond)
		f.draining.Store(true)
		f.c.Assert(f.conns.Drain(t.Context()), qt.IsNil)
		group.Wait()
		f.c.Check(answered.Load(), qt.Equals, f.begun.Load())
	}
}
