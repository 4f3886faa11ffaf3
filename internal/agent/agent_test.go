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

// Guards against an engine that generates more than the reservation covers, and
// against a truncated response without a finish reason or a [DONE] event.
func TestTokenLimitIsEnforced(t *testing.T) {
	runFixture(t, Options{}, func(f *fixture) {
		f.engine.length = 500
		req := request(func(r *wire.ExecRequest) { r.MaxCost, r.MaxOutput = 28, 50 })
		s := f.run(req)
		f.Assert(s.tokens, qt.Equals, 8)
		chunks := s.events(f.C)
		f.Assert(chunks, qt.HasLen, 10)
		f.Assert(chunks[8].Get("choices.0.finish_reason").Str, qt.Equals, "length")
		f.Assert(s.frames[9], qt.Equals, "data: [DONE]\n\n")
		f.Assert(s.done.Verdict, qt.Equals, verdict.Ran)
		f.Assert(s.done.Code, qt.Equals, verdict.Code(""))
		f.Assert(s.done.Bill.Amount, qt.Equals, budget.Tokens(28))
		f.Assert(f.engine.canceled, qt.DeepEquals, []uuid.UUID{req.Attempt})
		f.Assert(f.agent.metrics.absorbedTokens.Count(), qt.Equals, int64(1))
	})
}

// Guards against a bill that differs from the usage that the engine reports
// within the limit.
func TestBillOfCompleteResponse(t *testing.T) {
	runFixture(t, Options{}, func(f *fixture) {
		s := f.run(request())
		f.Assert(s.tokens, qt.Equals, 10)
		f.Assert(s.done.Bill.Amount, qt.Equals, budget.Tokens(17))
		f.Assert(s.done.Bill.Prompt, qt.Equals, budget.Tokens(7))
		f.Assert(s.head.Status, qt.Equals, 200)
		s = f.run(request(func(r *wire.ExecRequest) { r.MaxPromptCost = 5 }))
		f.Assert(s.done.Bill.Amount, qt.Equals, budget.Tokens(15))
	})
}

// Guards against a non-streamed response that lacks content of its chunks, or
// its finish reason when the token limit truncates it.
func TestCompleteResponseIsAssembled(t *testing.T) {
	runFixture(t, Options{}, func(f *fixture) {
		f.engine.length = 3
		s := f.run(request(func(r *wire.ExecRequest) { r.Stream = false }))
		response := gjson.Parse(s.text())
		f.Assert(s.frames, qt.HasLen, 1)
		f.Assert(response.Get("object").Str, qt.Equals, "chat.completion")
		f.Assert(response.Get("choices.0.message").Raw, qt.JSONEquals, map[string]string{"role": "assistant", "content": "t0 t1 t2 "})
		f.Assert(response.Get("usage").Raw, qt.JSONEquals, map[string]int{"prompt_tokens": 7, "completion_tokens": 3, "total_tokens": 10})
		s = f.run(request(func(r *wire.ExecRequest) { r.Stream, r.MaxOutput = false, 2 }))
		response = gjson.Parse(s.text())
		f.Assert(response.Get("choices.0.finish_reason").Str, qt.Equals, "length")
		f.Assert(response.Get("choices.0.message.content").Str, qt.Equals, "t0 t1 ")
		f.Assert(s.done.Bill.Output, qt.Equals, budget.Tokens(2))
	})
}

// Guards against a truncated response without the usage that its caller
// requested, also if no token was forwarded.
func TestTruncatedStreamReportsUsage(t *testing.T) {
	runFixture(t, Options{}, func(f *fixture) {
		for _, limit := range []budget.Tokens{3, 0} {
			s := newStream()
			s.body = []byte(`{"stream_options":{"include_usage":true}}`)
			f.startStream(request(func(r *wire.ExecRequest) { r.MaxCost = r.MaxPromptCost + limit }), s)
			<-s.ended
			chunks := s.events(f.C)
			f.Assert(chunks, qt.HasLen, int(limit)+3)
			truncated, usage := chunks[limit], chunks[limit+1]
			f.Assert(truncated.Get("choices.0.finish_reason").Str, qt.Equals, "length")
			f.Assert(truncated.Get("choices.0.delta").Raw, qt.Equals, "{}")
			f.Assert(truncated.Get("token_ids.#").Int(), qt.Equals, int64(0))
			f.Assert(usage.Get("choices.#").Int(), qt.Equals, int64(0))
			f.Assert(usage.Get("usage.completion_tokens").Int(), qt.Equals, int64(limit))
			f.Assert(s.done.Bill.Amount, qt.Equals, 20+limit)
		}
	})
}

