package admin

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"github.com/monsoonworks/monsoonworks/internal/dispatch"
	"github.com/monsoonworks/monsoonworks/internal/gateway"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
)

func finished(id uuid.UUID, err *verdict.Error) gateway.Record {
	return gateway.Record{
		Call: &dispatch.Call{Request: id, Workspace: "w", Budget: "w/main", Target: "m", MaxCost: 100, Body: []byte("secret")},
		Outcome: dispatch.Outcome{Verdict: verdict.Ran, Err: err, Attempts: []dispatch.AttemptSummary{{
			Server: "s1", Region: "r1", Reason: "prefix", Reserved: 100, Billed: 40, Verdict: verdict.Ran,
		}}},
		Status: 200, Elapsed: time.Second,
	}
}

// Guards against a history that grows without bound, by number, bytes or age, and
// against one that reports a longer retention than it has.
func TestHistoryIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		h := NewHistory("r")
		first := uuid.New()
		h.RecordFinished(finished(first, nil))
		c.Assert(h.Explain(first), qt.HasLen, 1)
		time.Sleep(time.Minute)
		long := verdict.New(verdict.NotRun, verdict.CodeOverloaded, "%s", strings.Repeat("x", 10*maxDetailBytes))
		for range 2 * MaxRecords {
			h.RecordFinished(finished(uuid.New(), long))
		}
		c.Assert(h.authenticated.records <= MaxRecords, qt.IsTrue)
		c.Assert(h.authenticated.bytes <= MaxBytes, qt.IsTrue)
		c.Assert(h.authenticated.bytes > MaxBytes/2, qt.IsTrue)
		c.Assert(h.Explain(first), qt.HasLen, 0)
		c.Assert(h.Retention().SinceMillis < time.Minute.Milliseconds(), qt.IsTrue)
		time.Sleep(MaxAge + time.Second)
		for range chunkRecords + 1 {
			h.RecordFinished(finished(uuid.New(), nil))
		}
		c.Assert(h.authenticated.records <= 2*chunkRecords+1, qt.IsTrue, qt.Commentf("%d", h.authenticated.records))
	})
}

// Guards against requests without a valid key that evict the records of others, and
// against counts that mix workspaces, times or codes.
func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		h := NewHistory("r")
		exhausted := verdict.New(verdict.NotRun, verdict.CodeBudgetExhausted, "less than 100 tokens left")
		h.RecordFinished(finished(uuid.New(), exhausted))
		time.Sleep(10 * time.Minute)
		last := uuid.New()
		h.RecordFinished(finished(uuid.New(), exhausted))
		h.RecordFinished(finished(last, exhausted))
		h.RecordFinished(finished(uuid.New(), nil))
		for range 5 * maxUnauthenticated {
			h.RecordRefused(gateway.Refusal{Request: uuid.New(), Budget: "w/main", Status: 401,
				Err: verdict.New(verdict.NotRun, verdict.CodeUnauthorized, "a key is needed")})
		}
		h.RecordRefused(gateway.Refusal{Request: uuid.New(), Budget: "other/main", Authenticated: true, Status: 429,
			Err: verdict.New(verdict.NotRun, verdict.CodeRateLimited, "limit")})
		r := h.Refusals("w", time.Now().Add(-time.Minute))
		c.Assert(r.Completed, qt.Equals, 1)
		c.Assert(r.Refusals, qt.HasLen, 2)
		c.Assert(r.Refusals[0].Code, qt.Equals, verdict.CodeUnauthorized)
		c.Assert(r.Refusals[0].Count <= maxUnauthenticated, qt.IsTrue)
		c.Assert(r.Refusals[1].Code, qt.Equals, verdict.CodeBudgetExhausted)
		c.Assert(r.Refusals[1].Count, qt.Equals, 2)
		c.Assert(r.Refusals[1].Example.Request, qt.Equals, last)
		c.Assert(r.Refusals[1].Example.Attempts[0].Reason, qt.Equals, "prefix")
		c.Assert(h.Refusals("w", time.Now().Add(-time.Hour)).Refusals[1].Count, qt.Equals, 3)
	})
}

// Guards against a history that stores content of a caller, or an engine's message that
// may quote it.
func TestCallerContentIsNotStored(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		code       verdict.Code
		attempted  bool
		text, want string
	}{
		{verdict.CodeBadRequest, false, `the member "a \"private\" name" appears twice`, `the member "..." appears twice`},
		{verdict.CodeNotFound, false, `the model "private" does not exist`, `the model "..." does not exist`},
		{verdict.CodeBadRequest, true, `cannot read: private`, "The request is not valid"},
		{verdict.CodeOverloaded, true, `no room for private`, "The request cannot start in time"},
		{verdict.CodeServerError, true, `engine answered 500: private`, "The backend server failed"},
		{verdict.CodeOverloaded, false, `the queue is full`, "the queue is full"},
		{verdict.CodeBudgetExhausted, false, `budget "w/main" has less`, `budget "w/main" has less`},
	} {
		err := verdict.New(verdict.NotRun, test.code, "%s", test.text)
		c.Assert(redactedDetail(err, test.attempted), qt.Equals, test.want)
	}
}

// BenchmarkFinished measures the cost of the history per request.
func BenchmarkFinished(b *testing.B) {
	h := NewHistory("r")
	r := finished(uuid.New(), nil)
	b.ReportAllocs()
	for b.Loop() {
		h.RecordFinished(r)
	}
}
