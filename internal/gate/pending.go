package gate

import (
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/fleet"
	"github.com/monsoonworks/monsoonworks/internal/placement"
	"github.com/monsoonworks/monsoonworks/internal/upstream"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
)

const (
	// pollInterval is how long one of several pending responses is waited for before the next one is
	// looked at.
	pollInterval = 10 * time.Millisecond
	// handoverTime is how long the responses of silent servers stay open after another server has
	// begun the continuation of a stream.
	handoverTime = 250 * time.Millisecond
	// headTime limits the time in which the head of a response must arrive after its first byte,
	// while other responses are pending.
	headTime = 100 * time.Millisecond
)

// pendingResponse is a response that is being waited for or read. After a server was silent for too
// long, another server is tried, but the response can be continued if that one cannot take over, or
// if the silent server continues first.
type pendingResponse struct {
	conn    *upstream.Conn
	attempt *fleet.Attempt
	// deadline is when to stop waiting for bytes.
	deadline time.Time
	// response and info are set once the head has arrived, buffer once events are relayed.
	response *http.Response
	info     ResponseInfo
	buffer   []byte
	// err is the error of the last read of the body, io.EOF at its end.
	err error
	// resuming means that events which the caller has may be sent again.
	resuming bool
	// handoverEnd is when the responses of silent servers are closed, zero until this server has begun
	// a continuation.
	handoverEnd time.Time
	// stalled means that the server was silent for too long.
	stalled bool
	// waited means that no other server could take over, so that the next event is waited for until
	// the request's deadline.
	waited bool
}

// setDeadline changes the deadline of reads. It closes the connection if it fails.
func (r *pendingResponse) setDeadline(t time.Time) error {
	r.deadline = t
	err := r.conn.SetResponseDeadline(t)
	if err != nil {
		r.conn.Discard()
	}
	return err
}

// read appends a part of the body to the buffer, which must not be full.
func (r *pendingResponse) read() {
	var n int
	n, r.err = r.response.Body.Read(r.buffer[len(r.buffer):cap(r.buffer)])
	r.buffer = r.buffer[:len(r.buffer)+n]
}

const (
	// reasonContinued is the reason of an attempt record for a response that was waited for further.
	reasonContinued placement.Reason = "continued"
	// resultPending is the result of an attempt record for a response that is waited for further.
	resultPending = "pending"
)

// discardPending closes the responses of all servers that are not needed any more.
func (p *proxyRequest) discardPending() {
	for _, r := range p.pending {
		r.conn.Discard()
		r.attempt.End(fleet.Canceled, time.Now())
	}
	p.pending = nil
}

// await waits until bytes of a response arrive, or the end of its connection. It reports false, with
// the outcome of the attempt, if the server is silent until its deadline or if another pending
// response continues first. In both cases the response stays pending.
func (p *proxyRequest) await(r *pendingResponse) (outcome, bool) {
	if r.response != nil && r.response.Body == http.NoBody || len(p.pending) == 0 && !r.deadline.Before(p.deadline) {
		return outcome{}, true
	}
	first, err := p.awaitFirst(r)
	if first == r && !isTimeout(err) {
		return outcome{}, true // also for the end of the connection, which the reader of the response interprets
	}
	out := p.connectionLost(err)
	if r.response != nil {
		out.verdict = verdict.Ran
	}
	if p.ctx.Err() != nil || time.Until(p.deadline) < minRemaining {
		r.conn.Discard()
		return out, false
	}
	if first == r {
		r.stalled = true
		r.attempt.Stall(time.Now())
	} else {
		out.err, out.result = errOvertaken, fleet.Canceled
	}
	out.pending, out.next = r, first
	return out, false
}

// errOvertaken means that another server has continued before this one responded.
var errOvertaken = errors.New("another server has continued first")

