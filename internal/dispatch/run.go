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

// Causes of a canceled call context.
var (
	errDeadline = errors.New("deadline of the call exceeded")
	errSink     = errors.New("response could not be relayed to the caller")
)

// callState is the state of one call. It is used by one goroutine.
type callState struct {
	d    *Dispatcher
	call *Call
	sink Sink
	// ctx ends when the caller disconnects or the deadline passes.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// attemptCtx bounds the attempt in progress. It ends with ctx, or only at
	// the deadline for a call that runs detached.
	attemptCtx  context.Context
	stopAttempt context.CancelFunc

	attempts []AttemptSummary
	// excluded names the servers of earlier attempts, which are not chosen again.
	excluded []string
	// earlierVerdict combines the verdicts of the earlier attempts; it is
	// NotRun before the first one.
	earlierVerdict verdict.Verdict
	// repeated is set after an attempt that may have run was repeated.
	repeated bool
	// claimedFor is the last attempt that the idempotency key was claimed for.
	claimedFor uuid.UUID
}

// retryKind is the condition under which a call may be retried.
type retryKind uint8

const (
	// The zero value allows no retry.
	_ retryKind = iota
	// retryUnsent follows an attempt whose request was sent incompletely or not
	// at all.
	retryUnsent
	// retryRefused follows an attempt that was sent and did not run, usually
	// because its agent refused it, if another server may accept the request.
	retryRefused
	// retryMayHaveRun follows an attempt that may have run and has relayed
	// nothing.
	retryMayHaveRun
)

// result is the outcome of one attempt and the condition for a retry.
type result struct {
	Outcome
	retry retryKind
	// noServer is set if no server was available for the attempt.
	noServer bool
}

func failed(err *verdict.Error) result {
	return result{Outcome: Outcome{Verdict: err.Verdict, Err: err}}
}

func failedRetryable(err *verdict.Error, retry retryKind) result {
	res := failed(err)
	res.retry = retry
	return res
}

func newCallState(ctx context.Context, d *Dispatcher, call *Call, sink Sink) *callState {
	s := &callState{d: d, call: call, sink: sink, earlierVerdict: verdict.NotRun}
	callerCtx, stopCaller := withDeadline(ctx, call.Deadline)
	s.ctx, s.cancel = context.WithCancelCause(callerCtx)
	s.attemptCtx, s.stopAttempt = s.ctx, stopCaller
	if call.runsDetached() {
		attemptCtx, stop := withDeadline(context.WithoutCancel(ctx), call.Deadline)
		s.attemptCtx, s.stopAttempt = attemptCtx, func() { stop(); stopCaller() }
	}
	return s
}

// runsDetached reports whether an attempt continues after the caller
// disconnects. With an idempotency key the caller can repeat the request to get
// the response. Canceling a non-idempotent call to a plain service would not
// undo it, and would lose its bill.
func (c *Call) runsDetached() bool {
	return c.Key != "" || c.Kind == wire.KindService && !c.Idempotent
}

func withDeadline(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	if deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadlineCause(ctx, deadline, errDeadline)
}

func (s *callState) close() {
	s.cancel(nil)
	s.stopAttempt()
}

// run sends attempts until the call succeeds or may not be retried.
func (s *callState) run() Outcome {
	var last result
	for attempts := 1; ; attempts++ {
		res := s.attemptOnce()
		if res.noServer && attempts > 1 {
			return s.outcome(last) // its error tells the caller more than "no server"
		}
		last = res
		if attempts == maxAttempts || !s.mayRetry(res) {
			return s.outcome(res)
		}
		s.earlierVerdict = combineVerdicts(s.earlierVerdict, res.Verdict)
		s.d.counters.retries.Inc(1)
	}
}

// mayRetry reports whether another attempt is allowed. The retry budget is
// checked last, so that a retry that is not allowed anyway takes nothing from
// it.
func (s *callState) mayRetry(res result) bool {
	if s.ctx.Err() != nil {
		return false
	}
	switch res.retry {
	case retryUnsent:
		return true
	case retryRefused:
		return s.d.Retries.Allow()
	case retryMayHaveRun:
		// An idempotency key stays bound to the attempt that may have run.
		if !s.call.Idempotent || s.call.Key != "" || s.repeated || !s.d.Retries.Allow() {
			return false
		}
		s.repeated = true
		return true
	default:
		return false
	}
}

// outcome returns the outcome of the call from the last attempt's result and
// the verdicts of earlier attempts.
func (s *callState) outcome(res result) Outcome {
	out := res.Outcome
	out.Verdict = combineVerdicts(s.earlierVerdict, out.Verdict)
	out.Attempts = s.attempts
	if out.Err != nil && out.Err.Verdict != out.Verdict {
		combined := *out.Err
		combined.Verdict = out.Verdict
		out.Err = &combined
	}
	return out
}

