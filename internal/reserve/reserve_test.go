package reserve

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"github.com/monsoonworks/monsoonworks/devel/standin/hostclock"
	"github.com/monsoonworks/monsoonworks/internal/prepaid"
	"github.com/monsoonworks/monsoonworks/internal/store/lossystore"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
)

// injectFault injects a random fault, ends one, or changes the configuration.
func (s *simulation) injectFault() {
	server := s.servers[s.random.IntN(len(s.servers))]
	g := s.gates[s.random.IntN(len(s.gates))]
	switch s.random.IntN(10) {
	case 0: // kill and restart after up to 0.8 s
		server.kill()
		time.Sleep(time.Duration(s.random.IntN(800)) * time.Millisecond)
		server.start(s.t)
	case 1: // power failure: the boot clock restarts
		server.kill()
		server.clock = &hostclock.Clock{Boot: "b", Start: time.Now().Add(-time.Duration(s.random.IntN(1000)) * time.Second)}
		if s.random.IntN(2) == 0 {
			server.clock.Boot = fmt.Sprint("b", s.random.IntN(1000))
		} else {
			server.clock.Start = time.Now() // instants before all checkpoints, same boot ID
		}
		server.start(s.t)
	case 2: // the server becomes unresponsive, or responsive again
		server.setUnresponsive(!server.unresponsive)
	case 3:
		server.resetConns()
	case 4: // the store becomes unreachable for the host, or reachable again
		server.store.UpdateFaults(func(f *lossystore.Faults) { f.Down = !f.Down })
	case 5: // the host loses replies of the store, whose writes may be delayed
		lossRate, delayLost := s.random.Float64()*0.6, s.random.IntN(2) == 0
		server.store.UpdateFaults(func(f *lossystore.Faults) { f.LossRate, f.DelayLost = lossRate, delayLost })
	case 6: // the host's store faults end
		server.store.UpdateFaults(func(f *lossystore.Faults) { f.LossRate, f.Down = 0, false })
	case 7:
		s.topUp(20_000)
	case 8: // a gate is killed and does not settle its reservations
		g.stop()
		g.start(s.t, s)
	case 9: // planned shutdown of a quota server
		ctx, cancel := context.WithTimeout(s.t.Context(), 700*time.Millisecond)
		server.server.Drain(ctx)
		_ = server.manager.Close(ctx) // may fail while the store is down
		cancel()
		server.kill()
		server.start(s.t)
	}
}

// Guards against a workspace that spends more than it paid for while quota servers and gates
// are killed, disconnected, unresponsive or shut down, and the store is down or loses replies.
func TestNeverOverspent(t *testing.T) {
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			s := newSimulation(t, seed, 3, 4, 400_000)
			for step := range 1000 {
				s.request()
				if step%20 == 19 {
					s.injectFault()
				}
				time.Sleep(time.Duration(s.random.IntN(40)) * time.Millisecond)
			}
			time.Sleep(time.Second)
			s.stopAll()
		})
	}
}

// In a fleet of 31 gates and 56 quota servers, callers request twice the balance of a small
// workspace: they consume at least 97% of it, none is refused before 75% is consumed, and
// fewer than 120 commits reach the store, none of them from a gate.
func TestFleetUsesTheWholeBalance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newSimulation(t, 1, 31, 56, 600_000)
		for refusals := 0; refusals == 0; _, refusals, _ = s.totals() {
			s.request()
			time.Sleep(50 * time.Millisecond)
		}
		consumed, _, _ := s.totals()
		c.Assert(consumed*100 >= s.paid*75, qt.IsTrue, qt.Commentf("first refusal at %d of %d", consumed, s.paid))
		for range 300 {
			s.request()
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(time.Second)
		consumed, _, _ = s.totals()
		c.Assert(consumed*100 >= s.paid*97, qt.IsTrue, qt.Commentf("%d of %d", consumed, s.paid))
		commits := 0
		for _, server := range s.servers {
			commits += server.store.Commits()
		}
		for _, g := range s.gates {
			c.Assert(g.store.Commits(), qt.Equals, 0)
		}
		c.Assert(commits < 120, qt.IsTrue, qt.Commentf("%d commits", commits))
		s.stopAll()
	})
}

