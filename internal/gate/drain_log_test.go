package gate

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A request that the end of a drain cuts off must not be logged as one whose caller has left.
func TestDrainCutIsLogged(t *testing.T) {
	f := newFixture(t, func(_ int, r *http.Request, conn net.Conn) bool {
		writeEventStreamHeader(conn, r)
		writeEvents(conn, 1, 1)
		time.Sleep(time.Second)
		return true
	})
	ends := time.Now().Add(300 * time.Millisecond)
	f.gate.Drain(ends)
	go func() {
		for f.gate.InProgress() == 0 {
			time.Sleep(time.Millisecond)
		}
		ctx, cancel := context.WithDeadline(t.Context(), ends)
		defer cancel()
		_ = f.frontend.Shutdown(ctx)
	}()
	f.c.Assert(f.request("POST", "/stream/").err, qt.IsNotNil)
	for start := time.Now(); f.gate.InProgress() > 0 && time.Since(start) < 2*time.Second; {
		time.Sleep(time.Millisecond)
	}
	f.c.Check(f.gate.stats.drainCuts.Count(), qt.Equals, int64(1))
	f.c.Check(f.logged.String(), qt.Matches, `(?s).*msg=request .* code=draining detail="cut off at the end of the drain" .*write_ms=\d+ drain_ms=([3-9]\d\d|\d{4,}).*`)
}
