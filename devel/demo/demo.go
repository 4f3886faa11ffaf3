// Package demo runs a whole deployment over stand-ins in one process, sends it a
// mixed load with faults, and checks the history of the run.
package demo

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/monsoonworks/monsoonworks/devel/check"
	"github.com/monsoonworks/monsoonworks/devel/faults"
	"github.com/monsoonworks/monsoonworks/devel/history"
	"github.com/monsoonworks/monsoonworks/devel/loadgen"
	"github.com/monsoonworks/monsoonworks/devel/report"
	"github.com/monsoonworks/monsoonworks/devel/standin/engine"
	"github.com/monsoonworks/monsoonworks/devel/standin/service"
	"github.com/monsoonworks/monsoonworks/devel/testbed"
	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// Options configure a demonstration.
type Options struct {
	Spec     testbed.Spec
	Duration time.Duration
	// Rate is the mean number of requests per second.
	Rate   float64
	Seed   uint64
	Faults faults.Script
	// Dir is where settings and secrets are written.
	Dir string
	Log *slog.Logger
	// Progress, if not nil, is called about every second while load is sent.
	Progress func(Progress)
}

// Progress is the state of the load.
type Progress struct {
	Elapsed                     time.Duration
	Planned, Sent, Done, Failed int64
}

// Limits of the phases around the load.
const (
	startLimit  = time.Minute
	settleLimit = 90 * time.Second
	stopLimit   = 2 * time.Minute
	// linkInterval is the time between two looks at the region link's bytes.
	linkInterval = 250 * time.Millisecond
	// listLag is how late the host list of the platform is.
	listLag = time.Second
	// warmUp is the time between the start of the processes and the load. A new
	// holder counts everything as lost that an agent may have forgotten, and takes
	// an agent for one that may have if it started less than 10 s before the former
	// holder's last flush. A deployment that has just started would show losses
	// that one in service does not have.
	warmUp = 11 * time.Second
	// serviceLatency is how long a plain service works on a call.
	serviceLatency = 2 * time.Millisecond
)

// Demo is a running deployment.
type Demo struct {
	*testbed.Cluster
	opts    Options
	started time.Time

	mu    sync.Mutex
	kills []history.Kill
}

// Start starts a deployment and waits until its routers are ready. Close stops
// it.
func Start(ctx context.Context, o Options) (*Demo, error) {
	platform, err := testbed.New(ctx, o.Spec, testbed.Options{
		Dir: o.Dir, Latency: true,
		Engine: engine.Config{Seed: o.Seed}, Service: service.Config{Latency: serviceLatency},
	})
	if err != nil {
		return nil, err
	}
	d := &Demo{Cluster: testbed.NewCluster(platform, o.Log), opts: o}
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	if err := d.StartAll(ctx); err != nil {
		d.Close()
		return nil, err
	}
	// Only changes from now on are seen late, as in a deployment that has run
	// for a while.
	d.HostList.SetLag(listLag)
	select {
	case <-time.After(warmUp):
	case <-ctx.Done():
	}
	return d, nil
}

// Load sends the load with the faults, waits until all bills are durable, and
// returns the history. Before it waits it ends all faults and starts what the
// script has ended, as the platform does with its hosts in the end. After an
// error the history can lack bills.
func (d *Demo) Load(ctx context.Context) (*history.Log, error) {
	generator, err := d.generator()
	if err != nil {
		return nil, err
	}
	d.started = time.Now()
	log := &history.Log{
		Deployment: d.Spec.Name, Seed: d.opts.Seed, Rate: d.opts.Rate, Started: d.started,
	}
	watchCtx, stop := context.WithCancel(ctx)
	var watchers sync.WaitGroup
	watchers.Go(func() { log.Faults = faults.Run(ctx, target{d}, d.opts.Faults.Resolve(d.names()), d.started) })
	var side sync.WaitGroup
	side.Go(func() { log.Link = d.watchLink(watchCtx) })
	side.Go(func() { d.watchProgress(watchCtx, generator) })
	log.Requests = generator.Run(ctx, d.started)
	watchers.Wait()
	stop()
	side.Wait()
	log.Duration = max(d.opts.Duration, time.Since(d.started))
	return log, errors.Join(d.repair(ctx), d.collect(ctx, log), ctx.Err())
}

