// Package overload detects when the host of a gate is overloaded: its network link
// is heavily used, or its CPU is so busy that goroutines are scheduled late. The
// gate then reports that it is not ready, so that the platform's load balancer
// sends it no new callers, and makes its callers reconnect elsewhere. The package
// knows neither HTTP nor routing.
package overload

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// sampleInterval is the time between two samples of the load.
	sampleInterval = 200 * time.Millisecond
	// sampleWeight is the weight of a new sample in the moving averages.
	sampleWeight = 0.25
	// The host becomes overloaded at a link usage of linkHigh and can recover below
	// linkLow, both as a share of the link's rate. The distance between them keeps
	// bursts from switching the state.
	linkHigh = 0.6
	linkLow  = 0.35
	// The host becomes overloaded at a scheduling delay of delayHigh and can recover
	// below delayLow. It recovers only when both values are below their lower limits.
	delayHigh = 60 * time.Millisecond
	delayLow  = 15 * time.Millisecond
	// A link's rate is configured in megabits per second.
	bitsPerMegabit = 1_000_000
	bitsPerByte    = 8
)

// Detector measures the load of a host. It is safe for concurrent use.
type Detector struct {
	linkBytesPerSecond float64
	bytesIn, bytesOut  atomic.Int64 // since the last sample
	overloaded         atomic.Bool
	// Only Run uses the moving averages. linkUsage is the used share of the link's rate
	// in the busier direction, from 0 to 1.
	linkUsage       float64
	schedulingDelay time.Duration // how late the ticker fires on average
}

// NewDetector returns a detector for a link with the given rate per direction. 0
// disables the detection of link overload.
func NewDetector(linkMbps float64) *Detector {
	return &Detector{linkBytesPerSecond: linkMbps * bitsPerMegabit / bitsPerByte}
}

// Overloaded reports whether the host is overloaded.
func (d *Detector) Overloaded() bool { return d.overloaded.Load() }

// Run samples the load until ctx ends. It calls onChange when Overloaded changes. It
// returns nil.
func (d *Detector) Run(ctx context.Context, onChange func(overloaded bool, linkUsage float64, schedulingDelay time.Duration)) error {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := time.Now()
		if d.sample(now.Sub(last), d.bytesIn.Swap(0), d.bytesOut.Swap(0)) {
			onChange(d.Overloaded(), d.linkUsage, d.schedulingDelay)
		}
		last = now
	}
}

// sample adds a sample with the bytes received and sent within elapsed, and reports
// whether Overloaded changed.
func (d *Detector) sample(elapsed time.Duration, in, out int64) bool {
	if elapsed <= 0 {
		return false
	}
	if d.linkBytesPerSecond > 0 {
		usage := float64(max(in, out)) / elapsed.Seconds() / d.linkBytesPerSecond
		d.linkUsage += (usage - d.linkUsage) * sampleWeight
	}
	d.schedulingDelay += time.Duration(float64(max(elapsed-sampleInterval, 0)-d.schedulingDelay) * sampleWeight)
	overloaded := d.linkUsage >= linkHigh || d.schedulingDelay >= delayHigh
	if d.overloaded.Load() {
		overloaded = d.linkUsage >= linkLow || d.schedulingDelay >= delayLow
	}
	return d.overloaded.Swap(overloaded) != overloaded
}

// CountBytes wraps conn so that its bytes count towards the link usage.
func (d *Detector) CountBytes(conn net.Conn) net.Conn { return &countingConn{Conn: conn, detector: d} }

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
	detector *Detector
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.detector.bytesIn.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.detector.bytesOut.Add(int64(n))
	return n, err
}

// SyscallConn implements syscall.Conn, which package upstream needs to check idle
// connections.
func (c *countingConn) SyscallConn() (syscall.RawConn, error) {
	if raw, ok := c.Conn.(syscall.Conn); ok {
		return raw.SyscallConn()
	}
	return nil, syscall.EINVAL
}

// CountingDialer opens connections whose bytes count towards the link usage.
type CountingDialer struct {
	net.Dialer
	Detector *Detector
}

// DialContext implements upstream.Dialer.
func (d *CountingDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return d.Detector.CountBytes(conn), nil
}
