package agent

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"
	"github.com/tidwall/gjson"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/engine"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// Guards against an engine that generates more than was paid for, and against a
// cut answer without a regular end.
func TestBoundIsEnforcedPerToken(t *testing.T) {
	inBench(t, Options{}, func(b *bench) {
		b.engine.length = 500
		req := request(func(r *wire.ExecRequest) { r.Reserve, r.MaxOutput = 28, 50 })
		s := b.run(req)
		b.Assert(s.tokens, qt.Equals, 8)
		chunks := s.chunks(b.C)
		b.Assert(chunks, qt.HasLen, 10)
		b.Assert(chunks[8].Get("choices.0.finish_reason").Str, qt.Equals, "length")
		b.Assert(s.parts[9], qt.Equals, "data: [DONE]\n\n")
		b.Assert(s.done.Verdict, qt.Equals, verdict.Ran)
		b.Assert(s.done.Code, qt.Equals, verdict.Code(""))
		b.Assert(s.done.Bill.Amount, qt.Equals, budget.Tokens(28))
		b.Assert(b.engine.canceled, qt.DeepEquals, []uuid.UUID{req.Attempt})
		b.Assert(b.agent.metrics.absorbedTokens.Count(), qt.Equals, int64(1))
	})
}

// Guards against a bill that differs from what the engine reports within the
// bound.
func TestBillOfAWholeAnswer(t *testing.T) {
	inBench(t, Options{}, func(b *bench) {
		s := b.run(request())
		b.Assert(s.tokens, qt.Equals, 10)
		b.Assert(s.done.Bill.Amount, qt.Equals, budget.Tokens(17))
		b.Assert(s.done.Bill.Prompt, qt.Equals, budget.Tokens(7))
		b.Assert(s.head.Status, qt.Equals, 200)
		s = b.run(request(func(r *wire.ExecRequest) { r.PromptBound = 5 }))
		b.Assert(s.done.Bill.Amount, qt.Equals, budget.Tokens(15))
	})
}

// Guards against a whole answer that lacks parts of its chunks, or its end when
// the bound cuts it.
func TestWholeAnswerIsAssembled(t *testing.T) {
	inBench(t, Options{}, func(b *bench) {
		b.engine.length = 3
		s := b.run(request(func(r *wire.ExecRequest) { r.Stream = false }))
		whole := gjson.Parse(s.text())
		b.Assert(s.parts, qt.HasLen, 1)
		b.Assert(whole.Get("object").Str, qt.Equals, "chat.completion")
		b.Assert(whole.Get("choices.0.message").Raw, qt.JSONEquals, map[string]string{"role": "assistant", "content": "t0 t1 t2 "})
		b.Assert(whole.Get("usage").Raw, qt.JSONEquals, map[string]int{"prompt_tokens": 7, "completion_tokens": 3, "total_tokens": 10})
		s = b.run(request(func(r *wire.ExecRequest) { r.Stream, r.MaxOutput = false, 2 }))
		whole = gjson.Parse(s.text())
		b.Assert(whole.Get("choices.0.finish_reason").Str, qt.Equals, "length")
		b.Assert(whole.Get("choices.0.message.content").Str, qt.Equals, "t0 t1 ")
		b.Assert(s.done.Bill.Output, qt.Equals, budget.Tokens(2))
	})
}

// Guards against a cut answer that lacks the usage that its caller asked for, also
// if nothing of it was passed on.
func TestCutStreamReportsItsUsage(t *testing.T) {
	inBench(t, Options{}, func(b *bench) {
		for _, limit := range []budget.Tokens{3, 0} {
			s := newStream()
			s.body = []byte(`{"stream_options":{"include_usage":true}}`)
			b.startStream(request(func(r *wire.ExecRequest) { r.Reserve = r.PromptBound + limit }), s)
			<-s.ended
			chunks := s.chunks(b.C)
			b.Assert(chunks, qt.HasLen, int(limit)+3)
			cut, usage := chunks[limit], chunks[limit+1]
			b.Assert(cut.Get("choices.0.finish_reason").Str, qt.Equals, "length")
			b.Assert(cut.Get("choices.0.delta").Raw, qt.Equals, "{}")
			b.Assert(cut.Get("token_ids.#").Int(), qt.Equals, int64(0))
			b.Assert(usage.Get("choices.#").Int(), qt.Equals, int64(0))
			b.Assert(usage.Get("usage.completion_tokens").Int(), qt.Equals, int64(limit))
			b.Assert(s.done.Bill.Amount, qt.Equals, 20+limit)
		}
	})
}