// Evaluate checks a history and computes its report.
func Evaluate(log *history.Log) report.Run { return report.New(log, check.Run(log)) }

// Stop drains all processes as a planned stop does and ends the stand-ins.
func (d *Demo) Stop(ctx context.Context) error {
	defer d.Close()
	ctx, cancel := context.WithTimeout(ctx, stopLimit)
	defer cancel()
	return d.StopAll(ctx)
}

func (d *Demo) generator() (*loadgen.Generator, error) {
	mix, err := loadgen.MixByName(d.Spec.Name)
	if err != nil {
		return nil, err
	}
	o := loadgen.Options{
		Plan:  loadgen.Plan{Seed: d.opts.Seed, Rate: d.opts.Rate, Duration: d.opts.Duration, Mix: mix},
		Names: Names(d.Spec), Keys: d.Keys, Budgets: map[string]string{},
	}
	for _, w := range d.Spec.Workspaces {
		o.Plan.Workspaces = append(o.Plan.Workspaces, w.Name)
		o.Budgets[w.Name] = string(budget.MakeID(w.Name, ""))
	}
	for _, name := range d.names().Routers {
		url, err := d.CallerURL(name)
		if err != nil {
			return nil, err
		}
		o.Routers = append(o.Routers, loadgen.Endpoint{Name: name, URL: url})
	}
	return loadgen.New(o)
}

// Names returns what the requests of a deployment are sent to.
func Names(s testbed.Spec) loadgen.Names {
	return loadgen.Names{
		Model: s.Model.Name, Service: s.Service.Name, PromptTokensPerByte: s.Model.PromptTokensPerByte,
		MessageOverheadTokens: int64(s.Model.MessageOverheadTokens), ServicePrice: int64(s.Service.PriceTokens),
	}
}

// names returns the possible targets of faults.
func (d *Demo) names() faults.Names {
	var n faults.Names
	for name, s := range d.Nodes {
		if s.Role == wire.RoleRouter {
			n.Routers = append(n.Routers, name)
			continue
		}
		n.Agents = append(n.Agents, name)
		if d.Engines[name] != nil {
			n.Engines = append(n.Engines, name)
		}
	}
	slices.Sort(n.Routers)
	slices.Sort(n.Agents)
	slices.Sort(n.Engines)
	return n
}

func (d *Demo) watchLink(ctx context.Context) []history.LinkSample {
	ticker := time.NewTicker(linkInterval)
	defer ticker.Stop()
	var out []history.LinkSample
	for {
		out = append(out, history.LinkSample{At: time.Since(d.started), Bytes: d.LinkBytes()})
		select {
		case <-ctx.Done():
			return append(out, history.LinkSample{At: time.Since(d.started), Bytes: d.LinkBytes()})
		case <-ticker.C:
		}
	}
}

func (d *Demo) watchProgress(ctx context.Context, g *loadgen.Generator) {
	if d.opts.Progress == nil {
		return
	}
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		d.opts.Progress(Progress{
			Elapsed: time.Since(d.started), Planned: int64(g.Planned()),
			Sent: g.Sent.Load(), Done: g.Done.Load(), Failed: g.Failed.Load(),
		})
	}
}

// repair ends all faults, starts the processes that are away, and waits until
// all bills are durable.
func (d *Demo) repair(ctx context.Context) error {
	d.PartitionRegions(false)
	d.Store.Controls.SetDown(false)
	d.Store.Controls.SetDelay(0)
	d.Store.Controls.LoseAnswers(0)
	for name := range d.Nodes {
		if d.Running(name) {
			continue
		}
		if err := d.Cluster.Start(name); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, settleLimit)
	defer cancel()
	if err := d.Settle(ctx); err != nil {
		return fmt.Errorf("after the load: %w", err)
	}
	return nil
}
