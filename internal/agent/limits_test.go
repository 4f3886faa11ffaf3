package agent

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// Guards against a workspace with many requests that starves another, and
// against urgent work that waits for less urgent work.
func TestQueueIsFairBetweenWorkspaces(t *testing.T) {
	c := qt.New(t)
	q := newFairQueue()
	push := func(workspace string, priority int8, reserve budget.Tokens) {
		q.push(&attempt{req: &wire.ExecRequest{
			Budget: budget.MakeID(workspace, ""), Priority: priority, MaxCost: reserve,
		}})
	}
	for range 6 {
		push("large", 0, 100)
	}
	for range 2 {
		push("small", 0, 100)
	}
	push("large", 3, 100)
	push("heavy", 0, 1000)
	push("heavy", 0, 1000)
	c.Assert(q.ahead(0), qt.Equals, 11)
	c.Assert(q.ahead(1), qt.Equals, 1)
	var order []string
	for at := q.pop(); at != nil; at = q.pop() {
		order = append(order, at.req.Budget.Workspace())
	}
	c.Assert(strings.Join(order, " "), qt.Equals,
		"large heavy large small large small large large large large heavy")
	c.Assert(q.length, qt.Equals, 0)
}

// Guards against an unbounded queue, and against a request that waits past its
// deadline.
func TestQueueLimits(t *testing.T) {
	runFixture(t, Options{Slots: 1, MaxQueue: 2, MaxWait: time.Hour}, func(f *fixture) {
		f.engine.length = 3000
		long := func(r *wire.ExecRequest) { r.MaxCost = 4000 }
		running := f.start(request(long))
		queued := f.start(request(long, func(r *wire.ExecRequest) { r.DeadlineMillis = 2500 }))
		tooLate := f.run(request(long, func(r *wire.ExecRequest) { r.DeadlineMillis = 100 }))
		f.Assert(tooLate.refusalCode(), qt.Equals, verdict.CodeOverloaded)
		f.Assert(tooLate.refused.RetryAfterMillis > 0, qt.IsTrue)
		third := f.start(request(long))
		f.Assert(f.run(request(long)).refusalCode(), qt.Equals, verdict.CodeOverloaded)
		<-queued.ended
		f.Assert(queued.done.Verdict, qt.Equals, verdict.NotRun)
		f.Assert(queued.done.Code, qt.Equals, verdict.CodeDeadlineExceeded)
		<-running.ended
		<-third.ended
		f.Assert(f.engine.started, qt.HasLen, 2)
	})
}

// Guards against a request that runs past its deadline, or is billed although
// nothing of its response was sent.
func TestDeadlineEndsRunningAttempt(t *testing.T) {
	runFixture(t, Options{}, func(f *fixture) {
		f.engine.length = 50
		soon := func(r *wire.ExecRequest) { r.DeadlineMillis = 6 }
		unstreamed := f.run(request(soon, func(r *wire.ExecRequest) { r.Stream = false }))
		f.Assert(unstreamed.done.Verdict, qt.Equals, verdict.Ran)
		f.Assert(unstreamed.done.Bill, qt.IsNil)
		s := f.run(request(soon))
		f.Assert(s.done.Code, qt.Equals, verdict.CodeDeadlineExceeded)
		f.Assert(s.done.Bill.Output > 0, qt.IsTrue)
		f.Assert(f.engine.canceled, qt.HasLen, 2)
	})
}

// Guards against unbounded growth of finished responses, and against dropping a
// keyed response while an unkeyed one could be dropped.
func TestKeptResponsesAreBounded(t *testing.T) {
	runFixture(t, Options{}, func(f *fixture) {
		finish := func(key bool, size int) *attempt {
			req := request()
			if key {
				keyed(req)
			}
			at, r, refused := f.agent.admit(req, nil, &preparedBody{})
			f.Assert(refused, qt.IsNil)
			f.Assert(at.response.append(context.Background(), 0, strings.Repeat("x", size)), qt.IsNil)
			at.response.detach(r)
			time.Sleep(20 * time.Millisecond)
			return at
		}
		const size = 3 << 19 // six of them exceed maxKeptResponseBytes, five do not
		oldKeyed, oldUnkeyed, unkeyed := finish(true, size), finish(false, size), finish(false, size)
		finish(true, size)
		finish(true, size)
		newKeyed := finish(true, size)
		time.Sleep(2 * sweepInterval)
		f.Assert(f.resolve(oldUnkeyed.id, false).State, qt.Equals, wire.AttemptExpired)
		f.Assert(f.resolve(unkeyed.id, false).State, qt.Equals, wire.AttemptFinished)
		f.Assert(f.resolve(oldKeyed.id, false).State, qt.Equals, wire.AttemptFinished)
		f.Assert(f.agent.metrics.responsesDropped.Count(), qt.Equals, int64(1))
		kept, _ := f.historySize()
		f.Assert(kept <= maxKeptResponseBytes, qt.IsTrue)
		time.Sleep(responseRetention + time.Minute)
		expired := f.attach(newKeyed.id, 0)
		<-expired.ended
		f.Assert(expired.done.Code, qt.Equals, verdict.CodeAnswerNotKept)
		f.Assert(expired.done.Verdict, qt.Equals, verdict.Ran)
		kept, _ = f.historySize()
		f.Assert(kept, qt.Equals, 0)
		f.Assert(f.agent.runningResponseBytes.Load(), qt.Equals, int64(0))
	})
}

