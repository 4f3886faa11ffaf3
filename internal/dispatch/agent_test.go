package dispatch

import (
	"context"
	"errors"
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
	chunkTokens  = 2
	promptTokens = 10
	chunkCount   = 5
)

// behavior is how a fake agent handles one attempt.
type behavior struct {
	refuse      verdict.Code   // refuse the attempt with this code, if not empty
	acceptDelay time.Duration  // delay before Accepted
	chunkDelay  time.Duration  // delay before each chunk
	beforeChunk map[int]func() // called before chunk n is produced
	crashBefore int            // crash the server before this chunk, if above 0
	mismatched  bool           // also send messages of another attempt
	malformed   bool           // send a data frame before the head
	overbill    bool           // bill more than was reserved
	dropRequest bool           // read the request and discard it
}

// agentAttempt is an attempt that a fake agent has accepted.
type agentAttempt struct {
	req    *wire.ExecRequest
	chunks int // chunks produced so far
	done   *wire.Done
	cancel context.CancelFunc
}

// fakeAgent implements the agent's side of the protocol with a scripted server.
type fakeAgent struct {
	cl          *cluster
	name        string
	mu          sync.Mutex
	changed     chan struct{} // closed and replaced at each change
	bootID      budget.BootID
	processCtx  context.Context
	kill        context.CancelFunc
	tombstones  map[uuid.UUID]bool
	attempts    map[uuid.UUID]*agentAttempt
	behaviorFor func(req *wire.ExecRequest) behavior
	crashes     uint64            // number of server crashes, from which crash IDs are made
	runs        map[uuid.UUID]int // by request
	cancels     int
}

func (a *fakeAgent) accept(conn net.Conn) {
	a.mu.Lock()
	bootID, ctx := a.bootID, a.processCtx
	a.mu.Unlock()
	server := rpc.NewServer()
	if err := server.RegisterName("Agent", &agentRPC{a, bootID}); err != nil {
		panic(err)
	}
	s, err := wire.Accept(conn, wire.Options{Hello: wire.Hello{Role: wire.RoleAgent, Name: a.name, Boot: bootID}}, wire.Services{
		RPC: func(wire.Hello) *rpc.Server { return server },
		Exec: func(_ context.Context, _ wire.Hello, s *wire.AgentStream, req *wire.ExecRequest) {
			a.exec(ctx, s, req)
		},
		Attach: func(_ context.Context, _ wire.Hello, s *wire.AgentStream, req *wire.AttachRequest) {
			a.attach(ctx, s, req)
		},
	})
	if err == nil {
		context.AfterFunc(ctx, s.Close)
	}
}

// restart replaces the agent's process, which loses its state.
func (a *fakeAgent) restart() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.kill != nil {
		a.kill()
	}
	a.processCtx, a.kill = context.WithCancel(context.Background())
	a.bootID = uuid.Must(uuid.NewV7())
	a.tombstones, a.attempts, a.changed = map[uuid.UUID]bool{}, map[uuid.UUID]*agentAttempt{}, make(chan struct{})
}

func (a *fakeAgent) exec(processCtx context.Context, s *wire.AgentStream, req *wire.ExecRequest) {
	if _, err := s.ReadBody(req.BodyBytes); err != nil {
		return
	}
	a.mu.Lock()
	b := behavior{}
	if a.behaviorFor != nil {
		b = a.behaviorFor(req)
	}
	if a.tombstones[req.Attempt] {
		b.refuse = verdict.CodeFenced
	}
	if b.refuse != "" || b.dropRequest {
		a.mu.Unlock()
		if b.refuse != "" {
			_ = s.Refuse(&wire.Refused{Attempt: req.Attempt, Code: b.refuse, RetryAfterMillis: 700})
		}
		return
	}
	ctx, cancel := context.WithCancel(processCtx)
	at := &agentAttempt{req: req, cancel: cancel}
	a.attempts[req.Attempt] = at
	a.runs[req.Request]++
	a.mu.Unlock()
	go a.produce(ctx, at, b)
	a.stream(processCtx, s, at, 0, b)
}

// produce simulates the server: it generates the chunks and the end of an
// attempt.
func (a *fakeAgent) produce(ctx context.Context, at *agentAttempt, b behavior) {
	done := &wire.Done{Attempt: at.req.Attempt, Verdict: verdict.Ran}
	for n := 1; n <= chunkCount && done.Code == ""; n++ {
		select {
		case <-ctx.Done():
			done.Code = verdict.CodeCanceled
			continue
		case <-time.After(b.chunkDelay):
		}
		if f := b.beforeChunk[n]; f != nil {
			f()
		}
		if b.crashBefore == n {
			a.mu.Lock()
			a.crashes++
			done.Crashed, done.Code, done.CrashID = true, verdict.CodeServerLost, wire.CrashID(a.name, a.bootID, a.crashes)
			a.mu.Unlock()
			a.cl.crashed(a.name)
			continue
		}
		a.update(func() { at.chunks++ })
	}
	req := at.req
	amount := budget.Tokens(promptTokens + chunkTokens*at.chunks)
	if at.chunks == 0 {
		amount = 0
	}
	if b.overbill {
		amount = req.MaxCost + 1
	}
	done.Bill = &budget.Bill{
		Lot: req.Lot, Slot: req.Slot, Budget: req.Budget, Request: req.Request,
		Attempt: req.Attempt, Amount: amount, Server: a.name,
	}
	a.update(func() { at.done = done })
}

