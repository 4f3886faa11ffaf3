package agent

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// state is the state of an attempt.
type state uint8

const (
	stateQueued state = iota
	stateRunning
	stateFinished
)

// attempt is an attempt that the agent accepted. After its end it is kept as the
// record of the attempt. Its fields are guarded by the agent's mutex, except for
// those set before registration that never change. The goroutine that runs the
// attempt may also read req, body, prepared and startedAt without the mutex:
// until it ends the attempt, nothing changes them.
type attempt struct {
	id            uuid.UUID
	req           *wire.ExecRequest
	prepared      *preparedBody // nil for a plain service
	body          []byte        // nil for a model
	acceptedAt    time.Time
	response      *response
	ctx           context.Context
	cancel        context.CancelCauseFunc
	deadlineTimer *time.Timer // nil if the caller set no deadline
	reattachTimer *time.Timer // runs while the attempt has no reader, unless it runs detached

	state state
	// serverBootID is the server's boot ID at startedAt.
	serverBootID string
	startedAt    time.Time
	// prefillTokens is the attempt's part of Agent.pendingPrefill.
	prefillTokens int
	// crashed is set if the server crashed during the attempt, and crashID is the ID
	// of that crash.
	crashed bool
	crashID uuid.UUID

	done       *wire.Done // without load and bill; nil before the end
	finishedAt time.Time
	// deliveredAt is when a router first received the end of the response, zero
	// if none has.
	deliveredAt time.Time
	// responseBytes is the size of the frames that were kept at finishedAt.
	responseBytes int
	// responseDropped is set when the response is dropped.
	responseDropped bool
}

// keyed reports whether the caller sent an idempotency key.
func (at *attempt) keyed() bool { return at.req.Claim != nil }

// runsDetached reports whether the attempt runs to its end even if no router
// reads its response. With an idempotency key the caller can repeat the request
// to get the response. Stopping a non-idempotent request would not undo it, and
// would lose its outcome.
func (at *attempt) runsDetached() bool { return at.keyed() || !at.req.Idempotent }

// Causes for stopping an attempt.
var (
	errCanceled    = errors.New("the caller canceled the request")
	errDeadline    = errors.New("the deadline has passed")
	errRouterGone  = errors.New("no router reads the answer")
	errServerCrash = errors.New("the server died")
)

// codeForCause returns the code for a stop cause.
func codeForCause(cause error) verdict.Code {
	switch {
	case errors.Is(cause, errDeadline):
		return verdict.CodeDeadlineExceeded
	case errors.Is(cause, errServerCrash):
		return verdict.CodeServerLost
	default:
		return verdict.CodeCanceled
	}
}

// stop ends an attempt early. An attempt that is still queued did not run.
func (a *Agent) stop(at *attempt, cause error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopLocked(at, cause)
}

func (a *Agent) stopLocked(at *attempt, cause error) {
	switch at.state {
	case stateQueued:
		a.queue.remove(at)
		a.finishLocked(at, &wire.Done{Verdict: verdict.NotRun, Code: codeForCause(cause), Detail: cause.Error()}, nil)
	case stateRunning:
		at.cancel(cause)
	case stateFinished:
	}
}

// startQueuedLocked starts queued attempts while slots are free. Callers hold mu.
func (a *Agent) startQueuedLocked() {
	for len(a.running) < a.opts.Slots && !a.serverDown {
		at := a.queue.pop()
		if at == nil {
			break
		}
		at.state = stateRunning
		at.startedAt, at.serverBootID = time.Now(), a.serverBootID
		a.running[at] = struct{}{}
		if a.model != nil {
			tokens := estimatedPromptTokens(at)
			at.prefillTokens = tokens - a.cachedPrefixes.cachedTokens(at.req.Prefixes, tokens)
			a.pendingPrefill += at.prefillTokens
			a.cachedPrefixes.addSent(at.req.Prefixes)
		}
		go a.run(at)
	}
	a.metrics.running.Update(int64(len(a.running)))
	a.metrics.queued.Update(int64(a.queue.length))
}

