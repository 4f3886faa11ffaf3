package faultstore

import (
	"context"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/store"
)

// Store applies the faults of its Controls to another store.
type Store struct {
	*Controls
	inner store.Store
}

var _ store.Store = (*Store)(nil)

// New returns a store that applies faults to the calls of inner.
func New(inner store.Store) *Store { return &Store{Controls: NewControls(), inner: inner} }

// Get implements store.KV.
func (s *Store) Get(ctx context.Context, key string) (store.Entry, error) {
	if err := s.Enter(ctx, Read); err != nil {
		return store.Entry{}, err
	}
	return s.inner.Get(ctx, key)
}

// List implements store.KV.
func (s *Store) List(ctx context.Context, prefix string) (store.Snapshot, error) {
	if err := s.Enter(ctx, Read); err != nil {
		return store.Snapshot{}, err
	}
	return s.inner.List(ctx, prefix)
}

// Commit implements store.KV.
func (s *Store) Commit(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	if err := s.Enter(ctx, Write); err != nil {
		return store.TxnResult{}, err
	}
	result, err := s.inner.Commit(ctx, txn)
	if err == nil && s.TakeResponseDrop() {
		return store.TxnResult{}, store.ErrUnknownOutcome
	}
	return result, err
}

// Grant implements store.Leaser.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	if err := s.Enter(ctx, Lease); err != nil {
		return 0, err
	}
	return s.inner.Grant(ctx, ttl)
}

// KeepAlive implements store.Leaser.
func (s *Store) KeepAlive(ctx context.Context, id store.LeaseID) error {
	if err := s.Enter(ctx, Lease); err != nil {
		return err
	}
	return s.inner.KeepAlive(ctx, id)
}

// Revoke implements store.Leaser.
func (s *Store) Revoke(ctx context.Context, id store.LeaseID) error {
	if err := s.Enter(ctx, Lease); err != nil {
		return err
	}
	return s.inner.Revoke(ctx, id)
}

// Watch implements store.Watcher. While the store is down or watches are stalled,
// the watch stays open and sends nothing.
func (s *Store) Watch(ctx context.Context, prefix string, from int64) (<-chan store.WatchBatch, error) {
	if err := s.Enter(ctx, Watch); err != nil {
		return nil, err
	}
	// Cancels the inner watch when the goroutine below returns.
	ctx, cancel := context.WithCancel(ctx)
	in, err := s.inner.Watch(ctx, prefix, from)
	if err != nil {
		cancel()
		return nil, err
	}
	out := make(chan store.WatchBatch)
	go func() {
		defer close(out)
		defer cancel()
		for batch := range QueueBatches(ctx, in) {
			if !s.AwaitDelivery(ctx, batch) {
				continue
			}
			select {
			case out <- batch.WatchBatch:
			case <-ctx.Done():
			}
		}
	}()
	return out, nil
}