// Guards against a request that reaches the engine without its output token
// limit, and against a chunk whose line breaks corrupt the caller's stream.
func TestBodiesAndChunksAreRewritten(t *testing.T) {
	runFixture(t, Options{}, func(f *fixture) {
		req := request(func(r *wire.ExecRequest) { r.MaxOutput, r.Priority = 9, 2 })
		p, err := prepareBody(req, []byte(`{"stream":false,"max_tokens":70,"max_completion_tokens":80,"seed":1,"stream_options":{"x":1}}`))
		f.Assert(err, qt.IsNil)
		f.Assert(string(p.body), qt.JSONEquals, map[string]any{
			"stream": true, "max_completion_tokens": 9, "seed": 1, "priority": 2,
			"stream_options": map[string]any{"x": 1, "include_usage": true},
		})
		f.Assert(p.wantsUsage, qt.IsFalse)
		for _, bad := range []string{"", "null", "[1]", `{"stream_options":3}`} {
			_, err := prepareBody(req, []byte(bad))
			f.Assert(err, qt.IsNotNil, qt.Commentf(bad))
		}
		at, _, refused := f.agent.admit(req, nil, p)
		f.Assert(refused, qt.IsNil)
		r := &modelRun{agent: f.agent, at: at}
		f.Assert(r.sendEvent(1, "{\r\n\"a\":\n1}"), qt.IsNil)
		f.Assert(string(at.response.attach(0).read(0).frames[0].data), qt.Equals, "data: {\"a\":1}\n\n")
	})
}

// Guards against a reader that gets the end of an attempt without its bill
// because the frames that it needs were dropped.
func TestReaderOfDroppedFramesGetsBill(t *testing.T) {
	runFixture(t, Options{}, func(f *fixture) {
		req := request(keyed)
		s := f.start(req)
		time.Sleep(5 * time.Millisecond)
		f.agent.mu.Lock()
		resp := f.agent.attempts[req.Attempt].response
		f.agent.mu.Unlock()
		resp.mu.Lock()
		f.Assert(resp.trimLocked(), qt.IsTrue)
		resp.mu.Unlock()
		late := f.attach(req.Attempt, 0)
		f.Assert(late.accepted, qt.IsNotNil)
		<-s.ended
		<-late.ended
		f.Assert(s.tokens, qt.Equals, 10)
		f.Assert(late.tokens, qt.Equals, 0)
		f.Assert(late.done.Code, qt.Equals, verdict.CodeAnswerNotKept)
		f.Assert(late.done.Bill, qt.DeepEquals, s.done.Bill)
	})
}

// Guards against mixing up tool calls and choices.
func TestAssemblerMergesToolCalls(t *testing.T) {
	c := qt.New(t)
	asm := newAssembler(true)
	for _, chunk := range []string{
		`{"id":"a","choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"id":"c1","function":{"name":"stock","arguments":"{\"a\""}}]}}]}`,
		`{"id":"a","choices":[{"index":1,"delta":{"content":"two"},"finish_reason":"stop"}]}`,
		`{"id":"a","choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"function":{"arguments":":1}"}}]},"finish_reason":"tool_calls"}]}`,
	} {
		c.Assert(asm.add(chunk), qt.IsNil)
	}
	encoded, err := asm.build(false, 1, 2)
	c.Assert(err, qt.IsNil)
	response := gjson.ParseBytes(encoded)
	c.Assert(response.Get("choices.0.message.tool_calls").Raw, qt.JSONEquals, []any{map[string]any{
		"id": "c1", "type": "function", "function": map[string]string{"name": "stock", "arguments": `{"a":1}`},
	}})
	c.Assert(response.Get("choices.#.finish_reason").Raw, qt.Equals, `["tool_calls","stop"]`)
	c.Assert(response.Get("choices.1.message.content").Str, qt.Equals, "two")
}

// Guards against a reader that misses or repeats frames when it attaches at an
// offset, during the attempt and after its end.
func TestAttachContinuesAtOffset(t *testing.T) {
	runFixture(t, Options{}, func(f *fixture) {
		req := request(keyed)
		original := f.start(req)
		time.Sleep(4*time.Millisecond + 500*time.Microsecond)
		during := f.attach(req.Attempt, 2)
		<-original.ended
		<-during.ended
		after := f.attach(req.Attempt, 9)
		<-after.ended
		f.Assert(during.frames, qt.DeepEquals, original.frames[2:])
		f.Assert(after.frames, qt.DeepEquals, original.frames[9:])
		f.Assert(after.head, qt.DeepEquals, original.head)
		f.Assert(after.done.Bill, qt.DeepEquals, original.done.Bill)
		f.Assert(f.engine.started, qt.HasLen, 1)
	})
}

