// Package memstore is an in-memory store.Store. Tests and the single-process
// demonstration use it, and the stand-ins for the platform's key-value service serve
// it over HTTP. It waits only on timers and channels, so it runs in virtual time under
// testing/synctest.
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
	// DefaultProgressInterval is the interval of progress notifications of an idle
	// watch.
	DefaultProgressInterval = time.Second
	// DefaultHistoryBytes limits the memory of the events that are kept for watches
	// that start at an earlier revision. Above it the oldest half is discarded.
	DefaultHistoryBytes = 64 << 20
	// eventOverheadBytes is the assumed memory of an event besides key and value.
	eventOverheadBytes = 96
)

// ErrDuplicateKey means that a transaction writes the same key more than once.
var ErrDuplicateKey = errors.New("duplicate key in transaction")

// Options configures a Store. Zero fields take the defaults.
type Options struct {
	ProgressInterval time.Duration
	HistoryBytes     int
}

// Store is an in-memory store.Store. It is safe for concurrent use. Calls do not
// block, so only Commit and Watch use their context. Returned values are shared and
// must not be modified.
type Store struct {
	opts Options

	// mu guards all fields below.
	mu                sync.Mutex
	revision          int64
	entries           map[string]store.Entry
	keys              []string // sorted keys of entries
	history           []store.Event
	historyBytes      int
	compactedRevision int64 // events up to this revision were discarded
	leases            map[store.LeaseID]*lease
	lastLeaseID       store.LeaseID
	changed           chan struct{} // closed and replaced at each new revision
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

// Commit implements store.KV. It returns ErrDuplicateKey for a transaction that writes
// a key more than once, and store.ErrLeaseNotFound for one that names an expired lease;
// in both cases nothing is written.
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

// apply executes writes at one new revision. If nothing changes, because there are only
// deletions of keys that do not exist, the revision stays. The caller holds mu.
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
		// Discarding half of the history amortizes the copy over many writes.
		s.compactTo(s.history[len(s.history)/2].ModRevision)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) put(w store.Write, revision int64) {
	old, exists := s.entries[w.Key]
	if exists {
		s.detachLease(old)
	} else {
		index, _ := slices.BinarySearch(s.keys, w.Key)
		s.keys = slices.Insert(s.keys, index, w.Key)
	}
	entry := store.Entry{Key: w.Key, Value: bytes.Clone(w.Value), ModRevision: revision, Lease: w.Lease}
	s.entries[w.Key] = entry
	if l := s.leases[w.Lease]; l != nil {
		l.keys[w.Key] = struct{}{}
	}
	s.appendHistory(store.Event{Entry: entry})
}

func (s *Store) remove(key string, revision int64) {
	old, exists := s.entries[key]
	if !exists {
		return
	}
	s.detachLease(old)
	delete(s.entries, key)
	index, _ := slices.BinarySearch(s.keys, key)
	s.keys = slices.Delete(s.keys, index, index+1)
	s.appendHistory(store.Event{Entry: store.Entry{Key: key, ModRevision: revision}, Deleted: true})
}

func (s *Store) detachLease(entry store.Entry) {
	if l := s.leases[entry.Lease]; l != nil {
		delete(l.keys, entry.Key)
	}
}
