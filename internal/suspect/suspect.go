package suspect

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/monsoonworks/monsoonworks/internal/hosts"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// Times and counts of the messages between routers.
const (
	permitTimeout = 500 * time.Millisecond
	reportTimeout = 2 * time.Second
	// sendTries is how often a message that nobody waits for is sent.
	sendTries = 3
	// parallelReports bounds the reports that a router sends at once.
	parallelReports = 16
	// retryNoHome is what a caller is told to wait if the home router cannot be
	// reached.
	retryNoHome = time.Second
)

// Peers reaches the other routers.
type Peers interface {
	// Routers returns the live routers of all regions, this one included.
	Routers() []hosts.Host
	// Call calls a method of the router at an address.
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Options are the parts that a Registry works with.
type Options struct {
	// Name and Region are those of this router.
	Name, Region string
	Peers        Peers
	// Metrics is the registry for counters, the default one if nil.
	Metrics metrics.Registry
}

// Registry is a router's part in the handling of suspects. It is safe for
// concurrent use.
type Registry struct {
	Options
	table   *table
	refused metrics.Counter
	crashes metrics.Counter
	ctx     context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup

	mu sync.Mutex
	// permits holds the home router of each run in progress with a permit.
	permits map[uuid.UUID]hosts.Host
}

// New returns a registry. Close releases it.
func New(opts Options) *Registry {
	if opts.Metrics == nil {
		opts.Metrics = metrics.DefaultRegistry
	}
	r := &Registry{
		Options: opts, table: newTable(), permits: map[uuid.UUID]hosts.Host{},
		refused: metrics.GetOrRegisterCounter("monsoon.suspect.refused_count", opts.Metrics),
		crashes: metrics.GetOrRegisterCounter("monsoon.suspect.crash_reports_count", opts.Metrics),
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	return r
}

// Close stops the sending of reports and waits for it.
func (r *Registry) Close() {
	r.cancel()
	r.tasks.Wait()
}

// Permit returns nil if a request may run: at once if it is no suspect, else with
// a permit of its home router. It fails with a *verdict.Error that says not-run.
func (r *Registry) Permit(ctx context.Context, fingerprint uint64, attempt uuid.UUID) error {
	crashes := r.table.crashes(fingerprint)
	if len(crashes) == 0 {
		return nil
	}
	if len(crashes) >= crashesToBlock {
		return r.blocked()
	}
	home, ok := r.home(fingerprint, r.Region)
	if !ok {
		return r.noHome(nil)
	}
	args := &wire.PermitArgs{Fingerprint: fingerprint, Attempt: attempt, Crashes: crashes}
	reply, err := r.askHome(ctx, home, args)
	switch {
	case err != nil:
		return r.noHome(err)
	case reply.Blocked:
		return r.blocked()
	case !reply.Granted:
		r.refused.Inc(1)
		return verdict.New(verdict.NotRun, verdict.CodeOverloaded,
			"the request was in progress when a server crashed, and runs elsewhere now").
			WithRetryAfter(time.Duration(reply.RetryAfterMillis) * time.Millisecond)
	}
	if reply.Crashes == 0 {
		r.table.clear(fingerprint)
	}
	r.mu.Lock()
	r.permits[attempt] = home
	r.mu.Unlock()
	return nil
}

func (r *Registry) blocked() error {
	r.refused.Inc(1)
	return verdict.New(verdict.NotRun, verdict.CodeCrashesServers,
		"the request was in progress when %d servers crashed", crashesToBlock)
}

func (r *Registry) noHome(err error) error {
	r.refused.Inc(1)
	return verdict.New(verdict.NotRun, verdict.CodeNotReady,
		"the request was in progress when a server crashed, and its permit cannot be asked for").
		WithRetryAfter(retryNoHome).WithCause(err)
}

func (r *Registry) askHome(ctx context.Context, home hosts.Host, args *wire.PermitArgs) (wire.PermitReply, error) {
	if home.Name == r.Name {
		return r.table.permit(args), nil
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	reply := new(wire.PermitReply)
	if err := r.Peers.Call(ctx, home.Address, "Suspect.Permit", args, reply); err != nil {
		return wire.PermitReply{}, err // reply may still be written to
	}
	return *reply, nil
}

// Finished reports the end of a run to the home router that permitted it.
func (r *Registry) Finished(fingerprint uint64, attempt uuid.UUID, completed bool) {
	r.mu.Lock()
	home, permitted := r.permits[attempt]
	delete(r.permits, attempt)
	r.mu.Unlock()
	if !permitted {
		return
	}
	args := &wire.PermitArgs{Fingerprint: fingerprint, Attempt: attempt, Finished: true, Completed: completed}
	if completed {
		r.table.clear(fingerprint)
	}
	if home.Name == r.Name {
		r.table.permit(args)
		return
	}
	r.background(func(ctx context.Context) { r.send(ctx, home, "Suspect.Permit", args, newPermitReply) })
}

// Crashed notes a crash that this router has noticed and tells the routers of its
// region.
func (r *Registry) Crashed(report *wire.CrashReport) {
	fresh := r.learn(report)
	if len(fresh) == 0 {
		return
	}
	direct := *report
	direct.Route, direct.Fingerprints = wire.ReportDirect, fresh
	r.background(func(ctx context.Context) { r.spread(ctx, &direct) })
	r.toOtherRegions(report, fresh)
}

// receive handles a report of an agent or of another router.
func (r *Registry) receive(report *wire.CrashReport) {
	fresh := r.learn(report)
	switch {
	case len(fresh) == 0:
	case report.Route == wire.ReportDirect:
		r.toOtherRegions(report, fresh)
	case report.Route == wire.ReportCrossRegion:
		spread := *report
		spread.Route, spread.Fingerprints = wire.ReportIntraRegion, fresh
		r.background(func(ctx context.Context) { r.spread(ctx, &spread) })
	}
}

func (r *Registry) learn(report *wire.CrashReport) []uint64 {
	fresh := r.table.learn(report.CrashID, report.Fingerprints)
	if len(fresh) > 0 {
		r.crashes.Inc(1)
		slog.Warn("server crashed with requests in progress",
			"server", report.Server, "crash", report.CrashID, "requests", len(fresh))
	}
	return fresh
}

// spread sends a report to the other routers of this region.
func (r *Registry) spread(ctx context.Context, report *wire.CrashReport) {
	var group errgroup.Group
	group.SetLimit(parallelReports)
	for _, router := range r.Peers.Routers() {
		if router.Region != r.Region || router.Name == r.Name {
			continue
		}
		group.Go(func() error {
			r.send(ctx, router, "Suspect.Report", report, newEmpty)
			return nil
		})
	}
	_ = group.Wait()
}

// toOtherRegions passes on the suspects that this router is the home of, to one
// router of each other region.
func (r *Registry) toOtherRegions(report *wire.CrashReport, fresh []uint64) {
	targets := map[string]hosts.Host{}
	forwards := map[string]*wire.CrashReport{}
	for _, fingerprint := range fresh {
		if home, ok := r.home(fingerprint, r.Region); !ok || home.Name != r.Name {
			continue
		}
		for _, region := range r.otherRegions() {
			target, ok := r.home(fingerprint, region)
			if !ok {
				continue
			}
			forward := forwards[target.Name]
			if forward == nil {
				copied := *report
				copied.Route, copied.Fingerprints = wire.ReportCrossRegion, nil
				forward = &copied
				forwards[target.Name], targets[target.Name] = forward, target
			}
			forward.Fingerprints = append(forward.Fingerprints, fingerprint)
		}
	}
	for name, forward := range forwards {
		target := targets[name]
		r.background(func(ctx context.Context) { r.send(ctx, target, "Suspect.Report", forward, newEmpty) })
	}
}

func (r *Registry) otherRegions() []string {
	var regions []string
	seen := map[string]bool{r.Region: true}
	for _, router := range r.Peers.Routers() {
		if !seen[router.Region] {
			seen[router.Region] = true
			regions = append(regions, router.Region)
		}
	}
	return regions
}

// home returns the home router of a fingerprint in a region.
func (r *Registry) home(fingerprint uint64, region string) (hosts.Host, bool) {
	byName := map[string]hosts.Host{}
	var names []string
	for _, router := range r.Peers.Routers() {
		if router.Region == region && !router.Leaving {
			byName[router.Name] = router
			names = append(names, router.Name)
		}
	}
	key := make([]byte, 8)
	for i := range key {
		key[i] = byte(fingerprint >> (8 * i))
	}
	host, ok := byName[rendezvous.New(names, xxhash.Sum64String).Lookup(string(key))]
	return host, ok
}

// background runs a task until it ends or the registry is closed.
func (r *Registry) background(task func(ctx context.Context)) {
	if r.ctx.Err() != nil {
		return
	}
	r.tasks.Go(func() { task(r.ctx) })
}

// send sends a message that nobody waits for. Each try has a reply of its own,
// because an abandoned call may still write to it.
func (r *Registry) send(ctx context.Context, to hosts.Host, method string, args any, reply func() any) {
	for range sendTries {
		tryCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		err := r.Peers.Call(tryCtx, to.Address, method, args, reply())
		cancel()
		if err == nil || ctx.Err() != nil {
			return
		}
	}
}

func newEmpty() any       { return new(wire.Empty) }
func newPermitReply() any { return new(wire.PermitReply) }

// Service is the receiver of the RPC service of that name.
type Service struct{ registry *Registry }

// Service returns the receiver to register with an RPC server under the name
// "Suspect".
func (r *Registry) Service() *Service { return &Service{registry: r} }

// Report notes a crash.
func (s *Service) Report(report *wire.CrashReport, _ *wire.Empty) error {
	s.registry.receive(report)
	return nil
}

// Permit decides about a run of a suspect, or notes the end of one.
func (s *Service) Permit(args *wire.PermitArgs, reply *wire.PermitReply) error {
	*reply = s.registry.table.permit(args)
	return nil
}
