package mirror

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonworks/monsoonworks/devel/standin/faultstore"
	"github.com/monsoonworks/monsoonworks/internal/store"
	"github.com/monsoonworks/monsoonworks/internal/store/memstore"
)

// pollingStore is a store whose watches end when it is down, like watches over
// HTTP.
type pollingStore struct {
	*faultstore.Store
	mem *memstore.Store
}

func (s *pollingStore) Next(ctx context.Context, prefix string, revision int64) store.WatchBatch {
	if err := s.Controls.Enter(ctx, faultstore.Watch); err != nil {
		return store.WatchBatch{Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	batches, err := s.mem.Watch(ctx, prefix, revision)
	if err != nil {
		return store.WatchBatch{Err: err}
	}
	batch := <-batches
	if s.Controls.Down() {
		return store.WatchBatch{Err: store.ErrUnavailable}
	}
	batch.Revision = max(batch.Revision, revision)
	return batch
}

// fixture is a running Mirror of an in-memory store that records the revisions of
// its states.
type fixture struct {
	*Mirror
	mem   *memstore.Store
	store *pollingStore

	mu        sync.Mutex
	revisions []int64
}

func newFixture(t *testing.T, deletionGrace time.Duration) *fixture {
	mem := memstore.New(memstore.Options{ProgressInterval: 500 * time.Millisecond})
	f := &fixture{mem: mem, store: &pollingStore{Store: faultstore.New(mem), mem: mem}}
	f.Mirror = New(Options{
		Prefix: "p/", Store: f.store, DeletionGrace: deletionGrace, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		OnChange: func(s State) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.revisions = append(f.revisions, s.Revision)
		},
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _ = f.Run(ctx) }()
	t.Cleanup(func() { cancel(); time.Sleep(5 * time.Second) })
	return f
}

func (f *fixture) put(c *qt.C, key, value string) {
	_, err := f.mem.Commit(c.Context(), store.Txn{Write: []store.Write{{Key: key, Value: []byte(value)}}})
	c.Assert(err, qt.IsNil)
}

func (f *fixture) remove(c *qt.C, key string) {
	_, err := f.mem.Commit(c.Context(), store.Txn{Write: []store.Write{{Key: key, Delete: true}}})
	c.Assert(err, qt.IsNil)
}

func (f *fixture) has(key string) bool {
	_, ok := f.State().Entries[key]
	return ok
}

// All changes must be applied within a second, and the revision must never
// decrease, even if the store compacts its history.
func TestChangesApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFixture(t, 0)
		for i := range 30 {
			f.put(c, "p/a", fmt.Sprint(i))
			f.put(c, "other", "x")
			if i%10 == 9 {
				f.mem.Compact(f.mem.Revision())
			}
			time.Sleep(130 * time.Millisecond)
		}
		time.Sleep(time.Second)
		c.Assert(string(f.State().Entries["p/a"].Value), qt.Equals, "29")
		c.Assert(f.State().Entries, qt.HasLen, 1)
		f.mu.Lock()
		defer f.mu.Unlock()
		for i := 1; i < len(f.revisions); i++ {
			c.Assert(f.revisions[i] >= f.revisions[i-1], qt.IsTrue)
		}
	})
}

// Keys that are written one after the other when their owners start must arrive in few batches,
// later changes at once.
func TestBatchesAtStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFixture(t, 0)
		time.Sleep(1500 * time.Millisecond)
		const keys, interval = 80, 50 * time.Millisecond
		for i := range keys {
			f.put(c, fmt.Sprint("p/", i), "1")
			time.Sleep(interval)
		}
		time.Sleep(4 * time.Second)
		c.Assert(f.has(fmt.Sprint("p/", keys-1)), qt.IsTrue)
		f.mu.Lock()
		batches := len(f.revisions)
		f.mu.Unlock()
		c.Assert(batches <= 8, qt.IsTrue, qt.Commentf("%d batches in %v", batches, keys*interval))
		for i := range 5 {
			f.put(c, fmt.Sprint("p/late", i), "1")
			time.Sleep(300 * time.Millisecond)
			c.Assert(f.has(fmt.Sprint("p/late", i)), qt.IsTrue)
		}
	})
}

// If entries expire during an outage of the store, those that are written again
// after it must not disappear in between; the others must be deleted after the
// grace period.
func TestDeletionGraceAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFixture(t, 2200*time.Millisecond)
		f.put(c, "p/back", "1")
		f.put(c, "p/gone", "1")
		time.Sleep(3 * time.Second)
		f.store.Controls.SetDown(true)
		f.remove(c, "p/back")
		f.remove(c, "p/gone")
		time.Sleep(4 * time.Second)
		c.Assert(f.Connected(), qt.IsFalse)
		f.store.Controls.SetDown(false)
		time.Sleep(1500 * time.Millisecond)
		c.Assert(f.has("p/back") && f.has("p/gone"), qt.IsTrue)
		f.put(c, "p/back", "2")
		time.Sleep(4 * time.Second)
		c.Assert(f.has("p/back"), qt.IsTrue)
		c.Assert(f.has("p/gone"), qt.IsFalse)
	})
}

// A deletion must be applied immediately while the store is connected.
func TestDeletionAppliedWhileConnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFixture(t, 2200*time.Millisecond)
		f.put(c, "p/a", "1")
		time.Sleep(5 * time.Second)
		f.remove(c, "p/a")
		time.Sleep(300 * time.Millisecond)
		c.Assert(f.has("p/a"), qt.IsFalse)
	})
}
