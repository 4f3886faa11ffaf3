package etcdgw

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonworks/monsoonworks/devel/standin/faultstore"
	"github.com/monsoonworks/monsoonworks/devel/standin/pipenet"
	"github.com/monsoonworks/monsoonworks/devel/standin/storeserver"
	"github.com/monsoonworks/monsoonworks/internal/store"
	"github.com/monsoonworks/monsoonworks/internal/store/memstore"
)

// fixture is a client connected to a stand-in for the service, in virtual time.
type fixture struct {
	*qt.C
	client  *Client
	server  *storeserver.Server
	network *pipenet.Network
}

func runWithFixture(t *testing.T, opts Options, handler http.Handler, test func(f fixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := fixture{C: qt.New(t), network: pipenet.New(), server: storeserver.New(memstore.New(memstore.Options{}))}
		if handler == nil {
			handler = f.server
		}
		server := &http.Server{Handler: handler}
		go func() { _ = server.Serve(f.network) }()
		defer func() { _ = server.Close() }()
		transport := &http.Transport{DialContext: f.network.DialContext, MaxIdleConnsPerHost: maxIdleConnsPerEndpoint}
		opts.Transport = transport
		if opts.Endpoints == nil {
			opts.Endpoints = []string{"http://store.invalid"}
		}
		client, err := New(opts)
		f.Assert(err, qt.IsNil)
		f.client = client
		defer client.Close()
		test(f)
	})
}

func putTxn(key, value string) store.Txn {
	return store.Txn{Write: []store.Write{{Key: key, Value: []byte(value)}}}
}

// Guards against a refused connection that is reported as ErrUnknownOutcome, which would
// make callers read keys back in every outage of the store.
func TestRefusedConnection(t *testing.T) {
	runWithFixture(t, Options{}, nil, func(f fixture) {
		f.network.Refuse(true)
		_, err := f.client.Commit(f.Context(), putTxn("a", "1"))
		f.Assert(err, qt.ErrorIs, store.ErrUnavailable)
		_, err = f.client.Grant(f.Context(), time.Second)
		f.Assert(err, qt.ErrorIs, store.ErrUnavailable)
	})
}

// Guards against ErrUnavailable for a write that may still be applied. The gateway sends
// status 503 both for such a write and for a rejected one; only the message differs.
func TestOutcomeOfStatus503(t *testing.T) {
	for message, want := range map[string]error{
		"etcdserver: no leader":         store.ErrUnavailable,
		"etcdserver: request timed out": store.ErrUnknownOutcome,
		"etcdserver: leader changed":    store.ErrUnknownOutcome,
		"":                              store.ErrUnknownOutcome,
	} {
		handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = fmt.Fprintf(w, `{"code":14,"message":%q}`, message)
		})
		runWithFixture(t, Options{}, handler, func(f fixture) {
			_, err := f.client.Commit(f.Context(), putTxn("a", "1"))
			f.Assert(err, qt.ErrorIs, want, qt.Commentf("message %q", message))
		})
	}
}

// Guards against unresponsive pooled connections: a write on one must return
// ErrUnknownOutcome, and later calls must use new connections.
func TestUnresponsiveConnection(t *testing.T) {
	runWithFixture(t, Options{}, nil, func(f fixture) {
		_, err := f.client.Commit(f.Context(), putTxn("a", "1"))
		f.Assert(err, qt.IsNil)
		f.network.Freeze()
		_, err = f.client.Commit(f.Context(), putTxn("a", "2"))
		f.Assert(err, qt.ErrorIs, store.ErrUnknownOutcome)
		f.network.Freeze()
		entry, err := f.client.Get(f.Context(), "a")
		f.Assert(err, qt.IsNil)
		f.Assert(string(entry.Value), qt.Equals, "2")
	})
}

