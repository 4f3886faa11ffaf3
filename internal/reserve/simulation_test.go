package reserve

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/rpc"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/monsoonworks/monsoonworks/devel/standin/hostclock"
	"github.com/monsoonworks/monsoonworks/internal/prepaid"
	"github.com/monsoonworks/monsoonworks/internal/rendezvous"
	"github.com/monsoonworks/monsoonworks/internal/store/lossystore"
	"github.com/monsoonworks/monsoonworks/internal/store/memstore"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
)

var discardLogger = slog.New(slog.NewTextHandler(io.Discard, nil))

// testHost is the host of a gate or of a quota server. It runs one process at a time.
type testHost struct {
	name    string
	clock   *hostclock.Clock
	store   *lossystore.Store
	manager *prepaid.Manager
	starts  int
	stop    context.CancelFunc
}

func (h *testHost) startManager(t *testing.T) context.Context {
	h.starts++
	ctx, cancel := context.WithCancel(t.Context())
	h.stop = cancel
	manager := prepaid.NewManager(prepaid.Options{
		Owner: prepaid.OwnerName(h.name, fmt.Sprint(h.starts)), Prefix: "a/", Clock: h.clock, Store: h.store,
		Policy: prepaid.DefaultPolicy(), Log: discardLogger, Metrics: metrics.NewRegistry(),
	})
	h.manager = manager
	go func() { _ = manager.Run(ctx) }()
	return ctx
}

// quotaServer is a host that runs a quota server. Its connections are pipes.
type quotaServer struct {
	testHost
	server    *Server
	rpcServer *rpc.Server

	mu    sync.Mutex
	conns []net.Conn
	// An unresponsive server accepts connections and never replies. One that is down
	// refuses connections.
	unresponsive, down bool
}

func (s *quotaServer) start(t *testing.T) {
	ctx := s.startManager(t)
	server, rpcServer := NewServer(ctx, s.manager, metrics.NewRegistry(), discardLogger), rpc.NewServer()
	if err := rpcServer.RegisterName(ServiceName, server); err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Run(ctx) }()
	s.mu.Lock()
	s.server, s.rpcServer, s.down = server, rpcServer, false
	s.mu.Unlock()
}

// kill stops the process and closes its connections.
func (s *quotaServer) kill() {
	s.stop()
	s.mu.Lock()
	s.down = true
	s.mu.Unlock()
	s.resetConns()
}

// resetConns closes all connections.
func (s *quotaServer) resetConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.conns {
		_ = conn.Close()
	}
	s.conns = nil
}

func (s *quotaServer) setUnresponsive(unresponsive bool) {
	s.mu.Lock()
	s.unresponsive = unresponsive
	s.mu.Unlock()
	s.resetConns()
}

func (s *quotaServer) connect() (net.Conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, syscall.ECONNREFUSED
	}
	local, remote := net.Pipe()
	s.conns = append(s.conns, remote)
	if s.unresponsive {
		go func() { _, _ = io.Copy(io.Discard, remote) }() // ends with the connection
	} else {
		go s.rpcServer.ServeConn(remote)
	}
	return local, nil
}

// gate is a host that runs a gate's client.
type gate struct {
	testHost
	client *Client
}

func (g *gate) start(t *testing.T, s *simulation) {
	ctx := g.startManager(t)
	client := NewClient(Options{
		Gate: g.manager.Owner(), QuotaServers: s.addresses, Workspaces: func() int { return 1 }, Dial: s.dial, Fallback: g.manager, Log: discardLogger, Metrics: metrics.NewRegistry(),
	})
	g.client = client
	go func() { _ = client.Run(ctx) }()
}

// simulation is a deployment with one workspace. It counts what the requests consume.
type simulation struct {
	t       *testing.T
	random  *rand.Rand
	gates   []*gate
	servers []*quotaServer
	// bareHosts is the number of hosts on which no quota server runs.
	bareHosts int

	mu           sync.Mutex
	paid         prepaid.Tokens
	version      int64
	consumed     prepaid.Tokens
	refused      int
	disconnected int           // callers that disconnected during Client.Reserve
	slowest      time.Duration // longest call of Client.Reserve
}

