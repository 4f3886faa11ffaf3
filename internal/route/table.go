package route

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/monsoonworks/monsoonworks/internal/hosts"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// maxHasherAge is the age after which the set of healthy servers for hashing is
// rebuilt. A server that has become unhealthy since is not chosen; see
// Candidates.Usable.
const maxHasherAge = 250 * time.Millisecond

type tableKey struct {
	kind   wire.TargetKind
	target string
}

// table holds the servers of one target. Its set of servers is fixed; it is replaced
// when the fleet changes.
type table struct {
	changed       <-chan struct{} // closed when the fleet changes
	local, remote []*server       // in the router's region and in others

	mu            sync.Mutex
	hasher        *rendezvous.Rendezvous // of the names of healthy local servers
	index         map[string]int         // of those servers in local, by name
	hasherBuiltAt time.Time
}

// table returns the current table of a target, rebuilt if the fleet has changed.
func (r *Router) table(kind wire.TargetKind, target string) *table {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := tableKey{kind, target}
	t := r.tables[key]
	if t != nil {
		select {
		case <-t.changed:
		default:
			return t
		}
	}
	initial := t == nil
	t = &table{changed: r.Fleet.Changed()}
	sizes := map[*pool]int{}
	for _, host := range r.Fleet.Servers(kind, target) {
		s := r.updateServer(host, initial)
		if host.Region == r.Region {
			t.local = append(t.local, s)
		} else {
			t.remote = append(t.remote, s)
		}
		if !host.Leaving {
			sizes[s.pool]++
		}
	}
	for p, n := range sizes {
		p.setSize(n)
	}
	if len(t.local)+len(t.remote) > 0 {
		r.tables[key] = t // not for unknown targets, of which callers can name any number
	}
	return t
}

// updateServer returns the state of a host after updating it from the host list. A
// server that is not known yet begins a slow start, unless its target had no table
// before (initial). The caller holds r.mu.
func (r *Router) updateServer(host hosts.Host, initial bool) *server {
	poolKey := host.Region + "/" + host.Pool
	p := r.pools[poolKey]
	if p == nil {
		p = &pool{}
		r.pools[poolKey] = p
	}
	s := r.servers[host.Name]
	if s == nil {
		s = &server{pool: p, host: host}
		if !initial {
			s.slowStartFrom = time.Now()
		}
		r.servers[host.Name] = s
		return s
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.host.Leaving && !host.Leaving {
		s.slowStartFrom, s.member = time.Now(), nil
	}
	if s.pool != p {
		s.endEjection()
		s.pool = p
	}
	s.host = host
	return s
}

func (s *server) name() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.host.Name
}

// hashServer returns the index of the healthy local server to which rendezvous
// hashing maps a key, -1 if no server is healthy.
func (t *table) hashServer(key uint64, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.hasher == nil || now.Sub(t.hasherBuiltAt) > maxHasherAge {
		t.rebuildHasher(now)
	}
	var text [8]byte
	for i := range text {
		text[i] = byte(key >> (8 * i))
	}
	if i, ok := t.index[t.hasher.Lookup(string(text[:]))]; ok {
		return i
	}
	return -1
}

func (t *table) rebuildHasher(now time.Time) {
	names := make([]string, 0, len(t.local))
	t.index = make(map[string]int, len(t.local))
	for i, s := range t.local {
		if name, healthy := s.healthy(now); healthy {
			names = append(names, name)
			t.index[name] = i
		}
	}
	t.hasher, t.hasherBuiltAt = rendezvous.New(names, xxhash.Sum64String), now
}

// healthy returns the server's name and reports whether the server takes part in
// hashing.
func (s *server) healthy(now time.Time) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.host.Name, !s.isLeaving(now) && !s.isEjected(now)
}

// candidateSet implements Candidates for one request.
type candidateSet struct {
	r       *Router
	t       *table
	q       *Query
	servers []*server
	now     time.Time
	timeout time.Duration // of Probe
	locked  bool          // holds the router's placementMu
}

// Len implements Candidates.
func (c *candidateSet) Len() int { return len(c.servers) }

// Usable implements Candidates.
func (c *candidateSet) Usable(i int) bool { return !c.excluded(i) && c.servers[i].usable(c.now) }

func (c *candidateSet) excluded(i int) bool {
	return len(c.q.Exclude) > 0 && slices.Contains(c.q.Exclude, c.servers[i].name())
}

// Load implements Candidates.
func (c *candidateSet) Load(i int) float64 { return c.servers[i].loadPerSlot() }

// HashServer implements Candidates.
func (c *candidateSet) HashServer(key uint64) int { return c.t.hashServer(key, c.now) }

// IntN implements Candidates.
func (c *candidateSet) IntN(n int) int { return rand.IntN(n) }

// lastResort chooses any server that is not leaving. It is used if no server seems
// usable: wrong health data about a whole pool must not cause all of its requests to
// be refused.
func (c *candidateSet) lastResort() (*server, string) {
	if len(c.servers) == 0 {
		return nil, ""
	}
	start := rand.IntN(len(c.servers))
	for k := range c.servers {
		i := (start + k) % len(c.servers)
		if !c.excluded(i) && !c.servers[i].leaving(c.now) {
			return c.servers[i].recordSend(), "no healthy server is left"
		}
	}
	return nil, ""
}