// Guards against a client that does not fail over to the next endpoint.
func TestEndpointFailover(t *testing.T) {
	inner := storeserver.New(memstore.New(memstore.Options{}))
	handler := http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.Host == "bad.invalid" {
			panic(http.ErrAbortHandler)
		}
		inner.ServeHTTP(w, req)
	})
	opts := Options{Endpoints: []string{"http://bad.invalid", "http://good.invalid"}}
	runWithFixture(t, opts, handler, func(f fixture) {
		_, err := f.client.Get(f.Context(), "a")
		f.Assert(err, qt.IsNil)
		_, err = f.client.Commit(f.Context(), putTxn("a", "1"))
		f.Assert(err, qt.IsNil)
	})
}

// Guards against a response that exhausts the client's memory: a List must use smaller
// pages, and a Get must fail.
func TestResponseLimit(t *testing.T) {
	runWithFixture(t, Options{MaxResponseBytes: 4 << 10}, nil, func(f fixture) {
		for i := range 40 {
			_, err := f.client.Commit(f.Context(), putTxn(fmt.Sprintf("k%02d", i), string(make([]byte, 200))))
			f.Assert(err, qt.IsNil)
		}
		snapshot, err := f.client.List(f.Context(), "k")
		f.Assert(err, qt.IsNil)
		f.Assert(snapshot.Entries, qt.HasLen, 40)
		_, err = f.client.Commit(f.Context(), putTxn("large", string(make([]byte, 8<<10))))
		f.Assert(err, qt.IsNil)
		_, err = f.client.Get(f.Context(), "large")
		f.Assert(err, qt.ErrorIs, errResponseTooLarge)
	})
}

// Guards against missing and duplicated events when a watch's connection is closed,
// becomes unresponsive or is refused at random times, and against a re-established watch
// that is not counted as a call.
func TestWatchResumes(t *testing.T) {
	const seed, writes = 7, 300
	runWithFixture(t, Options{}, nil, func(f fixture) {
		ctx, cancel := context.WithCancel(f.Context())
		defer cancel()
		batches, err := f.client.Watch(ctx, "w/", 1)
		f.Assert(err, qt.IsNil)
		go f.writeUnderFaults(seed, writes)
		last := int64(1)
		for seen := 0; seen < writes; {
			batch, open := <-batches
			f.Assert(open, qt.IsTrue)
			f.Assert(batch.Err, qt.IsNil)
			for _, e := range batch.Events {
				f.Assert(e.ModRevision > last, qt.IsTrue)
				f.Assert(string(e.Value), qt.Equals, fmt.Sprint(seen), qt.Commentf("seed %d", seed))
				last = e.ModRevision
				seen++
			}
		}
		f.Assert(f.server.Controls.Counts()[faultstore.Watch] > 2, qt.IsTrue)
	})
}

// writeUnderFaults writes the numbers 0 to writes-1 to one key and injects a random fault
// after about 15% of the writes.
func (f fixture) writeUnderFaults(seed uint64, writes int) {
	random := rand.New(rand.NewPCG(seed, seed))
	for i := range writes {
		_, err := f.server.Store.Commit(context.Background(), putTxn("w/k", fmt.Sprint(i)))
		f.Check(err, qt.IsNil)
		switch random.IntN(20) {
		case 0:
			f.server.AbortWatches()
		case 1:
			f.network.Freeze()
		case 2:
			f.network.Refuse(true)
			time.Sleep(time.Second)
			f.network.Refuse(false)
		}
		time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
	}
}

// Guards against a watch that waits forever on an unresponsive connection while new
// connections work.
func TestIdleWatchIsReestablished(t *testing.T) {
	runWithFixture(t, Options{}, nil, func(f fixture) {
		ctx, cancel := context.WithCancel(f.Context())
		defer cancel()
		batches, err := f.client.Watch(ctx, "w/", 1)
		f.Assert(err, qt.IsNil)
		<-batches // a progress notification
		f.network.Freeze()
		start := time.Now()
		_, err = f.server.Store.Commit(ctx, putTxn("w/k", "1"))
		f.Assert(err, qt.IsNil)
		for batch := range batches {
			if len(batch.Events) > 0 {
				break
			}
		}
		f.Assert(time.Since(start) <= DefaultWatchIdleTimeout+time.Second, qt.IsTrue)
		f.Assert(f.server.Controls.Counts()[faultstore.Watch], qt.Equals, int64(2))
	})
}
