package reserve

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"github.com/monsoonworks/monsoonworks/internal/prepaid"
	"github.com/monsoonworks/monsoonworks/internal/store/lossystore"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
)

// fault makes one random change of the world.
func (w *world) fault() {
	h := w.holders[w.random.IntN(len(w.holders))]
	g := w.gates[w.random.IntN(len(w.gates))]
	switch w.random.IntN(10) {
	case 0: // killed, and back later
		h.kill()
		time.Sleep(time.Duration(w.random.IntN(800)) * time.Millisecond)
		h.start(w.t)
	case 1: // loss of power: the clock starts elsewhere
		h.kill()
		h.clock = &testClock{boot: "b", base: time.Now().Add(-time.Duration(w.random.IntN(1000)) * time.Second)}
		if w.random.IntN(2) == 0 {
			h.clock.boot = fmt.Sprint("b", w.random.IntN(1000))
		} else {
			h.clock.base = time.Now() // earlier than any statement
		}
		h.start(w.t)
	case 2:
		h.setSilent(!h.silent)
	case 3:
		h.reset()
	case 4:
		h.store.UpdateFaults(func(f *lossystore.Faults) { f.Down = !f.Down })
	case 5:
		share, late := w.random.Float64()*0.6, w.random.IntN(2) == 0
		h.store.UpdateFaults(func(f *lossystore.Faults) { f.LossRate, f.DelayLost = share, late })
	case 6:
		h.store.UpdateFaults(func(f *lossystore.Faults) { f.LossRate, f.Down = 0, false })
	case 7:
		w.topUp(20_000)
	case 8: // a gate is killed; its requests are not settled
		g.stop()
		g.start(w.t, w)
	case 9: // planned stop of a holder
		ctx, cancel := context.WithTimeout(w.t.Context(), 700*time.Millisecond)
		h.server.Drain(ctx)
		_ = h.book.Close(ctx) // may fail while the store is down
		cancel()
		h.kill()
		h.start(w.t)
	}
}

// Guards against a workspace that spends more than it paid for while holders and gates
// are killed, cut off, silent or stopped, and the store fails in all its ways.
func TestNeverOverspent(t *testing.T) {
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, seed, 3, 4, 400_000)
			for step := range 1000 {
				w.request()
				if step%20 == 19 {
					w.fault()
				}
				time.Sleep(time.Duration(w.random.IntN(40)) * time.Millisecond)
			}
			time.Sleep(time.Second)
			w.end()
		})
	}
}

// Plays a fleet of 31 gates and 56 holders on a small budget that callers ask for
// twice: they get 97 in 100 of it, nobody is refused before it is nearly used up, and
// the store sees some calls a second instead of some for each gate.
func TestFleetUsesTheWholeBalance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := newWorld(t, 1, 31, 56, 600_000)
		for refusals := 0; refusals == 0; _, refusals, _ = w.totals() {
			w.request()
			time.Sleep(50 * time.Millisecond)
		}
		consumed, _, _ := w.totals()
		c.Assert(consumed*100 >= w.paid*75, qt.IsTrue, qt.Commentf("first refusal at %d of %d", consumed, w.paid))
		for range 300 {
			w.request()
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(time.Second)
		consumed, _, _ = w.totals()
		c.Assert(consumed*100 >= w.paid*97, qt.IsTrue, qt.Commentf("%d of %d", consumed, w.paid))
		commits := 0
		for _, h := range w.holders {
			commits += h.store.Commits()
		}
		for _, g := range w.gates {
			c.Assert(g.store.Commits(), qt.Equals, 0)
		}
		c.Assert(commits < 120, qt.IsTrue, qt.Commentf("%d commits", commits))
		w.end()
	})
}

// Plays the loss of the workspace's holder, by kill and by silence: requests go on at
// the next holder, and none takes longer than one unanswered call and a wait there.
func TestNextHolderTakesOver(t *testing.T) {
	for name, lose := range map[string]func(*holder){
		"killed": (*holder).kill,
		"silent": func(h *holder) { h.setSilent(true) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				w := newWorld(t, 2, 4, 6, 40_000_000)
				play := func() {
					for range 200 {
						w.request()
						time.Sleep(20 * time.Millisecond)
					}
				}
				play()
				_, before, _ := w.totals()
				lose(w.first())
				play()
				time.Sleep(time.Second)
				_, after, slowest := w.totals()
				c.Assert(after, qt.Equals, before)
				c.Assert(slowest < 2*askTimeout, qt.IsTrue, qt.Commentf("%v", slowest))
				w.end()
			})
		})
	}
}

// Guards against gates that have nothing to spend when no holder is reached.
func TestOwnShareWithoutHolders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := newWorld(t, 3, 2, 3, 4_000_000)
		for _, h := range w.holders {
			h.kill()
		}
		r, err := w.gates[0].client.Reserve(t.Context(), w.claim(5000))
		c.Assert(err, qt.IsNil)
		r.Settle(5000)
		w.end()
	})
}

// Guards against a false 402: a holder that does not reach the store says that another
// one may have what it lacks.
func TestHolderWithoutStoreSendsElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := newWorld(t, 4, 1, 3, 4_000_000)
		w.first().store.UpdateFaults(func(f *lossystore.Faults) { f.Down = true })
		time.Sleep(time.Second)
		r, err := w.gates[0].client.Reserve(t.Context(), w.claim(5000))
		c.Assert(err, qt.IsNil)
		r.Settle(0)
		w.end()
	})
}

// account is a Book that grants everything and adds up what was used.
type account struct {
	granted, used prepaid.Tokens
	refuse        error
	wait          chan struct{}
}

type grant struct {
	account *account
	amount  prepaid.Tokens
}

