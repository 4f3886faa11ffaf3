package route

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"github.com/monsoonworks/monsoonworks/internal/hosts"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

const (
	// ProbeTimeout bounds the probes of servers in this region. A server that does
	// not reply in time has no estimate.
	ProbeTimeout = 20 * time.Millisecond
	// remoteProbeTimeout bounds the probes of servers in other regions, to which
	// the round trip alone can exceed ProbeTimeout.
	remoteProbeTimeout = 100 * time.Millisecond
	// sessionTimeout bounds the opening of a session to the chosen server.
	sessionTimeout = time.Second
	// noServerRetryAfter is the Retry-After of a refusal when no server is usable.
	noServerRetryAfter = 2 * time.Second
	// maxSessionAttempts is the maximum number of servers to which Choose tries to
	// get a session.
	maxSessionAttempts = 3
)

// Fleet lists the backend servers of the deployment. It is safe for concurrent use.
type Fleet interface {
	// Servers returns the backend servers of all regions that serve a target,
	// leaving ones included.
	Servers(kind wire.TargetKind, target string) []hosts.Host
	// All returns all backend servers of all regions.
	All() []hosts.Host
	// Changed returns a channel that is closed when Servers or All may return
	// something new.
	Changed() <-chan struct{}
}

// Sessions is a pool of sessions to agents. It is implemented by wire.Pool.
type Sessions interface {
	// Get returns the session to an address, which it opens if necessary.
	Get(ctx context.Context, address string) (*wire.Session, error)
	// Lookup returns the session to an address if one is open. It never dials.
	Lookup(address string) (*wire.Session, bool)
	// KeepOpen keeps sessions to exactly these addresses open.
	KeepOpen(addresses []string)
}

// Options configure a Router.
type Options struct {
	// Region is this router's region.
	Region   string
	Fleet    Fleet
	Sessions Sessions
	// Policy chooses among the servers of this region; nil for ProbedAffinity with
	// its defaults.
	Policy Policy
	// LinkBytesPerSecond returns this router's share of the link to other regions;
	// 0, or a nil function, means that no server of another region is used.
	LinkBytesPerSecond func() int64
	// Metrics is the registry for counters; nil for the default registry.
	Metrics metrics.Registry
}

// Router chooses servers. It is safe for concurrent use. Lock order: placementMu, mu,
// table.mu, server.mu, then pool.mu or that of a membership.Member. No lock is held during
// I/O.
type Router struct {
	Options
	linkLimiter        atomic.Pointer[rate.Limiter]
	probes             metrics.Counter
	failedProbes       metrics.Counter
	otherRegionChoices metrics.Counter

	// placementMu is held from the correction of a request's probe replies until the
	// request is recorded at its server, so that the corrections for concurrent
	// requests include it.
	placementMu sync.Mutex

	mu      sync.Mutex
	servers map[string]*server
	pools   map[string]*pool
	tables  map[tableKey]*table
}

// New returns a router. Run must be called to keep sessions to the servers open.
func New(opts Options) *Router {
	if opts.Policy == nil {
		opts.Policy = NewProbedAffinity()
	}
	if opts.LinkBytesPerSecond == nil {
		opts.LinkBytesPerSecond = func() int64 { return 0 }
	}
	if opts.Metrics == nil {
		opts.Metrics = metrics.DefaultRegistry
	}
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("monsoon.route."+name, opts.Metrics)
	}
	r := &Router{
		Options: opts,
		probes:  counter("probes_count"), failedProbes: counter("unanswered_probes_count"),
		otherRegionChoices: counter("other_region_choices_count"),
		servers:            map[string]*server{}, pools: map[string]*pool{}, tables: map[tableKey]*table{},
	}
	r.linkLimiter.Store(rate.NewLimiter(0, 0))
	return r
}

