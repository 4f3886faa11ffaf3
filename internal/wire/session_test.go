package wire

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"github.com/monsoonworks/monsoonworks/internal/wire/wiretest"
)

var testSecret = []byte("deployment secret")

func testHello(role Role, name string) Hello {
	return Hello{Role: role, Name: name, Region: "north", Domain: "north-a", Boot: uuid.Must(uuid.NewV7())}
}

type acceptResult struct {
	session *Session
	err     error
}

// connect establishes a session over an in-memory connection and returns both
// ends.
func connect(t *testing.T, router, agent Options, services Services) (*Session, acceptResult, *wiretest.Conn, error) {
	t.Helper()
	client, server := wiretest.Pipe()
	result := make(chan acceptResult, 1)
	go func() {
		s, err := Accept(server, agent, services)
		result <- acceptResult{s, err}
	}()
	s, err := Connect(t.Context(), client, router, Services{})
	other := <-result
	t.Cleanup(func() {
		for _, s := range []*Session{s, other.session} {
			if s != nil {
				s.Close()
			}
		}
	})
	return s, other, client, err
}

func mustConnect(t *testing.T, services Services) (*Session, *Session, *wiretest.Conn) {
	t.Helper()
	router := Options{Hello: testHello(RoleRouter, "r1"), Secret: testSecret}
	agent := Options{Hello: testHello(RoleAgent, "s1"), Secret: testSecret}
	s, other, conn, err := connect(t, router, agent, services)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, other.err, qt.IsNil)
	return s, other.session, conn
}

// Guards against a session with a peer of another deployment.
func TestHandshakeWrongSecret(t *testing.T) {
	wiretest.RunInBubble(t, func(t *testing.T) {
		c := qt.New(t)
		router := Options{Hello: testHello(RoleRouter, "r1"), Secret: []byte("another")}
		agent := Options{Hello: testHello(RoleAgent, "s1"), Secret: testSecret}
		_, other, _, err := connect(t, router, agent, Services{})
		c.Assert(err, qt.Not(qt.IsNil))
		c.Assert(other.err, qt.ErrorIs, ErrAuth)
	})
}

// Guards against a session between builds without a common protocol version, and
// against a huge hello of an unauthenticated peer.
func TestHandshakeBadHello(t *testing.T) {
	future, err := encMode.Marshal(Hello{MinVersion: MaxVersion + 1, MaxVersion: MaxVersion + 3, Nonce: make([]byte, nonceBytes)})
	qt.Assert(t, err, qt.IsNil)
	for name, test := range map[string]struct {
		payload []byte
		want    error
	}{
		"version":   {future, ErrVersion},
		"huge":      {make([]byte, maxHelloBytes+1), ErrMalformed},
		"malformed": {[]byte{0xff, 0x00}, ErrMalformed},
	} {
		t.Run(name, func(t *testing.T) {
			wiretest.RunInBubble(t, func(t *testing.T) {
				client, server := wiretest.Pipe()
				go func() {
					w := &frameWriter{w: client}
					_ = w.write(FrameHello, 0, 0, test.payload)
					_, _ = io.Copy(io.Discard, client)
					_ = client.Close()
				}()
				_, err := Accept(server, Options{Hello: testHello(RoleAgent, "s1"), Secret: testSecret}, Services{})
				qt.Assert(t, err, qt.ErrorIs, test.want)
			})
		})
	}
}

// Guards against a dial that waits for an unresponsive listener after its context
// has ended.
func TestHandshakeEndsWithContext(t *testing.T) {
	wiretest.RunInBubble(t, func(t *testing.T) {
		client, server := wiretest.Pipe()
		defer server.Close()
		client.Blackhole()
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		start := time.Now()
		_, err := Connect(ctx, client, Options{Hello: testHello(RoleRouter, "r1")}, Services{})
		qt.Assert(t, err, qt.Not(qt.IsNil))
		qt.Assert(t, time.Since(start) < time.Second, qt.IsTrue)
	})
}

