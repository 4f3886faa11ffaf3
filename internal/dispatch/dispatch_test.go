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

const wholeBill = budget.Tokens(promptBill + partTokens*partsToSend)

// bubble runs a test with a world in virtual time and checks at its end that
// every reservation was ended once.
func bubble(t *testing.T, agents, routers int, f func(t *testing.T, w *world)) {
	t.Helper()
	wiretest.Bubble(t, func(t *testing.T) {
		w := newWorld(t, agents, routers)
		f(t, w)
		w.assertEnded(t)
	})
}

func script(b behavior) func(*wire.ExecRequest) behavior {
	return func(*wire.ExecRequest) behavior { return b }
}

func codeOf(out Outcome) verdict.Code {
	if out.Err == nil {
		return ""
	}
	return out.Err.Code
}

func assertWhole(t *testing.T, w *world, call *Call, out Outcome, sink *caller) {
	t.Helper()
	c := qt.New(t)
	c.Assert(codeOf(out), qt.Equals, verdict.Code(""))
	c.Assert(out.Verdict, qt.Equals, verdict.Ran)
	c.Assert(sink.text, qt.Equals, wholeAnswer(call.Request))
	c.Assert(sink.heads, qt.Equals, 1)
	bills := w.billed(call.Request)
	c.Assert(bills, qt.HasLen, 1)
	c.Assert(bills[0].Amount, qt.Equals, wholeBill)
	c.Assert(bills[0].Estimated, qt.IsFalse)
}

// Guards against a broken answer, a second run or a second bill after a
// connection was lost at any point of the answer, by a cut or by silence.
func TestLostConnectionContinues(t *testing.T) {
	for name, lose := range map[string]func(w *world){
		"cut":    func(w *world) { w.network.Cut("s1") },
		"silent": func(w *world) { w.network.Freeze("s1") },
	} {
		t.Run(name, func(t *testing.T) {
			for part := 1; part <= partsToSend; part++ {
				bubble(t, 1, 1, func(t *testing.T, w *world) {
					w.agents["s1"].script = script(behavior{
						pause: 10 * time.Millisecond, at: map[int]func(){part: func() { lose(w) }},
					})
					call, sink := newCall(), &caller{}
					out := w.routers[0].Do(t.Context(), call, sink)
					assertWhole(t, w, call, out, sink)
					qt.Assert(t, w.runs(call.Request), qt.Equals, 1)
					qt.Assert(t, w.routers[0].counters.reattached.Count(), qt.Equals, int64(1))
				})
			}
		})
	}
}

// Guards against an unknown verdict for a request that its agent never got: it is
// fenced off there and runs elsewhere, even if it is not idempotent.
func TestLostRequestIsFenced(t *testing.T) {
	bubble(t, 2, 1, func(t *testing.T, w *world) {
		w.agents["s1"].script = script(behavior{swallow: true})
		call, sink := newCall(), &caller{}
		out := w.routers[0].Do(t.Context(), call, sink)
		assertWhole(t, w, call, out, sink)
		qt.Assert(t, w.agents["s1"].fenced[out.Attempts[0].ID], qt.IsTrue)
		qt.Assert(t, out.Attempts[0].Verdict, qt.Equals, verdict.NotRun)
		qt.Assert(t, out.Attempts[1].Billed, qt.Equals, wholeBill)
	})
}

