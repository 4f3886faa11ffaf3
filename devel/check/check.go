// Package check finds contradictions in the history of a run: between what
// backend servers really ran, what was billed, and what callers were told. It
// knows the guarantees of the system and nothing of how the history was made.
package check

import (
	"fmt"
	"slices"
	"strings"

	"github.com/monsoonworks/monsoonworks/devel/history"
)

// Rule names a guarantee.
type Rule string

// Rules. P1 to P5 are the invariants of the design.
const (
	// Overspend: bills and losses of a budget exceed what was paid (P1).
	Overspend Rule = "overspend"
	// LedgerMismatch: the sum of a budget's bills differs from its account.
	LedgerMismatch Rule = "ledger-mismatch"
	// BilledTwice: more than one bill for one request (P2).
	BilledTwice Rule = "billed-twice"
	// RanNotBilled: a request ran, its bill is missing, and no listed loss
	// covers it (P2).
	RanNotBilled Rule = "ran-not-billed"
	// BilledNotRun: a bill for something that did not run (P2).
	BilledNotRun Rule = "billed-not-run"
	// WrongBill: a bill of another amount than the run, above the bound, or from
	// another budget (P2).
	WrongBill Rule = "wrong-bill"
	// ForeignAnswer: a caller received what does not belong to its request (P3).
	ForeignAnswer Rule = "foreign-answer"
	// IncompleteAnswer: an answer that is cut short looked complete (P3).
	IncompleteAnswer Rule = "incomplete-answer"
	// ToldNotRun: not-run was told although the request ran (P4).
	ToldNotRun Rule = "told-not-run"
	// ToldRan: ran was told although the request did not run.
	ToldRan Rule = "told-ran"
	// RanTwice: a request with a key, or one that must not be repeated, ran more
	// than once (P5).
	RanTwice Rule = "ran-twice"
	// NoVerdict: an answer without a verdict or a request id.
	NoVerdict Rule = "no-verdict"
)

// Rules lists all rules in the order of a report.
var Rules = []Rule{
	Overspend, LedgerMismatch, BilledTwice, RanNotBilled, BilledNotRun, WrongBill, ForeignAnswer,
	IncompleteAnswer, ToldNotRun, ToldRan, RanTwice, NoVerdict,
}

// Violation is a contradiction.
type Violation struct {
	Rule Rule `json:"rule"`
	// Subject is the request's marker, or the budget.
	Subject string `json:"subject"`
	Detail  string `json:"detail"`
}

// String returns the violation as one line.
func (v Violation) String() string { return fmt.Sprintf("%s: %s: %s", v.Rule, v.Subject, v.Detail) }

// Result is what a check found.
type Result struct {
	Violations []Violation `json:"violations"`
	// Overspend is the overspend by budget, in tokens. Budgets without one are
	// left out.
	Overspend map[string]int64 `json:"overspend_tokens,omitempty"`
	// Checked counts what was compared.
	Requests   int `json:"requests"`
	Executions int `json:"executions"`
	Bills      int `json:"bills"`
	// Truth is false if only the callers' side was known, so that the rules
	// about runs and bills were not checked.
	Truth bool `json:"truth"`
}

// Clean reports whether nothing was found.
func (r *Result) Clean() bool { return len(r.Violations) == 0 }

// Count returns the number of violations of a rule.
func (r *Result) Count(rule Rule) int {
	n := 0
	for _, v := range r.Violations {
		if v.Rule == rule {
			n++
		}
	}
	return n
}

// Run checks a history.
func Run(log *history.Log) Result {
	c := newChecker(log)
	c.checkAnswers()
	if log.Truth {
		c.checkBudgets()
		c.checkRuns()
		c.checkBills()
		c.checkVerdicts()
	}
	c.result.Truth = log.Truth
	c.result.Requests, c.result.Executions, c.result.Bills = len(log.Requests), len(log.Executions), len(log.Bills)
	slices.SortStableFunc(c.result.Violations, func(a, b Violation) int {
		return strings.Compare(string(a.Rule)+a.Subject, string(b.Rule)+b.Subject)
	})
	return c.result
}

