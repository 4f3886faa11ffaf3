// Package placement chooses a backend server for a request. The gate calls it for
// each attempt. It is pure decision logic: it sees the state of the candidates as
// numbers and uses neither the network nor the clock.
package placement

import (
	"cmp"
	"slices"
	"time"
)

// Part is a part of a prompt. Requests whose prompts begin with the same parts can
// share their KV cache.
type Part struct {
	// ID is a hash that identifies the part's content.
	ID     uint64
	Tokens int64
}

// Distance is the network distance of a server from the gate.
type Distance uint8

// Distances, nearest first.
const (
	SameDomain Distance = iota
	SameRegion
	OtherRegion
)

// Candidate is the state of a server that can be chosen.
type Candidate struct {
	// Key is a hash of the server's identity, the same at every gate.
	Key      uint64
	Distance Distance
	// AwaitingFirstByte is the number of this gate's requests at the server without a
	// first response byte. InProgress also includes those with one.
	AwaitingFirstByte int
	InProgress        int
	// Rank is the server's position among those of its service and failure domain,
	// between 0 and 1. It is the same at every gate. Policy.LongPromptShare divides the
	// servers by it.
	Rank float64
	// Degraded servers are slow, return errors or have just refused a request. They are
	// chosen only if all candidates are degraded.
	Degraded bool
}

// Query describes the request to place.
type Query struct {
	// Parts are the parts of the prompt, in order. The last one is specific to the
	// request. Empty if the request is not placed by its prompt.
	Parts []Part
	// PrefillTime is the mean time to the first byte of the response to a long prompt.
	// It is 0 if unknown. EventGapObjective is the target for the longest gap between
	// events, 0 for none.
	PrefillTime       time.Duration
	EventGapObjective time.Duration
}

// SharedTokens returns the number of prompt tokens that other requests can share.
func (q *Query) SharedTokens() int64 {
	total := int64(0)
	for i := 0; i < len(q.Parts)-1; i++ {
		total += q.Parts[i].Tokens
	}
	return total
}

// promptTokens returns the length of the prompt in tokens.
func (q *Query) promptTokens() int64 {
	total := q.SharedTokens()
	if n := len(q.Parts); n > 0 {
		total += q.Parts[n-1].Tokens
	}
	return total
}

// affinityKey returns a hash of the shared parts of the prompt.
func (q *Query) affinityKey() uint64 {
	key := uint64(0)
	for i := 0; i < len(q.Parts)-1; i++ {
		key = mix(key ^ q.Parts[i].ID)
	}
	return key
}

// Reason is the reason for a choice, for logs.
type Reason string

const (
	// ReasonAffinity means the first server in the order of chooseByAffinity.
	ReasonAffinity Reason = "affinity"
	// ReasonSpill means that the first server in that order was degraded or had too many
	// requests awaiting their first byte.
	ReasonSpill Reason = "affinity-spill"
	// ReasonNearest is the choice for requests without shared prompt parts.
	ReasonNearest Reason = "nearest"
	// ReasonDegraded means that all candidates are degraded.
	ReasonDegraded Reason = "only-avoided-left"
)

// Policy holds the parameters of the choice.
type Policy struct {
	// FleetAffinityTokens is the number of shared prompt tokens from which requests
	// with the same parts go to the same server, whatever its failure domain. With
	// fewer tokens they go to the same server of the gate's failure domain, which
	// saves traffic between domains.
	FleetAffinityTokens int64
	// LongPromptTokens is the number of prompt tokens from which a prompt is long.
	// The prefill of a long prompt delays the tokens of all requests at its server.
	// If PrefillTime exceeds IsolationThreshold times EventGapObjective, long prompts
	// therefore go to the servers with a rank below LongPromptShare, and other prompts
	// to the rest.
	LongPromptTokens   int64
	LongPromptShare    float64
	IsolationThreshold float64
	// MaxAwaitingFirstByte is the number of this gate's requests awaiting their first
	// byte at which a server is skipped. It keeps the requests with a popular prompt
	// from queueing at one server.
	MaxAwaitingFirstByte int
	// PlainSpillThreshold applies to requests without shared prompt parts. It is the
	// number of this gate's requests in progress at a server from which another server
	// is preferred to it, also one in another failure domain.
	PlainSpillThreshold int
}

// DefaultPolicy returns the parameters for engines that prefill a long prompt in
// about 100 ms, and for short requests to plain services.
func DefaultPolicy() Policy {
	return Policy{
		FleetAffinityTokens: 1500, LongPromptTokens: 2500, LongPromptShare: 0.7, IsolationThreshold: 0.8,
		MaxAwaitingFirstByte: 3, PlainSpillThreshold: 6,
	}
}

