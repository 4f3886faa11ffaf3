package dispatch

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/monsoonworks/monsoonworks/internal/verdict"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// Backoff between requests to an agent for the state of an attempt.
const (
	reattachBackoffMin = 20 * time.Millisecond
	reattachBackoffMax = 500 * time.Millisecond
)

// resume resolves an attempt whose connection was lost, and relays the rest of
// its response if there is one. It gives up ReattachWindow after the last data
// frame.
func (a *attempt) resume() endState {
	deadline := time.Now().Add(ReattachWindow)
	delays := backoff.ExponentialBackOff{
		InitialInterval: reattachBackoffMin, MaxInterval: reattachBackoffMax,
		Multiplier: 2, RandomizationFactor: backoff.DefaultRandomizationFactor,
	}
	delays.Reset()
	for time.Now().Before(deadline) && !a.abandoned() {
		frames := a.frames
		if end, known := a.reattach(deadline); known {
			return end
		}
		if a.frames > frames && a.context().Err() == nil {
			deadline = time.Now().Add(ReattachWindow)
			delays.Reset()
		}
		time.Sleep(min(delays.NextBackOff(), time.Until(deadline)))
	}
	a.agentLost = true
	return endUnreachable
}

// abandoned reports whether the caller has left while this call only replays an
// earlier attempt.
func (a *attempt) abandoned() bool { return a.reservation == nil && a.state.ctx.Err() != nil }

// reattach asks the agent about the attempt and continues its response. It
// reports false if the agent could not be reached or the connection was lost
// again.
func (a *attempt) reattach(deadline time.Time) (endState, bool) {
	// Only an attempt that never began may be fenced.
	reply, end, known := a.resolve(deadline, !a.accepted && !a.received())
	if known || reply == nil {
		return end, known
	}
	if reply.State == wire.AttemptUnknown {
		if a.accepted || a.received() {
			// The agent accepted the attempt earlier, so its reply is
			// inconsistent and is not used.
			a.agentLost = true
			return endUnreachable, true
		}
		return endNotRun, true
	}
	a.accepted = true
	if done := reply.Done; done != nil {
		if done.Verdict == verdict.NotRun && !a.received() {
			a.done, a.load = done, &done.Load
			return endDone, true
		}
		if reply.State == wire.AttemptExpired {
			return a.finishExpired(done)
		}
	}
	stream, err := a.session.Attach(a.context(), &wire.AttachRequest{Attempt: a.id, Offset: a.frames})
	if err != nil {
		if a.context().Err() != nil && a.reservation != nil {
			return a.attachToCancel()
		}
		return 0, false
	}
	a.state.d.counters.reattached.Inc(1)
	end, known = a.follow(stream)
	if !known && a.attachRefused && reply.Done != nil {
		return a.finishExpired(reply.Done)
	}
	return end, known
}

// attachToCancel attaches to an attempt only to cancel it: the call ended while
// the connection was lost. The attempt's context has ended, so follow sends the
// cancellation.
func (a *attempt) attachToCancel() (endState, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), resolveTimeout)
	defer cancel()
	stream, err := a.session.Attach(ctx, &wire.AttachRequest{Attempt: a.id, Offset: a.frames})
	if err != nil {
		return 0, false
	}
	return a.follow(stream)
}

// resolve asks the agent once for the state of the attempt, and sets the
// session to continue on. With fence set, an agent that does not know the
// attempt refuses it from then on. The reply is nil if there is no valid one.
// known is set if the agent has restarted, which ends the attempt.
func (a *attempt) resolve(deadline time.Time, fence bool) (reply *wire.ResolveReply, _ endState, known bool) {
	deadlineCtx, stop := context.WithDeadline(context.Background(), deadline)
	defer stop()
	ctx, cancel := context.WithTimeout(deadlineCtx, resolveTimeout)
	defer cancel()
	session, err := a.state.d.Sessions.Get(ctx, a.server.Address)
	if err != nil {
		return nil, 0, false
	}
	if session.Peer.Boot != a.bootID {
		a.agentLost = true
		return nil, endRestarted, true
	}
	reply = new(wire.ResolveReply)
	args := &wire.ResolveArgs{Attempt: a.id, Fence: fence}
	if err := session.Call(ctx, "Agent.Resolve", args, reply); err != nil || reply.Boot != a.bootID {
		return nil, 0, false
	}
	if reply.Done != nil && reply.Done.Attempt != a.id {
		a.state.d.counters.mismatchedMessages.Inc(1)
		return nil, 0, false
	}
	a.session = session
	return reply, 0, false
}

// finishExpired ends an attempt whose response the agent no longer keeps.
func (a *attempt) finishExpired(done *wire.Done) (endState, bool) {
	ended := *done
	if ended.Code == "" {
		ended.Code, ended.Detail = verdict.CodeAnswerNotKept, "the answer is no longer kept"
	}
	a.done, a.load = &ended, &ended.Load
	return endDone, true
}
