package catalog

import (
	"cmp"
	"slices"
)

// KeyedWorkspace is a workspace with its API keys.
type KeyedWorkspace struct {
	Workspace
	Keys []string
}

// Spec holds the parts of a Catalog.
type Spec struct {
	Version    int64
	Limits     Limits
	Routes     []Route
	Services   []Service
	Workspaces []KeyedWorkspace
}

// New indexes the parts of a configuration.
func New(s Spec) *Catalog {
	c := &Catalog{
		Version:  s.Version,
		Limits:   s.Limits,
		services: make(map[string]*Service, len(s.Services)),
		spaces:   make(map[string]*Workspace, len(s.Workspaces)),
		keys:     make(map[string]*Workspace),
		routes:   make(map[string][]*Route),
	}
	for i := range s.Services {
		c.services[s.Services[i].Name] = &s.Services[i]
	}
	for i := range s.Workspaces {
		w := &s.Workspaces[i]
		c.spaces[w.Name] = &w.Workspace
		for _, key := range w.Keys {
			c.keys[key] = &w.Workspace
		}
	}
	for i := range s.Routes {
		host := hostName(s.Routes[i].Host)
		c.routes[host] = append(c.routes[host], &s.Routes[i])
	}
	for _, routes := range c.routes {
		slices.SortStableFunc(routes, func(a, b *Route) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	return c
}
