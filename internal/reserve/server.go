package reserve

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/monsoonworks/monsoonworks/internal/prepaid"
	"github.com/monsoonworks/monsoonworks/internal/relay"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
)

const (
	// reservationTTL is how long a reservation waits for its settlement. After that its gate
	// is considered dead and the full amount counts as spent. A settlement that arrives before
	// its Reserve call is kept for the same time.
	reservationTTL = 60 * time.Second
	// expireInterval is the time between two checks for expired reservations.
	expireInterval = 5 * time.Second
	// drainPollInterval is the time between two checks for unsettled reservations while
	// the server drains.
	drainPollInterval = 50 * time.Millisecond
)

// Reserver grants the reservations of a Server; prepaid.Manager implements it.
type Reserver interface {
	// Reserve reserves req.Bound tokens. Its errors are *verdict.Error.
	Reserve(ctx context.Context, req prepaid.ReservationRequest) (prepaid.Reservation, error)
	// SyncFailing reports whether the reserver currently fails to read or update its records
	// in the store.
	SyncFailing() bool
}

// reservationEntry is the state of a reservation that is requested, granted, or settled before
// it was granted.
type reservationEntry struct {
	reservation prepaid.Reservation // nil until it is granted
	settled     bool                // by its gate, before it was granted
	expiresAt   time.Time
}

// Server is the quota server's side. Its methods Reserve and Settle are the RPCs that gates
// call. Lock order: Server.mu, then the lock of the Reserver.
type Server struct {
	ctx      context.Context
	reserver Reserver
	log      *slog.Logger

	granted, refused, expired metrics.Counter

	mu       sync.Mutex
	entries  map[ID]*reservationEntry
	draining bool
}

// NewServer returns a server that grants reservations from reserver. Calls in progress are
// canceled when ctx ends.
func NewServer(ctx context.Context, reserver Reserver, registry metrics.Registry, log *slog.Logger) *Server {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("monsoon.holder."+name, registry)
	}
	return &Server{
		ctx: ctx, reserver: reserver, log: log, entries: make(map[ID]*reservationEntry),
		granted: counter("granted"), refused: counter("refused"), expired: counter("expired"),
	}
}

var (
	errDraining = errors.New("the holder stops")
	errKnownID  = errors.New("the reservation was given up or requested before")
)

// Reserve implements the RPC that requests a reservation.
func (s *Server) Reserve(args *ReserveArgs, reply *ReserveReply) (err error) {
	defer relay.RecoverCall(s.log, "reserve", &err)
	if err := args.validate(); err != nil {
		s.log.Warn("malformed reservation call refused", "gate", args.ID.Gate, "error", err)
		return err
	}
	s.settle(args.ID.Gate, args.Settled)
	entry, err := s.addEntry(args.ID)
	if err != nil {
		reply.setRefusal(err, true)
		reply.Draining = errors.Is(err, errDraining)
		return nil
	}
	reservation, err := s.reserver.Reserve(s.ctx, args.Claim)
	if err != nil {
		s.removeEntry(args.ID)
		s.refused.Inc(1)
		elsewhere := verdict.CodeOf(err) == verdict.CodeBudgetUnreachable && s.reserver.SyncFailing()
		s.log.Info("reservation refused", "gate", args.ID.Gate, "number", args.ID.Number, "workspace", args.Claim.Workspace,
			"bound", args.Claim.Bound, "config_version", args.Claim.Version, "store_failing", elsewhere, "error", err)
		reply.setRefusal(err, elsewhere)
		return nil
	}
	s.granted.Inc(1)
	s.grant(args.ID, entry, reservation)
	return nil
}

// addEntry records a requested reservation. It fails if the reservation must not be granted: the
// server is draining, or the reservation was requested or settled before.
func (s *Server) addEntry(id ID) (*reservationEntry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return nil, errDraining
	}
	if s.entries[id] != nil {
		return nil, errKnownID
	}
	entry := &reservationEntry{expiresAt: time.Now().Add(reservationTTL)}
	s.entries[id] = entry
	return entry, nil
}

func (s *Server) removeEntry(id ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.entries, id)
}

// grant records a granted reservation. If its gate has settled it meanwhile, it is released.
func (s *Server) grant(id ID, entry *reservationEntry, reservation prepaid.Reservation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry.reservation = reservation
	if entry.settled {
		reservation.Settle(0) // the gate abandoned it and forwarded no request
		delete(s.entries, id)
	}
}

// Settle implements the RPC that settles reservations.
func (s *Server) Settle(args *SettleArgs, _ *SettleReply) (err error) {
	defer relay.RecoverCall(s.log, "settle", &err)
	if err := validateSettlements(args.Gate, args.Settled); err != nil {
		s.log.Warn("malformed settlements refused", "gate", args.Gate, "error", err)
		return err
	}
	s.settle(args.Gate, args.Settled)
	return nil
}

// settle settles reservations. An unknown one was settled, refused or expired before, or its
// Reserve call has not arrived yet and must not be granted.
func (s *Server) settle(gate string, settlements []Settlement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, settlement := range settlements {
		id := ID{Gate: gate, Number: settlement.Number}
		entry := s.entries[id]
		switch {
		case entry == nil:
			s.entries[id] = &reservationEntry{settled: true, expiresAt: time.Now().Add(reservationTTL)}
		case entry.reservation == nil:
			entry.settled = true
		default:
			entry.reservation.Settle(settlement.Used)
			delete(s.entries, id)
		}
	}
}

// Run expires reservations whose gates have died, until ctx ends. It returns nil.
func (s *Server) Run(ctx context.Context) error {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			s.expire(now)
		}
	}
}

// expire removes the entries older than reservationTTL and charges the full amount of
// reservations that were granted.
func (s *Server) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, entry := range s.entries {
		if now.Before(entry.expiresAt) {
			continue
		}
		delete(s.entries, id)
		if entry.reservation != nil {
			entry.reservation.Settle(math.MaxInt64) // charges at most the reserved amount
			s.expired.Inc(1)
			s.log.Warn("reservation expired unsettled, its full amount counts as spent", "gate", id.Gate, "number", id.Number)
		}
	}
}

// Drain stops granting reservations and waits until all are settled or ctx ends.
func (s *Server) Drain(ctx context.Context) {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for s.Unsettled() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Unsettled returns the number of reservations that are requested or granted and not settled.
func (s *Server) Unsettled() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	unsettled := 0
	for _, entry := range s.entries {
		if !entry.settled {
			unsettled++
		}
	}
	return unsettled
}
