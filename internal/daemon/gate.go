package daemon

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/monsoonworks/monsoonworks/internal/fleet"
	"github.com/monsoonworks/monsoonworks/internal/gate"
	"github.com/monsoonworks/monsoonworks/internal/mirror"
	"github.com/monsoonworks/monsoonworks/internal/overload"
	"github.com/monsoonworks/monsoonworks/internal/placement"
	"github.com/monsoonworks/monsoonworks/internal/prepaid"
	"github.com/monsoonworks/monsoonworks/internal/relay"
	"github.com/monsoonworks/monsoonworks/internal/reserve"
	"github.com/monsoonworks/monsoonworks/internal/settings"
	"github.com/monsoonworks/monsoonworks/internal/suspect"
	"github.com/monsoonworks/monsoonworks/internal/upstream"
	"github.com/monsoonworks/monsoonworks/internal/watchcache"
	"github.com/monsoonworks/monsoonworks/platform"
)

const (
	// deregistrationDelay is how long a draining gate still accepts connections. The
	// platform's load balancer needs this time to notice that the gate is not ready.
	deregistrationDelay = 2300 * time.Millisecond
	// quotaReleaseTime is the part of the drain timeout that is reserved for releasing
	// quota shares in the store.
	quotaReleaseTime = 700 * time.Millisecond
	// closeExpiredInterval is the interval at which expired idle connections to servers are
	// closed.
	closeExpiredInterval = time.Second
	// bufferMemoryDivisor divides the gate's memory into the limit on buffered bodies and
	// events.
	bufferMemoryDivisor = 16
)

// Gate is a gate process.
type Gate struct {
	settings settings.Settings
	// current holds the settings of the last reload, settings those of the start.
	current atomic.Pointer[settings.Settings]
	// relays holds the addresses of the relays. relaysMutex serializes updateRelays, so that
	// a result from an older configuration cannot replace a newer one.
	relaysMutex sync.Mutex
	relays      atomic.Pointer[relayAddresses]

	log          *slog.Logger
	registry     metrics.Registry
	servers      *fleet.Table
	fallback     *prepaid.Manager // grants reservations while no quota server replies
	reservations *reserve.Client
	pool         *upstream.Pool
	overload     *overload.Detector
	gate         *gate.Gate
	retries      *retryLimits
	frontend     *gate.Frontend
	readiness    net.Listener
	suspects     *suspect.Shared
	configMirror *mirror.Mirror
	serverMirror *mirror.Mirror
	// suspectMirror follows the evidence of crashes.
	suspectMirror *mirror.Mirror
	// invalidServers holds the revisions of the server entries that could not be decoded, by
	// key. Only applyServers uses it.
	invalidServers map[string]int64
}

// relayAddresses are the addresses of all relays, and of those in the gate's failure domain.
type relayAddresses struct{ all, domain []string }

// NewGate returns a gate with open listeners. Run starts it.
func NewGate(s settings.Settings, registry metrics.Registry, log *slog.Logger) (*Gate, error) {
	runID, err := uuid.NewRandom()
	if err != nil {
		return nil, err
	}
	g := &Gate{settings: s, log: log, registry: registry, servers: fleet.NewTable(), overload: overload.NewDetector(s.Gate.LinkMbps)}
	g.current.Store(&s)
	g.pool = upstream.NewPool(&overload.CountingDialer{Dialer: net.Dialer{KeepAlive: -1}, Detector: g.overload}, registry)
	st := relay.NewStore(relay.Options{
		Direct: platform.NewStore(platform.StoreOptions{Address: s.Gate.Store, Metrics: registry}),
		Relays: g.allRelays, Log: log, Metrics: registry,
	})
	g.fallback = newQuotaManager(s.Name, hex.EncodeToString(runID[:4]), newBootClock(log), st, registry, log)
	g.reservations = reserve.NewClient(reserve.Options{
		Gate: g.fallback.Owner(), QuotaServers: g.allRelays, Workspaces: g.workspaces, Dial: relay.TCPDialer(), Fallback: g.fallback, Log: log, Metrics: registry,
	})
	g.suspects = suspect.NewShared(suspect.SharedOptions{Key: suspectsKey, Store: st, Log: log, Metrics: registry})
	g.gate = gate.New(gate.Options{
		Domain: s.Domain, Region: s.Region, Regions: s.Gate.Regions,
		Servers: g.servers, Reserver: g.reservations, Pool: g.pool, Quarantine: g.suspects, Protocol: platform.Protocol{}, Policy: placement.DefaultPolicy(),
		MaxBufferedBytes: int64(s.Gate.MemoryMB) << 20 / bufferMemoryDivisor,
		Overload:         g.overload, Log: log, Metrics: registry,
	})
	g.retries = newRetryLimits(s.Gate, g.gate.SetRetryLimits, registry, log)
	watches := watchcache.NewClient(watchcache.ClientOptions{
		Gate: g.fallback.Owner(), Domain: s.Domain, Servers: g.domainRelays, Direct: st, OnGates: g.retries.reportGates,
		Dial: relay.TCPDialer(), Log: log, Metrics: registry,
	})
	g.configMirror = mirror.New(mirror.Options{Prefix: platform.ConfigPrefix, Store: watches, OnChange: g.applyConfig, Log: log})
	g.serverMirror = mirror.New(mirror.Options{
		Prefix: platform.ServerPrefix, Store: watches, OnChange: g.applyServers, Log: log,
		DeletionGrace: s.Gate.ServerReturn.Std(),
	})
	g.suspectMirror = mirror.New(mirror.Options{Prefix: suspectsKey, Store: watches, OnChange: g.applySuspects, Log: log})
	return g, g.listen()
}

