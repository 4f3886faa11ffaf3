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

// Stream kinds, sent as the first byte of a stream.
const (
	streamRPC  byte = 1
	streamExec byte = 2
)

// MismatchedFrames is the number of frames that were dropped because their tag was
// not that of their stream's attempt.
var MismatchedFrames atomic.Int64

// RouterStream is the router's end of an exec stream. Next must be called from one
// goroutine; Cancel and Close are safe for concurrent use.
type RouterStream struct {
	session *Session
	stream  *yamux.Stream
	reader  *frameReader
	tag     Tag
	endUse  func()

	writeMu sync.Mutex
	writer  frameWriter
}

// Exec opens a stream and sends a request with its body. The response is read from
// the returned stream. It fails with ErrSendIncomplete if the agent cannot have
// received the complete request and so does not run it. After any other error the
// agent may run it.
func (s *Session) Exec(ctx context.Context, req *ExecRequest, body []byte) (*RouterStream, error) {
	rs, err := s.openExecStream(ctx, TagOf(req.Attempt))
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrSendIncomplete, err)
	}
	// A write blocks while the peer does not read; closing the stream unblocks it.
	stop := context.AfterFunc(ctx, rs.Close)
	req.BodyBytes = len(body)
	err = rs.sendRequest(req, body)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		rs.Close()
		return nil, err
	}
	return rs, nil
}

// ErrSendIncomplete means that a request was not sent completely, so the agent
// cannot have started it.
var ErrSendIncomplete = errors.New("request was not sent completely")

// maxOneWriteBytes is the maximum size of a request that is copied into one buffer
// and sent with one write. Each write to a stream waits for the session's send
// loop, which takes longer than the copy.
const maxOneWriteBytes = 64 << 10

// sendRequest sends the frames of a request. Only after a failure of the last
// write is it unknown whether the agent received the complete request.
func (rs *RouterStream) sendRequest(req *ExecRequest, body []byte) error {
	if len(body) > MaxBodyBytes {
		return fmt.Errorf("%w: body of %d bytes is over the size limit", ErrSendIncomplete, len(body))
	}
	payload, err := encMode.Marshal(req)
	if err != nil || len(payload) > MaxFrameBytes {
		return fmt.Errorf("%w: request header of %d bytes: %v", ErrSendIncomplete, len(payload), err)
	}
	if len(payload)+len(body) <= maxOneWriteBytes {
		return rs.sendInOneWrite(payload, body)
	}
	if err := rs.sendFirstFrame(FrameExec, payload); err != nil {
		if len(body) > 0 {
			return fmt.Errorf("%w: %v", ErrSendIncomplete, err)
		}
		return err
	}
	for len(body) > 0 {
		n := min(len(body), MaxFrameBytes)
		if err := rs.writer.write(FrameBody, rs.tag, 0, body[:n]); err != nil {
			if n < len(body) {
				return fmt.Errorf("%w: %v", ErrSendIncomplete, err)
			}
			return err
		}
		body = body[n:]
	}
	return nil
}

// sendInOneWrite sends the request header and the body with one write.
func (rs *RouterStream) sendInOneWrite(payload, body []byte) error {
	buf := make([]byte, 0, 1+2*frameHeaderBytes+len(payload)+len(body))
	buf = append(buf, streamExec)
	buf = append(appendFrameHeader(buf, FrameExec, rs.tag, 0, len(payload)), payload...)
	if len(body) > 0 {
		buf = append(appendFrameHeader(buf, FrameBody, rs.tag, 0, len(body)), body...)
	}
	_, err := rs.stream.Write(buf)
	return err
}

// Attach opens a stream that resumes the response of an attempt.
func (s *Session) Attach(ctx context.Context, req *AttachRequest) (*RouterStream, error) {
	rs, err := s.openExecStream(ctx, TagOf(req.Attempt))
	if err != nil {
		return nil, err
	}
	payload, err := encMode.Marshal(req)
	if err == nil {
		err = rs.sendFirstFrame(FrameAttach, payload)
	}
	if err != nil {
		rs.Close()
		return nil, err
	}
	return rs, nil
}

// sendFirstFrame sends the stream kind and the first frame with one write.
func (rs *RouterStream) sendFirstFrame(t FrameType, payload []byte) error {
	buf := append(make([]byte, 0, 1+frameHeaderBytes+len(payload)), streamExec)
	buf = append(appendFrameHeader(buf, t, rs.tag, 0, len(payload)), payload...)
	_, err := rs.stream.Write(buf)
	return err
}

func (s *Session) openExecStream(ctx context.Context, tag Tag) (*RouterStream, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	endUse := s.beginUse()
	stream, err := s.mux.OpenStream()
	if err != nil {
		endUse()
		return nil, err
	}
	return &RouterStream{
		session: s, stream: stream, reader: newFrameReader(stream), tag: tag, endUse: endUse,
		writer: frameWriter{w: stream},
	}, nil
}

// Next returns the next frame of the response. It drops frames of other attempts
// and counts them in MismatchedFrames. The payload is valid until the next call.
// It fails with io.ErrUnexpectedEOF if the agent closed the stream, or with an
// error of the stream or of the framing layer.
func (rs *RouterStream) Next() (Frame, error) {
	for {
		f, err := rs.reader.read()
		if err != nil {
			rs.session.closeIfMalformed(err)
			return Frame{}, unexpectedEOF(err)
		}
		if f.Tag == rs.tag {
			return f, nil
		}
		MismatchedFrames.Add(1)
	}
}