// Guards against a request that reaches the engine without the limit that was
// paid for, and against a chunk whose line ends break the caller's stream.
func TestBodiesAndChunksAreRewritten(t *testing.T) {
	inBench(t, Options{}, func(b *bench) {
		req := request(func(r *wire.ExecRequest) { r.MaxOutput, r.Priority = 9, 2 })
		p, err := prepareBody(req, []byte(`{"stream":false,"max_tokens":70,"max_completion_tokens":80,"seed":1,"stream_options":{"x":1}}`))
		b.Assert(err, qt.IsNil)
		b.Assert(string(p.body), qt.JSONEquals, map[string]any{
			"stream": true, "max_completion_tokens": 9, "seed": 1, "priority": 2,
			"stream_options": map[string]any{"x": 1, "include_usage": true},
		})
		b.Assert(p.usage, qt.IsFalse)
		for _, bad := range []string{"", "null", "[1]", `{"stream_options":3}`} {
			_, err := prepareBody(req, []byte(bad))
			b.Assert(err, qt.IsNotNil, qt.Commentf(bad))
		}
		at, _, refused := b.agent.admit(req, nil, p)
		b.Assert(refused, qt.IsNil)
		r := &modelRun{agent: b.agent, at: at}
		b.Assert(r.send(1, "{\r\n\"a\":\n1}"), qt.IsNil)
		b.Assert(string(at.answer.attach(0).read(0).frames[0].data), qt.Equals, "data: {\"a\":1}\n\n")
	})
}

// Guards against a reader that is told an attempt's end without its bill because
// the parts that it needs are gone.
func TestLostReaderGetsTheEndWithTheBill(t *testing.T) {
	inBench(t, Options{}, func(b *bench) {
		req := request(keyed)
		s := b.start(req)
		time.Sleep(5 * time.Millisecond)
		b.agent.mu.Lock()
		an := b.agent.attempts[req.Attempt].answer
		b.agent.mu.Unlock()
		an.mu.Lock()
		b.Assert(an.trimLocked(), qt.IsTrue)
		an.mu.Unlock()
		late := b.attach(req.Attempt, 0)
		b.Assert(late.accepted, qt.IsNotNil)
		<-s.ended
		<-late.ended
		b.Assert(s.tokens, qt.Equals, 10)
		b.Assert(late.tokens, qt.Equals, 0)
		b.Assert(late.done.Code, qt.Equals, verdict.CodeAnswerNotKept)
		b.Assert(late.done.Bill, qt.DeepEquals, s.done.Bill)
	})
}

// Guards against tool calls and several choices that get mixed up.
func TestAssemblerMergesToolCalls(t *testing.T) {
	c := qt.New(t)
	s := newAssembler(true)
	for _, chunk := range []string{
		`{"id":"a","choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"id":"c1","function":{"name":"stock","arguments":"{\"a\""}}]}}]}`,
		`{"id":"a","choices":[{"index":1,"delta":{"content":"two"},"finish_reason":"stop"}]}`,
		`{"id":"a","choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"function":{"arguments":":1}"}}]},"finish_reason":"tool_calls"}]}`,
	} {
		c.Assert(s.add(chunk), qt.IsNil)
	}
	encoded, err := s.answer(false, 1, 2)
	c.Assert(err, qt.IsNil)
	whole := gjson.ParseBytes(encoded)
	c.Assert(whole.Get("choices.0.message.tool_calls").Raw, qt.JSONEquals, []any{map[string]any{
		"id": "c1", "type": "function", "function": map[string]string{"name": "stock", "arguments": `{"a":1}`},
	}})
	c.Assert(whole.Get("choices.#.finish_reason").Raw, qt.Equals, `["tool_calls","stop"]`)
	c.Assert(whole.Get("choices.1.message.content").Str, qt.Equals, "two")
}

// Guards against a replay that misses or repeats parts, while the attempt runs
// and after its end.
func TestAttachContinuesAtAnOffset(t *testing.T) {
	inBench(t, Options{}, func(b *bench) {
		req := request(keyed)
		first := b.start(req)
		time.Sleep(4*time.Millisecond + 500*time.Microsecond)
		during := b.attach(req.Attempt, 2)
		<-first.ended
		<-during.ended
		after := b.attach(req.Attempt, 9)
		<-after.ended
		b.Assert(during.parts, qt.DeepEquals, first.parts[2:])
		b.Assert(after.parts, qt.DeepEquals, first.parts[9:])
		b.Assert(after.head, qt.DeepEquals, first.head)
		b.Assert(after.done.Bill, qt.DeepEquals, first.done.Bill)
		b.Assert(b.engine.ran, qt.HasLen, 1)
	})
}

