package watchcache

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/rpc"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"github.com/monsoonworks/monsoonworks/devel/standin/hostclock"
	"github.com/monsoonworks/monsoonworks/internal/mirror"
	"github.com/monsoonworks/monsoonworks/internal/store"
	"github.com/monsoonworks/monsoonworks/internal/store/memstore"
)

const (
	testPrefix = "p/"
	testKey    = "p/config"
	// maxDelay is the shortest time within which a deployment wants a configuration in force.
	maxDelay = 2500 * time.Millisecond
	// contactTime is how long a gate must have been without faults of its own to be held to
	// maxDelay.
	contactTime = 4 * time.Second
	// silentTime is how long a call to a silent store takes beyond its wait.
	silentTime = 800 * time.Millisecond
)

var discardLogger = slog.New(slog.NewTextHandler(io.Discard, nil))

// link is one process's path to the store. It counts calls.
type link struct {
	*memstore.Store
	wait time.Duration // of a long poll

	mu             sync.Mutex
	silent, refuse bool
	calls          int
	faultyAt       time.Time // last time that the link was faulty
}

func (l *link) set(silent, refuse bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.silent || l.refuse || silent || refuse {
		l.faultyAt = time.Now()
	}
	l.silent, l.refuse = silent, refuse
}

// soundFor reports whether the link has had no fault for a time.
func (l *link) soundFor(d time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.silent && !l.refuse && (l.faultyAt.IsZero() || time.Since(l.faultyAt) > d)
}

// enter counts a call and returns the error of a link that refuses. A call over a silent link
// takes its whole wait.
func (l *link) enter(wait time.Duration) error {
	l.mu.Lock()
	l.calls++
	silent, refuse := l.silent, l.refuse
	l.mu.Unlock()
	if silent {
		time.Sleep(wait + silentTime)
	}
	if silent || refuse {
		return store.ErrUnavailable
	}
	time.Sleep(5 * time.Millisecond)
	return nil
}

func (l *link) List(ctx context.Context, prefix string) (store.Snapshot, error) {
	if err := l.enter(0); err != nil {
		return store.Snapshot{}, err
	}
	return l.Store.List(ctx, prefix)
}

func (l *link) Next(ctx context.Context, prefix string, revision int64) store.WatchBatch {
	started := time.Now()
	if err := l.enter(l.wait); err != nil {
		return store.WatchBatch{Err: err}
	}
	pollCtx, cancel := context.WithTimeout(ctx, l.wait)
	defer cancel()
	batches, err := l.Store.Watch(pollCtx, prefix, revision)
	if err != nil {
		return store.WatchBatch{Err: err}
	}
	batch := <-batches
	l.mu.Lock()
	silent := l.silent
	l.mu.Unlock()
	if silent {
		time.Sleep(time.Until(started.Add(l.wait + silentTime)))
		return store.WatchBatch{Err: store.ErrUnavailable}
	}
	batch.Revision = max(batch.Revision, revision)
	return batch
}

// testServer is a host that runs a Server. Its connections are pipes.
type testServer struct {
	link *link

	mu    sync.Mutex
	stop  context.CancelFunc
	rpc   *rpc.Server
	conns []net.Conn
	// A frozen server accepts connections and never replies. One that is down refuses them.
	frozen, down bool
}

func (s *testServer) start(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	server := NewServer(ctx, ServerOptions{
		Prefixes: []string{testPrefix}, Store: s.link, Clock: &hostclock.Clock{Boot: "b", Start: time.Now().Add(-time.Hour)}, Log: discardLogger, Metrics: metrics.NewRegistry(),
	})
	rpcServer := rpc.NewServer()
	if err := rpcServer.RegisterName(ServiceName, server); err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Run(ctx) }()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stop, s.rpc, s.down = cancel, rpcServer, false
}

func (s *testServer) kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stop()
	s.down = true
	for _, conn := range s.conns {
		_ = conn.Close()
	}
	s.conns = nil
}

func (s *testServer) setFrozen(frozen bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen = frozen
}

func (s *testServer) isFrozen() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.frozen
}

// serverConn loses what a frozen server writes.
type serverConn struct {
	net.Conn
	server *testServer
}

func (c serverConn) Write(p []byte) (int, error) {
	if c.server.isFrozen() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (s *testServer) connect() (net.Conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, syscall.ECONNREFUSED
	}
	local, remote := net.Pipe()
	s.conns = append(s.conns, remote)
	go s.rpc.ServeConn(serverConn{remote, s})
	return local, nil
}

