package dispatch

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/monsoonworks/monsoonworks/internal/route"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// Causes of the end of a call's context.
var (
	errDeadline = errors.New("deadline of the call exceeded")
	errSink     = errors.New("answer could not be passed to the caller")
)

// run is the state of one call. It is used by one goroutine.
type run struct {
	d    *Dispatcher
	call *Call
	sink Sink
	// ctx ends when the caller is gone or the deadline has passed.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// work ends when the attempt in progress is to be cancelled: with ctx, or at
	// the deadline only for a call that runs on without its caller.
	work     context.Context
	stopWork context.CancelFunc

	hops    []AttemptSummary
	exclude []string
	// past is what the earlier attempts together say; NotRun before the first.
	past verdict.Verdict
	// repeated is set once an attempt that may have run was repeated.
	repeated bool
	// claimed is the last attempt that the key was claimed for.
	claimed uuid.UUID
}

// retryKind says on which condition a call may be sent again.
type retryKind uint8

const (
	// The zero value ends the call.
	_ retryKind = iota
	// retryUnsent follows an attempt that no server heard of.
	retryUnsent
	// retryNotRun follows an attempt that its agent refused.
	retryNotRun
	// retryRepeat follows an attempt that may have run and relayed nothing.
	retryRepeat
)

// result is how one attempt ended.
type result struct {
	Outcome
	retry retryKind
	// unplaced is set if there was no server for the attempt.
	unplaced bool
}

func failed(err *verdict.Error) result {
	return result{Outcome: Outcome{Verdict: err.Verdict, Err: err}}
}

func failedRetry(err *verdict.Error, retry retryKind) result {
	res := failed(err)
	res.retry = retry
	return res
}

func newRun(ctx context.Context, d *Dispatcher, call *Call, sink Sink) *run {
	r := &run{d: d, call: call, sink: sink, past: verdict.NotRun}
	callerCtx, stopCaller := withDeadline(ctx, call.Deadline)
	r.ctx, r.cancel = context.WithCancelCause(callerCtx)
	r.work, r.stopWork = r.ctx, stopCaller
	if call.runsOn() {
		work, stop := withDeadline(context.WithoutCancel(ctx), call.Deadline)
		r.work, r.stopWork = work, func() { stop(); stopCaller() }
	}
	return r
}

// runsOn reports whether an attempt goes on when the caller is gone. With a key
// the caller can come back for the answer. Stopping a plain service's call that
// must not be repeated would not undo it, and its bill is worth knowing.
func (c *Call) runsOn() bool {
	return c.Key != "" || c.Kind == wire.KindService && !c.Idempotent
}

func withDeadline(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	if deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadlineCause(ctx, deadline, errDeadline)
}

func (r *run) close() {
	r.cancel(nil)
	r.stopWork()
}

// do sends attempts until one ends the call.
func (r *run) do() Outcome {
	var last result
	for attempts := 1; ; attempts++ {
		res := r.once()
		if res.unplaced && attempts > 1 {
			return r.outcome(last) // it says more than that no server is left
		}
		last = res
		if attempts == maxAttempts || !r.mayRetry(res) {
			return r.outcome(res)
		}
		r.past = combine(r.past, res.Verdict)
		r.d.counters.retries.Inc(1)
	}
}

// mayRetry decides about another attempt. The retry budget is asked last, so
// that a retry which is not allowed anyway takes nothing from it.
func (r *run) mayRetry(res result) bool {
	if r.ctx.Err() != nil {
		return false
	}
	switch res.retry {
	case retryUnsent:
		return true
	case retryNotRun:
		return r.d.Retries.Allow()
	case retryRepeat:
		// A key stays bound to the attempt that may have run.
		if !r.call.Idempotent || r.call.Key != "" || r.repeated || !r.d.Retries.Allow() {
			return false
		}
		r.repeated = true
		return true
	default:
		return false
	}
}

// outcome joins the last attempt's result with what earlier attempts say.
func (r *run) outcome(res result) Outcome {
	out := res.Outcome
	out.Verdict = combine(r.past, out.Verdict)
	out.Attempts = r.hops
	if out.Err != nil && out.Err.Verdict != out.Verdict {
		joined := *out.Err
		joined.Verdict = out.Verdict
		out.Err = &joined
	}
	return out
}

