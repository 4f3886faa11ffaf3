package daemon

import (
	"context"
	"encoding/hex"
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
	"github.com/monsoonworks/monsoonworks/platform"
)

// Relay is a relay process: it carries store calls of gates, and holds the budgets of
// the workspaces for which gates ask it.
type Relay struct {
	s       settings.Settings
	store   relay.PollingStore
	book    *prepaid.Manager
	metrics metrics.Registry
	log     *slog.Logger
	lender  *reserve.Server
	stop    context.CancelFunc // ends calls in progress
	server  *relay.Server
}

// NewRelay makes a relay. Run starts it.
func NewRelay(s settings.Settings, registry metrics.Registry, log *slog.Logger) (*Relay, error) {
	start, err := uuid.NewRandom()
	if err != nil {
		return nil, err
	}
	r := &Relay{
		s: s, metrics: registry, log: log,
		store: platform.NewStore(platform.StoreOptions{Address: s.Relay.Store, Metrics: registry}),
	}
	r.book = newBook(s.Name, hex.EncodeToString(start[:4]), r.store, registry, log)
	var calls context.Context
	calls, r.stop = context.WithCancel(context.Background())
	r.lender = reserve.NewServer(calls, r.book, registry, log)
	if r.server, err = relay.NewServer(calls, r.store, registry, log); err != nil {
		return nil, err
	}
	return r, r.server.Register(reserve.ServiceName, r.lender)
}

// Run serves gates until ctx ends.
func (r *Relay) Run(ctx context.Context) error {
	defer r.stop()
	listener, err := net.Listen("tcp", r.s.Relay.Listen)
	if err != nil {
		return fmt.Errorf("relay: %w", err)
	}
	r.log.Info("relay started", "listen", r.s.Relay.Listen)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.book.Run(ctx) })
	group.Go(func() error { return r.lender.Run(ctx) })
	group.Go(func() error {
		stop := func() { _ = listener.Close() } // nothing is left to be accepted
		return runUntil(ctx, func() error { return r.server.Serve(listener) }, stop)
	})
	return group.Wait()
}

// InProgress returns the number of reservations that are not settled. A store call
// that a stop breaks off goes another way.
func (r *Relay) InProgress() int { return r.lender.Unsettled() }

// Drain prepares a planned stop: nothing is lent any more, reservations are settled,
// and what is left is given back.
func (r *Relay) Drain(ctx context.Context) error {
	settling, cancel := context.WithTimeout(ctx, r.s.DrainTimeout.Std()-stopReserve)
	defer cancel()
	r.lender.Drain(settling)
	if err := r.book.Close(ctx); err != nil {
		r.log.Warn("budgets not given back", "error", err)
	}
	return nil
}
