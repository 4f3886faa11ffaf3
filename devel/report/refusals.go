package report

import (
	"strconv"
	"strings"
	"time"

	"github.com/monsoonworks/monsoonworks/devel/history"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
)

// BudgetRefusals counts the refusals for budget reasons and how many were wrong.
type BudgetRefusals struct {
	// Known is false if the balances at the times of the refusals are unknown, so
	// that False was not counted.
	Known bool `json:"known"`
	// Total counts the responses with a budget code. False counts those sent
	// although the unspent balance covered the upper bound of the request's cost.
	Total int `json:"budget_refusals"`
	False int `json:"false_refusals"`
	// Share is False divided by the number of all responses.
	Share float64 `json:"share"`
}

// budgetCodes holds the codes of refusals for budget reasons.
var budgetCodes = map[string]bool{
	string(verdict.CodeBudgetExhausted): true, string(verdict.CodeBudgetUnreachable): true,
}

// countFalseRefusals compares each refusal for budget reasons with the unspent
// balance at that time: the payments so far minus the losses so far and the cost of
// all executions that had started. Durable bills cannot be used instead, because
// they lag by up to a minute. An execution in progress counts with its full cost, so
// the balance is underestimated by the remaining cost and the number of false
// refusals is never too high for that reason.
func countFalseRefusals(log *history.Log) BudgetRefusals {
	refusals := BudgetRefusals{Known: log.GroundTruth}
	balances := newBalances(log)
	responses := 0
	for i := range log.Requests {
		r := &log.Requests[i]
		for _, t := range r.Tries {
			if t.Status != 0 {
				responses++
			}
			if !budgetCodes[t.Code] {
				continue
			}
			refusals.Total++
			if log.GroundTruth && balances.unspent(r.Budget, t.End) >= r.Bound {
				refusals.False++
			}
		}
	}
	if responses > 0 {
		refusals.Share = float64(refusals.False) / float64(responses)
	}
	return refusals
}

// change is a credit (positive) or debit (negative) of a budget.
type change struct {
	at     time.Duration
	tokens int64
}

// balances holds the initial payment and all later changes of each budget by ID.
type balances struct {
	paid    map[string]int64
	changes map[string][]change
}

func newBalances(log *history.Log) *balances {
	b := &balances{paid: map[string]int64{}, changes: map[string][]change{}}
	for _, budget := range log.Budgets {
		b.paid[budget.ID] = budget.Paid
	}
	requests := map[string]*history.Request{}
	for i := range log.Requests {
		requests[log.Requests[i].ID] = &log.Requests[i]
	}
	for _, e := range log.Executions {
		r := requests[e.Marker]
		if r == nil {
			continue
		}
		amount := int64(e.PromptTokens + e.Tokens)
		if e.Kind == history.KindService {
			amount = r.Bound
		}
		b.changes[r.Budget] = append(b.changes[r.Budget], change{e.Start, -amount})
	}
	for _, l := range log.Losses {
		b.changes[l.Budget] = append(b.changes[l.Budget], change{l.At, -l.Amount})
	}
	b.addTopUps(log)
	return b
}

// addTopUps deducts the top-ups of the fault script from paid, which holds the final
// sum of all payments, and adds them as changes at the time at which they were made.
func (b *balances) addTopUps(log *history.Log) {
	for _, f := range log.Faults {
		workspace, amount, found := strings.Cut(f.Target, ":")
		tokens, err := strconv.ParseInt(amount, 10, 64)
		if f.Action != "top-up" || f.Err != "" || !found || err != nil {
			continue
		}
		for _, budget := range log.Budgets {
			if strings.HasPrefix(budget.ID, workspace+"/") {
				b.paid[budget.ID] -= tokens
				b.changes[budget.ID] = append(b.changes[budget.ID], change{f.At, tokens})
			}
		}
	}
}

// unspent returns the balance of a budget at offset at, in tokens.
func (b *balances) unspent(id string, at time.Duration) int64 {
	sum := b.paid[id]
	for _, c := range b.changes[id] {
		if c.at <= at {
			sum += c.tokens
		}
	}
	return sum
}
