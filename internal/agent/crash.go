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

// crashNamespace is the UUID namespace of the crash IDs of an agent.
var crashNamespace = uuid.MustParse("6f1b8a52-0c4e-5f0b-9a3d-2f7c5d1e8b40")

// crashID returns the ID under which the agent with this boot ID reports a crash
// of its server. number counts the crashes that the agent has seen, from 1.
// wire.CrashID, by which a router reports the loss of an agent, returns other
// IDs.
func crashID(server string, boot budget.BootID, number int) uuid.UUID {
	data := append([]byte(server), boot[:]...)
	return uuid.NewSHA1(crashNamespace, binary.BigEndian.AppendUint64(data, uint64(number)))
}

// handleConnectionLoss checks whether the server crashed, after an attempt lost
// its connection to it. If the server does not respond, all attempts in progress
// end. If it has restarted, the attempts of its former process find that out by
// themselves, because their connections have ended; others may already run on
// the new process. The fingerprints of the attempts are reported once.
func (a *Agent) handleConnectionLoss(at *attempt, cause error) {
	a.mu.Lock()
	crashed, startBootID := at.crashed, at.serverBootID
	a.mu.Unlock()
	if crashed {
		return
	}
	current, err := a.health(context.Background())
	switch {
	case err != nil:
		a.handleCrash(at, "")
	case startBootID != "" && current != "":
		if startBootID != current {
			a.handleCrash(at, current)
		}
	case errors.Is(cause, engine.ErrStreamLost):
		// Without boot IDs, a lost stream is the only sign of a restart.
		a.handleCrash(at, "")
	}
}

// health returns the server's boot ID, empty if the server reports none.
func (a *Agent) health(ctx context.Context) (boot string, err error) {
	if a.service != nil {
		return "", a.service.Health(ctx)
	}
	health, err := a.model.Health(ctx)
	return health.Boot, err
}

// handleCrash reports a crash of the server that the given attempt found. current
// is the boot ID of the restarted server, empty if it did not respond or reports
// none: then the attempts in progress end, too.
func (a *Agent) handleCrash(at *attempt, current string) {
	a.mu.Lock()
	if at.crashed {
		a.mu.Unlock()
		return
	}
	if id, reported := a.crashIDs[at.serverBootID]; reported && at.serverBootID != "" {
		at.crashed, at.crashID = true, id
		a.mu.Unlock()
		return
	}
	a.crashCount++
	report := wire.CrashReport{
		Server: a.opts.Server, AgentBoot: a.opts.Identity.Boot,
		CrashID: crashID(a.opts.Server, a.opts.Identity.Boot, a.crashCount),
	}
	a.crashIDs = map[string]uuid.UUID{at.serverBootID: report.CrashID}
	at.crashed, at.crashID = true, report.CrashID
	for other := range a.running {
		if other.serverBootID != at.serverBootID {
			continue // started after the restart
		}
		report.Fingerprints = append(report.Fingerprints, other.req.Fingerprint)
		if current == "" {
			other.crashed, other.crashID = true, report.CrashID
			other.cancel(errServerCrash)
		}
	}
	a.metrics.crashes.Inc(1)
	if current == "" {
		a.setServerDownLocked(true)
	} else {
		a.serverBootID = current
	}
	a.mu.Unlock()
	a.cachedPrefixes.Cleared()
	a.log.Warn("server crashed, requests in progress failed", "crash", report.CrashID, "requests", len(report.Fingerprints), "restarted", current != "")
	if a.opts.OnCrash != nil {
		a.opts.OnCrash(report)
	}
}

// setServerDown records whether the server is down.
func (a *Agent) setServerDown(down bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.setServerDownLocked(down)
}

// setServerDownLocked records whether the server is down. When it goes down, the
// queued attempts end: they did not run, and their routers can send them
// elsewhere. Callers hold mu.
func (a *Agent) setServerDownLocked(down bool) {
	if a.serverDown == down {
		return
	}
	a.serverDown = down
	a.log.Info("server availability changed", "answers", !down)
	if !down {
		a.startQueuedLocked()
		return
	}
	for at := a.queue.pop(); at != nil; at = a.queue.pop() {
		a.finishLocked(at, &wire.Done{
			Verdict: verdict.NotRun, Code: verdict.CodeServerLost, Detail: "the server died before the request ran",
		}, nil)
	}
}

// checkHealth updates the server's state from a health check. A failed check
// marks the server as down only if no connection could be opened.
func (a *Agent) checkHealth(ctx context.Context) {
	boot, err := a.health(ctx)
	if ctx.Err() != nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		if errors.Is(err, engine.ErrNotSent) {
			a.setServerDownLocked(true)
		}
		return
	}
	if a.serverBootID != "" && boot != a.serverBootID {
		a.cachedPrefixes.Cleared()
	}
	a.serverBootID = boot
	a.setServerDownLocked(false)
}

func sinceStart(at *attempt) time.Duration { return time.Since(at.startedAt) }
