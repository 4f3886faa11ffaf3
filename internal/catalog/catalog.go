// Package catalog holds the operators' configuration as a gate uses it: routes,
// services, workspaces and limits. A Catalog is immutable; a new version replaces
// it whole. The package knows neither where it comes from nor how it is encoded.
package catalog

import (
	"strings"
	"time"
)

// RouteKind says what may be repeated.
type RouteKind uint8

const (
	// Unsafe requests run at most once.
	Unsafe RouteKind = iota
	// Safe requests may run more than once.
	Safe
	// Stream requests are answered with events. They run at most once unless the
	// route is resumable.
	Stream
)

// String names the kind in logs.
func (k RouteKind) String() string {
	switch k {
	case Safe:
		return "safe"
	case Stream:
		return "stream"
	default:
		return "unsafe"
	}
}

// Target is a service with its share of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Route says how requests of one host and path prefix are served.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       RouteKind
	// Timeout is the longest time that a caller is kept waiting, 0 for no limit.
	Timeout time.Duration
	// LatencyObjective is the time within which an answer, or the first event of a
	// stream, is on time.
	LatencyObjective time.Duration
	// Priority is the rank of the route's requests, 0 is the most urgent.
	Priority int
	// Targets share the requests by weight; there is at least one.
	Targets []Target
	// MaxAttempts is how many servers one request may be sent to, at least 1.
	MaxAttempts int
	// Anonymous requests carry no API key.
	Anonymous bool
	// Sticky requests declare the parts of their prompt.
	Sticky bool
	// Resumable streams may go on at another server.
	Resumable bool
	// MaxEventGap is the longest pause between events that is on time.
	MaxEventGap time.Duration
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// PickService returns the service for a request, given a number that is uniform over
// requests.
func (r *Route) PickService(n uint64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return r.Targets[0].Service
	}
	point := int(n % uint64(total))
	for _, t := range r.Targets {
		if point < t.Weight {
			return t.Service
		}
		point -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs at once.
	Slots int
	// KVCacheTokens is the number of tokens that running requests and cached parts
	// of prompts share.
	KVCacheTokens int64
	// MaxTokensPerEvent is the largest number of tokens in one event of a stream.
	MaxTokensPerEvent int
}

// Service describes the servers of a service.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is what one server accepts from all gates together, 0 for no
	// limit.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Workspace is a customer with a prepaid budget.
type Workspace struct {
	Name string
	// Priority goes before the route's where it is set.
	Priority    int
	HasPriority bool
	// PrepaidTokens is the number of tokens paid for. Metered is false where the
	// workspace has no budget to keep.
	PrepaidTokens int64
	Metered       bool
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Catalog is one version of the configuration.
type Catalog struct {
	// Version increases with each change.
	Version  int64
	Limits   Limits
	services map[string]*Service
	spaces   map[string]*Workspace
	keys     map[string]*Workspace
	routes   map[string][]*Route // by host, longest prefix first
}

// HasWorkspaces reports whether requests must carry an API key.
func (c *Catalog) HasWorkspaces() bool { return len(c.spaces) > 0 }

// Service returns a service by name, nil if there is none.
func (c *Catalog) Service(name string) *Service { return c.services[name] }

// WorkspaceByKey returns the workspace that holds an API key, nil if none does.
func (c *Catalog) WorkspaceByKey(key string) *Workspace { return c.keys[key] }

// Workspaces returns all workspaces by name. The map must not be changed.
func (c *Catalog) Workspaces() map[string]*Workspace { return c.spaces }

// Route returns the route of a request with the longest matching path prefix, nil
// if none matches. The path is the request's as it was sent, without its query.
func (c *Catalog) Route(host, path string) *Route {
	for _, r := range c.routes[hostName(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// hostName returns a Host header's name in lower case, without a port.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
