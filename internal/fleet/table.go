package fleet

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/membership"
)

// serviceSampleWeight is the weight of a new sample in the moving averages of a
// service.
const serviceSampleWeight = 0.01

// minMeanTimeToFirstByte is the lower limit of the mean to which times to first byte
// are compared, so that small differences between short times do not make a server
// look slow.
const minMeanTimeToFirstByte = 40 * time.Millisecond

// serviceStats holds the moving averages of a service. It is safe for concurrent
// use.
type serviceStats struct {
	mu                  sync.Mutex
	errorRate           float64
	meanTimeToFirstByte [numPromptClasses]time.Duration
	streams             streamTimes
}

func (s *serviceStats) currentErrorRate() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.errorRate
}

func (s *serviceStats) observeError(sample float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.errorRate += (sample - s.errorRate) * serviceSampleWeight
}

// observeFirstByte records a time to first byte and returns its ratio to the
// service's mean.
func (s *serviceStats) observeFirstByte(class PromptClass, d time.Duration) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.meanTimeToFirstByte[class] == 0 {
		s.meanTimeToFirstByte[class] = d
	}
	s.meanTimeToFirstByte[class] += time.Duration(float64(d-s.meanTimeToFirstByte[class]) * serviceSampleWeight)
	return d.Seconds() / max(s.meanTimeToFirstByte[class], minMeanTimeToFirstByte).Seconds()
}

// Table holds the backend servers. Apply must be called by one goroutine; the other
// methods are safe for concurrent use. Lock order: a Server's mutex before that of
// its serviceStats.
type Table struct {
	members   *membership.Set                      // outlasts entries that change or expire
	stats     map[string]*serviceStats             // by service
	servers   map[string]*Server                   // by ID, including draining servers
	byService atomic.Pointer[map[string][]*Server] // without draining servers
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{members: membership.NewSet(), stats: make(map[string]*serviceStats), servers: make(map[string]*Server)}
	t.byService.Store(&map[string][]*Server{})
	return t
}

// Servers returns the servers of a service that are not draining. The slice must not
// be changed.
func (t *Table) Servers(service string) []*Server { return (*t.byService.Load())[service] }

// RestEnd returns the earliest time from now on at which a server of the service may get a
// request, as far as is known, and whether any of the servers rests.
func (t *Table) RestEnd(service string, now time.Time) (earliest time.Time, resting bool) {
	for _, s := range t.Servers(service) {
		at, ok := s.usableAt(now)
		if !ok {
			continue
		}
		resting = resting || !s.member.Accepts(now)
		if earliest.IsZero() || at.Before(earliest) {
			earliest = at
		}
	}
	return earliest, resting
}

// MeanTimeToFirstByte returns the moving average of the time to first byte at the
// servers of a service, 0 if unknown.
func (t *Table) MeanTimeToFirstByte(service string, class PromptClass) time.Duration {
	servers := t.Servers(service)
	if len(servers) == 0 {
		return 0
	}
	stats := servers[0].stats
	stats.mu.Lock()
	defer stats.mu.Unlock()
	return stats.meanTimeToFirstByte[class]
}

// NotDraining returns the servers of all services, without draining ones.
func (t *Table) NotDraining() []*Server {
	var all []*Server
	for _, servers := range *t.byService.Load() {
		all = append(all, servers...)
	}
	return all
}

// Change is a difference found by Apply, for logs.
type Change struct {
	Entry Entry
	// Kind is "added", "restarted", "draining", "changed" (no longer draining) or
	// "gone".
	Kind string
}

// Apply replaces the entries and returns the differences. A server that was restarted
// or whose draining state has changed starts with no health history. What a server has said
// of its membership holds until its start time changes, and then as far as it said so since its start.
func (t *Table) Apply(entries []Entry) []Change {
	var changes []Change
	now := time.Now()
	servers := make(map[string]*Server, len(entries))
	byService := make(map[string][]*Server)
	listed := make(map[membership.Instance]bool, len(entries))
	for _, e := range entries {
		listed[e.instance()] = true
		s, kind := t.resolve(e, now)
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
	t.members.EndListing(listed, now)
	for _, list := range byService {
		assignRanks(list)
	}
	t.byService.Store(&byService)
	return changes
}

// assignRanks sets the ranks of a service's servers within their failure domains.
func assignRanks(servers []*Server) {
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

// resolve returns the server of an entry and the kind of its change, empty if the
// server keeps its entry. Only a restart (another start time, address or service)
// and a change of the draining state replace the entry; other changes are ignored.
func (t *Table) resolve(e Entry, now time.Time) (*Server, string) {
	stats := t.stats[e.Service]
	if stats == nil {
		stats = &serviceStats{}
		t.stats[e.Service] = stats
	}
	member := t.members.Member(e.instance(), e.Address, now)
	old := t.servers[e.ID]
	switch {
	case old == nil:
		return newServer(e, stats, member), "added"
	case old.Revision == e.Revision:
		return old, ""
	case old.StartedUnixMilli != e.StartedUnixMilli || old.Address != e.Address || old.Service != e.Service:
		return newServer(e, stats, member), "restarted"
	case old.Draining == e.Draining:
		return old, ""
	case e.Draining:
		return newServer(e, stats, member), "draining"
	default:
		return newServer(e, stats, member), "changed"
	}
}
