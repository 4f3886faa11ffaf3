package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/monsoonworks/monsoonworks/internal/admin"
	"github.com/monsoonworks/monsoonworks/internal/admission"
	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/certs"
	"github.com/monsoonworks/monsoonworks/internal/dispatch"
	"github.com/monsoonworks/monsoonworks/internal/gateway"
	"github.com/monsoonworks/monsoonworks/internal/holder"
	"github.com/monsoonworks/monsoonworks/internal/hosts"
	"github.com/monsoonworks/monsoonworks/internal/route"
	"github.com/monsoonworks/monsoonworks/internal/settings"
	"github.com/monsoonworks/monsoonworks/internal/store"
	"github.com/monsoonworks/monsoonworks/internal/suspect"
	"github.com/monsoonworks/monsoonworks/internal/syncer"
	"github.com/monsoonworks/monsoonworks/internal/wallet"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// Router is a router process.
type Router struct {
	settings       settings.Settings
	log            *slog.Logger
	registry       metrics.Registry
	store          store.Store
	boot           budget.BootID
	self           hosts.Host
	options        wire.Options
	rpc            rpcServers
	inner          *innerListener
	public         net.Listener
	pool           *wire.Pool
	sync           *syncer.Syncer
	started        time.Time
	recentRequests *admin.History
	ready          atomic.Bool
	draining       atomic.Bool

	mu         sync.Mutex
	components *routerComponents // nil until the first configuration is received
}

// routerComponents holds the components that need the deployment's configuration.
type routerComponents struct {
	wallet   *wallet.Wallet
	manager  *holder.Manager
	gateway  *gateway.Gateway
	route    *route.Router
	suspects *suspect.Registry
}

// NewRouter returns a router with open listeners. Run starts it.
func NewRouter(s settings.Settings, st store.Store, registry metrics.Registry, log *slog.Logger) (*Router, error) {
	boot, err := newBootID()
	if err != nil {
		return nil, err
	}
	r := &Router{
		settings: s, log: log, registry: registry, store: st, boot: boot,
		started: time.Now(), recentRequests: admin.NewHistory(s.Name),
	}
	r.self = hosts.Host{Name: s.Name, Address: s.Inner.Advertise, Role: s.Role, Region: s.Region, Domain: s.Domain}
	if r.options, err = wireOptions(s, boot); err != nil {
		return nil, err
	}
	r.pool = wire.NewPool(r.options, wire.Services{})
	peers := peerClient{r.pool}
	r.sync, err = syncer.New(syncer.Options{
		Self: r.self, Store: st, HostsURL: s.HostList.URL, Dial: peers.dial, Logger: log, Metrics: registry,
	})
	if err != nil {
		return nil, err
	}
	syncOnly := newRPCServer(map[string]any{"Sync": r.sync.PollService()})
	r.rpc.set(map[wire.Role]*rpc.Server{wire.RoleRouter: syncOnly, wire.RoleAgent: syncOnly, wire.RoleTool: r.toolServer()})
	r.inner, err = listenInner(s.Inner.Listen, r.options, wire.Services{RPC: r.rpc.forPeer}, log)
	if err != nil {
		return nil, err
	}
	if r.public, err = r.listenPublic(); err != nil {
		r.inner.close()
		return nil, err
	}
	return r, nil
}

func (r *Router) listenPublic() (net.Listener, error) {
	l, err := net.Listen("tcp", r.settings.Public.Listen)
	if err != nil || !r.settings.Public.TLS.Enabled() {
		return l, err
	}
	certificates, err := certs.Load(r.settings.Public.TLS)
	if err != nil {
		_ = l.Close()
		return nil, err
	}
	return tls.NewListener(l, certificates.ServerConfig()), nil
}

// Run runs the router until ctx ends. It returns the first error of a component.
func (r *Router) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return runUntil(ctx, r.inner.serve, r.inner.close) })
	group.Go(func() error { return ignoreCanceled(ctx, r.sync.Run(ctx)) })
	group.Go(func() error { return r.runComponents(ctx) })
	err := group.Wait()
	r.pool.Close()
	return err
}

// runComponents waits for the deployment's configuration and then builds and runs the
// components that depend on it.
func (r *Router) runComponents(ctx context.Context) error {
	if !r.awaitDeployment(ctx) {
		return r.public.Close()
	}
	c := r.buildComponents()
	r.mu.Lock()
	r.components = c
	r.mu.Unlock()
	// Sessions accepted so far serve only Sync. Peers reconnect and get all services.
	r.inner.closeSessions()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.manager.Run(ctx) })
	group.Go(func() error { return c.wallet.Run(ctx) })
	group.Go(func() error { c.route.Run(ctx); return nil })
	group.Go(func() error { r.followPolicy(ctx, c); return nil })
	group.Go(func() error { r.newWatchdog(c).Run(ctx); return nil })
	group.Go(func() error {
		// After a drain no caller is connected. Without a drain, callers must see at
		// once that the router has stopped.
		stop := func() { _ = c.gateway.Close(); _ = r.public.Close() }
		return ignoreClosed(runUntil(ctx, func() error { return c.gateway.Serve(r.public) }, stop))
	})
	r.ready.Store(true)
	r.log.Info("router ready", "public", r.public.Addr().String(), "inner", r.settings.Inner.Advertise)
	err := group.Wait()
	c.suspects.Close()
	return err
}

