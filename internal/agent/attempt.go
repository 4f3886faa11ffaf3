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

// state is where an attempt is in its life.
type state uint8

const (
	stateQueued state = iota
	stateRunning
	stateFinished
)

// attempt is one request at this agent. Its fields are guarded by the agent's
// lock, but for those that are set before it is registered and never change. The
// goroutine that runs it may read req, body and prepared without the lock, because
// they change only at its end.
type attempt struct {
	id       uuid.UUID
	req      *wire.ExecRequest
	prepared *preparedBody // nil for a plain service
	body     []byte        // nil for a model
	accepted time.Time
	answer   *answer
	ctx      context.Context
	cancel   context.CancelCauseFunc
	deadline *time.Timer // nil if the caller set none
	grace    *time.Timer // runs while a cancellable attempt has no reader

	state state
	// serverBoot is the server's boot when the attempt was dispatched.
	serverBoot string
	dispatched time.Time
	// prefill is the part of the agent's pending prefill that it accounts for.
	prefill int
	// crashed is set if the server died while it was running.
	crashed bool

	done       *wire.Done // without load and bill
	finishedAt time.Time
	// deliveredAt is when a router first received the end, zero if none has.
	deliveredAt time.Time
	answerBytes int
	// answerLost is set when the answer was dropped.
	answerLost bool
}

// keyed reports whether the caller sent an idempotency key.
func (at *attempt) keyed() bool { return at.req.Claim != nil }

// runsAlone reports whether the attempt runs to its end without a router: its
// outcome matters even if nobody waits for it.
func (at *attempt) runsAlone() bool { return at.keyed() || !at.req.Idempotent }

// Causes for which an attempt is stopped.
var (
	errCanceled    = errors.New("the caller canceled the request")
	errDeadline    = errors.New("the deadline has passed")
	errRouterGone  = errors.New("no router reads the answer")
	errServerCrash = errors.New("the server died")
)

// codeOf returns the code for a cause.
func codeOf(cause error) verdict.Code {
	switch {
	case errors.Is(cause, errDeadline):
		return verdict.CodeDeadlineExceeded
	case errors.Is(cause, errServerCrash):
		return verdict.CodeServerLost
	default:
		return verdict.CodeCanceled
	}
}

// stop ends an attempt early. One that still waits for a slot certainly did not
// run.
func (a *Agent) stop(at *attempt, cause error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopLocked(at, cause)
}

func (a *Agent) stopLocked(at *attempt, cause error) {
	switch at.state {
	case stateQueued:
		a.queue.remove(at)
		a.finishLocked(at, &wire.Done{Verdict: verdict.NotRun, Code: codeOf(cause), Detail: cause.Error()}, nil)
	case stateRunning:
		at.cancel(cause)
	case stateFinished:
	}
}

// dispatchLocked starts waiting attempts while there are free slots. Callers hold
// mu.
func (a *Agent) dispatchLocked() {
	for len(a.running) < a.opts.Slots && !a.down {
		at := a.queue.pop()
		if at == nil {
			break
		}
		at.state = stateRunning
		at.dispatched, at.serverBoot = time.Now(), a.serverBoot
		a.running[at] = struct{}{}
		if a.model != nil {
			tokens := estimatedPrompt(at)
			at.prefill = tokens - a.index.cachedTokens(at.req.Prefixes, tokens)
			a.pendingPrefill += at.prefill
			a.index.dispatched(at.req.Prefixes)
		}
		go a.run(at)
	}
	a.metrics.running.Update(int64(len(a.running)))
	a.metrics.queued.Update(int64(a.queue.length))
}

// estimatedPrompt returns the prompt's length in tokens as far as the agent can
// tell before the engine reports it.
func estimatedPrompt(at *attempt) int {
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

// firstTokenSeen ends an attempt's share of the pending prefill.
func (a *Agent) firstTokenSeen(at *attempt) {
	a.mu.Lock()
	prefill := at.prefill
	a.pendingPrefill -= prefill
	at.prefill = 0
	a.mu.Unlock()
	a.est.firstToken(time.Since(at.dispatched), prefill)
}

// finishLocked ends an attempt: its bill is kept before anyone can see the end.
// Callers hold mu.
func (a *Agent) finishLocked(at *attempt, done *wire.Done, bill *budget.Bill) {
	delete(a.running, at)
	a.pendingPrefill -= at.prefill
	at.prefill = 0
	done.Attempt, done.Crashed = at.id, at.crashed && done.Verdict != verdict.NotRun
	at.done, at.state, at.finishedAt = done, stateFinished, time.Now()
	at.body, at.prepared = nil, nil
	at.req = slimRequest(at.req)
	if bill == nil {
		bill = &budget.Bill{}
	}
	if kept := a.ledger.book.Finish(at.id, *bill); kept != nil {
		a.metrics.billedTokens.Inc(int64(kept.Amount))
	}
	for _, timer := range []*time.Timer{at.deadline, at.grace} {
		if timer != nil {
			timer.Stop()
		}
	}
	at.cancel(nil)
	at.answerBytes = at.answer.finish()
	a.memory.finished(at)
	a.metrics.finished.Inc(1)
	a.dispatchLocked()
	a.noteChangeLocked()
}

// slimRequest returns what is needed of a request after its end.
func slimRequest(req *wire.ExecRequest) *wire.ExecRequest {
	return &wire.ExecRequest{
		Request: req.Request, Attempt: req.Attempt, Router: req.Router, Budget: req.Budget, Lot: req.Lot,
		Slot: req.Slot, Kind: req.Kind, Claim: req.Claim, Idempotent: req.Idempotent,
	}
}

// doneLocked returns the end of a finished attempt with its bill, as long as
// that is not durable, and the current load. Callers hold mu.
func (a *Agent) doneLocked(at *attempt) *wire.Done {
	done := *at.done
	done.Bill = a.ledger.bill(at.id)
	done.Load = a.loadLocked()
	return &done
}

// newBill returns the bill of an attempt, nil if it costs nothing. The amount is
// limited by the reservation.
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
