package e2e

import (
	"context"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/operator"
)

// audit waits until all bills are durable and compares them with the executions that the
// model engines recorded: no attempt and no request is billed twice, every execution
// that produced tokens is billed unless a loss is recorded, and no budget is overspent. It
// returns the sum of the bills.
func (d *deployment) audit() budget.Tokens {
	d.c.Helper()
	var total budget.Tokens
	d.eventually(billTimeout, func() bool { return len(d.unbilled()) == 0 || d.lost() > 0 },
		"executions without a bill: %v", d.unbilled())
	billed := map[uuid.UUID]bool{}
	requests := map[uuid.UUID]budget.Bill{}
	for _, w := range d.Spec.Workspaces {
		id := budget.MakeID(w.Name, "")
		balance, err := d.Budgets.Balance(context.Background(), id)
		d.c.Assert(err, qt.IsNil)
		d.c.Assert(balance.Unspent() >= 0, qt.IsTrue, qt.Commentf("%s is overspent: %+v", id, balance))
		var sum budget.Tokens
		for _, bill := range d.statement(id).Bills {
			d.c.Assert(billed[bill.Attempt], qt.IsFalse, qt.Commentf("attempt %s is billed twice", bill.Attempt))
			if bill.Amount == 0 {
				continue // the attempt delivered nothing; another attempt of the request may be billed
			}
			other, twice := requests[bill.Request]
			d.c.Assert(twice, qt.IsFalse, qt.Commentf("request %s is billed twice:\n%+v\n%+v", bill.Request, other, bill))
			billed[bill.Attempt], requests[bill.Request] = true, bill
			sum += bill.Amount
		}
		d.c.Assert(sum <= balance.Paid-balance.Lost, qt.IsTrue, qt.Commentf("%s: bills of %d tokens, %+v", id, sum, balance))
		total += sum
	}
	return total
}

func (d *deployment) statement(id budget.ID) operator.Statement {
	statement, err := d.Budgets.Statement(context.Background(), id, d.Spec.RegionNames())
	d.c.Assert(err, qt.IsNil)
	return statement
}

// unbilled lists the executions at model engines that produced tokens and have no bill,
// without those in d.crashed.
func (d *deployment) unbilled() []string {
	billed := map[string]bool{}
	for _, w := range d.Spec.Workspaces {
		for _, bill := range d.statement(budget.MakeID(w.Name, "")).Bills {
			billed[bill.Attempt.String()] = true
		}
	}
	var out []string
	for name, e := range d.Engines {
		for _, record := range e.Requests() {
			if record.Tokens > 0 && !billed[record.ID] && !d.crashed[record.ID] {
				out = append(out, name+"/"+record.ID+" "+record.Ending)
			}
		}
	}
	return out
}

// lost returns the sum of the recorded losses of all budgets.
func (d *deployment) lost() budget.Tokens {
	var sum budget.Tokens
	for _, w := range d.Spec.Workspaces {
		for _, loss := range d.statement(budget.MakeID(w.Name, "")).Losses {
			sum += loss.Amount
		}
	}
	return sum
}
