package relay

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/rpc"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/monsoonworks/monsoonworks/internal/store"
)

const (
	// directRetryInterval is how long calls go over relays after a direct call failed. Then
	// one call tries the direct path again.
	directRetryInterval = 1500 * time.Millisecond
	// maxRelayAttempts is the number of relays that are tried for one call, apart from addresses
	// that refuse connections. Together they are at most maxCandidates.
	maxRelayAttempts = 2
	maxCandidates    = 10
	// relayBackoff is how long a relay is not called after it failed.
	relayBackoff = 3 * time.Second
)

// Options configure a Store.
type Options struct {
	// Direct calls the store without a relay.
	Direct PollingStore
	// Relays returns the addresses of the relays.
	Relays  func() []string
	Log     *slog.Logger
	Metrics metrics.Registry
}

// Store reaches the platform's store directly or, while that fails, over relays. It implements
// store.KV, store.StaleReader and PollingStore and is safe for concurrent use. No other lock is
// acquired while its mutex is held.
type Store struct {
	opts          Options
	pool          *ClientPool
	relayed       metrics.Counter
	relayFailures metrics.Counter

	mu         sync.Mutex
	nextDirect time.Time // when the direct path is tried again
	viaRelay   bool      // the last direct call failed
	lastRelay  string    // the relay of the last successful relayed call, empty if there is none
}

// NewStore returns a store that tries the direct path first.
func NewStore(o Options) *Store {
	return &Store{
		opts: o, pool: NewClientPool(relayBackoff, TCPDialer()),
		relayed:       metrics.GetOrRegisterCounter("monsoon.store.relayed", o.Metrics),
		relayFailures: metrics.GetOrRegisterCounter("monsoon.store.relay_failures", o.Metrics),
	}
}

// Get implements store.KV.
func (s *Store) Get(ctx context.Context, key string) (store.Entry, error) {
	var entry store.Entry
	err := s.do(ctx, true, func() (err error) {
		entry, err = s.opts.Direct.Get(ctx, key)
		return err
	}, func(c *rpc.Client) error {
		var reply GetReply
		if err := call(ctx, c, "Get", callTimeout, &GetArgs{Key: key}, &reply); err != nil {
			return err
		}
		entry = reply.Entry
		return reply.Failure.Err()
	})
	return entry, err
}

// GetStale implements store.StaleReader. It never uses a relay: a stale read only saves a
// more expensive call, which does not justify an extra hop.
func (s *Store) GetStale(ctx context.Context, key string) (store.Entry, error) {
	reader, ok := s.opts.Direct.(store.StaleReader)
	s.mu.Lock()
	viaRelay := s.viaRelay
	s.mu.Unlock()
	if !ok || viaRelay {
		return store.Entry{}, fmt.Errorf("%w: no direct path for a stale read", store.ErrUnavailable)
	}
	entry, err := reader.GetStale(ctx, key)
	if err != nil {
		s.noteDirect(err) // so that the next call does not try the direct path again
	}
	return entry, err
}

// List implements store.KV.
func (s *Store) List(ctx context.Context, prefix string) (store.Snapshot, error) {
	var snapshot store.Snapshot
	err := s.do(ctx, true, func() (err error) {
		snapshot, err = s.opts.Direct.List(ctx, prefix)
		return err
	}, func(c *rpc.Client) error {
		var reply ListReply
		if err := call(ctx, c, "List", callTimeout, &ListArgs{Prefix: prefix}, &reply); err != nil {
			return err
		}
		snapshot = reply.Snapshot
		return reply.Failure.Err()
	})
	return snapshot, err
}

// Commit implements store.KV. A transaction with unknown outcome is not retried over another
// path.
func (s *Store) Commit(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	var result store.TxnResult
	err := s.do(ctx, false, func() (err error) {
		result, err = s.opts.Direct.Commit(ctx, txn)
		return err
	}, func(c *rpc.Client) error {
		var reply CommitReply
		if err := call(ctx, c, "Commit", callTimeout, &CommitArgs{Txn: txn}, &reply); err != nil {
			return err
		}
		result = reply.Result
		return reply.Failure.Err()
	})
	return result, err
}

