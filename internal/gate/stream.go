package gate

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/fleet"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
)

const (
	// streamBufferBytes is the initial size of a stream's buffer, which grows to hold
	// one event.
	streamBufferBytes = 2 << 10
	// maxEventBytes limits the size of one event.
	maxEventBytes = 1 << 20
	// maxCommentBytes limits the comments between two events of a stream.
	maxCommentBytes = 64 << 10
	// stallGaps is the multiple of the route's EventGapObjective after which a resumable
	// stream that sends nothing is moved to another server.
	stallGaps = 3
	// writeMargin is added to the request's deadline for writes to the caller.
	writeMargin = time.Second
)

// streamState is what the caller has received of a stream.
type streamState struct {
	started bool
	// resumed means that the last events came from another server than the first ones.
	resumed bool
	// lastEventID is the ID of the last event, empty if it has none.
	lastEventID string
	eventCount  int
	// answeredBy is the attempt whose server sent the last event, nil if there was none.
	answeredBy *fleet.Attempt
	// answeredSince is when the first event of answeredBy arrived.
	answeredSince time.Time
	// commentBytes is the size of the comments since the last event.
	commentBytes int
}

var errNotContiguous = errors.New("resumed stream does not continue with the next event")

// errNoEvents means that the connection has ended before the first new event.
var errNoEvents = errors.New("connection closed before the first event of the stream")

var errEventTooLarge = errors.New("stream event larger than 1 MiB")

// errStreamTooLong means that a server sends more than the request allows, so that the stream
// may never end and its tokens may exceed what was reserved for them.
var errStreamTooLong = errors.New("stream has more events than declared output tokens, or comments without events")

// relayStream forwards events as they arrive. Only complete events are forwarded,
// so that the stream can be resumed on another server if this one fails.
func (p *proxyRequest) relayStream(r *pendingResponse) outcome {
	control := http.NewResponseController(p.w)
	if r.buffer == nil {
		r.buffer = make([]byte, 0, streamBufferBytes)
		if r.resuming {
			p.gate.stats.streamsResumed.Inc(1)
			r.handoverEnd = time.Now().Add(handoverTime)
		}
	}
	if err := r.setDeadline(p.stallDeadline(r)); err != nil {
		return p.streamBroken(err)
	}
	for {
		if completeLen := completeEventsLen(r.buffer); completeLen > 0 {
			if out, ok := p.relayEvents(control, r, r.buffer[:completeLen]); !ok {
				r.conn.Discard()
				return out
			}
			r.buffer = append(r.buffer[:0], r.buffer[completeLen:]...)
		}
		switch {
		case r.err == io.EOF && len(r.buffer) == 0 && p.lacksEvents(r) && !hasMarkedEnd(r.response):
			r.conn.Discard()
			return p.streamBroken(errNoEvents)
		case r.err == io.EOF && len(r.buffer) == 0:
			r.conn.Release(r.response, r.info.reusable(), r.info.IdleTimeout)
			return p.streamCompleted(r)
		case r.err == io.EOF:
			r.conn.Discard()
			return p.streamBroken(io.ErrUnexpectedEOF)
		case r.err != nil:
			r.conn.Discard()
			return p.streamBroken(r.err)
		}
		if len(r.buffer) == cap(r.buffer) {
			if err := p.growStreamBuffer(r); err != nil {
				r.conn.Discard()
				return p.streamBroken(err)
			}
		}
		if out, ok := p.await(r); !ok {
			return out
		}
		r.read()
	}
}

// lacksEvents reports whether a response has had no new event yet.
func (p *proxyRequest) lacksEvents(r *pendingResponse) bool {
	return r.resuming || p.stream.eventCount == 0
}

// hasMarkedEnd reports whether the end of a response's body is marked, and is not just that of its
// connection. Only then does a stream without new events count as complete: the server says that
// none follow those that the caller has. An unmarked end may be that of a server that has failed
// before its first event.
func hasMarkedEnd(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || response.Body == http.NoBody
}

