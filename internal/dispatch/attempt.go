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

// endState says what the router knows about the end of an attempt.
type endState uint8

const (
	// endNotRun means that the attempt did not run and never will.
	endNotRun endState = iota
	// endDone means that the agent reported the end of the attempt.
	endDone
	// endRestarted means that the agent restarted and lost its state.
	endRestarted
	// endUnreachable means that the router could not learn the end from the
	// agent: it did not reach the agent within the reattach window, the agent's
	// reply was inconsistent, or the context of a replay ended.
	endUnreachable
)

// attempt is one dispatch of a request to an agent. It is used by one
// goroutine.
type attempt struct {
	// accountEpoch is the epoch of the holder that confirmed the reservation's
	// lot.
	accountEpoch uint64
	state        *callState
	id           uuid.UUID
	server       hosts.Host
	bootID       budget.BootID
	session      *wire.Session // of the current stream
	reason       string        // why the server was chosen
	started      time.Time
	claim        *wire.Claim
	// traceCtx holds the attempt's span; traceParent identifies the span to the
	// agent.
	traceCtx    context.Context
	traceParent string
	// reservation is nil for an attempt of an earlier call with the same
	// idempotency key.
	reservation *reservation
	// existing is the earlier attempt with the same idempotency key whose
	// response is replayed instead.
	existing *attempt

	// sendIncomplete is set if the request was not sent completely, so that the
	// agent cannot have started it.
	sendIncomplete bool
	// agentLost is set if the agent is unreachable or has lost its state.
	agentLost bool
	// accepted is set once the agent may run the attempt.
	accepted bool
	// head is the received response head. It is relayed with the first data
	// frame, so that an attempt that fails earlier has relayed nothing.
	head          *wire.Head
	relayed       bool
	incomplete    bool  // some of the response was not relayed
	frames        int   // data frames received
	tokens, bytes int64 // output tokens and body bytes received

	// attachRefused is set if the agent refused to continue the response.
	attachRefused bool

	done    *wire.Done
	refused *wire.Refused
	load    *wire.Load
}

func newAttempt(s *callState, choice route.Choice, r *reservation) *attempt {
	return &attempt{
		state: s, id: uuid.Must(uuid.NewV7()), server: choice.Server,
		bootID: choice.Session.Peer.Boot, session: choice.Session, reason: choice.Reason,
		started: time.Now(), reservation: r,
	}
}

// received reports whether any part of the response was received.
func (a *attempt) received() bool { return a.head != nil || a.frames > 0 }

// context returns the context that bounds the attempt. For an attempt of an
// earlier call, whose response is only replayed, it bounds the replay.
func (a *attempt) context() context.Context {
	if a.reservation == nil {
		return a.state.ctx
	}
	return a.state.attemptCtx
}

// execute sends the request and relays the response until the attempt ends.
func (a *attempt) execute() endState {
	stream, err := a.session.Exec(a.context(), a.request(), a.state.call.Body)
	if errors.Is(err, wire.ErrSendIncomplete) {
		a.sendIncomplete = true
		return endNotRun
	}
	if err == nil {
		if end, known := a.readStream(stream); known {
			return end
		}
	}
	return a.resume()
}

