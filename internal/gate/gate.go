// Package gate serves callers: it finds the route, the workspace and the server of
// a request, keeps the workspace within its budget, and relays the server's answer.
// It keeps nothing that must last. It knows the protocol of callers and servers
// only through the interface Protocol.
package gate

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/monsoonworks/monsoonworks/internal/admission"
	"github.com/monsoonworks/monsoonworks/internal/catalog"
	"github.com/monsoonworks/monsoonworks/internal/fleet"
	"github.com/monsoonworks/monsoonworks/internal/placement"
	"github.com/monsoonworks/monsoonworks/internal/prepaid"
	"github.com/monsoonworks/monsoonworks/internal/upstream"
)

// Budgets reserves tokens of workspaces; reserve.Client implements it.
type Budgets interface {
	// Reserve takes the bound of a request. Its errors are *verdict.Error with
	// NotRun.
	Reserve(ctx context.Context, claim prepaid.ReservationRequest) (prepaid.Reservation, error)
}

// OverloadDetector tells when a host can take no more callers; overload.Detector implements it.
type OverloadDetector interface{ Overloaded() bool }

// Options configure a Gate.
type Options struct {
	// Domain and Region are where the gate is; Regions gives the region of each
	// failure domain.
	Domain  string
	Region  string
	Regions map[string]string
	// Servers and Budgets are what the gate works with.
	Servers  *fleet.Table
	Budgets  Budgets
	Pool     *upstream.Pool
	Protocol Protocol
	Policy   placement.Policy
	// RetryPercent and MinRetries bound this gate's retries at each service; see
	// admission.RetryBudget.
	RetryPercent int
	MinRetries   int
	// MaxBufferedBodyBytes bounds the memory of callers' bodies, in bytes.
	MaxBufferedBodyBytes int64
	// Overload tells when the gate can take no more callers.
	Overload OverloadDetector
	Log      *slog.Logger
	Metrics  metrics.Registry
}

// Gate serves callers. It is safe for concurrent use. Its mutex is a leaf.
type Gate struct {
	opts     Options
	stats    stats
	catalog  atomic.Pointer[catalog.Catalog]
	draining atomic.Bool
	active   atomic.Int64
	bodies   atomic.Int64 // bytes of bodies in memory

	mu      sync.Mutex
	retries map[string]*admission.RetryBudget
	percent int // of retries, see Options
	floor   int
}

// New returns a gate without a configuration. It refuses all requests until it has
// one.
func New(o Options) *Gate {
	return &Gate{
		opts: o, stats: newStats(o.Metrics), retries: make(map[string]*admission.RetryBudget),
		percent: o.RetryPercent, floor: o.MinRetries,
	}
}

// SetRetryLimits changes the bounds of retries; see Options.
func (g *Gate) SetRetryLimits(percent, floor int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if percent != g.percent || floor != g.floor {
		g.percent, g.floor = percent, floor
		clear(g.retries)
	}
}

// SetCatalog puts a configuration into force for requests that come from now on.
func (g *Gate) SetCatalog(c *catalog.Catalog) { g.catalog.Store(c) }

// Catalog returns the configuration in force, nil if there is none yet.
func (g *Gate) Catalog() *catalog.Catalog { return g.catalog.Load() }

// InProgress returns the number of requests that have not ended.
func (g *Gate) InProgress() int { return int(g.active.Load()) }

// Drain makes every answer from now on close its connection.
func (g *Gate) Drain() { g.draining.Store(true) }

// Draining reports whether Drain was called.
func (g *Gate) Draining() bool { return g.draining.Load() }

// retryBudget returns the budget of retries at a service.
func (g *Gate) retryBudget(service string) *admission.RetryBudget {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.retries[service]
	if b == nil {
		b = admission.NewRetryBudgetWith(g.percent, g.floor)
		g.retries[service] = b
	}
	return b
}

// distance returns how far a failure domain is from the gate.
func (g *Gate) distance(domain string) placement.Distance {
	switch {
	case domain == g.opts.Domain:
		return placement.SameDomain
	case g.opts.Regions[domain] == g.opts.Region:
		return placement.SameRegion
	default:
		return placement.OtherRegion
	}
}

// choose picks a server of a service among those not tried yet, nil if there is
// none.
func (g *Gate) choose(service string, q placement.Query, tried []string, now time.Time) (*fleet.Server, placement.Reason) {
	servers := g.opts.Servers.Servers(service)
	usable := make([]*fleet.Server, 0, len(servers))
	candidates := make([]placement.Candidate, 0, len(servers))
	for _, s := range servers {
		if contains(tried, s.ID) || !s.Usable(now) {
			continue
		}
		usable = append(usable, s)
		candidates = append(candidates, placement.Candidate{
			Key: s.Key, Distance: g.distance(s.Domain), AwaitingFirstByte: s.AwaitingFirstByte(), InProgress: s.InProgress(), Rank: s.Rank(), Degraded: s.Degraded(now),
		})
	}
	i, reason := g.opts.Policy.Choose(q, candidates)
	if i < 0 {
		return nil, ""
	}
	return usable[i], reason
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}