// relayEvents forwards complete events of a response and extends its deadline. It reports false,
// with the outcome of the attempt, if the stream cannot go on.
func (p *proxyRequest) relayEvents(control *http.ResponseController, r *pendingResponse, events []byte) (outcome, bool) {
	if r.resuming || p.stream.resumed {
		var contiguous bool
		if events, contiguous = p.continueEvents(events, !r.resuming); !contiguous {
			return p.streamBroken(errNotContiguous), false
		}
	}
	count, lastID := scanEvents(events)
	if r.resuming && count > 0 {
		_, p.stream.resumed = p.resumePoint()
		r.resuming = false
	}
	if p.exceedsStream(count, len(events)) {
		return p.streamBroken(errStreamTooLong), false
	}
	if !p.stream.started && !p.beginStream() {
		return p.streamBroken(errDrainEnds), false
	}
	if count > 0 || !p.stream.started {
		p.discardPending() // this server has taken over, or its header is about to be sent
	}
	if err := p.deliver(control, r.response, events, count, lastID); err != nil {
		return outcome{done: true, truncated: true, result: fleet.Canceled, verdict: verdict.Ran, code: verdict.CodeCanceled, err: err}, false
	}
	if count > 0 {
		p.noteEvents(r.attempt)
		r.stalled, r.waited = false, false
	}
	// Comments and parts of an event do not extend the deadline: a stalled stream can
	// go on sending them.
	if count > 0 || len(events) == 0 {
		if err := r.setDeadline(p.stallDeadline(r)); err != nil {
			return p.streamBroken(err), false
		}
	}
	return outcome{}, true
}

// growStreamBuffer doubles the buffer of a response, up to maxEventBytes.
func (p *proxyRequest) growStreamBuffer(r *pendingResponse) error {
	if cap(r.buffer) >= maxEventBytes {
		return errEventTooLarge
	}
	grown, err := growBuffer(r.buffer, 2*int64(cap(r.buffer)), &p.memory)
	if err == nil {
		r.buffer = grown
	}
	return err
}

// exceedsStream reports whether the stream would be too long with count more events, or with as
// many bytes of comments if count is 0. An event holds at least one token, but for one that ends
// the stream.
func (p *proxyRequest) exceedsStream(count, size int) bool {
	if count == 0 {
		return p.stream.commentBytes+size > maxCommentBytes
	}
	return p.requestInfo.TokensDeclared && int64(p.stream.eventCount+count) > p.requestInfo.MaxOutputTokens+1
}

// stallDeadline returns when to stop waiting for the next event of a stream: at the
// request's deadline, or, if the stream can be resumed on another server, after
// stallGaps times EventGapObjective if that is earlier. Until the first event it waits
// at least for the latency objective.
func (p *proxyRequest) stallDeadline(r *pendingResponse) time.Time {
	if r.waited || !p.route.Resumable || !p.canResume() || p.attemptsSent >= p.route.MaxAttempts || p.route.EventGapObjective <= 0 {
		return p.deadline
	}
	gap := p.route.EventGapObjective * stallGaps
	if !p.stream.started {
		gap = max(gap, p.route.LatencyObjective)
	}
	if at := time.Now().Add(gap); at.Before(p.deadline) {
		return at
	}
	return p.deadline
}

// resumePoint returns the ID of the last event that the caller has, perhaps from another request.
// It reports false if the caller has none, or if its ID is not a number.
func (p *proxyRequest) resumePoint() (id int64, ok bool) {
	text := p.stream.lastEventID
	if p.stream.eventCount == 0 {
		text = p.requestInfo.LastEventID
	}
	id, err := strconv.ParseInt(text, 10, 64)
	return id, err == nil
}

// canResume reports whether another server could continue the stream: the caller has no event, or
// the ID of the last one tells which is next.
func (p *proxyRequest) canResume() bool {
	_, ok := p.resumePoint()
	return ok || p.stream.eventCount == 0
}

// continueEvents removes the events that the caller has from those of a resumed stream. It reports
// false if the rest does not continue the stream. Without a resume point there is nothing to
// continue, and the events are returned unchanged.
func (p *proxyRequest) continueEvents(events []byte, begun bool) (rest []byte, contiguous bool) {
	delivered, ok := p.resumePoint()
	if !ok {
		return events, true
	}
	return continuation(events, delivered, begun)
}

