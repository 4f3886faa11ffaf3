package faults

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/monsoonworks/monsoonworks/devel/history"
)

// Deployment is what a script acts on.
type Deployment interface {
	Kill(name string) error
	Start(name string) error
	Drain(ctx context.Context, name string) error
	PartitionRegions(on bool)
	FreezeRegions()
	FreezeCallers(router string) error
	StoreDown(on bool)
	StoreDelay(d time.Duration)
	StoreLoseAnswers(n int)
	CrashEngine(server string) error
	TopUp(ctx context.Context, workspace, id string, tokens int64) error
}

// Run carries out the steps at their times, counted from started, until all are
// done or ctx ends. A step that fails is noted and the next ones go on. Drains
// run beside the other steps; Run waits for them.
func Run(ctx context.Context, d Deployment, steps []Step, started time.Time) []history.Fault {
	var out record
	var drains sync.WaitGroup
	timer := time.NewTimer(0)
	defer timer.Stop()
	for i, step := range steps {
		timer.Reset(time.Until(started.Add(step.At)))
		select {
		case <-ctx.Done():
			drains.Wait()
			return out.faults
		case <-timer.C:
		}
		if step.Action == Drain {
			drains.Go(func() { out.add(started, step, d.Drain(ctx, step.Target)) })
			continue
		}
		at := time.Since(started)
		out.addAt(at, step, act(ctx, d, step, i))
	}
	drains.Wait()
	return out.faults
}

// record collects the faults that were carried out.
type record struct {
	mu     sync.Mutex
	faults []history.Fault
}

func (r *record) add(started time.Time, step Step, err error) {
	r.addAt(time.Since(started), step, err)
}

func (r *record) addAt(at time.Duration, step Step, err error) {
	f := history.Fault{At: at, Action: string(step.Action), Target: step.Target}
	if err != nil {
		f.Err = err.Error()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, f)
}

var errAction = errors.New("unknown action")

// act carries out one step. number makes the id of a top-up.
func act(ctx context.Context, d Deployment, s Step, number int) error {
	switch s.Action {
	case Kill:
		return d.Kill(s.Target)
	case Start:
		return d.Start(s.Target)
	case PartitionRegions, HealRegions:
		d.PartitionRegions(s.Action == PartitionRegions)
	case StoreDown, StoreUp:
		d.StoreDown(s.Action == StoreDown)
	case StoreDelay:
		delay, err := time.ParseDuration(s.Target)
		if err != nil {
			return err
		}
		d.StoreDelay(delay)
	case StoreLoseAnswers:
		n, err := strconv.Atoi(s.Target)
		if err != nil {
			return err
		}
		d.StoreLoseAnswers(n)
	case Freeze:
		if s.Target == "regions" {
			d.FreezeRegions()
			return nil
		}
		return d.FreezeCallers(s.Target)
	case CrashEngine:
		return d.CrashEngine(s.Target)
	case TopUp:
		return topUp(ctx, d, s.Target, number)
	default:
		return errAction
	}
	return nil
}

func topUp(ctx context.Context, d Deployment, target string, number int) error {
	workspace, amount, _ := strings.Cut(target, ":")
	tokens, err := strconv.ParseInt(amount, 10, 64)
	if err != nil {
		return fmt.Errorf("target %q is not workspace:tokens", target)
	}
	return d.TopUp(ctx, workspace, fmt.Sprintf("fault-%d", number), tokens)
}
