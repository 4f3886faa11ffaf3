package agent

import (
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"

	standin "github.com/monsoonworks/monsoonworks/devel/standin/engine"
	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// dialAgent returns an agent whose backend server is the handler, and a router's
// session to it over loopback.
func dialAgent(tb testing.TB, handler http.Handler) (*Agent, *wire.Session) {
	c := qt.New(tb)
	server := httptest.NewServer(handler)
	a := New(Options{
		Identity: budget.Incarnation{Name: "srv-1", Boot: agentBoot}, Targets: []string{"m"}, URL: server.URL,
		Metrics: metrics.NewRegistry(), Logger: slog.New(slog.DiscardHandler),
	})
	a.InitEpochs(nil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	secret := []byte("secret")
	accepted := make(chan *wire.Session, 1)
	go func() {
		conn, err := listener.Accept()
		c.Check(err, qt.IsNil)
		s, err := wire.Accept(conn, wire.Options{Hello: wire.Hello{Role: wire.RoleAgent, Name: "srv-1", Boot: agentBoot}, Secret: secret}, a.Services())
		c.Check(err, qt.IsNil)
		accepted <- s
	}()
	hello := wire.Hello{Role: wire.RoleRouter, Name: routerA.Name, Boot: routerA.Boot}
	session, err := wire.Dial(tb.Context(), listener.Addr().String(), wire.Options{Hello: hello, Secret: secret}, wire.Services{})
	c.Assert(err, qt.IsNil)
	tb.Cleanup(func() {
		session.Close()
		(<-accepted).Close()
		server.Close()
		_ = listener.Close()
	})
	return a, session
}

// receive reads a response to its end.
func receive(c *qt.C, stream *wire.RouterStream) (tokens int, done wire.Done) {
	for {
		f, err := stream.Next()
		if err != nil { // not c.Assert, because the benchmark counts allocations
			c.Fatal(err)
		}
		switch f.Type {
		case wire.FrameData:
			tokens += int(f.Tokens)
		case wire.FrameDone:
			c.Assert(f.Decode(&done), qt.IsNil)
			return tokens, done
		case wire.FrameRefused:
			var refused wire.Refused
			c.Assert(f.Decode(&refused), qt.IsNil)
			c.Fatalf("refused: %+v", refused)
		}
	}
}

// Guards against services that a router cannot call over a session.
func TestServicesOverSession(t *testing.T) {
	c := qt.New(t)
	e := standin.New(standin.Config{Models: []string{"m"}})
	_, session := dialAgent(t, e.Handler())
	req := request()
	body := []byte(`{"model":"m","messages":[{"role":"user","content":"[[len:5]]"}]}`)
	stream, err := session.Exec(t.Context(), req, body)
	c.Assert(err, qt.IsNil)
	tokens, done := receive(c, stream)
	stream.Close()
	c.Assert(tokens, qt.Equals, 5)
	c.Assert(done.Verdict, qt.Equals, verdict.Ran)
	stream, err = session.Attach(t.Context(), &wire.AttachRequest{Attempt: req.Attempt, Offset: 2})
	c.Assert(err, qt.IsNil)
	tokens, again := receive(c, stream)
	stream.Close()
	c.Assert(tokens, qt.Equals, 3)
	c.Assert(again.Bill, qt.DeepEquals, done.Bill)

	var probe wire.ProbeReply
	c.Assert(session.Call(t.Context(), "Agent.Probe", &wire.ProbeArgs{Target: "m"}, &probe), qt.IsNil)
	c.Assert(probe.Serves, qt.IsTrue)
	var resolved wire.ResolveReply
	c.Assert(session.Call(t.Context(), "Agent.Resolve", &wire.ResolveArgs{Attempt: req.Attempt}, &resolved), qt.IsNil)
	c.Assert(resolved.State, qt.Equals, wire.AttemptFinished)
	var collected wire.CollectReply
	c.Assert(session.Call(t.Context(), "Agent.Collect", &wire.CollectArgs{Account: testAccount}, &collected), qt.IsNil)
	c.Assert(collected.Bills, qt.HasLen, 1)
	c.Assert(collected.RouterBoots, qt.DeepEquals, []budget.BootID{routerA.Boot})
	c.Assert(session.Call(t.Context(), "Agent.AckBills", &wire.AckBillsArgs{Attempts: []uuid.UUID{req.Attempt}}, &wire.Empty{}), qt.IsNil)
	var commandReply wire.CommandReply
	c.Assert(session.Call(t.Context(), "Agent.Order", &wire.CommandArgs{FencingToken: 1, Kind: "set-role"}, &commandReply), qt.IsNil)
	c.Assert(commandReply.Done, qt.IsFalse)
}

// BenchmarkStreaming measures one token from an engine over HTTP through the
// agent to a router, with all three in this process.
func BenchmarkStreaming(b *testing.B) {
	c := qt.New(b)
	chunk := `{"id":"x","object":"chat.completion.chunk","created":5,"model":"m","choices":[{"index":0,"delta":{"content":" mango"},"finish_reason":null}],"token_ids":[41]}`
	_, session := dialAgent(b, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		var event []byte
		for i := range b.N {
			event = strconv.AppendInt(append(event[:0], "id: "...), int64(i+1), 10)
			event = append(append(append(event, "\ndata: "...), chunk...), "\n\n"...)
			_, _ = w.Write(event)
		}
		_, _ = w.Write([]byte("data: [DONE]\n\n"))
	}))
	req := request(func(r *wire.ExecRequest) { r.MaxCost = budget.Tokens(b.N) + r.MaxPromptCost })
	b.ReportAllocs()
	b.ResetTimer()
	stream, err := session.Exec(b.Context(), req, []byte(`{"model":"m"}`))
	c.Assert(err, qt.IsNil)
	tokens, _ := receive(c, stream)
	b.StopTimer()
	stream.Close()
	c.Assert(tokens, qt.Equals, b.N)
}
