package agent

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"github.com/tidwall/gjson"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/engine"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

var (
	agentBoot   = uuid.New()
	testAccount = budget.Account{Shard: 3, Region: "doo-central"}
	routerA     = budget.Incarnation{Name: "router-a", Boot: uuid.New()}
	routerB     = budget.Incarnation{Name: "router-b", Boot: uuid.New()}
)

// stubEngine generates one token per millisecond up to its length.
type stubEngine struct {
	mu sync.Mutex
	// length is the number of tokens that it generates, regardless of the
	// request.
	length int
	// err, if set, ends a run after errAfter tokens.
	err          error
	errAfter     int
	healthErr    error
	bootID       string
	canceled     []uuid.UUID
	commands     []engine.Command
	started      []uuid.UUID
	commandDelay time.Duration
}

func (s *stubEngine) Run(ctx context.Context, req *engine.Request, onChunk func(*engine.Chunk) error) error {
	s.mu.Lock()
	s.started = append(s.started, req.ID)
	length, failure, after := s.length, s.err, s.errAfter
	s.mu.Unlock()
	for i := range length {
		if failure != nil && i == after {
			return failure
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-time.After(time.Millisecond):
		}
		if err := onChunk(&engine.Chunk{Tokens: 1, JSON: tokenChunk(i)}); err != nil {
			return err
		}
	}
	if failure != nil {
		return failure
	}
	last := &engine.Chunk{NoChoices: true, JSON: `{"choices":[]}`, Usage: &engine.Usage{Prompt: 7, Output: budget.Tokens(length)}}
	return onChunk(last)
}

func tokenChunk(i int) string {
	return fmt.Sprintf(`{"id":"x","model":"m","created":5,"choices":[{"index":0,"delta":{"content":"t%d "},"finish_reason":null}],"token_ids":[%d]}`, i, i)
}

func (s *stubEngine) Cancel(_ context.Context, id uuid.UUID) (*engine.Usage, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.canceled = append(s.canceled, id)
	return nil, nil
}

func (s *stubEngine) Health(context.Context) (engine.Health, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return engine.Health{Boot: s.bootID}, s.healthErr
}

// fail makes health checks and runs fail from now on.
func (s *stubEngine) fail(health, run error, after int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.healthErr, s.err, s.errAfter = health, run, after
}

func (s *stubEngine) SendCommand(_ context.Context, command engine.Command) error {
	time.Sleep(s.commandDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commands = append(s.commands, command)
	return nil
}

func (s *stubEngine) WatchCache(ctx context.Context, _ time.Duration, _ engine.CacheSink) {
	<-ctx.Done()
}

// stubStream is an in-memory stream to a router.
type stubStream struct {
	body   []byte
	cancel chan struct{}
	closed chan struct{}
	ended  chan struct{} // closed when the handler has returned
	once   sync.Once
	// frameDelay delays each message, like a slow router.
	frameDelay time.Duration
	// keepOpen leaves the stream open after its end is received.
	keepOpen bool

	mu       sync.Mutex
	refused  *wire.Refused
	accepted *wire.Accepted
	head     *wire.Head
	frames   []string
	tokens   int
	done     *wire.Done
}

func newStream() *stubStream {
	return &stubStream{
		body:   []byte(`{"model":"m","messages":[]}`),
		cancel: make(chan struct{}, 1), closed: make(chan struct{}), ended: make(chan struct{}),
	}
}

// disconnect closes the stream as a lost session does.
func (s *stubStream) disconnect() { s.once.Do(func() { close(s.closed) }) }

var errDisconnected = errors.New("stream closed")

func (s *stubStream) ReadBody(int) ([]byte, error) { return s.body, nil }

func (s *stubStream) WaitCancel() bool {
	select {
	case <-s.cancel:
		return true
	case <-s.closed:
		return false
	}
}

func (s *stubStream) record(f func()) error {
	select {
	case <-s.closed:
		return errDisconnected
	case <-time.After(s.frameDelay):
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	return nil
}

func (s *stubStream) Refuse(m *wire.Refused) error  { return s.record(func() { s.refused = m }) }
func (s *stubStream) Accept(m *wire.Accepted) error { return s.record(func() { s.accepted = m }) }
func (s *stubStream) Head(m *wire.Head) error       { return s.record(func() { s.head = m }) }

func (s *stubStream) Finish(m *wire.Done) error {
	err := s.record(func() { s.done = m })
	if !s.keepOpen {
		s.disconnect()
	}
	return err
}

func (s *stubStream) Data(n uint32, p []byte) error {
	return s.record(func() {
		s.tokens += int(n)
		s.frames = append(s.frames, string(p))
	})
}

// refusalCode returns the code of the refusal, empty if there was none.
func (s *stubStream) refusalCode() verdict.Code {
	if s.refused == nil {
		return ""
	}
	return s.refused.Code
}

func (s *stubStream) text() string { return strings.Join(s.frames, "") }

// events returns the JSON of the server-sent events.
func (s *stubStream) events(c *qt.C) []gjson.Result {
	var out []gjson.Result
	for _, frame := range s.frames {
		data, found := strings.CutPrefix(strings.TrimSuffix(frame, "\n\n"), "data: ")
		c.Assert(found, qt.IsTrue)
		out = append(out, gjson.Parse(data))
	}
	return out
}

// fixture is the agent under test. Its engine is nil in runWithServer.
type fixture struct {
	*qt.C
	agent   *Agent
	rpc     *RPC
	engine  *stubEngine
	reports []wire.CrashReport
}

// runFixture runs a test with a fixture in virtual time.
func runFixture(t *testing.T, opts Options, test func(f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{C: qt.New(t), engine: &stubEngine{length: 10, bootID: "1"}}
		opts.Identity = budget.Incarnation{Name: "srv-1", Boot: agentBoot}
		opts.Targets = []string{"m"}
		opts.Metrics = metrics.NewRegistry()
		opts.Logger = slog.New(slog.DiscardHandler)
		opts.OnCrash = func(r wire.CrashReport) { f.reports = append(f.reports, r) }
		f.agent = newAgent(opts.withDefaults(), f.engine, nil)
		f.agent.InitEpochs(nil)
		f.rpc = &RPC{agent: f.agent}
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = f.agent.Run(ctx) }()
		synctest.Wait()
		test(f)
		cancel()
		time.Sleep(time.Hour) // virtual time; ends the timers of the last attempts
	})
}

