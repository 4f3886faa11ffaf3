// Package catalog holds the operators' configuration in the form that the gate
// uses: routes, services, workspaces and limits. A Catalog is immutable; each
// configuration version replaces the previous catalog as a whole. The package does
// not know where the configuration comes from or how it is encoded.
package catalog

import (
	"strings"
	"time"
)

// RouteKind states whether requests of a route may be repeated.
type RouteKind uint8

const (
	// NonIdempotent requests must run at most once.
	NonIdempotent RouteKind = iota
	// Idempotent requests may run more than once. Resumable streams may too, but are
	// of kind Stream; the method Route.Idempotent covers both.
	Idempotent
	// Stream requests get an event stream in response. They must run at most once
	// unless the route is resumable.
	Stream
)

// String returns the kind's name for logs, where idempotent requests are called
// "safe" and non-idempotent ones "unsafe".
func (k RouteKind) String() string {
	switch k {
	case Idempotent:
		return "safe"
	case Stream:
		return "stream"
	default:
		return "unsafe"
	}
}

// Target is a service with its weight in a route.
type Target struct {
	Service string
	Weight  int
}

// Route states how the requests with a given host and path prefix are served.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       RouteKind
	// Timeout limits the time until the caller has its response. 0 means that the route
	// sets no limit; the caller's timeout or the gate's default then applies.
	Timeout time.Duration
	// LatencyObjective is the target for the time to the response, or to the first
	// event of a stream, 0 for none.
	LatencyObjective time.Duration
	// Priority is the priority of the route's requests; 0 is the most urgent.
	Priority int
	// Targets are the services that share the requests by weight. There is at least
	// one.
	Targets []Target
	// MaxAttempts is the maximum number of servers to which one request is sent, at
	// least 1.
	MaxAttempts int
	// Anonymous routes need no API key.
	Anonymous bool
	// PlaceByPrompt means that requests are placed by the parts of their prompt, which
	// they declare.
	PlaceByPrompt bool
	// Resumable means that a broken stream may be resumed on another server.
	Resumable bool
	// EventGapObjective is the target for the longest gap between two events of a
	// stream, 0 for none.
	EventGapObjective time.Duration
}

// Idempotent reports whether a request of the route may run more than once: the
// route is of kind Idempotent or a resumable stream.
func (r *Route) Idempotent() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// PickService chooses a target by weight and returns its service. n must be
// uniformly distributed over requests.
func (r *Route) PickService(n uint64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return r.Targets[0].Service
	}
	offset := int(n % uint64(total))
	for _, t := range r.Targets {
		if offset < t.Weight {
			return t.Service
		}
		offset -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Engine describes the model engine that each server of a service runs.
type Engine struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// KVCacheTokens is the capacity of an engine's KV cache, which running requests
	// and cached parts of prompts share.
	KVCacheTokens int64
	// MaxTokensPerEvent is the maximum number of tokens in one event of a stream.
	MaxTokensPerEvent int
}

// Service describes the servers of a service.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the number of connections that one server accepts from all
	// gates together, 0 for no limit.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Workspace is a customer with its prepaid quota of tokens.
type Workspace struct {
	Name string
	// Priority overrides the route's priority if HasPriority is set.
	Priority    int
	HasPriority bool
	// PrepaidTokens is the number of tokens paid for. Metered is false if the
	// workspace has no quota, so that its requests are not charged.
	PrepaidTokens int64
	Metered       bool
}

// Limits restrict the size and duration of callers' requests. 0 selects the gate's
// default. There is none for MaxBodyBytes, where 0 means no limit.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Catalog is one version of the configuration.
type Catalog struct {
	// Version increases with each change.
	Version        int64
	Limits         Limits
	services       map[string]*Service
	workspaces     map[string]*Workspace
	workspaceByKey map[string]*Workspace
	routesByHost   map[string][]*Route // longest path prefix first
}

// HasWorkspaces reports whether any workspace is configured. If so, requests need
// an API key, except on anonymous routes.
func (c *Catalog) HasWorkspaces() bool { return len(c.workspaces) > 0 }

// Service returns the named service, nil if there is none.
func (c *Catalog) Service(name string) *Service { return c.services[name] }

// WorkspaceByKey returns the workspace of an API key, nil for an unknown key.
func (c *Catalog) WorkspaceByKey(key string) *Workspace { return c.workspaceByKey[key] }

// Workspaces returns all workspaces by name. The map must not be changed.
func (c *Catalog) Workspaces() map[string]*Workspace { return c.workspaces }

// Route returns the route with the longest path prefix that matches, nil if there
// is none. path is the request's path as sent, without the query.
func (c *Catalog) Route(host, path string) *Route {
	for _, r := range c.routesByHost[hostName(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// hostName returns the name in a Host header, in lower case and without the port.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
