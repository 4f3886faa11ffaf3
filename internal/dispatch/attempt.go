package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/hosts"
	"github.com/monsoonworks/monsoonworks/internal/route"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// end is how far the truth about an attempt is known.
type end uint8

const (
	// endNotRun means that the attempt certainly did not run and never will.
	endNotRun end = iota
	// endDone means that its agent reported its end.
	endDone
	// endRestarted means that the agent's process is gone with its memory.
	endRestarted
	// endUnreachable means that the agent could not be asked in time.
	endUnreachable
)

// attempt is one dispatch to an agent. It is used by one goroutine.
type attempt struct {
	// accountEpoch is the epoch of the holder that confirmed the slot's lot.
	accountEpoch uint64
	r            *run
	id           uuid.UUID
	server       hosts.Host
	boot         budget.BootID
	session      *wire.Session // of the stream in use
	reason       string
	started      time.Time
	claim        *wire.Claim
	// traceCtx holds the attempt's span, and traceParent names it to the agent.
	traceCtx    context.Context
	traceParent string
	// slot is nil for an attempt of an earlier call with the same key.
	slot *slot
	// earlier is the attempt with the same key that was followed instead.
	earlier *attempt

	// unsent is set if the request did not leave this process.
	unsent bool
	// lost is set if the agent or what it knew is gone.
	lost bool
	// accepted is set once the attempt may run.
	accepted bool
	// head is the received head; it is relayed with the first data, so that an
	// attempt which breaks before that has relayed nothing.
	head          *wire.Head
	relayed       bool
	missed        bool // a part of the answer was not relayed
	frames        int  // data frames received
	tokens, bytes int64

	attachRefused bool

	done    *wire.Done
	refused *wire.Refused
	load    *wire.Load
}

func newAttempt(r *run, choice route.Choice, s *slot) *attempt {
	return &attempt{
		r: r, id: uuid.Must(uuid.NewV7()), server: choice.Server,
		boot: choice.Session.Peer.Boot, session: choice.Session, reason: choice.Reason,
		started: time.Now(), slot: s,
	}
}

// received reports whether any part of the answer came in.
func (a *attempt) received() bool { return a.head != nil || a.frames > 0 }

// context ends when the attempt is to be given up. An attempt of an earlier call
// is only watched, so it is left when this call's caller is gone.
func (a *attempt) context() context.Context {
	if a.slot == nil {
		return a.r.ctx
	}
	return a.r.work
}

// execute sends the request and follows its answer to the end.
func (a *attempt) execute() end {
	stream, err := a.session.Exec(a.context(), a.request(), a.r.call.Body)
	if errors.Is(err, wire.ErrSendIncomplete) {
		a.unsent = true
		return endNotRun
	}
	if err == nil {
		if end, known := a.follow(stream); known {
			return end
		}
	}
	return a.recover()
}

func (a *attempt) request() *wire.ExecRequest {
	c, hold := a.r.call, a.slot.hold
	req := &wire.ExecRequest{
		Request: c.Request, Attempt: a.id, Router: a.r.d.Self, TargetBoot: a.boot,
		Budget: hold.Budget, Lot: hold.Lot, Slot: hold.Slot, Reserve: hold.Amount,
		PromptBound: c.PromptBound, Kind: c.Kind, Target: c.Target, Method: c.Method,
		Path: c.Path, Headers: c.Headers, Stream: c.Stream, Priority: c.Priority,
		Claim: a.claim, Fingerprint: c.Fingerprint, Prefixes: c.Prefixes,
		TraceParent: a.traceParent, Idempotent: c.Idempotent, MaxOutput: c.MaxOutput,
		AccountEpoch: a.accountEpoch,
	}
	if !c.Deadline.IsZero() {
		req.DeadlineMillis = max(1, time.Until(c.Deadline).Milliseconds())
	}
	return req
}

// follow reads the answer until the attempt's end is known. It reports false if
// the connection was lost before.
func (a *attempt) follow(stream *wire.RouterStream) (end, bool) {
	defer stream.Close()
	defer a.cancelOnEnd(stream)()
	for {
		f, err := stream.Next()
		if err != nil {
			return 0, false
		}
		if f.Type == wire.FrameData && a.head != nil {
			a.data(f)
			continue
		}
		switch end, next := a.message(f); next {
		case nextKnown:
			return end, true
		case nextLost:
			return 0, false
		}
	}
}

