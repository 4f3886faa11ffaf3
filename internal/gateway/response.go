package gateway

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/monsoonworks/monsoonworks/internal/dispatch"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
)

// response is the HTTP response to one request. Every response has a request ID.
type response struct {
	g       *Gateway
	w       http.ResponseWriter
	rc      *http.ResponseController
	id      uuid.UUID
	idText  string
	started time.Time
	// hasIdempotencyKey is set if the request has an idempotency key. The caller can
	// then safely retry it.
	hasIdempotencyKey bool
	// caller is zero until the request has been authenticated.
	caller identity
	// call is nil until the request has been parsed.
	call *dispatch.Call
	// status is 0 until the head has been sent.
	status int
	// truncated is set if part of the response was sent and the rest cannot be. The
	// connection is then aborted, so that the caller can tell.
	truncated bool
	// writeDeadlineSetAt is when the write deadline was last set.
	writeDeadlineSetAt time.Time
}

func newResponse(g *Gateway, w http.ResponseWriter, id uuid.UUID) *response {
	resp := &response{g: g, w: w, rc: http.NewResponseController(w), id: id, idText: id.String(), started: time.Now()}
	w.Header()[headerRequestID] = []string{resp.idText}
	resp.extendWriteDeadline(resp.started)
	return resp
}

// writeDeadlineInterval is the minimum time between two updates of the write deadline
// of a stream. An update for each token would cost a timer operation each.
const writeDeadlineInterval = time.Second

// extendWriteDeadline sets the deadline of the next write to at least WriteTimeout
// from now.
func (resp *response) extendWriteDeadline(now time.Time) {
	if now.Sub(resp.writeDeadlineSetAt) < writeDeadlineInterval {
		return
	}
	resp.writeDeadlineSetAt = now
	// An error means that the writer has no connection, as in tests.
	_ = resp.rc.SetWriteDeadline(now.Add(resp.g.opts.WriteTimeout + writeDeadlineInterval))
}

// write sends part of the body. If flush is set it is sent without buffering.
func (resp *response) write(p []byte, flush bool) error {
	resp.extendWriteDeadline(time.Now())
	if _, err := resp.w.Write(p); err != nil {
		return err
	}
	if flush {
		return resp.rc.Flush()
	}
	return nil
}

// writeHead sends the status and the header fields that have been set.
func (resp *response) writeHead(status int) {
	now := time.Now()
	resp.extendWriteDeadline(now)
	resp.status = status
	resp.g.stats.observe(resp.g.stats.firstByte, now.Sub(resp.started))
	if resp.g.calls.isDraining() {
		resp.w.Header()["Connection"] = []string{"close"}
	}
	resp.w.WriteHeader(status)
}

// writeComplete sends a complete response of known length.
func (resp *response) writeComplete(status int, v verdict.Verdict, body []byte) {
	h := resp.w.Header()
	h[headerVerdict] = []string{v.String()}
	h["Content-Length"] = []string{strconv.Itoa(len(body))}
	resp.writeHead(status)
	// After an error the HTTP server closes the connection, and the caller detects
	// that the body is shorter than its Content-Length.
	_ = resp.write(body, false)
}

// writeError sends an error as a problem body.
func (resp *response) writeError(e *verdict.Error) {
	resp.g.stats.countError(e.Code)
	if e.Code == verdict.CodeInternal && e.Err != nil {
		resp.g.opts.Logger.Error("request failed with an internal error", "request_id", resp.idText, "err", e.Err)
	}
	h := resp.w.Header()
	// These may have been set for a response that was not started.
	h.Del("Trailer")
	h.Del("Content-Encoding")
	h.Set("Content-Type", verdict.ProblemContentType)
	h.Set("Cache-Control", "no-store")
	if seconds := verdict.RetryAfterSeconds(e.RetryAfter); seconds != "" {
		h.Set("Retry-After", seconds)
	}
	if e.Code == verdict.CodeUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	if e.Verdict != verdict.NotRun && !resp.hasIdempotencyKey {
		h.Set(headerShouldRetry, "false")
	}
	problem := e.Problem(resp.idText)
	resp.writeComplete(problem.Status, e.Verdict, mustJSON(problem))
}

// writeText sends a plain text response of the router itself.
func (resp *response) writeText(text string) {
	resp.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	resp.writeComplete(http.StatusOK, verdict.NotRun, []byte(text+"\n"))
}

// writeJSON sends a JSON response of the router itself, without a backend server.
func (resp *response) writeJSON(v any) {
	resp.w.Header().Set("Content-Type", "application/json")
	resp.writeComplete(http.StatusOK, verdict.NotRun, mustJSON(v))
}

// mustJSON encodes a type of the gateway. Encoding these types cannot fail.
func mustJSON(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return raw
}

func asVerdictError(err error) (*verdict.Error, bool) {
	var e *verdict.Error
	ok := errors.As(err, &e)
	return e, ok
}
