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

// runWithServer runs a test with an agent whose backend server is the handler.
// It must be called within synctest.Test.
func runWithServer(t *testing.T, kind wire.TargetKind, handler http.Handler, test func(f *fixture, network *pipenet.Listener)) {
	network := pipenet.Listen()
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(network) }()
	f := &fixture{C: qt.New(t)}
	f.agent = New(Options{
		Identity: budget.Incarnation{Name: "srv-1", Boot: agentBoot}, Kind: kind, Targets: []string{"m"}, Slots: 4,
		MaxQueue: 100, MaxWait: time.Hour, URL: "http://server", Dial: network.Dial,
		OnCrash: func(r wire.CrashReport) { f.reports = append(f.reports, r) },
		Metrics: metrics.NewRegistry(), Logger: slog.New(slog.DiscardHandler),
	})
	f.agent.InitEpochs(nil)
	f.rpc = &RPC{agent: f.agent}
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _ = f.agent.Run(ctx) }()
	synctest.Wait()
	test(f, network)
	cancel()
	_ = server.Close()
	network.CloseConns(true)
	time.Sleep(time.Hour) // virtual time; ends all timers and idle connections
}

func serviceRequest(method, path string, idempotent bool) *wire.ExecRequest {
	return request(func(r *wire.ExecRequest) {
		r.Kind, r.Method, r.Path, r.Idempotent, r.MaxCost, r.MaxPromptCost = wire.KindService, method, path, idempotent, 5, 0
	})
}

// Guards against verdicts of plain services that do not match what the service
// did, a second run of a non-idempotent call, and a bill for a call without a
// response.
func TestPlainServiceVerdicts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standinService := service.New(service.Config{})
		runWithServer(t, wire.KindService, standinService.Handler(), func(f *fixture, network *pipenet.Listener) {
			s := f.run(serviceRequest("POST", "/orders", false))
			f.Assert(s.head.Status, qt.Equals, http.StatusCreated)
			f.Assert(s.done.Verdict, qt.Equals, verdict.Ran)
			f.Assert(s.done.Bill.Amount, qt.Equals, budget.Tokens(5))

			standinService.SetDelays(0, time.Second)
			detached := serviceRequest("POST", "/orders", false)
			s = f.start(detached)
			s.cancel <- struct{}{} // the caller disconnects; the call continues
			<-s.ended
			f.Assert(s.done.Verdict, qt.Equals, verdict.Ran)

			s = f.start(serviceRequest("POST", "/orders", false))
			time.Sleep(time.Millisecond)
			network.CloseConns(true)
			<-s.ended
			f.Assert(s.done.Verdict, qt.Equals, verdict.Unknown)
			f.Assert(s.done.Bill, qt.IsNil)
			f.Assert(s.done.Crashed, qt.IsTrue)
			f.Assert(f.reports, qt.HasLen, 1)
			f.Assert(f.run(serviceRequest("GET", "/stock", true)).refusalCode(), qt.Equals, verdict.CodeNoServer)
			f.Assert(standinService.Executions(), qt.HasLen, 3)

			network.StopRefusing()
			standinService.SetDelays(time.Minute, 0)
			time.Sleep(2 * healthInterval)
			s = f.run(request(func(r *wire.ExecRequest) {
				*r = *serviceRequest("GET", "/stock", true)
				r.DeadlineMillis = 500
			}))
			f.Assert(s.done.Code, qt.Equals, verdict.CodeDeadlineExceeded)
			f.Assert(s.done.Verdict, qt.Equals, verdict.Unknown)
			f.Assert(standinService.Executions(), qt.HasLen, 3)
		})
	})
}