// Guards against an attempt that runs after its router was told that it never
// will, and against an unseen attempt that is reported as such without a fence.
func TestTombstoneRefusesALateDispatch(t *testing.T) {
	inBench(t, Options{}, func(b *bench) {
		req := request()
		unknown := b.attach(req.Attempt, 0)
		<-unknown.ended
		b.Assert(unknown.refused, qt.IsNil)
		b.Assert(unknown.done.Verdict, qt.Equals, verdict.Unknown)
		b.Assert(b.resolve(req.Attempt, true).State, qt.Equals, wire.AttemptUnseen)
		s := b.run(req)
		b.Assert(s.refusedFor(), qt.Equals, verdict.CodeFenced)
		time.Sleep(2 * tombstoneRetention)
		s = b.run(req) // the tombstone is dropped, the floor is not
		b.Assert(s.refusedFor(), qt.Equals, verdict.CodeFenced)
		b.Assert(b.run(request()).refused, qt.IsNil)
		b.Assert(b.engine.ran, qt.HasLen, 1)
	})
}

// Guards against work that starts for a router whose lots were settled, and
// against a running one that the holder does not see.
func TestFencedRouterIsRefused(t *testing.T) {
	inBench(t, Options{}, func(b *bench) {
		running := request(keyed)
		s := b.start(running)
		reply := b.collect(wire.CollectArgs{
			FenceRouter: &routerA, FenceThrough: budget.LotPosition{Epoch: 2}, ClaimEpoch: 5, WithClaims: true,
		})
		b.Assert(reply.Running, qt.HasLen, 1)
		b.Assert(reply.Running[0].Attempt, qt.Equals, running.Attempt)
		b.Assert(reply.Claims, qt.HasLen, 1)
		b.Assert(b.run(request()).refusedFor(), qt.Equals, verdict.CodeFenced)
		other := func(r *wire.ExecRequest) { r.Router = routerB }
		b.Assert(b.run(request(other, keyed)).refusedFor(), qt.Equals, verdict.CodeFenced) // epoch 4
		b.Assert(b.run(request(other)).refused, qt.IsNil)
		elsewhere := func(r *wire.ExecRequest) { r.Lot.Account.Shard++ }
		b.Assert(b.run(request(elsewhere)).refused, qt.IsNil)
		<-s.ended
		reply = b.collect(wire.CollectArgs{})
		b.Assert(reply.Running, qt.HasLen, 0)
		b.Assert(reply.Bills, qt.HasLen, 2)
		b.Assert(reply.Routers, qt.HasLen, 2)
	})
}

// Guards against a request that was meant for an earlier run of the agent, and
// against a router that sends under another's name.
func TestWrongIncarnationIsRefused(t *testing.T) {
	inBench(t, Options{}, func(b *bench) {
		old := b.run(request(func(r *wire.ExecRequest) { r.TargetBoot = uuid.New() }))
		b.Assert(old.refusedFor(), qt.Equals, verdict.CodeFenced)
		s := newStream()
		s.hangUp()
		b.Assert(b.agent.checkRequest(wire.Hello{Name: "router-a", Boot: uuid.New()}, request()), qt.IsNotNil)
		b.Assert(b.engine.ran, qt.HasLen, 0)
	})
}

// Guards against a second run of an attempt, and against a claim that the attempt
// did not run when it did.
func TestRepeatedAttemptIsNotRunAgain(t *testing.T) {
	inBench(t, Options{}, func(b *bench) {
		req := request()
		b.run(req)
		again := b.run(req)
		b.Assert(again.refused, qt.IsNil)
		b.Assert(again.accepted, qt.IsNil)
		b.Assert(b.engine.ran, qt.HasLen, 1)
		b.Assert(b.resolve(req.Attempt, true).State, qt.Equals, wire.AttemptFinished)
	})
}

