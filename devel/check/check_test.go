package check

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonworks/monsoonworks/devel/history"
)

// cleanHistory returns a history without violations: a model request, a service call
// whose first try lost its connection, and a refused request.
func cleanHistory() *history.Log {
	second := time.Second
	return &history.Log{
		GroundTruth: true,
		Requests: []history.Request{
			{ID: "m", Budget: "w/main", Kind: history.KindModel, Target: "model", Key: "k1", Idempotent: true, Stream: true, Bound: 100, WantHash: 7,
				Tries: []history.Try{{Router: "r1", Start: 1 * second, End: 3 * second, Status: 200, Verdict: "ran", RequestID: "q1",
					Echo: "m", Tokens: 20, Hash: 7, Complete: true}}},
			{ID: "s", Budget: "w/main", Kind: history.KindService, Target: "svc", Key: "k2", Bound: 10,
				Tries: []history.Try{
					{Router: "r1", Start: 1 * second, End: 2 * second, Err: "EOF"},
					{Router: "r2", Start: 3 * second, End: 4 * second, Status: 201, Verdict: "ran", RequestID: "q3", Echo: "s", Complete: true},
				}},
			{ID: "n", Budget: "w/main", Kind: history.KindModel, Target: "model", Key: "k3", Idempotent: true, Bound: 100,
				Tries: []history.Try{{Router: "r1", Start: 5 * second, End: 6 * second, Status: 503, Verdict: "not-run", Code: "overloaded",
					RequestID: "q4", Complete: true}}},
		},
		Executions: []history.Execution{
			{Server: "e1", Kind: history.KindModel, Attempt: "a1", Marker: "m", Start: 1 * second, End: 3 * second, PromptTokens: 30, Tokens: 20, Ending: "stop"},
			{Server: "s1", Kind: history.KindService, Marker: "s", Key: "k2", Start: 1 * second, End: 1 * second, Ending: "stop"},
		},
		Bills: []history.Bill{
			{Budget: "w/main", Request: "q1", Attempt: "a1", Target: "model", Amount: 50},
			{Budget: "w/main", Request: "q2", Attempt: "a2", Target: "svc", Amount: 10},
		},
		Budgets: []history.Budget{{ID: "w/main", Paid: 1000, Spent: 60}},
	}
}

// Guards against violations reported for a valid history.
func TestCleanHistory(t *testing.T) {
	c := qt.New(t)
	result := Run(cleanHistory())
	c.Assert(result.Violations, qt.HasLen, 0, qt.Commentf("%v", result.Violations))
	c.Assert(result.Clean(), qt.IsTrue)
}