func (a *fakeAgent) update(f func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f()
	close(a.changed)
	a.changed = make(chan struct{})
}

func chunkText(request uuid.UUID, n int) string { return fmt.Sprintf("%s/%d;", request, n) }

func fullResponse(request uuid.UUID) (text string) {
	for n := range chunkCount {
		text += chunkText(request, n)
	}
	return text
}

// stream sends the response from the chunk at offset on.
func (a *fakeAgent) stream(processCtx context.Context, s *wire.AgentStream, at *agentAttempt, offset int, b behavior) {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		if s.WaitCancel() {
			a.update(func() { a.cancels++ })
			at.cancel()
			s.WaitCancel()
		}
	}()
	time.Sleep(b.acceptDelay)
	other := uuid.Must(uuid.NewV7())
	if b.mismatched {
		_ = s.Accept(&wire.Accepted{Attempt: other})
		_ = s.Head(&wire.Head{Attempt: other, Status: 500})
		_ = s.Refuse(&wire.Refused{Attempt: other})
		_ = s.Finish(&wire.Done{Attempt: other})
	}
	if b.malformed {
		_ = s.Data(1, []byte("no head"))
	}
	_ = s.Accept(&wire.Accepted{Attempt: at.req.Attempt})
	for {
		a.mu.Lock()
		chunks, done, changed := at.chunks, at.done, a.changed
		a.mu.Unlock()
		if chunks > 0 && offset == 0 || done != nil && offset == 0 {
			_ = s.Head(&wire.Head{Attempt: at.req.Attempt, Status: 200})
		}
		for ; offset < chunks; offset++ {
			_ = s.Data(chunkTokens, []byte(chunkText(at.req.Request, offset)))
		}
		if done != nil {
			_ = s.Finish(done)
			return
		}
		select {
		case <-closed:
			return
		case <-processCtx.Done():
			return
		case <-changed:
		}
	}
}

func (a *fakeAgent) attach(processCtx context.Context, s *wire.AgentStream, req *wire.AttachRequest) {
	a.mu.Lock()
	at := a.attempts[req.Attempt]
	a.mu.Unlock()
	if at == nil {
		_ = s.Refuse(&wire.Refused{Attempt: req.Attempt, Code: verdict.CodeFenced})
		return
	}
	a.stream(processCtx, s, at, req.Offset, behavior{})
}

// errProcessEnded fails a call that reaches a process of the agent after its end.
var errProcessEnded = errors.New("the agent's process has ended")

// agentRPC is the RPC service of one process of a fake agent.
type agentRPC struct {
	a      *fakeAgent
	bootID budget.BootID
}

func (r *agentRPC) Resolve(args *wire.ResolveArgs, reply *wire.ResolveReply) error {
	a := r.a
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.bootID != r.bootID {
		return errProcessEnded
	}
	reply.Boot = r.bootID
	at := a.attempts[args.Attempt]
	switch {
	case at == nil:
		a.tombstones[args.Attempt] = a.tombstones[args.Attempt] || args.Tombstone
	case at.done == nil:
		reply.State = wire.AttemptRunning
	default:
		reply.State, reply.Done = wire.AttemptFinished, at.done
	}
	return nil
}

// recordingSink records a response. It can fail after some chunks, as if the
// caller had disconnected.
type recordingSink struct {
	heads, tokens int
	text          string
	failAfter     int // in chunks, 0 for never
	onClose       func()
}

func (s *recordingSink) Head(int, []wire.Header) error { s.heads++; return nil }

func (s *recordingSink) Data(tokens uint32, p []byte) error {
	s.tokens += int(tokens)
	s.text += string(p)
	if s.failAfter > 0 && s.tokens >= s.failAfter*chunkTokens {
		if s.onClose != nil {
			s.onClose()
		}
		return net.ErrClosed
	}
	return nil
}

// assertReservationsClosed checks that every reservation was closed exactly
// once.
func (cl *cluster) assertReservationsClosed(t testing.TB) {
	t.Helper()
	for _, d := range cl.routers {
		qt.Check(t, d.counters.reservationsOpened.Count(), qt.Equals, d.counters.reservationsClosed.Count())
		qt.Check(t, d.counters.reservationsClosedAgain.Count(), qt.Equals, int64(0))
		qt.Check(t, d.counters.reservationsLeaked.Count(), qt.Equals, int64(0))
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	qt.Check(t, cl.openReservations, qt.HasLen, 0)
	qt.Check(t, cl.violations, qt.HasLen, 0)
}
