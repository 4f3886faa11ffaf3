package prepaid

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonworks/monsoonworks/devel/standin/hostclock"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
)

// maxLostPercent is the part of what a workspace paid that one loss of power may take from it,
// apart from the requests in progress. Workspaces must be able to use 97%.
const maxLostPercent = 3

// A loss of power takes the headroom of a workspace's share. Whenever it comes, once the owner
// has had demand for some seconds, the loss must stay small against what was paid, and nothing
// may be overspent. The workspace spends all that it paid within 50 s.
func TestLossOfPowerIsBounded(t *testing.T) {
	for seed := range uint64(50) {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			s := newSimulation(t, seed, 1)
			s.setPaid(3_200_000)
			h := s.hosts[0]
			after := time.Duration(20+s.random.IntN(25)) * time.Second
			for started := time.Now(); time.Since(started) < after; time.Sleep(time.Duration(s.random.IntN(66)) * time.Millisecond) {
				s.request()
			}
			h.stop()
			h.manager.mu.Lock()
			q := h.manager.quotas["ws"]
			lost := q.limit() - q.spent - q.reserved
			h.manager.mu.Unlock()
			c.Check(lost*100 <= s.paid*maxLostPercent, qt.IsTrue, qt.Commentf("seed %d: %d of %d lost after %v", seed, lost, s.paid, after))
			h.clock = &hostclock.Clock{Boot: "after", Start: time.Now()}
			h.start(t)
			for range 400 {
				s.request()
				time.Sleep(30 * time.Millisecond)
			}
			h.stop()
			time.Sleep(time.Second)
		})
	}
}

// What a loss of power takes stays out of reach until the workspace pays again. A request that the
// rest does not cover must be refused at once with CodeBudgetExhausted, not told to come back, and
// must be served after a payment.
func TestLostTokensAreNotOffered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const paid, bound = 400_000, 9_000
		s := newSimulation(t, 3, 1)
		s.setPaid(paid)
		h := s.hosts[0]
		reserve := func() (Reservation, error) { return h.manager.Reserve(t.Context(), s.reservationRequest(bound)) }
		for range 40 {
			r, err := reserve()
			c.Assert(err, qt.IsNil)
			r.Settle(bound)
			time.Sleep(100 * time.Millisecond)
		}
		_, err := reserve() // lost with the power
		c.Assert(err, qt.IsNil)
		h.stop()
		h.clock = &hostclock.Clock{Boot: "after", Start: time.Now()}
		h.start(t)
		time.Sleep(maxCloseDelay + time.Second)
		refusals := 0
		for range 20 {
			started := time.Now()
			r, err := reserve()
			if err == nil {
				r.Settle(bound)
				continue
			}
			refusals++
			c.Check(verdict.CodeOf(err), qt.Equals, verdict.CodeBudgetExhausted)
			c.Check(time.Since(started) < maxReserveWait/2, qt.IsTrue)
		}
		c.Check(refusals > 0, qt.IsTrue)
		s.setPaid(2 * paid)
		r, err := reserve()
		c.Assert(err, qt.IsNil)
		r.Settle(bound)
		h.stop()
		time.Sleep(time.Second)
	})
}
