package agent

import (
	"context"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/verdict"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// reattachTimeout is how long an attempt that does not run detached continues
// without a reader. A router that lost its session reattaches within this time.
const reattachTimeout = 3 * time.Second

// serviceReaderTimeout is how long a call to a plain service may run without a reader. It is
// longer than reattachTimeout, because a call that is stopped may have run without a bill.
const serviceReaderTimeout = 30 * time.Second

// execStream is the agent's end of a stream to a router, implemented by
// wire.AgentStream.
type execStream interface {
	ReadBody(n int) ([]byte, error)
	WaitCancel() bool
	Refuse(msg *wire.Refused) error
	Accept(msg *wire.Accepted) error
	Head(msg *wire.Head) error
	Data(tokens uint32, data []byte) error
	Finish(msg *wire.Done) error
}

// Exec runs an attempt and sends its response. It is used as wire.Services.Exec.
func (a *Agent) Exec(ctx context.Context, peer wire.Hello, s *wire.AgentStream, req *wire.ExecRequest) {
	a.exec(ctx, peer, s, req)
}

// Attach sends the response of an earlier attempt from an offset on. It is used
// as wire.Services.Attach.
func (a *Agent) Attach(ctx context.Context, _ wire.Hello, s *wire.AgentStream, req *wire.AttachRequest) {
	a.attach(ctx, s, req)
}

func (a *Agent) exec(ctx context.Context, peer wire.Hello, s execStream, req *wire.ExecRequest) {
	body, err := s.ReadBody(req.BodyBytes)
	if err != nil {
		return // nothing is registered, so nothing will run
	}
	defer a.trackStream()()
	prepared, refused := a.prepare(peer, req, body)
	var at *attempt
	var first *reader
	if refused == nil {
		at, first, refused = a.admit(req, body, prepared)
	}
	if refused != nil {
		a.sendRefusal(s, req, refused)
		return
	}
	a.metrics.accepted.Inc(1)
	if s.Accept(&wire.Accepted{Attempt: at.id, Load: a.Load()}) != nil {
		a.detachReader(at, first)
		return
	}
	a.serve(ctx, s, at, first)
}

// prepare checks a request and prepares its body for the engine.
func (a *Agent) prepare(peer wire.Hello, req *wire.ExecRequest, body []byte) (*preparedBody, *refusal) {
	if r := a.checkRequest(peer, req); r != nil || a.model == nil {
		return nil, r
	}
	if req.Path != chatPath && req.Path != completionPath {
		return nil, refuse(verdict.CodeBadRequest, "unknown path of a model request")
	}
	prepared, err := prepareBody(req, body)
	if err != nil {
		return nil, refuse(verdict.CodeBadRequest, err.Error())
	}
	return prepared, nil
}

func (a *Agent) sendRefusal(s execStream, req *wire.ExecRequest, r *refusal) {
	a.metrics.refused.Inc(1)
	if r.duplicate {
		return
	}
	_ = s.Refuse(&wire.Refused{
		Attempt: req.Attempt, Code: r.code, Detail: r.detail,
		RetryAfterMillis: r.retryAfter.Milliseconds(), Load: a.Load(),
	})
}

func (a *Agent) attach(ctx context.Context, s execStream, req *wire.AttachRequest) {
	defer a.trackStream()()
	a.metrics.attaches.Inc(1)
	at, r, done := a.attachReader(req)
	switch {
	case at != nil:
		if s.Accept(&wire.Accepted{Attempt: at.id, Load: a.Load()}) != nil {
			a.detachReader(at, r)
			return
		}
		a.serve(ctx, s, at, r)
	case done != nil:
		_ = s.Finish(done)
	default:
		_ = s.Refuse(&wire.Refused{
			Attempt: req.Attempt, Code: verdict.CodeFenced, Detail: "the attempt was given up", Load: a.Load(),
		})
	}
}

// attachReader returns the attempt with a new reader. If the response is no
// longer kept, it returns the attempt's Done message instead, with verdict
// Unknown if the agent has not seen the attempt. It returns neither if the
// attempt has a tombstone and will never run.
func (a *Agent) attachReader(req *wire.AttachRequest) (*attempt, *reader, *wire.Done) {
	a.mu.Lock()
	defer a.mu.Unlock()
	state, done := a.resolveLocked(req.Attempt, false)
	switch state {
	case wire.AttemptRunning, wire.AttemptFinished:
		at := a.attempts[req.Attempt]
		if at.reattachTimer != nil {
			at.reattachTimer.Stop()
		}
		return at, at.response.attach(req.Offset), nil
	case wire.AttemptExpired:
		done.Code = verdict.CodeAnswerNotKept
		return nil, nil, done
	}
	if a.admission.tombstoned(req.Attempt) {
		return nil, nil, nil
	}
	return nil, nil, &wire.Done{
		Attempt: req.Attempt, Verdict: verdict.Unknown, Code: verdict.CodeAnswerNotKept,
		Detail: "the attempt is not known here", Load: a.loadLocked(),
	}
}

// trackStream counts a stream as open until the returned function is called.
func (a *Agent) trackStream() func() {
	a.mu.Lock()
	a.openStreams++
	a.mu.Unlock()
	return func() {
		a.mu.Lock()
		a.openStreams--
		a.signalDrainLocked()
		a.mu.Unlock()
	}
}

// serve sends a response to a router until it ends or the router disconnects.
func (a *Agent) serve(ctx context.Context, s execStream, at *attempt, r *reader) {
	defer a.detachReader(at, r)
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		for s.WaitCancel() {
			a.cancelFromRouter(at)
		}
	}()
	out := sender{stream: s}
	consumed := 0
	for {
		snap := r.read(consumed)
		consumed = len(snap.frames)
		switch {
		case snap.framesLost && snap.done:
			if s.Finish(a.framesLostDone(at)) == nil {
				waitForClose(ctx, closed)
			}
			return
		case snap.framesLost:
			// The end follows when the attempt is finished and has its bill.
		case out.send(snap) != nil:
			return
		case len(snap.frames) > 0:
			continue
		case snap.done:
			if s.Finish(a.currentDone(at)) == nil && waitForClose(ctx, closed) {
				a.markDelivered(at)
			}
			return
		}
		select {
		case <-r.wake:
		case <-closed:
			return
		case <-ctx.Done():
			return
		}
	}
}

