package syncer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"github.com/rcrowley/go-metrics"

	"github.com/monsoonworks/monsoonworks/devel/standin/faultstore"
	"github.com/monsoonworks/monsoonworks/devel/standin/hostlist"
	"github.com/monsoonworks/monsoonworks/internal/config"
	"github.com/monsoonworks/monsoonworks/internal/hosts"
	"github.com/monsoonworks/monsoonworks/internal/store/memstore"
	"github.com/monsoonworks/monsoonworks/internal/wait"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

const (
	// maxPropagationTime is the required maximum time until a change is in force at
	// all nodes.
	maxPropagationTime = 5 * time.Second
	latency            = time.Millisecond // of a link, one way
	// checkInterval is the interval at which conditions are checked, and so the
	// resolution of the durations that waitFor returns.
	checkInterval = 5 * time.Millisecond
	// heartbeatTimeout is the time after which a call to an unresponsive peer fails.
	heartbeatTimeout = wire.HeartbeatTimeout
)

// cluster simulates a deployment in virtual time. Links between nodes, the store of
// each node and the host list can fail.
type cluster struct {
	*qt.C
	mem  *memstore.Store
	list *hostlist.Server
	// operator is the operator's access to the store.
	operator *faultstore.Store

	mu          sync.Mutex
	nodes       map[string]*node // by address
	partitioned map[[2]string]bool
	bytes       map[string]int64         // received and sent in polls, by the follower's name
	limits      map[int64]int            // MaxConcurrent of the workspaces "w" and "x" by version
	shown       map[int64]map[int]string // by version: the limits seen, with the name of a node
}

type node struct {
	*Syncer
	host  hosts.Host
	store *faultstore.Store
	stop  func()
	alive bool
}

// runInCluster runs a test with a cluster after one configuration change.
func runInCluster(t *testing.T, test func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{
			C: qt.New(t), mem: memstore.New(memstore.Options{}), list: hostlist.New(0),
			nodes: make(map[string]*node), partitioned: make(map[[2]string]bool), bytes: make(map[string]int64),
			limits: make(map[int64]int), shown: make(map[int64]map[int]string),
		}
		c.operator = faultstore.New(c.mem)
		c.applyDeployment()
		defer c.stopAll()
		test(c)
	})
}

// applyDeployment applies the first configuration change.
func (c *cluster) applyDeployment() {
	c.apply(0, config.SectionDeployment, config.DeploymentName, config.Deployment{
		Name: "test", Shards: 4, StoreRegion: "near", LinkBytesPerSecond: 1, KeyWindowSeconds: 3600,
		Regions: []config.Region{{Name: "near", Domains: []string{"near-a", "near-b"}}, {Name: "far", Domains: []string{"far-a"}}},
	})
}

func (c *cluster) apply(base int64, section, name string, value any) int64 {
	write, err := config.NewPut(section, name, value)
	c.Assert(err, qt.IsNil)
	version, err := config.Apply(context.Background(), c.operator, base, []config.EntryWrite{write}, "")
	c.Assert(err, qt.IsNil)
	return version
}

// changeWorkspace applies a change of a workspace to the current version.
func (c *cluster) changeWorkspace(name string, concurrent int) int64 {
	head, err := c.mem.Get(context.Background(), config.HeadKey)
	c.Assert(err, qt.IsNil)
	return c.apply(head.ModRevision, config.SectionWorkspace, name, config.Workspace{
		Name: name, HomeRegion: "near", MaxConcurrent: concurrent, RequestsPerSecond: 1,
		Models: nil, Services: nil, Priority: 1,
	})
}

// addNode adds a node to the cluster and to the host list.
func (c *cluster) addNode(name string, role wire.Role, domain string) *node {
	region := "near"
	if domain == "far-a" {
		region = "far"
	}
	n := &node{host: hosts.Host{
		Name: name, Role: role, Region: region, Domain: domain,
		Address: fmt.Sprintf("192.0.2.%d:%d", len(c.nodes)%250, 1000+len(c.nodes)),
	}, store: faultstore.New(c.mem)}
	c.mu.Lock()
	c.nodes[n.host.Address] = n
	c.mu.Unlock()
	c.list.Put(n.host)
	return n
}

// addNodes adds routers and agents to each of the three domains.
func (c *cluster) addNodes(routers, agents int) {
	for _, domain := range []string{"near-a", "near-b", "far-a"} {
		for i := range routers {
			c.addNode(fmt.Sprintf("%s-r%d", domain, i), wire.RoleRouter, domain)
		}
		for i := range agents {
			c.addNode(fmt.Sprintf("%s-s%d", domain, i), wire.RoleAgent, domain)
		}
	}
}

func (c *cluster) startAll() {
	for _, n := range c.nodes {
		c.start(n)
	}
	synctest.Wait()
}

func (c *cluster) start(n *node) {
	s, err := New(Options{
		Self: n.host, Store: n.store, HostsURL: "http://hosts.invalid/", HostsTransport: c,
		Dial: func(ctx context.Context, address string) (RPCClient, error) {
			l := &link{cluster: c, from: n, to: address}
			if _, up := l.reachablePeer(); !up {
				return nil, waitAndTimeOut(ctx, heartbeatTimeout)
			}
			return l, nil
		},
		Logger:  slog.New(slog.NewTextHandler(io.Discard, nil)),
		Metrics: metrics.NewRegistry(),
	})
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	c.mu.Lock()
	n.Syncer, n.alive = s, true // before the node's first dials, which fail if it is not alive
	n.stop = func() { cancel(); <-done }
	c.mu.Unlock()
	go func() {
		defer close(done)
		_ = s.Run(ctx)
	}()
}

