package dispatch

import (
	"time"

	"github.com/google/uuid"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// settle ends the reservation of an attempt that was sent, and states what is
// known about it.
func (r *run) settle(a *attempt, e end) result {
	switch {
	case e == endNotRun:
		a.slot.release()
		return r.notRun(a)
	case e != endDone:
		return r.settleLost(a, e)
	case a.done.Verdict == verdict.NotRun && !a.received() && free(a.done.Bill):
		a.slot.release()
		return r.notRun(a)
	default:
		return r.settleDone(a)
	}
}

// notRun states the end of an attempt that certainly did not run.
func (r *run) notRun(a *attempt) result {
	if r.ctx.Err() != nil {
		return failed(r.ended(verdict.NotRun))
	}
	code, detail, wait := verdict.CodeServerLost, "the server could not be reached", time.Second
	switch {
	case a.refused != nil:
		code, detail = a.refused.Code, a.refused.Detail
		wait = time.Duration(a.refused.RetryAfterMillis) * time.Millisecond
	case a.done != nil:
		code, detail, wait = a.done.Code, a.done.Detail, 0
	}
	err := verdict.New(verdict.NotRun, code, "%s", detail).WithRetryAfter(wait)
	switch {
	case a.unsent:
		return failedRetry(err, retryUnsent)
	case elsewhere(code):
		return failedRetry(err, retryNotRun)
	default:
		return failed(err)
	}
}

// elsewhere reports whether another server may take what one refused with code.
func elsewhere(code verdict.Code) bool {
	switch code {
	case verdict.CodeOverloaded, verdict.CodeDraining, verdict.CodeNotReady, verdict.CodeNoServer,
		verdict.CodeFenced, verdict.CodeServerLost, verdict.CodeServerError, verdict.CodeInternal:
		return true
	default:
		return false
	}
}

// settleDone bills an attempt whose end the agent reported.
func (r *run) settleDone(a *attempt) result {
	bill := a.checkedBill()
	a.slot.settle(bill, a.server.Address)
	res := r.answered(a)
	res.Bill = nonZero(bill)
	if a.done.Crashed {
		r.reportCrash(a, a.done.CrashID)
		// Without the crash's id the retry would not need a permit.
		if !a.relayed && res.Bill == nil && a.done.CrashID != uuid.Nil {
			res.retry = retryRepeat
		}
	}
	return res
}

// answered states the end of an attempt that the agent reported, without its
// bill.
func (r *run) answered(a *attempt) result {
	v := a.done.Verdict
	if a.received() || a.done.Code == "" {
		v = verdict.Ran
	}
	switch {
	case a.done.Code == "" && a.head == nil:
		return failed(verdict.New(v, verdict.CodeInternal, "the server's answer has no head"))
	case a.done.Code == "" && !a.missed:
		return result{Outcome: Outcome{Verdict: v}}
	case r.ctx.Err() != nil:
		return failed(r.ended(v))
	default:
		return failed(verdict.New(v, a.done.Code, "%s", a.done.Detail))
	}
}

// settleLost bills what was received of an attempt whose agent is lost.
func (r *run) settleLost(a *attempt, e end) result {
	r.d.counters.lost.Inc(1)
	bill := a.estimatedBill()
	a.slot.settle(bill, a.server.Address)
	// A server of another region that cannot be reached is more likely cut off
	// than dead.
	if e == endRestarted || a.server.Region == r.d.Region {
		r.reportCrash(a, wire.CrashID(a.server.Name, a.boot, 0))
	}
	res := r.lost(a)
	res.Bill = nonZero(bill)
	if e == endRestarted && !a.relayed && res.Bill == nil {
		res.retry = retryRepeat
	}
	return res
}

// lost states what is known about an attempt whose agent is lost.
func (r *run) lost(a *attempt) result {
	v := verdict.Unknown
	if a.received() {
		v = verdict.Ran
	}
	if r.ctx.Err() != nil {
		return failed(r.ended(v))
	}
	return failed(verdict.New(v, verdict.CodeServerLost, "the server was lost while it worked on the request"))
}

// reportCrash makes the request a suspect. An attempt that was not accepted did
// not reach the server. The agent's id of a crash is used if it survived; an own
// one would count the same crash twice.
func (r *run) reportCrash(a *attempt, id uuid.UUID) {
	if !a.accepted || r.call.Fingerprint == 0 || id == uuid.Nil {
		return
	}
	r.d.Suspects.Crashed(&wire.CrashReport{
		Server: a.server.Name, ServerBoot: a.boot, CrashID: id,
		Fingerprints: []uint64{r.call.Fingerprint},
	})
}

// checkedBill returns the agent's bill if it is for this reservation and within
// it.
func (a *attempt) checkedBill() budget.Bill {
	if a.done.Bill == nil {
		return newBill(a.r.call, a.slot.hold, a.id, a.server.Name)
	}
	bill, hold := *a.done.Bill, a.slot.hold
	if bill.Attempt != a.id || bill.Lot != hold.Lot || bill.Slot != hold.Slot || bill.Budget != hold.Budget {
		a.r.d.counters.badBills.Inc(1)
		return a.estimatedBill()
	}
	if bill.Amount < 0 || bill.Amount > hold.Amount {
		a.r.d.counters.badBills.Inc(1)
		bill.Amount = min(max(bill.Amount, 0), hold.Amount)
	}
	return bill
}

// estimatedBill bills what the router received: for a model the generated tokens
// and the estimated prompt, for a plain service its price. Nothing received costs
// nothing.
func (a *attempt) estimatedBill() budget.Bill {
	c, hold := a.r.call, a.slot.hold
	bill := newBill(c, hold, a.id, a.server.Name)
	bill.Estimated = true
	switch {
	case c.Kind == wire.KindService && a.received():
		bill.Amount = hold.Amount
	case c.Kind == wire.KindModel && a.tokens > 0:
		bill.Prompt = min(budget.Tokens(c.PromptTokens), c.PromptBound)
		bill.Output = budget.Tokens(a.tokens)
		bill.Amount = min(bill.Prompt+bill.Output, hold.Amount)
	}
	return bill
}

// completed reports whether the server ran the attempt to its end.
func (a *attempt) completed() bool {
	return a.done != nil && !a.done.Crashed && a.done.Code == ""
}

func free(bill *budget.Bill) bool { return bill == nil || bill.Amount == 0 }

func nonZero(bill budget.Bill) *budget.Bill {
	if bill.Amount == 0 {
		return nil
	}
	return &bill
}