// Guards against verdicts that claim too much or too little after the server's
// death, and against several reports of one crash.
func TestCrashGivesTruthfulVerdicts(t *testing.T) {
	inBench(t, Options{Slots: 3}, func(b *bench) {
		b.engine.length = 50
		b.engine.fail(nil, engine.ErrServerLost, 3)
		fingerprint := func(n uint64) func(*wire.ExecRequest) {
			return func(r *wire.ExecRequest) { r.Fingerprint = n }
		}
		partial := b.start(request(fingerprint(1)))
		whole := b.start(request(fingerprint(2), func(r *wire.ExecRequest) { r.Stream = false }))
		time.Sleep(2*time.Millisecond + 500*time.Microsecond)
		late := b.start(request(fingerprint(3)))
		queued := b.start(request(fingerprint(4)))
		synctest.Wait()
		b.engine.fail(errors.New("connection refused"), engine.ErrServerLost, 3)
		for _, s := range []*stubStream{partial, whole, late, queued} {
			<-s.ended
		}
		b.Assert(b.reports, qt.HasLen, 1)
		b.Assert(b.reports[0].CrashID, qt.Equals, CrashID("srv-1", agentBoot, 1))
		b.Assert(b.reports[0].Fingerprints, qt.ContentEquals, []uint64{1, 2, 3})
		for s, want := range map[*stubStream]verdict.Verdict{
			partial: verdict.Ran, whole: verdict.Ran, late: verdict.Unknown, queued: verdict.NotRun,
		} {
			b.Assert(s.done.Verdict, qt.Equals, want)
			b.Assert(s.done.Code, qt.Equals, verdict.CodeServerLost)
			b.Assert(s.done.Crashed, qt.Equals, s != queued)
		}
		b.Assert(partial.done.Bill.Amount, qt.Equals, budget.Tokens(3))
		b.Assert(whole.done.Bill, qt.IsNil) // no part of it was sent
		b.Assert(b.run(request()).refusedFor(), qt.Equals, verdict.CodeNoServer)
		b.engine.fail(nil, nil, 0)
		time.Sleep(2 * healthInterval)
		b.Assert(b.run(request()).refused, qt.IsNil)
	})
}

// Guards against a lost stream of a healthy engine that is reported as a crash.
func TestLostStreamOfAHealthyEngineIsNoCrash(t *testing.T) {
	inBench(t, Options{}, func(b *bench) {
		b.engine.fail(nil, engine.ErrStreamLost, 0)
		s := b.run(request())
		b.Assert(s.done.Verdict, qt.Equals, verdict.Unknown)
		b.Assert(s.done.Crashed, qt.IsFalse)
		b.Assert(s.done.Bill, qt.IsNil)
		b.Assert(b.reports, qt.HasLen, 0)
		b.engine.fail(nil, engine.ErrNotSent, 0)
		b.Assert(b.run(request()).done.Verdict, qt.Equals, verdict.NotRun)
	})
}

// Guards against an error status of the engine that is told as not run although
// the engine may have begun.
func TestStatusVerdicts(t *testing.T) {
	c := qt.New(t)
	for status, want := range map[int]verdict.Verdict{
		400: verdict.NotRun, 404: verdict.NotRun, 413: verdict.NotRun, 429: verdict.NotRun, 503: verdict.NotRun,
		302: verdict.Unknown, 409: verdict.Unknown, 500: verdict.Unknown, 502: verdict.Unknown, 504: verdict.Unknown,
	} {
		c.Assert(statusDone(&engine.StatusError{Status: status}).Verdict, qt.Equals, want, qt.Commentf("%d", status))
	}
}

// Guards against work for nobody after a router died, and against a stop of what
// must reach its end or is read again in time.
func TestRouterGone(t *testing.T) {
	inBench(t, Options{}, func(b *bench) {
		b.engine.length = 10000
		big := func(r *wire.ExecRequest) { r.Reserve = 20000 }
		dropped, kept, reread, order := request(big), request(big, keyed), request(big), request(big)
		order.Idempotent = false
		for _, req := range []*wire.ExecRequest{dropped, kept, reread, order} {
			s := b.start(req)
			time.Sleep(time.Millisecond)
			s.hangUp()
		}
		time.Sleep(2 * time.Second)
		again := b.attach(reread.Attempt, 0)
		b.agent.mu.Lock()
		at := b.agent.attempts[reread.Attempt]
		b.agent.mu.Unlock()
		b.agent.stopUnread(at) // the timer fired just when the reader came
		time.Sleep(3 * time.Second)
		b.Assert(b.resolve(dropped.Attempt, false).Done.Code, qt.Equals, verdict.CodeCanceled)
		b.Assert(b.engine.canceled, qt.DeepEquals, []uuid.UUID{dropped.Attempt})
		<-again.ended
		b.Assert(again.tokens, qt.Equals, 10000)
		time.Sleep(10 * time.Second)
		for _, req := range []*wire.ExecRequest{kept, reread, order} {
			b.Assert(b.resolve(req.Attempt, false).Done.Code, qt.Equals, verdict.Code(""))
		}
	})
}

