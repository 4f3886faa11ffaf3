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
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

const (
	// inForce is the stated bound for a change to be in force.
	inForce = 5 * time.Second
	latency = time.Millisecond
	// pollStep is the resolution of measured times.
	pollStep = 5 * time.Millisecond
	// silence is when a session to a dead peer is given up.
	silence = wire.HeartbeatTimeout
)

// cluster is a deployment in virtual time. Links, the store and the host list
// can fail for each node.
type cluster struct {
	*qt.C
	mem  *memstore.Store
	list *hostlist.Server
	// operator has its own access to the store.
	operator *faultstore.Store

	mu    sync.Mutex
	nodes map[string]*node // by address
	cut   map[[2]string]bool
	bytes map[string]int64 // received and sent by the polling node, by name
	made  map[int64]int    // limit of the workspaces "w" and "x" by version
	seen  map[int64]map[int]string
}

type node struct {
	*Syncer
	host  hosts.Host
	store *faultstore.Store
	stop  func()
	alive bool
}

// inCluster runs a test over a deployment with one configuration change made.
func inCluster(t *testing.T, test func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{
			C: qt.New(t), mem: memstore.New(memstore.Options{}), list: hostlist.New(0),
			nodes: make(map[string]*node), cut: make(map[[2]string]bool), bytes: make(map[string]int64),
			made: make(map[int64]int), seen: make(map[int64]map[int]string),
		}
		c.operator = faultstore.New(c.mem)
		c.setUp()
		defer c.stopAll()
		test(c)
	})
}

// setUp makes the first change of the configuration.
func (c *cluster) setUp() {
	c.apply(0, config.SectionDeployment, config.DeploymentName, config.Deployment{
		Name: "test", Shards: 4, StoreRegion: "near", LinkBytesPerSecond: 1, KeyWindowSeconds: 3600,
		Regions: []config.Region{{Name: "near", Domains: []string{"near-a", "near-b"}}, {Name: "far", Domains: []string{"far-a"}}},
	})
}

func (c *cluster) apply(base int64, section, name string, value any) int64 {
	change, err := config.Put(section, name, value)
	c.Assert(err, qt.IsNil)
	version, err := config.Apply(context.Background(), c.operator, base, []config.Change{change}, "")
	c.Assert(err, qt.IsNil)
	return version
}

// change makes a change on the current version.
func (c *cluster) change(name string, concurrent int) int64 {
	head, err := c.mem.Get(context.Background(), config.HeadKey)
	c.Assert(err, qt.IsNil)
	return c.apply(head.ModRevision, config.SectionWorkspace, name, config.Workspace{
		Name: name, HomeRegion: "near", MaxConcurrent: concurrent, RequestsPerSecond: 1,
		Models: nil, Services: nil, Priority: 1,
	})
}

// add describes a node and puts it on the host list.
func (c *cluster) add(name string, role wire.Role, domain string) *node {
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

// addAll adds routers and agents to each of the three domains.
func (c *cluster) addAll(routers, agents int) {
	for _, domain := range []string{"near-a", "near-b", "far-a"} {
		for i := range routers {
			c.add(fmt.Sprintf("%s-r%d", domain, i), wire.RoleRouter, domain)
		}
		for i := range agents {
			c.add(fmt.Sprintf("%s-s%d", domain, i), wire.RoleAgent, domain)
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
			if _, up := l.usable(); !up {
				return nil, wait(ctx, silence)
			}
			return l, nil
		},
		Logger:  slog.New(slog.NewTextHandler(io.Discard, nil)),
		Metrics: metrics.NewRegistry(),
	})
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Run(ctx)
	}()
	c.mu.Lock()
	defer c.mu.Unlock()
	n.Syncer, n.alive = s, true
	n.stop = func() { cancel(); <-done }
}

// kill ends a node; its peers notice by the silence of their sessions.
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

func (c *cluster) setCut(a, b *node, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[[2]string{a.host.Address, b.host.Address}] = cut
	c.cut[[2]string{b.host.Address, a.host.Address}] = cut
}

// RoundTrip serves the host list.
func (c *cluster) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	c.list.ServeHTTP(w, r)
	return w.Result(), nil
}

// relays returns the relays of a domain.
func (c *cluster) relays(domain string) []*node {
	list, _ := c.list.Visible()
	var relays []*node
	for _, h := range Distributors(list, domain) {
		relays = append(relays, c.nodes[h.Address])
	}
	return relays
}

func (c *cluster) eachAlive(f func(n *node)) {
	for _, n := range c.nodes {
		if n.alive {
			f(n)
		}
	}
}

// waitFor waits until a condition holds at all live nodes and returns how long
// that took.
func (c *cluster) waitFor(bound time.Duration, what string, condition func(n *node) bool) time.Duration {
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
		if time.Since(start) > bound {
			c.Fatalf("%s not reached within %v at %v", what, bound, missing)
		}
		time.Sleep(pollStep)
	}
}

func (c *cluster) waitVersion(version int64) time.Duration {
	c.Helper()
	return c.waitFor(inForce, fmt.Sprintf("version %d", version), func(n *node) bool { return n.Config().Version == version })
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

var errDead = errors.New("session silent for too long")

// link is a Caller that encodes messages as the wire does.
type link struct {
	cluster *cluster
	from    *node
	to      string
}

func (l *link) usable() (*Syncer, bool) {
	l.cluster.mu.Lock()
	defer l.cluster.mu.Unlock()
	peer := l.cluster.nodes[l.to]
	if peer == nil || !peer.alive || !l.from.alive || l.cluster.cut[[2]string{l.from.host.Address, l.to}] {
		return nil, false
	}
	return peer.Syncer, true
}

func (l *link) count(n int) {
	l.cluster.mu.Lock()
	defer l.cluster.mu.Unlock()
	l.cluster.bytes[l.from.host.Name] += int64(n)
}

// Call implements Caller. A call over a link that fails meanwhile ends as the
// heartbeats of a session end it.
func (l *link) Call(ctx context.Context, method string, args, reply any) error {
	if method != "Sync.Poll" {
		return errors.New("unknown method")
	}
	peer, up := l.usable()
	if !up {
		return wait(ctx, silence)
	}
	encoded, err := cbor.Marshal(args)
	if err != nil {
		return err
	}
	l.count(len(encoded))
	var received wire.SyncPollArgs
	if err := cbor.Unmarshal(encoded, &received); err != nil {
		return err
	}
	time.Sleep(latency)
	answers := make(chan []byte, 1)
	receiver := peer.PollService()
	go func() {
		var answer wire.SyncPollReply
		if receiver.Poll(&received, &answer) == nil {
			encoded, _ := cbor.Marshal(answer)
			answers <- encoded
		}
	}()
	check := time.NewTicker(silence)
	defer check.Stop()
	for {
		select {
		case answer := <-answers:
			time.Sleep(latency)
			if _, up := l.usable(); !up {
				return wait(ctx, silence)
			}
			l.count(len(answer))
			return cbor.Unmarshal(answer, reply)
		case <-check.C:
			if _, up := l.usable(); !up {
				return errDead
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func wait(ctx context.Context, d time.Duration) error {
	if !pause(ctx, d) {
		return ctx.Err()
	}
	return errDead
}