// estimatedPromptTokens estimates the prompt length in tokens from the size of
// the body, because the engine reports the length only with the usage. The
// estimate is at most the part of the reservation that is for the prompt.
func estimatedPromptTokens(at *attempt) int {
	return min(int(at.req.MaxPromptCost), at.req.BodyBytes/promptBytesPerToken+1)
}

// run executes an attempt that has a slot.
func (a *Agent) run(at *attempt) {
	var done *wire.Done
	var bill *budget.Bill
	ctx, endSpan := a.startSpan(at)
	if a.model != nil {
		done, bill = a.runModel(ctx, at)
	} else {
		done, bill = a.runService(ctx, at)
	}
	endSpan(done, bill)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.finishLocked(at, done, bill)
}

// recordFirstToken removes an attempt's tokens from the pending prefill and
// updates the estimate of the prefill time.
func (a *Agent) recordFirstToken(at *attempt) {
	a.mu.Lock()
	prefill := at.prefillTokens
	a.pendingPrefill -= prefill
	at.prefillTokens = 0
	a.mu.Unlock()
	a.estimator.recordFirstToken(time.Since(at.startedAt), prefill)
}

// finishLocked ends an attempt. Its bill is recorded before the end is visible
// to anyone. Callers hold mu.
func (a *Agent) finishLocked(at *attempt, done *wire.Done, bill *budget.Bill) {
	delete(a.running, at)
	a.pendingPrefill -= at.prefillTokens
	at.prefillTokens = 0
	done.Attempt, done.Crashed = at.id, at.crashed && done.Verdict != verdict.NotRun
	if done.Crashed {
		done.CrashID = at.crashID
	}
	at.done, at.state, at.finishedAt = done, stateFinished, time.Now()
	at.body, at.prepared = nil, nil
	at.req = trimmedRequest(at.req)
	if bill == nil {
		bill = &budget.Bill{}
	}
	if recorded := a.admission.ledger.Finish(at.id, *bill); recorded != nil {
		a.metrics.billedTokens.Inc(int64(recorded.Amount))
	}
	for _, timer := range []*time.Timer{at.deadlineTimer, at.reattachTimer} {
		if timer != nil {
			timer.Stop()
		}
	}
	at.cancel(nil)
	at.responseBytes = at.response.finish()
	a.history.add(at)
	a.metrics.finished.Inc(1)
	a.startQueuedLocked()
	a.signalDrainLocked()
}

// trimmedRequest returns a copy of a request with only the fields that are needed
// after its end.
func trimmedRequest(req *wire.ExecRequest) *wire.ExecRequest {
	return &wire.ExecRequest{
		Request: req.Request, Attempt: req.Attempt, Router: req.Router, Budget: req.Budget, Lot: req.Lot,
		Slot: req.Slot, Kind: req.Kind, Claim: req.Claim, Idempotent: req.Idempotent,
	}
}

// doneLocked returns the Done message of a finished attempt with the current
// load, and with its bill until the bill is durable. Callers hold mu.
func (a *Agent) doneLocked(at *attempt) *wire.Done {
	done := *at.done
	done.Bill = a.admission.bill(at.id)
	done.Load = a.loadLocked()
	return &done
}

// newBill returns the bill of an attempt, nil if it costs nothing. The amount
// is limited to the reservation.
func (a *Agent) newBill(at *attempt, prompt, output, amount budget.Tokens) *budget.Bill {
	if amount <= 0 {
		return nil
	}
	return &budget.Bill{
		Lot: at.req.Lot, Slot: at.req.Slot, Budget: at.req.Budget, Request: at.req.Request, Attempt: at.id,
		Amount: min(amount, at.req.MaxCost), Prompt: prompt, Output: output,
		Target: at.req.Target, Server: a.opts.Server, UnixMilli: time.Now().UnixMilli(),
	}
}
