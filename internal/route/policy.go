package route

import (
	"context"
	"time"
)

// Candidates is what a policy sees of the servers that it may choose from. They
// are numbered from 0. It is used by one goroutine.
type Candidates interface {
	Len() int
	// Usable reports whether server i may be chosen now. It is false for servers
	// that are leaving, ejected or excluded, and in part for servers that returned
	// a short time ago.
	Usable(i int) bool
	// Load returns the load of server i in requests per slot, as reported with an
	// earlier answer, plus what this router has sent since.
	Load(i int) float64
	// HashTarget returns the server that rendezvous hashing gives to a key.
	HashTarget(key uint64) int
	// Probe asks the servers listed for their expected time to the first token,
	// and sets the estimate of each at the same index.
	Probe(ctx context.Context, servers []int, estimates []Estimate)
	// IntN returns a random number in [0, n).
	IntN(n int) int
}

// Estimate is the answer to a probe.
type Estimate struct {
	// Known is false if the server did not answer in time.
	Known bool
	// FirstToken is the expected time to the first token.
	FirstToken time.Duration
	// CachedTokens is the part of the prompt believed to be cached.
	CachedTokens int32
}

// Pick is a policy's choice.
type Pick struct {
	Server   int
	Estimate Estimate // not Known if the policy does not probe
	Reason   string
}

// Policy chooses one of several servers. It is safe for concurrent use.
type Policy interface {
	Name() string
	// Pick reports false if no candidate is usable.
	Pick(ctx context.Context, q *Query, c Candidates) (Pick, bool)
}

// Policies returns all policies, the default one last.
func Policies() []Policy {
	return []Policy{
		&RoundRobin{}, LeastLoaded{}, PowerOfTwo{},
		BoundedHash{LoadFactor: DefaultLoadFactor}, NewProbedAffinity(),
	}
}

// maxDraws bounds the random draws for a usable server; pools where a smaller
// share is usable are searched in order.
const maxDraws = 8

// randomUsable returns a usable server that is not in chosen, -1 if there is none.
func randomUsable(c Candidates, chosen []int) int {
	n := c.Len()
	for range maxDraws {
		if i := c.IntN(n); usableNew(c, chosen, i) {
			return i
		}
	}
	start := c.IntN(n)
	for k := range n {
		if i := (start + k) % n; usableNew(c, chosen, i) {
			return i
		}
	}
	return -1
}

func usableNew(c Candidates, chosen []int, i int) bool {
	for _, other := range chosen {
		if other == i {
			return false
		}
	}
	return c.Usable(i)
}
