// Package placement chooses a backend server for a request. It is pure decision code:
// it sees candidates as numbers and knows neither network nor clock.
package placement

import (
	"cmp"
	"slices"
	"time"
)

// Part is a part of a prompt that requests can share.
type Part struct {
	// ID names the part's content.
	ID     uint64
	Tokens int64
}

// Distance is how far a server is from the gate.
type Distance uint8

// Distances from near to far.
const (
	SameDomain Distance = iota
	SameRegion
	OtherRegion
)

// Candidate is a server that a request may be sent to.
type Candidate struct {
	// Key is a hash of the server's identity, the same at every gate.
	Key      uint64
	Distance Distance
	// AwaitingFirstByte is the number of requests that this gate has sent there and that
	// have not begun to answer; Running is the number of all that have not ended.
	AwaitingFirstByte int
	InProgress        int
	// Rank is the server's place among those of its domain, in 0 to 1, the same at
	// every gate.
	Rank float64
	// Degraded marks a server that answers, but late or with errors. It is chosen
	// only if no other can be.
	Degraded bool
}

// Query describes a request that needs a server.
type Query struct {
	// Parts are the parts of the prompt in order; the last one is the request's
	// own. Empty for a plain service.
	Parts []Part
	// PrefillTime is how long a long prompt usually takes until its first event, and
	// MaxEventGap the longest pause between events that is on time. 0 is unknown.
	PrefillTime time.Duration
	MaxEventGap time.Duration
}

// SharedTokens returns the number of prompt tokens that other requests share.
func (q *Query) SharedTokens() int64 {
	total := int64(0)
	for i := 0; i < len(q.Parts)-1; i++ {
		total += q.Parts[i].Tokens
	}
	return total
}

// promptTokens returns the number of tokens of the whole prompt.
func (q *Query) promptTokens() int64 {
	total := q.SharedTokens()
	if n := len(q.Parts); n > 0 {
		total += q.Parts[n-1].Tokens
	}
	return total
}

// affinityKey identifies the shared parts of the prompt.
func (q *Query) affinityKey() uint64 {
	key := uint64(0)
	for i := 0; i < len(q.Parts)-1; i++ {
		key = mix(key ^ q.Parts[i].ID)
	}
	return key
}

// Reason says in logs why a server was chosen.
type Reason string

// Reasons of a choice.
const (
	ReasonAffinity Reason = "affinity"
	ReasonSpill    Reason = "affinity-spill"
	ReasonNearest  Reason = "nearest"
	ReasonDegraded Reason = "only-avoided-left"
)

// Policy holds the figures of the choice.
type Policy struct {
	// FleetAffinityTokens is the number of shared prompt tokens from which requests
	// with the same parts meet at one server of the whole fleet. With fewer they
	// meet at one server of the gate's domain, which saves bytes between domains.
	FleetAffinityTokens int64
	// LongPromptTokens is the number of prompt tokens from which a request is long.
	// Reading a long prompt delays the tokens of all requests at its server. Where
	// that takes more than IsolationThreshold of the longest pause, long requests go to one
	// part of the servers, LongPromptShare, and the others to the rest.
	LongPromptTokens   int64
	LongPromptShare    float64
	IsolationThreshold float64
	// MaxAwaitingFirstByte is the number of this gate's requests without a first token at
	// which a server is passed over. It keeps a popular prompt from
	// piling up at one server.
	MaxAwaitingFirstByte int
	// PlainSpillThreshold is the number of requests that this gate may have at a plain
	// server before one in another domain is preferred.
	PlainSpillThreshold int
}

// DefaultPolicy returns the figures for engines whose prefill of a long prompt
// takes a tenth of a second, and short plain requests.
func DefaultPolicy() Policy {
	return Policy{
		FleetAffinityTokens: 1500, LongPromptTokens: 2500, LongPromptShare: 0.7, IsolationThreshold: 0.8,
		MaxAwaitingFirstByte: 3, PlainSpillThreshold: 6,
	}
}

// IsLong reports whether a request's prompt is long.
func (p Policy) IsLong(q *Query) bool { return q.promptTokens() >= p.LongPromptTokens }

// apart reports whether requests with long prompts and others are kept apart.
func (p Policy) apart(q *Query) bool {
	return q.MaxEventGap > 0 && float64(q.PrefillTime) > p.IsolationThreshold*float64(q.MaxEventGap)
}

// Choose returns the index of the server for a request, -1 if there is no
// candidate.
func (p Policy) Choose(q Query, candidates []Candidate) (int, Reason) {
	if len(candidates) == 0 {
		return -1, ""
	}
	if len(q.Parts) > 1 {
		return p.chooseByPrompt(q, candidates)
	}
	return p.choosePlain(candidates)
}

// chooseByPrompt orders the servers by rendezvous hashing of the shared parts and
// takes the first that has room.
func (p Policy) chooseByPrompt(q Query, candidates []Candidate) (int, Reason) {
	key := q.affinityKey()
	fleetWide := q.SharedTokens() >= p.FleetAffinityTokens
	long, apart := p.IsLong(&q), p.apart(&q)
	strange := func(i int) bool { return apart && (candidates[i].Rank < p.LongPromptShare) != long }
	order := make([]int, len(candidates))
	for i := range order {
		order[i] = i
	}
	weight := func(i int) uint64 { return mix(key ^ candidates[i].Key) }
	slices.SortFunc(order, func(a, b int) int {
		if strangeA, strangeB := strange(a), strange(b); strangeA != strangeB {
			if strangeB {
				return -1
			}
			return 1
		}
		if !fleetWide {
			if c := cmp.Compare(candidates[a].Distance, candidates[b].Distance); c != 0 {
				return c
			}
		}
		return cmp.Compare(weight(b), weight(a))
	})
	for rank, i := range order {
		if c := &candidates[i]; !c.Degraded && c.AwaitingFirstByte < p.MaxAwaitingFirstByte {
			if rank == 0 {
				return i, ReasonAffinity
			}
			return i, ReasonSpill
		}
	}
	return leastWaiting(candidates)
}

// leastWaiting takes the server with the fewest waiting requests, an avoided one
// only if there is no other.
func leastWaiting(candidates []Candidate) (int, Reason) {
	best := 0
	for i := range candidates {
		if less(&candidates[i], &candidates[best]) {
			best = i
		}
	}
	if candidates[best].Degraded {
		return best, ReasonDegraded
	}
	return best, ReasonSpill
}

func less(a, b *Candidate) bool {
	if a.Degraded != b.Degraded {
		return !a.Degraded
	}
	if a.AwaitingFirstByte != b.AwaitingFirstByte {
		return a.AwaitingFirstByte < b.AwaitingFirstByte
	}
	return a.InProgress < b.InProgress
}

// choosePlain takes the nearest server that is not crowded, else the one with the
// fewest requests.
func (p Policy) choosePlain(candidates []Candidate) (int, Reason) {
	best := 0
	for i := range candidates {
		if p.plainLess(&candidates[i], &candidates[best]) {
			best = i
		}
	}
	if candidates[best].Degraded {
		return best, ReasonDegraded
	}
	return best, ReasonNearest
}

func (p Policy) plainLess(a, b *Candidate) bool {
	if a.Degraded != b.Degraded {
		return !a.Degraded
	}
	crowdedA, crowdedB := a.InProgress >= p.PlainSpillThreshold, b.InProgress >= p.PlainSpillThreshold
	if crowdedA != crowdedB {
		return !crowdedA
	}
	if !crowdedA && a.Distance != b.Distance {
		return a.Distance < b.Distance
	}
	return a.InProgress < b.InProgress
}

// mix spreads the bits of a hash (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
