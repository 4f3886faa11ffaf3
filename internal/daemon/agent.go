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
	s     settings.Settings
	log   *slog.Logger
	self  hosts.Host
	pool  *wire.Pool
	sync  *syncer.Syncer
	agent *agent.Agent
	inner *innerListener

	boot     budget.BootID
	started  time.Time
	draining atomic.Bool
	// server holds the connections to the backend server.
	server *trackedDialer
}

// NewAgent makes an agent and opens its listener. Run starts it.
func NewAgent(s settings.Settings, st store.Store, registry metrics.Registry, log *slog.Logger) (*Agent, error) {
	boot, err := newBoot()
	if err != nil {
		return nil, err
	}
	options, err := wireOptions(s, boot)
	if err != nil {
		return nil, err
	}
	a := &Agent{s: s, log: log, pool: wire.NewPool(options, wire.Services{}), boot: boot, started: time.Now(), server: newTrackedDialer()}
	a.self = hosts.Host{
		Name: s.Name, Address: s.Inner.Advertise, Role: s.Role, Region: s.Region, Domain: s.Domain, Pool: s.Agent.Pool,
	}
	a.sync, err = syncer.New(syncer.Options{
		Self: a.self, Store: st, HostsURL: s.HostList.URL, Dial: caller{a.pool}.dial,
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
		Dial: a.server.dial,
	})
	a.inner, err = listenInner(s.Inner.Listen, options, a.services(), log)
	return a, err
}

// Run runs the agent until ctx ends. It returns the first error of a part.
func (a *Agent) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return runUntil(ctx, a.inner.serve, a.inner.close) })
	group.Go(func() error { return ignoreCanceled(ctx, a.sync.Run(ctx)) })
	group.Go(func() error { return ignoreCanceled(ctx, a.agent.Run(ctx)) })
	group.Go(func() error { a.follow(ctx); return nil })
	a.log.Info("agent started", "inner", a.s.Inner.Advertise, "pool", a.s.Agent.Pool)
	err := group.Wait()
	a.server.close()
	a.pool.Close()
	return err
}

// followInterval is the time between looks at whether the view is confirmed,
// which changes without a change of the view.
const followInterval = time.Second

// follow applies changes of the configuration and of the holder records.
func (a *Agent) follow(ctx context.Context) {
	ticker := time.NewTicker(followInterval)
	defer ticker.Stop()
	for {
		changed := a.sync.Changed()
		a.agent.SetTargets(a.sync.Config().Pools[a.s.Agent.Pool].Targets)
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

// reportTimeout bounds the report of a crash to one router.
const reportTimeout = 2 * time.Second

// reportCrash tells the region's routers which requests were in progress when
// the server died.
func (a *Agent) reportCrash(report wire.CrashReport) {
	for _, h := range a.sync.Hosts().Role(wire.RoleRouter) {
		if h.Region != a.s.Region {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
			defer cancel()
			if _, err := (caller{a.pool}).Call(ctx, h.Address, "Suspect.Report", &report, &wire.Empty{}); err != nil {
				a.log.Debug("crash not reported", "router", h.Name, "error", err)
			}
		}()
	}
}

// Drain prepares a planned stop: new work is refused, requests in progress end,
// and their bills become durable.
func (a *Agent) Drain(ctx context.Context) error {
	a.draining.Store(true)
	left, err := a.agent.Drain(ctx)
	if err != nil {
		return fmt.Errorf("%d requests in progress, %d bills not durable: %w", len(left.Running), left.Bills, err)
	}
	return nil
}

// Unsettled returns the number of requests in progress and of bills that are not
// known to be durable.
func (a *Agent) Unsettled() int {
	left := a.agent.Outstanding()
	return len(left.Running) + left.Bills
}

// InProgress returns the number of requests that run or wait at this agent.
func (a *Agent) InProgress() int {
	load := a.agent.Load()
	return int(load.Running + load.Queued)
}
