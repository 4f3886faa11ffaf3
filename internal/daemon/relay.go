package daemon

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"log/slog"
	"net"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/monsoonworks/monsoonworks/internal/prepaid"
	"github.com/monsoonworks/monsoonworks/internal/relay"
	"github.com/monsoonworks/monsoonworks/internal/reserve"
	"github.com/monsoonworks/monsoonworks/internal/settings"
	"github.com/monsoonworks/monsoonworks/internal/watchcache"
	"github.com/monsoonworks/monsoonworks/platform"
)

// Relay is a relay process. It proxies store calls of gates, watches the store on behalf of the
// gates of its failure domain and, as a quota server, grants the reservations that gates request.
type Relay struct {
	settings    settings.Settings
	store       relay.PollingStore
	quotas      *prepaid.Manager
	metrics     metrics.Registry
	log         *slog.Logger
	quotaServer *reserve.Server
	watches     *watchcache.Server
	cancelCalls context.CancelFunc // aborts calls in progress
	rpcServer   *relay.Server
}

// NewRelay returns a relay. Run opens its listener and starts it.
func NewRelay(s settings.Settings, registry metrics.Registry, log *slog.Logger) (*Relay, error) {
	runID, err := uuid.NewRandom()
	if err != nil {
		return nil, err
	}
	r := &Relay{
		settings: s, metrics: registry, log: log,
		store: platform.NewStore(platform.StoreOptions{Address: s.Relay.Store, Metrics: registry}),
	}
	clock := newBootClock(log)
	r.quotas = newQuotaManager(s.Name, hex.EncodeToString(runID[:4]), clock, r.store, registry, log)
	var calls context.Context
	calls, r.cancelCalls = context.WithCancel(context.Background())
	r.quotaServer = reserve.NewServer(calls, r.quotas, registry, log)
	r.watches = watchcache.NewServer(calls, watchcache.ServerOptions{
		Prefixes: []string{platform.ConfigPrefix, platform.ServerPrefix, suspectsKey},
		Store:    platform.NewStore(platform.StoreOptions{Address: s.Relay.Store, PollWait: watchcache.PollWait, Metrics: registry}),
		Clock:    clock, Log: log, Metrics: registry,
	})
	if r.rpcServer, err = relay.NewServer(calls, r.store, registry, log); err != nil {
		return nil, err
	}
	return r, errors.Join(
		r.rpcServer.Register(reserve.ServiceName, r.quotaServer),
		r.rpcServer.Register(watchcache.ServiceName, r.watches),
	)
}

// Run serves gates until ctx ends. It returns the first error of a component.
func (r *Relay) Run(ctx context.Context) error {
	defer r.cancelCalls()
	listener, err := net.Listen("tcp", r.settings.Relay.Listen)
	if err != nil {
		return fmt.Errorf("listener for gates: %w", err)
	}
	r.log.Info("relay started", "listen", r.settings.Relay.Listen)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.quotas.Run(ctx) })
	group.Go(func() error { return r.quotaServer.Run(ctx) })
	group.Go(func() error { return r.watches.Run(ctx) })
	group.Go(func() error {
		stop := func() { _ = listener.Close() } // ends Serve
		return runUntil(ctx, func() error { return r.rpcServer.Serve(listener) }, stop)
	})
	return group.Wait()
}

// InProgress returns the number of reservations that are not settled. Store calls of gates
// are not counted: if one is aborted, the gate retries it directly or through another relay.
func (r *Relay) InProgress() int { return r.quotaServer.Unsettled() }

// Drain prepares a planned stop: it grants no more reservations, waits until the open ones
// are settled or only quotaReleaseTime of the drain timeout is left, and releases the quota
// shares. It logs a failure to release them and returns nil.
func (r *Relay) Drain(ctx context.Context) error {
	settleCtx, cancel := context.WithTimeout(ctx, r.settings.DrainTimeout.Std()-quotaReleaseTime)
	defer cancel()
	r.watches.Drain()
	r.quotaServer.Drain(settleCtx)
	if err := r.quotas.Close(ctx); err != nil {
		r.log.Warn("releasing quota shares failed", "error", err)
	}
	return nil
}
