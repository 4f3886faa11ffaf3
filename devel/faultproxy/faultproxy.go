// Package faultproxy is a TCP proxy for tests that delays, cuts, freezes and
// refuses connections between two processes.
package faultproxy

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const copyBufferBytes = 32 << 10

// Proxy forwards connections from its listener to one target.
type Proxy struct {
	listener net.Listener
	target   string
	bytes    atomic.Int64
	delay    atomic.Int64 // nanoseconds added to each direction
	limiter  atomic.Pointer[rate.Limiter]

	mu     sync.Mutex
	links  map[*link]struct{}
	refuse bool
	hang   bool
	closed bool
}

// New listens on address, such as "127.0.0.1:0", and forwards to target.
func New(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, links: map[*link]struct{}{}}
	go p.accept()
	return p, nil
}

// Address returns the listener's address.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Bytes returns the bytes forwarded so far, both directions together.
func (p *Proxy) Bytes() int64 { return p.bytes.Load() }

// SetDelay adds d to each direction of all connections.
func (p *Proxy) SetDelay(d time.Duration) { p.delay.Store(int64(d)) }

// SetLimiter bounds the bytes/s of both directions together, nil for no bound. A
// limiter can be shared by the proxies of one link.
func (p *Proxy) SetLimiter(l *rate.Limiter) { p.limiter.Store(l) }

// Cut resets all open connections.
func (p *Proxy) Cut() {
	for _, l := range p.open() {
		l.close()
	}
}

// Freeze makes all open connections silent for good: they stay open and forward
// nothing. New connections work.
func (p *Proxy) Freeze() {
	for _, l := range p.open() {
		l.freeze()
	}
}

// Refuse closes new connections at once while on is set.
func (p *Proxy) Refuse(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuse = on
}

// Partition makes open connections silent for good and, while on is set, lets
// new ones hang without an answer.
func (p *Proxy) Partition(on bool) {
	p.mu.Lock()
	p.hang = on
	p.mu.Unlock()
	if on {
		p.Freeze()
		return
	}
	p.Cut()
}

// Close stops the proxy and all its connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	_ = p.listener.Close()
	p.Cut()
}

func (p *Proxy) open() []*link {
	p.mu.Lock()
	defer p.mu.Unlock()
	links := make([]*link, 0, len(p.links))
	for l := range p.links {
		links = append(links, l)
	}
	return links
}

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

func (p *Proxy) serve(in net.Conn) {
	p.mu.Lock()
	refuse, hang := p.refuse || p.closed, p.hang
	p.mu.Unlock()
	if refuse {
		_ = in.Close()
		return
	}
	l := &link{in: in, frozen: make(chan struct{})}
	p.track(l, true)
	defer p.track(l, false)
	defer l.close()
	if hang {
		l.freeze()
		_, _ = io.Copy(io.Discard, in)
		return
	}
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	l.setOut(out)
	done := make(chan struct{}, 2)
	go func() { p.copy(l, out, in); done <- struct{}{} }()
	go func() { p.copy(l, in, out); done <- struct{}{} }()
	<-done
	l.close()
	<-done
}

func (p *Proxy) track(l *link, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if on {
		p.links[l] = struct{}{}
	} else {
		delete(p.links, l)
	}
}

// chunk is data with the time at which it may be delivered.
type chunk struct {
	data []byte
	due  time.Time
}

// copy forwards one direction. Delay shifts data in time without limiting the
// rate, as a long link does.
func (p *Proxy) copy(l *link, dst io.Writer, src io.Reader) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	queue := make(chan chunk, 1024)
	go func() {
		defer close(queue)
		for {
			buf := make([]byte, copyBufferBytes)
			n, err := src.Read(buf)
			if n > 0 {
				c := chunk{buf[:n], time.Now().Add(time.Duration(p.delay.Load()))}
				select {
				case queue <- c:
				case <-ctx.Done():
					return
				}
			}
			if err != nil {
				return
			}
		}
	}()
	for c := range queue {
		if limiter := p.limiter.Load(); limiter != nil {
			_ = limiter.WaitN(ctx, min(len(c.data), limiter.Burst()))
		}
		if !l.deliver(c, dst) {
			return
		}
		p.bytes.Add(int64(len(c.data)))
	}
}

// link is one proxied connection.
type link struct {
	in     net.Conn
	frozen chan struct{}
	once   sync.Once

	mu     sync.Mutex
	out    net.Conn
	closed bool
}

func (l *link) setOut(out net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.out = out
	if l.closed {
		_ = out.Close()
	}
}

// deliver writes c when it is due. On a frozen link it discards c. It reports
// whether the link is still open.
func (l *link) deliver(c chunk, dst io.Writer) bool {
	if wait := time.Until(c.due); wait > 0 {
		time.Sleep(wait)
	}
	select {
	case <-l.frozen:
		return true
	default:
	}
	_, err := dst.Write(c.data)
	return err == nil
}

func (l *link) freeze() { l.once.Do(func() { close(l.frozen) }) }

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	_ = l.in.Close()
	if l.out != nil {
		_ = l.out.Close()
	}
}