func (a *attempt) request() *wire.ExecRequest {
	c, details := a.state.call, a.reservation.details
	req := &wire.ExecRequest{
		Request: c.Request, Attempt: a.id, Router: a.state.d.Self, AgentBoot: a.bootID,
		Budget: details.Budget, Lot: details.Lot, Slot: details.Slot, MaxCost: details.Amount,
		MaxPromptCost: c.MaxPromptCost, Kind: c.Kind, Target: c.Target, Method: c.Method,
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

// readStream reads and relays the response until the end of the attempt is
// known. It reports false if the stream failed first or the agent refused an
// attach request.
func (a *attempt) readStream(stream *wire.RouterStream) (endState, bool) {
	defer stream.Close()
	defer a.cancelWithContext(stream)()
	for {
		f, err := stream.Next()
		if err != nil {
			return 0, false
		}
		if f.Type == wire.FrameData && a.head != nil {
			a.relayData(f)
			continue
		}
		switch end, next := a.handleMessage(f); next {
		case stepAttemptEnded:
			return end, true
		case stepStreamEnded:
			return 0, false
		}
	}
}

// cancelWithContext cancels the attempt when its context ends, and closes the
// stream if the agent does not report the end within CancelTimeout. An attempt
// of an earlier call is not canceled; its stream is closed at once. The returned
// function stops watching the context.
func (a *attempt) cancelWithContext(stream *wire.RouterStream) func() bool {
	own := a.reservation != nil
	return context.AfterFunc(a.context(), func() {
		if !own {
			stream.Close()
			return
		}
		time.AfterFunc(CancelTimeout, stream.Close)
		_ = stream.Cancel()
	})
}

// relayData relays one data frame to the sink. It does not allocate.
func (a *attempt) relayData(f wire.Frame) {
	a.frames++
	a.tokens += int64(f.Tokens)
	a.bytes += int64(len(f.Payload))
	if a.relayHead() {
		a.handleSinkError(a.state.sink.Data(f.Tokens, f.Payload))
	}
}

// relayHead relays the response head unless that was done before. It reports
// false if the call's context has ended or the sink failed.
func (a *attempt) relayHead() bool {
	if a.state.ctx.Err() != nil {
		a.incomplete = true
		return false
	}
	if a.relayed {
		return true
	}
	a.relayed = true
	return a.handleSinkError(a.state.sink.Head(a.head.Status, a.head.Headers))
}

// handleSinkError cancels the call if err is not nil. It reports whether err is
// nil.
func (a *attempt) handleSinkError(err error) bool {
	if err != nil {
		a.incomplete = true
		a.state.cancel(errSink)
	}
	return err == nil
}

// step says how reading the stream continues after a message.
type step uint8

const (
	// stepRead means that the next frame is read.
	stepRead step = iota
	// stepAttemptEnded means that the end of the attempt is known.
	stepAttemptEnded
	// stepStreamEnded means that nothing more can be read from the stream and
	// that the end of the attempt is not known.
	stepStreamEnded
)

// handleMessage handles every frame except the data frames after the head. A
// malformed message, an unexpected frame type or a data frame before the head
// closes the session.
func (a *attempt) handleMessage(f wire.Frame) (endState, step) {
	switch f.Type {
	case wire.FrameAccepted:
		var msg wire.Accepted
		return a.decodeAndHandle(f, &msg, &msg.Attempt, func() (endState, step) {
			a.accepted, a.load = true, &msg.Load
			return 0, stepRead
		})
	case wire.FrameHead:
		var msg wire.Head
		return a.decodeAndHandle(f, &msg, &msg.Attempt, func() (endState, step) {
			if a.head == nil {
				a.accepted, a.head = true, &msg
			}
			return 0, stepRead
		})
	case wire.FrameDone:
		var msg wire.Done
		return a.decodeAndHandle(f, &msg, &msg.Attempt, func() (endState, step) {
			return a.handleDone(&msg)
		})
	case wire.FrameRefused:
		var msg wire.Refused
		return a.decodeAndHandle(f, &msg, &msg.Attempt, func() (endState, step) {
			return a.handleRefused(&msg)
		})
	default:
		a.session.Close()
		return 0, stepStreamEnded
	}
}

// decodeAndHandle decodes a message and handles it if it belongs to this attempt.
// Messages of other attempts are dropped and counted.
func (a *attempt) decodeAndHandle(f wire.Frame, msg any, id *uuid.UUID, handle func() (endState, step)) (endState, step) {
	if err := f.Decode(msg); err != nil {
		a.session.Close()
		return 0, stepStreamEnded
	}
	if *id != a.id {
		a.state.d.counters.mismatchedMessages.Inc(1)
		return 0, stepRead
	}
	return handle()
}

func (a *attempt) handleDone(msg *wire.Done) (endState, step) {
	a.done, a.load = msg, &msg.Load
	if msg.Code == "" && a.head != nil {
		// A response without data frames has not relayed its head yet.
		a.relayHead()
	}
	return endDone, stepAttemptEnded
}

// handleRefused handles a refusal. If the attempt was accepted before, the agent
// has refused an attach request, which says nothing about the attempt itself.
func (a *attempt) handleRefused(msg *wire.Refused) (endState, step) {
	if a.accepted {
		a.attachRefused = true
		return 0, stepStreamEnded
	}
	a.refused, a.load = msg, &msg.Load
	return endNotRun, stepAttemptEnded
}

// routeResult returns what the attempt says about the health of its server.
func (a *attempt) routeResult() route.Result {
	res := route.Result{
		Load: a.load, Elapsed: time.Since(a.started),
		Bytes: int64(len(a.state.call.Body)) + a.bytes,
	}
	switch {
	case a.sendIncomplete, a.done != nil && a.done.Crashed:
		res.Kind = route.ResultFailed
	case a.refused != nil:
		res.Kind, res.Code = route.ResultRefused, a.refused.Code
	case a.done != nil:
		res.Kind, res.Code = route.ResultOK, a.done.Code
	case a.agentLost:
		res.Kind = route.ResultFailed
	}
	return res
}
