package gate

import (
	"context"
	"errors"
	"io"
	"mime"
	"net"
	"net/http"
	"slices"
	"syscall"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/monsoonworks/monsoonworks/internal/admission"
	"github.com/monsoonworks/monsoonworks/internal/catalog"
	"github.com/monsoonworks/monsoonworks/internal/fleet"
	"github.com/monsoonworks/monsoonworks/internal/placement"
	"github.com/monsoonworks/monsoonworks/internal/telemetry"
	"github.com/monsoonworks/monsoonworks/internal/upstream"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
)

const (
	// minRemaining is the time before the deadline within which no attempt is started
	// and a timeout counts as an exceeded deadline.
	minRemaining = 5 * time.Millisecond
	// maxMismatchedResponses is how many responses to other requests are skipped on a
	// connection before it is closed.
	maxMismatchedResponses = 2
	// maxResponseBytes limits a buffered response body.
	maxResponseBytes = 16 << 20
	// maxDiscardedBytes limits the body of a response that is discarded so that its
	// connection can be used further.
	maxDiscardedBytes = 64 << 10
	// connectionDivisor limits one gate to 1/connectionDivisor of the MaxConnections of
	// each server of a service, because all gates share them.
	connectionDivisor = 3
)

// outcome is the result of one attempt.
type outcome struct {
	// done means that the response was written to the caller, or that writing it failed.
	done bool
	// truncated means that the rest of the response could not be written to the caller.
	// It is set only together with done.
	truncated bool
	result    fleet.Result
	// verdict states whether the request ran at the server. code is recorded in the
	// trace; after the last attempt, CodeDeadlineExceeded is also reported to the caller.
	verdict verdict.Verdict
	code    verdict.Code
	err     error
	// response and body are a 5xx response from the server itself. It is relayed if
	// no further attempt is made.
	response *http.Response
	body     []byte
	// pending is the response if it can be continued. It is set if the server was silent for too
	// long, or if another server has continued first.
	pending *pendingResponse
	// next is the pending response that continues, or pending itself.
	next *pendingResponse
	// crashed means that the request has probably crashed the server.
	crashed bool
	// refusedOn is the connection on which the server refused the request, nil if it did not.
	refusedOn *upstream.Conn
}

// attemptRecord is the log entry of one attempt.
type attemptRecord struct {
	Server string           `json:"server"`
	Reason placement.Reason `json:"reason"`
	// AwaitingFirstByte is the number of this gate's other requests that awaited their
	// first byte from the server when the attempt began.
	AwaitingFirstByte int    `json:"waiting"`
	Result            string `json:"result"`
	Millis            int64  `json:"ms"`
	// FirstByteMillis is the time to the first byte, 0 if there was none.
	FirstByteMillis int64  `json:"first_ms"`
	Err             string `json:"error,omitempty"`
	// refusedOn is as in outcome.
	refusedOn *upstream.Conn
}

// forward sends the request to one server after another until a response is relayed
// or no further attempt can be made. It reports whether the caller has a complete
// response.
func (p *proxyRequest) forward() (complete bool) {
	retryBudget := p.gate.retryBudget(p.service.Name)
	retryBudget.CountRequest()
	defer p.discardPending()
	var last, reported *outcome
	for {
		out, ok := p.nextAttempt(last, retryBudget)
		if !ok {
			return p.finish(reported)
		}
		if out.done {
			return !out.truncated
		}
		if out.pending != nil {
			p.pending = append(p.pending, out.pending)
		}
		last = &out
		if reported == nil || reported.response == nil {
			reported = &out
		}
	}
}

// nextAttempt makes an attempt after one with the outcome last, nil before the first. If another
// server has continued first, or none can be tried, it goes on with a pending response instead. It
// reports false if there is none.
func (p *proxyRequest) nextAttempt(last *outcome, retryBudget *admission.RetryBudget) (outcome, bool) {
	if last != nil && last.next != last.pending {
		return p.continuePending(last.next), true
	}
	if p.livePending() == nil && (last == nil || p.canRetry(*last)) {
		if server, reason := p.chooseNext(retryBudget); server != nil {
			return p.attempt(server, reason), true
		}
	}
	if len(p.pending) > 0 {
		return p.continuePending(nil), true
	}
	return outcome{}, false
}

// chooseNext picks the server for the next attempt, nil if there is none, no time or no retry
// budget left.
func (p *proxyRequest) chooseNext(retryBudget *admission.RetryBudget) (*fleet.Server, placement.Reason) {
	if p.attemptsSent > 0 && p.quarantined() != nil {
		return nil, ""
	}
	server, reason := p.choose()
	if server == nil || p.ctx.Err() != nil || time.Until(p.deadline) < minRemaining {
		return nil, ""
	}
	if p.attemptsSent > 0 && !retryBudget.Allow() {
		p.gate.stats.retriesDenied.Inc(1)
		return nil, ""
	}
	return server, reason
}

