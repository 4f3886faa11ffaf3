package relay

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"github.com/monsoonworks/monsoonworks/internal/store"
	"github.com/monsoonworks/monsoonworks/internal/store/memstore"
)

// faultyStore is a store whose calls return the error err, if it is set. It counts its commits.
type faultyStore struct {
	store.KV

	mu          sync.Mutex
	err         error
	afterCommit bool // a failing commit takes effect
	commits     int
}

func (s *faultyStore) setError(err error, afterCommit bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err, s.afterCommit = err, afterCommit
}

func (s *faultyStore) Get(ctx context.Context, key string) (store.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return store.Entry{}, s.err
	}
	return s.KV.Get(ctx, key)
}

func (s *faultyStore) Commit(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commits++
	if s.err != nil && !s.afterCommit {
		return store.TxnResult{}, s.err
	}
	result, err := s.KV.Commit(ctx, txn)
	if s.err != nil {
		return store.TxnResult{}, s.err
	}
	return result, err
}

func (s *faultyStore) Next(_ context.Context, _ string, revision int64) store.WatchBatch {
	s.mu.Lock()
	defer s.mu.Unlock()
	return store.WatchBatch{Revision: revision + 1, Err: s.err}
}

// fixture is a Store with a direct path and one relay. Both lead to the same memory store.
type fixture struct {
	direct, relayed *faultyStore
	listener        net.Listener
	store           *Store
}

func newFixture(t *testing.T) *fixture {
	c := qt.New(t)
	mem := memstore.New(memstore.Options{})
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	f := &fixture{direct: &faultyStore{KV: mem}, relayed: &faultyStore{KV: mem}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	f.listener = listener
	server, err := NewServer(t.Context(), f.relayed, metrics.NewRegistry(), log)
	c.Assert(err, qt.IsNil)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = listener.Close() })
	f.store = NewStore(Options{
		Direct: f.direct, Relays: func() []string { return []string{listener.Addr().String()} },
		Log: log, Metrics: metrics.NewRegistry(),
	})
	return f
}

// createTxn returns a transaction that creates a key. It conflicts if the key exists.
func createTxn(key string) store.Txn {
	return store.Txn{Compare: []store.Compare{{Key: key}}, Write: []store.Write{{Key: key, Value: []byte("v")}}}
}

// Guards against a gate that fails store calls while a relay can reach the store, and against
// one that keeps using relays after the direct path works again.
func TestRelayReplacesDirectPath(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t)
	f.direct.setError(store.ErrUnavailable, false)
	result, err := f.store.Commit(c.Context(), createTxn("a"))
	c.Assert(err, qt.IsNil)
	c.Assert(result.Committed, qt.IsTrue)
	entry, err := f.store.Get(c.Context(), "a")
	c.Assert(err, qt.IsNil)
	c.Assert(string(entry.Value), qt.Equals, "v")
	c.Assert(f.store.Next(c.Context(), "", 4).Revision, qt.Equals, int64(5))
	f.direct.setError(nil, false)
	time.Sleep(directRetryInterval + 50*time.Millisecond)
	before := f.direct.commits
	_, err = f.store.Commit(c.Context(), createTxn("b"))
	c.Assert(err, qt.IsNil)
	c.Assert(f.direct.commits, qt.Equals, before+1)
}

// Guards against retrying a transaction over another path although it may have taken effect,
// and against a conflict over a relay that is treated as a failure.
func TestUnknownOutcomeIsNotRetried(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t)
	f.direct.setError(store.ErrUnknownOutcome, true)
	_, err := f.store.Commit(c.Context(), createTxn("a"))
	c.Assert(err, qt.ErrorIs, store.ErrUnknownOutcome)
	c.Assert(f.relayed.commits, qt.Equals, 0)
	f.direct.setError(store.ErrUnavailable, false)
	result, err := f.store.Commit(c.Context(), createTxn("a"))
	c.Assert(err, qt.IsNil)
	c.Assert(result.Committed, qt.IsFalse)
	c.Assert(result.Current, qt.HasLen, 1)
	f.relayed.setError(store.ErrUnknownOutcome, true)
	_, err = f.store.Commit(c.Context(), createTxn("c"))
	c.Assert(err, qt.ErrorIs, store.ErrUnknownOutcome)
}

// Guards against a gate that hangs when its relay is down or cannot reach the store.
func TestRelayFailure(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t)
	f.direct.setError(store.ErrUnavailable, false)
	f.relayed.setError(store.ErrUnavailable, false)
	_, err := f.store.Commit(c.Context(), createTxn("a"))
	c.Assert(err, qt.ErrorIs, store.ErrUnavailable)
	c.Assert(f.listener.Close(), qt.IsNil)
	time.Sleep(50 * time.Millisecond)
	start := time.Now()
	_, err = f.store.Get(c.Context(), "a")
	c.Assert(errors.Is(err, store.ErrUnavailable), qt.IsTrue)
	c.Assert(time.Since(start) < callTimeout, qt.IsTrue)
}

// GetStale implements store.StaleReader.
func (s *faultyStore) GetStale(ctx context.Context, key string) (store.Entry, error) {
	return s.Get(ctx, key)
}

// Guards against waiting for the direct path twice in a network partition: after a failed stale
// read, the next call must use a relay without trying the direct path.
func TestStaleReadDetectsPartition(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t)
	f.direct.setError(store.ErrUnavailable, false)
	_, err := f.store.GetStale(c.Context(), "a")
	c.Assert(err, qt.ErrorIs, store.ErrUnavailable)
	result, err := f.store.Commit(c.Context(), createTxn("a"))
	c.Assert(err, qt.IsNil)
	c.Assert(result.Committed, qt.IsTrue)
	c.Assert(f.direct.commits, qt.Equals, 0)
}
