package agent

import (
	"context"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/verdict"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// Limits of the retry time in a refusal.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	// unavailableRetryAfter is the retry time while the server is down or the
	// account epochs are not known.
	unavailableRetryAfter = time.Second
)

// refusal says why an attempt is refused.
type refusal struct {
	code       verdict.Code
	detail     string
	retryAfter time.Duration
	// duplicate is set if the attempt was received before. Such an attempt must
	// not be reported as not run, because it may have run: the agent closes the
	// stream of the repeated request without a message.
	duplicate bool
}

func refuse(code verdict.Code, detail string) *refusal { return &refusal{code: code, detail: detail} }

func refuseWithRetry(code verdict.Code, detail string, wait time.Duration) *refusal {
	return &refusal{code: code, detail: detail, retryAfter: min(max(wait, minRetryAfter), maxRetryAfter)}
}

// checkRequest makes the checks that do not depend on the agent's state.
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
	case req.AgentBoot != a.opts.Identity.Boot:
		return refuse(verdict.CodeFenced, "the agent has restarted")
	}
	return nil
}

// admit checks an attempt and registers it under one lock, so that a concurrent
// fence or tombstone either refuses it or finds it registered. It returns the
// attempt with its first reader, or the refusal.
func (a *Agent) admit(req *wire.ExecRequest, body []byte, prepared *preparedBody) (*attempt, *reader, *refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if r := a.checkStateLocked(req); r != nil {
		return nil, nil, r
	}
	if r := a.admission.admit(req); r != nil {
		return nil, nil, r
	}
	if prepared != nil {
		body = nil // the engine gets the prepared body
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	at := &attempt{
		id: req.Attempt, req: req, body: body, prepared: prepared, acceptedAt: now,
		response: newResponse(&a.runningResponseBytes), ctx: ctx, cancel: cancel,
	}
	if req.DeadlineMillis > 0 {
		at.deadlineTimer = time.AfterFunc(time.Duration(req.DeadlineMillis)*time.Millisecond, func() { a.stop(at, errDeadline) })
	}
	first := at.response.attach(0)
	a.attempts[at.id] = at
	a.queue.push(at)
	a.startQueuedLocked()
	return at, first, nil
}

// checkStateLocked checks an attempt against the agent's state. Callers hold
// mu.
func (a *Agent) checkStateLocked(req *wire.ExecRequest) *refusal {
	switch {
	case a.draining:
		return refuse(verdict.CodeDraining, "the server is leaving")
	case a.admission.tombstoned(req.Attempt):
		return refuse(verdict.CodeFenced, "the attempt was given up")
	case a.attempts[req.Attempt] != nil:
		return &refusal{duplicate: true}
	case !a.targets[req.Target]:
		return refuse(verdict.CodeNoServer, "the server does not serve "+req.Target)
	case a.serverDown:
		return refuseWithRetry(verdict.CodeNoServer, "the server does not answer", unavailableRetryAfter)
	}
	return a.checkQueueLocked(req)
}

// checkQueueLocked refuses an attempt that exceeds the queue limits or cannot
// start before its deadline. Callers hold mu.
func (a *Agent) checkQueueLocked(req *wire.ExecRequest) *refusal {
	wait := a.slotWaitLocked(req.Priority)
	if wait == 0 {
		return nil
	}
	switch {
	case a.queue.length >= a.opts.MaxQueue:
		return refuseWithRetry(verdict.CodeOverloaded, "the queue is full", wait)
	case wait > a.opts.MaxWait:
		return refuseWithRetry(verdict.CodeOverloaded, "the queue is too long", wait)
	case req.DeadlineMillis > 0 && wait > time.Duration(req.DeadlineMillis)*time.Millisecond:
		return refuseWithRetry(verdict.CodeOverloaded, "the request cannot start before its deadline", wait)
	}
	return nil
}
