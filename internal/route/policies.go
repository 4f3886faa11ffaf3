package route

import (
	"context"
	"math/bits"
	"sync/atomic"
	"time"
)

// RoundRobin chooses the servers in turn.
type RoundRobin struct{ next atomic.Uint64 }

// Name implements Policy.
func (*RoundRobin) Name() string { return "round-robin" }

// Pick implements Policy.
func (p *RoundRobin) Pick(_ context.Context, _ *Query, c Candidates) (Pick, bool) {
	n := c.Len()
	for range n {
		if i := int(p.next.Add(1) % uint64(n)); c.Usable(i) {
			return Pick{Server: i, Reason: p.Name()}, true
		}
	}
	return Pick{}, false
}

// LeastLoaded chooses the server with the lowest Candidates.Load. The reports that
// Load is based on lag behind the actual load.
type LeastLoaded struct{}

// Name implements Policy.
func (LeastLoaded) Name() string { return "least-loaded" }

// Pick implements Policy.
func (p LeastLoaded) Pick(_ context.Context, _ *Query, c Candidates) (Pick, bool) {
	n := c.Len()
	if n == 0 {
		return Pick{}, false
	}
	best := -1
	start := c.IntN(n) // so that routers with the same reports break ties differently
	for k := range n {
		if i := (start + k) % n; (best < 0 || c.Load(i) < c.Load(best)) && c.Usable(i) {
			best = i
		}
	}
	return Pick{Server: best, Reason: p.Name()}, best >= 0
}

// PowerOfTwo chooses the less loaded of two random servers, by Candidates.Load.
type PowerOfTwo struct{}

// Name implements Policy.
func (PowerOfTwo) Name() string { return "power-of-two" }

// Pick implements Policy.
func (p PowerOfTwo) Pick(_ context.Context, _ *Query, c Candidates) (Pick, bool) {
	if c.Len() == 0 {
		return Pick{}, false
	}
	first := randomUsable(c, nil)
	if first < 0 {
		return Pick{}, false
	}
	second := randomUsable(c, []int{first})
	if second >= 0 && c.Load(second) < c.Load(first) {
		first = second
	}
	return Pick{Server: first, Reason: p.Name()}, true
}

// DefaultLoadFactor is the default of BoundedHash.LoadFactor.
const DefaultLoadFactor = 1.25

// BoundedHash is rendezvous hashing of the prompt's prefix with bounded loads: it
// skips servers whose load exceeds LoadFactor times the average. Requests without a
// prefix are placed by PowerOfTwo.
type BoundedHash struct{ LoadFactor float64 }

// Name implements Policy.
func (BoundedHash) Name() string { return "bounded-hash" }

// Pick implements Policy.
func (p BoundedHash) Pick(ctx context.Context, q *Query, c Candidates) (Pick, bool) {
	n := c.Len()
	if n == 0 || len(q.Prefixes) == 0 {
		return PowerOfTwo{}.Pick(ctx, q, c)
	}
	total := 0.0
	for i := range n {
		total += c.Load(i)
	}
	maxLoad := p.LoadFactor * (total + 1/float64(n)) / float64(n)
	longKey, _ := affinityKeys(q.Prefixes)
	for salt := range uint64(n) {
		// The odd multiplier gives every salt a key of its own.
		i := c.HashServer(longKey + salt*0x9e3779b97f4a7c15)
		if c.Load(i) <= maxLoad && c.Usable(i) {
			return Pick{Server: i, Reason: p.Name()}, true
		}
	}
	return LeastLoaded{}.Pick(ctx, q, c)
}

// DefaultAffinityBias is the default of ProbedAffinity.AffinityBias. Choosing another
// server than those of a prefix costs a prefill of the prefix there, and another one
// when the conversation returns. In the simulation of devel/policymodel, 100 ms instead
// of 0 saved 4 to 12% of the prefill tokens at about the same time to the first token;
// 300 ms increased that time.
const DefaultAffinityBias = 100 * time.Millisecond

// ProbedAffinity probes the two servers to which rendezvous hashing maps the prompt's
// prefixes and random ones, up to maxProbes in all, and chooses the one with the lowest
// expected time to the first token. AffinityBias is added to the time of random servers.
type ProbedAffinity struct{ AffinityBias time.Duration }

// NewProbedAffinity returns the policy with DefaultAffinityBias.
func NewProbedAffinity() ProbedAffinity { return ProbedAffinity{AffinityBias: DefaultAffinityBias} }

// Name implements Policy.
func (ProbedAffinity) Name() string { return "probed-affinity" }

// maxProbes is the maximum number of servers probed per request.
const maxProbes = 3

// Pick implements Policy.
func (p ProbedAffinity) Pick(ctx context.Context, q *Query, c Candidates) (Pick, bool) {
	if c.Len() == 0 {
		return Pick{}, false
	}
	var buf [maxProbes]int
	chosen := buf[:0]
	if len(q.Prefixes) > 0 {
		longKey, shortKey := affinityKeys(q.Prefixes)
		for _, key := range []uint64{longKey, shortKey} {
			if i := c.HashServer(key); i >= 0 && usableExcept(c, chosen, i) {
				chosen = append(chosen, i)
			}
		}
	}
	byPrefix := len(chosen)
	for len(chosen) < maxProbes {
		i := randomUsable(c, chosen)
		if i < 0 {
			break
		}
		chosen = append(chosen, i)
	}
	if len(chosen) == 0 {
		return Pick{}, false
	}
	var estimates [maxProbes]Estimate
	c.Probe(ctx, chosen, estimates[:len(chosen)])
	best := p.best(c, chosen, byPrefix, estimates[:len(chosen)])
	return Pick{Server: chosen[best], Estimate: estimates[best], Reason: p.reason(best, byPrefix, estimates[best])}, true
}

// best returns the index in chosen of the server with the lowest expected time, or of
// the least loaded one if no probe was answered. The first byPrefix servers were
// chosen by prefix.
func (p ProbedAffinity) best(c Candidates, chosen []int, byPrefix int, estimates []Estimate) int {
	best := -1
	var bestTime time.Duration
	for k, e := range estimates {
		if !e.Known {
			continue
		}
		expected := e.FirstToken
		if k >= byPrefix {
			expected += p.AffinityBias
		}
		if best < 0 || expected < bestTime {
			best, bestTime = k, expected
		}
	}
	if best >= 0 {
		return best
	}
	best = 0
	for k := range chosen {
		if c.Load(chosen[k]) < c.Load(chosen[best]) {
			best = k
		}
	}
	return best
}

func (ProbedAffinity) reason(best, byPrefix int, e Estimate) string {
	switch {
	case !e.Known:
		return "no probe was answered"
	case best < byPrefix:
		return "lowest expected time, chosen by prefix"
	case byPrefix > 0:
		return "lowest expected time, servers of the prefix are busy"
	default:
		return "lowest expected time"
	}
}

// affinityKeys returns the hashes of the longest prefix of the prompt whose number of
// blocks is a power of two, and of the prefix half as long. A growing conversation
// keeps its long key until its length has doubled; that key then becomes its short
// key, so the server with its cached prefix is still probed.
func affinityKeys(prefixes []uint64) (longKey, shortKey uint64) {
	blocks := 1 << (bits.Len(uint(len(prefixes))) - 1)
	return prefixes[blocks-1], prefixes[max(blocks/2, 1)-1]
}