func (g *grant) Settle(used prepaid.Tokens) {
	g.account.granted -= g.amount
	g.account.used += min(used, g.amount)
}

func (a *account) Reserve(_ context.Context, claim prepaid.ReservationRequest) (prepaid.Reservation, error) {
	if a.wait != nil {
		<-a.wait
	}
	if a.refuse != nil {
		return nil, a.refuse
	}
	a.granted += claim.Bound
	return &grant{a, claim.Bound}, nil
}

func (a *account) StoreFailing() bool { return a.refuse != nil }

func newServer(t *testing.T, a *account) *Server {
	return NewServer(t.Context(), a, metrics.NewRegistry(), quiet)
}

func ask(c *qt.C, s *Server, number uint64, bound prepaid.Tokens) *ReserveReply {
	reply := &ReserveReply{}
	c.Assert(s.Reserve(&ReserveArgs{ID: ID{"g", number}, Claim: prepaid.ReservationRequest{Bound: bound}}, reply), qt.IsNil)
	return reply
}

func settle(c *qt.C, s *Server, number uint64, used prepaid.Tokens) {
	c.Assert(s.Settle(&SettleArgs{Gate: "g", Settled: []Settlement{{number, used}}}, &SettleReply{}), qt.IsNil)
}

// Guards against a settlement that counts twice when its answer was lost.
func TestSettleTwice(t *testing.T) {
	c := qt.New(t)
	a := &account{}
	s := newServer(t, a)
	c.Assert(ask(c, s, 1, 100).Refused, qt.IsFalse)
	settle(c, s, 1, 40)
	settle(c, s, 1, 40)
	c.Assert(*a, qt.Equals, account{used: 40})
}

// Guards against a reservation that is granted, and lost, after its gate gave it up.
func TestGivenUp(t *testing.T) {
	t.Run("before it arrives", func(t *testing.T) {
		c := qt.New(t)
		a := &account{}
		s := newServer(t, a)
		settle(c, s, 1, 0)
		c.Assert(ask(c, s, 1, 100).Refused, qt.IsTrue)
		c.Assert(*a, qt.Equals, account{})
	})
	t.Run("while it waits", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			a := &account{wait: make(chan struct{})}
			s := newServer(t, a)
			go ask(c, s, 1, 100)
			synctest.Wait()
			settle(c, s, 1, 0)
			close(a.wait)
			synctest.Wait()
			c.Assert(a.granted, qt.Equals, prepaid.Tokens(0))
			c.Assert(s.Unsettled(), qt.Equals, 0)
		})
	})
}

// Guards against reservations of gates that ended that are kept for ever, and against
// giving back what their requests may have consumed.
func TestUnsettledCountsAsSpent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		a := &account{}
		s := newServer(t, a)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = s.Run(ctx) }()
		ask(c, s, 1, 100)
		time.Sleep(holdTime + 2*expireInterval)
		c.Assert(s.Unsettled(), qt.Equals, 0)
		settle(c, s, 1, 0)
		c.Assert(*a, qt.Equals, account{used: 100})
		cancel()
	})
}

// Guards against a stop that gives shares back while requests still use them, and
// against one that hangs.
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newServer(t, &account{})
		ask(c, s, 1, 100)
		time.AfterFunc(time.Second, func() { settle(c, s, 1, 50) })
		began := time.Now()
		s.Drain(t.Context())
		c.Assert(time.Since(began) >= time.Second, qt.IsTrue)
		reply := ask(c, s, 2, 100)
		c.Assert(reply.Refused && reply.Elsewhere, qt.IsTrue)

		s = newServer(t, &account{})
		ask(c, s, 3, 100)
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		s.Drain(ctx)
		c.Assert(s.Unsettled(), qt.Equals, 1)
	})
}

// Guards against refusals that change on their way to the gate.
func TestRefusal(t *testing.T) {
	c := qt.New(t)
	a := &account{refuse: verdict.New(verdict.NotRun, verdict.CodeBudgetExhausted, "used up").WithRetryAfter(time.Second)}
	reply := ask(c, newServer(t, a), 1, 100)
	var refusal *verdict.Error
	c.Assert(errors.As(reply.err(), &refusal), qt.IsTrue)
	c.Assert(*refusal, qt.Equals, verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeBudgetExhausted, Detail: "used up", RetryAfter: time.Second})
	c.Assert(reply.Elsewhere, qt.IsFalse) // the balance is known
	a.refuse = verdict.New(verdict.NotRun, verdict.CodeBudgetUnreachable, "no share")
	c.Assert(ask(c, newServer(t, a), 1, 100).Elsewhere, qt.IsTrue)
}

// Guards against gates that ask different holders, and against a holder whose coming
// or going moves workspaces of others.
func TestOrder(t *testing.T) {
	c := qt.New(t)
	holders := []string{"10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000", "10.0.0.4:7000", "10.0.0.5:7000"}
	shares := make(map[string]int)
	for i := range 1000 {
		workspace := fmt.Sprint("workspace-", i)
		chosen := order(workspace, slices.Clone(holders), 2)
		reversed := slices.Clone(holders)
		slices.Reverse(reversed)
		c.Assert(order(workspace, reversed, 2), qt.DeepEquals, chosen)
		without := slices.DeleteFunc(slices.Clone(holders), func(h string) bool { return h == holders[0] })
		if chosen[0] == holders[0] {
			c.Assert(order(workspace, without, 1)[0], qt.Equals, chosen[1])
		} else {
			c.Assert(order(workspace, without, 1)[0], qt.Equals, chosen[0])
		}
		shares[chosen[0]]++
	}
	for holder, n := range shares {
		c.Assert(n > 150 && n < 250, qt.IsTrue, qt.Commentf("%s holds %d of 1000", holder, n))
	}
	c.Assert(order("w", nil, 2), qt.HasLen, 0)
}
