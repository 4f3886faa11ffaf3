package syncer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/monsoonworks/monsoonworks/internal/hosts"
)

// DistributorsPerDomain is the number of distributors in each failure domain.
const DistributorsPerDomain = 2

// Distributors returns the distributors of a failure domain: the DistributorsPerDomain
// routers in the host list that rank first by rendezvous hashing. All nodes with the
// same list get the same result.
func Distributors(list *hosts.List, domain string) []hosts.Host {
	var names []string
	byName := make(map[string]hosts.Host)
	for _, h := range list.Routers("") {
		if h.Domain == domain {
			names = append(names, h.Name)
			byName[h.Name] = h
		}
	}
	var distributors []hosts.Host
	for len(distributors) < DistributorsPerDomain && len(names) > 0 {
		// All nodes must hash the same key, whatever their version. Its prefix has no
		// other meaning.
		name := rendezvous.New(names, xxhash.Sum64String).Lookup("relay/" + domain)
		distributors = append(distributors, byName[name])
		names = slices.DeleteFunc(names, func(n string) bool { return n == name })
	}
	return distributors
}

// topology is derived from a host list: whether this node is a distributor, and the
// distributors that it can poll, in order of preference.
type topology struct {
	distributor bool
	candidates  []hosts.Host
}

// newTopology derives the topology of a node. It prefers the distributors of the
// node's failure domain, then those of its region, then all others. Within each
// group the order depends on the node's name, to balance the load.
func newTopology(list *hosts.List, self hosts.Host) topology {
	var t topology
	domains := make(map[string]bool)
	for _, h := range list.Routers("") {
		if domains[h.Domain] {
			continue
		}
		domains[h.Domain] = true
		for _, d := range Distributors(list, h.Domain) {
			if d.Name == self.Name {
				t.distributor = true
				continue
			}
			t.candidates = append(t.candidates, d)
		}
	}
	slices.SortFunc(t.candidates, func(a, b hosts.Host) int {
		return cmp.Or(
			cmp.Compare(distance(a, self), distance(b, self)),
			cmp.Compare(rankingHash(a, self), rankingHash(b, self)),
			cmp.Compare(a.Name, b.Name))
	})
	return t
}

// distance is 0 for a host in the same failure domain as self, 1 for one in the same
// region and 2 for others.
func distance(h, self hosts.Host) int {
	switch {
	case h.Region != self.Region:
		return 2
	case h.Domain != self.Domain:
		return 1
	}
	return 0
}

func rankingHash(h, self hosts.Host) uint64 { return xxhash.Sum64String(self.Name + "/" + h.Name) }