// canRetry reports whether the request may be sent to another server after an
// attempt with the given outcome.
func (p *proxyRequest) canRetry(out outcome) bool {
	if p.attemptsSent >= p.route.MaxAttempts || out.crashed || p.ctx.Err() != nil {
		return false
	}
	return out.verdict == verdict.NotRun && !p.mayHaveRun || p.route.Idempotent() && p.canResume()
}

// finish ends a request that no server completed successfully. It reports whether
// the caller has a complete response.
func (p *proxyRequest) finish(last *outcome) (complete bool) {
	switch {
	case p.r.Context().Err() != nil:
		p.gate.stats.callersDisconnected.Inc(1)
		p.code = verdict.CodeCanceled
		return false
	case p.stream.started:
		p.gate.stats.streamsBroken.Inc(1)
		p.code, p.detail = verdict.CodeServerLost, "the stream broke and cannot be resumed on another server"
		return false
	case last != nil && last.response != nil:
		return p.writeResponse(last.response, last.body) == nil
	case p.mayHaveRun:
		p.refuse(p.unknownOutcomeError(last))
	case p.drainEnds():
		p.refuse(drainRefusal("the drain ended before a server got the request"))
	case last == nil:
		p.refuse(verdict.New(verdict.NotRun, verdict.CodeNoServer, "no server is available").WithRetryAfter(p.retryAfter()))
	default:
		p.refuse(verdict.New(verdict.NotRun, verdict.CodeOverloaded, "no server accepted the request").WithRetryAfter(p.retryAfter()))
	}
	return true
}

// unknownOutcomeError returns the error of a request that may have run.
func (p *proxyRequest) unknownOutcomeError(last *outcome) *verdict.Error {
	if p.drainEnds() {
		return verdict.New(verdict.Unknown, verdict.CodeServerLost, "the drain ended before the response began")
	}
	if last != nil && last.code == verdict.CodeDeadlineExceeded {
		return verdict.New(verdict.Unknown, verdict.CodeDeadlineExceeded, "the server did not respond before the deadline")
	}
	return verdict.New(verdict.Unknown, verdict.CodeServerLost, "the connection was lost before the response was complete")
}

// attempt sends the request to one server. It relays a valid response, except a
// refusal or a 5xx response, after which another server may succeed.
func (p *proxyRequest) attempt(s *fleet.Server, reason placement.Reason) outcome {
	started := time.Now()
	record := attemptRecord{Server: s.ID, Reason: reason, AwaitingFirstByte: s.AwaitingFirstByte()}
	p.attemptedServerIDs = append(p.attemptedServerIDs, s.ID)
	p.gate.stats.attempts.Inc(1)
	_, span := telemetry.StartSpan(p.ctx, spanAttempt,
		attribute.String("monsoon.server", s.ID), attribute.String("monsoon.reason", string(reason)))
	attempt := s.Begin(p.promptClass(), started)
	out := p.roundTrip(s, attempt)
	telemetry.EndSpan(span, string(out.code))
	p.endAttempt(attempt, &record, started, &out)
	return out
}

// endAttempt records the outcome of an attempt. If its response is pending, the attempt goes on.
func (p *proxyRequest) endAttempt(attempt *fleet.Attempt, record *attemptRecord, started time.Time, out *outcome) {
	now := time.Now()
	record.Result = resultNames[out.result]
	switch {
	case out.pending == nil:
		attempt.End(out.result, now)
		out.crashed = p.causedCrash(attempt, out.err)
	case !out.pending.stalled:
		record.Result = resultPending
	}
	record.refusedOn, record.Millis = out.refusedOn, now.Sub(started).Milliseconds()
	record.FirstByteMillis = attempt.TimeToFirstByte().Milliseconds()
	if out.err != nil {
		record.Err = out.err.Error()
	}
	p.attemptRecords = append(p.attemptRecords, *record)
	if out.verdict != verdict.NotRun {
		p.mayHaveRun = true
	}
}

// promptClass returns LongPrompt for prompts with at least the policy's
// LongPromptTokens; the first byte of their responses is expected later. For a query
// without prompt parts it returns ShortPrompt.
func (p *proxyRequest) promptClass() fleet.PromptClass {
	if p.gate.opts.Policy.IsLong(&p.query) {
		return fleet.LongPrompt
	}
	return fleet.ShortPrompt
}

// resultNames holds the values of the result in the request log.
var resultNames = map[fleet.Result]string{
	fleet.Answered: "answered", fleet.ServerError: "server-error", fleet.Shed: "shed",
	fleet.Unreachable: "unreachable", fleet.ConnectionFailed: "broken", fleet.TimedOut: "silent",
	fleet.Misdirected: "misdirected", fleet.Canceled: "abandoned",
}

