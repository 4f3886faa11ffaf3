package gate

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/monsoonworks/monsoonworks/internal/catalog"
	"github.com/monsoonworks/monsoonworks/internal/fleet"
	"github.com/monsoonworks/monsoonworks/internal/placement"
	"github.com/monsoonworks/monsoonworks/internal/telemetry"
	"github.com/monsoonworks/monsoonworks/internal/upstream"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
)

// Figures of attempts.
const (
	// minLeft is the time left below which a request is not sent any more.
	minLeft = 5 * time.Millisecond
	// maxForeign is the number of answers to other requests that are skipped on one
	// connection before it is closed.
	maxForeign = 2
	// maxAnswerBytes bounds an answer that is relayed whole.
	maxAnswerBytes = 16 << 20
	// connectionShare is the part of a server's connections that one gate uses at
	// most, as one in connectionShare.
	connectionShare = 3
)

// end is how an attempt ended.
type end struct {
	// done means that the caller has its answer, or is gone.
	done bool
	// broken means that the caller has a part of an answer that cannot be
	// completed by this attempt.
	broken bool
	result fleet.Result
	// verdict and code say what the caller is told if nothing else helps.
	verdict verdict.Verdict
	code    verdict.Code
	err     error
	// answer is a failure that the server itself gave; it is relayed if no other
	// attempt is made.
	answer *http.Response
	body   []byte
}

// attemptRecord is an attempt in the log.
type attemptRecord struct {
	Server  string           `json:"server"`
	Reason  placement.Reason `json:"reason"`
	Waiting int              `json:"waiting"`
	Result  string           `json:"result"`
	Millis  int64            `json:"ms"`
	FirstMs int64            `json:"first_ms"`
	Err     string           `json:"error,omitempty"`
}

// run sends the request to servers until one answers or nothing else can be done.
// It reports whether the caller has a whole answer.
func (x *exchange) run() (complete bool) {
	retries := x.gate.retryBudget(x.service.Name)
	retries.CountRequest()
	var last *end
	for {
		server, reason := x.choose()
		if server == nil || time.Until(x.final) < minLeft {
			break
		}
		if x.sent > 0 && !retries.Allow() {
			x.gate.stats.noRetry.Inc(1)
			break
		}
		e := x.attempt(server, reason)
		last = &e
		if e.done {
			return !e.broken
		}
		if !x.mayRetry(e) {
			break
		}
	}
	return x.finish(last)
}

// mayRetry reports whether the request may be sent to another server after an
// attempt that ended like this.
func (x *exchange) mayRetry(e end) bool {
	if x.sent >= x.route.MaxAttempts || x.r.Context().Err() != nil {
		return false
	}
	return e.verdict == verdict.NotRun && !x.mayRan || x.route.Idempotent()
}

// finish tells the caller what became of a request that no server answered with
// success.
func (x *exchange) finish(last *end) (complete bool) {
	switch {
	case x.r.Context().Err() != nil:
		x.gate.stats.left.Inc(1)
		x.code = verdict.CodeCanceled
		return false
	case x.stream.begun:
		x.gate.stats.broken.Inc(1)
		x.code, x.detail = verdict.CodeServerLost, "the stream broke and cannot go on elsewhere"
		return false
	case last != nil && last.answer != nil:
		x.relay(last.answer, last.body)
		return true
	case x.mayRan:
		x.refuse(unknownOutcome(last))
	case last == nil:
		x.refuse(verdict.New(verdict.NotRun, verdict.CodeNoServer, "no server can take the request").WithRetryAfter(retryNoServer))
	default:
		x.refuse(verdict.New(verdict.NotRun, verdict.CodeOverloaded, "no server took the request").WithRetryAfter(retryNoServer))
	}
	return true
}

// unknownOutcome is the error of a request that may have run.
func unknownOutcome(last *end) *verdict.Error {
	if last != nil && last.code == verdict.CodeDeadlineExceeded {
		return verdict.New(verdict.Unknown, verdict.CodeDeadlineExceeded, "the server did not answer in time")
	}
	return verdict.New(verdict.Unknown, verdict.CodeServerLost, "the server's answer was lost")
}

