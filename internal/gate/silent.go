package gate

import (
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/fleet"
	"github.com/monsoonworks/monsoonworks/internal/placement"
	"github.com/monsoonworks/monsoonworks/internal/upstream"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
)

// pendingResponse is a response that is being read. After a server was silent for too long, another
// server is tried, but the response can be continued if that one cannot take over, or if the
// silent server continues first.
type pendingResponse struct {
	conn    *upstream.Conn
	server  *fleet.Server
	attempt *fleet.Attempt
	// response and info are set once the head has arrived, buffer once events are relayed.
	response *http.Response
	info     ResponseInfo
	buffer   []byte
	// err is the error of the last read of the body, io.EOF at its end.
	err error
	// resuming means that events which the caller has may be sent again.
	resuming bool
	// waited means that no other server could take over, so that the next event is waited for until
	// the request's deadline.
	waited bool
}

// wait waits until there are bytes to read, or the connection has ended.
func (r *pendingResponse) wait() error {
	if r.response != nil && r.response.ContentLength == 0 {
		return nil // nothing follows the head
	}
	return r.conn.Await()
}

// read appends a part of the body to the buffer, which must not be full.
func (r *pendingResponse) read() {
	var n int
	n, r.err = r.response.Body.Read(r.buffer[len(r.buffer):cap(r.buffer)])
	r.buffer = r.buffer[:len(r.buffer)+n]
}

// waitForEvent waits until the head, an event or the end of the response has arrived. Comments and
// parts of an event do not count, unless they fill the buffer: a stalled server can go on sending
// them.
func (r *pendingResponse) waitForEvent() error {
	for {
		if err := r.wait(); err != nil || r.response == nil {
			return err
		}
		if len(r.buffer) == cap(r.buffer) {
			return nil
		}
		r.read()
		if r.err != nil {
			if r.err == io.EOF {
				return nil
			}
			return r.err
		}
		if count, _ := scanEvents(r.buffer[:completeEventsLen(r.buffer)]); count > 0 {
			return nil
		}
	}
}

// reasonContinued is the reason of an attempt record for a silent server that was waited for.
const reasonContinued placement.Reason = "continued"

// setSilent keeps the response of a silent server. Only the first is kept: its server has worked on
// the request for longest.
func (p *proxyRequest) setSilent(r *pendingResponse) {
	if p.silent != nil {
		r.conn.Discard()
		return
	}
	p.silent = r
}

func (p *proxyRequest) discardSilent() {
	if p.silent != nil {
		p.silent.conn.Discard()
		p.silent = nil
	}
}

// await waits until bytes of a response arrive, or the end of its connection. It reports false, with
// the outcome of the attempt, if the server is silent until the deadline of the connection or if an
// earlier, silent server continues first.
func (p *proxyRequest) await(r *pendingResponse) (outcome, bool) {
	err := p.awaitFirst(r)
	switch {
	case errors.Is(err, errOvertaken):
		r.conn.Discard()
		return outcome{overtaken: true, result: fleet.Canceled, verdict: verdict.Unknown, code: verdict.CodeCanceled, err: err}, false
	case !isTimeout(err):
		return outcome{}, true // also for the end of the connection, which the reader of the response interprets
	}
	out := p.connectionLost(err)
	if r.response != nil {
		out.verdict = verdict.Ran
	}
	if p.r.Context().Err() != nil || time.Until(p.deadline) < minRemaining {
		r.conn.Discard()
		return out, false
	}
	out.silent = r
	return out, false
}

// errOvertaken means that a silent server has continued before the server tried after it responded.
var errOvertaken = errors.New("the server tried before has continued")

// awaitFirst waits for bytes of a response. It fails with errOvertaken if the silent server
// continues first.
func (p *proxyRequest) awaitFirst(r *pendingResponse) error {
	silent := p.silent
	if silent == nil {
		return r.wait()
	}
	if err := silent.conn.SetResponseDeadline(p.deadline); err != nil {
		p.discardSilent()
		return r.wait()
	}
	continued := make(chan error, 1)
	go func() {
		err := silent.waitForEvent()
		if err == nil {
			interrupt(r.conn)
		}
		continued <- err
	}()
	err := r.wait()
	interrupt(silent.conn)
	silentErr := <-continued
	switch {
	case silentErr == nil && isTimeout(err):
		return errOvertaken
	case silentErr != nil && !isTimeout(silentErr) || silent.err != nil && silent.err != io.EOF:
		p.discardSilent() // its connection has ended, or a read of its body was interrupted
	}
	return err
}

// interrupt ends a wait for bytes by a deadline in the past. An error means that the connection is
// closed, which ends the wait as well.
func interrupt(conn *upstream.Conn) { _ = conn.SetReadDeadline(time.Unix(1, 0)) }

// continueSilent goes on with the response of the silent server until the request's deadline.
func (p *proxyRequest) continueSilent() outcome {
	r := p.silent
	p.silent, r.waited = nil, true
	started := time.Now()
	p.gate.stats.silentContinued.Inc(1)
	var out outcome
	if r.response == nil {
		out = p.readResponse(r.conn, r.attempt, p.deadline)
	} else {
		out = p.relayStream(r)
	}
	record := attemptRecord{Server: r.server.ID, Reason: reasonContinued, Result: resultNames[out.result], Millis: time.Since(started).Milliseconds()}
	if out.err != nil {
		record.Err = out.err.Error()
	}
	p.attemptRecords = append(p.attemptRecords, record)
	return out
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
