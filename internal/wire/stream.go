package wire

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
)

// The first byte of a stream says what it carries.
const (
	streamRPC  byte = 1
	streamExec byte = 2
)

// MismatchedFrames counts frames that arrived for another attempt than their
// stream's and were dropped.
var MismatchedFrames atomic.Int64

// RouterStream is a router's end of an exec stream. Next is called from one
// goroutine; Cancel and Close may be called from any.
type RouterStream struct {
	session *Session
	stream  *yamux.Stream
	reader  *frameReader
	tag     Tag
	release func()

	writeMu sync.Mutex
	writer  frameWriter
}

// Exec opens a stream, sends a request with its body, and returns the stream to
// read the answer from. When it fails before the request was sent completely the
// agent does not run it; ErrSendIncomplete tells so.
func (s *Session) Exec(ctx context.Context, req *ExecRequest, body []byte) (*RouterStream, error) {
	x, err := s.openExec(ctx, TagOf(req.Attempt))
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrSendIncomplete, err)
	}
	// A peer that does not read leaves a write blocked; the end of ctx ends it.
	stop := context.AfterFunc(ctx, x.Close)
	req.BodyBytes = len(body)
	err = x.sendRequest(req, body)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		x.Close()
		return nil, err
	}
	return x, nil
}

// ErrSendIncomplete means that a request did not leave this side completely, so
// the agent cannot have started it.
var ErrSendIncomplete = errors.New("request was not sent completely")

// joinedBytes is the largest request that is sent with a single write. Each write
// to a stream waits for the session's sender, which costs a request more than the
// copy.
const joinedBytes = 64 << 10

// sendRequest writes the request's frames. Only a failure of the last write
// leaves it open whether the agent has the whole request.
func (x *RouterStream) sendRequest(req *ExecRequest, body []byte) error {
	if len(body) > MaxBodyBytes {
		return fmt.Errorf("%w: body of %d bytes", ErrSendIncomplete, len(body))
	}
	payload, err := encMode.Marshal(req)
	if err != nil || len(payload) > MaxFrameBytes {
		return fmt.Errorf("%w: request header of %d bytes: %v", ErrSendIncomplete, len(payload), err)
	}
	if len(payload)+len(body) <= joinedBytes {
		return x.sendJoined(payload, body)
	}
	if err := x.sendFirst(FrameExec, payload); err != nil {
		if len(body) > 0 {
			return fmt.Errorf("%w: %v", ErrSendIncomplete, err)
		}
		return err
	}
	for len(body) > 0 {
		n := min(len(body), MaxFrameBytes)
		if err := x.writer.write(FrameBody, x.tag, 0, body[:n]); err != nil {
			if n < len(body) {
				return fmt.Errorf("%w: %v", ErrSendIncomplete, err)
			}
			return err
		}
		body = body[n:]
	}
	return nil
}

// sendJoined sends a small request with a single write.
func (x *RouterStream) sendJoined(payload, body []byte) error {
	buf := make([]byte, 0, 1+2*frameHeaderBytes+len(payload)+len(body))
	buf = append(buf, streamExec)
	buf = append(appendFrameHeader(buf, FrameExec, x.tag, 0, len(payload)), payload...)
	if len(body) > 0 {
		buf = append(appendFrameHeader(buf, FrameBody, x.tag, 0, len(body)), body...)
	}
	_, err := x.stream.Write(buf)
	return err
}

// Attach opens a stream that continues an attempt's answer.
func (s *Session) Attach(ctx context.Context, req *AttachRequest) (*RouterStream, error) {
	x, err := s.openExec(ctx, TagOf(req.Attempt))
	if err != nil {
		return nil, err
	}
	payload, err := encMode.Marshal(req)
	if err == nil {
		err = x.sendFirst(FrameAttach, payload)
	}
	if err != nil {
		x.Close()
		return nil, err
	}
	return x, nil
}

// sendFirst sends the stream's kind and its first frame with a single write.
func (x *RouterStream) sendFirst(t FrameType, payload []byte) error {
	buf := append(make([]byte, 0, 1+frameHeaderBytes+len(payload)), streamExec)
	buf = append(appendFrameHeader(buf, t, x.tag, 0, len(payload)), payload...)
	_, err := x.stream.Write(buf)
	return err
}

func (s *Session) openExec(ctx context.Context, tag Tag) (*RouterStream, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	release := s.use()
	stream, err := s.mux.OpenStream()
	if err != nil {
		release()
		return nil, err
	}
	return &RouterStream{
		session: s, stream: stream, reader: newFrameReader(stream), tag: tag, release: release,
		writer: frameWriter{w: stream},
	}, nil
}

// Next returns the next frame of the answer. Frames of other attempts are
// dropped and counted. Its payload is valid until the following call.
func (x *RouterStream) Next() (Frame, error) {
	for {
		f, err := x.reader.read()
		if err != nil {
			x.session.failMalformed(err)
			return Frame{}, noEOF(err)
		}
		if f.Tag == x.tag {
			return f, nil
		}
		MismatchedFrames.Add(1)
	}
}

// Cancel asks the agent to stop the attempt. The answer still ends with a Done
// frame.
func (x *RouterStream) Cancel() error {
	x.writeMu.Lock()
	defer x.writeMu.Unlock()
	return x.writer.write(FrameCancel, x.tag, 0, nil)
}

