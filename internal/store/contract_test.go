package store_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonworks/monsoonworks/devel/standin/faultstore"
	"github.com/monsoonworks/monsoonworks/devel/standin/pipenet"
	"github.com/monsoonworks/monsoonworks/devel/standin/storeserver"
	"github.com/monsoonworks/monsoonworks/internal/store"
	"github.com/monsoonworks/monsoonworks/internal/store/etcdgw"
	"github.com/monsoonworks/monsoonworks/internal/store/memstore"
	"github.com/monsoonworks/monsoonworks/platform"
	"github.com/monsoonworks/monsoonworks/platform/platformtest"
)

// implementation is a store under test with its fault injection.
type implementation struct {
	store.Store
	faults  *faultstore.Controls
	compact func(revision int64)
}

// implementations holds, for each store, a function that runs a test on it in virtual
// time.
var implementations = map[string]func(t *testing.T, test func(c *qt.C, s implementation)){
	"memstore": func(t *testing.T, test func(c *qt.C, s implementation)) {
		synctest.Test(t, func(t *testing.T) {
			mem := memstore.New(memstore.Options{})
			faulty := faultstore.New(mem)
			test(qt.New(t), implementation{Store: faulty, faults: faulty.Controls, compact: mem.Compact})
		})
	},
	"etcdgw": func(t *testing.T, test func(c *qt.C, s implementation)) {
		synctest.Test(t, func(t *testing.T) {
			mem := memstore.New(memstore.Options{})
			handler := storeserver.New(mem)
			network := pipenet.New()
			server := &http.Server{Handler: handler}
			go func() { _ = server.Serve(network) }()
			defer func() { _ = server.Close() }()
			transport := &http.Transport{DialContext: network.DialContext}
			defer transport.CloseIdleConnections()
			client, err := etcdgw.New(etcdgw.Options{
				Endpoints: []string{"http://store.invalid"}, Transport: transport, PageSize: 7,
			})
			c := qt.New(t)
			c.Assert(err, qt.IsNil)
			test(c, implementation{Store: client, faults: handler.Controls, compact: mem.Compact})
		})
	},
	"platform": func(t *testing.T, test func(c *qt.C, s implementation)) {
		synctest.Test(t, func(t *testing.T) {
			mem := memstore.New(memstore.Options{})
			handler := platformtest.New(mem)
			handler.PageSize = 7
			network := pipenet.New()
			server := &http.Server{Handler: handler}
			go func() { _ = server.Serve(network) }()
			defer func() { _ = server.Close() }()
			transport := &http.Transport{DialContext: network.DialContext}
			defer transport.CloseIdleConnections()
			client := platform.NewStore(platform.StoreOptions{Address: "store.invalid", Transport: transport})
			test(qt.New(t), implementation{Store: client, faults: handler.Controls, compact: mem.Compact})
		})
	},
}

// runContract runs test on each implementation.
func runContract(t *testing.T, test func(c *qt.C, s implementation)) {
	for name, run := range implementations {
		t.Run(name, func(t *testing.T) { run(t, test) })
	}
}

func putTxn(key, value string) store.Txn {
	return store.Txn{Write: []store.Write{{Key: key, Value: []byte(value)}}}
}

// Guards against a transaction that is applied although a comparison fails, and
// against a conflict that does not return the current entries.
func TestCompareAndSwap(t *testing.T) {
	runContract(t, func(c *qt.C, s implementation) {
		ctx := c.Context()
		missing, err := s.Get(ctx, "a")
		c.Assert(err, qt.IsNil)
		c.Assert(missing.ModRevision, qt.Equals, int64(0))
		first, err := s.Commit(ctx, store.Txn{
			Compare: []store.Compare{{Key: "a"}},
			Write:   []store.Write{{Key: "a", Value: []byte("1")}, {Key: "b", Value: []byte{0, 255}}},
		})
		c.Assert(err, qt.IsNil)
		c.Assert(first.Committed, qt.IsTrue)
		second, err := s.Commit(ctx, store.Txn{
			Compare: []store.Compare{{Key: "a"}, {Key: "missing"}},
			Write:   []store.Write{{Key: "b", Delete: true}},
		})
		c.Assert(err, qt.IsNil)
		c.Assert(second.Committed, qt.IsFalse)
		c.Assert(second.Current, qt.DeepEquals, []store.Entry{{Key: "a", Value: []byte("1"), ModRevision: first.Revision}})
		b, err := s.Get(ctx, "b")
		c.Assert(err, qt.IsNil)
		c.Assert(b, qt.DeepEquals, store.Entry{Key: "b", Value: []byte{0, 255}, ModRevision: first.Revision})
	})
}

