// Package hosts is the client of the platform's host list, which lags behind the
// real state. It does not know who uses the list.
package hosts

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// Host is one process of the deployment as the host list shows it.
type Host struct {
	Name    string
	Address string // ip:port
	Role    wire.Role
	Region  string
	Domain  string
	// Pool names what a backend server serves; it is empty for a router.
	Pool string
	// Leaving is set if the host is about to stop.
	Leaving bool
}

// List is the host list at one moment. It is immutable: the slices that it
// returns must not be changed.
type List struct {
	// Version is a hash of the content. Two lists with the same hosts have the
	// same version wherever they were made. It is 0 for an empty list.
	Version uint64

	all      []Host // by name
	byRole   map[wire.Role][]Host
	byRegion map[string][]Host
	byPool   map[string][]Host
}

// NewList returns a list of the given hosts, in any order. Of two hosts with the
// same name the later one counts.
func NewList(hosts []Host) *List {
	l := &List{
		byRole:   make(map[wire.Role][]Host),
		byRegion: make(map[string][]Host),
		byPool:   make(map[string][]Host),
	}
	sorted := slices.Clone(hosts)
	slices.SortStableFunc(sorted, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	for i, h := range sorted {
		if i+1 < len(sorted) && sorted[i+1].Name == h.Name {
			continue
		}
		l.all = append(l.all, h)
		l.byRole[h.Role] = append(l.byRole[h.Role], h)
		l.byRegion[h.Region] = append(l.byRegion[h.Region], h)
		if h.Pool != "" {
			l.byPool[h.Pool] = append(l.byPool[h.Pool], h)
		}
	}
	l.Version = version(l.all)
	return l
}

func version(hosts []Host) uint64 {
	if len(hosts) == 0 {
		return 0
	}
	digest := xxhash.New()
	var length [4]byte
	for _, h := range hosts {
		state := "live"
		if h.Leaving {
			state = "leaving"
		}
		for _, field := range []string{h.Name, h.Address, string(h.Role), h.Region, h.Domain, h.Pool, state} {
			binary.BigEndian.PutUint32(length[:], uint32(len(field)))
			_, _ = digest.Write(length[:])
			_, _ = digest.WriteString(field)
		}
	}
	return digest.Sum64()
}

// Len returns the number of hosts.
func (l *List) Len() int { return len(l.all) }

// All returns all hosts by name.
func (l *List) All() []Host { return l.all }

// Get returns the host with a name.
func (l *List) Get(name string) (Host, bool) {
	at, found := slices.BinarySearchFunc(l.all, name, func(h Host, name string) int { return cmp.Compare(h.Name, name) })
	if !found {
		return Host{}, false
	}
	return l.all[at], true
}

// Role returns the hosts with a role by name.
func (l *List) Role(role wire.Role) []Host { return l.byRole[role] }

// Region returns the hosts of a region by name.
func (l *List) Region(region string) []Host { return l.byRegion[region] }

// Pool returns the backend servers of a pool by name.
func (l *List) Pool(pool string) []Host { return l.byPool[pool] }

// Routers returns the routers of a region that are not leaving. If region is
// empty it returns those of all regions.
func (l *List) Routers(region string) []Host {
	var routers []Host
	for _, h := range l.byRole[wire.RoleRouter] {
		if !h.Leaving && (region == "" || h.Region == region) {
			routers = append(routers, h)
		}
	}
	return routers
}

// ToWire returns the hosts as wire messages.
func ToWire(list []Host) []wire.SyncHost {
	out := make([]wire.SyncHost, len(list))
	for i, h := range list {
		out[i] = wire.SyncHost{
			Name: h.Name, Address: h.Address, Role: h.Role, Region: h.Region,
			Domain: h.Domain, Leaving: h.Leaving, Pool: h.Pool,
		}
	}
	return out
}

// FromWire returns the hosts of wire messages.
func FromWire(list []wire.SyncHost) []Host {
	out := make([]Host, len(list))
	for i, h := range list {
		out[i] = Host{
			Name: h.Name, Address: h.Address, Role: h.Role, Region: h.Region,
			Domain: h.Domain, Leaving: h.Leaving, Pool: h.Pool,
		}
	}
	return out
}

// Diff returns the hosts of next that are new or changed, and the names of
// those that are gone.
func Diff(previous, next *List) (changed []Host, gone []string) {
	for _, h := range next.all {
		if old, ok := previous.Get(h.Name); !ok || old != h {
			changed = append(changed, h)
		}
	}
	for _, h := range previous.all {
		if _, ok := next.Get(h.Name); !ok {
			gone = append(gone, h.Name)
		}
	}
	return changed, gone
}

// With returns the list with hosts added or replaced and others removed.
func (l *List) With(changed []Host, gone []string) *List {
	removed := make(map[string]bool, len(gone))
	for _, name := range gone {
		removed[name] = true
	}
	var next []Host
	for _, h := range l.all {
		if !removed[h.Name] {
			next = append(next, h)
		}
	}
	return NewList(append(next, changed...))
}
