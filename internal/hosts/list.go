// Package hosts reads the platform's host list, which lags behind the actual state of
// the deployment. The syncer and the operators' tool fetch the list; routing and
// dispatch look up hosts in it. The package contains none of their logic.
package hosts

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// Host is an entry of the host list. It describes one process of the deployment.
type Host struct {
	Name    string
	Address string // ip:port
	Role    wire.Role
	Region  string
	Domain  string // failure domain
	// Pool is the pool of a backend server. It is empty for a router.
	Pool string
	// Leaving is set if the host is draining and about to stop.
	Leaving bool
}

// List is an immutable snapshot of the host list. The slices that it returns must not be
// modified.
type List struct {
	// Version is a hash of the content, 0 for an empty list. Lists with the same
	// hosts have the same version in all processes.
	Version uint64

	all      []Host // sorted by name
	byRole   map[wire.Role][]Host
	byRegion map[string][]Host
	byPool   map[string][]Host
}

// NewList returns a list of the given hosts, which may be in any order. Of several hosts
// with the same name the last one is used.
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

// version returns the List.Version of hosts, which are sorted by name. Each field is
// hashed with its length, so that text that moves from one field to the next changes
// the version.
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

// All returns all hosts, sorted by name.
func (l *List) All() []Host { return l.all }

// Get returns the host with a name, and whether it is on the list.
func (l *List) Get(name string) (Host, bool) {
	index, found := slices.BinarySearchFunc(l.all, name, func(h Host, name string) int { return cmp.Compare(h.Name, name) })
	if !found {
		return Host{}, false
	}
	return l.all[index], true
}

// ByRole returns the hosts with a role, sorted by name.
func (l *List) ByRole(role wire.Role) []Host { return l.byRole[role] }

// ByRegion returns the hosts of a region, sorted by name.
func (l *List) ByRegion(region string) []Host { return l.byRegion[region] }

// ByPool returns the backend servers of a pool, sorted by name.
func (l *List) ByPool(pool string) []Host { return l.byPool[pool] }

// Routers returns the routers of a region that are not leaving, or of all regions if
// region is empty, sorted by name.
func (l *List) Routers(region string) []Host {
	var routers []Host
	for _, h := range l.byRole[wire.RoleRouter] {
		if !h.Leaving && (region == "" || h.Region == region) {
			routers = append(routers, h)
		}
	}
	return routers
}

// ToWire converts hosts to wire messages.
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

// FromWire converts wire messages to hosts.
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

// Diff returns the hosts of next that are not in previous or differ from it, and the
// names of the hosts that are only in previous.
func Diff(previous, next *List) (changed []Host, removed []string) {
	for _, h := range next.all {
		if old, ok := previous.Get(h.Name); !ok || old != h {
			changed = append(changed, h)
		}
	}
	for _, h := range previous.all {
		if _, ok := next.Get(h.Name); !ok {
			removed = append(removed, h.Name)
		}
	}
	return changed, removed
}

// With returns a list in which the hosts in changed are added or replaced, and those
// named in removed are left out.
func (l *List) With(changed []Host, removed []string) *List {
	excluded := make(map[string]bool, len(removed))
	for _, name := range removed {
		excluded[name] = true
	}
	var next []Host
	for _, h := range l.all {
		if !excluded[h.Name] {
			next = append(next, h)
		}
	}
	return NewList(append(next, changed...))
}
