package dispatch

import (
	"context"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

const (
	partTokens  = 2
	promptBill  = 10
	partsToSend = 5
)

// behavior is what a fake agent does with one attempt.
type behavior struct {
	refuse   verdict.Code
	accept   time.Duration  // wait before Accepted
	pause    time.Duration  // wait before each part
	at       map[int]func() // called before part n is produced
	crash    int            // crash the server before this part, if above 0
	crossed  bool           // send messages of another attempt as well
	malform  bool           // send a frame that is out of order
	overbill bool           // bill more than was reserved
	swallow  bool           // read the request and lose it
}

// ran is an attempt in a fake agent's memory.
type ran struct {
	req    *wire.ExecRequest
	parts  int
	done   *wire.Done
	cancel context.CancelFunc
}

// fakeAgent follows the agent's side of the protocol with a scripted server.
type fakeAgent struct {
	w       *world
	name    string
	mu      sync.Mutex
	cond    chan struct{} // closed and replaced at each change
	boot    budget.BootID
	life    context.Context
	die     context.CancelFunc
	fenced  map[uuid.UUID]bool
	memory  map[uuid.UUID]*ran
	script  func(req *wire.ExecRequest) behavior
	crashes uint64
	started map[uuid.UUID]int // runs by request
	cancels int
}

func (a *fakeAgent) accept(conn net.Conn) {
	a.mu.Lock()
	boot, life := a.boot, a.life
	a.mu.Unlock()
	server := rpc.NewServer()
	if err := server.RegisterName("Agent", &agentRPC{a, boot}); err != nil {
		panic(err)
	}
	s, err := wire.Accept(conn, wire.Options{Hello: wire.Hello{Role: wire.RoleAgent, Name: a.name, Boot: boot}}, wire.Services{
		RPC: func(wire.Hello) *rpc.Server { return server },
		Exec: func(_ context.Context, _ wire.Hello, s *wire.AgentStream, req *wire.ExecRequest) {
			a.exec(life, s, req)
		},
		Attach: func(_ context.Context, _ wire.Hello, s *wire.AgentStream, req *wire.AttachRequest) {
			a.attach(life, s, req)
		},
	})
	if err == nil {
		context.AfterFunc(life, s.Close)
	}
}

// restart replaces the agent's process and forgets everything.
func (a *fakeAgent) restart() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.die != nil {
		a.die()
	}
	a.life, a.die = context.WithCancel(context.Background())
	a.boot = uuid.Must(uuid.NewV7())
	a.fenced, a.memory, a.cond = map[uuid.UUID]bool{}, map[uuid.UUID]*ran{}, make(chan struct{})
}

func (a *fakeAgent) exec(life context.Context, s *wire.AgentStream, req *wire.ExecRequest) {
	if _, err := s.ReadBody(req.BodyBytes); err != nil {
		return
	}
	a.mu.Lock()
	b := behavior{}
	if a.script != nil {
		b = a.script(req)
	}
	if a.fenced[req.Attempt] {
		b.refuse = verdict.CodeFenced
	}
	if b.refuse != "" || b.swallow {
		a.mu.Unlock()
		if b.refuse != "" {
			_ = s.Refuse(&wire.Refused{Attempt: req.Attempt, Code: b.refuse, RetryAfterMillis: 700})
		}
		return
	}
	ctx, cancel := context.WithCancel(life)
	m := &ran{req: req, cancel: cancel}
	a.memory[req.Attempt] = m
	a.started[req.Request]++
	a.mu.Unlock()
	go a.produce(ctx, m, b)
	a.follow(life, s, m, 0, b)
}

// produce is the server's part.
func (a *fakeAgent) produce(ctx context.Context, m *ran, b behavior) {
	done := &wire.Done{Attempt: m.req.Attempt, Verdict: verdict.Ran}
	for n := 1; n <= partsToSend && done.Code == ""; n++ {
		select {
		case <-ctx.Done():
			done.Code = verdict.CodeCanceled
			continue
		case <-time.After(b.pause):
		}
		if f := b.at[n]; f != nil {
			f()
		}
		if b.crash == n {
			a.mu.Lock()
			a.crashes++
			done.Crashed, done.Code, done.CrashID = true, verdict.CodeServerLost, wire.CrashID(a.name, a.boot, a.crashes)
			a.mu.Unlock()
			a.w.crashed(a.name)
			continue
		}
		a.change(func() { m.parts++ })
	}
	hold := m.req
	amount := budget.Tokens(promptBill + partTokens*m.parts)
	if m.parts == 0 {
		amount = 0
	}
	if b.overbill {
		amount = hold.MaxCost + 1
	}
	done.Bill = &budget.Bill{
		Lot: hold.Lot, Slot: hold.Slot, Budget: hold.Budget, Request: hold.Request,
		Attempt: hold.Attempt, Amount: amount, Server: a.name,
	}
	a.change(func() { m.done = done })
}