// combineVerdicts returns the verdict for two attempts of one request together.
func combineVerdicts(a, b verdict.Verdict) verdict.Verdict {
	switch {
	case a == verdict.Ran || b == verdict.Ran:
		return verdict.Ran
	case a == verdict.Unknown || b == verdict.Unknown:
		return verdict.Unknown
	default:
		return verdict.NotRun
	}
}

// attemptOnce makes one attempt and closes its reservation.
func (s *callState) attemptOnce() result {
	if s.ctx.Err() != nil {
		return failed(s.contextError(verdict.NotRun))
	}
	reserved, err := s.d.Wallet.Reserve(s.ctx, s.call.Budget, s.call.MaxCost)
	if err != nil {
		return failed(s.notSentError(err, verdict.CodeBudgetUnreachable))
	}
	r := s.d.openReservation(reserved)
	choice, err := s.d.Chooser.Choose(s.ctx, s.query())
	if err != nil {
		r.release()
		res := failed(s.notSentError(err, verdict.CodeNoServer))
		res.noServer = s.ctx.Err() == nil
		return res
	}
	a := newAttempt(s, choice, r)
	defer r.ensureClosed(s.call, a.id, choice.Server.Name, choice.Server.Address)
	endSpan := s.startSpan(a)
	res := s.runAttempt(a)
	endSpan(res)
	choice.Done(a.routeResult())
	s.excluded = append(s.excluded, choice.Server.Name)
	s.recordAttempt(a, res)
	return res
}

func (s *callState) query() route.Query {
	c := s.call
	return route.Query{
		Target: c.Target, Kind: c.Kind, Prefixes: c.Prefixes, PromptTokens: c.PromptTokens,
		Priority: c.Priority, Fingerprint: c.Fingerprint, Exclude: slices.Clone(s.excluded),
	}
}

// runAttempt runs an attempt on its chosen server and settles or releases its
// reservation.
func (s *callState) runAttempt(a *attempt) result {
	epoch, err := s.d.Wallet.ConfirmLot(s.ctx, a.reservation.details, a.session.Established)
	if err != nil {
		a.reservation.release()
		return failedRetryable(s.notSentError(err, verdict.CodeBudgetUnreachable), retryUnsent)
	}
	a.accountEpoch = epoch
	if s.call.Key != "" {
		existing, fail := s.claim(a)
		if fail != nil {
			a.reservation.release()
			return failed(fail)
		}
		if existing != nil {
			a.reservation.release()
			a.existing = existing
			return s.replay(existing)
		}
	}
	if err := s.d.Suspects.Permit(s.ctx, s.call.Fingerprint, a.id); err != nil {
		a.reservation.release()
		return failed(s.notSentError(err, verdict.CodeOverloaded))
	}
	s.d.counters.attempts.Inc(1)
	end := a.execute()
	s.d.Suspects.ReportFinished(s.call.Fingerprint, a.id, a.completed())
	return s.settle(a, end)
}

// notSentError returns err as a *verdict.Error for an attempt that was not
// sent. code applies if err carries no verdict.
func (s *callState) notSentError(err error, code verdict.Code) *verdict.Error {
	var known *verdict.Error
	switch {
	case s.ctx.Err() != nil:
		return s.contextError(verdict.NotRun).WithCause(err)
	case errors.As(err, &known):
		return known
	default:
		return verdict.New(verdict.NotRun, code, "the request could not be sent to a server").
			WithRetryAfter(time.Second).WithCause(err)
	}
}

// contextError returns the error for a call whose context has ended.
func (s *callState) contextError(v verdict.Verdict) *verdict.Error {
	if errors.Is(context.Cause(s.ctx), errDeadline) {
		return verdict.New(v, verdict.CodeDeadlineExceeded, "the request's deadline has passed")
	}
	return verdict.New(v, verdict.CodeCanceled, "the caller has closed the connection")
}

func (s *callState) recordAttempt(a *attempt, res result) {
	summary := AttemptSummary{Verdict: res.Verdict, Elapsed: time.Since(a.started)}
	if res.Err != nil {
		summary.Code = res.Err.Code
	}
	if a.existing == nil {
		summary.Reserved = a.reservation.details.Amount
		if res.Bill != nil {
			summary.Billed = res.Bill.Amount
		}
	} else {
		a = a.existing // the summary describes the replayed attempt, which this call does not pay for
	}
	summary.Server, summary.Region, summary.Reason, summary.ID = a.server.Name, a.server.Region, a.reason, a.id
	s.attempts = append(s.attempts, summary)
}