// newAttemptID returns a UUIDv7 of the virtual time. uuid.NewV7 never goes back
// in time, but the clock of each test does.
func newAttemptID() uuid.UUID {
	id := uuid.New()
	var millis [8]byte
	binary.BigEndian.PutUint64(millis[:], uint64(time.Now().UnixMilli()))
	copy(id[:6], millis[2:])
	id[6] = 0x70 | id[6]&0x0f
	return id
}

// request returns a streamed request of router A with a reservation of 100
// tokens.
func request(change ...func(*wire.ExecRequest)) *wire.ExecRequest {
	req := &wire.ExecRequest{
		Request: uuid.New(), Attempt: newAttemptID(), Router: routerA, AgentBoot: agentBoot,
		Budget: "shop/main", Lot: budget.LotID{Account: testAccount, Epoch: 1, Num: 1}, Slot: 1,
		MaxCost: 100, MaxPromptCost: 20, Kind: wire.KindModel, Target: "m", Method: "POST", Path: chatPath,
		Stream: true, Idempotent: true,
	}
	for _, f := range change {
		f(req)
	}
	return req
}

func keyed(req *wire.ExecRequest) { req.Claim = &wire.Claim{Account: testAccount, Epoch: 4} }

// start runs a request in the background and returns when it is queued or
// running.
func (f *fixture) start(req *wire.ExecRequest) *stubStream {
	s := newStream()
	f.startStream(req, s)
	return s
}

func (f *fixture) startStream(req *wire.ExecRequest, s *stubStream) {
	go func() {
		defer close(s.ended)
		defer s.disconnect()
		peer := wire.Hello{Role: wire.RoleRouter, Name: req.Router.Name, Boot: req.Router.Boot}
		f.agent.exec(context.Background(), peer, s, req)
	}()
	synctest.Wait()
}

// run runs a request to its end.
func (f *fixture) run(req *wire.ExecRequest) *stubStream {
	s := f.start(req)
	<-s.ended
	return s
}

// attach attaches to an attempt in the background.
func (f *fixture) attach(attempt uuid.UUID, offset int) *stubStream {
	s := newStream()
	f.attachStream(attempt, offset, s)
	return s
}

func (f *fixture) attachStream(attempt uuid.UUID, offset int, s *stubStream) {
	go func() {
		defer close(s.ended)
		defer s.disconnect()
		f.agent.attach(context.Background(), s, &wire.AttachRequest{Attempt: attempt, Offset: offset})
	}()
	synctest.Wait()
}

func (f *fixture) collect(args wire.CollectArgs) wire.CollectReply {
	var reply wire.CollectReply
	args.Account = testAccount
	f.Assert(f.rpc.Collect(&args, &reply), qt.IsNil)
	return reply
}

func (f *fixture) resolve(attempt uuid.UUID, addTombstone bool) wire.ResolveReply {
	var reply wire.ResolveReply
	f.Assert(f.rpc.Resolve(&wire.ResolveArgs{Attempt: attempt, Tombstone: addTombstone}, &reply), qt.IsNil)
	return reply
}

// historySize returns the size of the kept responses and the number of
// attempts.
func (f *fixture) historySize() (bytes, records int) {
	f.agent.mu.Lock()
	defer f.agent.mu.Unlock()
	return f.agent.history.keptBytes, len(f.agent.attempts)
}

// setBoot sets the boot ID that health checks return.
func (s *stubEngine) setBoot(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bootID = id
}
