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

// rig is a client and a stand-in server in virtual time.
type rig struct {
	*qt.C
	client  *Client
	server  *storeserver.Server
	network *pipenet.Network
}

func withRig(t *testing.T, opts Options, handler http.Handler, test func(r rig)) {
	synctest.Test(t, func(t *testing.T) {
		r := rig{C: qt.New(t), network: pipenet.New(), server: storeserver.New(memstore.New(memstore.Options{}))}
		if handler == nil {
			handler = r.server
		}
		server := &http.Server{Handler: handler}
		go func() { _ = server.Serve(r.network) }()
		defer func() { _ = server.Close() }()
		transport := &http.Transport{DialContext: r.network.DialContext, MaxIdleConnsPerHost: idleConns}
		opts.Transport = transport
		if opts.Endpoints == nil {
			opts.Endpoints = []string{"http://store.invalid"}
		}
		client, err := New(opts)
		r.Assert(err, qt.IsNil)
		r.client = client
		defer client.Close()
		test(r)
	})
}

func write(key, value string) store.Txn {
	return store.Txn{Write: []store.Write{{Key: key, Value: []byte(value)}}}
}

// Guards against a refused connection that is reported as an unknown outcome,
// which would make every outage of the store a read-back.
func TestRefusedConnection(t *testing.T) {
	withRig(t, Options{}, nil, func(r rig) {
		r.network.Refuse(true)
		_, err := r.client.Commit(r.Context(), write("a", "1"))
		r.Assert(err, qt.ErrorIs, store.ErrUnavailable)
		_, err = r.client.Grant(r.Context(), time.Second)
		r.Assert(err, qt.ErrorIs, store.ErrUnavailable)
	})
}

// Guards against a 503 that leaves the outcome open being reported as without
// effect: the gateway uses this status for both.
func TestUnavailableStatusIsNotAlwaysARefusal(t *testing.T) {
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
		withRig(t, Options{}, handler, func(r rig) {
			_, err := r.client.Commit(r.Context(), write("a", "1"))
			r.Assert(err, qt.ErrorIs, want, qt.Commentf("message %q", message))
		})
	}
}

// Guards against pooled connections that went silent: a write must not claim to
// know its outcome, and later calls must use new connections.
func TestSilentConnection(t *testing.T) {
	withRig(t, Options{}, nil, func(r rig) {
		_, err := r.client.Commit(r.Context(), write("a", "1"))
		r.Assert(err, qt.IsNil)
		r.network.Silence()
		_, err = r.client.Commit(r.Context(), write("a", "2"))
		r.Assert(err, qt.ErrorIs, store.ErrUnknownOutcome)
		r.network.Silence()
		entry, err := r.client.Get(r.Context(), "a")
		r.Assert(err, qt.IsNil)
		r.Assert(string(entry.Value), qt.Equals, "2")
	})
}

// Guards against a call that stays at an endpoint that fails.
func TestNextEndpoint(t *testing.T) {
	inner := storeserver.New(memstore.New(memstore.Options{}))
	handler := http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.Host == "bad.invalid" {
			panic(http.ErrAbortHandler)
		}
		inner.ServeHTTP(w, req)
	})
	opts := Options{Endpoints: []string{"http://bad.invalid", "http://good.invalid"}}
	withRig(t, opts, handler, func(r rig) {
		_, err := r.client.Get(r.Context(), "a")
		r.Assert(err, qt.IsNil)
		_, err = r.client.Commit(r.Context(), write("a", "1"))
		r.Assert(err, qt.IsNil)
	})
}

// Guards against an answer that fills the client's memory.
func TestResponseLimit(t *testing.T) {
	withRig(t, Options{MaxResponseBytes: 4 << 10}, nil, func(r rig) {
		for i := range 40 {
			_, err := r.client.Commit(r.Context(), write(fmt.Sprintf("k%02d", i), string(make([]byte, 200))))
			r.Assert(err, qt.IsNil)
		}
		snapshot, err := r.client.List(r.Context(), "k")
		r.Assert(err, qt.IsNil)
		r.Assert(snapshot.Entries, qt.HasLen, 40)
		_, err = r.client.Commit(r.Context(), write("large", string(make([]byte, 8<<10))))
		r.Assert(err, qt.IsNil)
		_, err = r.client.Get(r.Context(), "large")
		r.Assert(err, qt.ErrorIs, errResponseTooLarge)
	})
}

// Guards against gaps and repeated events when a watch's connection is cut, goes
// silent or is refused at random moments, and against a watch that is not
// counted again when it is made again.
func TestWatchResumes(t *testing.T) {
	const seed, writes = 7, 300
	withRig(t, Options{}, nil, func(r rig) {
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		batches, err := r.client.Watch(ctx, "w/", 1)
		r.Assert(err, qt.IsNil)
		go r.disturb(seed, writes)
		last := int64(1)
		for seen := 0; seen < writes; {
			batch, open := <-batches
			r.Assert(open, qt.IsTrue)
			r.Assert(batch.Err, qt.IsNil)
			for _, e := range batch.Events {
				r.Assert(e.ModRevision > last, qt.IsTrue)
				r.Assert(string(e.Value), qt.Equals, fmt.Sprint(seen), qt.Commentf("seed %d", seed))
				last = e.ModRevision
				seen++
			}
		}
		r.Assert(r.server.Controls.Counts()[faultstore.Watch] > 2, qt.IsTrue)
	})
}

func (r rig) disturb(seed uint64, writes int) {
	random := rand.New(rand.NewPCG(seed, seed))
	for i := range writes {
		_, err := r.server.Store.Commit(context.Background(), write("w/k", fmt.Sprint(i)))
		r.Check(err, qt.IsNil)
		switch random.IntN(20) {
		case 0:
			r.server.CutWatches()
		case 1:
			r.network.Silence()
		case 2:
			r.network.Refuse(true)
			time.Sleep(time.Second)
			r.network.Refuse(false)
		}
		time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
	}
}

// Guards against a watch that waits for ever on a connection that went silent
// while new connections work.
func TestSilentWatchIsMadeAgain(t *testing.T) {
	withRig(t, Options{}, nil, func(r rig) {
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		batches, err := r.client.Watch(ctx, "w/", 1)
		r.Assert(err, qt.IsNil)
		<-batches // a progress notice
		r.network.Silence()
		start := time.Now()
		_, err = r.server.Store.Commit(ctx, write("w/k", "1"))
		r.Assert(err, qt.IsNil)
		for batch := range batches {
			if len(batch.Events) > 0 {
				break
			}
		}
		r.Assert(time.Since(start) <= DefaultWatchIdleTimeout+time.Second, qt.IsTrue)
		r.Assert(r.server.Controls.Counts()[faultstore.Watch], qt.Equals, int64(2))
	})
}