// Guards against an attempt that runs after its router was told that it never
// will, and against reporting an attempt as unseen without a tombstone for it.
func TestTombstoneRefusesLateDispatch(t *testing.T) {
	runFixture(t, Options{}, func(f *fixture) {
		req := request()
		unknown := f.attach(req.Attempt, 0)
		<-unknown.ended
		f.Assert(unknown.refused, qt.IsNil)
		f.Assert(unknown.done.Verdict, qt.Equals, verdict.Unknown)
		f.Assert(f.resolve(req.Attempt, true).State, qt.Equals, wire.AttemptUnknown)
		s := f.run(req)
		f.Assert(s.refusalCode(), qt.Equals, verdict.CodeFenced)
		time.Sleep(2 * tombstoneRetention)
		s = f.run(req) // the tombstone has expired, the horizon covers the attempt
		f.Assert(s.refusalCode(), qt.Equals, verdict.CodeFenced)
		f.Assert(f.run(request()).refused, qt.IsNil)
		f.Assert(f.engine.started, qt.HasLen, 1)
	})
}

// Guards against work that starts for a router whose lots were settled, and
// against a running attempt that the holder does not see.
func TestFencedRouterIsRefused(t *testing.T) {
	runFixture(t, Options{}, func(f *fixture) {
		running := request(keyed)
		s := f.start(running)
		reply := f.collect(wire.CollectArgs{
			FenceRouter: &routerA, FenceBefore: budget.LotPosition{Epoch: 2}, MinClaimEpoch: 5, WithClaims: true,
		})
		f.Assert(reply.Running, qt.HasLen, 1)
		f.Assert(reply.Running[0].Attempt, qt.Equals, running.Attempt)
		f.Assert(reply.Claims, qt.HasLen, 1)
		f.Assert(f.run(request()).refusalCode(), qt.Equals, verdict.CodeFenced)
		other := func(r *wire.ExecRequest) { r.Router = routerB }
		f.Assert(f.run(request(other, keyed)).refusalCode(), qt.Equals, verdict.CodeFenced) // claim of epoch 4
		f.Assert(f.run(request(other)).refused, qt.IsNil)
		elsewhere := func(r *wire.ExecRequest) { r.Lot.Account.Shard++ }
		f.Assert(f.run(request(elsewhere)).refused, qt.IsNil)
		<-s.ended
		reply = f.collect(wire.CollectArgs{})
		f.Assert(reply.Running, qt.HasLen, 0)
		f.Assert(reply.Bills, qt.HasLen, 2)
		f.Assert(reply.RouterBoots, qt.HasLen, 2)
	})
}

// Guards against accepting a request that is meant for an earlier process of the
// agent, or one from a router that uses another router's name.
func TestWrongIncarnationIsRefused(t *testing.T) {
	runFixture(t, Options{}, func(f *fixture) {
		old := f.run(request(func(r *wire.ExecRequest) { r.AgentBoot = uuid.New() }))
		f.Assert(old.refusalCode(), qt.Equals, verdict.CodeFenced)
		s := newStream()
		s.disconnect()
		f.Assert(f.agent.checkRequest(wire.Hello{Name: "router-a", Boot: uuid.New()}, request()), qt.IsNotNil)
		f.Assert(f.engine.started, qt.HasLen, 0)
	})
}

// Guards against a second run of an attempt, and against a not-run reply for an
// attempt that ran.
func TestRepeatedAttemptIsNotRunAgain(t *testing.T) {
	runFixture(t, Options{}, func(f *fixture) {
		req := request()
		f.run(req)
		again := f.run(req)
		f.Assert(again.refused, qt.IsNil)
		f.Assert(again.accepted, qt.IsNil)
		f.Assert(f.engine.started, qt.HasLen, 1)
		f.Assert(f.resolve(req.Attempt, true).State, qt.Equals, wire.AttemptFinished)
	})
}