// sender writes snapshots of a response to a stream.
type sender struct {
	stream   execStream
	headSent bool
}

func (out *sender) send(snap snapshot) error {
	if snap.head != nil && !out.headSent {
		if err := out.stream.Head(snap.head); err != nil {
			return err
		}
		out.headSent = true
	}
	for _, f := range snap.frames {
		if err := out.stream.Data(f.tokens, f.data); err != nil {
			return err
		}
	}
	return nil
}

// waitForClose waits until the router closes the stream, which it does after it
// has read the end. It reports false if the session ended. If the agent closed
// the stream first, the stream would be reset after the session's close
// timeout, and a router with a slow caller would lose the rest of the response.
func waitForClose(ctx context.Context, closed <-chan struct{}) bool {
	select {
	case <-closed:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

func (a *Agent) currentDone(at *attempt) *wire.Done {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.doneLocked(at)
}

// markDelivered records that a router has received the end of a response.
func (a *Agent) markDelivered(at *attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if at.deliveredAt.IsZero() {
		at.deliveredAt = time.Now()
	}
}

// framesLostDone returns the Done message of a finished attempt for a reader
// that needs frames that were dropped.
func (a *Agent) framesLostDone(at *attempt) *wire.Done {
	a.mu.Lock()
	defer a.mu.Unlock()
	done := a.doneLocked(at)
	done.Code, done.Detail = verdict.CodeAnswerNotKept, "parts of the answer are no longer kept"
	return done
}

// cancelFromRouter stops an attempt whose caller has disconnected, unless the
// response has another reader. A running call to a plain service continues:
// stopping it would not undo it, and would lose its outcome and its bill.
func (a *Agent) cancelFromRouter(at *attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if at.req.Kind == wire.KindService && at.state == stateRunning {
		return
	}
	if at.response.readerCount() <= 1 {
		a.stopLocked(at, errCanceled)
	}
}

// detachReader removes a reader. An attempt that has no other reader and does not
// run detached is stopped unless a router reattaches in time.
func (a *Agent) detachReader(at *attempt, r *reader) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if at.response.detach(r) > 0 || at.state == stateFinished || at.runsDetached() {
		return
	}
	at.reattachTimer = time.AfterFunc(reattachTimeout, func() { a.stopIfNoReader(at) })
}

// stopIfNoReader stops an attempt that has no reader. A call to a plain service that runs
// may continue for serviceReaderTimeout.
func (a *Agent) stopIfNoReader(at *attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if at.response.readerCount() > 0 {
		return
	}
	if at.req.Kind == wire.KindService && at.state == stateRunning {
		if remaining := serviceReaderTimeout - time.Since(at.startedAt); remaining > 0 {
			at.reattachTimer = time.AfterFunc(remaining, func() { a.stopIfNoReader(at) })
			return
		}
	}
	a.stopLocked(at, errRouterGone)
}
