package gate

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"github.com/monsoonworks/monsoonworks/internal/upstream"
)

// shortDialer fails as if the process were out of file descriptors while short is set.
type shortDialer struct {
	net.Dialer
	short atomic.Bool
}

func (d *shortDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if d.short.Load() {
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("socket", syscall.EMFILE)}
	}
	return d.Dialer.DialContext(ctx, network, address)
}

// Guards against servers that get no requests for a time because the gate was out of file descriptors.
func TestDescriptorShortageIsNoServerFailure(t *testing.T) {
	f := newFixture(t, respondOK, respondOK)
	dialer := &shortDialer{}
	dialer.short.Store(true)
	f.gate.opts.Pool = upstream.NewPool(dialer, metrics.NewRegistry())
	for range 3 {
		got := f.request("POST", "/safe/")
		f.c.Assert(got.status, qt.Equals, 503)
		f.c.Assert(got.body, qt.Equals, "overloaded (not-run)\n")
		f.c.Assert(got.header.Get("Retry-After"), qt.Not(qt.Equals), "")
	}
	dialer.short.Store(false)
	f.c.Assert(f.request("POST", "/safe/").status, qt.Equals, 200)
}