// The workspace's quota server is killed or becomes unresponsive: the next one serves the
// requests, none is refused, and none takes longer than a timed-out call and a second one.
func TestNextServerTakesOver(t *testing.T) {
	for name, disable := range map[string]func(*quotaServer){
		"killed":       (*quotaServer).kill,
		"unresponsive": func(server *quotaServer) { server.setUnresponsive(true) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := newSimulation(t, 2, 4, 6, 40_000_000)
				run := func() {
					for range 200 {
						s.request()
						time.Sleep(20 * time.Millisecond)
					}
				}
				run()
				_, before, _ := s.totals()
				disable(s.firstServer())
				run()
				time.Sleep(time.Second)
				_, after, slowest := s.totals()
				c.Assert(after, qt.Equals, before)
				c.Assert(slowest < 2*reserveTimeout, qt.IsTrue, qt.Commentf("%v", slowest))
				s.stopAll()
			})
		})
	}
}

// Guards against gates that grant no reservations while no quota server replies.
func TestFallbackWithoutQuotaServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newSimulation(t, 3, 2, 3, 4_000_000)
		for _, server := range s.servers {
			server.kill()
		}
		r, err := s.gates[0].client.Reserve(t.Context(), s.reservationRequest(5000))
		c.Assert(err, qt.IsNil)
		r.Settle(5000)
		s.stopAll()
	})
}

// Guards against a silent quota server that is asked again and again because no request waits for it
// until the call's timeout.
func TestSilentServerOfShortRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newSimulation(t, 5, 1, 3, 4_000_000)
		reserve := func() error {
			ctx, cancel := context.WithTimeout(t.Context(), maxReplyTime+50*time.Millisecond)
			defer cancel()
			r, err := s.gates[0].client.Reserve(ctx, s.reservationRequest(5000))
			if err == nil {
				r.Settle(0)
			}
			return err
		}
		s.firstServer().setUnresponsive(true)
		c.Assert(reserve(), qt.ErrorMatches, "canceled .*")
		c.Assert(reserve(), qt.IsNil)
		s.stopAll()
	})
}

// Guards against refusals while quota servers drain, although another one or the gate itself could grant
// the reservation.
func TestDrainingServersDoNotRefuse(t *testing.T) {
	for name, disable := range map[string]func(ranked []*quotaServer){
		"all draining": func(ranked []*quotaServer) {
			for _, server := range ranked {
				server.server.Drain(t.Context())
			}
		},
		"one silent, one draining": func(ranked []*quotaServer) {
			ranked[0].setUnresponsive(true)
			ranked[1].server.Drain(t.Context())
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := newSimulation(t, 6, 1, 3, 4_000_000)
				disable(s.rankedServers())
				r, err := s.gates[0].client.Reserve(t.Context(), s.reservationRequest(5000))
				c.Assert(err, qt.IsNil)
				r.Settle(0)
				s.stopAll()
			})
		})
	}
}

// Guards against a refusal because the workspace's quota server cannot reach the store: it
// replies that another one may grant the reservation, and the client tries that one.
func TestServerWithoutStoreRefersElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newSimulation(t, 4, 1, 3, 4_000_000)
		s.firstServer().store.UpdateFaults(func(f *lossystore.Faults) { f.Down = true })
		time.Sleep(time.Second)
		r, err := s.gates[0].client.Reserve(t.Context(), s.reservationRequest(5000))
		c.Assert(err, qt.IsNil)
		r.Settle(0)
		s.stopAll()
	})
}

// fakeReserver is a Reserver that counts tokens. It grants everything unless err is set.
type fakeReserver struct {
	reserved, spent prepaid.Tokens
	err             error
	block           chan struct{} // if not nil, Reserve waits until it is closed
}

type fakeReservation struct {
	reserver *fakeReserver
	amount   prepaid.Tokens
}

func (r *fakeReservation) Settle(used prepaid.Tokens) {
	r.reserver.reserved -= r.amount
	r.reserver.spent += min(used, r.amount)
}