// Guards against a list that omits keys at a page boundary or includes keys outside
// the prefix.
func TestListPrefix(t *testing.T) {
	runContract(t, func(c *qt.C, s implementation) {
		ctx := c.Context()
		var last store.TxnResult
		for i := range 15 {
			result, err := s.Commit(ctx, putTxn(fmt.Sprintf("/p/%02d", i), "v"))
			c.Assert(err, qt.IsNil)
			last = result
		}
		_, err := s.Commit(ctx, putTxn("/q", "other"))
		c.Assert(err, qt.IsNil)
		snapshot, err := s.List(ctx, "/p/")
		c.Assert(err, qt.IsNil)
		c.Assert(snapshot.Entries, qt.HasLen, 15)
		c.Assert(snapshot.Entries[14].Key, qt.Equals, "/p/14")
		c.Assert(snapshot.Revision, qt.Equals, last.Revision+1)
		all, err := s.List(ctx, "")
		c.Assert(err, qt.IsNil)
		c.Assert(all.Entries, qt.HasLen, 16)
	})
}

// Guards against a lost response that is reported as ErrUnavailable although the write
// was applied.
func TestLostResponse(t *testing.T) {
	runContract(t, func(c *qt.C, s implementation) {
		s.faults.DropResponses(1)
		_, err := s.Commit(c.Context(), putTxn("a", "1"))
		c.Assert(err, qt.ErrorIs, store.ErrUnknownOutcome)
		c.Assert(errors.Is(err, store.ErrUnavailable), qt.IsFalse)
		entry, err := s.Get(c.Context(), "a")
		c.Assert(err, qt.IsNil)
		c.Assert(string(entry.Value), qt.Equals, "1")
	})
}

// Guards against a write that is reported as ErrUnavailable and still applied, and
// against size limits that are not enforced.
func TestRejectedWrites(t *testing.T) {
	runContract(t, func(c *qt.C, s implementation) {
		s.faults.SetDown(true)
		_, err := s.Commit(c.Context(), putTxn("a", "1"))
		c.Assert(err, qt.ErrorIs, store.ErrUnavailable)
		_, err = s.Get(c.Context(), "a")
		c.Assert(err, qt.ErrorIs, store.ErrUnavailable)
		s.faults.SetDown(false)
		_, err = s.Commit(c.Context(), putTxn("a", string(make([]byte, store.MaxValueBytes+1))))
		c.Assert(err, qt.ErrorIs, store.ErrTooLarge)
		_, err = s.Commit(c.Context(), store.Txn{Write: make([]store.Write, store.MaxTxnOps+1)})
		c.Assert(err, qt.ErrorIs, store.ErrTooLarge)
		_, err = s.Commit(c.Context(), store.Txn{Write: []store.Write{{Key: "a"}, {Key: "a"}}})
		c.Assert(err, qt.IsNotNil)
		entry, err := s.Get(c.Context(), "a")
		c.Assert(err, qt.IsNil)
		c.Assert(entry.ModRevision, qt.Equals, int64(0))
	})
}

