package wire

import (
	"bytes"
	"io"
	"net/rpc"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"
)

// encodeFrames encodes messages as on an exec stream, followed by a data frame.
func encodeFrames(f testing.TB, messages ...any) []byte {
	var out bytes.Buffer
	w := frameWriter{w: &out}
	types := []FrameType{FrameExec, FrameAttach, FrameRefused, FrameAccepted, FrameHead, FrameDone}
	for i, msg := range messages {
		qt.Assert(f, w.writeMessage(types[i%len(types)], 7, msg), qt.IsNil)
	}
	qt.Assert(f, w.write(FrameData, 7, 3, []byte("text")), qt.IsNil)
	return out.Bytes()
}

// FuzzFrames guards against input for which the decoder of exec streams panics or
// exceeds its limits.
func FuzzFrames(f *testing.F) {
	id := uuid.MustParse("0190163d-8694-739b-aea5-966c26f8ad91")
	whole := encodeFrames(f, ExecRequest{Attempt: id, Headers: []Header{{"a", "b"}}, Prefixes: []uint64{1, 2}},
		AttachRequest{Attempt: id, Offset: 3}, Refused{Attempt: id, Code: "overloaded"}, Accepted{Attempt: id},
		Head{Attempt: id, Status: 200}, Done{Attempt: id, CrashID: id})
	f.Add(whole)
	f.Add(whole[:len(whole)/2])
	f.Add(appendFrameHeader(nil, FrameData, 7, 1, MaxFrameBytes))
	f.Add(appendFrameHeader(nil, FrameDone, 7, 1, MaxFrameBytes+1))
	f.Add(append(appendFrameHeader(nil, FrameExec, 7, 0, 17), bytes.Repeat([]byte{0x9f}, 17)...))
	f.Fuzz(func(t *testing.T, input []byte) {
		r := newFrameReader(bytes.NewReader(input))
		for {
			frame, err := r.read()
			if err != nil {
				return
			}
			qt.Assert(t, len(frame.Payload) <= MaxFrameBytes, qt.IsTrue)
			for _, msg := range []any{&ExecRequest{}, &AttachRequest{}, &Refused{}, &Accepted{}, &Head{}, &Done{}, &Hello{}} {
				if err := frame.Decode(msg); err != nil {
					qt.Assert(t, err, qt.ErrorIs, ErrMalformed)
				}
			}
		}
	})
}

// inputConn is a connection that reads a given input and buffers what is written.
type inputConn struct {
	io.Reader
	bytes.Buffer
}

func (r *inputConn) Read(p []byte) (int, error) { return r.Reader.Read(p) }
func (*inputConn) Close() error                 { return nil }

// FuzzCalls guards against input for which the decoder of RPC messages panics or
// does not terminate.
func FuzzCalls(f *testing.F) {
	var call inputConn
	codec := newRPCCodec(&call, func(error) {})
	qt.Assert(f, codec.write(rpcHeader{Method: "Echo.Same", Seq: 1}, ResolveArgs{Tombstone: true}), qt.IsNil)
	qt.Assert(f, codec.write(rpcHeader{Method: "Echo.None", Seq: 2}, ClaimArgs{}), qt.IsNil)
	whole := bytes.Clone(call.Bytes())
	f.Add(whole)
	f.Add(whole[:len(whole)-3])
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1})
	f.Add([]byte{0, 0, 0, 2, 0xbf, 0xff, 0, 0, 0, 1, 0xf6})
	server := rpc.NewServer()
	qt.Assert(f, server.Register(Echo{}), qt.IsNil)
	f.Fuzz(func(_ *testing.T, input []byte) {
		if bytes.Contains(input, []byte("Slow")) || bytes.Contains(input, []byte("Huge")) {
			return // Echo.Slow blocks, and Echo.Huge encodes megabytes
		}
		server.ServeCodec(newRPCCodec(&inputConn{Reader: bytes.NewReader(input)}, func(error) {}))
		client := newRPCCodec(&inputConn{Reader: bytes.NewReader(input)}, func(error) {})
		var response rpc.Response
		for client.ReadResponseHeader(&response) == nil && client.ReadResponseBody(&ProbeReply{}) == nil {
		}
	})
}

// Guards against an allocation per data frame, that is, per token.
func TestReadFrameDoesNotAllocate(t *testing.T) {
	var out bytes.Buffer
	w := frameWriter{w: &out}
	for range 2000 {
		qt.Assert(t, w.write(FrameData, 7, 1, []byte("a token or two")), qt.IsNil)
	}
	r := newFrameReader(&out)
	allocations := testing.AllocsPerRun(1000, func() { _, _ = r.read() })
	qt.Assert(t, allocations, qt.Equals, 0.0)
}
