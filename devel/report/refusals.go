package report

import (
	"strconv"
	"strings"
	"time"

	"github.com/monsoonworks/monsoonworks/devel/history"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
)

// FalseRefusals counts refusals for budget reasons.
type FalseRefusals struct {
	// Known is false if the balances at the times of the refusals are not known.
	Known bool `json:"known"`
	// Refusals counts the answers that name the budget as the reason, False
	// those given while the unspent balance covered the request's bound.
	Refusals int `json:"budget_refusals"`
	False    int `json:"false_refusals"`
	// Share is False in relation to all answers.
	Share float64 `json:"share"`
}

// budgetCodes are the codes of refusals for budget reasons.
var budgetCodes = map[string]bool{
	string(verdict.CodeBudgetExhausted): true, string(verdict.CodeBudgetUnreachable): true,
}

// countFalseRefusals compares each refusal for budget reasons with the unspent
// balance at that moment. The balance is what was paid by then, less the cost of
// everything that servers had begun to run. Durable bills would not do: they lag
// by up to a minute. A run in progress counts with its whole cost, so that the
// balance is rather too low than too high by the rest of that run.
func countFalseRefusals(log *history.Log) FalseRefusals {
	f := FalseRefusals{Known: log.Truth}
	balances := newBalances(log)
	answers := 0
	for i := range log.Requests {
		r := &log.Requests[i]
		for _, t := range r.Tries {
			if t.Status != 0 {
				answers++
			}
			if !budgetCodes[t.Code] {
				continue
			}
			f.Refusals++
			if log.Truth && balances.unspent(r.Budget, t.End) >= r.Bound {
				f.False++
			}
		}
	}
	if answers > 0 {
		f.Share = float64(f.False) / float64(answers)
	}
	return f
}

// change is a change of a budget's balance.
type change struct {
	at     time.Duration
	tokens int64
}

// balances holds all changes by budget.
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

// addTopUps counts payments during the run from their time on. They are part of
// the final Paid.
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

// unspent returns a budget's balance at a time.
func (b *balances) unspent(id string, at time.Duration) int64 {
	sum := b.paid[id]
	for _, c := range b.changes[id] {
		if c.at <= at {
			sum += c.tokens
		}
	}
	return sum
}
