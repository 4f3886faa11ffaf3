package agent

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"
	"github.com/tidwall/gjson"

	standin "github.com/monsoonworks/monsoonworks/devel/standin/engine"
	"github.com/monsoonworks/monsoonworks/devel/standin/pipenet"
	"github.com/monsoonworks/monsoonworks/devel/standin/service"
	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// besideHandler runs a test with an agent beside an HTTP server in virtual time.
func besideHandler(t *testing.T, kind wire.Kind, handler http.Handler, test func(b *bench, network *pipenet.Listener)) {
	network := pipenet.Listen()
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(network) }()
	b := &bench{C: qt.New(t)}
	b.agent = New(Options{
		Identity: budget.Incarnation{Name: "srv-1", Boot: agentBoot}, Kind: kind, Targets: []string{"m"}, Slots: 4,
		MaxQueue: 100, MaxWait: time.Hour, URL: "http://server", Dial: network.Dial,
		OnCrash: func(r wire.SuspectReport) { b.reports = append(b.reports, r) },
		Metrics: metrics.NewRegistry(), Logger: slog.New(slog.DiscardHandler),
	})
	b.agent.InitEpochs(nil)
	b.rpc = &RPC{agent: b.agent}
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _ = b.agent.Run(ctx) }()
	synctest.Wait()
	test(b, network)
	cancel()
	_ = server.Close()
	network.Cut(true)
	time.Sleep(time.Hour) // virtual; ends all timers and idle connections
}

func serviceRequest(method, path string, idempotent bool) *wire.ExecRequest {
	return request(func(r *wire.ExecRequest) {
		r.Kind, r.Method, r.Path, r.Idempotent, r.Reserve, r.PromptBound = wire.KindService, method, path, idempotent, 5, 0
	})
}

// Guards against verdicts of plain services that do not match what the service
// did, a second run of an order, and a bill for a call without an answer.
func TestPlainServiceVerdicts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ledger := service.New(service.Config{})
		besideHandler(t, wire.KindService, ledger.Handler(), func(b *bench, network *pipenet.Listener) {
			s := b.run(serviceRequest("POST", "/orders", false))
			b.Assert(s.head.Status, qt.Equals, http.StatusCreated)
			b.Assert(s.done.Verdict, qt.Equals, verdict.Ran)
			b.Assert(s.done.Bill.Amount, qt.Equals, budget.Tokens(5))

			ledger.SetLatency(0, time.Second)
			left := serviceRequest("POST", "/orders", false)
			s = b.start(left)
			s.cancel <- struct{}{} // the caller leaves; the order goes on
			<-s.ended
			b.Assert(s.done.Verdict, qt.Equals, verdict.Ran)

			s = b.start(serviceRequest("POST", "/orders", false))
			time.Sleep(time.Millisecond)
			network.Cut(true)
			<-s.ended
			b.Assert(s.done.Verdict, qt.Equals, verdict.Unknown)
			b.Assert(s.done.Bill, qt.IsNil)
			b.Assert(s.done.Crashed, qt.IsTrue)
			b.Assert(b.reports, qt.HasLen, 1)
			b.Assert(b.run(serviceRequest("GET", "/stock", true)).refusedFor(), qt.Equals, verdict.CodeNoServer)
			b.Assert(ledger.Runs(), qt.HasLen, 3)

			network.Reopen()
			ledger.SetLatency(time.Minute, 0)
			time.Sleep(2 * healthInterval)
			s = b.run(request(func(r *wire.ExecRequest) {
				*r = *serviceRequest("GET", "/stock", true)
				r.DeadlineMillis = 500
			}))
			b.Assert(s.done.Code, qt.Equals, verdict.CodeDeadlineExceeded)
			b.Assert(s.done.Verdict, qt.Equals, verdict.Unknown)
			b.Assert(ledger.Runs(), qt.HasLen, 3)
		})
	})
}

// outcome is one request of a random history with its prompt.
type outcome struct {
	req    *wire.ExecRequest
	prompt string
	stream *stubStream
}

// histories is the number of random histories, with the seeds from 0.
const histories = 30

// Guards against histories, with cancels, lost routers, broken connections and
// crashes, in which a verdict, a bill or an answer contradicts what the engine
// logged.
func TestRandomHistoriesAgreeWithTheEngine(t *testing.T) {
	for seed := range uint64(histories) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 0))
			e := standin.New(standin.Config{
				Models: []string{"m"}, CrashAfterTokens: random.IntN(4), RestartTime: time.Duration(random.IntN(300)) * time.Millisecond,
			})
			besideHandler(t, wire.KindModel, e.Handler(), func(b *bench, network *pipenet.Listener) {
				outcomes := randomHistory(b, random, network)
				checkHistory(b, outcomes, e.Runs(), seed)
			})
		})
	}
}

