package daemon

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/monsoonworks/monsoonworks/internal/settings"
	"github.com/monsoonworks/monsoonworks/internal/store/etcdgw"
	"github.com/monsoonworks/monsoonworks/internal/telemetry"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// Process is a router, agent, gate or relay.
type Process interface {
	// Run runs the process until ctx ends or a component fails.
	Run(ctx context.Context) error
	// Drain prepares a planned stop and waits for the requests in progress. If ctx ends
	// first, a router or agent returns an error without aborting any of them, and Drain can
	// be called again; a gate or relay returns nil.
	Drain(ctx context.Context) error
	// InProgress returns the number of requests in progress, for a relay the number of
	// reservations that are not settled.
	InProgress() int
}

// New returns the process for the role of the settings.
func New(s settings.Settings, registry metrics.Registry, log *slog.Logger) (Process, error) {
	switch s.Role {
	case wire.RoleGate:
		return NewGate(s, registry, log)
	case wire.RoleRelay:
		return NewRelay(s, registry, log)
	}
	st, err := etcdgw.New(etcdgw.Options{Endpoints: s.Store.Endpoints, Timeout: s.Store.Timeout.Std()})
	if err != nil {
		return nil, err
	}
	if s.Role == wire.RoleAgent {
		return NewAgent(s, st, registry, log)
	}
	return NewRouter(s, st, registry, log)
}

// traceFlushTimeout limits the export of the remaining spans at exit.
const traceFlushTimeout = 5 * time.Second

// Signals delivers the operators' requests to a process.
type Signals struct {
	// Stops delivers one value for each request to stop. The first one starts the drain;
	// later ones log the number of requests in progress.
	Stops <-chan struct{}
	// Reloads delivers one value for each request to reload the settings.
	Reloads <-chan struct{}
}

// Run runs a process and its telemetry until it has been stopped and drained, ctx ends or a
// component fails. path is the settings file, which is watched for changes.
func Run(ctx context.Context, path string, s settings.Settings, registry metrics.Registry, log *slog.Logger, signals Signals) error {
	flush, err := telemetry.SetupTraces(ctx, s)
	if err != nil {
		return err
	}
	p, err := New(s, registry, log)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return p.Run(ctx) })
	group.Go(func() error { return serveTelemetry(ctx, s.Telemetry.Listen, registry) })
	group.Go(func() error {
		defer cancel()
		return awaitStop(ctx, p, s.DrainTimeout.Std(), log, signals.Stops)
	})
	group.Go(func() error {
		watcher := &settingsWatcher{path: path, current: s, process: p, log: log}
		return watcher.run(ctx, signals.Reloads)
	})
	err = group.Wait()
	flushCtx, stop := context.WithTimeout(context.Background(), traceFlushTimeout)
	defer stop()
	return errors.Join(err, flush(flushCtx))
}

// awaitStop waits for a request to stop, drains the process and returns when the drain has
// ended. timeout limits one drain attempt.
func awaitStop(ctx context.Context, p Process, timeout time.Duration, log *slog.Logger, stops <-chan struct{}) error {
	select {
	case <-ctx.Done():
		return nil
	case <-stops:
	}
	log.Info("drain started", "in_progress", p.InProgress())
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		drain(ctx, p, timeout, log)
	}()
	for {
		select {
		case <-drained:
			log.Info("drain ended")
			return nil
		case <-ctx.Done():
			return nil
		case <-stops:
			log.Info("drain still in progress", "in_progress", p.InProgress())
		}
	}
}

// exitTime is the part of the drain timeout in which the process ends after a drain that was cut
// short: a gate or relay may be killed at the timeout.
const exitTime = 100 * time.Millisecond

// drain drains the process. An attempt of a router or agent that times out is logged and
// repeated, because their planned stop aborts no request. Another error ends the drain.
func drain(ctx context.Context, p Process, timeout time.Duration, log *slog.Logger) {
	for ctx.Err() == nil {
		drainCtx, cancel := context.WithTimeout(ctx, max(timeout-exitTime, timeout/2))
		err := p.Drain(drainCtx)
		cancel()
		if err == nil {
			return
		}
		log.Warn("drain incomplete", "in_progress", p.InProgress(), "error", err)
		if !errors.Is(err, context.DeadlineExceeded) {
			return
		}
	}
}

// serveTelemetry serves the metrics page until ctx ends. An empty address disables it.
func serveTelemetry(ctx context.Context, address string, registry metrics.Registry) error {
	if address == "" {
		return nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listener for telemetry: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", telemetry.MetricsHandler(registry))
	server := newProbeServer(mux)
	return ignoreServerClosed(runUntil(ctx, func() error { return server.Serve(listener) }, func() { _ = server.Close() }))
}

const (
	// probeTimeout limits reading and answering one request for metrics or readiness.
	probeTimeout = 5 * time.Second
	// probeIdleTimeout is longer than the usual interval between scrapes of the metrics.
	probeIdleTimeout = 2 * time.Minute
	// maxProbeHeaderBytes limits the head of such a request.
	maxProbeHeaderBytes = 8 << 10
)

// newProbeServer returns a server for metrics or readiness checks.
func newProbeServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadTimeout: probeTimeout, WriteTimeout: probeTimeout,
		IdleTimeout: probeIdleTimeout, MaxHeaderBytes: maxProbeHeaderBytes,
	}
}

func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
