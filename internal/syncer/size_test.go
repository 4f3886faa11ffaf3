package syncer

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http/httptest"
	"net/rpc"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"

	"github.com/monsoonworks/monsoonworks/devel/standin/hostlist"
	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/config"
	"github.com/monsoonworks/monsoonworks/internal/hosts"
	"github.com/monsoonworks/monsoonworks/internal/store"
	"github.com/monsoonworks/monsoonworks/internal/store/memstore"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// writeTargetState writes a configuration and holder records of the target size, the
// size of deployment that must be supported: here 910 workspaces and 400 shards in 5
// regions.
func writeTargetState(c *qt.C, mem *memstore.Store) {
	put := func(key string, value any) {
		encoded, err := json.Marshal(value)
		c.Assert(err, qt.IsNil)
		_, err = mem.Commit(context.Background(), store.Txn{Write: []store.Write{{Key: key, Value: encoded}}})
		c.Assert(err, qt.IsNil)
	}
	for i := range 910 {
		name := fmt.Sprintf("workspace-%03d", i)
		put(config.Key(config.SectionWorkspace, name), config.Workspace{
			Name: name, HomeRegion: "region-1", MaxConcurrent: 100, RequestsPerSecond: 50,
			Models: []string{"model-1", "model-2", "model-3"}, Services: []string{"orders", "letters"},
		})
	}
	for shard := range budget.Shard(400) {
		for region := range 5 {
			put(config.HolderKey(budget.Account{Shard: shard, Region: fmt.Sprint("region-", region)}), config.HolderRecord{
				Epoch: 12, Name: fmt.Sprint("router-", shard), Address: "192.0.2.1:7000", Boot: uuid.New(),
			})
		}
	}
	put(config.HeadKey, config.Head{Number: 1, Change: uuid.New()})
}

// targetHosts returns a host list of the target size: 390 routers and 2,100 agents.
func targetHosts() []hosts.Host {
	var list []hosts.Host
	for i := range 2490 {
		h := hosts.Host{
			Name: fmt.Sprintf("host-%04d", i), Address: fmt.Sprintf("192.0.%d.%d:7000", i/250, i%250),
			Region: fmt.Sprint("region-", i%18/4), Domain: fmt.Sprint("domain-", i%18), Role: wire.RoleAgent, Pool: "pool-1",
		}
		if i < 390 {
			h.Role, h.Pool = wire.RoleRouter, ""
		}
		list = append(list, h)
	}
	return list
}

// Guards against a view that takes more than a quarter of the 32 MB of memory that
// are available for all control functions of a node.
func TestMemoryAtTargetSize(t *testing.T) {
	c := qt.New(t)
	mem := memstore.New(memstore.Options{})
	writeTargetState(c, mem)
	list := targetHosts()
	read, err := mem.List(context.Background(), Prefix)
	c.Assert(err, qt.IsNil)
	entries := make([]wire.SyncEntry, len(read.Entries))
	for _, patterns := range []keyPatterns{nil, {config.Prefix, config.HolderKeyPattern("region-1")}} {
		before := heapBytes()
		s, err := New(Options{
			Self:     hosts.Host{Name: "host-1000", Role: wire.RoleAgent, Region: "region-1", Domain: "domain-4"},
			HostsURL: "http://hosts.invalid", Store: mem, KeyPatterns: patterns, Metrics: metrics.NewRegistry(),
			Logger: slog.New(slog.DiscardHandler),
			Dial:   func(context.Context, string) (RPCClient, error) { return nil, errPeerTimeout },
		})
		c.Assert(err, qt.IsNil)
		for i, e := range read.Entries {
			entries[i] = wire.SyncEntry{Key: string([]byte(e.Key)), Value: append([]byte(nil), e.Value...), ModRevision: e.ModRevision}
		}
		s.mu.Lock()
		s.publish(s.table.applySnapshot(entries, read.Revision), true)
		s.mu.Unlock()
		s.updateHosts(hosts.NewList(hosts.FromWire(hosts.ToWire(list))), time.Now())
		clear(entries)
		used := heapBytes() - before
		c.Logf("key patterns %v: %d keys, %.1f MB", patterns, len(s.table.items), float64(used)/1e6)
		c.Assert(used < 32_000_000/4, qt.IsTrue)
		runtime.KeepAlive(s)
	}
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// Guards against a poll service that does not work over a real session. It logs the
// size of polls including all framing.
func TestPollOverSession(t *testing.T) {
	c := qt.New(t)
	mem := memstore.New(memstore.Options{})
	writeTargetState(c, mem)
	list := hostlist.New(0)
	list.Put(hosts.Host{Name: "distributor", Address: "192.0.2.1:1", Role: wire.RoleRouter, Region: "r", Domain: "d"})
	hostServer := httptest.NewServer(list)
	defer hostServer.Close()
	distributor, err := New(Options{
		Self:  hosts.Host{Name: "distributor", Role: wire.RoleRouter, Region: "r", Domain: "d"},
		Store: mem, HostsURL: hostServer.URL, Metrics: metrics.NewRegistry(),
		Logger: slog.New(slog.DiscardHandler),
		Dial:   func(context.Context, string) (RPCClient, error) { return nil, errPeerTimeout },
	})
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = distributor.Run(ctx) }()
	defer func() { cancel(); <-done }()
	<-distributor.Started()

	session := serveSession(c, distributor)
	defer session.Close()
	measure := func(args wire.SyncPollArgs) (wire.SyncPollReply, int64) {
		var reply wire.SyncPollReply
		received, sent := session.Bytes()
		c.Assert(session.Call(ctx, "Sync.Poll", &args, &reply), qt.IsNil)
		receivedAfter, sentAfter := session.Bytes()
		return reply, receivedAfter - received + sentAfter - sent
	}
	args := wire.SyncPollArgs{}
	for more := true; more; {
		reply, size := measure(args)
		c.Logf("%d entries from revision %d: %d B", len(reply.Entries), args.After, size)
		args.After, args.HostsVersion, more = reply.Revision, reply.HostsVersion, reply.More
	}
	_, empty := measure(args)
	args.MaxWaitMillis, args.Connected = 2000, true
	_, waited := measure(args)
	c.Logf("poll without changes: %d B; with a wait of 2 s: %d B, so %.0f B/s for two distributors and a wait of %v", empty, waited,
		2*(float64(empty)/MaxPollWait.Seconds()+float64(waited-empty)/2), MaxPollWait)
	c.Assert(args.After, qt.Equals, mem.Revision())
	c.Assert(waited < 1000, qt.IsTrue)
}