// combine returns what two attempts of one request say together.
func combine(a, b verdict.Verdict) verdict.Verdict {
	switch {
	case a == verdict.Ran || b == verdict.Ran:
		return verdict.Ran
	case a == verdict.Unknown || b == verdict.Unknown:
		return verdict.Unknown
	default:
		return verdict.NotRun
	}
}

// once makes one attempt and ends its reservation.
func (r *run) once() result {
	if r.ctx.Err() != nil {
		return failed(r.ended(verdict.NotRun))
	}
	hold, err := r.d.Wallet.Reserve(r.ctx, r.call.Budget, r.call.Reserve)
	if err != nil {
		return failed(r.errorOf(err, verdict.CodeBudgetUnreachable))
	}
	s := r.d.openSlot(hold)
	choice, err := r.d.Chooser.Choose(r.ctx, r.query())
	if err != nil {
		s.release()
		res := failed(r.errorOf(err, verdict.CodeNoServer))
		res.unplaced = r.ctx.Err() == nil
		return res
	}
	a := newAttempt(r, choice, s)
	defer s.ensureEnded(r.call, a.id, choice.Server.Name, choice.Server.Address)
	endSpan := r.startSpan(a)
	res := r.tryServer(a)
	endSpan(res)
	choice.Done(a.routeResult())
	r.exclude = append(r.exclude, choice.Server.Name)
	r.addHop(a, res)
	return res
}

func (r *run) query() route.Query {
	c := r.call
	return route.Query{
		Target: c.Target, Kind: c.Kind, Prefixes: c.Prefixes, PromptTokens: c.PromptTokens,
		Priority: c.Priority, Fingerprint: c.Fingerprint, Exclude: slices.Clone(r.exclude),
	}
}

// tryServer takes an attempt from the choice of its server to its end.
func (r *run) tryServer(a *attempt) result {
	epoch, err := r.d.Wallet.ConfirmLot(r.ctx, a.slot.hold, a.session.Established)
	if err != nil {
		a.slot.release()
		return failedRetry(r.errorOf(err, verdict.CodeBudgetUnreachable), retryUnsent)
	}
	a.accountEpoch = epoch
	if r.call.Key != "" {
		earlier, fail := r.claim(a)
		if fail != nil {
			a.slot.release()
			return failed(fail)
		}
		if earlier != nil {
			a.slot.release()
			a.earlier = earlier
			return r.replay(earlier)
		}
	}
	if err := r.d.Suspects.Permit(r.ctx, r.call.Fingerprint, a.id); err != nil {
		a.slot.release()
		return failed(r.errorOf(err, verdict.CodeOverloaded))
	}
	r.d.counters.attempts.Inc(1)
	end := a.execute()
	r.d.Suspects.Finished(r.call.Fingerprint, a.id, a.completed())
	return r.settle(a, end)
}

// errorOf returns err as a verdict for an attempt that was not sent.
func (r *run) errorOf(err error, code verdict.Code) *verdict.Error {
	var known *verdict.Error
	switch {
	case r.ctx.Err() != nil:
		return r.ended(verdict.NotRun).WithCause(err)
	case errors.As(err, &known):
		return known
	default:
		return verdict.New(verdict.NotRun, code, "the request could not be sent to a server").
			WithRetryAfter(time.Second).WithCause(err)
	}
}

// ended returns the error for a call whose context has ended.
func (r *run) ended(v verdict.Verdict) *verdict.Error {
	if errors.Is(context.Cause(r.ctx), errDeadline) {
		return verdict.New(v, verdict.CodeDeadlineExceeded, "the request's deadline has passed")
	}
	return verdict.New(v, verdict.CodeCanceled, "the caller has closed the connection")
}

func (r *run) addHop(a *attempt, res result) {
	hop := AttemptSummary{Verdict: res.Verdict, Elapsed: time.Since(a.started)}
	if res.Err != nil {
		hop.Code = res.Err.Code
	}
	if a.earlier == nil {
		hop.Reserved = a.slot.hold.Amount
		if res.Bill != nil {
			hop.Billed = res.Bill.Amount
		}
	} else {
		a = a.earlier // this call reserves and pays nothing
	}
	hop.Server, hop.Region, hop.Reason, hop.ID = a.server.Name, a.server.Region, a.reason, a.id
	r.hops = append(r.hops, hop)
}