// Guards against false verdicts, second runs and second bills when an agent
// restarts with a request in progress.
func TestAgentRestarted(t *testing.T) {
	for name, test := range map[string]struct {
		part             int
		idempotent, gone bool
		verdict          verdict.Verdict
		runs             int
		bill             budget.Tokens
		whole            bool
	}{
		"nothing received":                   {part: 1, verdict: verdict.Unknown, runs: 1},
		"nothing received, idempotent":       {part: 1, idempotent: true, verdict: verdict.Ran, runs: 2, bill: wholeBill, whole: true},
		"part received":                      {part: 3, verdict: verdict.Ran, runs: 1, bill: promptBill + 2*partTokens},
		"part received, idempotent":          {part: 3, idempotent: true, verdict: verdict.Ran, runs: 1, bill: promptBill + 2*partTokens},
		"never comes back":                   {part: 1, gone: true, verdict: verdict.Unknown, runs: 1},
		"never comes back, idempotent":       {part: 1, idempotent: true, gone: true, verdict: verdict.Unknown, runs: 1},
		"part received and never comes back": {part: 2, gone: true, verdict: verdict.Ran, runs: 1, bill: promptBill + partTokens},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, 2, 1, func(t *testing.T, w *world) {
				c := qt.New(t)
				a := w.agents["s1"]
				a.script = script(behavior{pause: 10 * time.Millisecond, at: map[int]func(){test.part: func() {
					if test.gone {
						w.network.Listen("s1", nil)
					}
					a.restart()
				}}})
				call, sink := newCall(), &caller{}
				call.Idempotent = test.idempotent
				start := time.Now()
				out := w.routers[0].Do(t.Context(), call, sink)
				c.Assert(out.Verdict, qt.Equals, test.verdict)
				c.Assert(out.Err == nil, qt.Equals, test.whole)
				c.Assert(w.runs(call.Request), qt.Equals, test.runs)
				c.Assert(time.Since(start) < ReattachWindow+time.Second, qt.IsTrue)
				sum := budget.Tokens(0)
				for _, bill := range w.billed(call.Request) {
					sum += bill.Amount
				}
				c.Assert(sum, qt.Equals, test.bill)
			})
		})
	}
}

// Guards against a not-run verdict for a request whose agent accepts it after
// the caller's deadline.
func TestLateAccepted(t *testing.T) {
	bubble(t, 1, 1, func(t *testing.T, w *world) {
		w.agents["s1"].script = script(behavior{accept: 3 * time.Second, pause: time.Millisecond})
		call, sink := newCall(), &caller{}
		call.Deadline = time.Now().Add(500 * time.Millisecond)
		out := w.routers[0].Do(t.Context(), call, sink)
		qt.Assert(t, out.Verdict, qt.Equals, verdict.Ran)
		qt.Assert(t, codeOf(out), qt.Equals, verdict.CodeDeadlineExceeded)
		qt.Assert(t, w.billed(call.Request), qt.HasLen, 1)
		qt.Assert(t, sink.text, qt.Equals, "")
	})
}

// Guards against refusals that reach the caller while another server could run
// the request, and against retries beyond the retry budget.
func TestRefusedElsewhere(t *testing.T) {
	for name, test := range map[string]struct {
		code    verdict.Code
		retries int
		want    verdict.Code
	}{
		"overloaded":         {verdict.CodeOverloaded, 1, ""},
		"draining":           {verdict.CodeDraining, 1, ""},
		"no retries left":    {verdict.CodeOverloaded, 0, verdict.CodeOverloaded},
		"refused for itself": {verdict.CodeTooLarge, 1, verdict.CodeTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, 2, 1, func(t *testing.T, w *world) {
				w.retries = test.retries
				w.agents["s1"].script = script(behavior{refuse: test.code})
				call, sink := newCall(), &caller{}
				out := w.routers[0].Do(t.Context(), call, sink)
				if test.want == "" {
					assertWhole(t, w, call, out, sink)
					return
				}
				qt.Assert(t, out.Verdict, qt.Equals, verdict.NotRun)
				qt.Assert(t, out.Err.Code, qt.Equals, test.want)
				qt.Assert(t, out.Err.RetryAfter, qt.Equals, 700*time.Millisecond)
				qt.Assert(t, w.runs(call.Request), qt.Equals, 0)
			})
		})
	}
}

// Guards against messages and bills of other attempts, and against frames out of
// order.
func TestForeignMessages(t *testing.T) {
	for name, b := range map[string]behavior{"crossed": {crossed: true}, "malformed": {malform: true}, "overbill": {overbill: true}} {
		t.Run(name, func(t *testing.T) {
			bubble(t, 1, 1, func(t *testing.T, w *world) {
				w.agents["s1"].script = script(b)
				call, sink := newCall(), &caller{}
				out := w.routers[0].Do(t.Context(), call, sink)
				qt.Assert(t, codeOf(out), qt.Equals, verdict.Code(""))
				qt.Assert(t, sink.text, qt.Equals, wholeAnswer(call.Request))
				counters := w.routers[0].counters
				if b.crossed {
					qt.Assert(t, counters.crossed.Count(), qt.Equals, int64(4))
				}
				if b.overbill {
					qt.Assert(t, counters.badBills.Count(), qt.Equals, int64(1))
					qt.Assert(t, out.Bill.Amount, qt.Equals, call.Reserve)
				}
			})
		})
	}
}

