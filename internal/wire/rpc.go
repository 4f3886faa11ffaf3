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

// rpcHeader is sent before the body of each RPC message.
type rpcHeader struct {
	Method string `cbor:"1,keyasint,omitempty"`
	Seq    uint64 `cbor:"2,keyasint"`
	Error  string `cbor:"3,keyasint,omitempty"`
}

// rpcCodec implements the client and server codecs of net/rpc. A message is a
// 4-byte length and the header, then a 4-byte length and the body, both in CBOR.
// It relies on net/rpc to serialize writes and to read from one goroutine.
type rpcCodec struct {
	conn io.ReadWriteCloser
	r    *bufio.Reader
	buf  []byte
	// onReadError is called with each read error, so that a protocol violation
	// closes the session; net/rpc would reply with an error and continue to read.
	onReadError func(error)
}

func newRPCCodec(conn io.ReadWriteCloser, onReadError func(error)) *rpcCodec {
	return &rpcCodec{conn: conn, r: bufio.NewReader(conn), onReadError: onReadError}
}

func (c *rpcCodec) write(header rpcHeader, body any) error {
	if cap(c.buf) > maxRetainedBufBytes {
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

// maxRetainedBufBytes is the capacity up to which a codec reuses its write buffer.
const maxRetainedBufBytes = 64 << 10

func (c *rpcCodec) read(into any) error {
	err := c.readMessage(into)
	if err != nil {
		c.onReadError(err)
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
		return unexpectedEOF(err)
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
	if err != nil && len(r.Error) == 0 && !c.isConnError(err) {
		// Without a reply the client would wait until its deadline.
		return c.write(rpcHeader{Method: r.ServiceMethod, Seq: r.Seq, Error: err.Error()}, Empty{})
	}
	return err
}

// isConnError reports whether err is an error of the connection, not of encoding.
func (c *rpcCodec) isConnError(err error) bool {
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
	server.ServeCodec(newRPCCodec(stream, s.closeIfMalformed))
}

// ErrCall wraps an error returned by the method of the peer.
var ErrCall = errors.New("remote call failed")

// Call calls a method of the peer and waits for the reply, the end of ctx or the
// end of the session. It fails with ErrCall if the method returned an error. The
// method may still run at the peer after ctx has ended, so after an error args
// must not be changed and reply must not be used.
func (s *Session) Call(ctx context.Context, method string, args, reply any) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	defer s.beginUse()()
	done := make(chan error, 1)
	// In a separate goroutine, because writing the request can block on an
	// unresponsive peer.
	go func() { done <- s.callBlocking(method, args, reply) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-s.ctx.Done():
		return s.Err()
	}
}

func (s *Session) callBlocking(method string, args, reply any) error {
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
		s.discardClient(client)
	}
	return err
}

// discardClient closes a client whose stream has failed, so that the next call
// opens a new stream.
func (s *Session) discardClient(client *rpc.Client) {
	s.rpcMu.Lock()
	if s.rpcClient == client {
		s.rpcClient = nil
	}
	s.rpcMu.Unlock()
	_ = client.Close()
}

// client returns the RPC client of the session. It uses one stream for all calls.
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
	s.rpcClient = rpc.NewClientWithCodec(newRPCCodec(stream, s.closeIfMalformed))
	return s.rpcClient, nil
}
