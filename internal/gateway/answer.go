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

// answer is the answer to one request. Its request id is on every answer.
type answer struct {
	g       *Gateway
	w       http.ResponseWriter
	rc      *http.ResponseController
	id      uuid.UUID
	idText  string
	started time.Time
	// keyed is set if the request has an idempotency key, so that sending it
	// again is safe.
	keyed bool
	// who sent the request, zero until that is known. call is set once the
	// request is understood.
	who  caller
	call *dispatch.Call
	// status is 0 until the head was sent.
	status int
	// broken is set if the answer was begun and cannot be completed, and the
	// connection must show it.
	broken bool
	// deadlineSet is when the write deadline was last moved.
	deadlineSet time.Time
}

func newAnswer(g *Gateway, w http.ResponseWriter, id uuid.UUID) *answer {
	a := &answer{g: g, w: w, rc: http.NewResponseController(w), id: id, idText: id.String(), started: time.Now()}
	w.Header()[headerRequestID] = []string{a.idText}
	a.extendWriteDeadline(a.started)
	return a
}

// writeDeadlineStep is how often the write deadline of a stream is moved at
// most; moving it for each token would cost a timer operation each.
const writeDeadlineStep = time.Second

// extendWriteDeadline gives the next write the time of WriteStall.
func (a *answer) extendWriteDeadline(now time.Time) {
	if now.Sub(a.deadlineSet) < writeDeadlineStep {
		return
	}
	a.deadlineSet = now
	// An error means that the writer has no connection (tests).
	_ = a.rc.SetWriteDeadline(now.Add(a.g.opts.WriteStall + writeDeadlineStep))
}

// write sends part of the body, and at once if flush is set.
func (a *answer) write(p []byte, flush bool) error {
	a.extendWriteDeadline(time.Now())
	if _, err := a.w.Write(p); err != nil {
		return err
	}
	if flush {
		return a.rc.Flush()
	}
	return nil
}

// head sends status and header fields that were set before.
func (a *answer) head(status int) {
	now := time.Now()
	a.extendWriteDeadline(now)
	a.status = status
	a.g.stats.observe(a.g.stats.firstByte, now.Sub(a.started))
	if a.g.calls.isDraining() {
		a.w.Header()["Connection"] = []string{"close"}
	}
	a.w.WriteHeader(status)
}

// whole sends a complete answer whose length is known.
func (a *answer) whole(status int, v verdict.Verdict, body []byte) {
	h := a.w.Header()
	h[headerVerdict] = []string{v.String()}
	h["Content-Length"] = []string{strconv.Itoa(len(body))}
	a.head(status)
	// After an error the server closes the connection, and the caller sees a
	// body that is shorter than announced.
	_ = a.write(body, false)
}

// fail sends an error as a problem body.
func (a *answer) fail(e *verdict.Error) {
	a.g.stats.refused(e.Code)
	if e.Code == verdict.CodeInternal && e.Err != nil {
		a.g.opts.Logger.Error("internal error", "request_id", a.idText, "err", e.Err)
	}
	h := a.w.Header()
	// These may have been set for an answer that was not begun.
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
	if e.Verdict != verdict.NotRun && !a.keyed {
		h.Set(headerShouldRetry, "false")
	}
	problem := e.Problem(a.idText)
	a.whole(problem.Status, e.Verdict, mustJSON(problem))
}

// plain sends a short text of the router itself.
func (a *answer) plain(text string) {
	a.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	a.whole(http.StatusOK, verdict.NotRun, []byte(text+"\n"))
}

// json sends an answer of the router itself. No backend server ran for it.
func (a *answer) json(v any) {
	a.w.Header().Set("Content-Type", "application/json")
	a.whole(http.StatusOK, verdict.NotRun, mustJSON(v))
}

// mustJSON encodes the gateway's own types, which always can be encoded.
func mustJSON(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return raw
}

func asVerdict(err error) (*verdict.Error, bool) {
	var e *verdict.Error
	ok := errors.As(err, &e)
	return e, ok
}