func (g *Gate) listen() error {
	address, err := net.ResolveTCPAddr("tcp", g.settings.Gate.Listen)
	if err != nil {
		return fmt.Errorf("listener for callers: %w", err)
	}
	listener, err := net.ListenTCP("tcp", address)
	if err != nil {
		return fmt.Errorf("listener for callers: %w", err)
	}
	g.frontend = gate.NewFrontend(g.gate, listener, g.overload.CountBytes, g.log)
	g.frontend.SetMaxConns(g.maxCallerConns())
	g.readiness, err = net.Listen("tcp", g.settings.Gate.ReadyListen)
	if err != nil {
		return errors.Join(fmt.Errorf("listener for readiness checks: %w", err), listener.Close())
	}
	return nil
}

// applyConfig applies the operators' configuration if it is newer than the current one. A
// configuration that cannot be decoded is logged and ignored.
func (g *Gate) applyConfig(state mirror.State) {
	entry, ok := state.Entries[platform.ConfigKey]
	if !ok {
		return
	}
	next, err := platform.DecodeCatalog(entry.Value)
	if err != nil {
		g.log.Error("invalid configuration ignored", "revision", entry.ModRevision, "error", err)
		return
	}
	if current := g.gate.Catalog(); current != nil && next.Version <= current.Version {
		return
	}
	g.gate.SetCatalog(next)
	g.frontend.SetLimits(next.Limits)
	g.updateRelays()
	g.log.Info("configuration in force", "version", next.Version, "revision", entry.ModRevision)
}

// applyServers replaces the server table with the store's entries. Entries that cannot be
// decoded are logged once a revision and ignored.
func (g *Gate) applyServers(state mirror.State) {
	entries := make([]fleet.Entry, 0, len(state.Entries))
	invalid := make(map[string]int64)
	for _, e := range state.Entries {
		entry, err := platform.DecodeServer(e)
		if err != nil {
			if g.invalidServers[e.Key] != e.ModRevision {
				g.log.Warn("invalid server entry ignored", "key", e.Key, "revision", e.ModRevision, "error", err)
			}
			invalid[e.Key] = e.ModRevision
			continue
		}
		entries = append(entries, entry)
	}
	g.invalidServers = invalid
	for _, change := range g.servers.Apply(entries) {
		g.log.Info("server "+change.Kind, "server", change.Entry.ID, "service", change.Entry.Service,
			"address", change.Entry.Address, "domain", change.Entry.Domain, "revision", change.Entry.Revision)
	}
	g.updateRelays()
}

// applySuspects applies the evidence of crashes that gates share.
func (g *Gate) applySuspects(state mirror.State) {
	entry, ok := state.Entries[suspectsKey]
	g.suspects.Apply(entry, ok)
}

// updateRelays recomputes the addresses of the relays. A relay runs on the host of each
// backend server whose service has an engine; those of draining servers are left out. It is
// called when the servers, the catalog or the relays' port change.
func (g *Gate) updateRelays() {
	g.relaysMutex.Lock()
	defer g.relaysMutex.Unlock()
	c := g.gate.Catalog()
	port := uint16(g.current.Load().Gate.RelayPort)
	var addresses relayAddresses
	for _, s := range g.servers.NotDraining() {
		if c == nil || port == 0 {
			break
		}
		service := c.Service(s.Service)
		address, err := netip.ParseAddrPort(s.Address)
		if err != nil || service == nil || service.Engine == nil {
			continue
		}
		relayAddress := netip.AddrPortFrom(address.Addr(), port).String()
		addresses.all = append(addresses.all, relayAddress)
		if s.Domain == g.settings.Domain {
			addresses.domain = append(addresses.domain, relayAddress)
		}
	}
	g.relays.Store(&addresses)
}

// allRelays returns the addresses of all relays. The slice must not be changed.
func (g *Gate) allRelays() []string {
	if relays := g.relays.Load(); relays != nil {
		return relays.all
	}
	return nil
}

