package prepaid

import (
	"fmt"
	"math"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// A store takes 400 writes a second from the quota servers of 910 workspaces, which are in 256
// groups. A quota server of six workspaces in use must stay within its part of them, and refuse no
// request, while a part of the balances is left.
func TestWritesOfOneQuotaServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const workspaces, paidUnit, seconds, maxWrites = 6, 700_000, 16, 16 * 400 / 256
		s := newSimulation(t, 5, 1)
		host := s.hosts[0]
		var refused atomic.Int32
		request := func(workspace int) {
			bound := Tokens(1000 + s.random.IntN(2000))
			duration := time.Duration(s.random.IntN(1500)) * time.Millisecond
			go func() {
				r, err := host.manager.Reserve(t.Context(), ReservationRequest{
					Workspace: fmt.Sprint("ws", workspace), Paid: paidUnit * Tokens(workspace+1), Version: 1, Bound: bound,
				})
				if err != nil {
					refused.Add(1)
					return
				}
				time.Sleep(duration)
				r.Settle(bound * 9 / 10)
			}()
		}
		run := func(duration time.Duration) {
			// A workspace that paid more has more requests: all are used up after a minute.
			for started := time.Now(); time.Since(started) < duration; time.Sleep(10 * time.Millisecond) {
				request(int(math.Sqrt(float64(s.random.IntN(workspaces * workspaces)))))
			}
		}
		run(20 * time.Second)
		before := host.store.Commits()
		run(seconds * time.Second)
		writes := host.store.Commits() - before
		c.Check(refused.Load(), qt.Equals, int32(0))
		c.Check(writes <= maxWrites, qt.IsTrue, qt.Commentf("%d writes in %d s", writes, seconds))
		t.Logf("%d writes in %d s", writes, seconds)
		host.stop()
		time.Sleep(2 * time.Second)
	})
}