// Cancel asks the agent to cancel the attempt. The response still ends with a
// FrameDone frame.
func (rs *RouterStream) Cancel() error {
	rs.writeMu.Lock()
	defer rs.writeMu.Unlock()
	return rs.writer.write(FrameCancel, rs.tag, 0, nil)
}

// Close closes the stream. A Next in progress fails.
func (rs *RouterStream) Close() {
	rs.endUse()
	closeStream(rs.stream)
}

// closeStream closes both directions of a stream. Stream.Close closes the sending
// direction only and does not unblock a reader, so a past read deadline is set.
func closeStream(stream *yamux.Stream) {
	_ = stream.SetReadDeadline(time.Unix(1, 0))
	_ = stream.Close()
}

// AgentStream is the agent's end of an exec stream. The methods that send must not
// be called concurrently.
type AgentStream struct {
	session *Session
	stream  *yamux.Stream
	reader  *frameReader
	writer  frameWriter
	tag     Tag
}

// serveStream serves a stream that the peer opened. A protocol violation closes
// the whole session, because the peer is faulty or malicious.
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
		s.closeWithError(fmt.Errorf("%w: stream kind %d", ErrMalformed, kind[0]))
	}
}

func (s *Session) serveExec(stream *yamux.Stream) {
	defer s.beginUse()()
	a := &AgentStream{session: s, stream: stream, reader: newFrameReader(stream), writer: frameWriter{w: stream}}
	s.closeIfMalformed(s.handleExecStream(a))
}

// closeIfMalformed closes the session if err is a protocol violation of the peer.
func (s *Session) closeIfMalformed(err error) {
	if errors.Is(err, ErrMalformed) || errors.Is(err, ErrFrameTooLarge) {
		s.closeWithError(err)
	}
}

func (s *Session) handleExecStream(a *AgentStream) error {
	f, err := a.reader.read()
	if err != nil {
		return err
	}
	a.tag = f.Tag
	switch {
	case f.Type == FrameExec && s.services.Exec != nil:
		return s.handleExec(a, f)
	case f.Type == FrameAttach && s.services.Attach != nil:
		return s.handleAttach(a, f)
	default:
		return fmt.Errorf("%w: frame type %d cannot open an exec stream", ErrMalformed, f.Type)
	}
}

func (s *Session) handleExec(a *AgentStream, f Frame) error {
	var req ExecRequest
	if err := f.Decode(&req); err != nil {
		return err
	}
	if TagOf(req.Attempt) != a.tag {
		return fmt.Errorf("%w: tag does not match the attempt", ErrMalformed)
	}
	if req.BodyBytes < 0 || req.BodyBytes > MaxBodyBytes {
		return fmt.Errorf("%w: invalid body length of %d bytes", ErrMalformed, req.BodyBytes)
	}
	s.services.Exec(s.ctx, s.Peer, a, &req)
	return nil
}

func (s *Session) handleAttach(a *AgentStream, f Frame) error {
	var req AttachRequest
	if err := f.Decode(&req); err != nil {
		return err
	}
	s.services.Attach(s.ctx, s.Peer, a, &req)
	return nil
}

// ReadBody reads the n bytes of the request body, which follows the ExecRequest.
// The attempt must not start before ReadBody has returned without an error.
func (a *AgentStream) ReadBody(n int) ([]byte, error) {
	body := make([]byte, 0, n)
	for len(body) < n {
		f, err := a.reader.read()
		if err != nil {
			a.session.closeIfMalformed(err)
			return nil, unexpectedEOF(err)
		}
		if f.Type != FrameBody || f.Tag != a.tag || len(body)+len(f.Payload) > n || len(f.Payload) == 0 {
			err := fmt.Errorf("%w: unexpected frame in request body", ErrMalformed)
			a.session.closeIfMalformed(err)
			return nil, err
		}
		body = append(body, f.Payload...)
	}
	return body, nil
}

// WaitCancel blocks until the router cancels the attempt or the stream ends, and
// returns true if the attempt was canceled. It must be called after ReadBody.
func (a *AgentStream) WaitCancel() bool {
	for {
		f, err := a.reader.read()
		if err != nil {
			a.session.closeIfMalformed(err)
			return false
		}
		if f.Tag == a.tag && f.Type == FrameCancel {
			return true
		}
	}
}

// Refuse informs the router that the attempt did not run and will not run.
func (a *AgentStream) Refuse(msg *Refused) error {
	return a.writer.writeMessage(FrameRefused, a.tag, msg)
}

// Accept informs the router that the attempt may run from now on.
func (a *AgentStream) Accept(msg *Accepted) error {
	return a.writer.writeMessage(FrameAccepted, a.tag, msg)
}

// Head sends the status and the header of the response.
func (a *AgentStream) Head(msg *Head) error {
	return a.writer.writeMessage(FrameHead, a.tag, msg)
}

// Data sends a chunk of the response that contains the given number of tokens. It
// fails with ErrFrameTooLarge for a chunk over MaxFrameBytes.
func (a *AgentStream) Data(tokens uint32, data []byte) error {
	return a.writer.write(FrameData, a.tag, tokens, data)
}

// Finish sends the end of the response.
func (a *AgentStream) Finish(msg *Done) error {
	return a.writer.writeMessage(FrameDone, a.tag, msg)
}

// Close closes the stream. A WaitCancel in progress returns.
func (a *AgentStream) Close() { closeStream(a.stream) }
