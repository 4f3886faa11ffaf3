package gate

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoonworks/monsoonworks/internal/catalog"
	"github.com/monsoonworks/monsoonworks/internal/fleet"
	"github.com/monsoonworks/monsoonworks/internal/placement"
	"github.com/monsoonworks/monsoonworks/internal/prepaid"
	"github.com/monsoonworks/monsoonworks/internal/telemetry"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
)

// Figures of the callers' side.
const (
	// defaultTimeout bounds a request of a caller and a route without a time limit.
	defaultTimeout = time.Minute
	// bodyTimeout bounds the arrival of a body.
	bodyTimeout = 10 * time.Second
	// retryNotReady is the Retry-After of a gate without a configuration.
	retryNotReady = 500 * time.Millisecond
	// retryNoServer is the Retry-After when no server can take a request.
	retryNoServer = 300 * time.Millisecond
)

// Names of spans.
const (
	spanRequest = "gate.request"
	spanReserve = "gate.reserve"
	spanAttempt = "gate.attempt"
)

// exchange is one request of a caller on its way through the gate.
type exchange struct {
	gate    *Gate
	w       http.ResponseWriter
	r       *http.Request
	started time.Time

	call      RequestInfo
	catalog   *catalog.Catalog
	route     *catalog.Route
	service   *catalog.Service
	workspace *catalog.Workspace
	query     placement.Query
	body      []byte
	// final is when the caller gets its last answer.
	final time.Time

	tried    []string // servers that were chosen
	sent     int      // servers that the request was sent to
	mayRan   bool     // an attempt may have run
	attempts []attemptRecord
	stream   streamState
	status   int
	code     verdict.Code
	detail   string // of a refusal
}

// ServeHTTP implements http.Handler.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	g.stats.requests.Inc(1)
	if g.draining.Load() || g.opts.Overload.Overloaded() {
		// The caller goes on at another gate.
		w.Header().Set("Connection", "close")
	}
	ctx, span := telemetry.StartSpan(r.Context(), spanRequest)
	x := &exchange{gate: g, w: w, r: r.WithContext(ctx), started: time.Now()}
	defer func() { telemetry.EndSpan(span, string(x.code)) }()
	if err := x.admit(); err != nil {
		x.refuse(err)
		x.log()
		return
	}
	defer g.bodies.Add(-int64(len(x.body)))
	reservation, err := x.reserve()
	if err != nil {
		x.refuse(err)
		x.log()
		return
	}
	complete := x.run()
	if reservation != nil {
		reservation.Settle(x.used())
	}
	g.stats.ended(x.started)
	x.log()
	if !complete {
		// The caller must see that the answer is not whole.
		panic(http.ErrAbortHandler)
	}
}

// admit finds out what the request is and whether the configuration allows it.
func (x *exchange) admit() *verdict.Error {
	call, err := x.gate.opts.Protocol.ParseRequest(x.r.Header)
	x.call = call
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.CodeBadRequest, "%v", err)
	}
	x.catalog = x.gate.Catalog()
	if x.catalog == nil {
		return verdict.New(verdict.NotRun, verdict.CodeNotReady, "no configuration is known yet").WithRetryAfter(retryNotReady)
	}
	path, _, _ := strings.Cut(x.r.RequestURI, "?")
	if x.route = x.catalog.Route(x.r.Host, path); x.route == nil {
		return verdict.New(verdict.NotRun, verdict.CodeNotFound, "no route has this host and path")
	}
	if err := x.authenticate(); err != nil {
		return err
	}
	x.service = x.catalog.Service(x.route.PickService(xxhash.Sum64String(call.ID)))
	if x.service == nil {
		return verdict.New(verdict.NotRun, verdict.CodeNoServer, "the route's service is not configured").WithRetryAfter(retryNoServer)
	}
	if x.route.Sticky {
		x.query = placement.Query{
			Parts: call.Parts, MaxEventGap: x.route.MaxEventGap,
			PrefillTime: x.gate.opts.Servers.MeanTimeToFirstByte(x.service.Name, fleet.LongPrompt),
		}
	}
	x.final = x.finalTime()
	return x.readBody()
}

func (x *exchange) authenticate() *verdict.Error {
	if !x.catalog.HasWorkspaces() || x.route.Anonymous {
		return nil
	}
	if x.workspace = x.catalog.WorkspaceByKey(x.call.Key); x.workspace == nil || x.call.Key == "" {
		return verdict.New(verdict.NotRun, verdict.CodeUnauthorized, "the API key is not known")
	}
	return nil
}

