package wire

import (
	"context"
	"net"
	"net/rpc"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"
)

// overLoopback returns a session over TCP.
func overLoopback(b *testing.B, services Services) *Session {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(b, err, qt.IsNil)
	b.Cleanup(func() { _ = listener.Close() })
	go func() {
		if conn, err := listener.Accept(); err == nil {
			_, _ = Accept(conn, Options{Hello: hello(RoleAgent, "s1"), Secret: testSecret}, services)
		}
	}()
	s, err := Dial(b.Context(), listener.Addr().String(), Options{Hello: hello(RoleRouter, "r1"), Secret: testSecret}, Services{})
	qt.Assert(b, err, qt.IsNil)
	b.Cleanup(s.Close)
	return s
}

// BenchmarkExec measures a request with a body of 1 KB until its first data.
func BenchmarkExec(b *testing.B) {
	s := overLoopback(b, Services{Exec: func(_ context.Context, _ Hello, a *AgentStream, req *ExecRequest) {
		if _, err := a.ReadBody(req.BodyBytes); err == nil {
			_ = a.Data(1, []byte("token"))
		}
	}})
	body := make([]byte, 1024)
	b.ReportAllocs()
	for b.Loop() {
		x, err := s.Exec(b.Context(), &ExecRequest{Attempt: uuid.Must(uuid.NewV7())}, body)
		qt.Assert(b, err, qt.IsNil)
		_, err = x.Next()
		qt.Assert(b, err, qt.IsNil)
		x.Close()
	}
}

// BenchmarkCall measures a probe-sized call.
func BenchmarkCall(b *testing.B) {
	server := rpc.NewServer()
	qt.Assert(b, server.Register(Echo{}), qt.IsNil)
	s := overLoopback(b, Services{RPC: func(Hello) *rpc.Server { return server }})
	b.ReportAllocs()
	for b.Loop() {
		var reply ResolveArgs
		qt.Assert(b, s.Call(b.Context(), "Echo.Same", &ResolveArgs{}, &reply), qt.IsNil)
	}
}

// BenchmarkData measures one part of an answer.
func BenchmarkData(b *testing.B) {
	s := overLoopback(b, Services{Exec: func(_ context.Context, _ Hello, a *AgentStream, _ *ExecRequest) {
		for a.Data(1, []byte("a token or two")) == nil {
		}
	}})
	x, err := s.Exec(b.Context(), &ExecRequest{Attempt: uuid.Must(uuid.NewV7())}, nil)
	qt.Assert(b, err, qt.IsNil)
	defer x.Close()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := x.Next(); err != nil {
			b.Fatal(err)
		}
	}
}
