package dispatch

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/monsoonworks/monsoonworks/internal/verdict"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// Backoff between Agent.Resolve calls for one attempt.
const (
	reattachBackoffMin = 20 * time.Millisecond
	reattachBackoffMax = 500 * time.Millisecond
)

// resume determines the end of an attempt without an open stream, after a lost
// connection or for a replay, and relays the rest of its response if there is
// one. It gives up after ReattachWindow. The window restarts after a reattach
// that received data, unless the attempt's context has ended.
func (a *attempt) resume() endState {
	deadline := time.Now().Add(ReattachWindow)
	delays := backoff.ExponentialBackOff{
		InitialInterval: reattachBackoffMin, MaxInterval: reattachBackoffMax,
		Multiplier: 2, RandomizationFactor: backoff.DefaultRandomizationFactor,
	}
	delays.Reset()
	for time.Now().Before(deadline) && !a.replayCanceled() {
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

// replayCanceled reports whether this call only replays an earlier attempt and
// its context has ended.
func (a *attempt) replayCanceled() bool { return a.reservation == nil && a.state.ctx.Err() != nil }

// reattach asks the agent about the attempt and continues its response. It
// reports false if the agent could not be reached or the connection was lost
// again.
func (a *attempt) reattach(deadline time.Time) (endState, bool) {
	// The agent may add a tombstone only if nothing shows that it accepted the
	// attempt.
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
	end, known = a.readStream(stream)
	if !known && a.attachRefused && reply.Done != nil {
		return a.finishExpired(reply.Done)
	}
	return end, known
}

// attachToCancel attaches to an attempt whose context ended while the connection
// was lost, to cancel it and receive its end. As the context has ended,
// readStream sends the cancellation at once.
func (a *attempt) attachToCancel() (endState, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), resolveTimeout)
	defer cancel()
	stream, err := a.session.Attach(ctx, &wire.AttachRequest{Attempt: a.id, Offset: a.frames})
	if err != nil {
		return 0, false
	}
	return a.readStream(stream)
}

// resolve asks the agent once for the state of the attempt, and sets the
// session to continue on. With addTombstone set, an agent that does not know
// the attempt adds a tombstone and refuses the attempt from then on. The reply
// is nil if there is no valid one. restarted is set if the agent has restarted,
// which ends the attempt.
func (a *attempt) resolve(deadline time.Time, addTombstone bool) (reply *wire.ResolveReply, _ endState, restarted bool) {
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
	args := &wire.ResolveArgs{Attempt: a.id, Tombstone: addTombstone}
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
