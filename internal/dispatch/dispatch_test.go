package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
	"github.com/monsoonworks/monsoonworks/internal/wire"
	"github.com/monsoonworks/monsoonworks/internal/wire/wiretest"
)

const fullBill = budget.Tokens(promptTokens + chunkTokens*chunkCount)

// runCluster runs a test with a cluster in virtual time, and then checks that
// every reservation was closed exactly once.
func runCluster(t *testing.T, agents, routers int, f func(t *testing.T, cl *cluster)) {
	t.Helper()
	wiretest.RunInBubble(t, func(t *testing.T) {
		cl := newCluster(t, agents, routers)
		f(t, cl)
		cl.assertReservationsClosed(t)
	})
}

func always(b behavior) func(*wire.ExecRequest) behavior {
	return func(*wire.ExecRequest) behavior { return b }
}

func codeOf(out Outcome) verdict.Code {
	if out.Err == nil {
		return ""
	}
	return out.Err.Code
}

func assertComplete(t *testing.T, cl *cluster, call *Call, out Outcome, sink *recordingSink) {
	t.Helper()
	c := qt.New(t)
	c.Assert(codeOf(out), qt.Equals, verdict.Code(""))
	c.Assert(out.Verdict, qt.Equals, verdict.Ran)
	c.Assert(sink.text, qt.Equals, fullResponse(call.Request))
	c.Assert(sink.heads, qt.Equals, 1)
	bills := cl.billed(call.Request)
	c.Assert(bills, qt.HasLen, 1)
	c.Assert(bills[0].Amount, qt.Equals, fullBill)
	c.Assert(bills[0].Estimated, qt.IsFalse)
}

// Guards against an incomplete response, a second run or a second bill after
// the connection to the agent is closed or becomes unresponsive at any chunk of
// the response.
func TestReattachAfterLostConnection(t *testing.T) {
	for name, lose := range map[string]func(cl *cluster){
		"closed":       func(cl *cluster) { cl.network.Disconnect("s1") },
		"unresponsive": func(cl *cluster) { cl.network.Blackhole("s1") },
	} {
		t.Run(name, func(t *testing.T) {
			for chunk := 1; chunk <= chunkCount; chunk++ {
				runCluster(t, 1, 1, func(t *testing.T, cl *cluster) {
					cl.agents["s1"].behaviorFor = always(behavior{
						chunkDelay: 10 * time.Millisecond, beforeChunk: map[int]func(){chunk: func() { lose(cl) }},
					})
					call, sink := newCall(), &recordingSink{}
					out := cl.routers[0].Do(t.Context(), call, sink)
					assertComplete(t, cl, call, out, sink)
					qt.Assert(t, cl.runs(call.Request), qt.Equals, 1)
					qt.Assert(t, cl.routers[0].counters.reattached.Count(), qt.Equals, int64(1))
				})
			}
		})
	}
}

// Guards against an unknown verdict for a request that its agent never
// received: that agent adds a tombstone for it, and it runs elsewhere, even if it
// is not idempotent.
func TestUndeliveredRequestRunsElsewhere(t *testing.T) {
	runCluster(t, 2, 1, func(t *testing.T, cl *cluster) {
		cl.agents["s1"].behaviorFor = always(behavior{dropRequest: true})
		call, sink := newCall(), &recordingSink{}
		out := cl.routers[0].Do(t.Context(), call, sink)
		assertComplete(t, cl, call, out, sink)
		qt.Assert(t, cl.agents["s1"].tombstones[out.Attempts[0].ID], qt.IsTrue)
		qt.Assert(t, out.Attempts[0].Verdict, qt.Equals, verdict.NotRun)
		qt.Assert(t, out.Attempts[1].Billed, qt.Equals, fullBill)
	})
}

