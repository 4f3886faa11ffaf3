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

	mu        sync.Mutex
	processes map[string]*runningProcess
}

// runningProcess is one running router or agent.
type runningProcess struct {
	process  daemon.Process
	registry metrics.Registry
	cancel   context.CancelFunc // ends process.Run
	done     chan error         // receives the result of process.Run
}

// NewCluster returns a cluster in which no process runs yet.
func NewCluster(p *Platform, log *slog.Logger) *Cluster {
	return &Cluster{Platform: p, log: log, processes: map[string]*runningProcess{}}
}

// StartAll starts all processes and waits until the routers are ready or ctx is
// canceled.
func (c *Cluster) StartAll(ctx context.Context) error {
	for name := range c.ProcessSettings {
		if err := c.Start(name); err != nil {
			return err
		}
	}
	return c.awaitReady(ctx)
}

// Start starts the process called name. It returns ErrNoProcess if the deployment has
// none. It does not wait until the process is ready.
func (c *Cluster) Start(name string) error {
	s, ok := c.ProcessSettings[name]
	if !ok {
		return fmt.Errorf("%w: %q", ErrNoProcess, name)
	}
	registry := metrics.NewRegistry()
	process, err := daemon.New(s, registry, c.log.With("host", name))
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	rp := &runningProcess{process: process, registry: registry, cancel: cancel, done: make(chan error, 1)}
	go func() { rp.done <- process.Run(ctx) }()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.processes[name] = rp
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
	for _, rp := range c.processes {
		if r, ok := rp.process.(*daemon.Router); ok && !r.Ready() {
			return false
		}
	}
	return true
}

// Drain shuts one process down gracefully. It returns ErrNoProcess if the process does not
// run.
func (c *Cluster) Drain(ctx context.Context, name string) error {
	rp, err := c.remove(name)
	if err != nil {
		return err
	}
	err = rp.process.Drain(ctx)
	rp.cancel()
	<-rp.done
	return err
}

// Kill stops one process without draining it, as a crash or the loss of its host
// would: its listeners, connections and requests in progress end immediately, its
// peers are not notified, and state not written to the store is lost. It returns
// ErrNoProcess if the process does not run.
func (c *Cluster) Kill(name string) error {
	rp, err := c.remove(name)
	if err != nil {
		return err
	}
	rp.cancel()
	<-rp.done
	return nil
}

// Running reports whether a process runs.
func (c *Cluster) Running(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.processes[name] != nil
}

// FlushBills makes holders flush their bills immediately instead of at the next interval,
// and waits until no request is in progress and all bills are durable, as the wallets of
// the routers and the agents report. All processes must run, because a bill may have to be delivered
// to a process that is down.
func (c *Cluster) FlushBills(ctx context.Context) error {
	ticker := time.NewTicker(flushPollInterval)
	defer ticker.Stop()
	for {
		pending := c.withPendingBills(ctx)
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

const flushPollInterval = 200 * time.Millisecond

// withPendingBills returns the sorted names of the processes with requests in progress or
// with bills that are not durable.
func (c *Cluster) withPendingBills(ctx context.Context) []string {
	c.mu.Lock()
	processes := maps.Clone(c.processes)
	c.mu.Unlock()
	var pending []string
	for name, rp := range processes {
		switch p := rp.process.(type) {
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

func (c *Cluster) remove(name string) (*runningProcess, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rp := c.processes[name]
	if rp == nil {
		return nil, fmt.Errorf("%w: %q", ErrNoProcess, name)
	}
	delete(c.processes, name)
	return rp, nil
}

// StopAll drains all routers, then all agents. It returns the first error.
func (c *Cluster) StopAll(ctx context.Context) error {
	var first error
	for _, role := range []wire.Role{wire.RoleRouter, wire.RoleAgent} {
		for name, s := range c.ProcessSettings {
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
func (c *Cluster) Settings(name string) settings.Settings { return c.ProcessSettings[name] }

// Registry returns the metrics registry of a process, or nil if it is not running.
func (c *Cluster) Registry(name string) metrics.Registry {
	c.mu.Lock()
	defer c.mu.Unlock()
	if rp := c.processes[name]; rp != nil {
		return rp.registry
	}
	return nil
}
