package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"net"

	"github.com/rcrowley/go-metrics"

	"github.com/monsoonworks/monsoonworks/internal/relay"
	"github.com/monsoonworks/monsoonworks/internal/settings"
	"github.com/monsoonworks/monsoonworks/platform"
)

// Relay is a relay process.
type Relay struct {
	listen  string
	store   relay.Backend
	metrics metrics.Registry
	log     *slog.Logger
}

// NewRelay makes a relay. Run starts it.
func NewRelay(s settings.Settings, registry metrics.Registry, log *slog.Logger) (*Relay, error) {
	return &Relay{
		listen: s.Relay.Listen, metrics: registry, log: log,
		store: platform.NewStore(platform.StoreOptions{Address: s.Relay.Store, Metrics: registry}),
	}, nil
}

// Run passes calls on until ctx ends.
func (r *Relay) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", r.listen)
	if err != nil {
		return fmt.Errorf("relay: %w", err)
	}
	server, err := relay.NewServer(ctx, r.store, r.metrics, r.log)
	if err != nil {
		return err
	}
	r.log.Info("relay started", "listen", r.listen)
	stop := func() { _ = listener.Close() } // nothing is left to be accepted
	return runUntil(ctx, func() error { return server.Serve(listener) }, stop)
}

// InProgress returns 0: a call that a stop breaks off goes another way.
func (r *Relay) InProgress() int { return 0 }

// Drain has nothing to wait for.
func (r *Relay) Drain(context.Context) error { return nil }