// Close ends the stream. A Next in progress fails.
func (x *RouterStream) Close() {
	x.release()
	closeStream(x.stream)
}

// closeStream closes both directions; yamux alone closes the sending one and
// leaves a reader waiting for the peer.
func closeStream(stream *yamux.Stream) {
	_ = stream.SetReadDeadline(time.Unix(1, 0))
	_ = stream.Close()
}

// AgentStream is an agent's end of an exec stream. Its Send methods are called
// from one goroutine at a time.
type AgentStream struct {
	session *Session
	stream  *yamux.Stream
	reader  *frameReader
	writer  frameWriter
	tag     Tag
}

// serveStream handles a stream that the peer opened. A malformed stream closes
// the session: the peer is broken or hostile.
func (s *Session) serveStream(stream *yamux.Stream) {
	defer closeStream(stream)
	var kind [1]byte
	if _, err := io.ReadFull(stream, kind[:]); err != nil {
		return
	}
	switch kind[0] {
	case streamRPC:
		s.serveRPC(stream)
	case streamExec:
		s.serveExec(stream)
	default:
		s.fail(fmt.Errorf("%w: stream kind %d", ErrMalformed, kind[0]))
	}
}

func (s *Session) serveExec(stream *yamux.Stream) {
	defer s.use()()
	a := &AgentStream{session: s, stream: stream, reader: newFrameReader(stream), writer: frameWriter{w: stream}}
	s.failMalformed(s.dispatchExec(a))
}

// failMalformed closes the session if err says that the peer broke the protocol.
func (s *Session) failMalformed(err error) {
	if errors.Is(err, ErrMalformed) || errors.Is(err, ErrFrameTooLarge) {
		s.fail(err)
	}
}

func (s *Session) dispatchExec(a *AgentStream) error {
	f, err := a.reader.read()
	if err != nil {
		return err
	}
	a.tag = f.Tag
	switch {
	case f.Type == FrameExec && s.services.Exec != nil:
		return s.runExec(a, f)
	case f.Type == FrameAttach && s.services.Attach != nil:
		return s.runAttach(a, f)
	default:
		return fmt.Errorf("%w: frame type %d opens no exec stream", ErrMalformed, f.Type)
	}
}

func (s *Session) runExec(a *AgentStream, f Frame) error {
	var req ExecRequest
	if err := f.Decode(&req); err != nil {
		return err
	}
	if TagOf(req.Attempt) != a.tag {
		return fmt.Errorf("%w: tag of another attempt", ErrMalformed)
	}
	if req.BodyBytes < 0 || req.BodyBytes > MaxBodyBytes {
		return fmt.Errorf("%w: body of %d bytes", ErrMalformed, req.BodyBytes)
	}
	s.services.Exec(s.ctx, s.Peer, a, &req)
	return nil
}

func (s *Session) runAttach(a *AgentStream, f Frame) error {
	var req AttachRequest
	if err := f.Decode(&req); err != nil {
		return err
	}
	s.services.Attach(s.ctx, s.Peer, a, &req)
	return nil
}

// ReadBody reads the whole request body that follows an exec request. Nothing
// may run before it has returned.
func (a *AgentStream) ReadBody(n int) ([]byte, error) {
	body := make([]byte, 0, n)
	for len(body) < n {
		f, err := a.reader.read()
		if err != nil {
			a.session.failMalformed(err)
			return nil, noEOF(err)
		}
		if f.Type != FrameBody || f.Tag != a.tag || len(body)+len(f.Payload) > n || len(f.Payload) == 0 {
			err := fmt.Errorf("%w: unexpected frame in body", ErrMalformed)
			a.session.failMalformed(err)
			return nil, err
		}
		body = append(body, f.Payload...)
	}
	return body, nil
}

// WaitCancel blocks until the router cancels the attempt or the stream ends. It
// reports true for a cancel frame. It is called after ReadBody.
func (a *AgentStream) WaitCancel() bool {
	for {
		f, err := a.reader.read()
		if err != nil {
			a.session.failMalformed(err)
			return false
		}
		if f.Tag == a.tag && f.Type == FrameCancel {
			return true
		}
	}
}

// Refuse tells the router that the attempt did not run and never will.
func (a *AgentStream) Refuse(msg *Refused) error {
	return a.writer.writeMessage(FrameRefused, a.tag, msg)
}

// Accept tells the router that the attempt may run from now on.
func (a *AgentStream) Accept(msg *Accepted) error {
	return a.writer.writeMessage(FrameAccepted, a.tag, msg)
}

// Head sends the status and header of the answer.
func (a *AgentStream) Head(msg *Head) error {
	return a.writer.writeMessage(FrameHead, a.tag, msg)
}

// Data sends a part of the answer that holds the given number of tokens. Parts
// over MaxFrameBytes must be split by the caller.
func (a *AgentStream) Data(tokens uint32, data []byte) error {
	return a.writer.write(FrameData, a.tag, tokens, data)
}

// Finish ends the answer.
func (a *AgentStream) Finish(msg *Done) error {
	return a.writer.writeMessage(FrameDone, a.tag, msg)
}

// Close ends the stream; a WaitCancel in progress returns.
func (a *AgentStream) Close() { closeStream(a.stream) }