func (r *fakeReserver) Reserve(_ context.Context, req prepaid.ReservationRequest) (prepaid.Reservation, error) {
	if r.block != nil {
		<-r.block
	}
	if r.err != nil {
		return nil, r.err
	}
	r.reserved += req.Bound
	return &fakeReservation{r, req.Bound}, nil
}

func (r *fakeReserver) SyncFailing() bool { return r.err != nil }

func newServer(t *testing.T, reserver *fakeReserver) *Server {
	return NewServer(t.Context(), reserver, metrics.NewRegistry(), discardLogger)
}

func reserveTokens(c *qt.C, s *Server, number uint64, bound prepaid.Tokens) *ReserveReply {
	reply := &ReserveReply{}
	c.Assert(s.Reserve(&ReserveArgs{ID: ID{"g", number}, Claim: prepaid.ReservationRequest{Workspace: "ws", Bound: bound}}, reply), qt.IsNil)
	return reply
}

func settleTokens(c *qt.C, s *Server, number uint64, used prepaid.Tokens) {
	c.Assert(s.Settle(&SettleArgs{Gate: "g", Settled: []Settlement{{number, used}}}, &SettleReply{}), qt.IsNil)
}

// Guards against a settlement that counts twice when it is sent again after a lost reply.
func TestSettleTwice(t *testing.T) {
	c := qt.New(t)
	reserver := &fakeReserver{}
	s := newServer(t, reserver)
	c.Assert(reserveTokens(c, s, 1, 100).Refused, qt.IsFalse)
	settleTokens(c, s, 1, 40)
	settleTokens(c, s, 1, 40)
	c.Assert(*reserver, qt.Equals, fakeReserver{spent: 40})
}

// Guards against a reservation that is granted, and never settled, after its gate abandoned it.
func TestAbandonedReservation(t *testing.T) {
	t.Run("before the request arrives", func(t *testing.T) {
		c := qt.New(t)
		reserver := &fakeReserver{}
		s := newServer(t, reserver)
		settleTokens(c, s, 1, 0)
		c.Assert(reserveTokens(c, s, 1, 100).Refused, qt.IsTrue)
		c.Assert(*reserver, qt.Equals, fakeReserver{})
	})
	t.Run("while the request waits", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			reserver := &fakeReserver{block: make(chan struct{})}
			s := newServer(t, reserver)
			go reserveTokens(c, s, 1, 100)
			synctest.Wait()
			settleTokens(c, s, 1, 0)
			close(reserver.block)
			synctest.Wait()
			c.Assert(reserver.reserved, qt.Equals, prepaid.Tokens(0))
			c.Assert(s.Unsettled(), qt.Equals, 0)
		})
	})
}

// Guards against keeping the reservations of dead gates for ever, and against releasing
// tokens that their requests may have consumed.
func TestUnsettledCountsAsSpent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		reserver := &fakeReserver{}
		s := newServer(t, reserver)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = s.Run(ctx) }()
		reserveTokens(c, s, 1, 100)
		time.Sleep(reservationTTL + 2*expireInterval)
		c.Assert(s.Unsettled(), qt.Equals, 0)
		settleTokens(c, s, 1, 0)
		c.Assert(*reserver, qt.Equals, fakeReserver{spent: 100})
		cancel()
	})
}

// Guards against a shutdown that releases shares while requests still use them, and against
// one that hangs.
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newServer(t, &fakeReserver{})
		reserveTokens(c, s, 1, 100)
		time.AfterFunc(time.Second, func() { settleTokens(c, s, 1, 50) })
		start := time.Now()
		s.Drain(t.Context())
		c.Assert(time.Since(start) >= time.Second, qt.IsTrue)
		reply := reserveTokens(c, s, 2, 100)
		c.Assert(reply.Refused && reply.Elsewhere, qt.IsTrue)

		s = newServer(t, &fakeReserver{})
		reserveTokens(c, s, 3, 100)
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		s.Drain(ctx)
		c.Assert(s.Unsettled(), qt.Equals, 1)
	})
}