// Guards against a cancelled request that runs on, is not billed, or is stopped
// while another caller waits for the same answer.
func TestCancelBillsWhatWasGenerated(t *testing.T) {
	inBench(t, Options{Slots: 1}, func(b *bench) {
		s := b.start(request())
		queued := b.start(request())
		time.Sleep(4*time.Millisecond + 500*time.Microsecond)
		queued.cancel <- struct{}{}
		<-queued.ended
		s.cancel <- struct{}{}
		<-s.ended
		b.Assert(s.done.Code, qt.Equals, verdict.CodeCanceled)
		b.Assert(s.done.Bill.Output, qt.Equals, budget.Tokens(4))
		b.Assert(s.done.Bill.Amount, qt.Equals, budget.Tokens(24)) // the prompt's bound: the engine told no usage
		b.Assert(queued.done.Verdict, qt.Equals, verdict.NotRun)
		b.Assert(queued.done.Bill, qt.IsNil)

		shared := request(keyed)
		first := b.start(shared)
		time.Sleep(2 * time.Millisecond)
		second := b.attach(shared.Attempt, 0)
		first.cancel <- struct{}{}
		<-second.ended
		b.Assert(second.tokens, qt.Equals, 10)
		b.Assert(second.done.Code, qt.Equals, verdict.Code(""))
	})
}

// Guards against a drain that cuts off a request, admits new work, or ends before
// bills are durable.
func TestDrainCutsNothing(t *testing.T) {
	inBench(t, Options{Slots: 1}, func(b *bench) {
		reqs := []*wire.ExecRequest{request(), request()}
		streams := []*stubStream{b.start(reqs[0]), b.start(reqs[1])}
		streams[1].pause = time.Second // a slow router
		synctest.Wait()
		short, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		left, err := b.agent.Drain(short)
		b.Assert(err, qt.IsNotNil)
		b.Assert(left.Running, qt.HasLen, 2)
		drained := make(chan Outstanding, 1)
		go func() {
			left, _ := b.agent.Drain(context.Background())
			drained <- left
		}()
		b.Assert(b.run(request()).refusedFor(), qt.Equals, verdict.CodeDraining)
		for i, s := range streams {
			<-s.ended
			b.Assert(s.tokens, qt.Equals, 10)
			b.Assert(drained, qt.HasLen, 0)
			b.Assert(b.rpc.AckBills(&wire.AckBillsArgs{Attempts: []uuid.UUID{reqs[i].Attempt}}, nil), qt.IsNil)
		}
		b.Assert((<-drained).Empty(), qt.IsTrue)
	})
}

// Guards against a stream that the agent closes before its router has read it: a
// router with a slow caller would lose the rest of the answer.
func TestStreamStaysOpenUntilTheRouterHasTheEnd(t *testing.T) {
	inBench(t, Options{}, func(b *bench) {
		req, s := request(), newStream()
		s.keepOpen = true
		b.startStream(req, s)
		time.Sleep(time.Minute)
		left, _ := b.agent.left()
		b.Assert(left.Streams, qt.Equals, 1)
		b.Assert(b.resolve(req.Attempt, false).State, qt.Equals, wire.AttemptFinished)
		s.hangUp()
		<-s.ended
		b.Assert(s.done, qt.IsNotNil)
		time.Sleep(deliveredRetention + 2*sweepInterval)
		b.Assert(b.resolve(req.Attempt, false).State, qt.Equals, wire.AttemptForgotten)
	})
}

// Guards against a copy of a bill that survives its acknowledgement: a later
// attach would bill the request again.
func TestAcknowledgedBillHasNoCopies(t *testing.T) {
	inBench(t, Options{}, func(b *bench) {
		req := request(keyed)
		b.Assert(b.run(req).done.Bill, qt.IsNotNil)
		b.Assert(b.collect(wire.CollectArgs{}).Bills, qt.HasLen, 1)
		b.Assert(b.rpc.AckBills(&wire.AckBillsArgs{Attempts: []uuid.UUID{req.Attempt}}, nil), qt.IsNil)
		again := b.attach(req.Attempt, 0)
		<-again.ended
		b.Assert(again.tokens, qt.Equals, 10)
		b.Assert(again.done.Bill, qt.IsNil)
		b.Assert(b.resolve(req.Attempt, false).Done.Bill, qt.IsNil)
		b.Assert(b.collect(wire.CollectArgs{}).Bills, qt.HasLen, 0)
	})
}