// Guards against false verdicts, second runs and second bills when an agent
// restarts with a request in progress.
func TestAgentRestart(t *testing.T) {
	for name, test := range map[string]struct {
		chunk            int
		idempotent, down bool
		verdict          verdict.Verdict
		runs             int
		bill             budget.Tokens
		complete         bool
	}{
		"nothing received":                     {chunk: 1, verdict: verdict.Unknown, runs: 1},
		"nothing received, idempotent":         {chunk: 1, idempotent: true, verdict: verdict.Ran, runs: 2, bill: fullBill, complete: true},
		"chunks received":                      {chunk: 3, verdict: verdict.Ran, runs: 1, bill: promptTokens + 2*chunkTokens},
		"chunks received, idempotent":          {chunk: 3, idempotent: true, verdict: verdict.Ran, runs: 1, bill: promptTokens + 2*chunkTokens},
		"agent stays down":                     {chunk: 1, down: true, verdict: verdict.Unknown, runs: 1},
		"agent stays down, idempotent":         {chunk: 1, idempotent: true, down: true, verdict: verdict.Unknown, runs: 1},
		"chunks received and agent stays down": {chunk: 2, down: true, verdict: verdict.Ran, runs: 1, bill: promptTokens + chunkTokens},
	} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, 2, 1, func(t *testing.T, cl *cluster) {
				c := qt.New(t)
				a := cl.agents["s1"]
				a.behaviorFor = always(behavior{chunkDelay: 10 * time.Millisecond, beforeChunk: map[int]func(){test.chunk: func() {
					if test.down {
						cl.network.Listen("s1", nil)
					}
					a.restart()
				}}})
				call, sink := newCall(), &recordingSink{}
				call.Idempotent = test.idempotent
				start := time.Now()
				out := cl.routers[0].Do(t.Context(), call, sink)
				c.Assert(out.Verdict, qt.Equals, test.verdict)
				c.Assert(out.Err == nil, qt.Equals, test.complete)
				c.Assert(cl.runs(call.Request), qt.Equals, test.runs)
				c.Assert(time.Since(start) < ReattachWindow+time.Second, qt.IsTrue)
				sum := budget.Tokens(0)
				for _, bill := range cl.billed(call.Request) {
					sum += bill.Amount
				}
				c.Assert(sum, qt.Equals, test.bill)
			})
		})
	}
}

// Guards against a not-run verdict for a request that its agent accepts after
// the caller's deadline.
func TestAcceptedAfterDeadline(t *testing.T) {
	runCluster(t, 1, 1, func(t *testing.T, cl *cluster) {
		cl.agents["s1"].behaviorFor = always(behavior{acceptDelay: 3 * time.Second, chunkDelay: time.Millisecond})
		call, sink := newCall(), &recordingSink{}
		call.Deadline = time.Now().Add(500 * time.Millisecond)
		out := cl.routers[0].Do(t.Context(), call, sink)
		qt.Assert(t, out.Verdict, qt.Equals, verdict.Ran)
		qt.Assert(t, codeOf(out), qt.Equals, verdict.CodeDeadlineExceeded)
		qt.Assert(t, cl.billed(call.Request), qt.HasLen, 1)
		qt.Assert(t, sink.text, qt.Equals, "")
	})
}

// Guards against refusals that reach the caller although another server could
// run the request, and against retries beyond the retry budget.
func TestRefusedRequestIsRetried(t *testing.T) {
	for name, test := range map[string]struct {
		code    verdict.Code
		retries int
		want    verdict.Code
	}{
		"overloaded":      {verdict.CodeOverloaded, 1, ""},
		"draining":        {verdict.CodeDraining, 1, ""},
		"no retries left": {verdict.CodeOverloaded, 0, verdict.CodeOverloaded},
		"not retryable":   {verdict.CodeTooLarge, 1, verdict.CodeTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, 2, 1, func(t *testing.T, cl *cluster) {
				cl.retriesLeft = test.retries
				cl.agents["s1"].behaviorFor = always(behavior{refuse: test.code})
				call, sink := newCall(), &recordingSink{}
				out := cl.routers[0].Do(t.Context(), call, sink)
				if test.want == "" {
					assertComplete(t, cl, call, out, sink)
					return
				}
				qt.Assert(t, out.Verdict, qt.Equals, verdict.NotRun)
				qt.Assert(t, out.Err.Code, qt.Equals, test.want)
				qt.Assert(t, out.Err.RetryAfter, qt.Equals, 700*time.Millisecond)
				qt.Assert(t, cl.runs(call.Request), qt.Equals, 0)
			})
		})
	}
}

// Guards against the use of messages of other attempts, of a data frame before
// the head, and of a bill above the reservation.
func TestMismatchedMessages(t *testing.T) {
	for name, b := range map[string]behavior{"mismatched": {mismatched: true}, "malformed": {malformed: true}, "overbill": {overbill: true}} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, 1, 1, func(t *testing.T, cl *cluster) {
				cl.agents["s1"].behaviorFor = always(b)
				call, sink := newCall(), &recordingSink{}
				out := cl.routers[0].Do(t.Context(), call, sink)
				qt.Assert(t, codeOf(out), qt.Equals, verdict.Code(""))
				qt.Assert(t, sink.text, qt.Equals, fullResponse(call.Request))
				counters := cl.routers[0].counters
				if b.mismatched {
					qt.Assert(t, counters.mismatchedMessages.Count(), qt.Equals, int64(4))
				}
				if b.overbill {
					qt.Assert(t, counters.mismatchedBills.Count(), qt.Equals, int64(1))
					qt.Assert(t, out.Bill.Amount, qt.Equals, call.MaxCost)
				}
			})
		})
	}
}

