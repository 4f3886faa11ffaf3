package dispatch

import (
	"time"

	"github.com/google/uuid"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// settle closes the reservation of an attempt after execute, and returns its
// result.
func (s *callState) settle(a *attempt, end endState) result {
	switch {
	case end == endNotRun:
		a.reservation.release()
		return s.notRunResult(a)
	case end != endDone:
		return s.settleLost(a, end)
	case a.done.Verdict == verdict.NotRun && !a.received() && isFree(a.done.Bill):
		a.reservation.release()
		return s.notRunResult(a)
	default:
		return s.settleDone(a)
	}
}

// notRunResult returns the result of an attempt that did not run.
func (s *callState) notRunResult(a *attempt) result {
	if s.ctx.Err() != nil {
		return failed(s.contextError(verdict.NotRun))
	}
	code, detail, retryAfter := verdict.CodeServerLost, "the server could not be reached", time.Second
	switch {
	case a.refused != nil:
		code, detail = a.refused.Code, a.refused.Detail
		retryAfter = time.Duration(a.refused.RetryAfterMillis) * time.Millisecond
	case a.done != nil:
		code, detail, retryAfter = a.done.Code, a.done.Detail, 0
	}
	err := verdict.New(verdict.NotRun, code, "%s", detail).WithRetryAfter(retryAfter)
	switch {
	case a.sendIncomplete:
		return failedRetryable(err, retryUnsent)
	case retryElsewhere(code):
		return failedRetryable(err, retryRefused)
	default:
		return failed(err)
	}
}

// retryElsewhere reports whether another server may accept a request that one
// refused with the given code.
func retryElsewhere(code verdict.Code) bool {
	switch code {
	case verdict.CodeOverloaded, verdict.CodeDraining, verdict.CodeNotReady, verdict.CodeNoServer,
		verdict.CodeFenced, verdict.CodeServerLost, verdict.CodeServerError, verdict.CodeInternal:
		return true
	default:
		return false
	}
}

// settleDone bills an attempt whose end the agent reported.
func (s *callState) settleDone(a *attempt) result {
	bill := a.validatedBill()
	a.reservation.settle(bill, a.server.Address)
	res := s.doneResult(a)
	res.Bill = nonZero(bill)
	if a.done.Crashed {
		s.reportCrash(a, a.done.CrashID)
		// Without the crash's ID the retry would not need a permit, and could
		// crash the next server.
		if !a.relayed && res.Bill == nil && a.done.CrashID != uuid.Nil {
			res.retry = retryMayHaveRun
		}
	}
	return res
}

// doneResult returns the result of an attempt whose end the agent reported,
// without its bill.
func (s *callState) doneResult(a *attempt) result {
	v := a.done.Verdict
	if a.received() || a.done.Code == "" {
		v = verdict.Ran
	}
	switch {
	case a.done.Code == "" && a.head == nil:
		return failed(verdict.New(v, verdict.CodeInternal, "the server's answer has no head"))
	case a.done.Code == "" && !a.incomplete:
		return result{Outcome: Outcome{Verdict: v}}
	case s.ctx.Err() != nil:
		return failed(s.contextError(v))
	default:
		return failed(verdict.New(v, a.done.Code, "%s", a.done.Detail))
	}
}

// settleLost bills the received part of the response of an attempt whose agent
// was lost.
func (s *callState) settleLost(a *attempt, end endState) result {
	s.d.counters.lostAttempts.Inc(1)
	bill := a.estimatedBill()
	a.reservation.settle(bill, a.server.Address)
	// An unreachable server in another region is more likely partitioned than
	// crashed.
	if end == endRestarted || a.server.Region == s.d.Region {
		s.reportCrash(a, wire.CrashID(a.server.Name, a.bootID, 0))
	}
	res := s.lostResult(a)
	res.Bill = nonZero(bill)
	if end == endRestarted && !a.relayed && res.Bill == nil {
		res.retry = retryMayHaveRun
	}
	return res
}

// lostResult returns the result of an attempt whose agent was lost.
func (s *callState) lostResult(a *attempt) result {
	v := verdict.Unknown
	if a.received() {
		v = verdict.Ran
	}
	if s.ctx.Err() != nil {
		return failed(s.contextError(v))
	}
	return failed(verdict.New(v, verdict.CodeServerLost, "the server was lost while it worked on the request"))
}

// reportCrash reports the request as a suspect, unless the attempt was not
// accepted and so did not reach the server. For a crash that the agent reported,
// id must be the agent's crash ID, so that the crash is not counted twice.
func (s *callState) reportCrash(a *attempt, id uuid.UUID) {
	if !a.accepted || s.call.Fingerprint == 0 || id == uuid.Nil {
		return
	}
	s.d.Suspects.ReportCrash(&wire.CrashReport{
		Server: a.server.Name, AgentBoot: a.bootID, CrashID: id,
		Fingerprints: []uint64{s.call.Fingerprint},
	})
}

// validatedBill returns the agent's bill, limited to the reservation. A bill
// for another reservation is replaced by an estimate.
func (a *attempt) validatedBill() budget.Bill {
	if a.done.Bill == nil {
		return newBill(a.state.call, a.reservation.details, a.id, a.server.Name)
	}
	bill, details := *a.done.Bill, a.reservation.details
	if bill.Attempt != a.id || bill.Lot != details.Lot || bill.Slot != details.Slot || bill.Budget != details.Budget {
		a.state.d.counters.mismatchedBills.Inc(1)
		return a.estimatedBill()
	}
	if bill.Amount < 0 || bill.Amount > details.Amount {
		a.state.d.counters.mismatchedBills.Inc(1)
		bill.Amount = min(max(bill.Amount, 0), details.Amount)
	}
	return bill
}

// estimatedBill returns a bill for what the router received: the output tokens
// and the estimated prompt for a model, the full price for a plain service. An
// attempt without any response costs nothing.
func (a *attempt) estimatedBill() budget.Bill {
	c, details := a.state.call, a.reservation.details
	bill := newBill(c, details, a.id, a.server.Name)
	bill.Estimated = true
	switch {
	case c.Kind == wire.KindService && a.received():
		bill.Amount = details.Amount
	case c.Kind == wire.KindModel && a.tokens > 0:
		bill.Prompt = min(budget.Tokens(c.PromptTokens), c.MaxPromptCost)
		bill.Output = budget.Tokens(a.tokens)
		bill.Amount = min(bill.Prompt+bill.Output, details.Amount)
	}
	return bill
}

// completed reports whether the server completed the attempt.
func (a *attempt) completed() bool {
	return a.done != nil && !a.done.Crashed && a.done.Code == ""
}

func isFree(bill *budget.Bill) bool { return bill == nil || bill.Amount == 0 }

func nonZero(bill budget.Bill) *budget.Bill {
	if bill.Amount == 0 {
		return nil
	}
	return &bill
}