func (a *fakeAgent) change(f func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f()
	close(a.cond)
	a.cond = make(chan struct{})
}

func partOf(request uuid.UUID, n int) string { return fmt.Sprintf("%s/%d;", request, n) }

func wholeAnswer(request uuid.UUID) (text string) {
	for n := range partsToSend {
		text += partOf(request, n)
	}
	return text
}

// follow sends the answer from an offset on.
func (a *fakeAgent) follow(life context.Context, s *wire.AgentStream, m *ran, offset int, b behavior) {
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		if s.WaitCancel() {
			a.change(func() { a.cancels++ })
			m.cancel()
			s.WaitCancel()
		}
	}()
	time.Sleep(b.accept)
	other := uuid.Must(uuid.NewV7())
	if b.crossed {
		_ = s.Accept(&wire.Accepted{Attempt: other})
		_ = s.Head(&wire.Head{Attempt: other, Status: 500})
		_ = s.Refuse(&wire.Refused{Attempt: other})
		_ = s.Finish(&wire.Done{Attempt: other})
	}
	if b.malform {
		_ = s.Data(1, []byte("no head"))
	}
	_ = s.Accept(&wire.Accepted{Attempt: m.req.Attempt})
	for {
		a.mu.Lock()
		parts, done, cond := m.parts, m.done, a.cond
		a.mu.Unlock()
		if parts > 0 && offset == 0 || done != nil && offset == 0 {
			_ = s.Head(&wire.Head{Attempt: m.req.Attempt, Status: 200})
		}
		for ; offset < parts; offset++ {
			_ = s.Data(partTokens, []byte(partOf(m.req.Request, offset)))
		}
		if done != nil {
			_ = s.Finish(done)
			return
		}
		select {
		case <-gone:
			return
		case <-life.Done():
			return
		case <-cond:
		}
	}
}

func (a *fakeAgent) attach(life context.Context, s *wire.AgentStream, req *wire.AttachRequest) {
	a.mu.Lock()
	m := a.memory[req.Attempt]
	a.mu.Unlock()
	if m == nil {
		_ = s.Refuse(&wire.Refused{Attempt: req.Attempt, Code: verdict.CodeFenced})
		return
	}
	a.follow(life, s, m, req.Offset, behavior{})
}

// agentRPC is the RPC service of one boot of a fake agent.
type agentRPC struct {
	a    *fakeAgent
	boot budget.BootID
}

func (r *agentRPC) Resolve(args *wire.ResolveArgs, reply *wire.ResolveReply) error {
	a := r.a
	a.mu.Lock()
	defer a.mu.Unlock()
	reply.Boot = r.boot
	m := a.memory[args.Attempt]
	switch {
	case m == nil:
		a.fenced[args.Attempt] = a.fenced[args.Attempt] || args.Fence
	case m.done == nil:
		reply.State = wire.AttemptRunning
	default:
		reply.State, reply.Done = wire.AttemptFinished, m.done
	}
	return nil
}

// caller is a sink that can lose its connection after some parts.
type caller struct {
	heads, tokens int
	text          string
	failAfter     int
	closed        func()
}

func (s *caller) Head(int, []wire.Header) error { s.heads++; return nil }

func (s *caller) Data(tokens uint32, p []byte) error {
	s.tokens += int(tokens)
	s.text += string(p)
	if s.failAfter > 0 && s.tokens >= s.failAfter*partTokens {
		if s.closed != nil {
			s.closed()
		}
		return net.ErrClosed
	}
	return nil
}

// assertEnded checks that every reservation was ended exactly once.
func (w *world) assertEnded(t testing.TB) {
	t.Helper()
	for _, d := range w.routers {
		qt.Check(t, d.counters.slotsOpened.Count(), qt.Equals, d.counters.slotsEnded.Count())
		qt.Check(t, d.counters.slotsRepeated.Count(), qt.Equals, int64(0))
		qt.Check(t, d.counters.slotsLeaked.Count(), qt.Equals, int64(0))
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	qt.Check(t, w.openHolds, qt.HasLen, 0)
	qt.Check(t, w.faults, qt.HasLen, 0)
}
