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

// backend is a store that can fail, and that counts its calls.
type backend struct {
	store.KV

	mu      sync.Mutex
	err     error
	after   bool // the failure comes after the effect
	commits int
}

func (b *backend) fail(err error, after bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.err, b.after = err, after
}

func (b *backend) Get(ctx context.Context, key string) (store.Entry, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != nil {
		return store.Entry{}, b.err
	}
	return b.KV.Get(ctx, key)
}

func (b *backend) Commit(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.commits++
	if b.err != nil && !b.after {
		return store.TxnResult{}, b.err
	}
	result, err := b.KV.Commit(ctx, txn)
	if b.err != nil {
		return store.TxnResult{}, b.err
	}
	return result, err
}

func (b *backend) Next(_ context.Context, _ string, revision int64) store.WatchBatch {
	b.mu.Lock()
	defer b.mu.Unlock()
	return store.WatchBatch{Revision: revision + 1, Err: b.err}
}

// world is a store that a gate reaches directly or over a relay.
type world struct {
	direct, behind *backend
	relay          net.Listener
	store          *Store
}

func newWorld(t *testing.T) *world {
	c := qt.New(t)
	mem := memstore.New(memstore.Options{})
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	w := &world{direct: &backend{KV: mem}, behind: &backend{KV: mem}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	w.relay = listener
	server, err := NewServer(t.Context(), w.behind, metrics.NewRegistry(), log)
	c.Assert(err, qt.IsNil)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = listener.Close() })
	w.store = NewStore(Options{
		Direct: w.direct, Relays: func() []string { return []string{listener.Addr().String()} },
		Log: log, Metrics: metrics.NewRegistry(),
	})
	return w
}

func put(key string) store.Txn {
	return store.Txn{Compare: []store.Compare{{Key: key}}, Write: []store.Write{{Key: key, Value: []byte("v")}}}
}

// Guards against a gate that has no store while a relay has, and against one that
// keeps using relays after the direct way is back.
func TestRelayHelps(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t)
	w.direct.fail(store.ErrUnavailable, false)
	result, err := w.store.Commit(c.Context(), put("a"))
	c.Assert(err, qt.IsNil)
	c.Assert(result.Committed, qt.IsTrue)
	e, err := w.store.Get(c.Context(), "a")
	c.Assert(err, qt.IsNil)
	c.Assert(string(e.Value), qt.Equals, "v")
	c.Assert(w.store.Next(c.Context(), "", 4).Revision, qt.Equals, int64(5))
	w.direct.fail(nil, false)
	time.Sleep(directRecheck + 50*time.Millisecond)
	before := w.direct.commits
	_, err = w.store.Commit(c.Context(), put("b"))
	c.Assert(err, qt.IsNil)
	c.Assert(w.direct.commits, qt.Equals, before+1)
}

// Guards against a transaction that is tried another way though it may have been
// done, and against a conflict over a relay that looks like a failure.
func TestUnknownOutcomeIsNotTriedAgain(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t)
	w.direct.fail(store.ErrUnknownOutcome, true)
	_, err := w.store.Commit(c.Context(), put("a"))
	c.Assert(err, qt.ErrorIs, store.ErrUnknownOutcome)
	c.Assert(w.behind.commits, qt.Equals, 0)
	w.direct.fail(store.ErrUnavailable, false)
	result, err := w.store.Commit(c.Context(), put("a"))
	c.Assert(err, qt.IsNil)
	c.Assert(result.Committed, qt.IsFalse)
	c.Assert(result.Current, qt.HasLen, 1)
	w.behind.fail(store.ErrUnknownOutcome, true)
	_, err = w.store.Commit(c.Context(), put("c"))
	c.Assert(err, qt.ErrorIs, store.ErrUnknownOutcome)
}

// Guards against a gate that hangs on a relay that is gone, or whose store is down.
func TestRelayFails(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t)
	w.direct.fail(store.ErrUnavailable, false)
	w.behind.fail(store.ErrUnavailable, false)
	_, err := w.store.Commit(c.Context(), put("a"))
	c.Assert(err, qt.ErrorIs, store.ErrUnavailable)
	c.Assert(w.relay.Close(), qt.IsNil)
	time.Sleep(50 * time.Millisecond)
	began := time.Now()
	_, err = w.store.Get(c.Context(), "a")
	c.Assert(errors.Is(err, store.ErrUnavailable), qt.IsTrue)
	c.Assert(time.Since(began) < callTimeout, qt.IsTrue)
}

// GetStale implements store.StaleReader.
func (b *backend) GetStale(ctx context.Context, key string) (store.Entry, error) {
	return b.Get(ctx, key)
}

// Guards against a cut that is found out twice, by a stale read and by the call after
// it.
func TestStaleReadFindsTheCut(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t)
	w.direct.fail(store.ErrUnavailable, false)
	_, err := w.store.GetStale(c.Context(), "a")
	c.Assert(err, qt.ErrorIs, store.ErrUnavailable)
	result, err := w.store.Commit(c.Context(), put("a"))
	c.Assert(err, qt.IsNil)
	c.Assert(result.Committed, qt.IsTrue)
	c.Assert(w.direct.commits, qt.Equals, 0)
}