// finalTime returns when the caller gets its last answer: at its own deadline or
// at the route's timeout.
func (x *exchange) finalTime() time.Time {
	limit := defaultTimeout
	if x.call.Timeout > 0 {
		limit = x.call.Timeout
	}
	if x.route.Timeout > 0 {
		limit = min(limit, x.route.Timeout)
	}
	return x.started.Add(limit)
}

// readBody reads the caller's body whole, so that it can be sent to a second
// server.
func (x *exchange) readBody() *verdict.Error {
	limit := x.catalog.Limits.MaxBodyBytes
	if limit > 0 && x.r.ContentLength > limit {
		x.w.Header().Set("Connection", "close")
		return verdict.New(verdict.NotRun, verdict.CodeTooLarge, "the body is larger than %d bytes", limit)
	}
	if x.r.ContentLength == 0 {
		return nil
	}
	if x.gate.bodies.Load() > x.gate.opts.MaxBufferedBodyBytes {
		return verdict.New(verdict.NotRun, verdict.CodeOverloaded, "too many bodies are in memory").WithRetryAfter(retryNoServer)
	}
	control := http.NewResponseController(x.w)
	// A writer without a connection (tests) has no deadlines.
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	reader := x.r.Body
	if limit > 0 {
		reader = http.MaxBytesReader(x.w, x.r.Body, limit)
	}
	body, err := readAll(reader, x.r.ContentLength)
	_ = control.SetReadDeadline(time.Time{})
	if err != nil {
		x.w.Header().Set("Connection", "close")
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return verdict.New(verdict.NotRun, verdict.CodeTooLarge, "the body is larger than %d bytes", limit)
		}
		return verdict.New(verdict.NotRun, verdict.CodeBadRequest, "the body did not arrive").WithCause(err)
	}
	x.body = body
	x.gate.bodies.Add(int64(len(body)))
	return nil
}

// readAll reads a body of a known length, or one of unknown length if it is
// negative.
func readAll(r io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(r)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(r, body)
	return body, err
}

// reserve takes the request's bound from the workspace's budget. Requests that
// consume no tokens need none.
func (x *exchange) reserve() (prepaid.Reservation, *verdict.Error) {
	if x.workspace == nil || !x.workspace.Metered || x.service.Engine == nil {
		return nil, nil
	}
	if !x.call.Metered {
		return nil, verdict.New(verdict.NotRun, verdict.CodeBadRequest, "the request does not declare its tokens")
	}
	ctx, span := telemetry.StartSpan(x.r.Context(), spanReserve)
	reservation, err := x.gate.opts.Budgets.Reserve(ctx, prepaid.ReservationRequest{
		Workspace: x.workspace.Name, Paid: x.workspace.PrepaidTokens, Version: x.catalog.Version,
		Bound: x.call.PromptTokens + x.call.MaxOutputTokens,
	})
	telemetry.EndSpan(span, spanCode(err))
	if err == nil {
		return reservation, nil
	}
	var refusal *verdict.Error
	if !errors.As(err, &refusal) {
		refusal = verdict.New(verdict.NotRun, verdict.CodeBudgetUnreachable, "the budget cannot be read").WithCause(err)
	}
	return nil, refusal
}

// spanCode returns the code that a span ends with, empty without an error.
func spanCode(err error) string {
	if err == nil {
		return ""
	}
	return string(verdict.CodeOf(err))
}

// used returns the tokens that the request consumed: its prompt if it may have
// run, and the output that the caller got.
func (x *exchange) used() prepaid.Tokens {
	if !x.mayRan {
		return 0
	}
	output := int64(x.stream.delivered) * int64(x.service.Engine.MaxTokensPerEvent)
	return x.call.PromptTokens + min(output, x.call.MaxOutputTokens)
}

// priority returns the request's rank at an engine.
func (x *exchange) priority() int {
	if x.service.Engine == nil {
		return -1
	}
	if x.workspace != nil && x.workspace.HasPriority {
		return x.workspace.Priority
	}
	return x.route.Priority
}

// choose picks the server for the next attempt.
func (x *exchange) choose() (*fleet.Server, placement.Reason) {
	return x.gate.choose(x.service.Name, x.query, x.tried, time.Now())
}

// refuse answers with an error of the gate's own.
func (x *exchange) refuse(err *verdict.Error) {
	x.gate.stats.refused(err.Code)
	x.code, x.status, x.detail = err.Code, verdict.HTTPStatus(err.Code), err.Detail
	header := x.w.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if err.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(err.RetryAfter.Seconds(), 'f', 3, 64))
	}
	text := string(err.Code) + " (" + err.Verdict.String() + ")\n"
	header.Set("Content-Length", strconv.Itoa(len(text)))
	x.w.WriteHeader(x.status)
	// A caller that is gone does not get it.
	_, _ = io.WriteString(x.w, text)
}