// awaitFirst waits until bytes of any pending response arrive, or the end of its connection, or until
// the deadline of r. It returns that response, r at its deadline.
func (p *proxyRequest) awaitFirst(r *pendingResponse) (*pendingResponse, error) {
	for len(p.pending) > 0 {
		if !r.handoverEnd.IsZero() && time.Now().After(r.handoverEnd) {
			p.discardPending()
			break
		}
		if err := r.poll(); !isTimeout(err) {
			return r, errors.Join(err, r.setDeadline(r.deadline))
		}
		if c := p.pollPending(); c != nil {
			return c, r.setDeadline(r.deadline)
		}
		if err := p.ctx.Err(); err != nil || !time.Now().Before(r.deadline) {
			return r, errPollTimeout
		}
	}
	if err := r.setDeadline(r.deadline); err != nil {
		return r, err
	}
	return r, r.conn.Await()
}

// pollPending returns a pending response that can be continued: its head is arriving, or an event or
// its end has arrived. Comments and parts of an event do not count: a stalled server can go on
// sending them. It drops responses whose connection has failed.
func (p *proxyRequest) pollPending() *pendingResponse {
	for _, c := range slices.Clone(p.pending) {
		err := c.poll()
		if isTimeout(err) {
			continue
		}
		if c.response == nil && err == nil || c.response != nil && c.advance() {
			return c
		}
		if c.response == nil || c.err != nil {
			c.conn.Discard()
			c.attempt.End(fleet.ConnectionFailed, time.Now())
			p.causedCrash(c.attempt, errors.Join(err, c.err))
			p.pending = slices.DeleteFunc(p.pending, func(o *pendingResponse) bool { return o == c })
		}
	}
	return nil
}

// advance reads the bytes of a stream that have arrived and reports whether it can be continued.
func (r *pendingResponse) advance() bool {
	if len(r.buffer) == cap(r.buffer) {
		return true
	}
	if err := r.conn.SetResponseDeadline(time.Now().Add(headTime)); err != nil {
		r.err = err
		return false
	}
	r.read()
	count, _ := scanEvents(r.buffer[:completeEventsLen(r.buffer)])
	return count > 0 || r.err == io.EOF
}

// errPollTimeout means that a response has not arrived before its deadline.
var errPollTimeout net.Error = pollTimeoutError{}

type pollTimeoutError struct{}

func (pollTimeoutError) Error() string   { return "no response before the deadline" }
func (pollTimeoutError) Timeout() bool   { return true }
func (pollTimeoutError) Temporary() bool { return true }

// poll waits for bytes of a response for pollInterval.
func (r *pendingResponse) poll() error {
	if err := r.conn.SetResponseDeadline(time.Now().Add(pollInterval)); err != nil {
		return err
	}
	return r.conn.Await()
}

// continuePending goes on with a pending response: next if it is set, otherwise one whose server has
// not been silent for too long, otherwise the first one, until the request's deadline.
func (p *proxyRequest) continuePending(next *pendingResponse) outcome {
	started := time.Now()
	r := next
	if r == nil {
		r = p.livePending()
	}
	if r == nil {
		r = p.pending[0]
		r.waited, r.deadline = true, p.deadline
	}
	p.pending = slices.DeleteFunc(p.pending, func(c *pendingResponse) bool { return c == r })
	p.gate.stats.continued.Inc(1)
	out := p.readPending(r, next != nil)
	record := attemptRecord{Server: r.attempt.Server().ID, Reason: reasonContinued}
	p.endAttempt(r.attempt, &record, started, &out)
	return out
}

// readPending reads a pending response. ready means that bytes of it have arrived.
func (p *proxyRequest) readPending(r *pendingResponse, ready bool) outcome {
	if r.response != nil {
		return p.relayStream(r)
	}
	if ready && len(p.pending) > 0 {
		r.deadline = earlier(p.deadline, time.Now().Add(headTime))
	}
	return p.readResponse(r)
}

// livePending returns a pending response whose server has not been silent for too long, nil if there
// is none.
func (p *proxyRequest) livePending() *pendingResponse {
	for _, r := range p.pending {
		if !r.stalled {
			return r
		}
	}
	return nil
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
