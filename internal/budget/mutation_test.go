package budget

import (
	"math/rand"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// mutations are bugs injected into the system under test, each with the seed of a
// sequence in which the checks of the simulation find it. A change of the simulation
// changes the sequences: the test then searches the next seeds and logs the one that
// it found.
var mutations = []struct {
	name string
	seed int64
	bugs injectedBugs
}{
	{"agents ignore fences", 12, injectedBugs{ignoreFences: true}},
	{"agents ignore the account's epoch", 173, injectedBugs{ignoreAccountEpochs: true}},
	{"lots are used on sessions without a later exchange", 408, injectedBugs{skipConfirmation: true}},
	{"a request is settled twice", 1, injectedBugs{settleTwice: true}},
	{"a released limit is used again", 1, injectedBugs{reuseReleasedLimit: true}},
	{"takeover without unreconciled escrow", 1, injectedBugs{skipReconciliation: true}},
	{"a flush with an unknown outcome is taken as failed", 0, injectedBugs{unknownFlushIsFailed: true}},
	{"slots of accepted bills are forgotten", 1, injectedBugs{forgetAcceptedSlots: true}},
	{"lost ledgers of agents are ignored", 29, injectedBugs{ignoreLostAgents: true}},
	{"routers send an epoch that did not confirm the lot", 269, injectedBugs{sendUnconfirmedEpoch: true}},
}

// maxMutationSeeds is the number of seeds that are searched for each mutation.
const maxMutationSeeds = 200

// TestMutations guards against checks of the simulation that cannot fail.
func TestMutations(t *testing.T) {
	for _, m := range mutations {
		t.Run(m.name, func(t *testing.T) {
			for i := range int64(maxMutationSeeds) {
				err := run(rand.New(rand.NewSource(m.seed+i)).Intn, m.bugs, 500)
				if err != nil {
					t.Logf("seed %d: %v", m.seed+i, err)
					return
				}
			}
			t.Errorf("bug not found in %d sequences from seed %d on", maxMutationSeeds, m.seed)
		})
	}
}

// obtainLot makes a router obtain a lot of budgetA from a holder.
func (s *sim) obtainLot(c *qt.C, r *simulatedRouter, holder *simulatedHolder, amount Tokens) {
	for range 3 {
		r.wallet.SetWaiting(s.now, budgetA, amount)
		s.now = s.now.Add(time.Second)
		s.exchangeWith(r, holder)
		s.deliverAll()
		s.flush(holder, 9)
	}
	r.wallet.SetWaiting(s.now, budgetA, 0)
	c.Assert(r.wallet.budgets[budgetA].lot, qt.IsNotNil)
}

// connect opens sessions from a router to the region's agents.
func (s *sim) connect(r *simulatedRouter) {
	s.now = s.now.Add(time.Millisecond)
	for _, a := range s.agents {
		if _, known := r.sessions[a.incarnation]; a.region == r.region && !known {
			r.sessions[a.incarnation] = s.now
		}
	}
	s.now = s.now.Add(time.Millisecond)
}

// testWithAndWithoutBug runs a scenario without the bug, when the checks must pass,
// and with it, when they must fail.
func testWithAndWithoutBug(t *testing.T, bugs injectedBugs, scenario func(c *qt.C, s *sim)) {
	for _, b := range []injectedBugs{{}, bugs} {
		c := qt.New(t)
		s := newSim(func(int) int { return 0 }, b)
		s.topUp(budgetA, 100)
		scenario(c, s)
		s.checkInvariants()
		c.Assert(s.err != nil, qt.Equals, b != injectedBugs{}, qt.Commentf("%v", s.err))
	}
}

// TestRestartedAgentKnowsEpochs guards against an agent that loses an account's
// epoch in a restart and then runs requests on lots that the replaced holder,
// partitioned from the store, still grants.
func TestRestartedAgentKnowsEpochs(t *testing.T) {
	testWithAndWithoutBug(t, injectedBugs{skipInitEpochs: true}, func(c *qt.C, s *sim) {
		r0, r1, a := s.routers[0], s.routers[1], s.agents[0]
		s.takeOver(r0)
		replaced := s.currentHolder(r0.region)
		s.connect(r0)
		s.obtainLot(c, r0, replaced, 10)
		s.down[[2]string{r0.name, "store"}], s.down[[2]string{r0.name, r1.name}] = true, true
		s.takeOver(r1)
		s.recover(s.currentHolder(r1.region), false)
		s.deliverAll()
		s.finishRecovery(s.currentHolder(r1.region))
		c.Assert(s.currentHolder(r1.region).core.Reconciling(), qt.IsFalse)
		s.stopAgent(a)
		s.startAgent(a)
		s.connect(r0)
		s.obtainLot(c, r0, replaced, 10)
	})
}

// TestSettlementWaitsForFlush guards against an amount that is granted twice: a
// holder fences a live router, grants the amount of its lot to another one and dies
// before a flush, and the successor accepts the lots of both.
func TestSettlementWaitsForFlush(t *testing.T) {
	testWithAndWithoutBug(t, injectedBugs{grantBeforeFlush: true}, func(c *qt.C, s *sim) {
		r0, r1 := s.routers[0], s.routers[1]
		s.takeOver(r0)
		predecessor := s.currentHolder(r0.region)
		s.obtainLot(c, r1, predecessor, 100)
		_, ok := predecessor.core.BeginFence(r1.incarnation)
		c.Assert(ok, qt.IsTrue)
		s.recover(predecessor, false)
		s.deliverAll()
		s.finishRecovery(predecessor)
		c.Assert(predecessor.core.Fences(), qt.HasLen, 0)
		r0.wallet.SetWaiting(s.now, budgetA, 100)
		s.exchangeWith(r0, predecessor)
		s.deliverAll()
		s.takeOver(r1)
		s.recover(s.currentHolder(r1.region), false)
		s.deliverAll()
	})
}

// TestReplacedHolderIsIgnored guards against a router that reports its lots to a
// new holder and then accepts a higher limit from the replaced one.
func TestReplacedHolderIsIgnored(t *testing.T) {
	testWithAndWithoutBug(t, injectedBugs{acceptStaleEpoch: true}, func(c *qt.C, s *sim) {
		r0, r1 := s.routers[0], s.routers[1]
		s.takeOver(r0)
		s.connect(r0)
		s.obtainLot(c, r0, s.currentHolder(r0.region), 40)
		r0.wallet.SetWaiting(s.now, budgetA, 90)
		s.exchangeWith(r0, s.currentHolder(r0.region))
		s.deliver(0, false) // the request; its reply is in flight
		s.takeOver(r1)
		h := s.currentHolder(r1.region).core
		lots, _, ok := r0.wallet.ReportLots(s.now, h.Account(), h.Epoch())
		c.Assert(ok, qt.IsTrue)
		h.ApplyRouterLots(s.now, r0.incarnation, lots)
		s.deliverAll()
		s.dispatch(r0, budgetA, 80)
		s.deliverAll()
		s.finishAttempt(s.agents[0], 80)
		s.recover(s.currentHolder(r1.region), false)
		s.deliverAll()
	})
}