// violations holds for each rule histories that violate only this rule.
var violations = []struct {
	name   string
	rule   Rule
	mutate func(*history.Log)
}{
	{"spend above payment", Overspend, func(l *history.Log) { l.Budgets[0].Paid = 59 }},
	{"loss above payment", Overspend, func(l *history.Log) {
		l.Losses = []history.Loss{{Budget: "w/main", Amount: 941}}
		l.Budgets[0].Lost = 941
	}},
	{"spend without a bill", LedgerMismatch, func(l *history.Log) { l.Budgets[0].Spent = 70 }},
	{"lost amount without a listed loss", LedgerMismatch, func(l *history.Log) { l.Budgets[0].Lost = 70 }},
	{"two bills of an attempt", BilledTwice, func(l *history.Log) {
		l.Bills = append(l.Bills, l.Bills[0])
		l.Bills[0].Request = "q9"
		l.Budgets[0].Spent = 110
	}},
	{"two bills of a service call", BilledTwice, func(l *history.Log) {
		l.Bills = append(l.Bills, history.Bill{Budget: "w/main", Request: "q3", Attempt: "a3", Target: "svc", Amount: 10},
			history.Bill{Budget: "w/main", Request: "q3", Attempt: "a4", Target: "svc", Amount: 10})
		l.Bills = append(l.Bills[:1], l.Bills[2:]...)
		l.Budgets[0].Spent = 70
	}},
	{"no bill of a model's execution", RanNotBilled, func(l *history.Log) { l.Bills, l.Budgets[0].Spent = l.Bills[1:], 10 }},
	{"no bill of a service call", RanNotBilled, func(l *history.Log) { l.Bills, l.Budgets[0].Spent = l.Bills[:1], 50 }},
	{"no bill of a partially received response", RanNotBilled, func(l *history.Log) {
		l.Bills, l.Budgets[0].Spent = l.Bills[1:], 10
		l.Executions[0].Ending, l.Executions[0].Tokens = history.EndCrashed, 5
		l.Requests[0].Tries[0].Tokens, l.Requests[0].Tries[0].Complete = 5, false
	}},
	{"loss that does not cover the execution", RanNotBilled, func(l *history.Log) {
		l.Bills, l.Budgets[0].Spent, l.Budgets[0].Lost = l.Bills[1:], 10, 49
		l.Losses = []history.Loss{{Budget: "w/main", Amount: 49}}
	}},
	{"killed agent, but the caller has the response", RanNotBilled, func(l *history.Log) {
		l.Bills, l.Budgets[0].Spent = l.Bills[1:], 10
		l.Kills = []history.Kill{{Process: "e1", At: 2 * time.Second}}
	}},
	{"bill of an unknown attempt", BilledNotRun, func(l *history.Log) {
		l.Bills = append(l.Bills, history.Bill{Budget: "w/main", Request: "q4", Attempt: "a9", Target: "model", Amount: 5})
		l.Budgets[0].Spent = 65
	}},
	{"bill of an unknown request", BilledNotRun, func(l *history.Log) {
		l.Bills = append(l.Bills, history.Bill{Budget: "w/main", Request: "q9", Attempt: "a9", Target: "model", Amount: 5})
		l.Budgets[0].Spent = 65
	}},
	{"bill of another amount", WrongBill, func(l *history.Log) { l.Bills[0].Amount, l.Budgets[0].Spent = 49, 59 }},
	{"bill above the maximum cost", WrongBill, func(l *history.Log) {
		l.Bills[0].Amount, l.Bills[0].Estimated, l.Budgets[0].Spent = 101, true, 111
	}},
	{"bill of another budget", WrongBill, func(l *history.Log) {
		l.Bills[0].Budget, l.Budgets[0].Spent = "x/main", 10
		l.Budgets = append(l.Budgets, history.Budget{ID: "x/main", Paid: 100, Spent: 50})
	}},
	{"another request's marker", ForeignResponse, func(l *history.Log) { l.Requests[0].Tries[0].Echo = "s" }},
	{"no marker", ForeignResponse, func(l *history.Log) { l.Requests[1].Tries[1].Echo = "" }},
	{"another text of the same length", ForeignResponse, func(l *history.Log) { l.Requests[0].Tries[0].Hash = 8 }},
	{"an execution without a request", ForeignResponse, func(l *history.Log) {
		l.Executions = append(l.Executions, history.Execution{Marker: "x", Ending: history.EndCanceled})
	}},
	{"a truncated stream with its end mark", IncompleteResponse, func(l *history.Log) {
		l.Requests[0].Tries[0].Tokens, l.Requests[0].Tries[0].Hash = 19, 8
	}},
	{"a truncated response of unknown text", IncompleteResponse, func(l *history.Log) {
		l.Requests[0].WantHash, l.Requests[0].Tries[0].Tokens = 0, 19
	}},
	{"a truncated JSON body", IncompleteResponse, func(l *history.Log) { l.Requests[1].Tries[1].Malformed = true }},
	{"not-run, but it ran", ToldNotRun, func(l *history.Log) {
		l.Executions = append(l.Executions, history.Execution{Server: "e1", Kind: history.KindModel, Attempt: "a5", Marker: "n",
			Start: 5500 * time.Millisecond, End: 5600 * time.Millisecond, Ending: history.EndCanceled})
	}},
	{"not-run, and it ran later", ToldNotRun, func(l *history.Log) {
		l.Executions = append(l.Executions, history.Execution{Server: "e1", Kind: history.KindModel, Attempt: "a5", Marker: "n",
			Start: 9 * time.Second, End: 10 * time.Second, Ending: history.EndCanceled})
	}},
	{"ran, but it did not", ToldRan, func(l *history.Log) {
		l.Requests[2].Tries[0].Verdict = "ran"
	}},
	{"a service call that ran twice", RanTwice, func(l *history.Log) {
		l.Executions = append(l.Executions, l.Executions[1])
		l.Bills = append(l.Bills, history.Bill{Budget: "w/main", Request: "q5", Attempt: "a6", Target: "svc", Amount: 10})
		l.Budgets[0].Spent = 70
	}},
	{"a response without a verdict", NoVerdict, func(l *history.Log) { l.Requests[2].Tries[0].Verdict = "" }},
	{"a response without a request id", NoVerdict, func(l *history.Log) { l.Requests[2].Tries[0].RequestID = "" }},
}