func newSimulation(t *testing.T, seed uint64, gates, servers int, paid prepaid.Tokens) *simulation {
	s := &simulation{t: t, random: rand.New(rand.NewPCG(seed, 1)), paid: paid}
	mem := memstore.New(memstore.Options{})
	newHost := func(name string, i int) testHost {
		return testHost{
			name: name, clock: &hostclock.Clock{Boot: "b", Start: time.Now().Add(-time.Hour)},
			store: lossystore.New(mem, seed, uint64(i)+2),
		}
	}
	for i := range servers {
		server := &quotaServer{testHost: newHost(fmt.Sprintf("h%d", i), i)}
		s.servers = append(s.servers, server)
		server.start(t)
	}
	for i := range gates {
		g := &gate{testHost: newHost(fmt.Sprintf("g%d", i), servers+i)}
		s.gates = append(s.gates, g)
		g.start(t, s)
	}
	return s
}

func (s *simulation) addresses() []string {
	addresses := make([]string, len(s.servers))
	for i, server := range s.servers {
		addresses[i] = server.name
	}
	for i := range s.bareHosts {
		addresses = append(addresses, fmt.Sprint("bare", i))
	}
	return addresses
}

func (s *simulation) dial(_ context.Context, _, address string) (net.Conn, error) {
	for _, server := range s.servers {
		if server.name == address {
			return server.connect()
		}
	}
	return nil, syscall.ECONNREFUSED
}

// firstServer returns the quota server of the workspace's group.
func (s *simulation) firstServer() *quotaServer { return s.rankedServers()[0] }

// rankedServers returns the quota servers in the ranking of the workspace's group.
func (s *simulation) rankedServers() (ranked []*quotaServer) {
	for _, name := range rendezvous.Rank(workspaceGroup("ws", 1), s.addresses(), len(s.servers)) {
		for _, server := range s.servers {
			if server.name == name {
				ranked = append(ranked, server)
			}
		}
	}
	return ranked
}

func (s *simulation) reservationRequest(bound prepaid.Tokens) prepaid.ReservationRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return prepaid.ReservationRequest{Workspace: "ws", Paid: s.paid, Version: s.version, Bound: bound}
}

func (s *simulation) topUp(tokens prepaid.Tokens) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.paid += tokens
	s.version++
}

// totals returns the consumed tokens, the number of refused requests, and the duration of the
// longest call of Client.Reserve.
func (s *simulation) totals() (consumed prepaid.Tokens, refused int, slowest time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.consumed, s.refused, s.slowest
}

func (s *simulation) deliver(tokens prepaid.Tokens) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.consumed += tokens
	if s.consumed > s.paid {
		s.t.Errorf("%d tokens consumed of %d paid", s.consumed, s.paid)
	}
}

// request makes a request at a random gate. Its tokens count as delivered even if the gate or
// the quota server is killed meanwhile, because the caller already has them. One caller in 20
// disconnects within 30 ms.
func (s *simulation) request() {
	client := s.gates[s.random.IntN(len(s.gates))].client
	bound := prepaid.Tokens(500 + s.random.IntN(6000))
	used := bound * prepaid.Tokens(30+s.random.IntN(71)) / 100
	duration := time.Duration(s.random.IntN(400)) * time.Millisecond
	ctx, cancel := context.WithCancel(s.t.Context())
	if s.random.IntN(20) == 0 {
		ctx, cancel = context.WithTimeout(s.t.Context(), time.Duration(s.random.IntN(30))*time.Millisecond)
	}
	go func() {
		defer cancel()
		start := time.Now()
		r, err := client.Reserve(ctx, s.reservationRequest(bound))
		s.mu.Lock()
		s.slowest = max(s.slowest, time.Since(start))
		if err != nil && verdict.CodeOf(err) == verdict.CodeCanceled {
			s.disconnected++
		} else if err != nil {
			s.refused++
		}
		s.mu.Unlock()
		if err != nil {
			return
		}
		s.deliver(used)
		time.Sleep(duration)
		r.Settle(used)
		r.Settle(used) // has no effect
	}()
}

func (s *simulation) stopAll() {
	for _, g := range s.gates {
		g.stop()
	}
	for _, server := range s.servers {
		server.kill()
	}
	time.Sleep(4 * time.Second)
}
