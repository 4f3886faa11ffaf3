package gate

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/fleet"
	"github.com/monsoonworks/monsoonworks/internal/upstream"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
)

// relayBuffered reads the complete response and relays it. A 5xx response is
// returned in the outcome instead, because another server may succeed.
func (p *proxyRequest) relayBuffered(conn *upstream.Conn, response *http.Response, info ResponseInfo) outcome {
	if err := conn.SetResponseDeadline(p.deadline); err != nil {
		conn.Discard()
		return p.connectionLost(err)
	}
	body, err := readBounded(response.Body, response.ContentLength, maxResponseBytes, &p.memory)
	conn.Release(response, err == nil && info.reusable(), info.IdleTimeout)
	if err != nil {
		return p.connectionLost(err)
	}
	if response.StatusCode >= http.StatusInternalServerError {
		return outcome{
			result: fleet.ServerError, verdict: verdict.Ran, code: verdict.CodeServerError,
			response: response, body: body,
		}
	}
	writeErr := p.writeResponse(response, body)
	ran := verdict.Ran
	if info.NotRun {
		ran = verdict.NotRun
	} else {
		p.reportSound()
	}
	return outcome{done: true, truncated: writeErr != nil, result: fleet.Answered, verdict: ran, err: writeErr}
}

// writeResponse sends a buffered server response to the caller. Its error means that the caller
// disconnected or did not read the response in time.
func (p *proxyRequest) writeResponse(response *http.Response, body []byte) error {
	header := p.w.Header()
	p.gate.opts.Protocol.CopyResponseHeader(header, response.Header)
	if response.StatusCode != http.StatusNoContent && response.StatusCode != http.StatusNotModified && p.r.Method != http.MethodHead {
		header["Content-Length"] = []string{strconv.Itoa(len(body))}
	}
	p.status = response.StatusCode
	p.gate.stats.firstByte.UpdateSince(p.started)
	if len(body) > uncountedBytes {
		// Otherwise a caller that reads nothing would hold the memory. The error is ignored: the connection
		// is closed, or the writer has no deadlines.
		_ = http.NewResponseController(p.w).SetWriteDeadline(p.deadline.Add(writeMargin))
	}
	p.w.WriteHeader(response.StatusCode)
	started := time.Now()
	_, err := p.w.Write(body)
	p.writeTime += time.Since(started)
	if errors.Is(err, http.ErrBodyNotAllowed) {
		return nil // the body of a response to HEAD, or of a status without one
	}
	return err
}
