// Package faultproxy is a TCP proxy that injects network faults for tests: it
// delays, closes, freezes and refuses connections between two processes. It knows
// nothing of the protocol that it forwards.
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
	delay    atomic.Int64 // nanoseconds, each direction
	limiter  atomic.Pointer[rate.Limiter]

	mu        sync.Mutex
	conns     map[*proxiedConn]struct{}
	refuse    bool
	blackhole bool
	closed    bool
}

// New listens on address, such as "127.0.0.1:0", and forwards to target.
func New(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, conns: map[*proxiedConn]struct{}{}}
	go p.accept()
	return p, nil
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Bytes returns the number of bytes forwarded so far in both directions.
func (p *Proxy) Bytes() int64 { return p.bytes.Load() }

// SetDelay sets the latency that the proxy adds to each direction of all connections.
func (p *Proxy) SetDelay(d time.Duration) { p.delay.Store(int64(d)) }

// SetLimiter limits the rate of both directions together in bytes/s; nil removes
// the limit. Proxies of the same network link can share a limiter.
func (p *Proxy) SetLimiter(l *rate.Limiter) { p.limiter.Store(l) }

// CloseConns closes all open connections.
func (p *Proxy) CloseConns() {
	for _, pc := range p.openConns() {
		pc.close()
	}
}

// Freeze permanently stops forwarding on all open connections without closing
// them. New connections work.
func (p *Proxy) Freeze() {
	for _, pc := range p.openConns() {
		pc.freeze()
	}
}

// Refuse closes new connections immediately while on is set.
func (p *Proxy) Refuse(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuse = on
}

// Partition with on set freezes all open connections and accepts new ones without
// forwarding them, so that peers see timeouts instead of errors. With on unset it
// closes all open connections and lets new ones work.
func (p *Proxy) Partition(on bool) {
	p.mu.Lock()
	p.blackhole = on
	p.mu.Unlock()
	if on {
		p.Freeze()
		return
	}
	p.CloseConns()
}

// Close stops the proxy and closes all its connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	_ = p.listener.Close()
	p.CloseConns()
}

func (p *Proxy) openConns() []*proxiedConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := make([]*proxiedConn, 0, len(p.conns))
	for pc := range p.conns {
		conns = append(conns, pc)
	}
	return conns
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

func (p *Proxy) serve(client net.Conn) {
	p.mu.Lock()
	refuse, blackhole := p.refuse || p.closed, p.blackhole
	p.mu.Unlock()
	if refuse {
		_ = client.Close()
		return
	}
	pc := &proxiedConn{client: client, frozen: make(chan struct{})}
	p.track(pc, true)
	defer p.track(pc, false)
	defer pc.close()
	if blackhole {
		pc.freeze()
		_, _ = io.Copy(io.Discard, client)
		return
	}
	upstream, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	pc.setUpstream(upstream)
	done := make(chan struct{}, 2)
	go func() { p.copy(pc, upstream, client); done <- struct{}{} }()
	go func() { p.copy(pc, client, upstream); done <- struct{}{} }()
	<-done
	pc.close()
	<-done
}

func (p *Proxy) track(pc *proxiedConn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[pc] = struct{}{}
	} else {
		delete(p.conns, pc)
	}
}

// chunk is data with its earliest delivery time.
type chunk struct {
	data []byte
	due  time.Time
}

// copy copies one direction. The delay adds latency without reducing the
// throughput, as propagation delay does.
func (p *Proxy) copy(pc *proxiedConn, dst io.Writer, src io.Reader) {
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
		if !pc.deliver(c, dst) {
			return
		}
		p.bytes.Add(int64(len(c.data)))
	}
}

// proxiedConn is a client connection with its upstream connection.
type proxiedConn struct {
	client net.Conn
	frozen chan struct{}
	once   sync.Once

	mu       sync.Mutex
	upstream net.Conn
	closed   bool
}

func (pc *proxiedConn) setUpstream(upstream net.Conn) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	pc.upstream = upstream
	if pc.closed {
		_ = upstream.Close()
	}
}

// deliver writes c at its delivery time, or discards it if the connection is
// frozen. It reports whether the connection is still usable.
func (pc *proxiedConn) deliver(c chunk, dst io.Writer) bool {
	if wait := time.Until(c.due); wait > 0 {
		time.Sleep(wait)
	}
	select {
	case <-pc.frozen:
		return true
	default:
	}
	_, err := dst.Write(c.data)
	return err == nil
}

func (pc *proxiedConn) freeze() { pc.once.Do(func() { close(pc.frozen) }) }

func (pc *proxiedConn) close() {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	pc.closed = true
	_ = pc.client.Close()
	if pc.upstream != nil {
		_ = pc.upstream.Close()
	}
}
