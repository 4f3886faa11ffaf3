package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// testCandidates returns candidates in three failure domains, one at each distance.
func testCandidates(perDomain int) []Candidate {
	var all []Candidate
	for d := range 3 {
		for i := range perDomain {
			all = append(all, Candidate{
				Key: mix(uint64(d*100 + i + 1)), Distance: Distance(d), Rank: (float64(i) + 0.5) / float64(perDomain),
			})
		}
	}
	return all
}

func longQuery(session uint64) Query {
	return Query{Parts: []Part{{ID: 1, Tokens: 2500}, {ID: session, Tokens: 3800}, {ID: session * 31, Tokens: 2900}}}
}

func shortQuery(session uint64) Query {
	return Query{Parts: []Part{{ID: 2, Tokens: 120}, {ID: session, Tokens: 80}, {ID: session * 31, Tokens: 600}}}
}

// Requests with the same long shared parts must go to the same server, so that the
// parts are prefilled only once. This must hold for gates in different failure
// domains, and after another server was removed.
func TestLongPrefixSameServer(t *testing.T) {
	c := qt.New(t)
	p := DefaultPolicy()
	local, remote := testCandidates(6), testCandidates(6)
	for i := range remote {
		remote[i].Distance = 2 - remote[i].Distance
	}
	for session := range uint64(200) {
		i, reason := p.Choose(longQuery(session), local)
		j, _ := p.Choose(longQuery(session), remote)
		c.Assert(local[i].Key, qt.Equals, remote[j].Key)
		c.Assert(reason, qt.Equals, ReasonAffinity)
		removed := (i + 1) % len(local)
		remaining := append(append([]Candidate(nil), local[:removed]...), local[removed+1:]...)
		k, _ := p.Choose(longQuery(session), remaining)
		c.Assert(remaining[k].Key, qt.Equals, local[i].Key)
	}
}

// Requests with short shared parts must stay in their failure domain, so that they
// cause no traffic between domains.
func TestShortPrefixStaysInDomain(t *testing.T) {
	c := qt.New(t)
	for session := range uint64(100) {
		servers := testCandidates(6)
		i, _ := DefaultPolicy().Choose(shortQuery(session), servers)
		c.Assert(servers[i].Distance, qt.Equals, SameDomain)
	}
}

// With a third of the requests for one prompt, no server may have more requests
// awaiting their first byte than the policy allows while another is below the
// limit.
func TestPopularPromptSpills(t *testing.T) {
	c := qt.New(t)
	p := DefaultPolicy()
	servers := testCandidates(6)
	random := rand.New(rand.NewPCG(1, 1))
	for range 2 * len(servers) {
		session := uint64(7)
		if random.IntN(3) > 0 {
			session = random.Uint64()
		}
		i, _ := p.Choose(longQuery(session), servers)
		servers[i].AwaitingFirstByte++
		c.Assert(servers[i].AwaitingFirstByte <= p.MaxAwaitingFirstByte, qt.IsTrue)
	}
}

// If the prefill of a long prompt takes most of the permitted gap between events,
// long and short prompts must go to separate servers. If it takes little, some servers
// must get both.
func TestLongPromptIsolation(t *testing.T) {
	c := qt.New(t)
	p := DefaultPolicy()
	for _, prefill := range []time.Duration{100 * time.Millisecond, 290 * time.Millisecond} {
		long, short := map[uint64]bool{}, map[uint64]bool{}
		for session := range uint64(400) {
			servers := testCandidates(6)
			q := longQuery(session)
			q.PrefillTime, q.EventGapObjective = prefill, 300*time.Millisecond
			i, _ := p.Choose(q, servers)
			long[servers[i].Key] = true
			q = shortQuery(session)
			q.PrefillTime, q.EventGapObjective = prefill, 300*time.Millisecond
			i, _ = p.Choose(q, servers)
			short[servers[i].Key] = true
		}
		both := 0
		for key := range short {
			if long[key] {
				both++
			}
		}
		c.Assert(both == 0, qt.Equals, prefill > 200*time.Millisecond, qt.Commentf("prefill %v: %d servers get both", prefill, both))
	}
}

// A degraded server must be chosen only if all are degraded.
func TestDegradedServersLast(t *testing.T) {
	c := qt.New(t)
	p := DefaultPolicy()
	for _, q := range []Query{{}, shortQuery(3), longQuery(3)} {
		servers := testCandidates(2)
		for i := range servers {
			servers[i].Degraded = i != 4
		}
		i, _ := p.Choose(q, servers)
		c.Assert(i, qt.Equals, 4)
		servers[4].Degraded = true
		_, reason := p.Choose(q, servers)
		c.Assert(reason, qt.Equals, ReasonDegraded)
		i, _ = p.Choose(q, nil)
		c.Assert(i, qt.Equals, -1)
	}
}

// A request without shared prompt parts must go to the nearest server, unless that one
// has reached PlainSpillThreshold.
func TestPlainNearest(t *testing.T) {
	c := qt.New(t)
	servers := testCandidates(1)
	i, _ := DefaultPolicy().Choose(Query{}, servers)
	c.Assert(servers[i].Distance, qt.Equals, SameDomain)
	servers[0].InProgress = DefaultPolicy().PlainSpillThreshold
	i, _ = DefaultPolicy().Choose(Query{}, servers)
	c.Assert(servers[i].Distance, qt.Equals, SameRegion)
}
