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

// Times of a choice.
const (
	// ProbeTimeout is how long a probe of a server in this region may take. A
	// server that does not answer in time has an unknown load.
	ProbeTimeout = 20 * time.Millisecond
	// remoteProbeTimeout is the same for another region, whose round trip alone
	// can take longer than ProbeTimeout.
	remoteProbeTimeout = 100 * time.Millisecond
	// openTimeout bounds the wait for a session that is not open yet.
	openTimeout = time.Second
	// noServerRetryAfter is what a caller is told to wait if there is no server.
	noServerRetryAfter = 2 * time.Second
	// maxOpens bounds the servers that are tried for an open session.
	maxOpens = 3
)

// Fleet is what the router needs to know about the deployment.
type Fleet interface {
	// Servers returns the backend servers of all regions that serve a target,
	// leaving ones included.
	Servers(kind wire.TargetKind, target string) []hosts.Host
	// All returns all backend servers of all regions.
	All() []hosts.Host
	// Changed is closed when an answer may differ from earlier ones.
	Changed() <-chan struct{}
}

// Sessions are the open sessions to agents; wire.Pool implements it.
type Sessions interface {
	Get(ctx context.Context, address string) (*wire.Session, error)
	Lookup(address string) (*wire.Session, bool)
	KeepOpen(addresses []string)
}

// Options are the parts that a Router works with.
type Options struct {
	// Region is this router's region.
	Region   string
	Fleet    Fleet
	Sessions Sessions
	// Policy is the probed prefix affinity if nil.
	Policy Policy
	// LinkBytesPerSecond is this router's share of the link to other regions; 0
	// means that no server of another region is used.
	LinkBytesPerSecond func() int64
	// Metrics is the registry for counters, the default one if nil.
	Metrics metrics.Registry
}

// Router chooses servers. It is safe for concurrent use. Lock order: placing, mu,
// then a table's, then a server's, then its pool's. No lock is held during I/O.
type Router struct {
	Options
	link     atomic.Pointer[rate.Limiter]
	probes   metrics.Counter
	silences metrics.Counter
	remote   metrics.Counter

	// placing is held from the correction of a request's probes until its server
	// has counted it.
	placing sync.Mutex

	mu      sync.Mutex
	servers map[string]*server
	pools   map[string]*pool
	tables  map[tableKey]*table
}

// New returns a router. Run must be called for it to keep sessions open.
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
		probes:  counter("probes_count"), silences: counter("unanswered_probes_count"),
		remote:  counter("other_region_choices_count"),
		servers: map[string]*server{}, pools: map[string]*pool{}, tables: map[tableKey]*table{},
	}
	r.link.Store(rate.NewLimiter(0, 0))
	return r
}

// Run keeps sessions to all live servers of this region open until ctx ends.
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

// Choose returns a server for a request with an open session to it. It fails
// with a *verdict.Error that says not-run.
func (r *Router) Choose(ctx context.Context, q Query) (Choice, error) {
	t := r.table(q.Kind, q.Target)
	for range maxOpens {
		s, reason := r.pick(ctx, &q, t)
		if s == nil {
			break
		}
		session, err := r.session(ctx, s)
		if err == nil {
			return r.choice(s, session, reason), nil
		}
		s.finish(time.Now(), Result{Kind: ResultFailed})
		q.Exclude = append(slices.Clip(q.Exclude), s.name())
		if ctx.Err() != nil {
			break
		}
	}
	return Choice{}, verdict.New(verdict.NotRun, verdict.CodeNoServer,
		"no server for %q can take the request now", q.Target).WithRetryAfter(noServerRetryAfter)
}

func (r *Router) choice(s *server, session *wire.Session, reason string) Choice {
	s.mu.Lock()
	host := s.host
	s.answered(time.Now(), session.Peer.Boot)
	s.mu.Unlock()
	var once sync.Once
	return Choice{Server: host, Session: session, Reason: reason, Done: func(res Result) {
		once.Do(func() {
			s.finish(time.Now(), res)
			if host.Region != r.Region {
				r.chargeLink(res.Bytes)
			}
		})
	}}
}

// session returns a session to a server. An address can have been given to
// another server since the host list was read, so the peer's name is checked.
func (r *Router) session(ctx context.Context, s *server) (*wire.Session, error) {
	s.mu.Lock()
	address, name := s.host.Address, s.host.Name
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	session, err := r.Sessions.Get(ctx, address)
	if err != nil {
		return nil, err
	}
	if session.Peer.Name != name {
		return nil, fmt.Errorf("server at %s is %q, not %q", address, session.Peer.Name, name)
	}
	return session, nil
}

// pick chooses among the local servers, and among those of other regions if no
// local one can meet the deadline. The server has counted the request.
func (r *Router) pick(ctx context.Context, q *Query, t *table) (*server, string) {
	local := &view{r: r, t: t, q: q, servers: t.local, now: time.Now(), timeout: ProbeTimeout}
	defer local.release()
	pick, ok := r.Policy.Pick(ctx, q, local)
	if ok && r.meetsDeadline(ctx, t.local[pick.Server], pick) {
		return t.local[pick.Server].begin(), pick.Reason
	}
	local.release()
	if s, expected := r.pickRemote(ctx, q, t); s != nil && (!ok || !pick.Estimate.Known || expected < pick.Estimate.FirstToken) {
		r.remote.Inc(1)
		return s.begin(), "no server of this region can meet the deadline"
	}
	if ok && !(pick.Estimate.Known && pick.Estimate.FirstToken >= unfit) {
		return t.local[pick.Server].begin(), pick.Reason
	}
	return local.lastResort()
}

// meetsDeadline reports whether a local choice is good enough not to look at
// other regions.
func (r *Router) meetsDeadline(ctx context.Context, s *server, pick Pick) bool {
	if !pick.Estimate.Known {
		s.mu.Lock()
		address := s.host.Address
		s.mu.Unlock()
		_, open := r.Sessions.Lookup(address)
		return open
	}
	deadline, ok := ctx.Deadline()
	return pick.Estimate.FirstToken < unfit && (!ok || pick.Estimate.FirstToken < time.Until(deadline))
}
