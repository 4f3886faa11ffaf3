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

// maxBufferedBytes is the maximum size of a response that is buffered until it is
// complete. More than 100,000 tokens of typical length fit as JSON.
const maxBufferedBytes = 16 << 20

// maxEventBytes is the maximum size of an event of a stream.
const maxEventBytes = 1 << 20

// Errors of the sinks. Each ends a call whose response cannot be relayed.
var (
	errNoHead           = errors.New("data before the response head")
	errSecondHead       = errors.New("second response head after the first was sent")
	errBadStatus        = errors.New("response status out of range")
	errResponseTooLarge = errors.New("response too large to be buffered")
	errEventTooLarge    = errors.New("stream event too large")
	errExcessData       = errors.New("response body longer than its Content-Length")
	errDataAfterDone    = errors.New("data after the [DONE] event")
)

// errIncomplete returns the error that is sent to a caller if the call ended without
// an error but its response is not complete.
func errIncomplete(v verdict.Verdict) *verdict.Error {
	return verdict.New(v, verdict.CodeServerError, "the backend server's answer is not complete")
}

// isFinalStatus reports whether status is valid for a final response.
func isFinalStatus(status int) bool { return status >= 200 && status <= 599 }

// modelSink relays the response of a model engine: as a stream of events if the
// caller requested one and the engine's status is 200, otherwise buffered.
type modelSink struct {
	*response
	stream       bool
	headers      []wire.Header
	serverStatus int    // status of the engine's response, 0 before its head
	body         []byte // of a buffered response
	splitter     *eventSplitter
	err          error
}

func newModelSink(r *response, stream bool) *modelSink {
	return &modelSink{response: r, stream: stream}
}

// Head implements dispatch.Sink. Nothing is sent before the first data, so that an
// earlier failure can still be reported by the status, and another head can replace
// this one.
func (s *modelSink) Head(status int, headers []wire.Header) error {
	switch {
	case s.status != 0:
		s.err = errSecondHead
	case !isFinalStatus(status):
		s.err = errBadStatus
	default:
		s.serverStatus, s.headers, s.body, s.splitter = status, headers, nil, nil
		if s.stream && status == http.StatusOK {
			s.splitter = &eventSplitter{}
		}
	}
	return s.err
}

// Data implements dispatch.Sink.
func (s *modelSink) Data(_ uint32, p []byte) error {
	switch {
	case s.err != nil:
	case s.serverStatus == 0:
		s.err = errNoHead
	case s.splitter != nil:
		s.err = s.sendEvents(p)
	case len(s.body)+len(p) > maxBufferedBytes:
		s.err = errResponseTooLarge
	default:
		s.body = append(s.body, p...)
	}
	return s.err
}

func (s *modelSink) sendEvents(p []byte) error {
	complete, err := s.splitter.split(p)
	if err != nil || len(complete) == 0 {
		return err
	}
	s.startStream()
	return s.write(complete, true)
}

// startStream sends the head of a stream, which announces the verdict as a trailer.
func (s *modelSink) startStream() {
	if s.status != 0 {
		return
	}
	h := s.w.Header()
	copyResponseHeaders(h, s.headers)
	h.Del("Content-Length")
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set("Trailer", headerVerdict)
	s.writeHead(http.StatusOK)
}

// finish implements responseSink.
func (s *modelSink) finish(out dispatch.Outcome) *verdict.Error {
	failure := out.Err
	if failure == nil && (s.err != nil || s.serverStatus == 0 || (s.splitter != nil && s.splitter.doneEvent == nil)) {
		failure = errIncomplete(out.Verdict).WithCause(s.err)
	}
	switch {
	case failure != nil && s.status == 0:
		return failure
	case failure != nil:
		s.failStream(failure)
	case s.splitter != nil:
		s.startStream()
		// If the caller has disconnected the write fails, and the HTTP server closes
		// the connection.
		_ = s.write(s.splitter.doneEvent, false)
		s.w.Header().Set(headerVerdict, out.Verdict.String())
	default:
		h := s.w.Header()
		copyResponseHeaders(h, s.headers)
		s.writeComplete(s.serverStatus, out.Verdict, s.body)
	}
	return nil
}