// Guards against false verdicts after a crash of the server, and against
// several reports of one crash.
func TestVerdictsAfterCrash(t *testing.T) {
	runFixture(t, Options{Slots: 3}, func(f *fixture) {
		f.engine.length = 50
		f.engine.fail(nil, engine.ErrServerLost, 3)
		fingerprint := func(n uint64) func(*wire.ExecRequest) {
			return func(r *wire.ExecRequest) { r.Fingerprint = n }
		}
		partial := f.start(request(fingerprint(1)))
		unstreamed := f.start(request(fingerprint(2), func(r *wire.ExecRequest) { r.Stream = false }))
		time.Sleep(2*time.Millisecond + 500*time.Microsecond)
		late := f.start(request(fingerprint(3)))
		queued := f.start(request(fingerprint(4)))
		synctest.Wait()
		f.engine.fail(errors.New("connection refused"), engine.ErrServerLost, 3)
		for _, s := range []*stubStream{partial, unstreamed, late, queued} {
			<-s.ended
		}
		f.Assert(f.reports, qt.HasLen, 1)
		f.Assert(f.reports[0].CrashID, qt.Equals, crashID("srv-1", agentBoot, 1))
		f.Assert(f.reports[0].Fingerprints, qt.ContentEquals, []uint64{1, 2, 3})
		for s, want := range map[*stubStream]verdict.Verdict{
			partial: verdict.Ran, unstreamed: verdict.Ran, late: verdict.Unknown, queued: verdict.NotRun,
		} {
			f.Assert(s.done.Verdict, qt.Equals, want)
			f.Assert(s.done.Code, qt.Equals, verdict.CodeServerLost)
			f.Assert(s.done.Crashed, qt.Equals, s != queued)
		}
		f.Assert(partial.done.Bill.Amount, qt.Equals, budget.Tokens(3))
		f.Assert(unstreamed.done.Bill, qt.IsNil) // nothing of the response was sent
		f.Assert(f.run(request()).refusalCode(), qt.Equals, verdict.CodeNoServer)
		f.engine.fail(nil, nil, 0)
		time.Sleep(2 * healthInterval)
		f.Assert(f.run(request()).refused, qt.IsNil)
	})
}

// Guards against a lost stream of a healthy engine that is reported as a crash.
func TestLostStreamOfHealthyEngineIsNoCrash(t *testing.T) {
	runFixture(t, Options{}, func(f *fixture) {
		f.engine.fail(nil, engine.ErrStreamLost, 0)
		s := f.run(request())
		f.Assert(s.done.Verdict, qt.Equals, verdict.Unknown)
		f.Assert(s.done.Crashed, qt.IsFalse)
		f.Assert(s.done.Bill, qt.IsNil)
		f.Assert(f.reports, qt.HasLen, 0)
		f.engine.fail(nil, engine.ErrNotSent, 0)
		f.Assert(f.run(request()).done.Verdict, qt.Equals, verdict.NotRun)
	})
}

// Guards against a not-run verdict for an error status that an engine may also
// return after it began to run the request.
func TestStatusVerdicts(t *testing.T) {
	c := qt.New(t)
	for status, want := range map[int]verdict.Verdict{
		400: verdict.NotRun, 404: verdict.NotRun, 413: verdict.NotRun, 429: verdict.NotRun, 503: verdict.NotRun,
		302: verdict.Unknown, 409: verdict.Unknown, 500: verdict.Unknown, 502: verdict.Unknown, 504: verdict.Unknown,
	} {
		c.Assert(statusErrorDone(&engine.StatusError{Status: status}).Verdict, qt.Equals, want, qt.Commentf("%d", status))
	}
}

// Guards against work without a reader after a router crashed, and against
// stopping an attempt that must reach its end or whose reader reattaches in
// time.
func TestRouterDisconnects(t *testing.T) {
	runFixture(t, Options{}, func(f *fixture) {
		f.engine.length = 10000
		big := func(r *wire.ExecRequest) { r.MaxCost = 20000 }
		stopped, detached, reattached, nonIdempotent := request(big), request(big, keyed), request(big), request(big)
		nonIdempotent.Idempotent = false
		for _, req := range []*wire.ExecRequest{stopped, detached, reattached, nonIdempotent} {
			s := f.start(req)
			time.Sleep(time.Millisecond)
			s.disconnect()
		}
		time.Sleep(2 * time.Second)
		again := f.attach(reattached.Attempt, 0)
		f.agent.mu.Lock()
		at := f.agent.attempts[reattached.Attempt]
		f.agent.mu.Unlock()
		f.agent.stopIfNoReader(at) // the timer fires just as the reader attaches
		time.Sleep(3 * time.Second)
		f.Assert(f.resolve(stopped.Attempt, false).Done.Code, qt.Equals, verdict.CodeCanceled)
		f.Assert(f.engine.canceled, qt.DeepEquals, []uuid.UUID{stopped.Attempt})
		<-again.ended
		f.Assert(again.tokens, qt.Equals, 10000)
		time.Sleep(10 * time.Second)
		for _, req := range []*wire.ExecRequest{detached, reattached, nonIdempotent} {
			f.Assert(f.resolve(req.Attempt, false).Done.Code, qt.Equals, verdict.Code(""))
		}
	})
}

