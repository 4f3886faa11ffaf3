package gate

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/fleet"
	"github.com/monsoonworks/monsoonworks/internal/upstream"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
)

// relayBuffered reads the complete response and relays it. If the memory for bodies is used up, it relays
// a response of known length as it arrives; one of unknown length may be endless. A 5xx response is
// returned in the outcome instead, because another server may succeed.
func (p *proxyRequest) relayBuffered(conn *upstream.Conn, response *http.Response, info ResponseInfo) outcome {
	if err := conn.SetResponseDeadline(p.deadline); err != nil {
		conn.Discard()
		return p.connectionLost(err)
	}
	body, err := readBounded(response.Body, response.ContentLength, maxResponseBytes, &p.memory)
	if errors.Is(err, errMemoryUsedUp) && response.ContentLength >= 0 && response.StatusCode < http.StatusInternalServerError {
		return p.relayUnbuffered(conn, response, info, body)
	}
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
	return p.answered(info, p.writeResponse(response, body))
}

// writeResponse sends a buffered server response to the caller. Its error means that the caller
// disconnected or did not read the response in time.
func (p *proxyRequest) writeResponse(response *http.Response, body []byte) error {
	if len(body) > uncountedBytes {
		// Otherwise a caller that reads nothing would hold the memory.
		p.limitWrites()
	}
	p.writeHeader(response, int64(len(body)))
	started := time.Now()
	_, err := p.w.Write(body)
	p.writeTime += time.Since(started)
	if errors.Is(err, http.ErrBodyNotAllowed) {
		return nil // the body of a response to HEAD, or of a status without one
	}
	return err
}

// unknownLength is the length of a body that is sent in chunks.
const unknownLength = -1

// writeHeader sends the header of a response whose body has the given length, or unknownLength.
func (p *proxyRequest) writeHeader(response *http.Response, length int64) {
	header := p.w.Header()
	p.gate.opts.Protocol.CopyResponseHeader(header, response.Header)
	if length >= 0 && response.StatusCode != http.StatusNoContent && response.StatusCode != http.StatusNotModified && p.r.Method != http.MethodHead {
		header["Content-Length"] = []string{strconv.FormatInt(length, 10)}
	}
	p.status = response.StatusCode
	p.gate.stats.firstByte.UpdateSince(p.started)
	p.w.WriteHeader(response.StatusCode)
}

// limitWrites sets the deadline of writes to the caller. The error is ignored: the connection is
// closed, or the writer has no deadlines.
func (p *proxyRequest) limitWrites() {
	_ = http.NewResponseController(p.w).SetWriteDeadline(p.deadline.Add(writeMargin))
}

// answered returns the outcome of a response that was written to the caller, or not if writeErr is set.
func (p *proxyRequest) answered(info ResponseInfo, writeErr error) outcome {
	ran := verdict.Ran
	if info.NotRun {
		ran = verdict.NotRun
	} else {
		p.reportSound()
	}
	return outcome{done: true, truncated: writeErr != nil, result: fleet.Answered, verdict: ran, err: writeErr}
}

// relayUnbuffered relays a response as it arrives. begun is the beginning of its body. The request ran,
// so that a refusal for lack of memory would lose its response.
func (p *proxyRequest) relayUnbuffered(conn *upstream.Conn, response *http.Response, info ResponseInfo, begun []byte) outcome {
	if !p.beginStream() {
		conn.Discard()
		return p.connectionLost(errDrainEnds)
	}
	p.gate.stats.unbuffered.Inc(1)
	p.limitWrites()
	p.writeHeader(response, response.ContentLength)
	_, writeErr := p.w.Write(begun)
	p.memory.remove(int64(cap(begun)))
	source := &bodyReader{Reader: response.Body}
	if writeErr == nil {
		_, writeErr = io.Copy(p.w, source)
	}
	conn.Release(response, source.err == io.EOF && info.reusable(), info.IdleTimeout)
	if source.err == nil || source.err == io.EOF {
		return p.answered(info, writeErr)
	}
	out := p.connectionLost(source.err)
	out.done, out.truncated = true, true
	p.code, p.detail = verdict.CodeServerLost, "the response broke after it had begun"
	return out
}

// bodyReader keeps the error that ended the reading of a body.
type bodyReader struct {
	io.Reader
	err error
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.err = err
	return n, err
}