// Guards against a session that stays open after its peer became unresponsive,
// also while new requests are sent steadily.
func TestUnresponsivePeerEndsSession(t *testing.T) {
	for _, steady := range []bool{false, true} {
		t.Run(fmt.Sprintf("steady=%v", steady), func(t *testing.T) {
			wiretest.RunInBubble(t, func(t *testing.T) {
				s, _, conn := mustConnect(t, Services{Exec: func(ctx context.Context, _ Hello, a *AgentStream, _ *ExecRequest) {
					<-ctx.Done()
				}})
				time.Sleep(time.Minute)
				conn.Blackhole()
				start := time.Now()
				closed := make(chan time.Duration, 1)
				context.AfterFunc(s.ctx, func() { closed <- time.Since(start) })
				for s.Err() == nil && time.Since(start) < 5*time.Second {
					stream, err := s.Exec(t.Context(), &ExecRequest{Attempt: uuid.Must(uuid.NewV7())}, nil)
					if err != nil {
						break
					}
					if steady {
						time.Sleep(300 * time.Millisecond)
						stream.Close()
						continue
					}
					_, err = stream.Next()
					qt.Assert(t, err, qt.Not(qt.IsNil))
				}
				qt.Assert(t, s.Err(), qt.ErrorIs, ErrHeartbeatTimeout)
				elapsed := <-closed
				qt.Assert(t, elapsed <= 3500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", elapsed))
			})
		})
	}
}

// Guards against closing a session that is idle but alive: one with an attempt
// without output for a minute, and an unused one on which KeepAlive is called.
func TestIdleSessionStaysOpen(t *testing.T) {
	wiretest.RunInBubble(t, func(t *testing.T) {
		s, _, _ := mustConnect(t, Services{Exec: func(_ context.Context, _ Hello, a *AgentStream, req *ExecRequest) {
			time.Sleep(time.Minute)
			_ = a.Finish(&Done{Attempt: req.Attempt})
		}})
		stream, err := s.Exec(t.Context(), &ExecRequest{Attempt: uuid.Must(uuid.NewV7())}, nil)
		qt.Assert(t, err, qt.IsNil)
		f, err := stream.Next()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, f.Type, qt.Equals, FrameDone)
		stream.Close()
		time.Sleep(IdleTimeout * 9 / 10)
		s.KeepAlive()
		time.Sleep(IdleTimeout * 9 / 10)
		qt.Assert(t, s.Err(), qt.IsNil)
		time.Sleep(IdleTimeout)
		qt.Assert(t, s.Err(), qt.Not(qt.IsNil))
	})
}

// Guards against malformed input that is not detected, or that affects other
// sessions than its own.
func TestMalformedFrameClosesOnlyItsSession(t *testing.T) {
	oversized := appendFrameHeader([]byte{streamExec}, FrameExec, 0, 0, MaxFrameBytes+1)
	badExec := append(appendFrameHeader([]byte{streamExec}, FrameExec, 1, 0, 1), 0xff)
	wrongTag := func() []byte {
		payload, _ := encMode.Marshal(ExecRequest{Attempt: uuid.Must(uuid.NewV7())})
		return append(appendFrameHeader([]byte{streamExec}, FrameExec, 1, 0, len(payload)), payload...)
	}()
	for name, input := range map[string][]byte{
		"stream kind": {99}, "oversized frame": oversized, "not CBOR": badExec, "wrong tag": wrongTag,
		"oversized call": {streamRPC, 0xff, 0xff, 0xff, 0xff}, "call not CBOR": {streamRPC, 0, 0, 0, 1, 0xff},
	} {
		t.Run(name, func(t *testing.T) {
			wiretest.RunInBubble(t, func(t *testing.T) {
				services := Services{
					RPC:  func(Hello) *rpc.Server { return rpc.NewServer() },
					Exec: func(context.Context, Hello, *AgentStream, *ExecRequest) {},
				}
				bad, badAgent, _ := mustConnect(t, services)
				good, _, _ := mustConnect(t, services)
				stream, err := bad.mux.OpenStream()
				qt.Assert(t, err, qt.IsNil)
				_, _ = stream.Write(input) // fails if the agent closes the session before it returns
				<-badAgent.Done()
				<-bad.Done()
				time.Sleep(time.Second)
				qt.Assert(t, good.Err(), qt.IsNil)
			})
		})
	}
}

// Guards against delivering frames of another attempt.
func TestMismatchedFramesAreDropped(t *testing.T) {
	wiretest.RunInBubble(t, func(t *testing.T) {
		s, _, _ := mustConnect(t, Services{Exec: func(_ context.Context, _ Hello, a *AgentStream, req *ExecRequest) {
			_ = a.writer.write(FrameData, a.tag+1, 1, []byte("other attempt"))
			_ = a.Data(1, []byte("own"))
		}})
		before := MismatchedFrames.Load()
		stream, err := s.Exec(t.Context(), &ExecRequest{Attempt: uuid.Must(uuid.NewV7())}, nil)
		qt.Assert(t, err, qt.IsNil)
		defer stream.Close()
		f, err := stream.Next()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(f.Payload), qt.Equals, "own")
		qt.Assert(t, MismatchedFrames.Load()-before, qt.Equals, int64(1))
		_, err = stream.Next()
		qt.Assert(t, err, qt.ErrorIs, io.ErrUnexpectedEOF)
	})
}

