package wire

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net/rpc"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/yamux"
)

// rpcHeader precedes the body of each RPC message.
type rpcHeader struct {
	Method string `cbor:"1,keyasint,omitempty"`
	Seq    uint64 `cbor:"2,keyasint"`
	Error  string `cbor:"3,keyasint,omitempty"`
}

// rpcCodec implements net/rpc's client and server codecs with length-prefixed
// CBOR messages: a 4-byte length and the header, then a 4-byte length and the
// body. net/rpc serialises writes, and reads come from one goroutine.
type rpcCodec struct {
	conn io.ReadWriteCloser
	r    *bufio.Reader
	buf  []byte
	// malformed is told of input that breaks the protocol; net/rpc itself
	// answers such input with an error and reads on.
	malformed func(error)
}

func newRPCCodec(conn io.ReadWriteCloser, malformed func(error)) *rpcCodec {
	return &rpcCodec{conn: conn, r: bufio.NewReader(conn), malformed: malformed}
}

func (c *rpcCodec) write(header rpcHeader, body any) error {
	if cap(c.buf) > maxKeptBytes {
		c.buf = nil
	}
	c.buf = c.buf[:0]
	for _, part := range []any{header, body} {
		encoded, err := encMode.Marshal(part)
		if err != nil {
			return err
		}
		if len(encoded) > MaxRPCBytes {
			return ErrFrameTooLarge
		}
		c.buf = binary.BigEndian.AppendUint32(c.buf, uint32(len(encoded)))
		c.buf = append(c.buf, encoded...)
	}
	_, err := c.conn.Write(c.buf)
	return err
}

// maxKeptBytes bounds the write buffer that a codec keeps between messages.
const maxKeptBytes = 64 << 10

func (c *rpcCodec) read(into any) error {
	err := c.readMessage(into)
	if err != nil {
		c.malformed(err)
	}
	return err
}

func (c *rpcCodec) readMessage(into any) error {
	var prefix [4]byte
	if _, err := io.ReadFull(c.r, prefix[:]); err != nil {
		return err
	}
	length := binary.BigEndian.Uint32(prefix[:])
	if length > MaxRPCBytes {
		return ErrFrameTooLarge
	}
	payload := make([]byte, length)
	if _, err := io.ReadFull(c.r, payload); err != nil {
		return noEOF(err)
	}
	if into == nil {
		return nil
	}
	if err := decMode.Unmarshal(payload, into); err != nil {
		return fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	return nil
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *rpcCodec) ReadRequestHeader(r *rpc.Request) error {
	var header rpcHeader
	if err := c.read(&header); err != nil {
		return err
	}
	r.ServiceMethod, r.Seq = header.Method, header.Seq
	return nil
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *rpcCodec) ReadRequestBody(body any) error { return c.read(body) }

// WriteResponse implements rpc.ServerCodec.
func (c *rpcCodec) WriteResponse(r *rpc.Response, body any) error {
	if r.Error != "" {
		body = Empty{}
	}
	err := c.write(rpcHeader{Method: r.ServiceMethod, Seq: r.Seq, Error: r.Error}, body)
	if err != nil && len(r.Error) == 0 && !c.broken(err) {
		// Without this answer the caller would wait for its whole deadline.
		return c.write(rpcHeader{Method: r.ServiceMethod, Seq: r.Seq, Error: err.Error()}, Empty{})
	}
	return err
}

// broken reports whether err came from the connection, not from encoding.
func (c *rpcCodec) broken(err error) bool {
	var unsupported *cbor.UnsupportedTypeError
	return !errors.Is(err, ErrFrameTooLarge) && !errors.As(err, &unsupported)
}

// WriteRequest implements rpc.ClientCodec.
func (c *rpcCodec) WriteRequest(r *rpc.Request, body any) error {
	return c.write(rpcHeader{Method: r.ServiceMethod, Seq: r.Seq}, body)
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c *rpcCodec) ReadResponseHeader(r *rpc.Response) error {
	var header rpcHeader
	if err := c.read(&header); err != nil {
		return err
	}
	r.ServiceMethod, r.Seq, r.Error = header.Method, header.Seq, header.Error
	return nil
}

// ReadResponseBody implements rpc.ClientCodec.
func (c *rpcCodec) ReadResponseBody(body any) error { return c.read(body) }

// Close implements both codecs.
func (c *rpcCodec) Close() error { return c.conn.Close() }

func (s *Session) serveRPC(stream *yamux.Stream) {
	if s.services.RPC == nil {
		return
	}
	server := s.services.RPC(s.Peer)
	if server == nil {
		return
	}
	server.ServeCodec(newRPCCodec(stream, s.failMalformed))
}

// ErrCall wraps an error that the peer's method returned.
var ErrCall = errors.New("remote call failed")

// Call calls a method of the peer and waits for the answer or the end of ctx.
// After ctx has ended the call may still run at the peer. args must not be
// changed, and reply not be used, after an error.
func (s *Session) Call(ctx context.Context, method string, args, reply any) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	defer s.use()()
	done := make(chan error, 1)
	// The write of a request can block on a silent peer, so it has a goroutine
	// of its own.
	go func() { done <- s.callNow(method, args, reply) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-s.ctx.Done():
		return s.Err()
	}
}

func (s *Session) callNow(method string, args, reply any) error {
	client, err := s.client()
	if err != nil {
		return err
	}
	err = client.Call(method, args, reply)
	var remote rpc.ServerError
	if errors.As(err, &remote) {
		return fmt.Errorf("%w: %s: %s", ErrCall, method, remote)
	}
	if err != nil {
		s.dropClient(client)
	}
	return err
}

// dropClient forgets a client whose stream has ended, so that the next call
// opens another one.
func (s *Session) dropClient(client *rpc.Client) {
	s.rpcMu.Lock()
	if s.rpcClient == client {
		s.rpcClient = nil
	}
	s.rpcMu.Unlock()
	_ = client.Close()
}

// client returns the RPC client, which uses one stream of the session for all
// calls.
func (s *Session) client() (*rpc.Client, error) {
	s.rpcMu.Lock()
	defer s.rpcMu.Unlock()
	if s.rpcClient != nil {
		return s.rpcClient, nil
	}
	stream, err := s.mux.OpenStream()
	if err != nil {
		return nil, err
	}
	if _, err := stream.Write([]byte{streamRPC}); err != nil {
		_ = stream.Close()
		return nil, err
	}
	s.rpcClient = rpc.NewClientWithCodec(newRPCCodec(stream, s.failMalformed))
	return s.rpcClient, nil
}