// awaitDeployment waits until the configuration has a deployment entry. It returns false if
// ctx ends first.
func (r *Router) awaitDeployment(ctx context.Context) bool {
	for {
		changed := r.sync.Changed()
		if r.sync.Config().Deployment.Shards > 0 {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}

// buildComponents creates the components and registers their RPC services.
func (r *Router) buildComponents() *routerComponents {
	self := budget.Incarnation{Name: r.settings.Name, Boot: r.boot}
	f := fleetView{view: r.sync, self: r.self}
	peers := peerClient{r.pool}
	shards := r.sync.Config().Deployment.Shards
	client := holder.NewClient(f, peers)
	c := &routerComponents{}
	c.wallet = wallet.New(wallet.Options{
		Self: self, Region: r.settings.Region, Shards: shards, Policy: f.policy(),
		Transport: client, Metrics: r.registry, Log: r.log,
	})
	c.manager = holder.NewManager(holder.Options{
		Self: self, Address: r.settings.Inner.Advertise, Region: r.settings.Region, Shards: shards, Policy: f.policy(),
		Store: r.store, Directory: f, RPC: peers, Metrics: r.registry, Log: r.log,
	})
	c.route = route.New(route.Options{
		Region: r.settings.Region, Fleet: f, Sessions: r.pool, LinkBytesPerSecond: f.linkBytesPerSecond, Metrics: r.registry,
	})
	c.suspects = suspect.New(suspect.Options{
		Name: r.settings.Name, Region: r.settings.Region, Peers: suspectPeers{f, peers}, Metrics: r.registry,
	})
	control := admission.New(admission.Options{
		Limits: f.limits, Routers: f.liveRouters, MaxConcurrent: r.settings.Public.MaxConcurrent, Metrics: r.registry,
	})
	dispatcher := dispatch.New(dispatch.Options{
		Self: self, Region: r.settings.Region, Shards: func() uint32 { return shards },
		Wallet: c.wallet, Chooser: c.route, Sessions: r.pool, Servers: f,
		Claims: claims{client, shards}, Retries: control.RetryBudget(), Suspects: c.suspects, Metrics: r.registry,
	})
	c.gateway = gateway.New(gateway.Options{
		Directory: gatewayDirectory{f, r.Ready}, Keys: c.wallet, Dispatcher: dispatcher,
		Admission: control, Logger: r.log, Metrics: r.registry, MaxConns: r.settings.Public.MaxConnections,
		Finished: r.recentRequests.RecordFinished, Refused: r.recentRequests.RecordRefused,
	})
	r.registerServices(c)
	return c
}

// registerServices sets the RPC services that peers of each role can call.
func (r *Router) registerServices(c *routerComponents) {
	routers := newRPCServer(map[string]any{
		"Sync": r.sync.PollService(), "Holder": c.manager, "Wallet": c.wallet, "Suspect": c.suspects.Service(),
	})
	agents := newRPCServer(map[string]any{"Sync": r.sync.PollService(), "Suspect": c.suspects.Service()})
	r.rpc.set(map[wire.Role]*rpc.Server{wire.RoleRouter: routers, wire.RoleAgent: agents, wire.RoleTool: r.toolServer()})
}

// followPolicy applies changes of the budget policy to the wallet and the holders until ctx
// ends.
func (r *Router) followPolicy(ctx context.Context, c *routerComponents) {
	f := fleetView{view: r.sync, self: r.self}
	for {
		changed := r.sync.Changed()
		c.wallet.SetPolicy(f.policy())
		c.manager.SetPolicy(f.policy())
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// InProgress returns the number of callers' requests in progress.
func (r *Router) InProgress() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.components == nil {
		return 0
	}
	return r.components.gateway.InProgress()
}

// Drain prepares a planned stop: it refuses new requests, waits until those in progress have
// ended and their bills are durable, and releases the router's accounts. The caller ends
// Run's context afterwards. It returns the error of ctx if ctx ends before that.
func (r *Router) Drain(ctx context.Context) error {
	r.draining.Store(true)
	r.ready.Store(false)
	r.mu.Lock()
	c := r.components
	r.mu.Unlock()
	if c == nil {
		return nil
	}
	if err := c.gateway.Drain(ctx); err != nil {
		return err
	}
	if err := c.gateway.Shutdown(ctx); err != nil {
		return fmt.Errorf("closing callers' connections: %w", err)
	}
	if err := c.wallet.Drain(ctx); err != nil {
		return fmt.Errorf("waiting for durable bills: %w", err)
	}
	return c.manager.Drain(ctx)
}

// FlushBills writes the bills of the accounts that this router holds to the store, ahead of
// the periodic flush. It reports whether the router's own wallet is idle; see
// wallet.Wallet.Idle. Without components there is nothing to flush, and it returns true.
func (r *Router) FlushBills(ctx context.Context) (settled bool) {
	r.mu.Lock()
	c := r.components
	r.mu.Unlock()
	if c == nil {
		return true
	}
	c.manager.Flush(ctx)
	return c.wallet.Idle()
}

// PublicAddress returns the address of the listener for callers.
func (r *Router) PublicAddress() string { return r.public.Addr().String() }

// Ready reports whether the router can serve callers: it has the configuration and the host
// list has at least one agent. Without agents it would refuse every request.
func (r *Router) Ready() bool {
	return r.ready.Load() && len(r.sync.Hosts().ByRole(wire.RoleAgent)) > 0
}

// Status returns how current the router's configuration and host list are.
func (r *Router) Status() syncer.Status { return r.sync.Status() }

func ignoreCanceled(ctx context.Context, err error) error {
	if ctx.Err() != nil && errors.Is(err, ctx.Err()) {
		return nil
	}
	return err
}

func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
