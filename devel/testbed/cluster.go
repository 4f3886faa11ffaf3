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

// Cluster runs the deployment's processes inside this one.
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

// NewCluster returns a cluster without processes.
func NewCluster(p *Platform, log *slog.Logger) *Cluster {
	return &Cluster{Platform: p, log: log, nodes: map[string]*node{}}
}

// StartAll starts all processes and waits until the routers are ready.
func (c *Cluster) StartAll(ctx context.Context) error {
	for name := range c.Nodes {
		if err := c.Start(name); err != nil {
			return err
		}
	}
	return c.awaitReady(ctx)
}

// Start starts one process.
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

// readyPoll is the time between looks at whether the routers are ready.
const readyPoll = 20 * time.Millisecond

func (c *Cluster) awaitReady(ctx context.Context) error {
	ticker := time.NewTicker(readyPoll)
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

// Drain stops one process as a planned stop does.
func (c *Cluster) Drain(ctx context.Context, name string) error {
	n, err := c.take(name)
	if err != nil {
		return err
	}
	err = n.process.Drain(ctx)
	n.cancel()
	<-n.done
	return err
}

// Kill ends one process without a drain, as a crash or the loss of its host does:
// its listeners, its connections and its work end at once, and it tells nobody.
// What it has not written to the store is lost.
func (c *Cluster) Kill(name string) error {
	n, err := c.take(name)
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

// Settle waits until everything that ran is billed durably: holders write their
// bills ahead of time, and agents and wallets have nothing left to report. All
// processes must run, because a bill can wait for one that is away.
func (c *Cluster) Settle(ctx context.Context) error {
	ticker := time.NewTicker(settlePoll)
	defer ticker.Stop()
	for {
		left := c.unsettled(ctx)
		if len(left) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("bills are not durable at %s: %w", strings.Join(left, ", "), ctx.Err())
		case <-ticker.C:
		}
	}
}

// settlePoll is the time between two looks at what is not durable.
const settlePoll = 200 * time.Millisecond

// unsettled returns the names of the processes with something left to report.
func (c *Cluster) unsettled(ctx context.Context) []string {
	c.mu.Lock()
	nodes := maps.Clone(c.nodes)
	c.mu.Unlock()
	var left []string
	for name, n := range nodes {
		switch p := n.process.(type) {
		case *daemon.Router:
			if !p.FlushBills(ctx) {
				left = append(left, name)
			}
		case *daemon.Agent:
			if p.Unsettled() > 0 {
				left = append(left, name)
			}
		}
	}
	slices.Sort(left)
	return left
}

func (c *Cluster) take(name string) (*node, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.nodes[name]
	if n == nil {
		return nil, fmt.Errorf("%w: %q", ErrNoNode, name)
	}
	delete(c.nodes, name)
	return n, nil
}

// StopAll drains all routers, then the agents.
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

// Registry returns the metrics of a running process, nil if it does not run.
func (c *Cluster) Registry(name string) metrics.Registry {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := c.nodes[name]; n != nil {
		return n.registry
	}
	return nil
}
