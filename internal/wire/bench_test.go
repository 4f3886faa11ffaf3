package wire

import (
	"context"
	"net"
	"net/rpc"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"
)

// connectOverLoopback returns the router's end of a session over TCP.
func connectOverLoopback(b *testing.B, services Services) *Session {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(b, err, qt.IsNil)
	b.Cleanup(func() { _ = listener.Close() })
	go func() {
		if conn, err := listener.Accept(); err == nil {
			_, _ = Accept(conn, Options{Hello: testHello(RoleAgent, "s1"), Secret: testSecret}, services)
		}
	}()
	s, err := Dial(b.Context(), listener.Addr().String(), Options{Hello: testHello(RoleRouter, "r1"), Secret: testSecret}, Services{})
	qt.Assert(b, err, qt.IsNil)
	b.Cleanup(s.Close)
	return s
}

// BenchmarkExec measures a request with a 1 KiB body until its first data frame.
func BenchmarkExec(b *testing.B) {
	s := connectOverLoopback(b, Services{Exec: func(_ context.Context, _ Hello, a *AgentStream, req *ExecRequest) {
		if _, err := a.ReadBody(req.BodyBytes); err == nil {
			_ = a.Data(1, []byte("token"))
		}
	}})
	body := make([]byte, 1024)
	b.ReportAllocs()
	for b.Loop() {
		stream, err := s.Exec(b.Context(), &ExecRequest{Attempt: uuid.Must(uuid.NewV7())}, body)
		qt.Assert(b, err, qt.IsNil)
		_, err = stream.Next()
		qt.Assert(b, err, qt.IsNil)
		stream.Close()
	}
}

// BenchmarkCall measures a call with small messages, such as a probe.
func BenchmarkCall(b *testing.B) {
	server := rpc.NewServer()
	qt.Assert(b, server.Register(Echo{}), qt.IsNil)
	s := connectOverLoopback(b, Services{RPC: func(Hello) *rpc.Server { return server }})
	b.ReportAllocs()
	for b.Loop() {
		var reply ResolveArgs
		qt.Assert(b, s.Call(b.Context(), "Echo.Same", &ResolveArgs{}, &reply), qt.IsNil)
	}
}

// BenchmarkData measures one data frame of a response.
func BenchmarkData(b *testing.B) {
	s := connectOverLoopback(b, Services{Exec: func(_ context.Context, _ Hello, a *AgentStream, _ *ExecRequest) {
		for a.Data(1, []byte("a token or two")) == nil {
		}
	}})
	stream, err := s.Exec(b.Context(), &ExecRequest{Attempt: uuid.Must(uuid.NewV7())}, nil)
	qt.Assert(b, err, qt.IsNil)
	defer stream.Close()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := stream.Next(); err != nil {
			b.Fatal(err)
		}
	}
}