// Next implements PollingStore.
func (s *Store) Next(ctx context.Context, prefix string, revision int64) store.WatchBatch {
	var batch store.WatchBatch
	err := s.do(ctx, true, func() error {
		batch = s.opts.Direct.Next(ctx, prefix, revision)
		return batch.Err
	}, func(c *rpc.Client) error {
		var reply NextReply
		if err := call(ctx, c, "Next", pollTimeout, &NextArgs{Prefix: prefix, Revision: revision}, &reply); err != nil {
			return err
		}
		batch = store.WatchBatch{Events: reply.Events, Revision: reply.Revision}
		return reply.Failure.Err()
	})
	if err != nil {
		return store.WatchBatch{Err: err}
	}
	return batch
}

// do makes a call directly or over relays. An idempotent call is retried over another path
// if the store was not reached or its reply was lost, any other call only if it certainly
// had no effect.
func (s *Store) do(ctx context.Context, idempotent bool, callDirect func() error, callRelay func(*rpc.Client) error) error {
	var err error
	if s.tryDirect() {
		err = callDirect()
		if err != nil && ctx.Err() != nil {
			return err // the call was canceled, which says nothing about the path
		}
		s.noteDirect(err)
		if !retryable(err, idempotent) {
			return err
		}
	}
	attempts := 0
	for _, address := range s.candidates() {
		if attempts == maxRelayAttempts {
			break
		}
		if ctx.Err() != nil {
			return errors.Join(store.ErrUnavailable, ctx.Err())
		}
		client, dialErr := s.pool.Client(ctx, address)
		if dialErr != nil {
			s.markFailed(address)
			err = fmt.Errorf("%w: relay %s: %w", store.ErrUnavailable, address, dialErr)
			if !Refused(dialErr) {
				attempts++
			}
			continue
		}
		attempts++
		s.relayed.Inc(1)
		if err = callRelay(client); !retryable(err, idempotent) {
			s.noteRelayed(address, err)
			return err
		}
		s.relayFailures.Inc(1)
		s.markFailed(address)
	}
	if err == nil {
		err = fmt.Errorf("%w: direct path failed recently and no relay is available", store.ErrUnavailable)
	}
	return err
}

// retryable reports whether a failed call may be retried over another path.
func retryable(err error, idempotent bool) bool {
	return errors.Is(err, store.ErrUnavailable) || idempotent && errors.Is(err, store.ErrUnknownOutcome)
}

// tryDirect reports whether a call should use the direct path.
func (s *Store) tryDirect() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.viaRelay {
		return true
	}
	now := time.Now()
	if now.Before(s.nextDirect) {
		return false
	}
	s.nextDirect = now.Add(directRetryInterval)
	return true
}

// noteDirect records the result of a direct call.
func (s *Store) noteDirect(err error) {
	failed := errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrUnknownOutcome)
	s.mu.Lock()
	defer s.mu.Unlock()
	if failed != s.viaRelay {
		s.opts.Log.Info("path to the store changed", "over_relays", failed, "error", err)
	}
	s.viaRelay = failed
	if failed {
		s.nextDirect = time.Now().Add(directRetryInterval)
	}
}

// noteRelayed records the result of a relayed call that is not retried.
func (s *Store) noteRelayed(address string, err error) {
	if errors.Is(err, store.ErrUnknownOutcome) {
		s.markFailed(address)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastRelay = address
}

// candidates returns the relays to try, at most maxCandidates: the last one that worked, then
// random others.
func (s *Store) candidates() []string {
	addresses := append([]string(nil), s.opts.Relays()...)
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	s.mu.Lock()
	lastRelay := s.lastRelay
	s.mu.Unlock()
	var chosen []string
	if lastRelay != "" && s.pool.Available(lastRelay) {
		chosen = append(chosen, lastRelay)
	}
	for _, address := range addresses {
		if len(chosen) == maxCandidates {
			break
		}
		if address != lastRelay && s.pool.Available(address) {
			chosen = append(chosen, address)
		}
	}
	return chosen
}

// markFailed puts a relay into backoff.
func (s *Store) markFailed(address string) {
	s.mu.Lock()
	if s.lastRelay == address {
		s.lastRelay = ""
	}
	s.mu.Unlock()
	s.pool.MarkFailed(address)
}

// call makes one RPC to a relay. If the relay does not reply, it may still have executed the
// call.
func call(ctx context.Context, client *rpc.Client, method string, timeout time.Duration, args, reply any) error {
	err := Call(ctx, client, serviceName+"."+method, timeout, args, reply)
	if err != nil {
		return fmt.Errorf("%w: relay: %w", store.ErrUnknownOutcome, err)
	}
	return nil
}
