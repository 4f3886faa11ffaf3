// Package overload tells when a host can take no more callers: its link is nearly full
// or its processor late. The gate then asks the platform's balancer for no new
// callers and lets those it has go elsewhere. It knows neither HTTP nor routing.
package overload

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// Figures of the meter.
const (
	// interval is how often the load is read.
	interval = 200 * time.Millisecond
	// weight is the weight of a new reading in the averages.
	weight = 0.25
	// fullFrom and freeBelow are the parts of the link in use from which the host is
	// crowded, and below which it no longer is. The gap keeps it from changing its
	// mind with every burst.
	fullFrom  = 0.6
	freeBelow = 0.35
	// lateFrom and punctualBelow are the delays of a timer from which the processor
	// is late, and below which it no longer is.
	lateFrom      = 60 * time.Millisecond
	punctualBelow = 15 * time.Millisecond
	// bitsPerMegabit and bitsPerByte convert a link's rate.
	bitsPerMegabit = 1_000_000
	bitsPerByte    = 8
)

// Detector reads the load of a host. It is safe for concurrent use.
type Detector struct {
	bytesPerSecond float64
	in, out        atomic.Int64
	crowded        atomic.Bool
	usage          float64       // of the busier direction, 0 to 1
	late           time.Duration // of timers
}

// NewDetector returns a meter for a link of so many megabits per second each way, 0 for
// a link that is never full.
func NewDetector(linkMbps float64) *Detector {
	return &Detector{bytesPerSecond: linkMbps * bitsPerMegabit / bitsPerByte}
}

// Overloaded reports whether the host can take no more callers.
func (m *Detector) Overloaded() bool { return m.crowded.Load() }

// Run reads the load until ctx ends. changed is called when Overloaded changes.
func (m *Detector) Run(ctx context.Context, changed func(crowded bool, usage float64, late time.Duration)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := time.Now()
		if m.read(now.Sub(last), m.in.Swap(0), m.out.Swap(0)) {
			changed(m.Overloaded(), m.usage, m.late)
		}
		last = now
	}
}

// read takes in the bytes that passed in a time, and reports whether Overloaded
// changed.
func (m *Detector) read(elapsed time.Duration, in, out int64) bool {
	if elapsed <= 0 {
		return false
	}
	if m.bytesPerSecond > 0 {
		usage := float64(max(in, out)) / elapsed.Seconds() / m.bytesPerSecond
		m.usage += (usage - m.usage) * weight
	}
	m.late += time.Duration(float64(max(elapsed-interval, 0)-m.late) * weight)
	crowded := m.usage >= fullFrom || m.late >= lateFrom
	if m.crowded.Load() {
		crowded = m.usage >= freeBelow || m.late >= punctualBelow
	}
	return m.crowded.Swap(crowded) != crowded
}

// CountBytes returns conn with its bytes counted.
func (m *Detector) CountBytes(conn net.Conn) net.Conn { return &counted{Conn: conn, meter: m} }

// counted is a connection whose bytes are counted.
type counted struct {
	net.Conn
	meter *Detector
}

// Read implements net.Conn.
func (c *counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.in.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.out.Add(int64(n))
	return n, err
}

// SyscallConn implements syscall.Conn.
func (c *counted) SyscallConn() (syscall.RawConn, error) {
	if raw, ok := c.Conn.(syscall.Conn); ok {
		return raw.SyscallConn()
	}
	return nil, syscall.EINVAL
}

// Dialer opens connections whose bytes are counted.
type Dialer struct {
	net.Dialer
	Detector *Detector
}

// DialContext opens a connection.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return d.Detector.CountBytes(conn), nil
}
