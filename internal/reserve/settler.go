package reserve

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/relay"
)

// Figures of settlements.
const (
	// settleInterval is how often settlements are sent that no reservation carried.
	settleInterval = 200 * time.Millisecond
	// settleTimeout bounds one sending.
	settleTimeout = 500 * time.Millisecond
	// settleKeep is how long settlements wait for a holder that does not answer. Its
	// next process knows nothing of the reservations.
	settleKeep = 10 * time.Second
)

// waiting are settlements for one holder.
type waiting struct {
	settled []Settlement
	since   time.Time
}

// settler sends settlements to holders. What is sent again after an answer was lost
// changes nothing there. Its mutex is a leaf.
type settler struct {
	gate  string
	peers *relay.ClientPool
	log   *slog.Logger

	mu      sync.Mutex
	waiting map[string]*waiting // by the holder's address
}

func newSettler(gate string, peers *relay.ClientPool, log *slog.Logger) *settler {
	return &settler{gate: gate, peers: peers, log: log, waiting: make(map[string]*waiting)}
}

// add notes settlements to be sent.
func (s *settler) add(address string, settled ...Settlement) {
	if len(settled) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.waiting[address]
	if w == nil {
		w = &waiting{since: time.Now()}
		s.waiting[address] = w
	}
	w.settled = append(w.settled, settled...)
}

// take returns the settlements for a holder, which the caller sends.
func (s *settler) take(address string) []Settlement {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.waiting[address]
	if w == nil {
		return nil
	}
	delete(s.waiting, address)
	return w.settled
}

// run sends settlements until ctx ends.
func (s *settler) run(ctx context.Context) error {
	ticker := time.NewTicker(settleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			if err := s.flush(ctx); err != nil {
				s.log.Info("settlements not sent", "error", err)
			}
		}
	}
}

// flush sends all settlements, to all holders at once.
func (s *settler) flush(ctx context.Context) error {
	s.mu.Lock()
	batches := s.waiting
	s.waiting = make(map[string]*waiting)
	s.mu.Unlock()
	results := make(chan error, len(batches))
	for address, w := range batches {
		go func() { results <- s.send(ctx, address, w) }()
	}
	var errs []error
	for range batches {
		errs = append(errs, <-results)
	}
	return errors.Join(errs...)
}

var errLeftAlone = errors.New("the holder is left alone")

// send sends the settlements for one holder. They wait on if that fails.
func (s *settler) send(ctx context.Context, address string, w *waiting) error {
	if !s.peers.Available(address) {
		return s.keep(address, w, errLeftAlone)
	}
	peer, err := s.peers.Client(ctx, address)
	if err == nil {
		err = callPeer(ctx, peer, "Settle", settleTimeout, &SettleArgs{Gate: s.gate, Settled: w.settled}, &SettleReply{})
	}
	if err != nil {
		s.peers.MarkFailed(address)
		return s.keep(address, w, err)
	}
	return nil
}

// keep puts settlements back that were not sent, unless they are old.
func (s *settler) keep(address string, w *waiting, err error) error {
	if time.Since(w.since) > settleKeep {
		return fmt.Errorf("%d settlements for %s dropped, their reservations count as spent: %w", len(w.settled), address, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if newer := s.waiting[address]; newer != nil {
		w.settled = append(w.settled, newer.settled...)
	}
	s.waiting[address] = w
	if errors.Is(err, errLeftAlone) {
		return nil
	}
	return err
}
