package route

import (
	"context"
	"time"
)

// Candidates are the servers among which a policy chooses for one request, numbered
// from 0. It is not safe for concurrent use.
type Candidates interface {
	// Len returns the number of servers.
	Len() int
	// Usable reports whether server i may be chosen now. It is false for servers
	// that are leaving, ejected or excluded. For servers in slow start it is true at
	// random, in proportion to their weight.
	Usable(i int) bool
	// Load returns the load of server i in requests per slot: what the server last
	// reported plus what this router has sent since.
	Load(i int) float64
	// HashServer returns the healthy server to which rendezvous hashing maps a key,
	// -1 if there is none.
	HashServer(key uint64) int
	// Probe probes the given servers for their expected time to the first token. It
	// stores the estimate of servers[k] in estimates[k].
	Probe(ctx context.Context, servers []int, estimates []Estimate)
	// IntN returns a random number in [0, n).
	IntN(n int) int
}

// Estimate is the result of a probe.
type Estimate struct {
	// Known is false if the server did not reply in time.
	Known bool
	// FirstToken is the expected time to the first token.
	FirstToken time.Duration
	// CachedTokens is the estimated length of the cached part of the prompt, in
	// tokens.
	CachedTokens int32
}

// Pick is the choice of a policy.
type Pick struct {
	Server   int
	Estimate Estimate // not Known if the policy does not probe
	Reason   string
}

// Policy chooses one of several servers. It is safe for concurrent use.
type Policy interface {
	// Name returns the name under which the policy is known to operators.
	Name() string
	// Pick chooses a candidate. It returns false if none is usable.
	Pick(ctx context.Context, q *Query, c Candidates) (Pick, bool)
}

// Policies returns all policies with their default parameters, the default policy
// last.
func Policies() []Policy {
	return []Policy{
		&RoundRobin{}, LeastLoaded{}, PowerOfTwo{},
		BoundedHash{LoadFactor: DefaultLoadFactor}, NewProbedAffinity(),
	}
}

// maxRandomDraws bounds the random draws for a usable server. If all of them miss,
// as they do when most servers are unusable, the servers are searched in order.
const maxRandomDraws = 8

// randomUsable returns a random usable server that is not in chosen, -1 if there is
// none. It requires at least one candidate.
func randomUsable(c Candidates, chosen []int) int {
	n := c.Len()
	for range maxRandomDraws {
		if i := c.IntN(n); usableExcept(c, chosen, i) {
			return i
		}
	}
	start := c.IntN(n)
	for k := range n {
		if i := (start + k) % n; usableExcept(c, chosen, i) {
			return i
		}
	}
	return -1
}

// usableExcept reports whether server i is usable and not in chosen.
func usableExcept(c Candidates, chosen []int, i int) bool {
	for _, other := range chosen {
		if other == i {
			return false
		}
	}
	return c.Usable(i)
}
