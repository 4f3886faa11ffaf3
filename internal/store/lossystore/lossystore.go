// Package lossystore injects random faults into a store, for tests: latency, outages,
// lost responses, delayed writes and stale reads, drawn from a seeded generator. For
// faults that a test sets one by one see devel/standin/faultstore.
package lossystore

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/store"
)

const (
	// maxDelay bounds the latency of a call.
	maxDelay = 20 * time.Millisecond
	// maxApplyDelay bounds the delay until a write whose response is lost is applied.
	maxApplyDelay = 3 * time.Second
)

// Faults selects the faults that a Store injects.
type Faults struct {
	// Down makes all calls return store.ErrUnavailable.
	Down bool
	// LossRate is the probability, 0 to 1, that the response of a write is lost, and
	// that GetStale returns the entry of the previous read.
	LossRate float64
	// DelayLost applies writes whose response is lost up to 3 s later instead of at
	// once.
	DelayLost bool
}

// Store is one process's connection to a store. It implements store.KV and
// store.StaleReader and is safe for concurrent use.
type Store struct {
	kv store.KV

	mu       sync.Mutex
	random   *rand.Rand
	faults   Faults
	previous map[string]store.Entry // last entry that GetStale read, by key
	commits  int
}

// New returns a connection to kv that adds latency but has no other faults until
// UpdateFaults is called. The seeds determine its random numbers.
func New(kv store.KV, seed1, seed2 uint64) *Store {
	return &Store{kv: kv, random: rand.New(rand.NewPCG(seed1, seed2)), previous: make(map[string]store.Entry)}
}

// UpdateFaults calls change to modify the faults.
func (s *Store) UpdateFaults(change func(*Faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.faults)
}

// Commits returns the number of calls of Commit.
func (s *Store) Commits() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.commits
}

// callFaults holds the faults drawn for one call.
type callFaults struct {
	delay, applyDelay   time.Duration
	down, lost, delayed bool
}

func (s *Store) drawFaults() callFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return callFaults{
		delay: time.Duration(s.random.Int64N(int64(maxDelay))), applyDelay: time.Duration(s.random.Int64N(int64(maxApplyDelay))),
		down: s.faults.Down, lost: s.random.Float64() < s.faults.LossRate, delayed: s.faults.DelayLost,
	}
}

// Commit implements store.KV.
func (s *Store) Commit(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	f := s.drawFaults()
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
	if f.delayed {
		time.AfterFunc(f.applyDelay, func() { _, _ = s.kv.Commit(context.Background(), txn) }) // its response is lost
	} else if _, err := s.kv.Commit(ctx, txn); err != nil {
		return store.TxnResult{}, err
	}
	return store.TxnResult{}, store.ErrUnknownOutcome
}

// Get implements store.KV.
func (s *Store) Get(ctx context.Context, key string) (store.Entry, error) {
	f := s.drawFaults()
	time.Sleep(f.delay)
	if f.down {
		return store.Entry{}, store.ErrUnavailable
	}
	return s.kv.Get(ctx, key)
}

// List implements store.KV.
func (s *Store) List(ctx context.Context, prefix string) (store.Snapshot, error) {
	f := s.drawFaults()
	time.Sleep(f.delay)
	if f.down {
		return store.Snapshot{}, store.ErrUnavailable
	}
	return s.kv.List(ctx, prefix)
}

// GetStale implements store.StaleReader. With probability LossRate it returns the entry
// that the previous GetStale of the key read.
func (s *Store) GetStale(ctx context.Context, key string) (store.Entry, error) {
	f := s.drawFaults()
	e, err := s.Get(ctx, key)
	if err != nil {
		return e, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	previous, ok := s.previous[key]
	s.previous[key] = e
	if f.lost && ok {
		return previous, nil
	}
	return e, nil
}
