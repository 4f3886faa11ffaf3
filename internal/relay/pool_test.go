package relay

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// The backoff of an address must grow while it refuses connections, and not after other failures.
func TestBackoffAfterRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		dialErr := error(syscall.ECONNREFUSED)
		pool := NewClientPool(time.Second, func(context.Context, string, string) (net.Conn, error) {
			if dialErr != nil {
				return nil, dialErr
			}
			local, remote := net.Pipe()
			t.Cleanup(func() { _, _ = remote.Close(), local.Close() })
			return local, nil
		})
		fail := func() time.Duration {
			_, err := pool.Client(t.Context(), "a")
			c.Check(err == nil, qt.Equals, dialErr == nil)
			pool.MarkFailed("a")
			started := time.Now()
			for !pool.Available("a") {
				time.Sleep(100 * time.Millisecond)
			}
			return time.Since(started)
		}
		for _, want := range []time.Duration{1, 2, 4, 8, 16, 32, 32} {
			c.Check(fail(), qt.Equals, want*time.Second)
		}
		dialErr = nil
		c.Check(fail(), qt.Equals, time.Second)
		dialErr = errors.New("timed out")
		c.Check(fail(), qt.Equals, time.Second)
		c.Check(fail(), qt.Equals, time.Second)
	})
}
