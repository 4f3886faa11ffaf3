package agent

import (
	"context"
	"encoding/binary"
	"errors"
	"time"

	"github.com/google/uuid"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/engine"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// crashNamespace is the namespace of crash ids.
var crashNamespace = uuid.MustParse("6f1b8a52-0c4e-5f0b-9a3d-2f7c5d1e8b40")

// CrashID returns the id of a server's crash. number counts the crashes that the
// agent with this boot has seen, from 1; 0 stands for the loss of the agent
// itself. Everyone who reports the same crash gets the same id.
func CrashID(server string, boot budget.BootID, number int) uuid.UUID {
	data := append([]byte(server), boot[:]...)
	return uuid.NewSHA1(crashNamespace, binary.BigEndian.AppendUint64(data, uint64(number)))
}

// serverLost finds out whether the server died, after an attempt lost its
// connection to it. If it did, all attempts in progress end, and their
// fingerprints are reported once.
func (a *Agent) serverLost(at *attempt, cause error) {
	a.mu.Lock()
	known, boot := at.crashed, at.serverBoot
	a.mu.Unlock()
	if known || !a.serverDied(cause, boot) {
		return
	}
	a.noteCrash(at)
}

// serverDied checks the server's health. A server that answers has died if it
// tells another boot, or tells none and lost a stream.
func (a *Agent) serverDied(cause error, boot string) bool {
	now, err := a.health(context.Background())
	switch {
	case err != nil:
		return true
	case boot != "" && now != "":
		return boot != now
	default:
		return errors.Is(cause, engine.ErrStreamLost)
	}
}

// health returns the boot that the server tells, empty if it tells none.
func (a *Agent) health(ctx context.Context) (boot string, err error) {
	if a.service != nil {
		return "", a.service.Health(ctx)
	}
	health, err := a.model.Health(ctx)
	return health.Boot, err
}

// noteCrash ends everything in progress and reports it.
func (a *Agent) noteCrash(at *attempt) {
	a.mu.Lock()
	if at.crashed {
		a.mu.Unlock()
		return
	}
	a.crashes++
	report := wire.CrashReport{
		Server: a.opts.Server, ServerBoot: a.opts.Identity.Boot,
		CrashID: CrashID(a.opts.Server, a.opts.Identity.Boot, a.crashes),
	}
	for other := range a.running {
		if other != at && other.serverBoot != at.serverBoot {
			continue // started after the restart
		}
		other.crashed = true
		other.cancel(errServerCrash)
		report.Fingerprints = append(report.Fingerprints, other.req.Fingerprint)
	}
	a.metrics.crashes.Inc(1)
	a.setDownLocked(true)
	a.mu.Unlock()
	a.index.Cleared()
	a.log.Warn("server died with requests in progress", "crash", report.CrashID, "requests", len(report.Fingerprints))
	if a.opts.OnCrash != nil {
		a.opts.OnCrash(report)
	}
}

// setDown notes whether the server answers.
func (a *Agent) setDown(down bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.setDownLocked(down)
}

// setDownLocked ends the waiting attempts when the server goes down: they
// certainly did not run, and their routers can send them elsewhere. Callers hold
// mu.
func (a *Agent) setDownLocked(down bool) {
	if a.down == down {
		return
	}
	a.down = down
	a.log.Info("server state changed", "answers", !down)
	if !down {
		a.dispatchLocked()
		return
	}
	for at := a.queue.pop(); at != nil; at = a.queue.pop() {
		a.finishLocked(at, &wire.Done{
			Verdict: verdict.NotRun, Code: verdict.CodeServerLost, Detail: "the server died before the request ran",
		}, nil)
	}
}

// checkHealth keeps the server's state current.
func (a *Agent) checkHealth(ctx context.Context) {
	boot, err := a.health(ctx)
	if ctx.Err() != nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		if errors.Is(err, engine.ErrNotSent) {
			a.setDownLocked(true)
		}
		return
	}
	if a.serverBoot != "" && boot != a.serverBoot {
		a.index.Cleared()
	}
	a.serverBoot = boot
	a.setDownLocked(false)
}

func sinceDispatch(at *attempt) time.Duration { return time.Since(at.dispatched) }