// kill stops a node. Its peers detect that by a heartbeat timeout.
func (c *cluster) kill(n *node) {
	c.mu.Lock()
	n.alive = false
	c.mu.Unlock()
	n.stop()
}

func (c *cluster) stopAll() {
	for _, n := range c.nodes {
		if n.alive {
			c.kill(n)
		}
	}
}

func (c *cluster) setPartitioned(a, b *node, partitioned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitioned[[2]string{a.host.Address, b.host.Address}] = partitioned
	c.partitioned[[2]string{b.host.Address, a.host.Address}] = partitioned
}

// RoundTrip implements http.RoundTripper. It serves the host list.
func (c *cluster) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	c.list.ServeHTTP(w, r)
	return w.Result(), nil
}

// distributors returns the distributors of a failure domain.
func (c *cluster) distributors(domain string) []*node {
	list, _ := c.list.Visible()
	var distributors []*node
	for _, h := range Distributors(list, domain) {
		distributors = append(distributors, c.nodes[h.Address])
	}
	return distributors
}

func (c *cluster) eachAlive(f func(n *node)) {
	for _, n := range c.nodes {
		if n.alive {
			f(n)
		}
	}
}

// waitFor waits until a condition holds at all live nodes and returns the time that
// this took. The test fails after the timeout.
func (c *cluster) waitFor(timeout time.Duration, what string, condition func(n *node) bool) time.Duration {
	c.Helper()
	start := time.Now()
	for {
		synctest.Wait()
		var missing []string
		c.eachAlive(func(n *node) {
			if !condition(n) {
				missing = append(missing, fmt.Sprintf("%s%+v", n.host.Name, n.Status()))
			}
		})
		if len(missing) == 0 {
			return time.Since(start)
		}
		if time.Since(start) > timeout {
			c.Fatalf("%s not reached within %v at %v", what, timeout, missing)
		}
		time.Sleep(checkInterval)
	}
}

func (c *cluster) waitVersion(version int64) time.Duration {
	c.Helper()
	return c.waitFor(maxPropagationTime, fmt.Sprintf("version %d", version), func(n *node) bool { return n.Config().Version == version })
}

func (c *cluster) storeCalls() (calls int64) {
	for _, n := range c.nodes {
		for _, count := range n.store.Counts() {
			calls += count
		}
	}
	return calls
}

func (c *cluster) polledBytes(role wire.Role) (sum int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.nodes {
		if n.host.Role == role {
			sum += c.bytes[n.host.Name]
		}
	}
	return sum
}

var errPeerTimeout = errors.New("peer unresponsive: heartbeat timed out")

// link is an RPCClient that encodes messages in CBOR like a wire.Session.
type link struct {
	cluster *cluster
	from    *node
	to      string
}

// reachablePeer returns the peer, or false if it is stopped or partitioned.
func (l *link) reachablePeer() (*Syncer, bool) {
	l.cluster.mu.Lock()
	defer l.cluster.mu.Unlock()
	peer := l.cluster.nodes[l.to]
	if peer == nil || !peer.alive || !l.from.alive || l.cluster.partitioned[[2]string{l.from.host.Address, l.to}] {
		return nil, false
	}
	return peer.Syncer, true
}

func (l *link) countBytes(n int) {
	l.cluster.mu.Lock()
	defer l.cluster.mu.Unlock()
	l.cluster.bytes[l.from.host.Name] += int64(n)
}

// Call implements RPCClient. If the link fails during a call, the call fails with a
// heartbeat timeout, as over a session.
func (l *link) Call(ctx context.Context, method string, args, reply any) error {
	if method != "Sync.Poll" {
		return errors.New("unknown method")
	}
	peer, up := l.reachablePeer()
	if !up {
		return waitAndTimeOut(ctx, heartbeatTimeout)
	}
	encoded, err := cbor.Marshal(args)
	if err != nil {
		return err
	}
	l.countBytes(len(encoded))
	var received wire.SyncPollArgs
	if err := cbor.Unmarshal(encoded, &received); err != nil {
		return err
	}
	time.Sleep(latency)
	replies := make(chan []byte, 1)
	service := peer.PollService()
	go func() {
		var response wire.SyncPollReply
		if service.Poll(&received, &response) == nil {
			encoded, _ := cbor.Marshal(response)
			replies <- encoded
		}
	}()
	check := time.NewTicker(heartbeatTimeout)
	defer check.Stop()
	for {
		select {
		case response := <-replies:
			time.Sleep(latency)
			if _, up := l.reachablePeer(); !up {
				return waitAndTimeOut(ctx, heartbeatTimeout)
			}
			l.countBytes(len(response))
			return cbor.Unmarshal(response, reply)
		case <-check.C:
			if _, up := l.reachablePeer(); !up {
				return errPeerTimeout
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func waitAndTimeOut(ctx context.Context, d time.Duration) error {
	if !wait.Sleep(ctx, d) {
		return ctx.Err()
	}
	return errPeerTimeout
}
