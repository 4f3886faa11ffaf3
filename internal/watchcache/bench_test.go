package watchcache

import (
	"fmt"
	"net"
	"net/rpc"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"github.com/monsoonworks/monsoonworks/devel/standin/hostclock"
	"github.com/monsoonworks/monsoonworks/internal/store"
	"github.com/monsoonworks/monsoonworks/internal/store/memstore"
)

// BenchmarkNext measures a call that returns one change of 500 bytes, over loopback and on both
// sides.
func BenchmarkNext(b *testing.B) {
	c := qt.New(b)
	mem := memstore.New(memstore.Options{ProgressInterval: time.Hour})
	put := func(key string) {
		_, err := mem.Commit(b.Context(), store.Txn{Write: []store.Write{{Key: testPrefix + key, Value: make([]byte, 500)}}})
		c.Assert(err, qt.IsNil)
	}
	put("a")
	server := NewServer(b.Context(), ServerOptions{
		Prefixes: []string{testPrefix}, Store: &link{Store: mem, wait: PollWait},
		Clock: &hostclock.Clock{Boot: "b", Start: time.Now()}, Log: discardLogger, Metrics: metrics.NewRegistry(),
	})
	go func() { _ = server.Run(b.Context()) }()
	rpcServer := rpc.NewServer()
	c.Assert(rpcServer.RegisterName(ServiceName, server), qt.IsNil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	go rpcServer.Accept(listener)
	client, err := rpc.Dial("tcp", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	next := func(gate string, revision int64) NextReply {
		var reply NextReply
		c.Assert(client.Call(ServiceName+".Next", &NextArgs{Gate: gate, Prefix: testPrefix, Revision: revision}, &reply), qt.IsNil)
		return reply
	}
	for i := range minGates {
		next(fmt.Sprint("gate-", i), mem.Revision())
	}
	revision := mem.Revision()
	put("b")
	for b.Loop() {
		c.Assert(next("gate-0", revision).Events, qt.HasLen, 1)
	}
}