// continuation removes the events up to the ID delivered, and the comments among them, from the
// start of events. It reports false if the rest are not the events after that ID, in order and
// without a gap: the server may have sent something else than the stream. begun means that the
// server has sent events after those that the caller had, so that none may be repeated.
func continuation(events []byte, delivered int64, begun bool) (rest []byte, contiguous bool) {
	rest = events
	for at := 0; at < len(events); {
		n := firstEventLen(events[at:])
		event := events[at : at+n]
		at += n
		if isComment(event) {
			continue
		}
		_, text := scanEvents(event)
		id, err := strconv.ParseInt(text, 10, 64)
		switch {
		case err != nil:
			return nil, false
		case id <= delivered && !begun:
			rest = events[at:]
		case id == delivered+1:
			delivered, begun = id, true
		default:
			return nil, false
		}
	}
	return rest, true
}

// isComment reports whether a complete event has only comments and reconnection times.
func isComment(event []byte) bool {
	for line := range bytes.Lines(event) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) > 0 && line[0] != ':' && !bytes.HasPrefix(line, []byte("retry:")) {
			return false
		}
	}
	return true
}

// firstEventLen returns the length of the first of the given complete events.
func firstEventLen(events []byte) int {
	size := 0
	for line := range bytes.Lines(events) {
		size += len(line)
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			break
		}
	}
	return size
}

// deliver forwards complete events to the caller. count of them have data or an ID, and lastID is the
// last ID.
func (p *proxyRequest) deliver(control *http.ResponseController, response *http.Response, events []byte, count int, lastID string) error {
	if !p.stream.started {
		p.stream.started = true
		p.writeStreamHeader(response)
	}
	if len(events) == 0 {
		return nil
	}
	writing := time.Now()
	_, err := p.w.Write(events)
	if err == nil {
		err = control.Flush()
	}
	p.writeTime += time.Since(writing)
	if err != nil {
		return err
	}
	p.stream.eventCount += count
	p.stream.commentBytes += len(events)
	if count > 0 {
		p.stream.commentBytes, p.stream.lastEventID = 0, lastID
	}
	p.gate.stats.events.Inc(int64(count))
	return nil
}

// writeStreamHeader sends a response header to the caller. A resumed stream continues
// under the header that was sent first.
func (p *proxyRequest) writeStreamHeader(response *http.Response) {
	p.limitWrites()
	p.writeHeader(response, unknownLength)
}

// streamCompleted returns the outcome of a stream that the server completed. It sends
// the header of a stream without events.
func (p *proxyRequest) streamCompleted(r *pendingResponse) outcome {
	if !p.stream.started {
		p.writeStreamHeader(r.response)
	}
	if !p.stream.resumed && p.requestInfo.LastEventID == "" {
		r.attempt.StreamEnded(p.declaredEvents(), time.Now().Add(-p.writeTime))
	}
	if hasMarkedEnd(r.response) {
		p.reportSound()
	} else {
		p.checkUnmarkedEnd(r.attempt)
	}
	return outcome{done: true, result: fleet.Answered, verdict: verdict.Ran}
}

// streamBroken returns the outcome of an attempt whose stream broke. Its verdict is
// Ran, because the server has begun to respond.
func (p *proxyRequest) streamBroken(err error) outcome {
	out := p.connectionLost(err)
	out.verdict = verdict.Ran
	return out
}

// completeEventsLen returns the length of the complete events at the start of b. An
// empty line ends an event.
func completeEventsLen(b []byte) int {
	lf := bytes.LastIndex(b, []byte("\n\n"))
	crlf := bytes.LastIndex(b, []byte("\r\n\r\n"))
	end := 0
	if lf >= 0 {
		end = lf + 2
	}
	if crlf >= 0 {
		end = max(end, crlf+4)
	}
	return end
}

// scanEvents counts the events in b that have data or an ID, and returns the ID of the
// last of them, empty if it has none. b must hold complete events.
func scanEvents(b []byte) (count int, lastID string) {
	id, hasDataOrID := "", false
	for len(b) > 0 {
		line, rest, _ := bytes.Cut(b, []byte("\n"))
		b = rest
		line = bytes.TrimSuffix(line, []byte("\r"))
		switch {
		case len(line) == 0:
			if hasDataOrID {
				count++
				lastID = id
			}
			id, hasDataOrID = "", false
		case bytes.HasPrefix(line, []byte("id:")):
			id, hasDataOrID = string(bytes.TrimSpace(line[len("id:"):])), true
		case bytes.HasPrefix(line, []byte("data")):
			hasDataOrID = true
		}
	}
	return count, lastID
}
