// Package gate is the reverse proxy in front of the backend servers: it finds the
// route, workspace and server of a request, reserves tokens from the workspace's
// quota, and relays the server's response. The daemon's gate process runs it. It
// keeps no durable state, and it knows the headers of callers and servers only
// through Protocol.
package gate

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/singleflight"

	"github.com/monsoonworks/monsoonworks/internal/admission"
	"github.com/monsoonworks/monsoonworks/internal/catalog"
	"github.com/monsoonworks/monsoonworks/internal/fleet"
	"github.com/monsoonworks/monsoonworks/internal/placement"
	"github.com/monsoonworks/monsoonworks/internal/prepaid"
	"github.com/monsoonworks/monsoonworks/internal/upstream"
)

// Reserver reserves tokens of workspaces. reserve.Client implements it.
type Reserver interface {
	// Reserve reserves the maximum number of tokens that a request can consume. Its
	// errors are *verdict.Error with the verdict NotRun.
	Reserve(ctx context.Context, request prepaid.ReservationRequest) (prepaid.Reservation, error)
}

// OverloadDetector reports whether the gate's host is overloaded. overload.Detector
// implements it.
type OverloadDetector interface{ Overloaded() bool }

// Options configure a Gate.
type Options struct {
	// Domain and Region are the gate's location. Regions maps each failure domain to
	// its region.
	Domain   string
	Region   string
	Regions  map[string]string
	Servers  *fleet.Table
	Reserver Reserver
	Pool     *upstream.Pool
	// Quarantine refuses requests that crash servers.
	Quarantine Quarantine
	Protocol   Protocol
	Policy     placement.Policy
	// RetryPercent is the number of retries that are allowed per 100 requests to a
	// service. MinRetries is the number that is always allowed. Both refer to this gate
	// and to the time window of admission.RetryBudget.
	RetryPercent int
	MinRetries   int
	// MaxBufferedBytes limits the memory for bodies of requests and responses and for
	// events of streams. The first bytes of each buffer do not count.
	MaxBufferedBytes int64
	// While Overload reports an overload, the gate closes callers' connections after
	// their responses, so that the callers reconnect to another gate.
	Overload OverloadDetector
	Log      *slog.Logger
	Metrics  metrics.Registry
}

// Gate is an http.Handler that proxies requests to backend servers. It is safe for
// concurrent use. Of other locks only that of a RetryBudget is acquired while its mutex is held.
type Gate struct {
	opts    Options
	stats   stats
	started time.Time
	catalog atomic.Pointer[catalog.Catalog]
	drain   atomic.Pointer[admission.Drain] // nil unless draining
	// drainEnds is canceled by endDrain when the requests in progress must be answered.
	drainEnds  context.Context
	endDrain   context.CancelFunc
	inProgress atomic.Int64
	memory     memoryLimit
	// crashChecks merges concurrent checks of the same server, by its ID.
	crashChecks singleflight.Group

	mu           sync.Mutex
	retryBudgets map[string]*admission.RetryBudget // by service
	retryPercent int                               // current value, see SetRetryLimits
	minRetries   int                               // current value, see SetRetryLimits
}

// New returns a gate without a configuration. It refuses all requests until
// SetCatalog is called.
func New(o Options) *Gate {
	drainEnds, endDrain := context.WithCancel(context.Background())
	return &Gate{
		drainEnds: drainEnds, endDrain: endDrain,
		opts: o, stats: newStats(o.Metrics), started: time.Now(), memory: memoryLimit{limit: o.MaxBufferedBytes}, retryBudgets: make(map[string]*admission.RetryBudget),
		retryPercent: o.RetryPercent, minRetries: o.MinRetries,
	}
}

// SetRetryLimits replaces the RetryPercent and MinRetries that New got in its Options.
func (g *Gate) SetRetryLimits(percent, minRetries int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retryPercent, g.minRetries = percent, minRetries
	for _, b := range g.retryBudgets {
		b.SetLimits(percent, minRetries)
	}
}

// SetCatalog replaces the configuration for new requests.
func (g *Gate) SetCatalog(c *catalog.Catalog) { g.catalog.Store(c) }

// Catalog returns the current configuration, nil if none was set.
func (g *Gate) Catalog() *catalog.Catalog { return g.catalog.Load() }

// InProgress returns the number of requests in progress.
func (g *Gate) InProgress() int { return int(g.inProgress.Load()) }

// retryBudget returns the retry budget of a service.
func (g *Gate) retryBudget(service string) *admission.RetryBudget {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.retryBudgets[service]
	if b == nil {
		b = admission.NewRetryBudgetWith(g.retryPercent, g.minRetries, g.started)
		g.retryBudgets[service] = b
	}
	return b
}

// distance returns the network distance from the gate to a failure domain.
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

// choose picks a usable server of the service whose ID is not in
// attemptedServerIDs, nil if there is none.
func (g *Gate) choose(service string, query placement.Query, attemptedServerIDs []string, now time.Time) (*fleet.Server, placement.Reason) {
	servers := g.opts.Servers.Servers(service)
	usable := make([]*fleet.Server, 0, len(servers))
	candidates := make([]placement.Candidate, 0, len(servers))
	for _, s := range servers {
		if contains(attemptedServerIDs, s.ID) || !s.Usable(now) {
			continue
		}
		usable = append(usable, s)
		candidates = append(candidates, placement.Candidate{
			Key: s.Key, Distance: g.distance(s.Domain), AwaitingFirstByte: s.AwaitingFirstByte(), InProgress: s.InProgress(), Rank: s.Rank(), Degraded: s.Degraded(now),
		})
	}
	i, reason := g.opts.Policy.Choose(query, candidates)
	if i < 0 {
		return nil, ""
	}
	return usable[i], reason
}

func contains(list []string, s string) bool {
	for _, item := range list {
		if item == s {
			return true
		}
	}
	return false
}
