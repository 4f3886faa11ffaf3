package testbed

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/monsoonworks/monsoonworks/internal/daemon"
	"github.com/monsoonworks/monsoonworks/internal/settings"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// Cluster runs the routers and agents of a deployment inside the current process.
// It is safe for concurrent use.
type Cluster struct {
	*Platform
	log *slog.Logger

	mu    sync.Mutex
	nodes map[string]*node
}

// node is one running process.
type node struct {
	process  daemon.Process
	registry metrics.Registry
	cancel   context.CancelFunc
	done     chan error
}

// NewCluster returns a cluster in which no process runs yet.
func NewCluster(p *Platform, log *slog.Logger) *Cluster {
	return &Cluster{Platform: p, log: log, nodes: map[string]*node{}}
}

// StartAll starts all processes and waits until the routers are ready or ctx is
// canceled.
func (c *Cluster) StartAll(ctx context.Context) error {
	for name := range c.Nodes {
		if err := c.Start(name); err != nil {
			return err
		}
	}
	return c.awaitReady(ctx)
}

// Start starts the process called name. It returns ErrNoNode if there is none.
func (c *Cluster) Start(name string) error {
	s, ok := c.Nodes[name]
	if !ok {
		return fmt.Errorf("%w: %q", ErrNoNode, name)
	}
	registry := metrics.NewRegistry()
	process, err := daemon.New(s, registry, c.log.With("host", name))
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{process: process, registry: registry, cancel: cancel, done: make(chan error, 1)}
	go func() { n.done <- process.Run(ctx) }()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[name] = n
	return nil
}

const readyPollInterval = 20 * time.Millisecond

func (c *Cluster) awaitReady(ctx context.Context) error {
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for {
		if c.ready() {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("routers are not ready: %w", ctx.Err())
		case <-ticker.C:
		}
	}
}

func (c *Cluster) ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.nodes {
		if r, ok := n.process.(*daemon.Router); ok && !r.Ready() {
			return false
		}
	}
	return true
}

// Drain shuts one process down gracefully.
func (c *Cluster) Drain(ctx context.Context, name string) error {
	n, err := c.remove(name)
	if err != nil {
		return err
	}
	err = n.process.Drain(ctx)
	n.cancel()
	<-n.done
	return err
}

// Kill stops one process without draining it, as a crash or the loss of its host
// would: its listeners, connections and requests in progress end immediately, its
// peers are not notified, and state not written to the store is lost.
func (c *Cluster) Kill(name string) error {
	n, err := c.remove(name)
	if err != nil {
		return err
	}
	n.cancel()
	<-n.done
	return nil
}

// Running reports whether a process runs.
func (c *Cluster) Running(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[name] != nil
}

// Settle waits until the bills of all finished requests are durable: holders flush
// their bills immediately instead of at the next interval, and agents and wallets
// have reported everything. All processes must run, because a bill may have to be
// delivered to a process that is down.
func (c *Cluster) Settle(ctx context.Context) error {
	ticker := time.NewTicker(settlePollInterval)
	defer ticker.Stop()
	for {
		pending := c.unsettled(ctx)
		if len(pending) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("bills are not durable at %s: %w", strings.Join(pending, ", "), ctx.Err())
		case <-ticker.C:
		}
	}
}

const settlePollInterval = 200 * time.Millisecond

// unsettled returns the sorted names of the processes with unreported bills.
func (c *Cluster) unsettled(ctx context.Context) []string {
	c.mu.Lock()
	nodes := maps.Clone(c.nodes)
	c.mu.Unlock()
	var pending []string
	for name, n := range nodes {
		switch p := n.process.(type) {
		case *daemon.Router:
			if !p.FlushBills(ctx) {
				pending = append(pending, name)
			}
		case *daemon.Agent:
			if p.Unsettled() > 0 {
				pending = append(pending, name)
			}
		}
	}
	slices.Sort(pending)
	return pending
}

func (c *Cluster) remove(name string) (*node, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.nodes[name]
	if n == nil {
		return nil, fmt.Errorf("%w: %q", ErrNoNode, name)
	}
	delete(c.nodes, name)
	return n, nil
}

// StopAll drains all routers, then all agents. It returns the first error.
func (c *Cluster) StopAll(ctx context.Context) error {
	var first error
	for _, role := range []wire.Role{wire.RoleRouter, wire.RoleAgent} {
		for name, s := range c.Nodes {
			if s.Role != role {
				continue
			}
			if err := c.Drain(ctx, name); err != nil && first == nil {
				first = fmt.Errorf("%s: %w", name, err)
			}
		}
	}
	return first
}

// Settings returns the settings of a process.
func (c *Cluster) Settings(name string) settings.Settings { return c.Nodes[name] }

// Registry returns the metrics registry of a process, or nil if it is not running.
func (c *Cluster) Registry(name string) metrics.Registry {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := c.nodes[name]; n != nil {
		return n.registry
	}
	return nil
}
