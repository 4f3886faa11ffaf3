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

// Spec is the input of New.
type Spec struct {
	Version    int64
	Limits     Limits
	Routes     []Route
	Services   []Service
	Workspaces []KeyedWorkspace
}

// New builds a catalog from the parts of a configuration.
func New(s Spec) *Catalog {
	c := &Catalog{
		Version:        s.Version,
		Limits:         s.Limits,
		services:       make(map[string]*Service, len(s.Services)),
		workspaces:     make(map[string]*Workspace, len(s.Workspaces)),
		workspaceByKey: make(map[string]*Workspace),
		routesByHost:   make(map[string][]*Route),
	}
	for i := range s.Services {
		c.services[s.Services[i].Name] = &s.Services[i]
	}
	for i := range s.Workspaces {
		w := &s.Workspaces[i]
		c.workspaces[w.Name] = &w.Workspace
		for _, key := range w.Keys {
			c.workspaceByKey[key] = &w.Workspace
		}
	}
	for i := range s.Routes {
		host := hostName(s.Routes[i].Host)
		c.routesByHost[host] = append(c.routesByHost[host], &s.Routes[i])
	}
	for _, routes := range c.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	return c
}