// Guards against a canceled request that continues, is not billed, or is
// stopped while another caller waits for the same response.
func TestCancelBillsGeneratedTokens(t *testing.T) {
	runFixture(t, Options{Slots: 1}, func(f *fixture) {
		s := f.start(request())
		queued := f.start(request())
		time.Sleep(4*time.Millisecond + 500*time.Microsecond)
		queued.cancel <- struct{}{}
		<-queued.ended
		s.cancel <- struct{}{}
		<-s.ended
		f.Assert(s.done.Code, qt.Equals, verdict.CodeCanceled)
		f.Assert(s.done.Bill.Output, qt.Equals, budget.Tokens(4))
		f.Assert(s.done.Bill.Amount, qt.Equals, budget.Tokens(24)) // includes the whole prompt reservation, because the engine reported no usage
		f.Assert(queued.done.Verdict, qt.Equals, verdict.NotRun)
		f.Assert(queued.done.Bill, qt.IsNil)

		shared := request(keyed)
		first := f.start(shared)
		time.Sleep(2 * time.Millisecond)
		second := f.attach(shared.Attempt, 0)
		first.cancel <- struct{}{}
		<-second.ended
		f.Assert(second.tokens, qt.Equals, 10)
		f.Assert(second.done.Code, qt.Equals, verdict.Code(""))
	})
}

// Guards against a drain that cancels a request, admits new work, or ends
// before bills are durable.
func TestDrainWaitsForAttempts(t *testing.T) {
	runFixture(t, Options{Slots: 1}, func(f *fixture) {
		reqs := []*wire.ExecRequest{request(), request()}
		streams := []*stubStream{f.start(reqs[0]), f.start(reqs[1])}
		streams[1].frameDelay = time.Second // slow router
		synctest.Wait()
		short, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		outstanding, err := f.agent.Drain(short)
		f.Assert(err, qt.IsNotNil)
		f.Assert(outstanding.Running, qt.HasLen, 2)
		drained := make(chan Outstanding, 1)
		go func() {
			outstanding, _ := f.agent.Drain(context.Background())
			drained <- outstanding
		}()
		f.Assert(f.run(request()).refusalCode(), qt.Equals, verdict.CodeDraining)
		for i, s := range streams {
			<-s.ended
			f.Assert(s.tokens, qt.Equals, 10)
			f.Assert(drained, qt.HasLen, 0)
			f.Assert(f.rpc.AckBills(&wire.AckBillsArgs{Attempts: []uuid.UUID{reqs[i].Attempt}}, nil), qt.IsNil)
		}
		f.Assert((<-drained).Empty(), qt.IsTrue)
	})
}

// Guards against a stream that the agent closes before its router has read it:
// a router with a slow caller would lose the rest of the response.
func TestStreamStaysOpenUntilRouterCloses(t *testing.T) {
	runFixture(t, Options{}, func(f *fixture) {
		req, s := request(), newStream()
		s.keepOpen = true
		f.startStream(req, s)
		time.Sleep(time.Minute)
		outstanding, _ := f.agent.outstanding()
		f.Assert(outstanding.Streams, qt.Equals, 1)
		f.Assert(f.resolve(req.Attempt, false).State, qt.Equals, wire.AttemptFinished)
		s.disconnect()
		<-s.ended
		f.Assert(s.done, qt.IsNotNil)
		time.Sleep(deliveredRetention + 2*sweepInterval)
		f.Assert(f.resolve(req.Attempt, false).State, qt.Equals, wire.AttemptExpired)
	})
}

// Guards against a copy of a bill that outlives its acknowledgement: a later
// attach would bill the request again.
func TestAcknowledgedBillIsDeleted(t *testing.T) {
	runFixture(t, Options{}, func(f *fixture) {
		req := request(keyed)
		f.Assert(f.run(req).done.Bill, qt.IsNotNil)
		f.Assert(f.collect(wire.CollectArgs{}).Bills, qt.HasLen, 1)
		f.Assert(f.rpc.AckBills(&wire.AckBillsArgs{Attempts: []uuid.UUID{req.Attempt}}, nil), qt.IsNil)
		again := f.attach(req.Attempt, 0)
		<-again.ended
		f.Assert(again.tokens, qt.Equals, 10)
		f.Assert(again.done.Bill, qt.IsNil)
		f.Assert(f.resolve(req.Attempt, false).Done.Bill, qt.IsNil)
		f.Assert(f.collect(wire.CollectArgs{}).Bills, qt.HasLen, 0)
	})
}
