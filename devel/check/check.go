// Package check verifies the history of a load test against the guarantees of the
// system: it compares the executions that backend servers recorded, the bills, and
// the responses that callers received. The demo, the reports and the load command
// call it. It must not know how the history was produced.
package check

import (
	"fmt"
	"slices"
	"strings"

	"github.com/monsoonworks/monsoonworks/devel/history"
)

// Rule names a guarantee that a history can violate.
type Rule string

// Rules. P1 to P5 are the numbers of the design's invariants.
const (
	// Overspend: bills and losses of a budget exceed what was paid (P1).
	Overspend Rule = "overspend"
	// LedgerMismatch: the sum of a budget's bills or losses differs from its balance.
	LedgerMismatch Rule = "ledger-mismatch"
	// BilledTwice: more than one bill for one request (P2).
	BilledTwice Rule = "billed-twice"
	// RanNotBilled: a request ran, its bill is missing, and no listed loss
	// covers it (P2).
	RanNotBilled Rule = "ran-not-billed"
	// BilledNotRun: a bill without an execution (P2).
	BilledNotRun Rule = "billed-not-run"
	// WrongBill: a bill that differs from the cost of the execution, exceeds the
	// maximum cost of the request, or is charged to another budget (P2).
	WrongBill Rule = "wrong-bill"
	// ForeignResponse: a caller received a response to another request, or a server ran
	// a request that no caller sent (P3).
	ForeignResponse Rule = "foreign-answer"
	// IncompleteResponse: a truncated or malformed response looked complete (P3).
	IncompleteResponse Rule = "incomplete-answer"
	// ToldNotRun: the verdict was not-run although the request ran (P4).
	ToldNotRun Rule = "told-not-run"
	// ToldRan: the verdict was ran although the request did not run.
	ToldRan Rule = "told-ran"
	// RanTwice: a request with an idempotency key ran more than once, or a
	// non-idempotent one more often than the caller sent it (P5).
	RanTwice Rule = "ran-twice"
	// NoVerdict: a response without a verdict or without a request ID.
	NoVerdict Rule = "no-verdict"
)

// Rules lists all rules in the order in which reports show them.
var Rules = []Rule{
	Overspend, LedgerMismatch, BilledTwice, RanNotBilled, BilledNotRun, WrongBill, ForeignResponse,
	IncompleteResponse, ToldNotRun, ToldRan, RanTwice, NoVerdict,
}

// Violation is one violation of a rule.
type Violation struct {
	Rule Rule `json:"rule"`
	// Subject is the marker of the request, or the ID of the budget. For bills of an
	// unknown request it is the request ID, or the budget and the target.
	Subject string `json:"subject"`
	Detail  string `json:"detail"`
}

func (v Violation) String() string { return fmt.Sprintf("%s: %s: %s", v.Rule, v.Subject, v.Detail) }

// Result is the result of a check.
type Result struct {
	Violations []Violation `json:"violations"`
	// Overspend is the overspend by budget, in tokens. It contains only budgets with
	// an overspend.
	Overspend map[string]int64 `json:"overspend_tokens,omitempty"`
	// Requests, Executions and Bills are the numbers of checked records.
	Requests   int `json:"requests"`
	Executions int `json:"executions"`
	Bills      int `json:"bills"`
	// GroundTruth is false if the history has only the callers' records. The rules
	// about executions, bills and budgets are not checked then, and verdicts are not
	// compared with executions.
	GroundTruth bool `json:"truth"`
}

// Clean reports whether there are no violations.
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

// Run checks a history against all rules and returns the violations, sorted by rule
// and subject.
func Run(log *history.Log) Result {
	c := newChecker(log)
	c.checkResponses()
	if log.GroundTruth {
		c.checkBudgets()
		c.checkExecutions()
		c.checkBills()
		c.checkVerdicts()
	}
	c.result.GroundTruth = log.GroundTruth
	c.result.Requests, c.result.Executions, c.result.Bills = len(log.Requests), len(log.Executions), len(log.Bills)
	slices.SortStableFunc(c.result.Violations, func(a, b Violation) int {
		return strings.Compare(string(a.Rule)+a.Subject, string(b.Rule)+b.Subject)
	})
	return c.result
}

// checker indexes the records of a history by the IDs that they share.
type checker struct {
	log    *history.Log
	result Result

	byMarker    map[string]*history.Request
	byRequestID map[string]*history.Request     // by the request IDs that callers received
	executions  map[string][]*history.Execution // by the request's marker
	byAttempt   map[string]*history.Execution
	// bills holds the bills above 0 by attempt ID.
	bills map[string][]*history.Bill
	// billed holds the bills above 0 whose request is known, by the request's marker.
	billed map[string][]*history.Bill
	// orphans holds the bills above 0 that match neither a recorded attempt nor a
	// request ID that a caller received.
	orphans map[string][]*history.Bill // by budget and target
}

func newChecker(log *history.Log) *checker {
	c := &checker{
		log: log, byMarker: map[string]*history.Request{}, byRequestID: map[string]*history.Request{},
		executions: map[string][]*history.Execution{}, byAttempt: map[string]*history.Execution{},
		bills: map[string][]*history.Bill{}, billed: map[string][]*history.Bill{}, orphans: map[string][]*history.Bill{},
	}
	for i := range log.Requests {
		r := &log.Requests[i]
		c.byMarker[r.ID] = r
		for _, t := range r.Tries {
			if t.RequestID != "" {
				c.byRequestID[t.RequestID] = r
			}
		}
	}
	for i := range log.Executions {
		e := &log.Executions[i]
		c.executions[e.Marker] = append(c.executions[e.Marker], e)
		if e.Attempt != "" {
			c.byAttempt[e.Attempt] = e
		}
	}
	for i := range log.Bills {
		if b := &log.Bills[i]; b.Amount > 0 {
			c.indexBill(b)
		}
	}
	return c
}

// indexBill assigns a bill to its request, by the attempt ID that the engine recorded
// or by the request ID that the caller received, or else to the orphans.
func (c *checker) indexBill(b *history.Bill) {
	c.bills[b.Attempt] = append(c.bills[b.Attempt], b)
	switch e, r := c.byAttempt[b.Attempt], c.byRequestID[b.Request]; {
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

// checkBudgets compares the spend of each budget with its payments, and its balance
// with the bills and losses.
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
			c.report(LedgerMismatch, b.ID, "the bills add up to %d tokens, the balance has %d spent", billed[b.ID], b.Spent)
		}
		if lost[b.ID] != b.Lost {
			c.report(LedgerMismatch, b.ID, "the listed losses add up to %d tokens, the balance has %d lost", lost[b.ID], b.Lost)
		}
	}
}

// checkExecutions looks for requests that ran more often than allowed, and for
// executions without a request.
func (c *checker) checkExecutions() {
	for marker, executions := range c.executions {
		r := c.byMarker[marker]
		if r == nil {
			c.report(ForeignResponse, marker, "a server ran a request that nobody sent")
			continue
		}
		allowed := 1
		if r.Key == "" && !r.Idempotent {
			allowed = len(r.Tries)
		}
		if (r.Key != "" || !r.Idempotent) && len(executions) > allowed {
			c.report(RanTwice, marker, "the request ran %d times (%s)", len(executions), describeExecutions(executions))
		}
	}
}

func describeExecutions(executions []*history.Execution) string {
	var parts []string
	for _, e := range executions {
		parts = append(parts, fmt.Sprintf("%s at %s until %s, %s", e.Server, e.Start, e.End, e.Ending))
	}
	return strings.Join(parts, "; ")
}