// Guards against keys that outlive their lease, and against a renewal of an expired
// lease that returns no error.
func TestLeases(t *testing.T) {
	runContract(t, func(c *qt.C, s implementation) {
		ctx := c.Context()
		id, err := s.Grant(ctx, 3*time.Second)
		c.Assert(err, qt.IsNil)
		_, err = s.Commit(ctx, store.Txn{Write: []store.Write{{Key: "l", Lease: id}}})
		c.Assert(err, qt.IsNil)
		time.Sleep(2 * time.Second)
		c.Assert(s.KeepAlive(ctx, id), qt.IsNil)
		time.Sleep(2 * time.Second)
		entry, err := s.Get(ctx, "l")
		c.Assert(err, qt.IsNil)
		c.Assert(entry.Lease, qt.Equals, id)
		time.Sleep(2 * time.Second)
		entry, err = s.Get(ctx, "l")
		c.Assert(err, qt.IsNil)
		c.Assert(entry.ModRevision, qt.Equals, int64(0))
		c.Assert(s.KeepAlive(ctx, id), qt.ErrorIs, store.ErrLeaseNotFound)
		_, err = s.Commit(ctx, store.Txn{Write: []store.Write{{Key: "l", Lease: id}}})
		c.Assert(err, qt.ErrorIs, store.ErrLeaseNotFound)
		id, err = s.Grant(ctx, time.Second)
		c.Assert(err, qt.IsNil)
		c.Assert(s.Revoke(ctx, id), qt.IsNil)
		c.Assert(s.Revoke(ctx, id), qt.ErrorIs, store.ErrLeaseNotFound)
	})
}

// nextEvents returns the next batch that has events or an error.
func nextEvents(c *qt.C, batches <-chan store.WatchBatch) store.WatchBatch {
	c.Helper()
	for {
		select {
		case batch, open := <-batches:
			c.Assert(open, qt.IsTrue)
			if len(batch.Events) > 0 || batch.Err != nil {
				return batch
			}
		case <-time.After(time.Minute):
			c.Fatal("no batch within a minute")
		}
	}
}

// Guards against events that are missing, duplicated or out of order, and against an
// idle watch without progress notifications.
func TestWatch(t *testing.T) {
	runContract(t, func(c *qt.C, s implementation) {
		ctx, cancel := context.WithCancel(c.Context())
		defer cancel()
		first, err := s.Commit(ctx, putTxn("/w/a", "1"))
		c.Assert(err, qt.IsNil)
		_, err = s.Commit(ctx, putTxn("/w/a", "2"))
		c.Assert(err, qt.IsNil)
		_, err = s.Commit(ctx, putTxn("/other", "3"))
		c.Assert(err, qt.IsNil)
		batches, err := s.Watch(ctx, "/w/", first.Revision)
		c.Assert(err, qt.IsNil)
		batch := nextEvents(c, batches)
		c.Assert(batch.Events, qt.HasLen, 1)
		c.Assert(string(batch.Events[0].Value), qt.Equals, "2")
		result, err := s.Commit(ctx, store.Txn{Write: []store.Write{{Key: "/w/a", Delete: true}, {Key: "/w/b"}}})
		c.Assert(err, qt.IsNil)
		batch = nextEvents(c, batches)
		c.Assert(batch.Events, qt.HasLen, 2)
		c.Assert(batch.Events[0].Deleted, qt.IsTrue)
		c.Assert(batch.Events[0].ModRevision, qt.Equals, result.Revision)
		c.Assert(batch.Revision, qt.Equals, result.Revision)
		progress := <-batches
		c.Assert(progress, qt.DeepEquals, store.WatchBatch{Revision: result.Revision})
		cancel()
		for range batches { // wait until the channel is closed
		}
	})
}

// Guards against a watch that skips events silently because its revision was
// compacted.
func TestWatchCompacted(t *testing.T) {
	runContract(t, func(c *qt.C, s implementation) {
		ctx, cancel := context.WithCancel(c.Context())
		defer cancel()
		result, err := s.Commit(ctx, putTxn("a", "1"))
		c.Assert(err, qt.IsNil)
		s.compact(result.Revision)
		batches, err := s.Watch(ctx, "", 1)
		c.Assert(err, qt.IsNil)
		c.Assert(nextEvents(c, batches).Err, qt.ErrorIs, store.ErrCompacted)
		_, open := <-batches
		c.Assert(open, qt.IsFalse)
	})
}