// Guards against callers that are gone and keep their engine slot or their
// reservation, and against a wait without end for an agent that does not react.
func TestCallerGone(t *testing.T) {
	for name, test := range map[string]struct {
		sink  caller
		after time.Duration
		lose  bool
	}{
		"context":               {after: 250 * time.Millisecond},
		"connection":            {sink: caller{failAfter: 2}},
		"context, agent silent": {after: 250 * time.Millisecond, lose: true},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, 1, 1, func(t *testing.T, w *world) {
				c := qt.New(t)
				w.agents["s1"].script = script(behavior{pause: 100 * time.Millisecond})
				call, sink := newCall(), test.sink
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if test.after > 0 {
					time.AfterFunc(test.after, func() {
						if test.lose {
							w.network.Freeze("s1")
							w.network.Listen("s1", nil)
						}
						cancel()
					})
				}
				start := time.Now()
				out := w.routers[0].Do(ctx, call, &sink)
				c.Assert(codeOf(out), qt.Equals, verdict.CodeCanceled)
				c.Assert(out.Verdict, qt.Equals, verdict.Ran)
				c.Assert(out.Bill.Amount, qt.Equals, budget.Tokens(promptBill+2*partTokens))
				c.Assert(out.Bill.Estimated, qt.Equals, test.lose)
				c.Assert(time.Since(start) < CancelTimeout+ReattachWindow+time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(start)))
				if !test.lose {
					c.Assert(w.agents["s1"].cancels, qt.Equals, 1)
				}
			})
		})
	}
}

// Guards against a bill of 0 for an order that goes on after its caller is gone.
func TestServiceCallRunsOn(t *testing.T) {
	bubble(t, 1, 1, func(t *testing.T, w *world) {
		w.agents["s1"].script = script(behavior{pause: 3 * time.Second})
		call := newCall()
		call.Kind = wire.KindService
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		out := w.routers[0].Do(ctx, call, &caller{})
		qt.Assert(t, codeOf(out), qt.Equals, verdict.CodeCanceled)
		qt.Assert(t, out.Verdict, qt.Equals, verdict.Ran)
		qt.Assert(t, out.Bill.Amount, qt.Equals, wholeBill)
		qt.Assert(t, w.agents["s1"].cancels, qt.Equals, 0)
	})
}

// Guards against a second run or bill when a caller repeats a keyed request
// through another router, while it runs, afterwards, and after its first
// connection was lost.
func TestKeyedRetryReplays(t *testing.T) {
	bubble(t, 2, 2, func(t *testing.T, w *world) {
		w.agents["s1"].script = script(behavior{pause: 100 * time.Millisecond})
		first := newCall()
		first.Key, first.Kind = "order-17", wire.KindService
		ctx, cancel := context.WithCancel(t.Context())
		go func() { w.routers[0].Do(ctx, first, &caller{}) }()
		time.Sleep(250 * time.Millisecond)
		cancel() // the first connection is lost
		for _, router := range []*Dispatcher{w.routers[1], w.routers[1], w.routers[0]} {
			again, sink := newCall(), &caller{}
			again.Key = first.Key
			out := router.Do(t.Context(), again, sink)
			qt.Assert(t, codeOf(out), qt.Equals, verdict.Code(""))
			qt.Assert(t, sink.text, qt.Equals, wholeAnswer(first.Request))
			qt.Assert(t, w.runs(again.Request), qt.Equals, 0)
			synctest.Wait() // the first call settles its bill
			qt.Assert(t, out.Attempts[0].ID, qt.Equals, w.bills[0].Attempt)
			qt.Assert(t, out.Attempts[0].Billed, qt.Equals, budget.Tokens(0))
		}
		qt.Assert(t, w.runs(first.Request), qt.Equals, 1)
		qt.Assert(t, w.billed(first.Request), qt.HasLen, 1)
		qt.Assert(t, w.bills, qt.HasLen, 1)
		other := newCall()
		other.Key, other.RequestHash = first.Key, [32]byte{1}
		out := w.routers[0].Do(t.Context(), other, &caller{})
		qt.Assert(t, out.Verdict, qt.Equals, verdict.NotRun)
		qt.Assert(t, codeOf(out), qt.Equals, verdict.CodeKeyReused)
	})
}