// errDeadlinePassed means that the deadline passed before anything was sent.
var errDeadlinePassed = errors.New("the deadline passed while a connection was opened")

// roundTrip gets a connection, sends the request and handles the response.
func (p *proxyRequest) roundTrip(s *fleet.Server, attempt *fleet.Attempt) outcome {
	ctx := p.ctx
	conn, err := p.connectAdmitted(ctx, attempt)
	if err != nil {
		return p.connectFailure(err)
	}
	info := p.forwardInfo(s)
	if info.Timeout < minRemaining {
		conn.Discard()
		return outcome{result: fleet.Canceled, verdict: verdict.NotRun, code: verdict.CodeDeadlineExceeded, err: errDeadlinePassed}
	}
	if p.attemptsSent > 0 {
		p.gate.stats.retries.Inc(1)
	}
	p.attemptsSent++
	request := &upstream.Request{
		Method: p.r.Method, Target: p.r.RequestURI, Host: p.r.Host, Body: p.body,
		Header: p.gate.opts.Protocol.ForwardHeader(p.r.Header, info),
	}
	if err := conn.Send(ctx, request); errors.Is(err, upstream.ErrNotSent) {
		conn.Discard()
		return outcome{result: fleet.ConnectionFailed, verdict: verdict.NotRun, code: verdict.CodeServerLost, err: err}
	}
	// After a failed write there may still be a response: a server can refuse a body
	// before it has read all of it.
	return p.readResponse(&pendingResponse{conn: conn, attempt: attempt, deadline: p.firstByteDeadline()})
}

// connect returns a connection on which this request was not refused before: a second copy of the
// refusal would have its ID.
func (p *proxyRequest) connect(ctx context.Context, address string) (*upstream.Conn, error) {
	for {
		conn, err := p.gate.opts.Pool.Get(ctx, address, connectionLimit(p.service))
		refusedOn := func(r attemptRecord) bool { return r.refusedOn == conn }
		if err != nil || !slices.ContainsFunc(p.attemptRecords, refusedOn) {
			return conn, err
		}
		conn.Discard()
	}
}

// connectFailure returns the outcome of an attempt that got no connection.
func (p *proxyRequest) connectFailure(err error) outcome {
	result := fleet.Unreachable
	switch {
	case p.ctx.Err() != nil, errors.Is(err, errNotAdmitted):
		result = fleet.Canceled
	case errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE):
		result = fleet.Canceled // this process or host is out of file descriptors; the server did not fail
	case errors.Is(err, upstream.ErrTooManyConnections):
		result = fleet.Shed
	}
	return outcome{result: result, verdict: verdict.NotRun, code: verdict.CodeNoServer, err: err}
}

func connectionLimit(s *catalog.Service) int {
	if s.MaxConnections <= 0 {
		return 0
	}
	return max(s.MaxConnections/connectionDivisor, 1)
}

func (p *proxyRequest) forwardInfo(s *fleet.Server) ForwardInfo {
	info := ForwardInfo{
		Instance: s.ID, Timeout: time.Until(p.deadline), Priority: p.enginePriority(), LastEventID: p.requestInfo.LastEventID,
	}
	if p.workspace != nil {
		info.Workspace = p.workspace.Name
	}
	if p.stream.lastEventID != "" {
		info.LastEventID = p.stream.lastEventID
	}
	return info
}

// readResponse reads responses until the one to this request arrives.
func (p *proxyRequest) readResponse(r *pendingResponse) outcome {
	conn, attempt := r.conn, r.attempt
	if err := r.setDeadline(r.deadline); err != nil {
		return p.connectionLost(err)
	}
	if out, ok := p.await(r); !ok {
		return out
	}
	for range maxMismatchedResponses + 1 {
		response, err := conn.ReadResponse(p.r.Method)
		if err != nil {
			conn.Discard()
			return p.connectionLost(err)
		}
		info := p.gate.opts.Protocol.ParseResponse(response.Header)
		if p.isMismatched(info, response, conn.Reused()) {
			p.gate.stats.mismatchedResponses.Inc(1)
			if info.ID == "" && (info.NotRun || response.StatusCode == http.StatusServiceUnavailable) {
				// Whichever request it refuses, this server said so.
				p.gate.updateMembership(attempt.Server(), conn, response.StatusCode, info)
			}
			if !drainBody(response) {
				break
			}
			continue
		}
		attempt.FirstByte(time.Now())
		p.gate.updateMembership(attempt.Server(), conn, response.StatusCode, info)
		return p.handleResponse(conn, response, info, attempt)
	}
	conn.Discard()
	return outcome{result: fleet.ConnectionFailed, verdict: verdict.Unknown, code: verdict.CodeServerLost, err: errMismatched}
}

