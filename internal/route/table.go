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

// ringAge is how old the set of healthy servers for hashing may be. Each pick is
// checked against the current state as well.
const ringAge = 250 * time.Millisecond

type tableKey struct {
	kind   wire.TargetKind
	target string
}

// table holds the servers of one target. Its servers never change; a change of
// the fleet makes another table.
type table struct {
	changed       <-chan struct{}
	local, remote []*server

	mu    sync.Mutex
	ring  *rendezvous.Rendezvous
	index map[string]int
	built time.Time
}

// table returns the current table of a target.
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
	first := t == nil
	t = &table{changed: r.Fleet.Changed()}
	sizes := map[*pool]int{}
	for _, host := range r.Fleet.Servers(kind, target) {
		s := r.server(host, first)
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
		r.tables[key] = t // unknown targets leave nothing behind
	}
	return t
}

// server returns the state of a host, with the host's current description. One
// that appears later than the first hosts of its target starts with a small
// share.
func (r *Router) server(host hosts.Host, first bool) *server {
	poolKey := host.Region + "/" + host.Pool
	p := r.pools[poolKey]
	if p == nil {
		p = &pool{}
		r.pools[poolKey] = p
	}
	s := r.servers[host.Name]
	if s == nil {
		s = &server{pool: p, host: host}
		if !first {
			s.returned = time.Now()
		}
		r.servers[host.Name] = s
		return s
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.host.Leaving && !host.Leaving {
		s.returned, s.drainedUntil = time.Now(), time.Time{}
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

// place returns the index of the local server that rendezvous hashing gives to a
// key, -1 if no server is healthy.
func (t *table) place(key uint64, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ring == nil || now.Sub(t.built) > ringAge {
		t.buildRing(now)
	}
	var text [8]byte
	for i := range text {
		text[i] = byte(key >> (8 * i))
	}
	if i, ok := t.index[t.ring.Lookup(string(text[:]))]; ok {
		return i
	}
	return -1
}

func (t *table) buildRing(now time.Time) {
	names := make([]string, 0, len(t.local))
	t.index = make(map[string]int, len(t.local))
	for i, s := range t.local {
		if name, healthy := s.healthy(now); healthy {
			names = append(names, name)
			t.index[name] = i
		}
	}
	t.ring, t.built = rendezvous.New(names, xxhash.Sum64String), now
}

// healthy reports whether the server takes part in hashing.
func (s *server) healthy(now time.Time) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.host.Name, !s.host.Leaving && !now.Before(s.drainedUntil) && !s.stillEjected(now)
}

// view shows one request's servers to a policy.
type view struct {
	r       *Router
	t       *table
	q       *Query
	servers []*server
	now     time.Time
	timeout time.Duration
	placing bool // holds the router's placing lock
}

// Len implements Candidates.
func (v *view) Len() int { return len(v.servers) }

// Usable implements Candidates.
func (v *view) Usable(i int) bool { return !v.excluded(i) && v.servers[i].usable(v.now) }

func (v *view) excluded(i int) bool {
	return len(v.q.Exclude) > 0 && slices.Contains(v.q.Exclude, v.servers[i].name())
}

// Load implements Candidates.
func (v *view) Load(i int) float64 { return v.servers[i].loadPerSlot() }

// HashTarget implements Candidates.
func (v *view) HashTarget(key uint64) int { return v.t.place(key, v.now) }

// IntN implements Candidates.
func (v *view) IntN(n int) int { return rand.IntN(n) }

// lastResort returns any server that is not leaving, when no healthy one is left:
// a wrong verdict about a pool's health must not refuse everything.
func (v *view) lastResort() (*server, string) {
	if len(v.servers) == 0 {
		return nil, ""
	}
	start := rand.IntN(len(v.servers))
	for k := range v.servers {
		i := (start + k) % len(v.servers)
		if !v.excluded(i) && !v.servers[i].leaving(v.now) {
			return v.servers[i].begin(), "no healthy server is left"
		}
	}
	return nil, ""
}