// attempt sends the request to one server and relays its answer if it is one that
// the caller should get.
func (x *exchange) attempt(s *fleet.Server, reason placement.Reason) end {
	started := time.Now()
	record := attemptRecord{Server: s.ID, Reason: reason, Waiting: s.AwaitingFirstByte()}
	x.tried = append(x.tried, s.ID)
	x.gate.stats.attempts.Inc(1)
	_, span := telemetry.StartSpan(x.r.Context(), spanAttempt,
		attribute.String("monsoon.server", s.ID), attribute.String("monsoon.reason", string(reason)))
	a := s.Begin(x.class(), started)
	e := x.send(s, a)
	telemetry.EndSpan(span, string(e.code))
	now := time.Now()
	a.End(e.result, now)
	record.Result, record.Millis = resultNames[e.result], now.Sub(started).Milliseconds()
	record.FirstMs = a.TimeToFirstByte().Milliseconds()
	if e.err != nil {
		record.Err = e.err.Error()
	}
	x.attempts = append(x.attempts, record)
	if e.verdict != verdict.NotRun {
		x.mayRan = true
	}
	return e
}

// class tells requests with long prompts, whose first event comes later.
func (x *exchange) class() fleet.PromptClass {
	if x.gate.opts.Policy.IsLong(&x.query) {
		return fleet.LongPrompt
	}
	return fleet.ShortPrompt
}

var resultNames = map[fleet.Result]string{
	fleet.Answered: "answered", fleet.ServerError: "server-error", fleet.Shed: "shed",
	fleet.Unreachable: "unreachable", fleet.ConnectionFailed: "broken", fleet.TimedOut: "silent",
	fleet.Misdirected: "misdirected", fleet.Canceled: "abandoned",
}

// send opens a connection, sends the request and handles the answer.
func (x *exchange) send(s *fleet.Server, a *fleet.Attempt) end {
	ctx := x.r.Context()
	conn, err := x.gate.opts.Pool.Get(ctx, s.Address, connectionLimit(x.service))
	if err != nil {
		return x.notOpened(err)
	}
	if x.sent > 0 {
		x.gate.stats.retries.Inc(1)
	}
	x.sent++
	request := &upstream.Request{
		Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host, Body: x.body,
		Header: x.gate.opts.Protocol.ForwardHeader(x.r.Header, x.sendFor(s)),
	}
	if err := conn.Send(ctx, request); errors.Is(err, upstream.ErrNotSent) {
		conn.Discard()
		return end{result: fleet.ConnectionFailed, verdict: verdict.NotRun, code: verdict.CodeServerLost, err: err}
	}
	// After a failed write the answer may still be there: a server can refuse a
	// body before it has read it.
	return x.receive(conn, a)
}

func (x *exchange) notOpened(err error) end {
	result := fleet.Unreachable
	switch {
	case x.r.Context().Err() != nil:
		result = fleet.Canceled
	case errors.Is(err, upstream.ErrTooManyConnections):
		result = fleet.Shed
	}
	return end{result: result, verdict: verdict.NotRun, code: verdict.CodeNoServer, err: err}
}

func connectionLimit(s *catalog.Service) int {
	if s.MaxConnections <= 0 {
		return 0
	}
	return max(s.MaxConnections/connectionShare, 1)
}

func (x *exchange) sendFor(s *fleet.Server) ForwardInfo {
	send := ForwardInfo{
		Instance: s.ID, Timeout: time.Until(x.final), Priority: x.priority(), LastEventID: x.call.LastEventID,
	}
	if x.workspace != nil {
		send.Workspace = x.workspace.Name
	}
	if x.stream.lastEvent != "" {
		send.LastEventID = x.stream.lastEvent
	}
	return send
}

// receive reads answers until the one to this request comes.
func (x *exchange) receive(conn *upstream.Conn, a *fleet.Attempt) end {
	patience := x.patience()
	if err := conn.SetResponseDeadline(patience); err != nil {
		conn.Discard()
		return x.lost(err)
	}
	for range maxForeign + 1 {
		response, err := conn.ReadResponse(x.r.Method)
		if err != nil {
			conn.Discard()
			return x.lost(err)
		}
		answer := x.gate.opts.Protocol.ParseResponse(response.Header)
		if x.isForeign(answer, response) {
			x.gate.stats.foreign.Inc(1)
			if !skip(response) {
				break
			}
			continue
		}
		a.FirstByte(time.Now())
		return x.handle(conn, response, answer, a)
	}
	conn.Discard()
	return end{result: fleet.ConnectionFailed, verdict: verdict.Unknown, code: verdict.CodeServerLost, err: errForeign}
}

var errForeign = errors.New("the connection carries answers to other requests")

