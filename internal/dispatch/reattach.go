package dispatch

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/monsoonworks/monsoonworks/internal/verdict"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// Pauses between attempts to reach an agent again.
const (
	reattachPauseMin = 20 * time.Millisecond
	reattachPauseMax = 500 * time.Millisecond
)

// recover finds out what became of an attempt whose connection was lost, and
// follows the rest of its answer if there is one. It goes on for ReattachWindow
// after the last part of the answer.
func (a *attempt) recover() end {
	window := time.Now().Add(ReattachWindow)
	pause := backoff.ExponentialBackOff{
		InitialInterval: reattachPauseMin, MaxInterval: reattachPauseMax,
		Multiplier: 2, RandomizationFactor: backoff.DefaultRandomizationFactor,
	}
	pause.Reset()
	for time.Now().Before(window) && !a.abandoned() {
		frames := a.frames
		if end, known := a.reattach(window); known {
			return end
		}
		if a.frames > frames && a.context().Err() == nil {
			window = time.Now().Add(ReattachWindow)
			pause.Reset()
		}
		time.Sleep(min(pause.NextBackOff(), time.Until(window)))
	}
	a.lost = true
	return endUnreachable
}

// abandoned reports that nobody waits for the answer of an attempt that this
// call does not settle.
func (a *attempt) abandoned() bool { return a.slot == nil && a.r.ctx.Err() != nil }

// reattach asks the agent about the attempt and continues its answer. It reports
// false if the agent could not be reached or the connection was lost again.
func (a *attempt) reattach(window time.Time) (end, bool) {
	// Only an attempt that never began may be fenced off.
	reply, end, known := a.resolve(window, !a.accepted && !a.received())
	if known || reply == nil {
		return end, known
	}
	if reply.State == wire.AttemptUnknown {
		if a.accepted || a.received() {
			// The agent contradicts itself; its word is worth nothing.
			a.lost = true
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
			return a.forgotten(done)
		}
	}
	stream, err := a.session.Attach(a.context(), &wire.AttachRequest{Attempt: a.id, Offset: a.frames})
	if err != nil {
		if a.context().Err() != nil && a.slot != nil {
			return a.cancelDetached()
		}
		return 0, false
	}
	a.r.d.counters.reattached.Inc(1)
	end, known = a.follow(stream)
	if !known && a.attachRefused && reply.Done != nil {
		return a.forgotten(reply.Done)
	}
	return end, known
}

// cancelDetached attaches to an attempt only to cancel it, because the call has
// ended while its connection was lost.
func (a *attempt) cancelDetached() (end, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), resolveTimeout)
	defer cancel()
	stream, err := a.session.Attach(ctx, &wire.AttachRequest{Attempt: a.id, Offset: a.frames})
	if err != nil {
		return 0, false
	}
	return a.follow(stream)
}

// resolve asks the agent once what became of the attempt, and sets the session
// to continue on. The reply is nil if it could not be asked.
func (a *attempt) resolve(window time.Time, fence bool) (reply *wire.ResolveReply, _ end, known bool) {
	limit, stop := context.WithDeadline(context.Background(), window)
	defer stop()
	ctx, cancel := context.WithTimeout(limit, resolveTimeout)
	defer cancel()
	session, err := a.r.d.Sessions.Get(ctx, a.server.Address)
	if err != nil {
		return nil, 0, false
	}
	if session.Peer.Boot != a.boot {
		a.lost = true
		return nil, endRestarted, true
	}
	reply = new(wire.ResolveReply)
	args := &wire.ResolveArgs{Attempt: a.id, Fence: fence}
	if err := session.Call(ctx, "Agent.Resolve", args, reply); err != nil || reply.Boot != a.boot {
		return nil, 0, false
	}
	if reply.Done != nil && reply.Done.Attempt != a.id {
		a.r.d.counters.crossed.Inc(1)
		return nil, 0, false
	}
	a.session = session
	return reply, 0, false
}

// forgotten ends an attempt whose answer the agent no longer keeps.
func (a *attempt) forgotten(done *wire.Done) (end, bool) {
	kept := *done
	if kept.Code == "" {
		kept.Code, kept.Detail = verdict.CodeAnswerNotKept, "the answer is no longer kept"
	}
	a.done, a.load = &kept, &kept.Load
	return endDone, true
}
