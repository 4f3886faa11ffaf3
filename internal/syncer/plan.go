package syncer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/monsoonworks/monsoonworks/internal/hosts"
)

// DistributorsPerDomain is the number of relays in each failure domain.
const DistributorsPerDomain = 2

// Distributors returns the relays of a failure domain: the first of its live routers
// in rendezvous order. Every node computes the same ones from the same list.
func Distributors(list *hosts.List, domain string) []hosts.Host {
	var names []string
	byName := make(map[string]hosts.Host)
	for _, h := range list.Routers("") {
		if h.Domain == domain {
			names = append(names, h.Name)
			byName[h.Name] = h
		}
	}
	var relays []hosts.Host
	for len(relays) < DistributorsPerDomain && len(names) > 0 {
		name := rendezvous.New(names, xxhash.Sum64String).Lookup("relay/" + domain)
		relays = append(relays, byName[name])
		names = slices.DeleteFunc(names, func(n string) bool { return n == name })
	}
	return relays
}

// plan is what a node derives from a host list: whether it is a relay itself,
// and the relays that it can poll in order of preference.
type plan struct {
	relay      bool
	candidates []hosts.Host
}

// makePlan prefers the relays of the node's own failure domain, then those of its
// region, then all others. Within each group the order depends on the node's
// name, so that the load is spread.
func makePlan(list *hosts.List, self hosts.Host) plan {
	var p plan
	domains := make(map[string]bool)
	for _, h := range list.Routers("") {
		if domains[h.Domain] {
			continue
		}
		domains[h.Domain] = true
		for _, relay := range Distributors(list, h.Domain) {
			if relay.Name == self.Name {
				p.relay = true
				continue
			}
			p.candidates = append(p.candidates, relay)
		}
	}
	slices.SortFunc(p.candidates, func(a, b hosts.Host) int {
		return cmp.Or(
			cmp.Compare(distance(a, self), distance(b, self)),
			cmp.Compare(spread(a, self), spread(b, self)),
			cmp.Compare(a.Name, b.Name))
	})
	return p
}

func distance(h, self hosts.Host) int {
	switch {
	case h.Region != self.Region:
		return 2
	case h.Domain != self.Domain:
		return 1
	}
	return 0
}

func spread(h, self hosts.Host) uint64 { return xxhash.Sum64String(self.Name + "/" + h.Name) }