// Guards against callers that disconnect and keep their slot on the server or
// their reservation, and against waiting without limit for an unresponsive agent.
func TestCallerDisconnects(t *testing.T) {
	for name, test := range map[string]struct {
		sink         recordingSink
		leaveAfter   time.Duration
		unresponsive bool
	}{
		"context":                     {leaveAfter: 250 * time.Millisecond},
		"connection":                  {sink: recordingSink{failAfter: 2}},
		"context, agent unresponsive": {leaveAfter: 250 * time.Millisecond, unresponsive: true},
	} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, 1, 1, func(t *testing.T, cl *cluster) {
				c := qt.New(t)
				cl.agents["s1"].behaviorFor = always(behavior{chunkDelay: 100 * time.Millisecond})
				call, sink := newCall(), test.sink
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if test.leaveAfter > 0 {
					time.AfterFunc(test.leaveAfter, func() {
						if test.unresponsive {
							cl.network.Blackhole("s1")
							cl.network.Listen("s1", nil)
						}
						cancel()
					})
				}
				start := time.Now()
				out := cl.routers[0].Do(ctx, call, &sink)
				c.Assert(codeOf(out), qt.Equals, verdict.CodeCanceled)
				c.Assert(out.Verdict, qt.Equals, verdict.Ran)
				c.Assert(out.Bill.Amount, qt.Equals, budget.Tokens(promptTokens+2*chunkTokens))
				c.Assert(out.Bill.Estimated, qt.Equals, test.unresponsive)
				c.Assert(time.Since(start) < CancelTimeout+ReattachWindow+time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(start)))
				if !test.unresponsive {
					c.Assert(cl.agents["s1"].cancels, qt.Equals, 1)
				}
			})
		})
	}
}

// Guards against a bill of 0 for a service call that continues after its caller
// has disconnected.
func TestServiceCallOutlivesCaller(t *testing.T) {
	runCluster(t, 1, 1, func(t *testing.T, cl *cluster) {
		cl.agents["s1"].behaviorFor = always(behavior{chunkDelay: 3 * time.Second})
		call := newCall()
		call.Kind = wire.KindService
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		out := cl.routers[0].Do(ctx, call, &recordingSink{})
		qt.Assert(t, codeOf(out), qt.Equals, verdict.CodeCanceled)
		qt.Assert(t, out.Verdict, qt.Equals, verdict.Ran)
		qt.Assert(t, out.Bill.Amount, qt.Equals, fullBill)
		qt.Assert(t, cl.agents["s1"].cancels, qt.Equals, 0)
	})
}

// Guards against a second run or bill when a caller repeats a request with an
// idempotency key through another router: while it runs, after its end, and
// after the caller's first connection was lost.
func TestKeyedRetryReplays(t *testing.T) {
	runCluster(t, 2, 2, func(t *testing.T, cl *cluster) {
		cl.agents["s1"].behaviorFor = always(behavior{chunkDelay: 100 * time.Millisecond})
		first := newCall()
		first.Key, first.Kind = "order-17", wire.KindService
		ctx, cancel := context.WithCancel(t.Context())
		go func() { cl.routers[0].Do(ctx, first, &recordingSink{}) }()
		time.Sleep(250 * time.Millisecond)
		cancel() // the caller's first connection is lost
		for _, router := range []*Dispatcher{cl.routers[1], cl.routers[1], cl.routers[0]} {
			retry, sink := newCall(), &recordingSink{}
			retry.Key = first.Key
			out := router.Do(t.Context(), retry, sink)
			qt.Assert(t, codeOf(out), qt.Equals, verdict.Code(""))
			qt.Assert(t, sink.text, qt.Equals, fullResponse(first.Request))
			qt.Assert(t, cl.runs(retry.Request), qt.Equals, 0)
			synctest.Wait() // the first call settles its bill
			qt.Assert(t, out.Attempts[0].ID, qt.Equals, cl.bills[0].Attempt)
			qt.Assert(t, out.Attempts[0].Billed, qt.Equals, budget.Tokens(0))
		}
		qt.Assert(t, cl.runs(first.Request), qt.Equals, 1)
		qt.Assert(t, cl.billed(first.Request), qt.HasLen, 1)
		qt.Assert(t, cl.bills, qt.HasLen, 1)
		other := newCall()
		other.Key, other.RequestHash = first.Key, [32]byte{1}
		out := cl.routers[0].Do(t.Context(), other, &recordingSink{})
		qt.Assert(t, out.Verdict, qt.Equals, verdict.NotRun)
		qt.Assert(t, codeOf(out), qt.Equals, verdict.CodeKeyReused)
	})
}