// BenchmarkIdlePoll measures a poll without changes at a distributor.
func BenchmarkIdlePoll(b *testing.B) {
	s := newTargetSyncer(b)
	args := &wire.SyncPollArgs{After: s.Status().Revision, HostsVersion: s.Hosts().Version}
	b.ReportAllocs()
	for b.Loop() {
		var reply wire.SyncPollReply
		_ = s.PollService().Poll(args, &reply)
	}
}

// BenchmarkChange measures a change of one workspace at a follower.
func BenchmarkChange(b *testing.B) {
	s := newTargetSyncer(b)
	existing := s.table.items[config.Key(config.SectionWorkspace, "workspace-007")]
	head := s.table.items[config.HeadKey]
	revision := s.table.revision
	b.ReportAllocs()
	for b.Loop() {
		revision++
		s.applyEntries(revision-1, &wire.SyncPollReply{Revision: revision, Entries: []wire.SyncEntry{
			{Key: config.Key(config.SectionWorkspace, "workspace-007"), Value: existing.value, ModRevision: revision},
			{Key: config.HeadKey, Value: head.value, ModRevision: revision},
		}})
	}
}

// newTargetSyncer returns a Syncer with a view of the target size.
func newTargetSyncer(b *testing.B) *Syncer {
	mem := memstore.New(memstore.Options{})
	writeTargetState(qt.New(b), mem)
	s, err := New(Options{
		Self:     hosts.Host{Name: "distributor", Role: wire.RoleRouter, Region: "region-1", Domain: "domain-4"},
		HostsURL: "http://hosts.invalid", Store: mem, Metrics: metrics.NewRegistry(),
		Dial:   func(context.Context, string) (RPCClient, error) { return nil, errPeerTimeout },
		Logger: slog.New(slog.DiscardHandler),
	})
	if err == nil {
		err = s.readStore(context.Background())
	}
	if err != nil {
		b.Fatal(err)
	}
	s.updateHosts(hosts.NewList(targetHosts()), time.Now())
	return s
}

func serveSession(c *qt.C, distributor *Syncer) *wire.Session {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	server := rpc.NewServer()
	c.Assert(server.RegisterName("Sync", distributor.PollService()), qt.IsNil)
	accepted := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			_, err = wire.Accept(conn, wire.Options{}, wire.Services{RPC: func(wire.Hello) *rpc.Server { return server }})
		}
		accepted <- err
	}()
	session, err := wire.Dial(context.Background(), listener.Addr().String(), wire.Options{}, wire.Services{})
	c.Assert(err, qt.IsNil)
	c.Assert(<-accepted, qt.IsNil)
	return session
}
