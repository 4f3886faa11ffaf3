package check

import (
	"time"

	"github.com/monsoonworks/monsoonworks/devel/history"
)

// checkBills compares the bills with the servers' executions.
func (c *checker) checkBills() {
	for attempt, bills := range c.bills {
		if len(bills) > 1 {
			c.report(BilledTwice, c.markerOf(bills[0]), "attempt %s has %d bills", attempt, len(bills))
		}
	}
	for marker, bills := range c.billed {
		c.checkRequestBills(c.byMarker[marker], marker, bills)
	}
	c.checkUnbilled()
	for group, orphaned := range c.orphans {
		for _, b := range orphaned {
			c.report(BilledNotRun, group, "attempt %s of request %s is billed %d tokens, but no server ran it", b.Attempt, b.Request, b.Amount)
		}
	}
}

// markerOf returns the marker of the request that a bill belongs to, or the request
// ID in the bill if that request is not in the history.
func (c *checker) markerOf(b *history.Bill) string {
	if e := c.byAttempt[b.Attempt]; e != nil {
		return e.Marker
	}
	if r := c.byRequestID[b.Request]; r != nil {
		return r.ID
	}
	return b.Request
}

// checkRequestBills checks the budget, the number and the amounts of the bills of one
// request.
func (c *checker) checkRequestBills(r *history.Request, marker string, bills []*history.Bill) {
	if r == nil {
		return // checkExecutions reports the execution without a request
	}
	c.checkBillCount(r, bills)
	for _, b := range bills {
		execution := c.byAttempt[b.Attempt]
		switch {
		case b.Budget != r.Budget:
			c.report(WrongBill, marker, "budget %s is billed for a request of budget %s", b.Budget, r.Budget)
		case r.Kind == history.KindModel && execution == nil, len(c.executions[marker]) == 0:
			c.report(BilledNotRun, marker, "attempt %s is billed %d tokens, but no server ran it", b.Attempt, b.Amount)
		case b.Amount > r.Bound:
			c.report(WrongBill, marker, "%d tokens exceed the maximum cost of %d", b.Amount, r.Bound)
		case r.Kind == history.KindService && b.Amount != r.Bound:
			c.report(WrongBill, marker, "%d tokens instead of the price of %d", b.Amount, r.Bound)
		case execution != nil && execution.EndedNormally() && !b.Estimated && b.Amount != tokenCost(execution):
			c.report(WrongBill, marker, "%d tokens for an execution that cost %d", b.Amount, tokenCost(execution))
		}
	}
}

// checkBillCount checks that a request has at most one bill. Without an idempotency
// key, each try counts as a request of its own.
func (c *checker) checkBillCount(r *history.Request, bills []*history.Bill) {
	byRequest := map[string]int{}
	for _, b := range bills {
		byRequest[b.Request]++
	}
	for id, n := range byRequest {
		if n > 1 {
			c.report(BilledTwice, r.ID, "request %s has %d bills", id, n)
			return
		}
	}
	allowed := 1
	if r.Key == "" {
		allowed = len(r.Tries)
	}
	if len(bills) > allowed {
		c.report(BilledTwice, r.ID, "the request has %d bills, at most %d are allowed", len(bills), allowed)
	}
}

func tokenCost(e *history.Execution) int64 { return int64(e.PromptTokens + e.Tokens) }

// checkUnbilled looks for executions without a bill. An execution may be covered by
// the listed losses of its budget; its cost is then deducted from them.
func (c *checker) checkUnbilled() {
	losses := map[string]int64{}
	for _, l := range c.log.Losses {
		losses[l.Budget] += l.Amount
	}
	for i := range c.log.Requests {
		r := &c.log.Requests[i]
		for _, e := range c.unbilledExecutions(r) {
			amount := tokenCost(e)
			if r.Kind == history.KindService {
				amount = r.Bound
			}
			switch {
			case c.matchOrphan(r), c.lostWithAgent(r, e):
			case losses[r.Budget] >= amount:
				losses[r.Budget] -= amount
			default:
				c.report(RanNotBilled, r.ID, "%d tokens at %s from %s to %s (%s) have no bill; responses: %s",
					amount, e.Server, e.Start, e.End, e.Ending, describeTries(r))
			}
		}
	}
}

// unbilledExecutions returns the executions of a request that must have a bill but
// have none.
func (c *checker) unbilledExecutions(r *history.Request) []*history.Execution {
	var out []*history.Execution
	if r.Kind == history.KindService {
		// Executions by a plain service have no attempt ID, so only their number can
		// be compared.
		for i, e := range c.executions[r.ID] {
			if i >= len(c.billed[r.ID]) {
				out = append(out, e)
			}
		}
		return out
	}
	for _, e := range c.executions[r.ID] {
		if len(c.bills[e.Attempt]) == 0 && (e.EndedNormally() || received(r, e)) {
			out = append(out, e)
		}
	}
	return out
}

// received reports whether the caller received a part of a response during an
// execution. An execution that ended early is free if nothing of it was delivered.
func received(r *history.Request, e *history.Execution) bool {
	for _, t := range r.Tries {
		if t.Tokens > 0 && t.Start <= e.End && t.End >= e.Start {
			return true
		}
	}
	return false
}

// matchOrphan matches an execution by a plain service to a bill whose request ID the caller
// never received, because the connection broke before the response. It removes the
// bill from the orphans and reports whether there was one.
func (c *checker) matchOrphan(r *history.Request) bool {
	group := r.Budget + " " + r.Target
	if r.Kind != history.KindService || len(c.orphans[group]) == 0 || !missedResponse(r) {
		return false
	}
	c.orphans[group] = c.orphans[group][1:]
	return true
}

// missedResponse reports whether a try ended without a request ID, that is, without a
// response.
func missedResponse(r *history.Request) bool {
	for _, t := range r.Tries {
		if t.RequestID == "" {
			return true
		}
	}
	return false
}

// reattachWindow is how long a router that lost the connection of an attempt tries to
// get the outcome from the agent (dispatch.ReattachWindow).
const reattachWindow = 5 * time.Second

// lostWithAgent reports whether the bill was lost with its agent: a router that has
// received nothing from a killed agent bills nothing and returns the verdict unknown.
// An agent's process has the name of its server.
func (c *checker) lostWithAgent(r *history.Request, e *history.Execution) bool {
	for _, t := range r.Tries {
		if t.OK() || t.Tokens > 0 || t.Verdict == history.VerdictRan {
			return false
		}
	}
	for _, k := range c.log.Kills {
		if k.Process == e.Server && k.At >= e.Start && k.At <= e.End+reattachWindow {
			return true
		}
	}
	return false
}
