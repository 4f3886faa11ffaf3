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
	"github.com/monsoonworks/monsoonworks/internal/upstream"
	"github.com/monsoonworks/monsoonworks/platform"
)

// Figures of a gate's start and stop.
const (
	// leaveRotation is how long a gate that stops goes on accepting callers, until
	// the platform's balancer has noticed that it is not ready.
	leaveRotation = 2300 * time.Millisecond
	// stopReserve is the part of the drain time that is kept for giving budgets
	// back.
	stopReserve = 700 * time.Millisecond
	// pruneInterval is how often idle connections to servers are closed.
	pruneInterval = time.Second
	// retryShareUsed is the part of the operators' retry ratio that gates use.
	retryShareUsed = 0.85
	// retrySlackParts divides the operators' retry slack among the gates.
	retrySlackParts = 10
	// bodyMemoryPart is the part of a gate's memory for callers' bodies, as one in
	// bodyMemoryPart.
	bodyMemoryPart = 5
)

// Gate is a gate process.
type Gate struct {
	s settings.Settings
	// changeable holds the settings after a reload.
	changeable atomic.Pointer[settings.Settings]
	// relays are the addresses of the relays; findRelays writes them under relaysMutex,
	// so that the newest servers and configuration count.
	relaysMutex sync.Mutex
	relays      atomic.Pointer[[]string]

	log      *slog.Logger
	registry metrics.Registry
	servers  *fleet.Table
	book     *prepaid.Manager // used while no quota server is reached
	budgets  *reserve.Client
	pool     *upstream.Pool
	overload *overload.Detector
	gate     *gate.Gate
	front    *gate.Frontend
	ready    net.Listener
	config   *mirror.Mirror
	entries  *mirror.Mirror
}

// NewGate makes a gate and opens its listeners. Run starts it.
func NewGate(s settings.Settings, registry metrics.Registry, log *slog.Logger) (*Gate, error) {
	start, err := uuid.NewRandom()
	if err != nil {
		return nil, err
	}
	d := &Gate{s: s, log: log, registry: registry, servers: fleet.NewTable(), overload: overload.NewDetector(s.Gate.LinkMbps)}
	d.changeable.Store(&s)
	d.pool = upstream.NewPool(&overload.Dialer{Dialer: net.Dialer{KeepAlive: -1}, Detector: d.overload}, registry)
	st := relay.NewStore(relay.Options{
		Direct: platform.NewStore(platform.StoreOptions{Address: s.Gate.Store, Metrics: registry}),
		Relays: d.knownRelays, Log: log, Metrics: registry,
	})
	d.book = newBook(s.Name, hex.EncodeToString(start[:4]), st, registry, log)
	d.budgets = reserve.NewClient(reserve.Options{
		Gate: d.book.QuotaServer(), QuotaServers: d.knownRelays, Dial: relay.TCPDialer(), Fallback: d.book, Log: log, Metrics: registry,
	})
	percent, floor := retryBounds(s.Gate)
	d.gate = gate.New(gate.Options{
		Domain: s.Domain, Region: s.Region, Regions: s.Gate.Regions,
		Servers: d.servers, Reserver: d.budgets, Pool: d.pool, Protocol: platform.Protocol{}, Policy: placement.DefaultPolicy(),
		RetryPercent: percent, MinRetries: floor,
		MaxBufferedBodyBytes: int64(s.Gate.MemoryMB) << 20 / bodyMemoryPart,
		Overload:             d.overload, Log: log, Metrics: registry,
	})
	d.config = mirror.New(mirror.Options{Prefix: platform.ConfigPrefix, Store: st, OnChange: d.applyConfig, Log: log})
	d.entries = mirror.New(mirror.Options{
		Prefix: platform.ServerPrefix, Store: st, OnChange: d.applyServers, Log: log,
		DeletionGrace: s.Gate.ServerReturn.Std(),
	})
	return d, d.listen()
}

func (d *Gate) listen() error {
	callers, err := net.Listen("tcp", d.s.Gate.Listen)
	if err != nil {
		return fmt.Errorf("callers: %w", err)
	}
	d.front = gate.NewFrontend(d.gate, callers, d.overload.CountBytes, d.log)
	d.ready, err = net.Listen("tcp", d.s.Gate.ReadyListen)
	if err != nil {
		return errors.Join(fmt.Errorf("readiness: %w", err), callers.Close())
	}
	return nil
}

// applyConfig puts the operator's configuration into force. One that cannot be
// read changes nothing.
func (d *Gate) applyConfig(state mirror.State) {
	entry, ok := state.Entries[platform.ConfigKey]
	if !ok {
		return
	}
	next, err := platform.DecodeCatalog(entry.Value)
	if err != nil {
		d.log.Error("configuration not applied", "revision", entry.ModRevision, "error", err)
		return
	}
	if current := d.gate.Catalog(); current != nil && next.Version <= current.Version {
		return
	}
	d.gate.SetCatalog(next)
	d.front.SetLimits(next.Limits)
	d.findRelays()
	d.log.Info("configuration in force", "version", next.Version, "revision", entry.ModRevision)
}