var errMismatched = errors.New("connection closed after responses to other requests")

// isMismatched reports whether a response belongs to another request. A response
// without an ID counts as such, unless it is a refusal: a server that refuses a
// request may omit the ID. On a reused connection such a refusal can be a second copy
// of an earlier one, so there it counts as mismatched, too.
func (p *proxyRequest) isMismatched(info ResponseInfo, response *http.Response, reused bool) bool {
	if info.ID != "" {
		return info.ID != p.requestInfo.ID
	}
	return reused || !info.NotRun && response.StatusCode != http.StatusMisdirectedRequest
}

// drainBody discards the body of a response. It reports false if no further response
// can follow on the connection: the server closes it after this response, or the body
// is too large or cannot be read.
func drainBody(response *http.Response) bool {
	if response.Close || response.ContentLength > maxDiscardedBytes || response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxDiscardedBytes+1))
	return err == nil && n <= maxDiscardedBytes
}

// firstByteDeadline returns when to stop waiting for the first byte of a response:
// at the request's deadline, or, if the request can be retried, after 1.5 times the
// route's latency objective if that is earlier, so that time is left for another
// server.
func (p *proxyRequest) firstByteDeadline() time.Time {
	if !p.route.Idempotent() || p.attemptsSent >= p.route.MaxAttempts || p.route.LatencyObjective <= 0 {
		return p.deadline
	}
	wait := p.route.LatencyObjective * 3 / 2
	if at := time.Now().Add(wait); at.Before(p.deadline) {
		return at
	}
	return p.deadline
}

// connectionLost returns the outcome of an attempt whose connection failed or timed
// out after the request was sent.
func (p *proxyRequest) connectionLost(err error) outcome {
	out := outcome{result: fleet.ConnectionFailed, verdict: verdict.Unknown, code: verdict.CodeServerLost, err: err}
	var netErr net.Error
	switch {
	case p.ctx.Err() != nil:
		out.result = fleet.Canceled
	case errors.Is(err, errMemoryUsedUp):
		out.result = fleet.Canceled // the server did not fail
	case errors.As(err, &netErr) && netErr.Timeout():
		out.result = fleet.TimedOut
		if time.Until(p.deadline) < minRemaining {
			out.code = verdict.CodeDeadlineExceeded
		}
	}
	return out
}

// handleResponse relays the response to this request, or rejects it if the server
// did not run the request or the response is not valid. A 400 response is the
// caller's error: it is relayed although the request did not run.
func (p *proxyRequest) handleResponse(conn *upstream.Conn, response *http.Response, info ResponseInfo, attempt *fleet.Attempt) outcome {
	status := response.StatusCode
	switch {
	case status == http.StatusMisdirectedRequest:
		conn.Discard()
		return outcome{result: fleet.Misdirected, verdict: verdict.NotRun, code: verdict.CodeNoServer}
	case info.NotRun && status != http.StatusBadRequest:
		reusable := info.reusable() && drainBody(response)
		conn.Release(response, reusable, info.IdleTimeout)
		return outcome{refusedOn: conn, result: fleet.Shed, verdict: verdict.NotRun, code: verdict.CodeOverloaded}
	case info.Encoded, !info.Stamped && !info.NotRun, impliesNotRun(status) && !info.NotRun:
		conn.Discard()
		return outcome{result: fleet.ConnectionFailed, verdict: verdict.Unknown, code: verdict.CodeServerError, err: errInvalidResponse}
	case p.stream.started && !continuesStream(response):
		conn.Release(response, info.ID != "" && drainBody(response), info.IdleTimeout)
		return outcome{result: fleet.ServerError, verdict: verdict.Ran, code: verdict.CodeServerError, err: errNoContinuation}
	case p.route.Kind == catalog.Stream && status < 300:
		return p.relayStream(&pendingResponse{conn: conn, attempt: attempt, response: response, info: info, resuming: p.stream.started})
	}
	return p.relayBuffered(conn, response, info)
}

var errNoContinuation = errors.New("the response is not the continuation of an event stream")

// continuesStream reports whether the body of a response can continue a stream that another server
// began.
func continuesStream(response *http.Response) bool {
	contentType := response.Header.Get("Content-Type")
	mediaType, _, err := mime.ParseMediaType(contentType)
	return response.StatusCode == http.StatusOK && (contentType == "" || err == nil && mediaType == "text/event-stream")
}

var errInvalidResponse = errors.New("invalid response: encoded, without a server stamp, or a refusal without the not-run header")

// impliesNotRun reports whether callers take a status to mean that the request did
// not run. A response with such a status is invalid unless the server confirms that
// it did not run the request.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
