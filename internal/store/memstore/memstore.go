// Package memstore keeps a store.Store in memory. Tests and the one-process
// demonstration use it, and the stand-in of the platform's key-value service
// serves it over HTTP. It uses only timers and channels, so that it runs in
// virtual time under testing/synctest.
package memstore

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/store"
)

const (
	// DefaultProgressInterval is how often a quiet watch gets a progress notice.
	DefaultProgressInterval = time.Second
	// DefaultHistoryBytes bounds the past values kept for watches that start at
	// an old revision.
	DefaultHistoryBytes = 64 << 20
	// eventOverheadBytes is the assumed cost of an event besides key and value.
	eventOverheadBytes = 96
)

// ErrDuplicateKey means that a transaction writes the same key twice.
var ErrDuplicateKey = errors.New("duplicate key in transaction")

// Options configure a Store. The zero value gives the defaults.
type Options struct {
	ProgressInterval time.Duration
	HistoryBytes     int
}

// Store is an in-memory store.Store. It is safe for concurrent use. It never
// waits, so only Commit and Watch heed their context. Values that it returns are
// shared and must not be changed.
type Store struct {
	opts Options

	// mu guards all fields below.
	mu           sync.Mutex
	revision     int64
	entries      map[string]store.Entry
	keys         []string // sorted keys of entries
	history      []store.Event
	historyBytes int
	compacted    int64 // events up to this revision are no longer kept
	leases       map[store.LeaseID]*lease
	lastLease    store.LeaseID
	changed      chan struct{} // closed at the next revision
}

var _ store.Store = (*Store)(nil)

// New returns an empty store at revision 1.
func New(opts Options) *Store {
	opts.ProgressInterval = cmp.Or(opts.ProgressInterval, DefaultProgressInterval)
	opts.HistoryBytes = cmp.Or(opts.HistoryBytes, DefaultHistoryBytes)
	return &Store{
		opts:     opts,
		revision: 1,
		entries:  make(map[string]store.Entry),
		leases:   make(map[store.LeaseID]*lease),
		changed:  make(chan struct{}),
	}
}

// Revision returns the current revision.
func (s *Store) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Get implements store.KV.
func (s *Store) Get(_ context.Context, key string) (store.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if entry, ok := s.entries[key]; ok {
		return entry, nil
	}
	return store.Entry{Key: key}, nil
}

// List implements store.KV.
func (s *Store) List(_ context.Context, prefix string) (store.Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot := store.Snapshot{Revision: s.revision}
	start, _ := slices.BinarySearch(s.keys, prefix)
	for _, key := range s.keys[start:] {
		if !strings.HasPrefix(key, prefix) {
			break
		}
		snapshot.Entries = append(snapshot.Entries, s.entries[key])
	}
	return snapshot, nil
}

// Commit implements store.KV. A transaction that writes a key twice gets
// ErrDuplicateKey, and one that names a lapsed lease store.ErrLeaseNotFound; in
// both cases nothing is written.
func (s *Store) Commit(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	if err := ctx.Err(); err != nil {
		return store.TxnResult{}, errors.Join(store.ErrUnavailable, err)
	}
	if err := checkTxn(txn); err != nil {
		return store.TxnResult{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if current, ok := s.compare(txn.Compare); !ok {
		return store.TxnResult{Revision: s.revision, Current: current}, nil
	}
	for _, w := range txn.Write {
		if !w.Delete && w.Lease != 0 && s.leases[w.Lease] == nil {
			return store.TxnResult{}, store.ErrLeaseNotFound
		}
	}
	s.apply(txn.Write)
	return store.TxnResult{Committed: true, Revision: s.revision}, nil
}

func checkTxn(txn store.Txn) error {
	if len(txn.Compare) > store.MaxTxnOps || len(txn.Write) > store.MaxTxnOps {
		return store.ErrTooLarge
	}
	written := make(map[string]bool, len(txn.Write))
	for _, w := range txn.Write {
		if len(w.Value) > store.MaxValueBytes {
			return store.ErrTooLarge
		}
		if written[w.Key] {
			return ErrDuplicateKey
		}
		written[w.Key] = true
	}
	return nil
}

// compare returns the existing entries of the compared keys, and whether all
// comparisons hold. The caller holds mu.
func (s *Store) compare(compare []store.Compare) (current []store.Entry, ok bool) {
	ok = true
	for _, c := range compare {
		entry, exists := s.entries[c.Key]
		if exists {
			current = append(current, entry)
		}
		ok = ok && entry.ModRevision == c.ModRevision
	}
	return current, ok
}

// apply executes writes at one new revision. A transaction that changes nothing,
// such as the deletion of a missing key, makes no revision. The caller holds mu.
func (s *Store) apply(writes []store.Write) {
	next := s.revision + 1
	before := len(s.history)
	for _, w := range writes {
		if w.Delete {
			s.remove(w.Key, next)
		} else {
			s.put(w, next)
		}
	}
	if len(s.history) == before {
		return
	}
	s.revision = next
	if s.historyBytes > s.opts.HistoryBytes {
		// Drops half, so that the cost is spread over many writes.
		s.compactTo(s.history[len(s.history)/2].ModRevision)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) put(w store.Write, revision int64) {
	old, exists := s.entries[w.Key]
	if exists {
		s.detach(old)
	} else {
		at, _ := slices.BinarySearch(s.keys, w.Key)
		s.keys = slices.Insert(s.keys, at, w.Key)
	}
	entry := store.Entry{Key: w.Key, Value: bytes.Clone(w.Value), ModRevision: revision, Lease: w.Lease}
	s.entries[w.Key] = entry
	if l := s.leases[w.Lease]; l != nil {
		l.keys[w.Key] = struct{}{}
	}
	s.record(store.Event{Entry: entry})
}

func (s *Store) remove(key string, revision int64) {
	old, exists := s.entries[key]
	if !exists {
		return
	}
	s.detach(old)
	delete(s.entries, key)
	at, _ := slices.BinarySearch(s.keys, key)
	s.keys = slices.Delete(s.keys, at, at+1)
	s.record(store.Event{Entry: store.Entry{Key: key, ModRevision: revision}, Deleted: true})
}

func (s *Store) detach(entry store.Entry) {
	if l := s.leases[entry.Lease]; l != nil {
		delete(l.keys, entry.Key)
	}
}