// testGate is a gate that mirrors the prefix.
type testGate struct {
	link   *link
	client *Client
	mirror *mirror.Mirror

	mu      sync.Mutex
	version int
	counts  []int // the numbers of gates that servers reported
}

// takeCounts returns the numbers of gates reported since the last call.
func (g *testGate) takeCounts() []int {
	g.mu.Lock()
	defer g.mu.Unlock()
	counts := g.counts
	g.counts = nil
	return counts
}

func (g *testGate) currentVersion() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.version
}

// domain is a failure domain with servers and gates.
type domain struct {
	t       *testing.T
	random  *rand.Rand
	mem     *memstore.Store
	servers []*testServer
	gates   []*testGate
	version int
	// bareHosts is the number of hosts on which no server runs.
	bareHosts int
}

func newDomain(t *testing.T, seed uint64, servers, bareHosts, gates int) *domain {
	d := &domain{t: t, bareHosts: bareHosts, random: rand.New(rand.NewPCG(seed, 1)), mem: memstore.New(memstore.Options{ProgressInterval: time.Hour})}
	for range servers {
		s := &testServer{link: &link{Store: d.mem, wait: PollWait}}
		s.start(t)
		d.servers = append(d.servers, s)
	}
	d.put()
	for i := range gates {
		d.startGate(fmt.Sprint("gate-", i))
	}
	t.Cleanup(func() {
		for _, s := range d.servers {
			s.kill()
		}
		time.Sleep(10 * time.Second)
	})
	return d
}

func (d *domain) startGate(name string) {
	g := &testGate{link: &link{Store: d.mem, wait: 3 * time.Second}}
	g.client = NewClient(ClientOptions{
		Gate: name, Domain: "d", Servers: d.addresses, Direct: g.link, Dial: d.dial, Log: discardLogger, Metrics: metrics.NewRegistry(),
		OnGates: func(gates int) {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.counts = append(g.counts, gates)
		},
	})
	g.mirror = mirror.New(mirror.Options{Prefix: testPrefix, Store: g.client, Log: discardLogger, OnChange: func(s mirror.State) {
		version, err := strconv.Atoi(string(s.Entries[testKey].Value))
		g.mu.Lock()
		defer g.mu.Unlock()
		if err != nil || version < g.version {
			d.t.Errorf("%s went from version %d back to %q", name, g.version, s.Entries[testKey].Value)
		}
		g.version = version
	}})
	d.gates = append(d.gates, g)
	ctx, cancel := context.WithCancel(d.t.Context())
	go func() { _ = g.mirror.Run(ctx) }()
	d.t.Cleanup(cancel)
}

func (d *domain) addresses() []string {
	addresses := make([]string, len(d.servers)+d.bareHosts)
	for i := range addresses {
		addresses[i] = strconv.Itoa(i)
	}
	return addresses
}

func (d *domain) dial(_ context.Context, _, address string) (net.Conn, error) {
	i, err := strconv.Atoi(address)
	if err != nil {
		return nil, err
	}
	if i >= len(d.servers) {
		return nil, syscall.ECONNREFUSED
	}
	return d.servers[i].connect()
}

// put writes the next version.
func (d *domain) put() {
	d.version++
	_, err := d.mem.Commit(d.t.Context(), store.Txn{Write: []store.Write{{Key: testKey, Value: []byte(strconv.Itoa(d.version))}}})
	if err != nil {
		d.t.Fatal(err)
	}
}

// calls returns the number of calls to the store.
func (d *domain) calls() int {
	total := 0
	count := func(l *link) {
		l.mu.Lock()
		defer l.mu.Unlock()
		total += l.calls
	}
	for _, s := range d.servers {
		count(s.link)
	}
	for _, g := range d.gates {
		count(g.link)
	}
	return total
}

// checkDelay checks that each gate in contact with the store has had a version for long enough.
func (d *domain) checkDelay(version int) {
	for i, g := range d.gates {
		if g.link.soundFor(contactTime) && g.currentVersion() < version {
			d.t.Errorf("gate %d has version %d after %v, not %d", i, g.currentVersion(), maxDelay, version)
		}
	}
}