// isForeign reports whether an answer belongs to another request. A server that
// refuses a request may leave the id out.
func (x *exchange) isForeign(answer ResponseInfo, response *http.Response) bool {
	if answer.ID == x.call.ID {
		return false
	}
	return answer.ID != "" || !answer.NotRun && response.StatusCode != http.StatusMisdirectedRequest
}

// skip reads the body of a foreign answer. It fails if the body has no end of its
// own.
func skip(response *http.Response) bool {
	if response.Close || response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return false
	}
	_, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxAnswerBytes))
	return err == nil
}

// patience returns until when the first byte of an answer is awaited. A request
// that can go to another server waits less.
func (x *exchange) patience() time.Time {
	if !x.route.Idempotent() || x.sent >= x.route.MaxAttempts || x.route.LatencyObjective <= 0 {
		return x.final
	}
	wait := x.route.LatencyObjective * 3 / 2
	if at := time.Now().Add(wait); at.Before(x.final) {
		return at
	}
	return x.final
}

// lost is the end of an attempt whose connection failed after the request was
// sent.
func (x *exchange) lost(err error) end {
	e := end{result: fleet.ConnectionFailed, verdict: verdict.Unknown, code: verdict.CodeServerLost, err: err}
	var timeout net.Error
	switch {
	case x.r.Context().Err() != nil:
		e.result = fleet.Canceled
	case errors.As(err, &timeout) && timeout.Timeout():
		e.result = fleet.TimedOut
		if time.Until(x.final) < minLeft {
			e.code = verdict.CodeDeadlineExceeded
		}
	}
	return e
}

// handle decides what to do with the answer to this request.
func (x *exchange) handle(conn *upstream.Conn, response *http.Response, answer ResponseInfo, a *fleet.Attempt) end {
	status := response.StatusCode
	switch {
	case status == http.StatusMisdirectedRequest:
		conn.Discard()
		return end{result: fleet.Misdirected, verdict: verdict.NotRun, code: verdict.CodeNoServer}
	case answer.NotRun && status != http.StatusBadRequest:
		whole := skip(response)
		conn.Release(response, whole, answer.IdleTimeout)
		return end{result: fleet.Shed, verdict: verdict.NotRun, code: verdict.CodeOverloaded}
	case answer.Encoded, !answer.Stamped && !answer.NotRun, promises(status) && !answer.NotRun:
		conn.Discard()
		return end{result: fleet.ConnectionFailed, verdict: verdict.Unknown, code: verdict.CodeServerError, err: errNotServers}
	case x.route.Kind == catalog.Stream && status < 300:
		return x.relayStream(conn, response, answer)
	}
	return x.relayWhole(conn, response, answer)
}

var errNotServers = errors.New("the answer is not one that the server may give")

// promises reports whether a status tells the caller that its request did not run.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// relayWhole reads an answer whole and gives it to the caller. A failure of the
// server is kept back if another server may do better.
func (x *exchange) relayWhole(conn *upstream.Conn, response *http.Response, answer ResponseInfo) end {
	if err := conn.SetResponseDeadline(x.final); err != nil {
		conn.Discard()
		return x.lost(err)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	conn.Release(response, err == nil, answer.IdleTimeout)
	if err != nil {
		return x.lost(err)
	}
	if response.StatusCode >= http.StatusInternalServerError && !x.stream.begun {
		return end{
			result: fleet.ServerError, verdict: verdict.Ran, code: verdict.CodeServerError,
			answer: response, body: body,
		}
	}
	if x.stream.begun {
		// The rest of a stream cannot be a failure.
		return end{result: fleet.ServerError, verdict: verdict.Ran, code: verdict.CodeServerError}
	}
	x.relay(response, body)
	return end{done: true, result: fleet.Answered, verdict: verdict.Ran}
}

// relay gives a server's whole answer to the caller.
func (x *exchange) relay(response *http.Response, body []byte) {
	header := x.w.Header()
	x.gate.opts.Protocol.CopyResponseHeader(header, response.Header)
	if response.StatusCode != http.StatusNoContent && response.StatusCode != http.StatusNotModified && x.r.Method != http.MethodHead {
		header["Content-Length"] = []string{strconv.Itoa(len(body))}
	}
	x.status = response.StatusCode
	x.gate.stats.firstByte.UpdateSince(x.started)
	x.w.WriteHeader(response.StatusCode)
	// A caller that is gone does not get it; the server library closes.
	_, _ = x.w.Write(body)
}
