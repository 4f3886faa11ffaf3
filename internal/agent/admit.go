package agent

import (
	"context"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/verdict"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// Bounds on the time after which a refused caller should ask again.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	// downRetryAfter is used while the server does not answer.
	downRetryAfter = time.Second
)

// refusal says why an attempt is refused.
type refusal struct {
	code       verdict.Code
	detail     string
	retryAfter time.Duration
	// seen is set if the attempt was dispatched before. It is not told that it
	// did not run, because it may have; its stream just ends.
	seen bool
}

func refuse(code verdict.Code, detail string) *refusal { return &refusal{code: code, detail: detail} }

func refuseFor(code verdict.Code, detail string, wait time.Duration) *refusal {
	return &refusal{code: code, detail: detail, retryAfter: min(max(wait, minRetryAfter), maxRetryAfter)}
}

// checkRequest checks what does not depend on the agent's state.
func (a *Agent) checkRequest(peer wire.Hello, req *wire.ExecRequest) *refusal {
	switch {
	case req.Router.Name != peer.Name || req.Router.Boot != peer.Boot:
		return refuse(verdict.CodeFenced, "the request names another router than the session")
	case req.Kind != a.opts.Kind:
		return refuse(verdict.CodeNoServer, "the server is of another kind")
	case req.MaxCost < 0 || req.MaxPromptCost < 0 || req.MaxPromptCost > req.MaxCost || req.MaxOutput < 0:
		return refuse(verdict.CodeBadRequest, "the reservation does not cover the prompt")
	case req.DeadlineMillis < 0:
		return refuse(verdict.CodeDeadlineExceeded, "the deadline has passed")
	case req.TargetBoot != a.opts.Identity.Boot:
		return refuse(verdict.CodeFenced, "the agent has restarted")
	}
	return nil
}

// admit checks an attempt and registers it in one step, so that a fence or a
// tombstone set meanwhile either refuses it or sees it. It returns the attempt
// with a first reader, or why it is refused.
func (a *Agent) admit(req *wire.ExecRequest, body []byte, prepared *preparedBody) (*attempt, *reader, *refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if r := a.checkLocked(req); r != nil {
		return nil, nil, r
	}
	if r := a.ledger.admit(req); r != nil {
		return nil, nil, r
	}
	if prepared != nil {
		body = nil // the engine gets the prepared one
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	at := &attempt{
		id: req.Attempt, req: req, body: body, prepared: prepared, accepted: now,
		answer: newAnswer(&a.answerBytes), ctx: ctx, cancel: cancel,
	}
	if req.DeadlineMillis > 0 {
		at.deadline = time.AfterFunc(time.Duration(req.DeadlineMillis)*time.Millisecond, func() { a.stop(at, errDeadline) })
	}
	first := at.answer.attach(0)
	a.attempts[at.id] = at
	a.queue.push(at)
	a.dispatchLocked()
	return at, first, nil
}

// checkLocked checks an attempt against the agent's state. Callers hold mu.
func (a *Agent) checkLocked(req *wire.ExecRequest) *refusal {
	switch {
	case a.draining:
		return refuse(verdict.CodeDraining, "the server is leaving")
	case a.ledger.entombed(req.Attempt):
		return refuse(verdict.CodeFenced, "the attempt was given up")
	case a.attempts[req.Attempt] != nil:
		return &refusal{seen: true}
	case !a.targets[req.Target]:
		return refuse(verdict.CodeNoServer, "the server does not serve "+req.Target)
	case a.down:
		return refuseFor(verdict.CodeNoServer, "the server does not answer", downRetryAfter)
	}
	return a.checkRoomLocked(req)
}

// checkRoomLocked refuses what cannot start in time. Callers hold mu.
func (a *Agent) checkRoomLocked(req *wire.ExecRequest) *refusal {
	wait := a.waitLocked(req.Priority)
	if wait == 0 {
		return nil
	}
	switch {
	case a.queue.length >= a.opts.MaxQueue:
		return refuseFor(verdict.CodeOverloaded, "the queue is full", wait)
	case wait > a.opts.MaxWait:
		return refuseFor(verdict.CodeOverloaded, "the queue is too long", wait)
	case req.DeadlineMillis > 0 && wait > time.Duration(req.DeadlineMillis)*time.Millisecond:
		return refuseFor(verdict.CodeOverloaded, "the request cannot start before its deadline", wait)
	}
	return nil
}
