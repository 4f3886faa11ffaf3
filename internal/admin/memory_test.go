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
		Call: &dispatch.Call{Request: id, Workspace: "w", Budget: "w/main", Target: "m", Reserve: 100, Body: []byte("secret")},
		Outcome: dispatch.Outcome{Verdict: verdict.Ran, Err: err, Attempts: []dispatch.AttemptSummary{{
			Server: "s1", Region: "r1", Reason: "prefix", Reserved: 100, Billed: 40, Verdict: verdict.Ran,
		}}},
		Status: 200, Elapsed: time.Second,
	}
}

// Guards against a memory that grows without bound, by number, bytes or age, and
// against one that claims to reach back further than it does.
func TestMemoryIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		m := NewMemory("r")
		first := uuid.New()
		m.Finished(finished(first, nil))
		c.Assert(m.Explain(first), qt.HasLen, 1)
		time.Sleep(time.Minute)
		long := verdict.New(verdict.NotRun, verdict.CodeOverloaded, "%s", strings.Repeat("x", 10*maxDetailBytes))
		for range 2 * MaxRecords {
			m.Finished(finished(uuid.New(), long))
		}
		c.Assert(m.known.records <= MaxRecords, qt.IsTrue)
		c.Assert(m.known.bytes <= MaxBytes, qt.IsTrue)
		c.Assert(m.known.bytes > MaxBytes/2, qt.IsTrue)
		c.Assert(m.Explain(first), qt.HasLen, 0)
		c.Assert(m.Reach().SinceMillis < time.Minute.Milliseconds(), qt.IsTrue)
		time.Sleep(MaxAge + time.Second)
		for range chunkRecords + 1 {
			m.Finished(finished(uuid.New(), nil))
		}
		c.Assert(m.known.records <= 2*chunkRecords+1, qt.IsTrue, qt.Commentf("%d", m.known.records))
	})
}

// Guards against requests without a valid key that push others out, and against
// counts that mix workspaces, times or codes.
func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		m := NewMemory("r")
		exhausted := verdict.New(verdict.NotRun, verdict.CodeBudgetExhausted, "less than 100 tokens left")
		m.Finished(finished(uuid.New(), exhausted))
		time.Sleep(10 * time.Minute)
		last := uuid.New()
		m.Finished(finished(uuid.New(), exhausted))
		m.Finished(finished(last, exhausted))
		m.Finished(finished(uuid.New(), nil))
		for range 5 * maxStrangers {
			m.Refused(gateway.Refusal{Request: uuid.New(), Budget: "w/main", Status: 401,
				Err: verdict.New(verdict.NotRun, verdict.CodeUnauthorized, "a key is needed")})
		}
		m.Refused(gateway.Refusal{Request: uuid.New(), Budget: "other/main", Authenticated: true, Status: 429,
			Err: verdict.New(verdict.NotRun, verdict.CodeRateLimited, "limit")})
		r := m.Refusals("w", time.Now().Add(-time.Minute))
		c.Assert(r.Completed, qt.Equals, 1)
		c.Assert(r.Refusals, qt.HasLen, 2)
		c.Assert(r.Refusals[0].Code, qt.Equals, verdict.CodeUnauthorized)
		c.Assert(r.Refusals[0].Count <= maxStrangers, qt.IsTrue)
		c.Assert(r.Refusals[1].Code, qt.Equals, verdict.CodeBudgetExhausted)
		c.Assert(r.Refusals[1].Count, qt.Equals, 2)
		c.Assert(r.Refusals[1].Example.Request, qt.Equals, last)
		c.Assert(r.Refusals[1].Example.Attempts[0].Reason, qt.Equals, "prefix")
		c.Assert(m.Refusals("w", time.Now().Add(-time.Hour)).Refusals[1].Count, qt.Equals, 3)
	})
}

// Guards against a part of what a caller sent, or an engine said about it, that
// stays in the memory.
func TestCallersContentIsNotKept(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		code       verdict.Code
		sent       bool
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
		c.Assert(keptDetail(err, test.sent), qt.Equals, test.want)
	}
}

// BenchmarkFinished measures what the memory costs each request.
func BenchmarkFinished(b *testing.B) {
	m := NewMemory("r")
	r := finished(uuid.New(), nil)
	b.ReportAllocs()
	for b.Loop() {
		m.Finished(r)
	}
}
