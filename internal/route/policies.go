package route

import (
	"context"
	"math/bits"
	"sync/atomic"
	"time"
)

// RoundRobin takes the servers in turn.
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

// LeastLoaded takes the server with the lowest load by lagging reports.
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
	start := c.IntN(n) // routers with the same reports differ in their order of ties
	for k := range n {
		if i := (start + k) % n; (best < 0 || c.Load(i) < c.Load(best)) && c.Usable(i) {
			best = i
		}
	}
	return Pick{Server: best, Reason: p.Name()}, best >= 0
}

// PowerOfTwo takes the less loaded of two random servers, by lagging reports.
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

// DefaultLoadFactor is the load over the average at which BoundedHash leaves a
// server.
const DefaultLoadFactor = 1.25

// BoundedHash takes the server that rendezvous hashing gives to the prompt's
// prefix, or the next one while the load is over Factor times the average.
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
	bound := p.LoadFactor * (total + 1/float64(n)) / float64(n)
	deep, _ := affinityKeys(q.Prefixes)
	for salt := range uint64(n) {
		i := c.HashTarget(deep + salt*0x9e3779b97f4a7c15)
		if c.Load(i) <= bound && c.Usable(i) {
			return Pick{Server: i, Reason: p.Name()}, true
		}
	}
	return LeastLoaded{}.Pick(ctx, q, c)
}

// DefaultAffinityBias is how much later the first token may come at a server that
// was chosen for the prompt's prefix than at a random one. Going elsewhere costs
// the prefill of the prefix there, and again when the conversation comes back. In
// devel/policymodel, 100 ms instead of 0 saved 4 to 12% of the prefill tokens with
// about the same time to the first token, and 300 ms made that longer.
const DefaultAffinityBias = 100 * time.Millisecond

// ProbedAffinity probes two servers that rendezvous hashing gives to the prompt's
// prefix and a random one, and takes the one with the lowest expected time to the
// first token.
type ProbedAffinity struct{ AffinityBias time.Duration }

// NewProbedAffinity returns the policy with its default figures.
func NewProbedAffinity() ProbedAffinity { return ProbedAffinity{AffinityBias: DefaultAffinityBias} }

// Name implements Policy.
func (ProbedAffinity) Name() string { return "probed-affinity" }

// probedServers is the number of probes per request.
const probedServers = 3

// Pick implements Policy.
func (p ProbedAffinity) Pick(ctx context.Context, q *Query, c Candidates) (Pick, bool) {
	if c.Len() == 0 {
		return Pick{}, false
	}
	var space [probedServers]int
	chosen := space[:0]
	if len(q.Prefixes) > 0 {
		deep, shallow := affinityKeys(q.Prefixes)
		for _, key := range []uint64{deep, shallow} {
			if i := c.HashTarget(key); i >= 0 && usableNew(c, chosen, i) {
				chosen = append(chosen, i)
			}
		}
	}
	affine := len(chosen)
	for len(chosen) < probedServers {
		i := randomUsable(c, chosen)
		if i < 0 {
			break
		}
		chosen = append(chosen, i)
	}
	if len(chosen) == 0 {
		return Pick{}, false
	}
	var estimates [probedServers]Estimate
	c.Probe(ctx, chosen, estimates[:len(chosen)])
	best := p.best(c, chosen, affine, estimates[:len(chosen)])
	return Pick{Server: chosen[best], Estimate: estimates[best], Reason: p.reason(best, affine, estimates[best])}, true
}

// best returns the index of the best probed server. Without any answer it is the
// one with the least load that the router knows of.
func (p ProbedAffinity) best(c Candidates, chosen []int, affine int, estimates []Estimate) int {
	best := -1
	var bestTime time.Duration
	for k, e := range estimates {
		if !e.Known {
			continue
		}
		expected := e.FirstToken
		if k >= affine {
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

func (ProbedAffinity) reason(best, affine int, e Estimate) string {
	switch {
	case !e.Known:
		return "no probe was answered"
	case best < affine:
		return "lowest expected time, chosen by prefix"
	case affine > 0:
		return "lowest expected time, servers of the prefix are busy"
	default:
		return "lowest expected time"
	}
}

// affinityKeys returns the hashes of the prompt's longest prefix whose number of
// blocks is a power of two, and of the prefix half as long. A conversation that
// grows keeps its first key until it has doubled; then its former server is the
// one of the second key.
func affinityKeys(prefixes []uint64) (deep, shallow uint64) {
	depth := 1 << (bits.Len(uint(len(prefixes))) - 1)
	return prefixes[depth-1], prefixes[max(depth/2, 1)-1]
}