func randomHistory(b *bench, random *rand.Rand, network *pipenet.Listener) []outcome {
	var outcomes []outcome
	for i := range 12 {
		o := outcome{prompt: fmt.Sprintf("user\n[[echo:%d]][[len:%d]]", i, 1+random.IntN(40))}
		if random.IntN(10) == 0 {
			o.prompt += standin.CrashMarker
		}
		o.prompt += "\n"
		o.req = request(func(r *wire.ExecRequest) {
			r.Budget = budget.MakeID(fmt.Sprint("shop", random.IntN(3)), "")
			r.MaxOutput = budget.Tokens(1 + random.IntN(50))
			r.PromptBound = budget.Tokens(len(o.prompt))
			r.Reserve = r.PromptBound + r.MaxOutput
			r.Stream, r.Idempotent = random.IntN(4) > 0, random.IntN(3) > 0
			r.Priority = int8(random.IntN(2))
		})
		content := strings.TrimSuffix(strings.TrimPrefix(o.prompt, "user\n"), "\n")
		o.stream = newStream()
		o.stream.body = fmt.Appendf(nil, `{"model":"m","messages":[{"role":"user","content":%q}]}`, content)
		b.startStream(o.req, o.stream)
		outcomes = append(outcomes, o)
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
		switch random.IntN(10) {
		case 0, 1:
			reattach(b, &outcomes[random.IntN(len(outcomes))])
		case 2:
			outcomes[random.IntN(len(outcomes))].stream.hangUp()
		case 3:
			network.Cut(false)
		case 4:
			select {
			case outcomes[random.IntN(len(outcomes))].stream.cancel <- struct{}{}:
			default:
			}
		}
	}
	time.Sleep(time.Minute)
	return outcomes
}

// reattach ends a router's stream, and continues the answer on another one.
func reattach(b *bench, o *outcome) {
	o.stream.hangUp()
	<-o.stream.ended
	if o.stream.refused != nil || o.stream.done != nil {
		return
	}
	next := newStream()
	next.parts, next.tokens = o.stream.parts, o.stream.tokens
	o.stream = next
	b.attachStream(o.req.Attempt, len(next.parts), next)
}

func checkHistory(b *bench, outcomes []outcome, runs []standin.Run, seed uint64) {
	byID := make(map[string]standin.Run)
	for _, run := range runs {
		_, twice := byID[run.ID]
		b.Assert(twice, qt.IsFalse, qt.Commentf("seed %d: %s was submitted twice", seed, run.ID))
		byID[run.ID] = run
	}
	bills := make(map[string]budget.Bill)
	for _, bill := range b.collect(wire.CollectArgs{}).Bills {
		bills[bill.Attempt.String()] = bill
	}
	for i, o := range outcomes {
		comment := qt.Commentf("seed %d, request %d, attempt %s", seed, i, o.req.Attempt)
		run, ran := byID[o.req.Attempt.String()]
		done := o.stream.done
		if done == nil { // the router left or was refused
			done = b.resolve(o.req.Attempt, false).Done
		}
		bill, billed := bills[o.req.Attempt.String()]
		b.Assert(bill.Amount <= o.req.Reserve, qt.IsTrue, comment)
		b.Assert(int(bill.Output) <= run.Tokens, qt.IsTrue, comment)
		b.Assert(int(bill.Output) >= o.stream.tokens, qt.IsTrue, comment)
		switch {
		case o.stream.refused != nil || done.Verdict == verdict.NotRun:
			b.Assert(ran, qt.IsFalse, comment)
			b.Assert(billed, qt.IsFalse, comment)
		case done.Verdict == verdict.Ran && done.Code == "":
			text, tokens := standin.Answer(o.prompt, int(o.req.MaxOutput))
			b.Assert(int(bill.Output), qt.Equals, tokens, comment)
			b.Assert(int(bill.Prompt), qt.Equals, run.PromptTokens, comment)
			if o.stream.done != nil {
				b.Assert(o.stream.answer(b.C, o.req.Stream), qt.Equals, text, comment)
			}
		case done.Verdict == verdict.Ran:
			b.Assert(run.Tokens > 0, qt.IsTrue, comment)
		}
	}
}

// answer returns the text that a caller reads.
func (s *stubStream) answer(c *qt.C, stream bool) string {
	if !stream {
		return gjson.Get(s.text(), "choices.0.message.content").Str
	}
	c.Assert(s.parts[len(s.parts)-1], qt.Equals, "data: [DONE]\n\n")
	var text strings.Builder
	for _, chunk := range s.chunks(c) {
		text.WriteString(chunk.Get("choices.0.delta.content").Str)
	}
	return text.String()
}

// Guards against a refusal of the engine that is told as a run, and against one
// bad request that is taken for a server that does not answer.
func TestEngineRefusalsAreNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := standin.New(standin.Config{KVBlocks: 4})
		besideHandler(t, wire.KindModel, e.Handler(), func(b *bench, _ *pipenet.Listener) {
			for model, want := range map[string]verdict.Code{"unloaded": verdict.CodeNotFound, "standin": verdict.CodeBadRequest} {
				s := newStream()
				s.body = fmt.Appendf(nil, `{"model":%q,"messages":[{"role":"user","content":"[[len:500]]"}]}`, model)
				b.startStream(request(func(r *wire.ExecRequest) { r.MaxOutput, r.Reserve = 500, 1000 }), s)
				<-s.ended
				b.Assert(s.done.Code, qt.Equals, want)
				b.Assert(s.done.Verdict, qt.Equals, verdict.NotRun)
				b.Assert(s.done.Bill, qt.IsNil)
			}
			s := b.run(request(func(r *wire.ExecRequest) { r.Path = "/admin" }))
			b.Assert(s.refusedFor(), qt.Equals, verdict.CodeBadRequest)
			b.Assert(e.Runs(), qt.HasLen, 0)
		})
	})
}