// Guards against requests and responses over the size limits.
func TestSizeLimits(t *testing.T) {
	wiretest.RunInBubble(t, func(t *testing.T) {
		var ran atomic.Int64
		s, _, _ := mustConnect(t, Services{Exec: func(_ context.Context, _ Hello, a *AgentStream, req *ExecRequest) {
			body, err := a.ReadBody(req.BodyBytes)
			if err == nil {
				ran.Add(int64(len(body)))
			}
			err = a.Data(0, make([]byte, MaxFrameBytes+1))
			_ = a.Data(0, fmt.Appendf(nil, "%v", err))
		}})
		_, err := s.Exec(t.Context(), &ExecRequest{Attempt: uuid.Must(uuid.NewV7())}, make([]byte, MaxBodyBytes+1))
		qt.Assert(t, err, qt.ErrorIs, ErrSendIncomplete)
		headers := []Header{{Name: "x", Value: string(make([]byte, MaxFrameBytes))}}
		_, err = s.Exec(t.Context(), &ExecRequest{Attempt: uuid.Must(uuid.NewV7()), Headers: headers}, nil)
		qt.Assert(t, err, qt.ErrorIs, ErrSendIncomplete)
		stream, err := s.Exec(t.Context(), &ExecRequest{Attempt: uuid.Must(uuid.NewV7())}, make([]byte, MaxBodyBytes))
		qt.Assert(t, err, qt.IsNil)
		defer stream.Close()
		f, err := stream.Next()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(f.Payload), qt.Equals, ErrFrameTooLarge.Error())
		qt.Assert(t, ran.Load(), qt.Equals, int64(MaxBodyBytes))
		qt.Assert(t, s.Err(), qt.IsNil)
	})
}

// Guards against a reader that stays blocked after its own side closed the stream,
// and against a session with an unresponsive peer that is then treated as idle.
func TestCloseUnblocksRead(t *testing.T) {
	wiretest.RunInBubble(t, func(t *testing.T) {
		s, _, conn := mustConnect(t, Services{Exec: func(ctx context.Context, _ Hello, a *AgentStream, req *ExecRequest) {
			_ = a.Accept(&Accepted{Attempt: req.Attempt})
			<-ctx.Done()
		}})
		stream, err := s.Exec(t.Context(), &ExecRequest{Attempt: uuid.Must(uuid.NewV7())}, nil)
		qt.Assert(t, err, qt.IsNil)
		_, err = stream.Next()
		qt.Assert(t, err, qt.IsNil)
		conn.Blackhole()
		time.AfterFunc(2*time.Second, stream.Close)
		start := time.Now()
		_, err = stream.Next()
		qt.Assert(t, err, qt.Not(qt.IsNil))
		qt.Assert(t, time.Since(start), qt.Equals, 2*time.Second)
		<-s.Done()
		qt.Assert(t, time.Since(start) <= 3500*time.Millisecond, qt.IsTrue)
	})
}

// Guards against a send to a peer that does not read, if the send stays blocked after its
// context has ended or does not fail with ErrSendIncomplete.
func TestBlockedSendEndsWithContext(t *testing.T) {
	wiretest.RunInBubble(t, func(t *testing.T) {
		s, _, _ := mustConnect(t, Services{Exec: func(ctx context.Context, _ Hello, _ *AgentStream, _ *ExecRequest) { <-ctx.Done() }})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := s.Exec(ctx, &ExecRequest{Attempt: uuid.Must(uuid.NewV7())}, make([]byte, MaxBodyBytes))
		qt.Assert(t, err, qt.ErrorIs, ErrSendIncomplete)
		qt.Assert(t, s.Err(), qt.IsNil)
	})
}

// Echo is an RPC service.
type Echo struct{ release chan struct{} }

