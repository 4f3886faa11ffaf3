package route

import (
	"context"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"

	"github.com/monsoonworks/monsoonworks/internal/hosts"
	"github.com/monsoonworks/monsoonworks/internal/wire"
	"github.com/monsoonworks/monsoonworks/internal/wire/wiretest"
)

// testFleet is a Fleet of stub agents whose probe replies the test sets.
type testFleet struct {
	network *wiretest.Network
	pool    *wire.Pool
	router  *Router

	mu                 sync.Mutex
	hosts              []hosts.Host
	changed            chan struct{}
	replies            map[string]wire.ProbeReply
	slowProbes         map[string]bool // servers that delay probe replies by 1 s
	linkBytesPerSecond int64
}

// newFleet starts a router with the given numbers of servers in its region and in
// another one.
func newFleet(t *testing.T, local, remote int) *testFleet {
	f := &testFleet{
		network: wiretest.NewNetwork(), changed: make(chan struct{}),
		replies: map[string]wire.ProbeReply{}, slowProbes: map[string]bool{},
	}
	for i := range local + remote {
		host := hosts.Host{Name: fmt.Sprintf("s%d", i), Address: fmt.Sprintf("s%d", i), Region: "north", Pool: "large"}
		if i >= local {
			host.Region = "south"
		}
		f.hosts = append(f.hosts, host)
		f.replies[host.Name] = wire.ProbeReply{FirstTokenMillis: 50, Serves: true, Load: wire.Load{Slots: 8}}
		f.listen(host.Name)
	}
	f.pool = wire.NewPoolWithDialer(func(ctx context.Context, address string) (*wire.Session, error) {
		conn, err := f.network.Dial(address)
		if err != nil {
			return nil, err
		}
		return wire.Connect(ctx, conn, wire.Options{Hello: wire.Hello{Name: "r1"}}, wire.Services{})
	})
	f.router = New(Options{
		Region: "north", Fleet: f, Sessions: f.pool, Metrics: metrics.NewRegistry(),
		LinkBytesPerSecond: func() int64 { return f.linkBytesPerSecond },
	})
	ctx, cancel := context.WithCancel(t.Context())
	go f.router.Run(ctx)
	t.Cleanup(func() {
		cancel()
		f.pool.Close()
		time.Sleep(2 * wire.IdleTimeout) // virtual time; ends unresponsive sessions
	})
	time.Sleep(time.Second) // until the sessions are open
	return f
}

func (f *testFleet) listen(name string) {
	boot := uuid.Must(uuid.NewV7())
	server := rpc.NewServer()
	if err := server.RegisterName("Agent", &agentStub{f, name}); err != nil {
		panic(err)
	}
	f.network.Listen(name, func(conn net.Conn) {
		_, _ = wire.Accept(conn, wire.Options{Hello: wire.Hello{Name: name, Boot: boot}},
			wire.Services{RPC: func(wire.Hello) *rpc.Server { return server }})
	})
}

type agentStub struct {
	f    *testFleet
	name string
}

func (a *agentStub) Probe(_ *wire.ProbeArgs, reply *wire.ProbeReply) error {
	a.f.mu.Lock()
	probeReply, slow := a.f.replies[a.name], a.f.slowProbes[a.name]
	a.f.mu.Unlock()
	if slow {
		time.Sleep(time.Second)
	}
	*reply = probeReply
	return nil
}

func (f *testFleet) setReply(name string, change func(*wire.ProbeReply)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	reply := f.replies[name]
	change(&reply)
	f.replies[name] = reply
}

func (f *testFleet) Servers(wire.TargetKind, string) []hosts.Host { return f.All() }

func (f *testFleet) All() []hosts.Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]hosts.Host(nil), f.hosts...)
}

func (f *testFleet) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

func (f *testFleet) update(do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do()
	close(f.changed)
	f.changed = make(chan struct{})
}

// choose chooses n times and returns how often each server was chosen.
func (f *testFleet) choose(t *testing.T, n int, q Query, res Result) map[string]int {
	t.Helper()
	chosen := map[string]int{}
	for range n {
		time.Sleep(10 * time.Millisecond)
		choice, err := f.router.Choose(t.Context(), q)
		if err != nil {
			t.Fatal(err)
		}
		chosen[choice.Server.Name]++
		choice.Done(res)
	}
	return chosen
}
