package agent

import (
	"context"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/verdict"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// readerGrace is how long an attempt that can be repeated goes on without a
// reader: a router that lost its session attaches again within this time.
const readerGrace = 3 * time.Second

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

// Exec runs an attempt and sends its answer. It implements wire.Services.
func (a *Agent) Exec(ctx context.Context, peer wire.Hello, s *wire.AgentStream, req *wire.ExecRequest) {
	a.exec(ctx, peer, s, req)
}

// Attach sends the answer of an earlier attempt from an offset on. It implements
// wire.Services.
func (a *Agent) Attach(ctx context.Context, _ wire.Hello, s *wire.AgentStream, req *wire.AttachRequest) {
	a.attach(ctx, s, req)
}

func (a *Agent) exec(ctx context.Context, peer wire.Hello, s execStream, req *wire.ExecRequest) {
	body, err := s.ReadBody(req.BodyBytes)
	if err != nil {
		return // nothing is registered, so nothing will run
	}
	defer a.startServing()()
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
		a.leave(at, first)
		return
	}
	a.serve(ctx, s, at, first)
}

// prepare checks a request and makes the engine's body from it.
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
	if r.seen {
		return
	}
	_ = s.Refuse(&wire.Refused{
		Attempt: req.Attempt, Code: r.code, Detail: r.detail,
		RetryAfterMillis: r.retryAfter.Milliseconds(), Load: a.Load(),
	})
}

func (a *Agent) attach(ctx context.Context, s execStream, req *wire.AttachRequest) {
	defer a.startServing()()
	a.metrics.attaches.Inc(1)
	at, r, done := a.attachReader(req)
	switch {
	case at != nil:
		if s.Accept(&wire.Accepted{Attempt: at.id, Load: a.Load()}) != nil {
			a.leave(at, r)
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

// attachReader returns the attempt with a new reader; or how it ended if its
// answer is no longer kept, with verdict unknown if the agent has not seen it; or
// neither if it was given up and will never run.
func (a *Agent) attachReader(req *wire.AttachRequest) (*attempt, *reader, *wire.Done) {
	a.mu.Lock()
	defer a.mu.Unlock()
	state, done := a.resolveLocked(req.Attempt, false)
	switch state {
	case wire.AttemptRunning, wire.AttemptFinished:
		at := a.attempts[req.Attempt]
		if at.grace != nil {
			at.grace.Stop()
		}
		return at, at.answer.attach(req.Offset), nil
	case wire.AttemptExpired:
		done.Code = verdict.CodeAnswerNotKept
		return nil, nil, done
	}
	if a.ledger.entombed(req.Attempt) {
		return nil, nil, nil
	}
	return nil, nil, &wire.Done{
		Attempt: req.Attempt, Verdict: verdict.Unknown, Code: verdict.CodeAnswerNotKept,
		Detail: "the attempt is not known here", Load: a.loadLocked(),
	}
}

// startServing counts a stream in progress until the returned function is called.
func (a *Agent) startServing() func() {
	a.mu.Lock()
	a.serving++
	a.mu.Unlock()
	return func() {
		a.mu.Lock()
		a.serving--
		a.noteChangeLocked()
		a.mu.Unlock()
	}
}

// serve sends an answer to a router until its end, or until the router is gone.
func (a *Agent) serve(ctx context.Context, s execStream, at *attempt, r *reader) {
	defer a.leave(at, r)
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		for s.WaitCancel() {
			a.cancelByRouter(at)
		}
	}()
	out := sender{stream: s}
	consumed := 0
	for {
		v := r.read(consumed)
		consumed = len(v.frames)
		switch {
		case v.lost && v.done:
			if s.Finish(a.lostDone(at)) == nil {
				waitClosed(ctx, gone)
			}
			return
		case v.lost:
			// The end follows with the attempt's bill.
		case out.send(v) != nil:
			return
		case len(v.frames) > 0:
			continue
		case v.done:
			if s.Finish(a.currentDone(at)) == nil && waitClosed(ctx, gone) {
				a.noteDelivered(at)
			}
			return
		}
		select {
		case <-r.wake:
		case <-gone:
			return
		case <-ctx.Done():
			return
		}
	}
}

// sender writes views of an answer to a stream.
type sender struct {
	stream   execStream
	headSent bool
}

func (out *sender) send(v view) error {
	if v.head != nil && !out.headSent {
		if err := out.stream.Head(v.head); err != nil {
			return err
		}
		out.headSent = true
	}
	for _, f := range v.frames {
		if err := out.stream.Data(f.tokens, f.data); err != nil {
			return err
		}
	}
	return nil
}

// waitClosed waits until the router closes the stream, which it does after it has
// read the end. It reports false if the session ended. A stream that the agent
// closed first would be reset after the session's close timeout, and a router with
// a slow caller would lose the rest of the answer.
func waitClosed(ctx context.Context, gone <-chan struct{}) bool {
	select {
	case <-gone:
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

// noteDelivered notes that a router has the end of an attempt.
func (a *Agent) noteDelivered(at *attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if at.deliveredAt.IsZero() {
		at.deliveredAt = time.Now()
	}
}

// lostDone returns the end of a finished attempt for a reader that needs parts
// which are no longer kept.
func (a *Agent) lostDone(at *attempt) *wire.Done {
	a.mu.Lock()
	defer a.mu.Unlock()
	done := a.doneLocked(at)
	done.Code, done.Detail = verdict.CodeAnswerNotKept, "parts of the answer are no longer kept"
	return done
}

// cancelByRouter stops an attempt whose caller is gone, unless another reader
// waits for its answer. A plain service's call that must not be repeated goes on:
// stopping it would not undo it, and its outcome is worth knowing.
func (a *Agent) cancelByRouter(at *attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if at.req.Kind == wire.KindService && !at.req.Idempotent {
		return
	}
	if at.answer.readerCount() <= 1 {
		a.stopLocked(at, errCanceled)
	}
}

// leave removes a reader. An attempt that can be repeated is stopped if no reader
// comes back in time.
func (a *Agent) leave(at *attempt, r *reader) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if at.answer.detach(r) > 0 || at.state == stateFinished || at.runsAlone() {
		return
	}
	at.grace = time.AfterFunc(readerGrace, func() { a.stopUnread(at) })
}

func (a *Agent) stopUnread(at *attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if at.answer.readerCount() == 0 {
		a.stopLocked(at, errRouterGone)
	}
}
