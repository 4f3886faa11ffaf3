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

const (
	// permitTimeout bounds a permit call to the home router. The request waits for it.
	permitTimeout = 500 * time.Millisecond
	// sendTimeout bounds one call that sends a message in the background.
	sendTimeout = 2 * time.Second
	// maxSendCalls is the largest number of calls made to send one message in the
	// background.
	maxSendCalls = 3
	// maxParallelCalls bounds the calls in flight of one broadcast.
	maxParallelCalls = 16
	// homeUnreachableRetryAfter is the RetryAfter of a suspect that is refused because
	// its home router is unreachable.
	homeUnreachableRetryAfter = time.Second
)

// Peers makes RPC calls to the other routers. It is safe for concurrent use.
type Peers interface {
	// Routers returns the live routers of all regions, this one included.
	Routers() []hosts.Host
	// Call calls a method of the router at an address.
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Options configure a Registry.
type Options struct {
	// Name and Region are those of this router.
	Name, Region string
	Peers        Peers
	// Metrics is the registry for counters; nil for the default registry.
	Metrics metrics.Registry
}

// Registry tracks the suspects known to a router and requests permits for them. It is
// safe for concurrent use.
type Registry struct {
	Options
	table   *table
	refused metrics.Counter // refused attempts
	crashes metrics.Counter // reports of new crashes
	ctx     context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup

	mu sync.Mutex
	// permits holds the home routers that granted the permits of attempts in progress,
	// by attempt.
	permits map[uuid.UUID]hosts.Host
}

// New returns a registry without suspects. Close must be called to stop its background
// tasks.
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

// Close cancels the background tasks and waits for them to end.
func (r *Registry) Close() {
	r.cancel()
	r.tasks.Wait()
}

// Permit returns nil if an attempt of the request may run: without a call if it is not
// a suspect, otherwise with a permit of its home router. It fails with a *verdict.Error
// with verdict NotRun and code CodeCrashesServers, CodeOverloaded if another attempt is
// in progress, or CodeNotReady if the home router is unreachable.
func (r *Registry) Permit(ctx context.Context, fingerprint uint64, attempt uuid.UUID) error {
	crashes := r.table.crashes(fingerprint)
	if len(crashes) == 0 {
		return nil
	}
	if r.table.blocked(fingerprint) {
		return r.refuseBlocked()
	}
	home, ok := r.home(fingerprint, r.Region)
	if !ok {
		return r.refuseUnreachable(nil)
	}
	args := &wire.PermitArgs{Fingerprint: fingerprint, Attempt: attempt, Crashes: crashes}
	reply, err := r.requestPermit(ctx, home, args)
	switch {
	case err != nil:
		return r.refuseUnreachable(err)
	case reply.Blocked:
		return r.refuseBlocked()
	case !reply.Granted:
		r.refused.Inc(1)
		return verdict.New(verdict.NotRun, verdict.CodeOverloaded,
			"the request was in progress when a server crashed, and runs elsewhere now").
			WithRetryAfter(time.Duration(reply.RetryAfterMillis) * time.Millisecond)
	}
	if reply.Crashes == 0 { // the home router has cleared all crashes known here
		r.table.clear(fingerprint)
	}
	r.mu.Lock()
	r.permits[attempt] = home
	r.mu.Unlock()
	return nil
}

// refuseBlocked returns the refusal of a suspect with too many crashes.
func (r *Registry) refuseBlocked() error {
	r.refused.Inc(1)
	return verdict.New(verdict.NotRun, verdict.CodeCrashesServers,
		"the request was in progress when %d servers crashed", crashesToBlock)
}

// refuseUnreachable returns the refusal of a suspect whose home router cannot be called.
func (r *Registry) refuseUnreachable(err error) error {
	r.refused.Inc(1)
	return verdict.New(verdict.NotRun, verdict.CodeNotReady,
		"the request was in progress when a server crashed, and its permit cannot be asked for").
		WithRetryAfter(homeUnreachableRetryAfter).WithCause(err)
}

// requestPermit calls the home router for a permit, or decides itself if this router is
// the home.
func (r *Registry) requestPermit(ctx context.Context, home hosts.Host, args *wire.PermitArgs) (wire.PermitReply, error) {
	if home.Name == r.Name {
		return r.table.handlePermit(args), nil
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	reply := new(wire.PermitReply)
	if err := r.Peers.Call(ctx, home.Address, "Suspect.Permit", args, reply); err != nil {
		return wire.PermitReply{}, err // an abandoned call may still write to reply
	}
	return *reply, nil
}

// ReportFinished reports the end of an attempt to the home router that permitted it, if
// it had a permit. If completed is set, the suspect is cleared.
func (r *Registry) ReportFinished(fingerprint uint64, attempt uuid.UUID, completed bool) {
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
		r.table.handlePermit(args)
		return
	}
	r.runTask(func(ctx context.Context) { r.send(ctx, home, "Suspect.Permit", args, newPermitReply) })
}

// ReportCrash records a crash that this router has detected and reports it to the other
// routers of the region. For suspects whose home router this is, it also forwards the
// report to the other regions.
func (r *Registry) ReportCrash(report *wire.CrashReport) {
	added := r.record(report)
	if len(added) == 0 {
		return
	}
	direct := *report
	direct.Route, direct.Fingerprints = wire.ReportDirect, added
	r.runTask(func(ctx context.Context) { r.broadcast(ctx, &direct) })
	r.forwardToRegions(report, added)
}

// handleReport records the crash of a report by an agent or another router and forwards
// the report. A report without a new crash is not forwarded, which bounds the messages
// per crash.
func (r *Registry) handleReport(report *wire.CrashReport) {
	added := r.record(report)
	switch {
	case len(added) == 0:
	case report.Route == wire.ReportDirect:
		r.forwardToRegions(report, added)
	case report.Route == wire.ReportCrossRegion:
		forwarded := *report
		forwarded.Route, forwarded.Fingerprints = wire.ReportIntraRegion, added
		r.runTask(func(ctx context.Context) { r.broadcast(ctx, &forwarded) })
	}
}

// record adds a crash to the table and returns the fingerprints for which it is new.
func (r *Registry) record(report *wire.CrashReport) []uint64 {
	added := r.table.add(report.CrashID, report.Fingerprints)
	if len(added) > 0 {
		r.crashes.Inc(1)
		slog.Warn("server crashed with requests in progress",
			"server", report.Server, "crash", report.CrashID, "requests", len(added))
	}
	return added
}

// broadcast sends a report to all other routers of this region.
func (r *Registry) broadcast(ctx context.Context, report *wire.CrashReport) {
	var group errgroup.Group
	group.SetLimit(maxParallelCalls)
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

// forwardToRegions forwards a report to all other regions: for each suspect whose home
// router this is, to its home router there.
func (r *Registry) forwardToRegions(report *wire.CrashReport, fingerprints []uint64) {
	targets := map[string]hosts.Host{}
	forwards := map[string]*wire.CrashReport{}
	for _, fingerprint := range fingerprints {
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
		r.runTask(func(ctx context.Context) { r.send(ctx, target, "Suspect.Report", forward, newEmpty) })
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

// home returns the home router of a fingerprint in a region, by rendezvous hashing over
// the routers that are not leaving.
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

// runTask runs a task in the background. Its context ends when the registry is closed.
func (r *Registry) runTask(task func(ctx context.Context)) {
	if r.ctx.Err() != nil {
		return
	}
	r.tasks.Go(func() { task(r.ctx) })
}

// send sends a message in up to maxSendCalls calls and ignores their errors. Each call
// has its own reply, because an abandoned call may still write to it.
func (r *Registry) send(ctx context.Context, to hosts.Host, method string, args any, reply func() any) {
	for range maxSendCalls {
		callCtx, cancel := context.WithTimeout(ctx, sendTimeout)
		err := r.Peers.Call(callCtx, to.Address, method, args, reply())
		cancel()
		if err == nil || ctx.Err() != nil {
			return
		}
	}
}

func newEmpty() any       { return new(wire.Empty) }
func newPermitReply() any { return new(wire.PermitReply) }

// Service is the receiver of the RPC service "Suspect".
type Service struct{ registry *Registry }

// Service returns the RPC receiver. It must be registered under the name "Suspect".
func (r *Registry) Service() *Service { return &Service{registry: r} }

// Report is the RPC by which agents and routers report a crash.
func (s *Service) Report(report *wire.CrashReport, _ *wire.Empty) error {
	s.registry.handleReport(report)
	return nil
}

// Permit is the RPC by which a router requests a permit for an attempt of a suspect, or
// reports the end of an attempt that had one.
func (s *Service) Permit(args *wire.PermitArgs, reply *wire.PermitReply) error {
	*reply = s.registry.table.handlePermit(args)
	return nil
}
