package gate

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a request that waits for its reservation beyond its time limit.
func TestReservationEndsAtDeadline(t *testing.T) {
	const maxOverdue = 250 * time.Millisecond
	for name, limit := range map[string]time.Duration{"while it waits": 100 * time.Millisecond, "before it waits": time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFixture(t, respondOK)
			f.reserver.delay = time.Second
			result := f.request("POST", "/stream/x", "Deadline", limit.String())
			c.Assert(result.status, qt.Equals, http.StatusServiceUnavailable)
			c.Assert(result.body, qt.Equals, "budget-unreachable (not-run)\n")
			c.Assert(result.elapsed < limit+maxOverdue, qt.IsTrue, qt.Commentf("%v", result.elapsed))
			c.Assert(f.servers[0].received(), qt.HasLen, 0)
		})
	}
}
