package prepaid

import (
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonworks/monsoonworks/internal/store/lossystore"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
)

// A store is silent for 5 s, in which a workspace needs several times its headroom. Callers retry
// once, after the time that they are told. Of those that are refused in the second half of the
// outage, at least 9 in 10 must be served in the end.
func TestRetriesOutlastOutage(t *testing.T) {
	const paid, bound, outage = 6_000_000, 4000, 5 * time.Second
	c := qt.New(t)
	refused, served := 0, 0
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			s := newSimulation(t, seed, 1)
			s.setPaid(paid)
			h := s.hosts[0]
			attempt := func() error {
				r, err := h.manager.Reserve(t.Context(), s.reservationRequest(bound))
				if err == nil {
					time.Sleep(200 * time.Millisecond)
					r.Settle(bound)
				}
				return err
			}
			var mu sync.Mutex
			call := func(counts bool) {
				var refusal *verdict.Error
				if !errors.As(attempt(), &refusal) || !counts {
					return
				}
				time.Sleep(refusal.RetryAfter)
				err := attempt()
				mu.Lock()
				defer mu.Unlock()
				refused++
				if err == nil {
					served++
				}
			}
			run := func(duration time.Duration, counts func(time.Duration) bool) {
				for started := time.Now(); time.Since(started) < duration; time.Sleep(25 * time.Millisecond) {
					go call(counts(time.Since(started)))
				}
			}
			run(10*time.Second, func(time.Duration) bool { return false })
			h.store.UpdateFaults(func(f *lossystore.Faults) { f.Down = true })
			run(outage, func(at time.Duration) bool { return at > outage/2 })
			h.store.UpdateFaults(func(f *lossystore.Faults) { f.Down = false })
			time.Sleep(6 * time.Second)
			h.stop()
			time.Sleep(time.Second)
		})
	}
	c.Check(refused > 300, qt.IsTrue, qt.Commentf("%d refused", refused))
	c.Check(served*10 >= refused*9, qt.IsTrue, qt.Commentf("%d of %d served", served, refused))
}

// While the store does not reply, a request that the share cannot cover whatever the requests in
// progress consume must be refused at once, and one that it may cover must wait for them.
func TestRefusedAtOnceDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const bound = 4000
		s := newSimulation(t, 2, 2)
		s.setPaid(4_000_000)
		h := s.hosts[0]
		reserve := func(h *testHost) (Reservation, error) {
			return h.manager.Reserve(t.Context(), s.reservationRequest(bound))
		}
		for range 20 {
			r, err := reserve(h)
			c.Assert(err, qt.IsNil)
			r.Settle(bound)
			time.Sleep(100 * time.Millisecond)
		}
		for _, h := range s.hosts {
			h.store.UpdateFaults(func(f *lossystore.Faults) { f.Down = true })
		}
		var last Reservation
		for {
			r, err := reserve(h)
			if err != nil {
				break
			}
			if last != nil {
				last.Settle(bound)
			}
			last = r
		}
		time.Sleep(time.Second)
		waiting := make(chan error, 1)
		go func() {
			r, err := reserve(h)
			if err == nil {
				r.Settle(bound)
			}
			waiting <- err
		}()
		time.Sleep(100 * time.Millisecond)
		last.Settle(0)
		c.Check(<-waiting, qt.IsNil)
		for _, h := range s.hosts {
			_, err := reserve(h) // the second host notices the outage
			c.Check(err, qt.IsNotNil)
			time.Sleep(time.Second)
			started := time.Now()
			_, err = reserve(h)
			c.Check(verdict.CodeOf(err), qt.Equals, verdict.CodeBudgetUnreachable)
			c.Check(time.Since(started) < 10*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(started)))
			h.stop()
		}
		time.Sleep(time.Second)
	})
}