// Guards against reporting an attempt whose record has expired as unseen: its
// router would treat it as not run.
func TestExpiredAttemptIsNotUnseen(t *testing.T) {
	runFixture(t, Options{}, func(f *fixture) {
		req := request()
		f.run(req)
		time.Sleep(2 * unkeyedRetention)
		reply := f.resolve(req.Attempt, true)
		f.Assert(reply.State, qt.Equals, wire.AttemptExpired)
		f.Assert(reply.Done.Bill, qt.IsNotNil)
		f.Assert(f.rpc.AckBills(&wire.AckBillsArgs{Attempts: []uuid.UUID{req.Attempt}}, nil), qt.IsNil)
		reply = f.resolve(req.Attempt, true)
		f.Assert(reply.State, qt.Equals, wire.AttemptExpired)
		f.Assert(reply.Done.Verdict, qt.Equals, verdict.Unknown)
		f.Assert(f.resolve(request().Attempt, false).State, qt.Equals, wire.AttemptUnknown)
		_, records := f.historySize()
		f.Assert(records, qt.Equals, 0)
	})
}

// Guards against records that grow without bound, are dropped without being
// counted, or are then reported as unseen.
func TestRecordsAreBounded(t *testing.T) {
	runFixture(t, Options{MaxRecords: 3}, func(f *fixture) {
		var reqs []*wire.ExecRequest
		for i := range 6 {
			req := request()
			if i < 2 {
				keyed(req)
			}
			reqs = append(reqs, req)
			f.run(req)
		}
		time.Sleep(2 * sweepInterval)
		_, records := f.historySize()
		f.Assert(records, qt.Equals, 3)
		f.Assert(f.agent.metrics.recordsDropped.Count(), qt.Equals, int64(3))
		f.Assert(f.collect(wire.CollectArgs{WithClaims: true}).Claims, qt.HasLen, 2)
		for _, req := range reqs {
			f.Assert(f.resolve(req.Attempt, true).State, qt.Not(qt.Equals), wire.AttemptUnknown)
		}
	})
}

// Guards against a response that fills the memory while its reader is slow, and
// against a reader that gets a response with a gap.
func TestRunningResponseWaitsForSlowReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		resp := newResponse(new(atomic.Int64))
		part := strings.Repeat("x", 64<<10)
		slow := resp.attach(0)
		produced := make(chan int, 1)
		go func() {
			n := 0
			for ; n < 100 && resp.append(t.Context(), 1, part) == nil; n++ {
			}
			resp.finish()
			produced <- n
		}()
		got, consumed := 0, 0
		for {
			synctest.Wait()
			c.Assert(resp.bytes <= maxResponseBytes+len(part), qt.IsTrue)
			snap := slow.read(consumed)
			c.Assert(snap.framesLost, qt.IsFalse)
			if consumed = min(1, len(snap.frames)); consumed == 0 {
				c.Assert(snap.done, qt.IsTrue)
				break
			}
			got++
		}
		c.Assert(got, qt.Equals, <-produced)
		c.Assert(resp.attach(0).read(0).framesLost, qt.IsTrue)
	})
}

// Guards against executing a command of a deposed leader, also right after the
// agent has started and after waiting for a command in progress.
func TestCommandsNeedCurrentFencingToken(t *testing.T) {
	runFixture(t, Options{}, func(f *fixture) {
		f.engine.commandDelay = time.Second
		sendCommand := func(fencingToken int64) wire.CommandReply {
			var reply wire.CommandReply
			f.Assert(f.rpc.Order(&wire.CommandArgs{FencingToken: fencingToken, Kind: "set-role", Value: fmt.Sprint(fencingToken)}, &reply), qt.IsNil)
			return reply
		}
		f.Assert(sendCommand(9).Done, qt.IsFalse)
		f.agent.SetFencingToken(5)
		f.Assert(sendCommand(4).Fenced, qt.IsTrue)
		replies := make(chan wire.CommandReply, 3)
		for _, fencingToken := range []int64{5, 6, 7} {
			go func() { replies <- sendCommand(fencingToken) }()
			synctest.Wait()
		}
		done := 0
		for range 3 {
			if (<-replies).Done {
				done++
			}
		}
		f.Assert(done, qt.Equals, 2) // 6 waited behind 5 and was superseded by 7
		f.Assert(sendCommand(6).Fenced, qt.IsTrue)
		f.Assert(f.engine.commands[len(f.engine.commands)-1].FencingToken, qt.Equals, int64(7))
	})
}

// Guards against a probe that ignores cached prefixes, assumes them to be
// cached indefinitely after a gap, or ignores the queue.
func TestProbeEstimatesFirstToken(t *testing.T) {
	runFixture(t, Options{Slots: 1}, func(f *fixture) {
		probe := func() wire.ProbeReply {
			var reply wire.ProbeReply
			args := wire.ProbeArgs{Target: "m", PromptTokens: 4000, Prefixes: []uint64{1, 2, 3}}
			f.Assert(f.rpc.Probe(&args, &reply), qt.IsNil)
			return reply
		}
		cold := probe()
		f.Assert(cold.Serves, qt.IsTrue)
		f.agent.cachedPrefixes.Stored([]uint64{1, 2})
		warm := probe()
		f.Assert(warm.CachedTokens, qt.Equals, int32(128))
		f.Assert(warm.FirstTokenMillis < cold.FirstTokenMillis, qt.IsTrue)
		f.agent.cachedPrefixes.Gap()
		time.Sleep(gapTTL + time.Second)
		f.Assert(probe().CachedTokens, qt.Equals, int32(0))
		s := f.start(request(func(r *wire.ExecRequest) { r.Prefixes = []uint64{1, 2, 3} }))
		f.Assert(probe().CachedTokens, qt.Equals, int32(192))
		f.Assert(probe().FirstTokenMillis > cold.FirstTokenMillis, qt.IsTrue)
		<-s.ended
	})
}
