// Package lossystore is a store for tests that is slow, down, loses answers, does
// writes late and gives stale reads, by a seed. For faults that a test sets one by
// one see devel/standin/faultstore.
package lossystore

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/store"
)

// Figures of the faults.
const (
	maxDelay = 20 * time.Millisecond
	maxLate  = 3 * time.Second
)

// Faults are what is wrong with a Store now.
type Faults struct {
	// Down refuses all calls.
	Down bool
	// LossRate is the share of the writes whose answers are lost, and of the stale reads
	// that are old.
	LossRate float64
	// DelayLost does the writes whose answers are lost after a while.
	DelayLost bool
}

// Store is the way of one process to a store. It is safe for concurrent use.
type Store struct {
	kv store.KV

	mu      sync.Mutex
	random  *rand.Rand
	faults  Faults
	old     map[string]store.Entry // as it was read before
	commits int
}

// New returns a store without faults over kv. The seeds decide about its faults.
func New(kv store.KV, seed1, seed2 uint64) *Store {
	return &Store{kv: kv, random: rand.New(rand.NewPCG(seed1, seed2)), old: make(map[string]store.Entry)}
}

// UpdateFaults changes the faults.
func (s *Store) UpdateFaults(change func(*Faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.faults)
}

// Commits returns the number of transactions that were asked for.
func (s *Store) Commits() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.commits
}

// fate is what becomes of one call.
type fate struct {
	delay, lateBy    time.Duration
	down, lost, late bool
}

func (s *Store) fate() fate {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fate{
		delay: time.Duration(s.random.Int64N(int64(maxDelay))), lateBy: time.Duration(s.random.Int64N(int64(maxLate))),
		down: s.faults.Down, lost: s.random.Float64() < s.faults.LossRate, late: s.faults.DelayLost,
	}
}

// Commit implements store.KV.
func (s *Store) Commit(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	f := s.fate()
	s.mu.Lock()
	s.commits++
	s.mu.Unlock()
	time.Sleep(f.delay)
	if f.down {
		return store.TxnResult{}, store.ErrUnavailable
	}
	if !f.lost {
		return s.kv.Commit(ctx, txn)
	}
	if f.late {
		time.AfterFunc(f.lateBy, func() { _, _ = s.kv.Commit(context.Background(), txn) }) // its answer is lost
	} else if _, err := s.kv.Commit(ctx, txn); err != nil {
		return store.TxnResult{}, err
	}
	return store.TxnResult{}, store.ErrUnknownOutcome
}

// Get implements store.KV.
func (s *Store) Get(ctx context.Context, key string) (store.Entry, error) {
	f := s.fate()
	time.Sleep(f.delay)
	if f.down {
		return store.Entry{}, store.ErrUnavailable
	}
	return s.kv.Get(ctx, key)
}

// List implements store.KV.
func (s *Store) List(ctx context.Context, prefix string) (store.Snapshot, error) {
	f := s.fate()
	time.Sleep(f.delay)
	if f.down {
		return store.Snapshot{}, store.ErrUnavailable
	}
	return s.kv.List(ctx, prefix)
}

// GetStale implements store.StaleReader with states that are up to some writes old.
func (s *Store) GetStale(ctx context.Context, key string) (store.Entry, error) {
	f := s.fate()
	e, err := s.Get(ctx, key)
	if err != nil {
		return e, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.old[key]
	s.old[key] = e
	if f.lost && ok {
		return old, nil
	}
	return e, nil
}