// IsLong reports whether the request has a long prompt.
func (p Policy) IsLong(q *Query) bool { return q.promptTokens() >= p.LongPromptTokens }

// isolates reports whether long prompts and other prompts go to separate servers.
func (p Policy) isolates(q *Query) bool {
	return q.EventGapObjective > 0 && float64(q.PrefillTime) > p.IsolationThreshold*float64(q.EventGapObjective)
}

// Choose returns the index of the chosen candidate and the reason, or -1 if there
// are no candidates.
func (p Policy) Choose(q Query, candidates []Candidate) (int, Reason) {
	if len(candidates) == 0 {
		return -1, ""
	}
	if len(q.Parts) > 1 {
		return p.chooseByAffinity(q, candidates)
	}
	return p.choosePlain(candidates)
}

// chooseByAffinity chooses the first server that is not degraded and has fewer than
// MaxAwaitingFirstByte requests awaiting their first byte, or the least loaded server if
// there is none. The order is by distance if fewer than FleetAffinityTokens tokens are
// shared, and then by rendezvous hashing of the shared parts. If long prompts are
// isolated, servers for the other class of prompts come last.
func (p Policy) chooseByAffinity(q Query, candidates []Candidate) (int, Reason) {
	key := q.affinityKey()
	fleetWide := q.SharedTokens() >= p.FleetAffinityTokens
	long, isolate := p.IsLong(&q), p.isolates(&q)
	// With isolation, servers for the other class of prompts come last.
	outsidePool := func(i int) bool { return isolate && (candidates[i].Rank < p.LongPromptShare) != long }
	order := make([]int, len(candidates))
	for i := range order {
		order[i] = i
	}
	score := func(i int) uint64 { return mix(key ^ candidates[i].Key) }
	slices.SortFunc(order, func(a, b int) int {
		if outsideA, outsideB := outsidePool(a), outsidePool(b); outsideA != outsideB {
			if outsideB {
				return -1
			}
			return 1
		}
		if !fleetWide {
			if c := cmp.Compare(candidates[a].Distance, candidates[b].Distance); c != 0 {
				return c
			}
		}
		return cmp.Compare(score(b), score(a))
	})
	for position, i := range order {
		if c := &candidates[i]; !c.Degraded && c.AwaitingFirstByte < p.MaxAwaitingFirstByte {
			if position == 0 {
				return i, ReasonAffinity
			}
			return i, ReasonSpill
		}
	}
	return leastLoaded(candidates)
}

// leastLoaded chooses the server with the fewest requests awaiting their first
// byte, a degraded one only if all are degraded.
func leastLoaded(candidates []Candidate) (int, Reason) {
	best := 0
	for i := range candidates {
		if lessLoaded(&candidates[i], &candidates[best]) {
			best = i
		}
	}
	if candidates[best].Degraded {
		return best, ReasonDegraded
	}
	return best, ReasonSpill
}

// lessLoaded reports whether leastLoaded prefers a to b.
func lessLoaded(a, b *Candidate) bool {
	if a.Degraded != b.Degraded {
		return !a.Degraded
	}
	if a.AwaitingFirstByte != b.AwaitingFirstByte {
		return a.AwaitingFirstByte < b.AwaitingFirstByte
	}
	return a.InProgress < b.InProgress
}

// choosePlain places a request without shared prompt parts. It chooses the nearest
// server with fewer than PlainSpillThreshold requests in progress. If there is none,
// it chooses the one with the fewest. Degraded servers come last.
func (p Policy) choosePlain(candidates []Candidate) (int, Reason) {
	best := 0
	for i := range candidates {
		if p.plainBefore(&candidates[i], &candidates[best]) {
			best = i
		}
	}
	if candidates[best].Degraded {
		return best, ReasonDegraded
	}
	return best, ReasonNearest
}

// plainBefore reports whether choosePlain prefers a to b.
func (p Policy) plainBefore(a, b *Candidate) bool {
	if a.Degraded != b.Degraded {
		return !a.Degraded
	}
	fullA, fullB := a.InProgress >= p.PlainSpillThreshold, b.InProgress >= p.PlainSpillThreshold
	if fullA != fullB {
		return !fullA
	}
	if !fullA && a.Distance != b.Distance {
		return a.Distance < b.Distance
	}
	return a.InProgress < b.InProgress
}

// mix spreads the bits of a hash; it is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