// applyServers takes over the servers' entries. Entries that name no server are
// left out.
func (d *Gate) applyServers(state mirror.State) {
	entries := make([]fleet.Entry, 0, len(state.Entries))
	for _, e := range state.Entries {
		entry, err := platform.DecodeServer(e)
		if err != nil {
			d.log.Warn("server entry left out", "key", e.Key, "revision", e.ModRevision, "error", err)
			continue
		}
		entries = append(entries, entry)
	}
	for _, change := range d.servers.Apply(entries) {
		d.log.Info("server "+change.Kind, "server", change.Entry.ID, "service", change.Entry.Service,
			"address", change.Entry.Address, "domain", change.Entry.Domain, "revision", change.Entry.Revision)
	}
	d.findRelays()
}

// findRelays notes the addresses of the relays, which stand beside backend servers
// with engines. It is called when servers, their services or the relays' port change.
func (d *Gate) findRelays() {
	d.relaysMutex.Lock()
	defer d.relaysMutex.Unlock()
	c := d.gate.Catalog()
	port := uint16(d.changeable.Load().Gate.RelayPort)
	var addresses []string
	for _, s := range d.servers.All() {
		if c == nil || port == 0 {
			break
		}
		service := c.Service(s.Service)
		address, err := netip.ParseAddrPort(s.Address)
		if err != nil || service == nil || service.Engine == nil {
			continue
		}
		addresses = append(addresses, netip.AddrPortFrom(address.Addr(), port).String())
	}
	d.relays.Store(&addresses)
}

// knownRelays returns the addresses of the relays. The slice must not be changed.
func (d *Gate) knownRelays() []string {
	if relays := d.relays.Load(); relays != nil {
		return *relays
	}
	return nil
}

// Run runs the gate until ctx ends.
func (d *Gate) Run(ctx context.Context) error {
	readiness := &http.Server{Handler: http.HandlerFunc(d.serveReady), ReadHeaderTimeout: time.Second}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return d.config.Run(ctx) })
	group.Go(func() error { return d.entries.Run(ctx) })
	group.Go(func() error { return d.book.Run(ctx) })
	group.Go(func() error { return d.budgets.Run(ctx) })
	group.Go(func() error { return d.prune(ctx) })
	group.Go(func() error { return d.overload.Run(ctx, d.logOverload) })
	group.Go(func() error {
		stop := func() { _ = d.front.StopAccepting() } // closed already after a drain
		return runUntil(ctx, d.front.Run, stop)
	})
	group.Go(func() error {
		stop := func() { _ = readiness.Close() } // nothing is left to be served
		return ignoreServerClosed(runUntil(ctx, func() error { return readiness.Serve(d.ready) }, stop))
	})
	d.log.Info("gate started", "callers", d.s.Gate.Listen, "store", d.s.Gate.Store)
	return group.Wait()
}

func (d *Gate) logOverload(crowded bool, usage float64, late time.Duration) {
	d.log.Info("crowd changed", "crowded", crowded, "link_usage", usage, "late_ms", late.Milliseconds())
}

func (d *Gate) prune(ctx context.Context) error {
	ticker := time.NewTicker(pruneInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			d.pool.CloseExpired()
		}
	}
}

// Ready reports whether the gate can serve callers: it has a configuration, knows
// servers and is not overloaded.
func (d *Gate) Ready() bool {
	return d.gate.Catalog() != nil && d.entries.Synced() && !d.gate.Draining() && !d.overload.Overloaded()
}

func (d *Gate) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !d.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Reload implements Reloader. The bounds of the drain, retries and the port of the
// relays change at once.
func (d *Gate) Reload(s settings.Settings) bool {
	d.gate.SetRetryLimits(retryBounds(s.Gate))
	d.changeable.Store(&s)
	d.findRelays()
	rest := s
	before := d.s
	rest.DrainTimeout, before.DrainTimeout = 0, 0
	rest.Gate.RetryShare, before.Gate.RetryShare = 0, 0
	rest.Gate.RetrySlack, before.Gate.RetrySlack = 0, 0
	rest.Gate.RelayPort, before.Gate.RelayPort = 0, 0
	return reflect.DeepEqual(rest, before)
}

// retryBounds returns this gate's part of the operators' bounds of retries.
func retryBounds(g settings.Gate) (percent, floor int) {
	return int(g.RetryShare * retryShareUsed * 100), int(g.RetrySlack / retrySlackParts)
}

// InProgress returns the number of requests that have not ended.
func (d *Gate) InProgress() int { return d.gate.InProgress() }

// Drain prepares a planned stop: the gate is not ready from now on, goes on serving
// until callers go elsewhere, waits for the requests in progress and gives back
// what budgets it holds.
func (d *Gate) Drain(ctx context.Context) error {
	d.gate.Drain()
	serving, cancel := context.WithTimeout(ctx, d.changeable.Load().DrainTimeout.Std()-stopReserve)
	defer cancel()
	select {
	case <-time.After(leaveRotation):
	case <-serving.Done():
	}
	if err := d.front.StopAccepting(); err != nil && !errors.Is(err, net.ErrClosed) {
		d.log.Warn("listener not closed", "error", err)
	}
	if err := d.front.Shutdown(serving); err != nil {
		d.log.Warn("requests outlast the drain", "in_progress", d.InProgress(), "error", err)
	}
	if err := d.budgets.Close(ctx); err != nil {
		d.log.Warn("reservations not settled", "error", err)
	}
	if err := d.book.Close(ctx); err != nil {
		d.log.Warn("budgets not given back", "error", err)
	}
	return nil
}