// checker holds the history by what its parts have in common.
type checker struct {
	log    *history.Log
	result Result

	byMarker  map[string]*history.Request
	byID      map[string]*history.Request // by the request ids that callers saw
	runs      map[string][]*history.Execution
	byAttempt map[string]*history.Execution
	// bills holds the bills above 0 by attempt, of model requests.
	bills map[string][]*history.Bill
	// billed holds the bills above 0 of each request that they are known to be
	// of, by marker.
	billed map[string][]*history.Bill
	// orphans are bills of plain services whose request id no caller saw.
	orphans map[string][]*history.Bill // by budget and target
}

func newChecker(log *history.Log) *checker {
	c := &checker{
		log: log, byMarker: map[string]*history.Request{}, byID: map[string]*history.Request{},
		runs: map[string][]*history.Execution{}, byAttempt: map[string]*history.Execution{},
		bills: map[string][]*history.Bill{}, billed: map[string][]*history.Bill{}, orphans: map[string][]*history.Bill{},
	}
	for i := range log.Requests {
		r := &log.Requests[i]
		c.byMarker[r.ID] = r
		for _, t := range r.Tries {
			if t.RequestID != "" {
				c.byID[t.RequestID] = r
			}
		}
	}
	for i := range log.Executions {
		e := &log.Executions[i]
		c.runs[e.Marker] = append(c.runs[e.Marker], e)
		if e.Attempt != "" {
			c.byAttempt[e.Attempt] = e
		}
	}
	for i := range log.Bills {
		if b := &log.Bills[i]; b.Amount > 0 {
			c.fileBill(b)
		}
	}
	return c
}

// fileBill finds the request of a bill: by the attempt that the engine recorded,
// or by the request id that the caller saw.
func (c *checker) fileBill(b *history.Bill) {
	c.bills[b.Attempt] = append(c.bills[b.Attempt], b)
	switch e, r := c.byAttempt[b.Attempt], c.byID[b.Request]; {
	case e != nil:
		c.billed[e.Marker] = append(c.billed[e.Marker], b)
	case r != nil:
		c.billed[r.ID] = append(c.billed[r.ID], b)
	default:
		c.orphans[b.Budget+" "+b.Target] = append(c.orphans[b.Budget+" "+b.Target], b)
	}
}

func (c *checker) report(rule Rule, subject, format string, args ...any) {
	c.result.Violations = append(c.result.Violations, Violation{rule, subject, fmt.Sprintf(format, args...)})
}

// checkBudgets compares spend and payment.
func (c *checker) checkBudgets() {
	billed := map[string]int64{}
	for _, b := range c.log.Bills {
		billed[b.Budget] += b.Amount
	}
	lost := map[string]int64{}
	for _, l := range c.log.Losses {
		lost[l.Budget] += l.Amount
	}
	for _, b := range c.log.Budgets {
		spent := max(billed[b.ID], b.Spent) + max(lost[b.ID], b.Lost)
		if spent > b.Paid {
			if c.result.Overspend == nil {
				c.result.Overspend = map[string]int64{}
			}
			c.result.Overspend[b.ID] = spent - b.Paid
			c.report(Overspend, b.ID, "%d tokens are spent or lost, %d were paid", spent, b.Paid)
		}
		if billed[b.ID] != b.Spent {
			c.report(LedgerMismatch, b.ID, "the bills sum up to %d tokens, the account says %d", billed[b.ID], b.Spent)
		}
		if lost[b.ID] != b.Lost {
			c.report(LedgerMismatch, b.ID, "the listed losses sum up to %d tokens, the account says %d", lost[b.ID], b.Lost)
		}
	}
}

// checkRuns looks for requests that ran more often than they may.
func (c *checker) checkRuns() {
	for marker, runs := range c.runs {
		r := c.byMarker[marker]
		if r == nil {
			c.report(ForeignAnswer, marker, "a server ran a request that nobody sent")
			continue
		}
		allowed := 1
		if r.Key == "" && !r.Idempotent {
			allowed = len(r.Tries)
		}
		if (r.Key != "" || !r.Idempotent) && len(runs) > allowed {
			c.report(RanTwice, marker, "it ran %d times (%s)", len(runs), describe(runs))
		}
	}
}

func describe(runs []*history.Execution) string {
	var parts []string
	for _, e := range runs {
		parts = append(parts, fmt.Sprintf("%s at %s until %s, %s", e.Server, e.Start, e.End, e.Ending))
	}
	return strings.Join(parts, "; ")
}