// failStream ends a stream with an error event instead of [DONE]. The verdict is
// never not-run, because the caller has received a part of the response.
func (s *modelSink) failStream(failure *verdict.Error) {
	e := *failure
	if e.Verdict == verdict.NotRun {
		e.Verdict = verdict.Unknown
	}
	s.g.stats.brokenResponses.Inc(1)
	s.g.stats.countError(e.Code)
	var event bytes.Buffer
	event.WriteString("event: error\ndata: ")
	event.Write(mustJSON(struct {
		Error verdict.APIError `json:"error"`
	}{e.APIError(s.idText)}))
	event.WriteString("\n\n")
	_ = s.write(event.Bytes(), false)
	s.w.Header().Set(headerVerdict, e.Verdict.String())
}

// serviceSink streams the response of a plain service. The body is relayed unchanged, the
// header fields without those that are not forwardable.
type serviceSink struct {
	*response
	method       string
	headers      []wire.Header
	serverStatus int // status of the service's response, 0 before its head
	// contentLength is the Content-Length of the response, -1 if it has none.
	contentLength int64
	// sentBytes is the number of bytes of the body that have been sent.
	sentBytes int64
	err       error
}

// Head implements dispatch.Sink. Like modelSink.Head it sends nothing yet.
func (s *serviceSink) Head(status int, headers []wire.Header) error {
	switch {
	case s.status != 0:
		s.err = errSecondHead
	case !isFinalStatus(status):
		s.err = errBadStatus
	default:
		s.serverStatus, s.headers, s.contentLength = status, headers, parseContentLength(headers)
	}
	return s.err
}

// Data implements dispatch.Sink.
func (s *serviceSink) Data(_ uint32, p []byte) error {
	switch {
	case s.err != nil:
	case s.serverStatus == 0:
		s.err = errNoHead
	case len(p) == 0 || !s.hasBody():
	case s.contentLength >= 0 && s.sentBytes+int64(len(p)) > s.contentLength:
		s.err = errExcessData
	default:
		s.start()
		s.sentBytes += int64(len(p))
		s.err = s.write(p, true)
	}
	return s.err
}

// hasBody reports whether the response can have a body (RFC 9110, 6.4.1).
func (s *serviceSink) hasBody() bool {
	return s.method != http.MethodHead && s.serverStatus != http.StatusNoContent && s.serverStatus != http.StatusNotModified
}

// parseContentLength returns the Content-Length of a response, -1 if it has none.
func parseContentLength(headers []wire.Header) int64 {
	for _, h := range headers {
		if textproto.CanonicalMIMEHeaderKey(h.Name) == "Content-Length" && isDecimal(h.Value) {
			if n, err := strconv.ParseInt(h.Value, 10, 64); err == nil {
				return n
			}
		}
	}
	return -1
}

// isComplete reports whether the whole body has been sent, as far as its length is
// known.
func (s *serviceSink) isComplete() bool {
	return !s.hasBody() || s.contentLength < 0 || s.sentBytes == s.contentLength
}

// start sends the head of the response. The verdict is ran, because the service has
// responded.
func (s *serviceSink) start() {
	if s.status != 0 {
		return
	}
	h := s.w.Header()
	copyResponseHeaders(h, s.headers)
	if len(h["Content-Type"]) == 0 {
		h["Content-Type"] = nil // keeps net/http from detecting one
	}
	h.Set(headerVerdict, verdict.Ran.String())
	s.writeHead(s.serverStatus)
}

// finish implements responseSink. It aborts the connection if the response is
// truncated, so that the caller cannot take it for a complete one.
func (s *serviceSink) finish(out dispatch.Outcome) *verdict.Error {
	failure := out.Err
	if failure == nil && (s.err != nil || s.serverStatus == 0 || !s.isComplete()) {
		failure = errIncomplete(out.Verdict).WithCause(s.err)
	}
	switch {
	case failure != nil && s.status == 0:
		return failure
	case failure != nil:
		s.g.stats.brokenResponses.Inc(1)
		s.g.stats.countError(failure.Code)
		s.truncated = true
	default:
		s.start()
	}
	return nil
}