// Guards against a call of a plain service that ran and has no bill because its caller or its
// router went away: stopping the call would not undo it. A queued call is canceled, and a call
// without a reader does not occupy a slot forever.
func TestServiceCallWithoutReaderIsBilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standinService := service.New(service.Config{ResponseDelay: 2 * reattachTimeout})
		runWithServer(t, wire.KindService, standinService.Handler(), func(f *fixture, _ *pipenet.Listener) {
			canceled := f.start(serviceRequest("GET", "/stock", true))
			lost := serviceRequest("GET", "/stock", true)
			lostStream := f.start(lost)
			time.Sleep(time.Second)
			canceled.cancel <- struct{}{}
			lostStream.disconnect()
			<-canceled.ended
			f.Assert(canceled.done.Verdict, qt.Equals, verdict.Ran)
			f.Assert(canceled.done.Bill.Amount, qt.Equals, budget.Tokens(5))
			time.Sleep(time.Second)
			f.Assert(f.resolve(lost.Attempt, false).Done.Bill.Amount, qt.Equals, budget.Tokens(5))
			f.Assert(standinService.Executions(), qt.HasLen, 2)

			standinService.SetDelays(0, time.Hour)
			var silent []*wire.ExecRequest
			for range 4 {
				req := serviceRequest("GET", "/stock", true)
				s := f.start(req)
				time.Sleep(time.Millisecond)
				s.disconnect()
				silent = append(silent, req)
			}
			queued := f.start(serviceRequest("GET", "/stock", true))
			time.Sleep(time.Millisecond)
			queued.cancel <- struct{}{}
			<-queued.ended
			f.Assert(queued.done.Verdict, qt.Equals, verdict.NotRun)
			time.Sleep(serviceReaderTimeout + time.Second)
			for _, req := range silent {
				f.Assert(f.resolve(req.Attempt, false).Done.Verdict, qt.Equals, verdict.Unknown)
			}
		})
	})
}

// historyEntry is one request of a random history.
type historyEntry struct {
	req    *wire.ExecRequest
	prompt string
	stream *stubStream
}

// historyCount is the number of random histories; the seeds start at 0.
const historyCount = 30

// Guards against a verdict, a bill or a response that contradicts the engine's
// log, in random histories with cancels, disconnected routers, broken
// connections and crashes.
func TestRandomHistoriesMatchEngineLog(t *testing.T) {
	for seed := range uint64(historyCount) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 0))
			e := standin.New(standin.Config{
				Models: []string{"m"}, CrashAfterTokens: random.IntN(4), RestartTime: time.Duration(random.IntN(300)) * time.Millisecond,
			})
			runWithServer(t, wire.KindModel, e.Handler(), func(f *fixture, network *pipenet.Listener) {
				entries := randomHistory(f, random, network)
				checkHistory(f, entries, e.Requests(), seed)
			})
		})
	}
}

func randomHistory(f *fixture, random *rand.Rand, network *pipenet.Listener) []historyEntry {
	var entries []historyEntry
	for i := range 12 {
		entry := historyEntry{prompt: fmt.Sprintf("user\n[[echo:%d]][[len:%d]]", i, 1+random.IntN(40))}
		if random.IntN(10) == 0 {
			entry.prompt += standin.CrashMarker
		}
		entry.prompt += "\n"
		entry.req = request(func(r *wire.ExecRequest) {
			r.Budget = budget.MakeID(fmt.Sprint("shop", random.IntN(3)), "")
			r.MaxOutput = budget.Tokens(1 + random.IntN(50))
			r.MaxPromptCost = budget.Tokens(len(entry.prompt))
			r.MaxCost = r.MaxPromptCost + r.MaxOutput
			r.Stream, r.Idempotent = random.IntN(4) > 0, random.IntN(3) > 0
			r.Priority = int8(random.IntN(2))
		})
		content := strings.TrimSuffix(strings.TrimPrefix(entry.prompt, "user\n"), "\n")
		entry.stream = newStream()
		entry.stream.body = fmt.Appendf(nil, `{"model":"m","messages":[{"role":"user","content":%q}]}`, content)
		f.startStream(entry.req, entry.stream)
		entries = append(entries, entry)
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
		switch random.IntN(10) {
		case 0, 1:
			reattachStream(f, &entries[random.IntN(len(entries))])
		case 2:
			entries[random.IntN(len(entries))].stream.disconnect()
		case 3:
			network.CloseConns(false)
		case 4:
			select {
			case entries[random.IntN(len(entries))].stream.cancel <- struct{}{}:
			default:
			}
		}
	}
	time.Sleep(time.Minute)
	return entries
}