// cancelOnEnd cancels the attempt when its context ends, and closes the stream
// if the agent does not finish the attempt then. The returned function stops
// this.
func (a *attempt) cancelOnEnd(stream *wire.RouterStream) func() bool {
	own := a.slot != nil
	return context.AfterFunc(a.context(), func() {
		if !own {
			stream.Close()
			return
		}
		time.AfterFunc(CancelTimeout, stream.Close)
		_ = stream.Cancel()
	})
}

// data passes on one part of the answer. It does not allocate.
func (a *attempt) data(f wire.Frame) {
	a.frames++
	a.tokens += int64(f.Tokens)
	a.bytes += int64(len(f.Payload))
	if a.relayHead() {
		a.checkSink(a.r.sink.Data(f.Tokens, f.Payload))
	}
}

// relayHead passes the head on if that was not done yet. It reports whether the
// caller is still there.
func (a *attempt) relayHead() bool {
	if a.r.ctx.Err() != nil {
		a.missed = true
		return false
	}
	if a.relayed {
		return true
	}
	a.relayed = true
	return a.checkSink(a.r.sink.Head(a.head.Status, a.head.Headers))
}

func (a *attempt) checkSink(err error) bool {
	if err != nil {
		a.missed = true
		a.r.cancel(errSink)
	}
	return err == nil
}

// next says how to go on after a message.
type next uint8

const (
	nextRead next = iota
	nextKnown
	nextLost
)

// message handles every frame but data. One that cannot be parsed or is out of
// order closes its connection.
func (a *attempt) message(f wire.Frame) (end, next) {
	switch f.Type {
	case wire.FrameAccepted:
		var msg wire.Accepted
		return a.decoded(f, &msg, &msg.Attempt, func() (end, next) {
			a.accepted, a.load = true, &msg.Load
			return 0, nextRead
		})
	case wire.FrameHead:
		var msg wire.Head
		return a.decoded(f, &msg, &msg.Attempt, func() (end, next) {
			if a.head == nil {
				a.accepted, a.head = true, &msg
			}
			return 0, nextRead
		})
	case wire.FrameDone:
		var msg wire.Done
		return a.decoded(f, &msg, &msg.Attempt, func() (end, next) {
			return a.finished(&msg)
		})
	case wire.FrameRefused:
		var msg wire.Refused
		return a.decoded(f, &msg, &msg.Attempt, func() (end, next) {
			return a.refusedBy(&msg)
		})
	default:
		a.session.Close()
		return 0, nextLost
	}
}

// decoded parses a message and handles it if it is about this attempt. Others
// are dropped and counted.
func (a *attempt) decoded(f wire.Frame, msg any, id *uuid.UUID, handle func() (end, next)) (end, next) {
	if err := f.Decode(msg); err != nil {
		a.session.Close()
		return 0, nextLost
	}
	if *id != a.id {
		a.r.d.counters.crossed.Inc(1)
		return 0, nextRead
	}
	return handle()
}

func (a *attempt) finished(msg *wire.Done) (end, next) {
	a.done, a.load = msg, &msg.Load
	if msg.Code == "" && a.head != nil {
		a.relayHead()
	}
	return endDone, nextKnown
}

// refusedBy handles a refusal. The refusal of an attach says that there is no
// answer to continue, which is no statement about the attempt.
func (a *attempt) refusedBy(msg *wire.Refused) (end, next) {
	if a.accepted {
		a.attachRefused = true
		return 0, nextLost
	}
	a.refused, a.load = msg, &msg.Load
	return endNotRun, nextKnown
}

// routeResult is what the attempt says about its server's health.
func (a *attempt) routeResult() route.Result {
	res := route.Result{
		Load: a.load, Elapsed: time.Since(a.started),
		Bytes: int64(len(a.r.call.Body)) + a.bytes,
	}
	switch {
	case a.unsent, a.done != nil && a.done.Crashed:
		res.Kind = route.ResultFailed
	case a.refused != nil:
		res.Kind, res.Code = route.ResultRefused, a.refused.Code
	case a.done != nil:
		res.Kind, res.Code = route.ResultOK, a.done.Code
	case a.lost:
		res.Kind = route.ResultFailed
	}
	return res
}
