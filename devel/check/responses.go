package check

import (
	"fmt"
	"strings"
	"time"

	"github.com/monsoonworks/monsoonworks/devel/history"
)

// checkResponses checks the responses that callers received.
func (c *checker) checkResponses() {
	for i := range c.log.Requests {
		r := &c.log.Requests[i]
		for n := range r.Tries {
			t := &r.Tries[n]
			c.checkResponse(r, t)
			// The verdict of a streamed response is in the trailer, which is missing
			// if the connection broke before the end.
			if t.Status != 0 && (t.RequestID == "" || t.Complete && t.Verdict == "") {
				c.report(NoVerdict, r.ID, "status %d, verdict %q, request id %q", t.Status, t.Verdict, t.RequestID)
			}
		}
	}
}

func (c *checker) checkResponse(r *history.Request, t *history.Try) {
	switch {
	case t.Echo != "" && t.Echo != r.ID:
		c.report(ForeignResponse, r.ID, "the response to request %s was received from %s", t.Echo, t.Router)
	case !t.OK():
	case t.Malformed:
		c.report(IncompleteResponse, r.ID, "the response from %s cannot be parsed", t.Router)
	case t.Echo == "":
		c.report(ForeignResponse, r.ID, "the response from %s does not have the request's marker", t.Router)
	case r.WantHash != 0 && t.Hash != r.WantHash && c.truncated(r, t):
		c.report(IncompleteResponse, r.ID, "%d tokens were received from %s: %s", t.Tokens, t.Router, describeExecutions(c.executions[r.ID]))
	case r.WantHash != 0 && t.Hash != r.WantHash:
		c.report(ForeignResponse, r.ID, "the text from %s is not the expected one", t.Router)
	case c.log.GroundTruth && r.Kind == history.KindModel && c.truncated(r, t):
		c.report(IncompleteResponse, r.ID, "%d tokens were received from %s: %s", t.Tokens, t.Router, describeExecutions(c.executions[r.ID]))
	}
}

// truncated reports whether no execution of the request produced a complete response of the
// received length. Without the servers' records it returns false.
func (c *checker) truncated(r *history.Request, t *history.Try) bool {
	for _, e := range c.executions[r.ID] {
		if e.EndedNormally() && e.Tokens == t.Tokens {
			return false
		}
	}
	return c.log.GroundTruth
}

// checkVerdicts compares the verdicts that callers received with the servers' executions.
func (c *checker) checkVerdicts() {
	for i := range c.log.Requests {
		r := &c.log.Requests[i]
		for n := range r.Tries {
			switch r.Tries[n].Verdict {
			case history.VerdictNotRun:
				c.checkNotRun(r, n)
			case history.VerdictRan:
				if len(c.executions[r.ID]) == 0 {
					c.report(ToldRan, r.ID, "the verdict from %s was ran, but no server ran the request", r.Tries[n].Router)
				}
			}
		}
	}
}

// checkNotRun looks for an execution of a try with the verdict not-run. Tries are
// sequential, so an execution that began between the start of a try and the start of
// the next belongs to it, unless it belongs or can belong to an earlier try.
func (c *checker) checkNotRun(r *history.Request, n int) {
	t := &r.Tries[n]
	until := time.Duration(1<<63 - 1)
	if n+1 < len(r.Tries) {
		until = r.Tries[n+1].Start
	}
	for _, e := range c.executions[r.ID] {
		if e.Start < t.Start || e.Start >= until || c.fromEarlierTry(r, n, e) {
			continue
		}
		c.report(ToldNotRun, r.ID, "the verdict from %s was not-run (%s) at %s, but the request ran: %s", t.Router, t.Code, t.End, describeExecutions([]*history.Execution{e}))
	}
}

// fromEarlierTry reports whether an execution can belong to an earlier try whose
// outcome is unknown. If the execution has a bill, the request ID in it decides.
func (c *checker) fromEarlierTry(r *history.Request, n int, e *history.Execution) bool {
	if bills := c.bills[e.Attempt]; e.Attempt != "" && len(bills) > 0 {
		return bills[0].Request != r.Tries[n].RequestID
	}
	for _, t := range r.Tries[:n] {
		if !t.Complete || t.Verdict == history.VerdictUnknown {
			return true
		}
	}
	return false
}

// describeTries describes the outcome of each try of a request as the caller saw it.
func describeTries(r *history.Request) string {
	var parts []string
	for _, t := range r.Tries {
		if t.Status == 0 {
			parts = append(parts, fmt.Sprintf("%s: %s", t.Router, t.Err))
		} else {
			parts = append(parts, fmt.Sprintf("%s: %d %s %s", t.Router, t.Status, t.Verdict, t.Code))
		}
	}
	return strings.Join(parts, "; ")
}
