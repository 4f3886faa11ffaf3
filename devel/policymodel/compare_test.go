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

// region is one region of a deployment with its size.
type region struct {
	name             string
	workload         Workload
	servers, routers int
	latency          time.Duration
	capacity         func() float64 // of one server
}

var yukimiCapacity, armorCapacity = sync.OnceValue(Yukimi().Capacity), sync.OnceValue(Armor().Capacity)

var regions = []region{
	{"yukimi doo-central", Yukimi(), 14, 3, time.Millisecond, yukimiCapacity},
	{"yukimi doo-east", Yukimi(), 6, 2, time.Millisecond, yukimiCapacity},
	{"armor finistere", Armor(), 14, 3, 500 * time.Microsecond, armorCapacity},
	{"armor ille-vilaine", Armor(), 6, 2, 500 * time.Microsecond, armorCapacity},
}

// Routing targets of section 1.4 of the design page, and the load, as a share of the
// capacity, and the seed of the runs.
const (
	targetFirstToken   = 1200 * time.Millisecond
	targetPrefillShare = 0.7
	targetGoodput      = 0.95
	load               = 0.8
	seed               = 11
)

// run simulates one policy at 80% of the servers' total capacity. crashed is the number
// of servers that crash at the end of the warm-up, removed the number of servers that
// are absent from the start.
func (reg region) run(policy route.Policy, crashed, removed int) Result {
	return Run(Config{
		Policy: policy, Workload: reg.workload, Servers: reg.servers - removed, Routers: reg.routers, Latency: reg.latency,
		ConversationsPerSecond: load * reg.capacity() * float64(reg.servers),
		Seed:                   seed, WarmUp: 4 * time.Minute, Measured: measured, Crashes: crashed,
	})
}

const measured = 4 * time.Minute

// Guards against a default policy that misses the routing targets: the time to first
// token at 80% of capacity, the prefill tokens relative to the least-loaded policy,
// and the goodput after a third of the servers crash. Run with -v to print the table
// of all policies.
func TestComparePolicies(t *testing.T) {
	for _, reg := range regions {
		t.Run(reg.name, func(t *testing.T) {
			t.Parallel()
			crashes := (reg.servers + 2) / 3
			results, afterCrash := map[string]Result{}, map[string]Result{}
			bestRemainingGoodput := 0.0 // goodput of the remaining servers under the best policy
			for _, policy := range route.Policies() {
				results[policy.Name()] = reg.run(policy, 0, 0)
				afterCrash[policy.Name()] = reg.run(policy, crashes, 0)
				bestRemainingGoodput = math.Max(bestRemainingGoodput, reg.run(policy, 0, crashes).Goodput(measured))
			}
			leastLoadedPrefill := results[route.LeastLoaded{}.Name()].PrefillPerRequest()
			t.Logf("%d servers, %d routers, %d crashed, %.2f conversations/s per server at capacity, seed %d",
				reg.servers, reg.routers, crashes, reg.capacity(), seed)
			t.Logf("%-16s %8s %8s %8s %8s %9s %8s %9s", "policy", "prefill", "of least", "p50 ms", "p95 ms", "p99 ms", "refused", "goodput kept")
			for _, policy := range route.Policies() {
				r, l := results[policy.Name()], afterCrash[policy.Name()]
				t.Logf("%-16s %8.0f %7.0f%% %8d %8d %9d %7.2f%% %8.1f%%", r.Policy, r.PrefillPerRequest(),
					100*r.PrefillPerRequest()/leastLoadedPrefill, r.Quantile(0.5).Milliseconds(), r.Quantile(0.95).Milliseconds(),
					r.Quantile(0.99).Milliseconds(), 100*float64(r.Refused)/float64(r.Requests), 100*l.Goodput(measured)/bestRemainingGoodput)
			}
			chosen := route.NewProbedAffinity().Name()
			r := results[chosen]
			qt.Check(t, r.Quantile(0.95) <= targetFirstToken, qt.IsTrue, qt.Commentf("%v", r.Quantile(0.95)))
			qt.Check(t, r.PrefillPerRequest() <= targetPrefillShare*leastLoadedPrefill, qt.IsTrue, qt.Commentf("%.0f of %.0f", r.PrefillPerRequest(), leastLoadedPrefill))
			goodput := afterCrash[chosen].Goodput(measured)
			qt.Check(t, goodput >= targetGoodput*bestRemainingGoodput, qt.IsTrue, qt.Commentf("%.0f of %.0f", goodput, bestRemainingGoodput))
		})
	}
}

// Guards against nondeterministic runs.
func TestRunIsDeterministic(t *testing.T) {
	first := regions[1].run(route.NewProbedAffinity(), 1, 0)
	second := regions[1].run(route.NewProbedAffinity(), 1, 0)
	qt.Assert(t, slices.Equal(second.FirstToken, first.FirstToken), qt.IsTrue)
	qt.Assert(t, second.PrefillTokens, qt.Equals, first.PrefillTokens)
	qt.Assert(t, second.Refused, qt.Equals, first.Refused)
}
