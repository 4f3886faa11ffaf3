package fleet

import (
	"sync"
	"sync/atomic"
)

// groupWeight is the weight of a new result in the averages of a service.
const groupWeight = 0.01

// group holds the averages of a service. It is safe for concurrent use.
type group struct {
	mu      sync.Mutex
	errors  float64
	latency float64
}

func (g *group) averages() (errors, latency float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.errors, g.latency
}

func (g *group) addError(x float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.errors += (x - g.errors) * groupWeight
}

func (g *group) addLatency(seconds float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.latency == 0 {
		g.latency = seconds
		return
	}
	g.latency += (seconds - g.latency) * groupWeight
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
	t.byService.Store(&byService)
	return changes
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
	case old.Born != e.Born || old.Address != e.Address || old.Service != e.Service:
		return newServer(e, g), "restarted"
	case old.Draining == e.Draining:
		return old, ""
	case e.Draining:
		return newServer(e, g), "draining"
	default:
		return newServer(e, g), "changed"
	}
}
