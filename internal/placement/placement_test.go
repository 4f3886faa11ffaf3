package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// fleetOf returns candidates in three domains, seen from the first.
func fleetOf(perDomain int) []Candidate {
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

// Guards against requests with the same long shared parts that read them at
// several servers: gates in all domains choose the same one, and the loss of
// another server moves none of them.
func TestLongPartsMeet(t *testing.T) {
	c := qt.New(t)
	p := DefaultPolicy()
	here, there := fleetOf(6), fleetOf(6)
	for i := range there {
		there[i].Distance = 2 - there[i].Distance
	}
	for session := range uint64(200) {
		i, reason := p.Choose(longQuery(session), here)
		j, _ := p.Choose(longQuery(session), there)
		c.Assert(here[i].Key, qt.Equals, there[j].Key)
		c.Assert(reason, qt.Equals, ReasonAffinity)
		lost := (i + 1) % len(here)
		rest := append(append([]Candidate(nil), here[:lost]...), here[lost+1:]...)
		k, _ := p.Choose(longQuery(session), rest)
		c.Assert(rest[k].Key, qt.Equals, here[i].Key)
	}
}

// Guards against short prompts that leave their domain and cost bytes there.
func TestShortPartsStayInTheDomain(t *testing.T) {
	c := qt.New(t)
	for session := range uint64(100) {
		servers := fleetOf(6)
		i, _ := DefaultPolicy().Choose(shortQuery(session), servers)
		c.Assert(servers[i].Distance, qt.Equals, SameDomain)
	}
}

// Plays a popular prompt that gets a third of the load: no server has more waiting
// requests than the policy allows while another has room.
func TestPopularPromptSpills(t *testing.T) {
	c := qt.New(t)
	p := DefaultPolicy()
	servers := fleetOf(6)
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

// Plays short and long requests where reading a long prompt takes most of the
// pause that is on time: the two do not meet while both parts have room. Where it
// takes little, long prompts use all servers.
func TestLongPromptsApart(t *testing.T) {
	c := qt.New(t)
	p := DefaultPolicy()
	for _, read := range []time.Duration{100 * time.Millisecond, 290 * time.Millisecond} {
		long, short := map[uint64]bool{}, map[uint64]bool{}
		for session := range uint64(400) {
			servers := fleetOf(6)
			q := longQuery(session)
			q.PrefillTime, q.MaxEventGap = read, 300*time.Millisecond
			i, _ := p.Choose(q, servers)
			long[servers[i].Key] = true
			q = shortQuery(session)
			q.PrefillTime, q.MaxEventGap = read, 300*time.Millisecond
			i, _ = p.Choose(q, servers)
			short[servers[i].Key] = true
		}
		both := 0
		for key := range short {
			if long[key] {
				both++
			}
		}
		c.Assert(both == 0, qt.Equals, read > 200*time.Millisecond, qt.Commentf("read %v: %d servers get both", read, both))
	}
}

// Guards against avoided servers that are chosen while others are left, and against
// none when all are avoided.
func TestAvoidedServers(t *testing.T) {
	c := qt.New(t)
	p := DefaultPolicy()
	for _, q := range []Query{{}, shortQuery(3), longQuery(3)} {
		servers := fleetOf(2)
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

// Guards against plain requests that cross domains while the nearest server has
// room, and that stay when it is crowded.
func TestPlainNearest(t *testing.T) {
	c := qt.New(t)
	servers := fleetOf(1)
	i, _ := DefaultPolicy().Choose(Query{}, servers)
	c.Assert(servers[i].Distance, qt.Equals, SameDomain)
	servers[0].InProgress = DefaultPolicy().PlainSpillThreshold
	i, _ = DefaultPolicy().Choose(Query{}, servers)
	c.Assert(servers[i].Distance, qt.Equals, SameRegion)
}
