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

// Process is a router, an agent, a gate or a relay.
type Process interface {
	// Run runs the process until ctx ends.
	Run(ctx context.Context) error
	// Drain prepares a planned stop. It cuts off nothing: if ctx ends first, it
	// fails and can be called again.
	Drain(ctx context.Context) error
	// InProgress returns the number of requests that have not ended.
	InProgress() int
}

// New makes the process that the settings describe.
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

// traceFlushTimeout bounds the sending of the last spans.
const traceFlushTimeout = 5 * time.Second

// Signals are what an operator asks of a process.
type Signals struct {
	// Stops delivers one value for each request to stop; only the first starts the
	// drain, later ones log how many requests are in progress.
	Stops <-chan struct{}
	// Reloads delivers one value for each request to read the settings again.
	Reloads <-chan struct{}
}

// Run runs a process with its telemetry until a stop is asked for and the drain
// has ended. path is the settings' file. The registry receives the metrics.
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
		r := &reloader{path: path, current: s, process: p, log: log}
		return r.run(ctx, signals.Reloads)
	})
	err = group.Wait()
	flushCtx, stop := context.WithTimeout(context.Background(), traceFlushTimeout)
	defer stop()
	return errors.Join(err, flush(flushCtx))
}

// awaitStop waits for a request to stop and drains the process.
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
			log.Info("drain goes on", "in_progress", p.InProgress())
		}
	}
}

// drain drains the process. When the time is up it reports that and goes on,
// because a planned stop cuts off nothing.
func drain(ctx context.Context, p Process, timeout time.Duration, log *slog.Logger) {
	for ctx.Err() == nil {
		drainCtx, cancel := context.WithTimeout(ctx, timeout)
		err := p.Drain(drainCtx)
		cancel()
		if err == nil {
			return
		}
		log.Warn("drain is late", "in_progress", p.InProgress(), "error", err)
		if !errors.Is(err, context.DeadlineExceeded) {
			return
		}
	}
}

// serveTelemetry serves the metrics page until ctx ends.
func serveTelemetry(ctx context.Context, address string, registry metrics.Registry) error {
	if address == "" {
		return nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("telemetry: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", telemetry.MetricsHandler(registry))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	return ignoreServerClosed(runUntil(ctx, func() error { return server.Serve(listener) }, func() { _ = server.Close() }))
}

func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
