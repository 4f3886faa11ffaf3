// Package demo runs a whole deployment with stand-ins for the platform and the
// backend servers in one process, sends it a mixed load while a fault script runs,
// and checks the recorded history. The development command calls it.
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

// Options configures a demonstration.
type Options struct {
	Spec     testbed.Spec
	Duration time.Duration
	// Rate is the mean number of requests per second.
	Rate   float64
	Seed   uint64
	Faults faults.Script
	// Dir is the directory for secrets.
	Dir string
	Log *slog.Logger
	// Progress, if not nil, is called about once a second while load is sent.
	Progress func(Progress)
}

// Progress is a snapshot of the load; all fields but Elapsed count requests.
type Progress struct {
	Elapsed                          time.Duration
	Planned, Sent, Succeeded, Failed int64
}

// Timeouts of the phases around the load, and timing of the deployment.
const (
	startTimeout       = time.Minute // includes warmUp
	settleTimeout      = 90 * time.Second
	stopTimeout        = 2 * time.Minute
	linkSampleInterval = 250 * time.Millisecond
	// hostListLag is the delay before host list changes become visible.
	hostListLag = time.Second
	// warmUp is the time between the start of the processes and the load. A new
	// holder counts unreported amounts as lost if an agent may have lost its state,
	// which it assumes of every agent that started later than 10 s before the former
	// holder's last flush. Without the wait, a takeover would show losses that a
	// long-running deployment does not have.
	warmUp = 11 * time.Second
	// serviceLatency is the processing time of a plain service.
	serviceLatency = 2 * time.Millisecond
)

// Demo is a running deployment with the load and faults of its Options.
type Demo struct {
	*testbed.Cluster
	opts    Options
	started time.Time

	mu    sync.Mutex
	kills []history.Kill
}

// Start starts a deployment, and waits until its routers are ready and then for warmUp.
// The caller must call Stop or Close.
func Start(ctx context.Context, o Options) (*Demo, error) {
	platform, err := testbed.New(ctx, o.Spec, testbed.Options{
		Dir: o.Dir, Latency: true,
		Engine: engine.Config{Seed: o.Seed}, Service: service.Config{ExecutionDelay: serviceLatency},
	})
	if err != nil {
		return nil, err
	}
	d := &Demo{Cluster: testbed.NewCluster(platform, o.Log), opts: o}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := d.StartAll(ctx); err != nil {
		d.Close()
		return nil, err
	}
	// The lag is set after the start, because the first host list must be visible
	// immediately, as in a deployment that has run for a while.
	d.HostList.SetLag(hostListLag)
	select {
	case <-time.After(warmUp):
	case <-ctx.Done():
	}
	return d, nil
}

// Load sends the load while the fault script runs, waits until all bills are
// durable, and returns the history. Before it waits for the bills it clears all
// faults and restarts the stopped processes, as the platform eventually does with
// its hosts. With an error, the history may be incomplete.
func (d *Demo) Load(ctx context.Context) (*history.Log, error) {
	generator, err := d.generator()
	if err != nil {
		return nil, err
	}
	d.started = time.Now()
	log := &history.Log{
		Deployment: d.Spec.Name, Seed: d.opts.Seed, Rate: d.opts.Rate, Started: d.started,
	}
	sampleCtx, stop := context.WithCancel(ctx)
	var faultRun sync.WaitGroup
	faultRun.Go(func() { log.Faults = faults.Run(ctx, deployment{d}, d.opts.Faults.Resolve(d.processes()), d.started) })
	var samplers sync.WaitGroup
	samplers.Go(func() { log.Link = d.sampleLink(sampleCtx) })
	samplers.Go(func() { d.reportProgress(sampleCtx, generator) })
	log.Requests = generator.Run(ctx, d.started)
	faultRun.Wait()
	stop()
	samplers.Wait()
	log.Duration = max(d.opts.Duration, time.Since(d.started))
	return log, errors.Join(d.restore(ctx), d.collect(ctx, log), ctx.Err())
}

// Evaluate checks a history and computes its report.
func Evaluate(log *history.Log) report.Run { return report.New(log, check.Run(log)) }

// Stop drains all processes and stops the stand-ins.
func (d *Demo) Stop(ctx context.Context) error {
	defer d.Close()
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	return d.StopAll(ctx)
}

// generator returns the generator of the load, with one budget per workspace and all
// routers.
func (d *Demo) generator() (*loadgen.Generator, error) {
	mix, err := loadgen.MixByName(d.Spec.Name)
	if err != nil {
		return nil, err
	}
	o := loadgen.Options{
		Plan:    loadgen.Plan{Seed: d.opts.Seed, Rate: d.opts.Rate, Duration: d.opts.Duration, Mix: mix},
		Targets: LoadTargets(d.Spec), APIKeys: d.Keys, Budgets: map[string]string{},
	}
	for _, w := range d.Spec.Workspaces {
		o.Plan.Workspaces = append(o.Plan.Workspaces, w.Name)
		o.Budgets[w.Name] = string(budget.MakeID(w.Name, ""))
	}
	for _, name := range d.processes().Routers {
		url, err := d.CallerURL(name)
		if err != nil {
			return nil, err
		}
		o.Routers = append(o.Routers, loadgen.Endpoint{Name: name, URL: url})
	}
	return loadgen.New(o)
}

// LoadTargets returns the targets and prices of the requests that a deployment serves.
func LoadTargets(s testbed.Spec) loadgen.Targets {
	return loadgen.Targets{
		Model: s.Model.Name, Service: s.Service.Name, PromptTokensPerByte: s.Model.PromptTokensPerByte,
		MessageOverheadTokens: int64(s.Model.MessageOverheadTokens), ServicePrice: int64(s.Service.PriceTokens),
	}
}

// processes returns the sorted names of the processes and engines to which the targets
// of a fault script can resolve.
func (d *Demo) processes() faults.Names {
	var n faults.Names
	for name, s := range d.ProcessSettings {
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

// sampleLink samples the number of bytes sent between regions until ctx is canceled.
func (d *Demo) sampleLink(ctx context.Context) []history.LinkSample {
	ticker := time.NewTicker(linkSampleInterval)
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

func (d *Demo) reportProgress(ctx context.Context, g *loadgen.Generator) {
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
			Sent: g.Sent.Load(), Succeeded: g.Succeeded.Load(), Failed: g.Failed.Load(),
		})
	}
}

// restore clears all faults, starts the stopped processes, and waits until all
// bills are durable.
func (d *Demo) restore(ctx context.Context) error {
	d.PartitionRegions(false)
	d.Store.Controls.SetDown(false)
	d.Store.Controls.SetDelay(0)
	d.Store.Controls.DropResponses(0)
	for name := range d.ProcessSettings {
		if d.Running(name) {
			continue
		}
		if err := d.Cluster.Start(name); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	if err := d.FlushBills(ctx); err != nil {
		return fmt.Errorf("after the load: %w", err)
	}
	return nil
}