// injectFault injects a random fault, or ends one.
func (d *domain) injectFault() {
	s := d.servers[d.random.IntN(len(d.servers))]
	g := d.gates[d.random.IntN(len(d.gates))]
	switch d.random.IntN(9) {
	case 0:
		s.kill()
		time.Sleep(time.Duration(d.random.IntN(800)) * time.Millisecond)
		s.start(d.t)
	case 1:
		s.setFrozen(true)
	case 2:
		s.setFrozen(false)
	case 3:
		s.link.set(true, false)
	case 4:
		s.link.set(false, true)
	case 5:
		s.link.set(false, false)
	case 6:
		g.link.set(true, false)
	case 7:
		g.link.set(false, false)
	case 8:
		d.mem.Compact(d.mem.Revision())
	}
}

// Whatever happens to the servers, each gate in contact with the store must have a change within
// maxDelay and must never go back.
func TestFaultsOfServers(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDomain(t, seed, 3, 0, 6)
				time.Sleep(contactTime)
				for range 40 {
					d.put()
					version, at := d.version, time.Now()
					for range d.random.IntN(3) {
						d.injectFault()
						time.Sleep(time.Duration(d.random.IntN(400)) * time.Millisecond)
					}
					time.Sleep(time.Until(at.Add(maxDelay)))
					d.checkDelay(version)
				}
			})
		})
	}
}

// The calls to the store must follow the number of domains, not of gates, also if servers run on a
// few of many hosts only. Twelve gates that watch
// alone make 12 calls for each change and 4 a second.
func TestCallsDoNotFollowGates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := newDomain(t, 1, 3, 60, 12)
		time.Sleep(20 * time.Second)
		before := d.calls()
		for range 30 {
			d.put()
			time.Sleep(2 * time.Second)
			d.checkDelay(d.version)
		}
		calls := d.calls() - before
		c.Assert(calls <= 100, qt.IsTrue, qt.Commentf("%d calls in 60 s with 30 changes", calls))
	})
}

// Few gates must watch alone, since a server polls more often than they do.
func TestFewGatesWatchAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := newDomain(t, 1, 3, 0, minGates-1)
		time.Sleep(30 * time.Second)
		for _, s := range d.servers {
			c.Check(s.link.calls, qt.Equals, 0)
		}
		d.startGate("another")
		time.Sleep(2 * aloneInterval)
		before := d.calls()
		time.Sleep(20 * time.Second)
		c.Check(d.calls()-before <= 22, qt.IsTrue)
	})
}

// A gate that is cut from the store must get changes over a server of its domain.
func TestGateCutFromStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := newDomain(t, 1, 3, 0, 6)
		time.Sleep(10 * time.Second)
		for _, g := range d.gates {
			g.link.set(true, false)
		}
		time.Sleep(10 * time.Second)
		d.put()
		time.Sleep(maxDelay)
		for _, g := range d.gates {
			c.Check(g.currentVersion(), qt.Equals, d.version)
		}
	})
}

// After the store has compacted its history, the gates must get the entries from a server, not
// each from the store.
func TestCompactionListsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := newDomain(t, 1, 1, 0, 12)
		time.Sleep(20 * time.Second)
		d.servers[0].link.set(true, false)
		time.Sleep(10 * time.Second)
		for _, g := range d.gates {
			g.link.set(true, false)
		}
		time.Sleep(5 * time.Second)
		d.put()
		d.mem.Compact(d.mem.Revision())
		d.servers[0].link.set(false, false)
		time.Sleep(10 * time.Second)
		for _, g := range d.gates {
			c.Check(g.currentVersion(), qt.Equals, d.version)
		}
	})
}

// The changes that a feed keeps must stay within its limits, the last one whatever its size.
func TestExcessEvents(t *testing.T) {
	c := qt.New(t)
	events := func(n, size int) []store.Event {
		list := make([]store.Event, n)
		for i := range list {
			list[i].Value = make([]byte, size)
		}
		return list
	}
	c.Check(excessEvents(nil), qt.Equals, 0)
	c.Check(excessEvents(events(maxEvents, 10)), qt.Equals, 0)
	c.Check(excessEvents(events(maxEvents+7, 10)), qt.Equals, 7)
	c.Check(excessEvents(events(5, maxEventBytes/2)), qt.Equals, 3)
	c.Check(excessEvents(events(2, 2*maxEventBytes)), qt.Equals, 1)
}
