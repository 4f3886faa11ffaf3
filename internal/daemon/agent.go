package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/monsoonworks/monsoonworks/internal/agent"
	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/config"
	"github.com/monsoonworks/monsoonworks/internal/hosts"
	"github.com/monsoonworks/monsoonworks/internal/settings"
	"github.com/monsoonworks/monsoonworks/internal/store"
	"github.com/monsoonworks/monsoonworks/internal/syncer"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// Agent is an agent process.
type Agent struct {
	settings settings.Settings
	log      *slog.Logger
	self     hosts.Host
	pool     *wire.Pool
	sync     *syncer.Syncer
	agent    *agent.Agent
	inner    *innerListener

	boot         budget.BootID
	started      time.Time
	draining     atomic.Bool
	serverDialer *trackedDialer
}

// NewAgent returns an agent with an open listener. Run starts it.
func NewAgent(s settings.Settings, st store.Store, registry metrics.Registry, log *slog.Logger) (*Agent, error) {
	boot, err := newBootID()
	if err != nil {
		return nil, err
	}
	options, err := wireOptions(s, boot)
	if err != nil {
		return nil, err
	}
	a := &Agent{settings: s, log: log, pool: wire.NewPool(options, wire.Services{}), boot: boot, started: time.Now(), serverDialer: newTrackedDialer()}
	a.self = hosts.Host{
		Name: s.Name, Address: s.Inner.Advertise, Role: s.Role, Region: s.Region, Domain: s.Domain, Pool: s.Agent.Pool,
	}
	a.sync, err = syncer.New(syncer.Options{
		Self: a.self, Store: st, HostsURL: s.HostList.URL, Dial: peerClient{a.pool}.dial,
		KeyPatterns: []string{config.HeadKey, config.Prefix + "pool/", config.HolderPrefix},
		Logger:      log, Metrics: registry,
	})
	if err != nil {
		return nil, err
	}
	kind := wire.KindModel
	if s.Agent.Kind == config.PoolService {
		kind = wire.KindService
	}
	a.agent = agent.New(agent.Options{
		Identity: budget.Incarnation{Name: s.Name, Boot: boot}, Kind: kind, Pool: s.Agent.Pool,
		URL: s.Agent.URL, Slots: s.Agent.Slots, OnCrash: a.reportCrash, Metrics: registry, Logger: log,
		Dial: a.serverDialer.dial,
	})
	a.inner, err = listenInner(s.Inner.Listen, options, a.services(), log)
	return a, err
}

// Run runs the agent until ctx ends. It returns the first error of a component.
func (a *Agent) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return runUntil(ctx, a.inner.serve, a.inner.close) })
	group.Go(func() error { return ignoreCanceled(ctx, a.sync.Run(ctx)) })
	group.Go(func() error { return ignoreCanceled(ctx, a.agent.Run(ctx)) })
	group.Go(func() error { a.followConfig(ctx); return nil })
	a.log.Info("agent started", "inner", a.settings.Inner.Advertise, "pool", a.settings.Agent.Pool)
	err := group.Wait()
	a.serverDialer.close()
	a.pool.Close()
	return err
}

// syncedCheckInterval is the polling interval for the syncer's Synced status, which can
// change without a signal on Changed.
const syncedCheckInterval = time.Second

// followConfig applies changes of the pool's targets and of the holder epochs until ctx
// ends.
func (a *Agent) followConfig(ctx context.Context) {
	ticker := time.NewTicker(syncedCheckInterval)
	defer ticker.Stop()
	for {
		changed := a.sync.Changed()
		a.agent.SetTargets(a.sync.Config().Pools[a.settings.Agent.Pool].Targets)
		if a.sync.Status().Synced {
			a.agent.InitEpochs(a.sync.HolderEpochs())
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
		}
	}
}

// reportTimeout is the timeout of the call that sends a crash report to one router.
const reportTimeout = 2 * time.Second

// reportCrash sends the fingerprints of the requests that were in progress when the server
// crashed to the routers of the region. It does not wait for the calls, and failed ones are
// not retried.
func (a *Agent) reportCrash(report wire.CrashReport) {
	for _, h := range a.sync.Hosts().ByRole(wire.RoleRouter) {
		if h.Region != a.settings.Region {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
			defer cancel()
			if _, err := (peerClient{a.pool}).Call(ctx, h.Address, "Suspect.Report", &report, &wire.Empty{}); err != nil {
				a.log.Debug("crash report to router failed", "router", h.Name, "error", err)
			}
		}()
	}
}

// Drain prepares a planned stop: it refuses new requests and waits until those in
// progress have ended and their bills are durable.
func (a *Agent) Drain(ctx context.Context) error {
	a.draining.Store(true)
	outstanding, err := a.agent.Drain(ctx)
	if err != nil {
		return fmt.Errorf("%d requests in progress, %d bills not durable: %w", len(outstanding.Running), outstanding.Bills, err)
	}
	return nil
}

// Unsettled returns the number of requests in progress plus the number of bills that are
// not known to be durable.
func (a *Agent) Unsettled() int {
	outstanding := a.agent.Outstanding()
	return len(outstanding.Running) + outstanding.Bills
}

// InProgress returns the number of running and queued requests at this agent.
func (a *Agent) InProgress() int {
	load := a.agent.Load()
	return int(load.Running + load.Queued)
}
