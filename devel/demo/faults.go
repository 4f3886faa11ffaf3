package demo

import (
	"context"
	"time"

	"github.com/monsoonworks/monsoonworks/devel/faults"
	"github.com/monsoonworks/monsoonworks/devel/history"
	"github.com/monsoonworks/monsoonworks/internal/budget"
)

// deployment implements faults.Deployment for a Demo. It records killed processes,
// because the checker accepts missing bills of requests that an agent lost that way.
type deployment struct{ *Demo }

// Kill implements faults.Deployment.
func (f deployment) Kill(name string) error {
	at := time.Since(f.started)
	if err := f.Cluster.Kill(name); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.kills = append(f.kills, history.Kill{Process: name, At: at})
	return nil
}

// StoreDown implements faults.Deployment.
func (f deployment) StoreDown(on bool) { f.Store.Controls.SetDown(on) }

// StoreDelay implements faults.Deployment.
func (f deployment) StoreDelay(d time.Duration) { f.Store.Controls.SetDelay(d) }

// StoreDropResponses implements faults.Deployment.
func (f deployment) StoreDropResponses(n int) { f.Store.Controls.DropResponses(n) }

// TopUp implements faults.Deployment.
func (f deployment) TopUp(ctx context.Context, workspace, id string, tokens int64) error {
	_, err := f.Budgets.TopUp(ctx, budget.MakeID(workspace, ""), id, budget.Tokens(tokens))
	return err
}

// DefaultFaults returns the script for demonstrations without a given one: an
// engine crashes at a quarter of duration, a router is killed at half of it and
// restarted at three quarters.
func DefaultFaults(seed uint64, duration time.Duration) faults.Script {
	return faults.Script{Seed: seed, Steps: []faults.Step{
		{At: duration / 4, Action: faults.CrashEngine, Target: faults.AnyEngine},
		{At: duration / 2, Action: faults.Kill, Target: faults.AnyRouter},
		{At: duration * 3 / 4, Action: faults.Start, Target: faults.AnyRouter},
	}}
}
