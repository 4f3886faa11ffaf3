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

const (
	// settleInterval is the time between two calls that send settlements. Reserve calls
	// carry pending settlements too.
	settleInterval = 200 * time.Millisecond
	// settleTimeout limits one Settle call.
	settleTimeout = 500 * time.Millisecond
	// maxSettleDelay is how long settlements are kept for a quota server that does not
	// reply. After that they are dropped: the server has probably been restarted, and then
	// has no entry for their reservations.
	maxSettleDelay = 10 * time.Second
)

// pendingSettlements holds the settlements to send to one quota server.
type pendingSettlements struct {
	settlements []Settlement
	since       time.Time // when the first of them was added
}

// settlementQueue sends settlements to quota servers. Sending one again after a lost reply
// has no effect there. No other lock is acquired while its mutex is held.
type settlementQueue struct {
	gate string
	pool *relay.ClientPool
	log  *slog.Logger

	mu      sync.Mutex
	pending map[string]*pendingSettlements // by address of the quota server
}

func newSettlementQueue(gate string, pool *relay.ClientPool, log *slog.Logger) *settlementQueue {
	return &settlementQueue{gate: gate, pool: pool, log: log, pending: make(map[string]*pendingSettlements)}
}

// add queues settlements for a quota server.
func (q *settlementQueue) add(address string, settlements ...Settlement) {
	if len(settlements) == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	pending := q.pending[address]
	if pending == nil {
		pending = &pendingSettlements{since: time.Now()}
		q.pending[address] = pending
	}
	pending.settlements = append(pending.settlements, settlements...)
}

// take removes and returns the settlements for a quota server. The caller sends them.
func (q *settlementQueue) take(address string) []Settlement {
	q.mu.Lock()
	defer q.mu.Unlock()
	pending := q.pending[address]
	if pending == nil {
		return nil
	}
	delete(q.pending, address)
	return pending.settlements
}

// run sends settlements until ctx ends. It returns nil.
func (q *settlementQueue) run(ctx context.Context) error {
	ticker := time.NewTicker(settleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			if err := q.flush(ctx); err != nil {
				q.log.Info("settlements not sent, will retry unless dropped", "error", err)
			}
		}
	}
}

// flush sends all settlements, to all quota servers in parallel.
func (q *settlementQueue) flush(ctx context.Context) error {
	q.mu.Lock()
	batches := q.pending
	q.pending = make(map[string]*pendingSettlements)
	q.mu.Unlock()
	results := make(chan error, len(batches))
	for address, pending := range batches {
		go func() { results <- q.send(ctx, address, pending) }()
	}
	var errs []error
	for range batches {
		errs = append(errs, <-results)
	}
	return errors.Join(errs...)
}

var errInBackoff = errors.New("quota server is in backoff")

// send sends the settlements for one quota server and queues them again on failure.
func (q *settlementQueue) send(ctx context.Context, address string, pending *pendingSettlements) error {
	if !q.pool.Available(address) {
		return q.requeue(address, pending, errInBackoff)
	}
	client, err := q.pool.Client(ctx, address)
	if err == nil {
		err = relay.Call(ctx, client, ServiceName+".Settle", settleTimeout, &SettleArgs{Gate: q.gate, Settled: pending.settlements}, &SettleReply{})
	}
	if err != nil {
		q.pool.MarkFailed(address)
		return q.requeue(address, pending, err)
	}
	return nil
}

// requeue queues settlements again that were not sent, or drops them after maxSettleDelay. It
// returns err unless err is errInBackoff and the settlements were queued.
func (q *settlementQueue) requeue(address string, pending *pendingSettlements, err error) error {
	if time.Since(pending.since) > maxSettleDelay {
		return fmt.Errorf("%d settlements for %s dropped, their reservations count as spent: %w", len(pending.settlements), address, err)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if newer := q.pending[address]; newer != nil {
		pending.settlements = append(pending.settlements, newer.settlements...)
	}
	q.pending[address] = pending
	if errors.Is(err, errInBackoff) {
		return nil
	}
	return err
}
