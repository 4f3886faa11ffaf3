package budget

import (
	"flag"
	"math/rand"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// defaultRapidSeed makes the tests that use rapid reproducible. To run longer with a
// new seed:
//
//	go test ./internal/budget -run TestModel -rapid.seed=$RANDOM -rapid.checks=100000
const defaultRapidSeed = "20270101"

func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed").Value; seed.String() == "0" {
		if err := seed.Set(defaultRapidSeed); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// quiesce ends all faults, runs rounds until all escrow is returned, and checks the
// final state.
func (s *sim) quiesce() {
	s.quiescing = true
	clear(s.down)
	for _, r := range s.routers {
		r.wallet.SetWaiting(s.now, budgetA, 0)
		r.wallet.SetWaiting(s.now, budgetB, 0)
	}
	for _, a := range s.agents {
		if !a.alive {
			s.startAgent(a)
		}
		s.initEpochs(a)
	}
	for range 60 {
		s.quiesceRound()
		if s.err != nil || s.allReturned() {
			break
		}
	}
	if s.err == nil {
		s.checkQuiescent()
	}
}

func (s *sim) deliverAll() {
	for len(s.messages) > 0 && s.err == nil {
		s.deliver(0, false)
	}
}

// quiesceRound does the periodic work of all processes once.
func (s *sim) quiesceRound() {
	s.now = s.now.Add(9 * time.Second)
	for _, region := range s.regions {
		if holder := s.currentHolder(region); holder == nil || holder.core.Deposed() || holder.core.Sealed() {
			r := s.routers[slices.IndexFunc(s.routers, func(r *simulatedRouter) bool { return r.region == region })]
			if !r.alive {
				s.startRouter(r)
			}
			s.takeOver(r)
		}
	}
	for _, a := range s.agents {
		for len(a.running) > 0 {
			s.finishAttempt(a, 1+s.choose(60))
		}
	}
	s.deliverAll()
	for _, r := range s.routers {
		s.resolveRequests(r, false)
		s.abandonExchange(r)
		s.exchange(r)
		s.deliverAll()
		s.sendAcks(r)
	}
	s.deliverAll()
	for _, region := range s.regions {
		if holder := s.currentHolder(region); holder != nil {
			s.recover(holder, false)
			for _, a := range s.agents {
				if _, kept := a.ledger.Counts(); kept > 0 && a.region == region {
					s.collect(holder, a, FenceOrder{}) // acknowledges again after a lost message
				}
			}
			s.deliverAll()
			s.finishRecovery(holder)
			s.resolveFlush(holder)
			s.flush(holder, 9)
		}
	}
	s.deliverAll()
	if s.err == nil {
		s.checkInvariants()
	}
}

// allReturned reports whether all escrow is back in the treasury.
func (s *sim) allReturned() bool {
	for _, b := range s.treasury().Budgets {
		if len(b.Drawn) > 0 {
			return false
		}
	}
	return true
}

// checkQuiescent checks that all tokens that were used are billed once or lost, that
// all other amounts are back in the treasury, and that the ledgers are empty.
func (s *sim) checkQuiescent() {
	billed := s.checkBills()
	bills, lost := s.bills()
	unbilled := map[ID]Tokens{}
	for _, r := range s.requests {
		if cost := r.usedTokens(); cost > 0 && !billed[r.id] {
			unbilled[r.budget] += cost
		}
	}
	sum := map[ID]Tokens{}
	for _, b := range bills {
		sum[b.Budget] += b.Amount
	}
	for id, b := range s.treasury().Budgets {
		if unbilled[id] > lost[id] {
			s.failf("budget %s: %d tokens used without a bill, %d lost", id, unbilled[id], lost[id])
		}
		if len(b.Drawn) > 0 || b.ClosedSpent != sum[id] || b.ClosedLost != lost[id] {
			s.failf("budget %s is not quiescent: drawn %v, closed spent %d, billed %d, closed lost %d, losses in bill blocks %d",
				id, b.Drawn, b.ClosedSpent, sum[id], b.ClosedLost, lost[id])
		}
		if len(s.lostAgents) == 0 && lost[id] > 0 {
			s.failf("budget %s: %d tokens lost although no agent died", id, lost[id])
		}
	}
	for _, a := range s.agents {
		if running, kept := a.ledger.Counts(); running+kept > 0 {
			s.failf("agent %s still has %d running attempts and %d bills", a.name, running, kept)
		}
	}
}

const (
	// sequenceCount is the number of sequences of TestModelSeeds, one per seed.
	sequenceCount = 600
	// parallelSubtests is the number of subtests among which they are divided.
	parallelSubtests = 4
)

// run runs a simulation for a number of steps and returns the first failed check.
func run(choose choice, bugs injectedBugs, steps int) (err error) {
	s := newSim(choose, bugs)
	s.topUp(budgetA, 200)
	s.topUp(budgetB, 120)
	for i := 0; i < steps && s.err == nil; i++ {
		s.step()
	}
	if s.err == nil {
		s.quiesce()
	}
	return s.err
}

// TestModel guards against overspend, duplicate bills, lost bills and amounts that
// are never returned, under random sequences of all simulated faults.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") }
		if err := run(pick, injectedBugs{}, 200); err != nil {
			t.Fatal(err)
		}
	})
}

// TestModelSeeds is TestModel with a plain generator, whose sequences are longer and
// more uniform.
func TestModelSeeds(t *testing.T) {
	for part := range parallelSubtests {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			for seed := part; seed < sequenceCount; seed += parallelSubtests {
				rng := rand.New(rand.NewSource(int64(seed)))
				if err := run(rng.Intn, injectedBugs{}, 500); err != nil {
					t.Fatalf("seed %d: %v", seed, err)
				}
			}
		})
	}
}
