package policymodel

import (
	"math"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonworks/monsoonworks/internal/route"
)

// size is one region of a deployment.
type size struct {
	name             string
	workload         Workload
	servers, routers int
	latency          time.Duration
	capacity         func() float64 // of one server
}

var yukimiCapacity, armorCapacity = sync.OnceValue(Yukimi().Capacity), sync.OnceValue(Armor().Capacity)

var sizes = []size{
	{"yukimi doo-central", Yukimi(), 14, 3, time.Millisecond, yukimiCapacity},
	{"yukimi doo-east", Yukimi(), 6, 2, time.Millisecond, yukimiCapacity},
	{"armor finistere", Armor(), 14, 3, 500 * time.Microsecond, armorCapacity},
	{"armor ille-vilaine", Armor(), 6, 2, 500 * time.Microsecond, armorCapacity},
}

// Targets of section 1.4 of the design page.
const (
	targetFirstToken   = 1200 * time.Millisecond
	targetPrefillShare = 0.7
	targetGoodput      = 0.95
	load               = 0.8
	seed               = 11
)

// run runs one policy at 80% of the capacity that the servers have alone, with
// some servers lost, or left out from the start.
func (s size) run(policy route.Policy, lose, without int) Result {
	return Run(Config{
		Policy: policy, Workload: s.workload, Servers: s.servers - without, Routers: s.routers, Latency: s.latency,
		ConversationsPerSecond: load * s.capacity() * float64(s.servers),
		Seed:                   seed, WarmUp: 4 * time.Minute, Measured: measured, Lose: lose,
	})
}

const measured = 4 * time.Minute

// Guards against a default policy that misses the targets of routing: the time to
// the first token at 80% of capacity, the prefill tokens saved against the least
// loaded server, and the goodput with a third of the servers lost. Run with -v for
// the table of all policies.
func TestComparePolicies(t *testing.T) {
	for _, s := range sizes {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			third := (s.servers + 2) / 3
			results, lost := map[string]Result{}, map[string]Result{}
			carried := 0.0 // what the rest can carry, by the best policy
			for _, policy := range route.Policies() {
				results[policy.Name()] = s.run(policy, 0, 0)
				lost[policy.Name()] = s.run(policy, third, 0)
				carried = math.Max(carried, s.run(policy, 0, third).Goodput(measured))
			}
			least := results[route.LeastLoaded{}.Name()].PrefillPerRequest()
			t.Logf("%d servers, %d routers, %d lost, %.2f conversations/s per server at capacity, seed %d",
				s.servers, s.routers, third, s.capacity(), seed)
			t.Logf("%-16s %8s %8s %8s %8s %9s %8s %9s", "policy", "prefill", "of least", "p50 ms", "p95 ms", "p99 ms", "refused", "goodput lost")
			for _, policy := range route.Policies() {
				r, l := results[policy.Name()], lost[policy.Name()]
				t.Logf("%-16s %8.0f %7.0f%% %8d %8d %9d %7.2f%% %8.1f%%", r.Policy, r.PrefillPerRequest(),
					100*r.PrefillPerRequest()/least, r.Quantile(0.5).Milliseconds(), r.Quantile(0.95).Milliseconds(),
					r.Quantile(0.99).Milliseconds(), 100*float64(r.Refused)/float64(r.Requests), 100*l.Goodput(measured)/carried)
			}
			chosen := route.NewProbedAffinity().Name()
			r := results[chosen]
			qt.Check(t, r.Quantile(0.95) <= targetFirstToken, qt.IsTrue, qt.Commentf("%v", r.Quantile(0.95)))
			qt.Check(t, r.PrefillPerRequest() <= targetPrefillShare*least, qt.IsTrue, qt.Commentf("%.0f of %.0f", r.PrefillPerRequest(), least))
			goodput := lost[chosen].Goodput(measured)
			qt.Check(t, goodput >= targetGoodput*carried, qt.IsTrue, qt.Commentf("%.0f of %.0f", goodput, carried))
		})
	}
}

// Guards against runs that cannot be repeated.
func TestRunIsDeterministic(t *testing.T) {
	first := sizes[1].run(route.NewProbedAffinity(), 1, 0)
	second := sizes[1].run(route.NewProbedAffinity(), 1, 0)
	qt.Assert(t, slices.Equal(second.FirstToken, first.FirstToken), qt.IsTrue)
	qt.Assert(t, second.PrefillTokens, qt.Equals, first.PrefillTokens)
	qt.Assert(t, second.Refused, qt.Equals, first.Refused)
}