// domainRelays returns the addresses of the relays in the gate's failure domain. The slice must
// not be changed.
func (g *Gate) domainRelays() []string {
	if relays := g.relays.Load(); relays != nil {
		return relays.domain
	}
	return nil
}

// workspaces returns the number of configured workspaces.
func (g *Gate) workspaces() int {
	if c := g.gate.Catalog(); c != nil {
		return len(c.Workspaces())
	}
	return 0
}

// Run runs the gate until ctx ends. It returns the first error of a component.
func (g *Gate) Run(ctx context.Context) error {
	server := newProbeServer(http.HandlerFunc(g.serveReady))
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return g.configMirror.Run(ctx) })
	group.Go(func() error { return g.serverMirror.Run(ctx) })
	group.Go(func() error { return g.suspectMirror.Run(ctx) })
	group.Go(func() error { return g.suspects.Run(ctx) })
	group.Go(func() error { return g.fallback.Run(ctx) })
	group.Go(func() error { return g.reservations.Run(ctx) })
	group.Go(func() error { return g.closeExpired(ctx) })
	group.Go(func() error { return g.overload.Run(ctx, g.logOverload) })
	group.Go(func() error {
		stop := func() { _ = g.frontend.StopAccepting() } // already closed after a drain
		return runUntil(ctx, g.frontend.Run, stop)
	})
	group.Go(func() error {
		stop := func() { _ = server.Close() } // readiness checks need no graceful shutdown
		return ignoreServerClosed(runUntil(ctx, func() error { return server.Serve(g.readiness) }, stop))
	})
	g.log.Info("gate started", "callers", g.settings.Gate.Listen, "store", g.settings.Gate.Store)
	return group.Wait()
}

func (g *Gate) logOverload(overloaded bool, linkUsage float64, schedulingDelay time.Duration) {
	g.log.Info("overload state changed", "crowded", overloaded, "link_usage", linkUsage, "late_ms", schedulingDelay.Milliseconds())
}

// closeExpired closes expired idle connections to servers until ctx ends.
func (g *Gate) closeExpired(ctx context.Context) error {
	ticker := time.NewTicker(closeExpiredInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			g.pool.CloseExpired()
		}
	}
}

// Ready reports whether the gate can serve callers: it has a configuration, its server
// entries and the evidence of crashes are synced, and it is neither draining nor overloaded and can
// accept connections.
func (g *Gate) Ready() bool {
	return g.gate.Catalog() != nil && g.serverMirror.Synced() && g.suspectMirror.Synced() && !g.gate.Draining() && !g.overload.Overloaded() && !g.frontend.Full()
}

// serveReady answers the load balancer's readiness checks.
func (g *Gate) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !g.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Reload implements Reloader. The drain timeout, the retry limits and the relays' port are
// applied without a restart, but the drain still ends at the timeout of the start if that
// is shorter.
func (g *Gate) Reload(s settings.Settings) bool {
	g.retries.configure(s.Gate)
	g.current.Store(&s)
	g.updateRelays()
	after := s
	before := g.settings
	after.DrainTimeout, before.DrainTimeout = 0, 0
	after.Gate.RetryShare, before.Gate.RetryShare = 0, 0
	after.Gate.RetrySlack, before.Gate.RetrySlack = 0, 0
	after.Gate.RelayPort, before.Gate.RelayPort = 0, 0
	return reflect.DeepEqual(after, before)
}

// InProgress returns the number of requests in progress.
func (g *Gate) InProgress() int { return g.gate.InProgress() }

// Drain prepares a planned stop: the gate reports that it is not ready, accepts connections
// for deregistrationDelay, waits for the requests in progress and releases its quota shares.
// Requests that might be in progress at the end are refused.
// It logs what could not be completed in time and returns nil.
func (g *Gate) Drain(ctx context.Context) error {
	requestCtx, cancel := context.WithTimeout(ctx, g.current.Load().DrainTimeout.Std()-quotaReleaseTime)
	defer cancel()
	ends, _ := requestCtx.Deadline()
	g.gate.Drain(ends)
	select {
	case <-time.After(deregistrationDelay):
	case <-requestCtx.Done():
	}
	if err := g.frontend.StopAccepting(); err != nil && !errors.Is(err, net.ErrClosed) {
		g.log.Warn("closing the listener for callers failed", "error", err)
	}
	if err := g.frontend.Shutdown(requestCtx); err != nil {
		g.log.Warn("drain timeout exceeded", "in_progress", g.InProgress(), "error", err)
	}
	if err := g.reservations.Close(ctx); err != nil {
		g.log.Warn("settling reservations failed", "error", err)
	}
	if err := g.fallback.Close(ctx); err != nil {
		g.log.Warn("releasing quota shares failed", "error", err)
	}
	return nil
}