// Guards against a refusal whose code, detail or RetryAfter is lost on the way to the gate, and
// against a wrong Elsewhere.
func TestRefusal(t *testing.T) {
	c := qt.New(t)
	reserver := &fakeReserver{err: verdict.New(verdict.NotRun, verdict.CodeBudgetExhausted, "used up").WithRetryAfter(time.Second)}
	reply := reserveTokens(c, newServer(t, reserver), 1, 100)
	var refusal *verdict.Error
	c.Assert(errors.As(reply.refusal(), &refusal), qt.IsTrue)
	c.Assert(*refusal, qt.Equals, verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeBudgetExhausted, Detail: "used up", RetryAfter: time.Second})
	c.Assert(reply.Elsewhere, qt.IsFalse) // no server can grant more than the balance
	reserver.err = verdict.New(verdict.NotRun, verdict.CodeBudgetUnreachable, "no share")
	c.Assert(reserveTokens(c, newServer(t, reserver), 1, 100).Elsewhere, qt.IsTrue)
}

// Of two refusals, the caller must learn that the balance is exhausted, or the later return: a second
// quota server may not have noticed an outage of the store yet.
func TestMergeRefusals(t *testing.T) {
	c := qt.New(t)
	unreachable := func(after time.Duration) *verdict.Error {
		return verdict.New(verdict.NotRun, verdict.CodeBudgetUnreachable, "").WithRetryAfter(after)
	}
	short, long := unreachable(time.Second), unreachable(3*time.Second)
	exhausted := verdict.New(verdict.NotRun, verdict.CodeBudgetExhausted, "")
	for _, test := range []struct{ first, second, want error }{
		{nil, short, short}, {short, long, long}, {long, short, long}, {long, exhausted, exhausted},
	} {
		c.Check(mergeRefusals(test.first, test.second), qt.Equals, test.want)
	}
}

// Quota servers run on a few of many hosts only: gates must find one and stay with it, and take
// shares of their own, which divide the balance, in the first second at most.
func TestFewHostsRunQuotaServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newSimulation(t, 1, 4, 5, 40_000_000)
		s.bareHosts = 95
		own := func() (reservations int64) {
			for _, g := range s.gates {
				reservations += g.client.stats.fallback.Count()
			}
			return reservations
		}
		run := func(requests int) {
			for range requests {
				s.request()
				time.Sleep(10 * time.Millisecond)
			}
		}
		run(100)
		before := own()
		run(1500)
		_, refused, slowest := s.totals()
		c.Check(refused, qt.Equals, 0)
		c.Check(slowest < 100*time.Millisecond, qt.IsTrue, qt.Commentf("%v", slowest))
		c.Check(own(), qt.Equals, before)
		s.stopAll()
		time.Sleep(5 * time.Second)
	})
}

// The loss of one quota server must not reach most workspaces of a fleet that has few.
func TestFewWorkspacesAreSpread(t *testing.T) {
	c := qt.New(t)
	for _, workspaces := range []int{1, 5, 10, 24} {
		counts := make(map[string]int)
		for i := range 1000 {
			counts[workspaceGroup(fmt.Sprint("ws-", i), workspaces)]++
		}
		for group, n := range counts {
			c.Check(n < 400, qt.IsTrue, qt.Commentf("%d of 1000 workspaces in group %s of a fleet with %d", n, group, workspaces))
		}
	}
}

// Workspaces must be spread over groups of a few each, at any number of workspaces, and one more
// workspace must not move the others.
func TestWorkspaceGroup(t *testing.T) {
	c := qt.New(t)
	for _, workspaces := range []int{0, 1, 10, 40, 910} {
		sizes := make(map[string]int)
		for i := range workspaces {
			sizes[workspaceGroup(fmt.Sprint("workspace-", i), workspaces)]++
		}
		for group, size := range sizes {
			c.Check(size <= 4*maxWorkspacesPerGroup, qt.IsTrue, qt.Commentf("group %s of %d workspaces has %d", group, workspaces, size))
		}
		c.Check(len(sizes)*maxWorkspacesPerGroup >= workspaces, qt.IsTrue, qt.Commentf("%d groups of %d workspaces", len(sizes), workspaces))
	}
	for _, workspaces := range []int{10, 24, 40} {
		c.Check(workspaceGroup("w", workspaces+1), qt.Equals, workspaceGroup("w", workspaces))
	}
}