// reattachStream closes a router's stream and continues the response on another
// one.
func reattachStream(f *fixture, entry *historyEntry) {
	entry.stream.disconnect()
	<-entry.stream.ended
	if entry.stream.refused != nil || entry.stream.done != nil {
		return
	}
	next := newStream()
	next.frames, next.tokens = entry.stream.frames, entry.stream.tokens
	entry.stream = next
	f.attachStream(entry.req.Attempt, len(next.frames), next)
}

func checkHistory(f *fixture, entries []historyEntry, records []standin.RequestRecord, seed uint64) {
	byID := make(map[string]standin.RequestRecord)
	for _, record := range records {
		_, twice := byID[record.ID]
		f.Assert(twice, qt.IsFalse, qt.Commentf("seed %d: %s was submitted twice", seed, record.ID))
		byID[record.ID] = record
	}
	bills := make(map[string]budget.Bill)
	for _, bill := range f.collect(wire.CollectArgs{}).Bills {
		bills[bill.Attempt.String()] = bill
	}
	for i, entry := range entries {
		comment := qt.Commentf("seed %d, request %d, attempt %s", seed, i, entry.req.Attempt)
		record, submitted := byID[entry.req.Attempt.String()]
		done := entry.stream.done
		if done == nil { // the router disconnected or was refused
			done = f.resolve(entry.req.Attempt, false).Done
		}
		bill, billed := bills[entry.req.Attempt.String()]
		f.Assert(bill.Amount <= entry.req.MaxCost, qt.IsTrue, comment)
		f.Assert(int(bill.Output) <= record.Tokens, qt.IsTrue, comment)
		f.Assert(int(bill.Output) >= entry.stream.tokens, qt.IsTrue, comment)
		switch {
		case entry.stream.refused != nil || done.Verdict == verdict.NotRun:
			f.Assert(submitted, qt.IsFalse, comment)
			f.Assert(billed, qt.IsFalse, comment)
		case done.Verdict == verdict.Ran && done.Code == "":
			text, tokens := standin.ResponseText(entry.prompt, int(entry.req.MaxOutput))
			f.Assert(int(bill.Output), qt.Equals, tokens, comment)
			f.Assert(int(bill.Prompt), qt.Equals, record.PromptTokens, comment)
			if entry.stream.done != nil {
				f.Assert(entry.stream.responseText(f.C, entry.req.Stream), qt.Equals, text, comment)
			}
		case done.Verdict == verdict.Ran:
			f.Assert(record.Tokens > 0, qt.IsTrue, comment)
		}
	}
}

// responseText returns the text that a caller receives.
func (s *stubStream) responseText(c *qt.C, stream bool) string {
	if !stream {
		return gjson.Get(s.text(), "choices.0.message.content").Str
	}
	c.Assert(s.frames[len(s.frames)-1], qt.Equals, "data: [DONE]\n\n")
	var text strings.Builder
	for _, chunk := range s.events(c) {
		text.WriteString(chunk.Get("choices.0.delta.content").Str)
	}
	return text.String()
}

// Guards against a ran verdict for a request that the engine refused, and
// against treating one bad request as a server that does not respond.
func TestEngineRefusalsAreNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := standin.New(standin.Config{KVBlocks: 4})
		runWithServer(t, wire.KindModel, e.Handler(), func(f *fixture, _ *pipenet.Listener) {
			for model, want := range map[string]verdict.Code{"unloaded": verdict.CodeNotFound, "standin": verdict.CodeBadRequest} {
				s := newStream()
				s.body = fmt.Appendf(nil, `{"model":%q,"messages":[{"role":"user","content":"[[len:500]]"}]}`, model)
				f.startStream(request(func(r *wire.ExecRequest) { r.MaxOutput, r.MaxCost = 500, 1000 }), s)
				<-s.ended
				f.Assert(s.done.Code, qt.Equals, want)
				f.Assert(s.done.Verdict, qt.Equals, verdict.NotRun)
				f.Assert(s.done.Bill, qt.IsNil)
			}
			s := f.run(request(func(r *wire.ExecRequest) { r.Path = "/admin" }))
			f.Assert(s.refusalCode(), qt.Equals, verdict.CodeBadRequest)
			f.Assert(e.Requests(), qt.HasLen, 0)
		})
	})
}
