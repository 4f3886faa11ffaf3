package gateway

import (
	"bytes"
	"errors"
	"net/http"
	"net/textproto"
	"strconv"

	"github.com/monsoonworks/monsoonworks/internal/dispatch"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// maxWholeAnswerBytes bounds an answer that is kept until it is complete. It
// holds more than 100,000 tokens of the usual length as JSON.
const maxWholeAnswerBytes = 16 << 20

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// Errors of the sinks. They end a call whose answer cannot be passed on.
var (
	errNoHead        = errors.New("data before the head of the answer")
	errTwoHeads      = errors.New("a second head after the answer began")
	errBadStatus     = errors.New("the answer's status is out of range")
	errAnswerTooLong = errors.New("the answer is too long to be kept")
	errEventTooLong  = errors.New("an event of the stream is too long")
	errTooMuch       = errors.New("more data than the head announced")
	errAfterDone     = errors.New("data after the end of the stream")
)

// errIncomplete is the answer to a caller if the call ended without an error
// but the answer has no end.
func errIncomplete(v verdict.Verdict) *verdict.Error {
	return verdict.New(v, verdict.CodeServerError, "the backend server's answer is not complete")
}

// finalStatus reports whether status can be that of a whole answer.
func finalStatus(status int) bool { return status >= 200 && status <= 599 }

// modelSink passes on the answer of a model engine: as a stream of events if
// the caller asked for one and the engine agreed, otherwise as a whole.
type modelSink struct {
	*answer
	stream  bool
	headers []wire.Header
	code    int
	body    []byte // of a whole answer
	events  *eventStream
	err     error
}

func newModelSink(a *answer, stream bool) *modelSink { return &modelSink{answer: a, stream: stream} }

// Head implements dispatch.Sink. Nothing is sent before the first data, so that
// a failure until then can still be told by the status, and another head can
// replace this one.
func (s *modelSink) Head(status int, headers []wire.Header) error {
	switch {
	case s.status != 0:
		s.err = errTwoHeads
	case !finalStatus(status):
		s.err = errBadStatus
	default:
		s.code, s.headers, s.body, s.events = status, headers, nil, nil
		if s.stream && status == http.StatusOK {
			s.events = &eventStream{}
		}
	}
	return s.err
}

// Data implements dispatch.Sink.
func (s *modelSink) Data(_ uint32, p []byte) error {
	switch {
	case s.err != nil:
	case s.code == 0:
		s.err = errNoHead
	case s.events != nil:
		s.err = s.sendEvents(p)
	case len(s.body)+len(p) > maxWholeAnswerBytes:
		s.err = errAnswerTooLong
	default:
		s.body = append(s.body, p...)
	}
	return s.err
}

func (s *modelSink) sendEvents(p []byte) error {
	whole, err := s.events.take(p)
	if err != nil || len(whole) == 0 {
		return err
	}
	s.beginStream()
	return s.write(whole, true)
}

// beginStream sends the head of a stream, with the verdict as a trailer.
func (s *modelSink) beginStream() {
	if s.status != 0 {
		return
	}
	h := s.w.Header()
	copyAnswerHeaders(h, s.headers)
	h.Del("Content-Length")
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set("Trailer", headerVerdict)
	s.head(http.StatusOK)
}

// finish implements answerSink.
func (s *modelSink) finish(out dispatch.Outcome) *verdict.Error {
	failure := out.Err
	if failure == nil && (s.err != nil || s.code == 0 || (s.events != nil && s.events.end == nil)) {
		failure = errIncomplete(out.Verdict).WithCause(s.err)
	}
	switch {
	case failure != nil && s.status == 0:
		return failure
	case failure != nil:
		s.breakStream(failure)
	case s.events != nil:
		s.beginStream()
		// A caller that is gone does not read the end, and the server closes
		// the connection.
		_ = s.write(s.events.end, false)
		s.w.Header().Set(headerVerdict, out.Verdict.String())
	default:
		h := s.w.Header()
		copyAnswerHeaders(h, s.headers)
		s.whole(s.code, out.Verdict, s.body)
	}
	return nil
}

// breakStream ends a stream with an error event instead of its end. A request
// of which the caller has a part is never called not-run.
func (s *modelSink) breakStream(failure *verdict.Error) {
	e := *failure
	if e.Verdict == verdict.NotRun {
		e.Verdict = verdict.Unknown
	}
	s.g.stats.broken.Inc(1)
	s.g.stats.refused(e.Code)
	var event bytes.Buffer
	event.WriteString("event: error\ndata: ")
	event.Write(mustJSON(struct {
		Error verdict.APIError `json:"error"`
	}{e.APIError(s.idText)}))
	event.WriteString("\n\n")
	_ = s.write(event.Bytes(), false)
	s.w.Header().Set(headerVerdict, e.Verdict.String())
}

// serviceSink streams the answer of a plain service unchanged.
type serviceSink struct {
	*answer
	method  string
	headers []wire.Header
	code    int
	// announced and sent are bytes of the body.
	announced int64
	sent      int64
	err       error
}

// Head implements dispatch.Sink. As for a model, it sends nothing yet.
func (s *serviceSink) Head(status int, headers []wire.Header) error {
	switch {
	case s.status != 0:
		s.err = errTwoHeads
	case !finalStatus(status):
		s.err = errBadStatus
	default:
		s.code, s.headers, s.announced = status, headers, announcedLength(headers)
	}
	return s.err
}

// Data implements dispatch.Sink.
func (s *serviceSink) Data(_ uint32, p []byte) error {
	switch {
	case s.err != nil:
	case s.code == 0:
		s.err = errNoHead
	case len(p) == 0 || !s.hasBody():
	case s.announced >= 0 && s.sent+int64(len(p)) > s.announced:
		s.err = errTooMuch
	default:
		s.begin()
		s.sent += int64(len(p))
		s.err = s.write(p, true)
	}
	return s.err
}

// hasBody reports whether the answer can have a body (RFC 9110, 6.4.1).
func (s *serviceSink) hasBody() bool {
	return s.method != http.MethodHead && s.code != http.StatusNoContent && s.code != http.StatusNotModified
}

// announcedLength returns the length of the body that the head announces, -1 if
// it does not.
func announcedLength(headers []wire.Header) int64 {
	for _, h := range headers {
		if textproto.CanonicalMIMEHeaderKey(h.Name) == "Content-Length" && isDecimal(h.Value) {
			if n, err := strconv.ParseInt(h.Value, 10, 64); err == nil {
				return n
			}
		}
	}
	return -1
}

// isWhole reports whether as much of the body was sent as the head announced.
func (s *serviceSink) isWhole() bool {
	return !s.hasBody() || s.announced < 0 || s.sent == s.announced
}

// begin sends the head of the answer. Its verdict is known already, because the
// service has answered.
func (s *serviceSink) begin() {
	if s.status != 0 {
		return
	}
	h := s.w.Header()
	copyAnswerHeaders(h, s.headers)
	if len(h["Content-Type"]) == 0 {
		h["Content-Type"] = nil // keeps the server from guessing one
	}
	h.Set(headerVerdict, verdict.Ran.String())
	s.head(s.code)
}

// finish implements answerSink. It breaks the connection if the answer broke,
// so that the caller cannot take it for a whole one.
func (s *serviceSink) finish(out dispatch.Outcome) *verdict.Error {
	failure := out.Err
	if failure == nil && (s.err != nil || s.code == 0 || !s.isWhole()) {
		failure = errIncomplete(out.Verdict).WithCause(s.err)
	}
	switch {
	case failure != nil && s.status == 0:
		return failure
	case failure != nil:
		s.g.stats.broken.Inc(1)
		s.g.stats.refused(failure.Code)
		s.broken = true
	default:
		s.begin()
	}
	return nil
}
