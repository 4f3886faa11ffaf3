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

// Guards against a workspace with many requests that starves another, and against
// urgent work that waits.
func TestQueueIsFairBetweenWorkspaces(t *testing.T) {
	c := qt.New(t)
	q := newFairQueue()
	push := func(workspace string, priority int8, reserve budget.Tokens) {
		q.push(&attempt{req: &wire.ExecRequest{
			Budget: budget.MakeID(workspace, ""), Priority: priority, Reserve: reserve,
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

// Guards against a queue without a bound, and against a request that waits past
// its deadline.
func TestQueueBounds(t *testing.T) {
	inBench(t, Options{Slots: 1, MaxQueue: 2, MaxWait: time.Hour}, func(b *bench) {
		b.engine.length = 3000
		long := func(r *wire.ExecRequest) { r.Reserve = 4000 }
		running := b.start(request(long))
		waits := b.start(request(long, func(r *wire.ExecRequest) { r.DeadlineMillis = 2500 }))
		hopeless := b.run(request(long, func(r *wire.ExecRequest) { r.DeadlineMillis = 100 }))
		b.Assert(hopeless.refusedFor(), qt.Equals, verdict.CodeOverloaded)
		b.Assert(hopeless.refused.RetryAfterMillis > 0, qt.IsTrue)
		third := b.start(request(long))
		b.Assert(b.run(request(long)).refusedFor(), qt.Equals, verdict.CodeOverloaded)
		<-waits.ended
		b.Assert(waits.done.Verdict, qt.Equals, verdict.NotRun)
		b.Assert(waits.done.Code, qt.Equals, verdict.CodeDeadlineExceeded)
		<-running.ended
		<-third.ended
		b.Assert(b.engine.ran, qt.HasLen, 2)
	})
}

// Guards against a request that runs on past its deadline, or is billed although
// nothing of it was sent.
func TestDeadlineEndsARunningAttempt(t *testing.T) {
	inBench(t, Options{}, func(b *bench) {
		b.engine.length = 50
		soon := func(r *wire.ExecRequest) { r.DeadlineMillis = 6 }
		whole := b.run(request(soon, func(r *wire.ExecRequest) { r.Stream = false }))
		b.Assert(whole.done.Verdict, qt.Equals, verdict.Ran)
		b.Assert(whole.done.Bill, qt.IsNil)
		s := b.run(request(soon))
		b.Assert(s.done.Code, qt.Equals, verdict.CodeDeadlineExceeded)
		b.Assert(s.done.Bill.Output > 0, qt.IsTrue)
		b.Assert(b.engine.canceled, qt.HasLen, 2)
	})
}

// Guards against finished answers that grow without bound, and against the loss
// of an answer with a key while one without could go.
func TestKeptAnswersAreBounded(t *testing.T) {
	inBench(t, Options{}, func(b *bench) {
		finish := func(key bool, size int) *attempt {
			req := request()
			if key {
				keyed(req)
			}
			at, r, refused := b.agent.admit(req, nil, &preparedBody{})
			b.Assert(refused, qt.IsNil)
			b.Assert(at.answer.append(context.Background(), 0, strings.Repeat("x", size)), qt.IsNil)
			at.answer.detach(r)
			time.Sleep(20 * time.Millisecond)
			return at
		}
		const size = 3 << 19 // six of them are over the bound, five are not
		oldKeyed, oldPlain, plain := finish(true, size), finish(false, size), finish(false, size)
		finish(true, size)
		finish(true, size)
		newKeyed := finish(true, size)
		time.Sleep(2 * sweepInterval)
		b.Assert(b.resolve(oldPlain.id, false).State, qt.Equals, wire.AttemptForgotten)
		b.Assert(b.resolve(plain.id, false).State, qt.Equals, wire.AttemptFinished)
		b.Assert(b.resolve(oldKeyed.id, false).State, qt.Equals, wire.AttemptFinished)
		b.Assert(b.agent.metrics.answersDropped.Count(), qt.Equals, int64(1))
		kept, _ := b.remembered()
		b.Assert(kept <= maxKeptAnswerBytes, qt.IsTrue)
		time.Sleep(answerRetention + time.Minute)
		gone := b.attach(newKeyed.id, 0)
		<-gone.ended
		b.Assert(gone.done.Code, qt.Equals, verdict.CodeAnswerNotKept)
		b.Assert(gone.done.Verdict, qt.Equals, verdict.Ran)
		kept, _ = b.remembered()
		b.Assert(kept, qt.Equals, 0)
		b.Assert(b.agent.answerBytes.Load(), qt.Equals, int64(0))
	})
}

// Guards against an attempt that was forgotten and is then told to be unseen: its
// router would take it for not run.
func TestForgottenAttemptIsNotUnseen(t *testing.T) {
	inBench(t, Options{}, func(b *bench) {
		req := request()
		b.run(req)
		time.Sleep(2 * unkeyedRetention)
		reply := b.resolve(req.Attempt, true)
		b.Assert(reply.State, qt.Equals, wire.AttemptForgotten)
		b.Assert(reply.Done.Bill, qt.IsNotNil)
		b.Assert(b.rpc.AckBills(&wire.AckBillsArgs{Attempts: []uuid.UUID{req.Attempt}}, nil), qt.IsNil)
		reply = b.resolve(req.Attempt, true)
		b.Assert(reply.State, qt.Equals, wire.AttemptForgotten)
		b.Assert(reply.Done.Verdict, qt.Equals, verdict.Unknown)
		b.Assert(b.resolve(request().Attempt, false).State, qt.Equals, wire.AttemptUnseen)
		_, records := b.remembered()
		b.Assert(records, qt.Equals, 0)
	})
}

// Guards against records that grow without bound, are dropped silently, or are
// then told to be unseen.
func TestRecordsAreBounded(t *testing.T) {
	inBench(t, Options{MaxRecords: 3}, func(b *bench) {
		var reqs []*wire.ExecRequest
		for i := range 6 {
			req := request()
			if i < 2 {
				keyed(req)
			}
			reqs = append(reqs, req)
			b.run(req)
		}
		time.Sleep(2 * sweepInterval)
		_, records := b.remembered()
		b.Assert(records, qt.Equals, 3)
		b.Assert(b.agent.metrics.recordsDropped.Count(), qt.Equals, int64(3))
		b.Assert(b.collect(wire.CollectArgs{WithClaims: true}).Claims, qt.HasLen, 2)
		for _, req := range reqs {
			b.Assert(b.resolve(req.Attempt, true).State, qt.Not(qt.Equals), wire.AttemptUnseen)
		}
	})
}

// Guards against an answer that fills the memory while its reader is slow, and
// against a reader that gets an answer with a hole.
func TestRunningAnswerWaitsForItsReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		an := newAnswer(new(atomic.Int64))
		part := strings.Repeat("x", 64<<10)
		slow := an.attach(0)
		produced := make(chan int, 1)
		go func() {
			n := 0
			for ; n < 100 && an.append(t.Context(), 1, part) == nil; n++ {
			}
			an.finish()
			produced <- n
		}()
		got, consumed := 0, 0
		for {
			synctest.Wait()
			c.Assert(an.bytes <= maxAnswerBytes+len(part), qt.IsTrue)
			v := slow.read(consumed)
			c.Assert(v.lost, qt.IsFalse)
			if consumed = min(1, len(v.frames)); consumed == 0 {
				c.Assert(v.done, qt.IsTrue)
				break
			}
			got++
		}
		c.Assert(got, qt.Equals, <-produced)
		c.Assert(an.attach(0).read(0).lost, qt.IsTrue)
	})
}

// Guards against an order of a leader that was replaced, also right after a start
// and behind an order in progress.
func TestOrdersNeedACurrentFence(t *testing.T) {
	inBench(t, Options{}, func(b *bench) {
		b.engine.orderFor = time.Second
		order := func(fence int64) wire.OrderReply {
			var reply wire.OrderReply
			b.Assert(b.rpc.Order(&wire.OrderArgs{Fence: fence, Kind: "set-role", Value: fmt.Sprint(fence)}, &reply), qt.IsNil)
			return reply
		}
		b.Assert(order(9).Done, qt.IsFalse)
		b.agent.SetFencingToken(5)
		b.Assert(order(4).Fenced, qt.IsTrue)
		replies := make(chan wire.OrderReply, 3)
		for _, fence := range []int64{5, 6, 7} {
			go func() { replies <- order(fence) }()
			synctest.Wait()
		}
		done := 0
		for range 3 {
			if (<-replies).Done {
				done++
			}
		}
		b.Assert(done, qt.Equals, 2) // 6 waited behind 5 and was overtaken by 7
		b.Assert(order(6).Fenced, qt.IsTrue)
		b.Assert(b.engine.orders[len(b.engine.orders)-1].Fence, qt.Equals, int64(7))
	})
}

// Guards against a probe that ignores cached prefixes, believes in them for ever
// after a gap, or ignores the queue.
func TestProbeEstimatesFirstToken(t *testing.T) {
	inBench(t, Options{Slots: 1}, func(b *bench) {
		probe := func() wire.ProbeReply {
			var reply wire.ProbeReply
			args := wire.ProbeArgs{Target: "m", PromptTokens: 4000, Prefixes: []uint64{1, 2, 3}}
			b.Assert(b.rpc.Probe(&args, &reply), qt.IsNil)
			return reply
		}
		cold := probe()
		b.Assert(cold.Serves, qt.IsTrue)
		b.agent.index.Stored([]uint64{1, 2})
		warm := probe()
		b.Assert(warm.CachedTokens, qt.Equals, int32(128))
		b.Assert(warm.FirstTokenMillis < cold.FirstTokenMillis, qt.IsTrue)
		b.agent.index.Gap()
		time.Sleep(gapLifetime + time.Second)
		b.Assert(probe().CachedTokens, qt.Equals, int32(0))
		s := b.start(request(func(r *wire.ExecRequest) { r.Prefixes = []uint64{1, 2, 3} }))
		b.Assert(probe().CachedTokens, qt.Equals, int32(192))
		b.Assert(probe().FirstTokenMillis > cold.FirstTokenMillis, qt.IsTrue)
		<-s.ended
	})
}