func (Echo) Same(args *ResolveArgs, reply *ResolveArgs) error { *reply = *args; return nil }
func (e Echo) Slow(_ *Empty, _ *Empty) error                  { <-e.release; return nil }
func (Echo) Fail(_ *Empty, _ *Empty) error                    { return errors.New("no") }
func (Echo) Huge(_ *Empty, reply *AckBillsArgs) error {
	reply.Attempts = make([]uuid.UUID, MaxRPCBytes/16)
	return nil
}

// Guards against interference between concurrent calls and streams of a session.
func TestConcurrentCallsAndExec(t *testing.T) {
	wiretest.RunInBubble(t, func(t *testing.T) {
		c := qt.New(t)
		release := make(chan struct{})
		server := rpc.NewServer()
		c.Assert(server.Register(Echo{release}), qt.IsNil)
		s, _, _ := mustConnect(t, Services{
			RPC: func(Hello) *rpc.Server { return server },
			Exec: func(_ context.Context, _ Hello, a *AgentStream, req *ExecRequest) {
				for range 50 {
					_ = a.Data(1, req.Attempt[:])
				}
				_ = a.Finish(&Done{Attempt: req.Attempt})
			},
		})
		var group sync.WaitGroup
		for range 16 {
			group.Go(func() {
				id := uuid.Must(uuid.NewV7())
				var reply ResolveArgs
				c.Check(s.Call(t.Context(), "Echo.Same", &ResolveArgs{Attempt: id}, &reply), qt.IsNil)
				c.Check(reply.Attempt, qt.Equals, id)
			})
			group.Go(func() {
				id := uuid.Must(uuid.NewV7())
				stream, err := s.Exec(t.Context(), &ExecRequest{Attempt: id}, nil)
				c.Check(err, qt.IsNil)
				defer stream.Close()
				for range 50 {
					f, err := stream.Next()
					c.Check(err, qt.IsNil)
					c.Check([16]byte(f.Payload), qt.Equals, [16]byte(id))
				}
			})
		}
		group.Wait()
		c.Assert(s.Call(t.Context(), "Echo.Fail", &Empty{}, &Empty{}), qt.ErrorIs, ErrCall)
		c.Assert(s.Call(t.Context(), "Echo.Huge", &Empty{}, &AckBillsArgs{}), qt.ErrorIs, ErrCall)
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		c.Assert(s.Call(ctx, "Echo.Slow", &Empty{}, &Empty{}), qt.ErrorIs, context.DeadlineExceeded)
		close(release)
		var reply ResolveArgs
		c.Assert(s.Call(t.Context(), "Echo.Same", &ResolveArgs{Tombstone: true}, &reply), qt.IsNil)
		c.Assert(reply.Tombstone, qt.IsTrue)
	})
}

// Guards against concurrent dials to one address, and against a pool that returns
// ended sessions or does not redial a persistent address.
func TestPool(t *testing.T) {
	wiretest.RunInBubble(t, func(t *testing.T) {
		c := qt.New(t)
		network := wiretest.NewNetwork()
		network.Listen("s1", func(conn net.Conn) {
			_, _ = Accept(conn, Options{Hello: testHello(RoleAgent, "s1"), Secret: testSecret}, Services{})
		})
		var dials atomic.Int64
		pool := NewPoolWithDialer(func(ctx context.Context, address string) (*Session, error) {
			dials.Add(1)
			time.Sleep(10 * time.Millisecond)
			conn, err := network.Dial(address)
			if err != nil {
				return nil, err
			}
			return Connect(ctx, conn, Options{Hello: testHello(RoleRouter, "r1"), Secret: testSecret}, Services{})
		})
		defer pool.Close()
		var group sync.WaitGroup
		for range 20 {
			group.Go(func() {
				_, err := pool.Get(t.Context(), "s1")
				c.Check(err, qt.IsNil)
			})
		}
		group.Wait()
		c.Assert(dials.Load(), qt.Equals, int64(1))
		pool.KeepOpen([]string{"s1"})
		network.Disconnect("s1")
		time.Sleep(2 * time.Second)
		s, open := pool.Lookup("s1")
		c.Assert(open, qt.IsTrue)
		c.Assert(s.Err(), qt.IsNil)
		c.Assert(dials.Load(), qt.Equals, int64(2))
		time.Sleep(3 * IdleTimeout)
		kept, open := pool.Lookup("s1")
		c.Assert(open, qt.IsTrue)
		c.Assert(kept, qt.Equals, s)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Millisecond)
		defer cancel()
		_, err := pool.Get(ctx, "unknown")
		c.Assert(err, qt.ErrorIs, context.DeadlineExceeded)
	})
}
