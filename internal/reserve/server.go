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
	"github.com/monsoonworks/monsoonworks/internal/verdict"
)

// Figures of the holder's side.
const (
	// holdTime is how long a reservation waits for its settlement. Then its gate has
	// ended, and the whole amount counts as spent.
	holdTime = 60 * time.Second
	// expireInterval is how often reservations are looked through for old ones.
	expireInterval = 5 * time.Second
	// drainStep is how often a holder that stops looks whether all is settled.
	drainStep = 50 * time.Millisecond
)

// Reserver is the budgets that a server lends from; prepaid.Manager implements it.
type Reserver interface {
	// Reserve takes a bound, or fails with a *verdict.Error.
	Reserve(ctx context.Context, claim prepaid.ReservationRequest) (prepaid.Reservation, error)
	// StoreFailing reports whether the last exchange with the store failed.
	StoreFailing() bool
}

// held is a reservation that is asked for, granted, or settled before it was asked for.
type held struct {
	reservation prepaid.Reservation // nil while it is not granted
	settled     bool
	until       time.Time
}

// Server is the holder's side. Its exported methods with two arguments are the
// calls that gates make. Its mutex is taken before the book's.
type Server struct {
	ctx  context.Context
	book Reserver
	log  *slog.Logger

	granted, refused, expired metrics.Counter

	mu      sync.Mutex
	held    map[ID]*held
	leaving bool
}

// NewServer returns a server that lends from book. Calls end with ctx.
func NewServer(ctx context.Context, book Reserver, registry metrics.Registry, log *slog.Logger) *Server {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("monsoon.holder."+name, registry)
	}
	return &Server{
		ctx: ctx, book: book, log: log, held: make(map[ID]*held),
		granted: counter("granted"), refused: counter("refused"), expired: counter("expired"),
	}
}

var errNotGranted = errors.New("the holder stops, or the reservation was given up")

// Reserve reserves tokens for a request of a gate.
func (s *Server) Reserve(args *ReserveArgs, reply *ReserveReply) error {
	s.settle(args.ID.Gate, args.Settled)
	h, ok := s.begin(args.ID)
	if !ok {
		reply.refuse(errNotGranted, true)
		return nil
	}
	reservation, err := s.book.Reserve(s.ctx, args.Claim)
	if err != nil {
		s.forget(args.ID)
		s.refused.Inc(1)
		elsewhere := verdict.CodeOf(err) == verdict.CodeBudgetUnreachable && s.book.StoreFailing()
		s.log.Info("reservation refused", "gate", args.ID.Gate, "number", args.ID.Number, "workspace", args.Claim.Workspace,
			"bound", args.Claim.Bound, "config_version", args.Claim.Version, "store_failing", elsewhere, "error", err)
		reply.refuse(err, elsewhere)
		return nil
	}
	s.granted.Inc(1)
	s.grant(args.ID, h, reservation)
	return nil
}

// begin notes a reservation that is asked for. It returns false if it must not be
// granted.
func (s *Server) begin(id ID) (*held, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving || s.held[id] != nil {
		return nil, false
	}
	h := &held{until: time.Now().Add(holdTime)}
	s.held[id] = h
	return h, true
}

func (s *Server) forget(id ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.held, id)
}

// grant notes the reservation, and ends it at once if its gate gave it up meanwhile.
func (s *Server) grant(id ID, h *held, reservation prepaid.Reservation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h.reservation = reservation
	if h.settled {
		reservation.Settle(0) // the gate sent no request
		delete(s.held, id)
	}
}

// Settle ends reservations.
func (s *Server) Settle(args *SettleArgs, _ *SettleReply) error {
	s.settle(args.Gate, args.Settled)
	return nil
}

// settle ends reservations. One that is not known may still arrive, and is not
// granted then; or it was settled before.
func (s *Server) settle(gate string, settled []Settlement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, one := range settled {
		id := ID{Gate: gate, Number: one.Number}
		h := s.held[id]
		switch {
		case h == nil:
			s.held[id] = &held{settled: true, until: time.Now().Add(holdTime)}
		case h.reservation == nil:
			h.settled = true
		default:
			h.reservation.Settle(one.Used)
			delete(s.held, id)
		}
	}
}

// Run ends reservations whose gates have ended, until ctx ends.
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

func (s *Server) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, h := range s.held {
		if now.Before(h.until) {
			continue
		}
		delete(s.held, id)
		if h.reservation != nil {
			h.reservation.Settle(math.MaxInt64)
			s.expired.Inc(1)
			s.log.Warn("reservation not settled, counts as spent", "gate", id.Gate, "number", id.Number)
		}
	}
}

// Drain grants nothing any more and waits until the reservations are settled or ctx
// ends.
func (s *Server) Drain(ctx context.Context) {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	ticker := time.NewTicker(drainStep)
	defer ticker.Stop()
	for s.Unsettled() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Unsettled returns the number of reservations that are not settled.
func (s *Server) Unsettled() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	open := 0
	for _, h := range s.held {
		if !h.settled {
			open++
		}
	}
	return open
}