// Guards against a checker that cannot fail: each rule must detect a constructed
// history that violates it.
func TestEachRuleFindsItsViolation(t *testing.T) {
	covered := map[Rule]bool{}
	for _, v := range violations {
		covered[v.rule] = true
		t.Run(string(v.rule)+"/"+v.name, func(t *testing.T) {
			c := qt.New(t)
			log := cleanHistory()
			v.mutate(log)
			result := Run(log)
			c.Assert(result.Count(v.rule) > 0, qt.IsTrue, qt.Commentf("%v", result.Violations))
			for _, found := range result.Violations {
				c.Check(found.Rule, qt.Equals, v.rule, qt.Commentf("%v", result.Violations))
			}
		})
	}
	for _, rule := range Rules {
		qt.Check(t, covered[rule], qt.IsTrue, qt.Commentf("rule %s has no history that violates it", rule))
	}
}

// Guards against violations reported for outcomes that the design allows after
// failures.
func TestAllowedAfterFailures(t *testing.T) {
	unbilled := func(l *history.Log) { l.Bills, l.Budgets[0].Spent = l.Bills[1:], 10 }
	for name, mutate := range map[string]func(*history.Log){
		"the bill is inside a listed loss": func(l *history.Log) {
			unbilled(l)
			l.Losses, l.Budgets[0].Lost = []history.Loss{{Budget: "w/main", Amount: 50}}, 50
		},
		"the agent was killed and the verdict is unknown": func(l *history.Log) {
			unbilled(l)
			l.Kills = []history.Kill{{Process: "e1", At: 2 * time.Second}}
			l.Requests[0].Tries[0] = history.Try{Start: time.Second, End: 3 * time.Second, Status: 502, Verdict: "unknown", RequestID: "q1", Complete: true}
		},
		"the engine crashed and nothing was delivered": func(l *history.Log) {
			unbilled(l)
			l.Executions[0].Ending = history.EndCrashed
			l.Requests[0].Tries[0] = history.Try{Start: time.Second, End: 3 * time.Second, Status: 502, Verdict: "unknown", RequestID: "q1", Complete: true}
		},
		"a refused retry of a request that ran": func(l *history.Log) {
			l.Requests[1].Tries[1] = history.Try{Start: 500 * time.Millisecond, End: 4 * time.Second, Status: 503, Verdict: "not-run", RequestID: "q3", Complete: true}
		},
		"only the callers' records are known": func(l *history.Log) { l.GroundTruth, l.Executions, l.Bills, l.Budgets = false, nil, nil, nil },
	} {
		t.Run(name, func(t *testing.T) {
			log := cleanHistory()
			mutate(log)
			result := Run(log)
			qt.Assert(t, result.Violations, qt.HasLen, 0, qt.Commentf("%v", result.Violations))
		})
	}
}