// Guards against a key that stays bound to an attempt which never reached its
// agent, and against a guess where the truth cannot be known.
func TestKeyedUnresolved(t *testing.T) {
	bubble(t, 2, 1, func(t *testing.T, w *world) {
		c := qt.New(t)
		claimed := func(key string) *Call {
			call := newCall()
			call.Key = key
			r := newRun(t.Context(), w.routers[0], call, &caller{})
			defer r.close()
			choice, err := r.d.Chooser.Choose(t.Context(), r.query())
			c.Assert(err, qt.IsNil)
			earlier, fail := r.claim(newAttempt(r, choice, nil))
			c.Assert(earlier, qt.IsNil)
			c.Assert(fail == nil, qt.IsTrue)
			return call
		}
		call, sink := claimed("never sent"), &caller{}
		assertWhole(t, w, call, w.routers[0].Do(t.Context(), call, sink), sink)

		call = claimed("restarted")
		w.agents["s1"].restart()
		synctest.Wait() // the sessions of the old process are closed
		out := w.routers[0].Do(t.Context(), call, &caller{})
		c.Assert(codeOf(out), qt.Equals, verdict.CodeKeyUnresolved)
		c.Assert(out.Verdict, qt.Equals, verdict.Unknown)

		call = claimed("unreachable")
		w.network.Listen("s1", nil)
		w.network.Cut("s1")
		out = w.routers[0].Do(t.Context(), call, &caller{})
		c.Assert(codeOf(out), qt.Equals, verdict.CodeKeyUnresolved)

		w.noHome = true
		call = newCall()
		call.Key = "home gone"
		out = w.routers[0].Do(t.Context(), call, &caller{})
		c.Assert(codeOf(out), qt.Equals, verdict.CodeHomeUnreachable)
		c.Assert(out.Verdict, qt.Equals, verdict.Unknown)
		c.Assert(w.runs(call.Request), qt.Equals, 0)
	})
}

// Guards against a request that takes down server after server while its caller
// sends it again through several routers.
func TestCrashingRequest(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		bubble(t, 8, 4, func(t *testing.T, w *world) {
			for _, a := range w.agents {
				a.script = func(req *wire.ExecRequest) behavior {
					if req.Fingerprint == 13 {
						return behavior{crash: 1, pause: 10 * time.Millisecond}
					}
					return behavior{}
				}
			}
			var last Outcome
			for n := range 12 {
				call := newCall()
				call.Fingerprint, call.Idempotent = 13, idempotent
				last = w.routers[n%len(w.routers)].Do(t.Context(), call, &caller{})
				qt.Assert(t, last.Err != nil, qt.IsTrue)
				synctest.Wait()
			}
			qt.Assert(t, w.crashCount <= 3, qt.IsTrue, qt.Commentf("%d crashes", w.crashCount))
			qt.Assert(t, last.Verdict, qt.Equals, verdict.NotRun)
			qt.Assert(t, codeOf(last), qt.Equals, verdict.CodeCrashesServers)
			call, sink := newCall(), &caller{}
			call.Fingerprint = 14
			assertWhole(t, w, call, w.routers[0].Do(t.Context(), call, sink), sink)
		})
	}
}

// Guards against an allocation per token in the router.
func TestDataDoesNotAllocate(t *testing.T) {
	r := newRun(t.Context(), New(Options{}), newCall(), nullSink{})
	defer r.close()
	a := &attempt{r: r, head: &wire.Head{Status: 200}}
	f := wire.Frame{Type: wire.FrameData, Tokens: 1, Payload: []byte("a token")}
	qt.Assert(t, testing.AllocsPerRun(1000, func() { a.data(f) }), qt.Equals, 0.0)
}

type nullSink struct{}

func (nullSink) Head(int, []wire.Header) error { return nil }
func (nullSink) Data(uint32, []byte) error     { return nil }
