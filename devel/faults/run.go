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

// Deployment is the set of fault operations that a script uses.
type Deployment interface {
	Kill(name string) error
	Start(name string) error
	Drain(ctx context.Context, name string) error
	PartitionRegions(on bool)
	FreezeRegions()
	FreezeCallers(router string) error
	StoreDown(on bool)
	StoreDelay(d time.Duration)
	StoreDropResponses(n int)
	CrashEngine(server string) error
	TopUp(ctx context.Context, workspace, id string, tokens int64) error
}

// Run executes the steps at their offsets from started until all are done or ctx is
// canceled. It returns the executed steps in order of completion. A failed step is
// recorded with its error and does not stop the script. Drains run concurrently with
// later steps; Run waits for them.
func Run(ctx context.Context, d Deployment, steps []Step, started time.Time) []history.Fault {
	var out faultLog
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
		out.addAt(at, step, execute(ctx, d, step, i))
	}
	drains.Wait()
	return out.faults
}

// faultLog collects the executed faults. It is safe for concurrent use.
type faultLog struct {
	mu     sync.Mutex
	faults []history.Fault
}

func (l *faultLog) add(started time.Time, step Step, err error) {
	l.addAt(time.Since(started), step, err)
}

func (l *faultLog) addAt(at time.Duration, step Step, err error) {
	f := history.Fault{At: at, Action: string(step.Action), Target: step.Target}
	if err != nil {
		f.Err = err.Error()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, f)
}

var errUnknownAction = errors.New("unknown action")

// execute runs one step. number makes the ID of a top-up unique, because top-ups
// are idempotent by ID.
func execute(ctx context.Context, d Deployment, s Step, number int) error {
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
	case StoreDropResponses:
		n, err := strconv.Atoi(s.Target)
		if err != nil {
			return err
		}
		d.StoreDropResponses(n)
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
		return errUnknownAction
	}
	return nil
}

func topUp(ctx context.Context, d Deployment, target string, number int) error {
	workspace, amount, _ := strings.Cut(target, ":")
	tokens, err := strconv.ParseInt(amount, 10, 64)
	if err != nil {
		return fmt.Errorf("target %q does not have the form workspace:tokens", target)
	}
	return d.TopUp(ctx, workspace, fmt.Sprintf("fault-%d", number), tokens)
}