// Run keeps sessions to all servers of this region open until ctx ends.
func (r *Router) Run(ctx context.Context) {
	for {
		changed := r.Fleet.Changed()
		var addresses []string
		for _, host := range r.Fleet.All() {
			if host.Region == r.Region {
				addresses = append(addresses, host.Address)
			}
		}
		r.Sessions.KeepOpen(addresses)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// Choose chooses a server for a request and returns it with an open session. An error
// is a *verdict.Error with verdict NotRun and code CodeNoServer.
func (r *Router) Choose(ctx context.Context, q Query) (Choice, error) {
	t := r.table(q.Kind, q.Target)
	for range maxSessionAttempts {
		s, reason := r.pick(ctx, &q, t)
		if s == nil {
			break
		}
		session, err := r.session(ctx, s)
		if err == nil {
			return r.choice(s, session, reason), nil
		}
		s.recordResult(time.Now(), Result{Kind: ResultFailed})
		q.Exclude = append(slices.Clip(q.Exclude), s.name())
		if ctx.Err() != nil {
			break
		}
	}
	return Choice{}, verdict.New(verdict.NotRun, verdict.CodeNoServer,
		"no server for %q can take the request now", q.Target).WithRetryAfter(noServerRetryAfter)
}

// choice returns the Choice of a server, whose Done records the outcome. It also
// marks the server as alive.
func (r *Router) choice(s *server, session *wire.Session, reason string) Choice {
	s.mu.Lock()
	host := s.host
	s.markAlive(time.Now(), session.Peer.Boot)
	s.mu.Unlock()
	var once sync.Once
	return Choice{Server: host, Session: session, Reason: reason, Done: func(res Result) {
		once.Do(func() {
			s.recordAttempt(time.Now(), session.Peer.Boot, res)
			if host.Region != r.Region {
				r.chargeLink(res.Bytes)
			}
		})
	}}
}

// session returns a session to a server. It checks the name of the peer, because the
// address can have been reassigned to another server since the host list was read.
func (r *Router) session(ctx context.Context, s *server) (*wire.Session, error) {
	s.mu.Lock()
	address, name := s.host.Address, s.host.Name
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, sessionTimeout)
	defer cancel()
	session, err := r.Sessions.Get(ctx, address)
	if err != nil {
		return nil, err
	}
	if session.Peer.Name != name {
		return nil, fmt.Errorf("server at %s is %q, expected %q", address, session.Peer.Name, name)
	}
	return session, nil
}

// pick chooses among the local servers, and among those of other regions if no local
// one can meet the deadline. It returns the server and the reason for the choice, after
// recording the request as sent to the server; nil if there is no server.
func (r *Router) pick(ctx context.Context, q *Query, t *table) (*server, string) {
	local := &candidateSet{r: r, t: t, q: q, servers: t.local, now: time.Now(), timeout: ProbeTimeout}
	defer local.unlock()
	pick, ok := r.Policy.Pick(ctx, q, local)
	if ok && r.meetsDeadline(ctx, t.local[pick.Server], pick) {
		return t.local[pick.Server].recordSend(), pick.Reason
	}
	local.unlock()
	if s, expected := r.pickRemote(ctx, q, t); s != nil && (!ok || !pick.Estimate.Known || expected < pick.Estimate.FirstToken) {
		r.otherRegionChoices.Inc(1)
		return s.recordSend(), "no server of this region can meet the deadline"
	}
	if ok && !(pick.Estimate.Known && pick.Estimate.FirstToken >= unusableEstimate) {
		return t.local[pick.Server].recordSend(), pick.Reason
	}
	return local.lastResort()
}

// meetsDeadline reports whether a local server is expected to meet the deadline, so
// that other regions need not be considered. A server without an estimate is expected
// to meet it if a session to the server is open.
func (r *Router) meetsDeadline(ctx context.Context, s *server, pick Pick) bool {
	if !pick.Estimate.Known {
		s.mu.Lock()
		address := s.host.Address
		s.mu.Unlock()
		_, open := r.Sessions.Lookup(address)
		return open
	}
	deadline, ok := ctx.Deadline()
	return pick.Estimate.FirstToken < unusableEstimate && (!ok || pick.Estimate.FirstToken < time.Until(deadline))
}
