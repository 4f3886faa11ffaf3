package fleet

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// groupWeight is the weight of a new result in the averages of a service.
const groupWeight = 0.01

// usualFloor keeps small differences between short times from counting.
const usualFloor = 40 * time.Millisecond

// group holds the averages of a service. It is safe for concurrent use.
type group struct {
	mu     sync.Mutex
	errors float64
	usual  [classes]time.Duration // average time to the first byte
}

func (g *group) averageErrors() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.errors
}

func (g *group) addError(x float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.errors += (x - g.errors) * groupWeight
}

// slowness returns a time to the first byte against the usual one, and counts it.
func (g *group) slowness(class PromptClass, d time.Duration) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.usual[class] == 0 {
		g.usual[class] = d
	}
	g.usual[class] += time.Duration(float64(d-g.usual[class]) * groupWeight)
	return d.Seconds() / max(g.usual[class], usualFloor).Seconds()
}

// Table holds the servers. Apply is called by one goroutine; the other methods are
// safe for concurrent use. Lock order: a Server's mutex before its group's.
type Table struct {
	groups    map[string]*group
	servers   map[string]*Server
	byService atomic.Pointer[map[string][]*Server]
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{groups: make(map[string]*group), servers: make(map[string]*Server)}
	t.byService.Store(&map[string][]*Server{})
	return t
}

// Servers returns the servers of a service that take new requests. The slice must
// not be changed.
func (t *Table) Servers(service string) []*Server { return (*t.byService.Load())[service] }

// MeanTimeToFirstByte returns the usual time to the first byte at a service's servers, 0 if it
// is not known.
func (t *Table) MeanTimeToFirstByte(service string, class PromptClass) time.Duration {
	servers := t.Servers(service)
	if len(servers) == 0 {
		return 0
	}
	g := servers[0].group
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.usual[class]
}

// All returns all servers that take new requests.
func (t *Table) All() []*Server {
	var all []*Server
	for _, servers := range *t.byService.Load() {
		all = append(all, servers...)
	}
	return all
}

// Change is what Apply found new, for logs.
type Change struct {
	Entry Entry
	// Kind is "added", "restarted", "changed", "draining" or "gone".
	Kind string
}

// Apply replaces the entries. A server that started again is another one: what is
// known of its health is forgotten.
func (t *Table) Apply(entries []Entry) []Change {
	var changes []Change
	servers := make(map[string]*Server, len(entries))
	byService := make(map[string][]*Server)
	for _, e := range entries {
		s, kind := t.next(e)
		if kind != "" {
			changes = append(changes, Change{e, kind})
		}
		servers[e.ID] = s
		if !e.Draining {
			byService[e.Service] = append(byService[e.Service], s)
		}
	}
	for id, s := range t.servers {
		if servers[id] == nil {
			changes = append(changes, Change{s.Entry, "gone"})
		}
	}
	t.servers = servers
	for _, list := range byService {
		rank(list)
	}
	t.byService.Store(&byService)
	return changes
}

// rank gives the servers of a service their places in their domains.
func rank(servers []*Server) {
	domains := make(map[string][]*Server)
	for _, s := range servers {
		domains[s.Domain] = append(domains[s.Domain], s)
	}
	for _, list := range domains {
		slices.SortFunc(list, func(a, b *Server) int { return cmp.Compare(a.Key, b.Key) })
		for i, s := range list {
			s.setRank((float64(i) + 0.5) / float64(len(list)))
		}
	}
}

// next returns the server of an entry and what is new about it.
func (t *Table) next(e Entry) (*Server, string) {
	g := t.groups[e.Service]
	if g == nil {
		g = &group{}
		t.groups[e.Service] = g
	}
	old := t.servers[e.ID]
	switch {
	case old == nil:
		return newServer(e, g), "added"
	case old.Revision == e.Revision:
		return old, ""
	case old.StartedAtMillis != e.StartedAtMillis || old.Address != e.Address || old.Service != e.Service:
		return newServer(e, g), "restarted"
	case old.Draining == e.Draining:
		return old, ""
	case e.Draining:
		return newServer(e, g), "draining"
	default:
		return newServer(e, g), "changed"
	}
}