// Guards against a key that stays bound to an attempt that never reached its
// agent, and against a verdict other than Unknown if the agent or the holder
// cannot tell whether an earlier attempt ran.
func TestUnresolvedKey(t *testing.T) {
	runCluster(t, 2, 1, func(t *testing.T, cl *cluster) {
		c := qt.New(t)
		claimed := func(key string) *Call {
			call := newCall()
			call.Key = key
			s := newCallState(t.Context(), cl.routers[0], call, &recordingSink{})
			defer s.close()
			choice, err := s.d.Chooser.Choose(t.Context(), s.query())
			c.Assert(err, qt.IsNil)
			existing, fail := s.claim(newAttempt(s, choice, nil))
			c.Assert(existing, qt.IsNil)
			c.Assert(fail == nil, qt.IsTrue)
			return call
		}
		call, sink := claimed("never sent"), &recordingSink{}
		assertComplete(t, cl, call, cl.routers[0].Do(t.Context(), call, sink), sink)

		call = claimed("restarted")
		cl.agents["s1"].restart()
		synctest.Wait() // the sessions of the old process are closed
		out := cl.routers[0].Do(t.Context(), call, &recordingSink{})
		c.Assert(codeOf(out), qt.Equals, verdict.CodeKeyUnresolved)
		c.Assert(out.Verdict, qt.Equals, verdict.Unknown)

		call = claimed("unreachable")
		cl.network.Listen("s1", nil)
		cl.network.Disconnect("s1")
		out = cl.routers[0].Do(t.Context(), call, &recordingSink{})
		c.Assert(codeOf(out), qt.Equals, verdict.CodeKeyUnresolved)

		cl.holderDown = true
		call = newCall()
		call.Key = "holder down"
		out = cl.routers[0].Do(t.Context(), call, &recordingSink{})
		c.Assert(codeOf(out), qt.Equals, verdict.CodeHomeUnreachable)
		c.Assert(out.Verdict, qt.Equals, verdict.Unknown)
		c.Assert(cl.runs(call.Request), qt.Equals, 0)
	})
}

// Guards against a request that crashes one server after another while its
// caller sends it again through several routers.
func TestCrashingRequest(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		runCluster(t, 8, 4, func(t *testing.T, cl *cluster) {
			for _, a := range cl.agents {
				a.behaviorFor = func(req *wire.ExecRequest) behavior {
					if req.Fingerprint == 13 {
						return behavior{crashBefore: 1, chunkDelay: 10 * time.Millisecond}
					}
					return behavior{}
				}
			}
			var last Outcome
			for n := range 12 {
				call := newCall()
				call.Fingerprint, call.Idempotent = 13, idempotent
				last = cl.routers[n%len(cl.routers)].Do(t.Context(), call, &recordingSink{})
				qt.Assert(t, last.Err != nil, qt.IsTrue)
				synctest.Wait()
			}
			qt.Assert(t, cl.crashCount <= 3, qt.IsTrue, qt.Commentf("%d crashes", cl.crashCount))
			qt.Assert(t, last.Verdict, qt.Equals, verdict.NotRun)
			qt.Assert(t, codeOf(last), qt.Equals, verdict.CodeCrashesServers)
			call, sink := newCall(), &recordingSink{}
			call.Fingerprint = 14
			assertComplete(t, cl, call, cl.routers[0].Do(t.Context(), call, sink), sink)
		})
	}
}

// Guards against allocations for each token in the router.
func TestDataDoesNotAllocate(t *testing.T) {
	s := newCallState(t.Context(), New(Options{}), newCall(), nullSink{})
	defer s.close()
	a := &attempt{state: s, head: &wire.Head{Status: 200}}
	f := wire.Frame{Type: wire.FrameData, Tokens: 1, Payload: []byte("a token")}
	qt.Assert(t, testing.AllocsPerRun(1000, func() { a.relayData(f) }), qt.Equals, 0.0)
}

type nullSink struct{}

func (nullSink) Head(int, []wire.Header) error { return nil }
func (nullSink) Data(uint32, []byte) error     { return nil }
