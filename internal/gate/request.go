package gate

import (
	"context"
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

const (
	// defaultTimeout applies if the caller sets no timeout. The route's timeout can
	// shorten it but not extend it.
	defaultTimeout = time.Minute
	// bodyReadTimeout limits how long a request body may take to arrive.
	bodyReadTimeout = 10 * time.Second
	// defaultMaxBodyBytes limits a request body if the configuration sets no limit.
	defaultMaxBodyBytes = 16 << 20
	// retryAfterNotReady is the Retry-After of a gate without a configuration.
	retryAfterNotReady = 500 * time.Millisecond
	// retryAfterUnavailable is the Retry-After when no server is available or accepts the
	// request, or when the memory for request bodies is exhausted.
	retryAfterUnavailable = 300 * time.Millisecond
	// retryAfterDraining is the Retry-After of a draining gate. Another gate can serve the caller
	// at once.
	retryAfterDraining = 10 * time.Millisecond
)

// Span names.
const (
	spanRequest = "gate.request"
	spanReserve = "gate.reserve"
	spanAttempt = "gate.attempt"
)

// proxyRequest is the state of one request of a caller.
type proxyRequest struct {
	gate    *Gate
	w       http.ResponseWriter
	r       *http.Request
	started time.Time
	// ctx and unwatchDrain are set by watchDrain.
	ctx          context.Context
	unwatchDrain func() bool

	requestInfo RequestInfo
	catalog     *catalog.Catalog
	route       *catalog.Route
	service     *catalog.Service
	workspace   *catalog.Workspace
	query       placement.Query
	body        []byte
	memory      memoryReservation // for the bodies and the stream's buffer
	// deadline is when the gate stops waiting for servers and responds to the caller.
	deadline time.Time

	fingerprintList    []uint64 // see fingerprints, nil until they are computed
	soundReported      bool
	attemptedServerIDs []string // IDs of the servers that were chosen
	attemptsSent       int      // attempts that got a connection to send the request
	mayHaveRun         bool     // an attempt ended with another verdict than NotRun
	attemptRecords     []attemptRecord
	reserveTime        time.Duration // for the reservation, 0 if none was needed
	writeTime          time.Duration // in which writes of the response were blocked
	stream             streamState
	// pending holds responses that can be continued, besides the one that is being read.
	pending []*pendingResponse
	status  int
	code    verdict.Code // why the gate refused or aborted the request; not set for a failed write to the caller
	detail  string       // logged with code
}

// ServeHTTP implements http.Handler.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inProgress.Add(1)
	defer g.inProgress.Add(-1)
	g.stats.requests.Inc(1)
	if g.Draining() || g.opts.Overload.Overloaded() {
		// Makes the caller reconnect, through the load balancer, to another gate.
		w.Header().Set("Connection", "close")
	}
	ctx, span := telemetry.StartSpan(r.Context(), spanRequest)
	p := &proxyRequest{gate: g, w: w, r: r.WithContext(ctx), started: time.Now(), memory: memoryReservation{limit: &g.memory}}
	defer p.memory.release()
	defer p.watchDrain()()
	defer func() { telemetry.EndSpan(span, string(p.code)) }()
	if err := p.admit(); err != nil {
		p.refuse(err)
		p.log()
		return
	}
	reservation, err := p.reserve()
	if err == nil {
		// The last check, because it may use up a trial.
		if err = p.quarantined(); err != nil && reservation != nil {
			reservation.Settle(0)
		}
	}
	if err != nil {
		p.refuse(err)
		p.log()
		return
	}
	complete := p.forward()
	if reservation != nil {
		reservation.Settle(p.consumedTokens())
	}
	g.stats.observeDuration(p.started)
	if !complete && g.drained() {
		g.stats.drainCuts.Inc(1)
		p.code, p.detail = verdict.CodeDraining, "cut off at the end of the drain"
	}
	p.log()
	if !complete {
		// Aborting the connection shows the caller that the response is incomplete.
		panic(http.ErrAbortHandler)
	}
}

// admit decodes the request's headers, finds its route, workspace and service in the
// configuration, and reads its body. It returns the refusal, nil if there is none.
func (p *proxyRequest) admit() *verdict.Error {
	info, err := p.gate.opts.Protocol.ParseRequest(p.r.Header)
	p.requestInfo = info
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.CodeBadRequest, "%v", err)
	}
	if info.ID == "" {
		// Its response could not be told from one to another request.
		return verdict.New(verdict.NotRun, verdict.CodeBadRequest, "the request has no ID")
	}
	p.catalog = p.gate.Catalog()
	if p.catalog == nil {
		return verdict.New(verdict.NotRun, verdict.CodeNotReady, "no configuration is loaded yet").WithRetryAfter(retryAfterNotReady)
	}
	path, _, _ := strings.Cut(p.r.RequestURI, "?")
	if p.route = p.catalog.Route(p.r.Host, path); p.route == nil {
		return verdict.New(verdict.NotRun, verdict.CodeNotFound, "no route matches the host and path")
	}
	if err := p.authenticate(); err != nil {
		return err
	}
	p.service = p.catalog.Service(p.route.PickService(xxhash.Sum64String(info.ID)))
	if p.service == nil {
		return verdict.New(verdict.NotRun, verdict.CodeNoServer, "the route's service is not configured").WithRetryAfter(retryAfterUnavailable)
	}
	if p.route.PlaceByPrompt {
		p.query = placement.Query{
			Parts: info.Parts, EventGapObjective: p.route.EventGapObjective,
			PrefillTime: p.gate.opts.Servers.MeanTimeToFirstByte(p.service.Name, fleet.LongPrompt),
		}
	}
	p.deadline = p.requestDeadline()
	if err := p.readBody(); err != nil {
		return err
	}
	if drain := p.gate.drain.Load(); drain != nil && !drain.Accepts(time.Now(), p.deadline, p.expectedTime()) {
		return drainRefusal("the request might be cut off by a planned stop")
	}
	return nil
}

func (p *proxyRequest) authenticate() *verdict.Error {
	if !p.catalog.HasWorkspaces() || p.route.Anonymous {
		return nil
	}
	if p.workspace = p.catalog.WorkspaceByKey(p.requestInfo.Key); p.workspace == nil || p.requestInfo.Key == "" {
		return verdict.New(verdict.NotRun, verdict.CodeUnauthorized, "unknown API key")
	}
	return nil
}

// requestDeadline returns when the caller must have its response: after the caller's
// timeout (defaultTimeout if it sets none) or the route's, whichever is shorter.
func (p *proxyRequest) requestDeadline() time.Time {
	timeout := defaultTimeout
	if p.requestInfo.Timeout > 0 {
		timeout = p.requestInfo.Timeout
	}
	if p.route.Timeout > 0 {
		timeout = min(timeout, p.route.Timeout)
	}
	return p.started.Add(timeout)
}

// readBody buffers the request body, so that it can be sent again in a retry.
func (p *proxyRequest) readBody() *verdict.Error {
	if p.r.ContentLength == 0 {
		return nil
	}
	limit := p.catalog.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	control := http.NewResponseController(p.w)
	// The error is ignored: the connection is closed, or the writer has no deadlines.
	_ = control.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	stop := context.AfterFunc(p.ctx, func() { _ = control.SetReadDeadline(time.Unix(1, 0)) })
	body, err := readBounded(p.r.Body, p.r.ContentLength, limit, &p.memory)
	if stop() {
		_ = control.SetReadDeadline(time.Time{})
	}
	if err == nil {
		p.body = body
		return nil
	}
	// The rest of the body is not read.
	p.w.Header().Set("Connection", "close")
	switch {
	case errors.Is(err, errBodyTooLarge):
		return verdict.New(verdict.NotRun, verdict.CodeTooLarge, "the body is larger than %d bytes", limit)
	case errors.Is(err, errMemoryUsedUp):
		return verdict.New(verdict.NotRun, verdict.CodeOverloaded, "%v", err).WithRetryAfter(retryAfterUnavailable)
	case p.drainEnds():
		return drainRefusal("the drain ended before the whole request had arrived")
	default:
		return verdict.New(verdict.NotRun, verdict.CodeBadRequest, "the request body could not be read").WithCause(err)
	}
}

// reserve reserves, from the workspace's quota, the maximum number of tokens that the
// request can consume. It waits at most until the deadline. It returns nil if the request has no
// workspace, the workspace no quota or the service no engine.
func (p *proxyRequest) reserve() (prepaid.Reservation, *verdict.Error) {
	if p.workspace == nil || !p.workspace.Metered || p.service.Engine == nil {
		return nil, nil
	}
	if !p.requestInfo.TokensDeclared {
		return nil, verdict.New(verdict.NotRun, verdict.CodeBadRequest, "the request does not declare its tokens")
	}
	if time.Until(p.deadline) < minRemaining {
		return nil, reservationTimeout()
	}
	started := time.Now()
	defer func() { p.reserveTime = time.Since(started) }()
	ctx, span := telemetry.StartSpan(p.ctx, spanReserve)
	ctx, cancel := context.WithDeadline(ctx, p.deadline)
	defer cancel()
	reservation, err := p.gate.opts.Reserver.Reserve(ctx, prepaid.ReservationRequest{
		Workspace: p.workspace.Name, Paid: p.workspace.PrepaidTokens, Version: p.catalog.Version,
		Bound: p.requestInfo.PromptTokens + p.requestInfo.MaxOutputTokens,
	})
	telemetry.EndSpan(span, spanCode(err))
	if err == nil {
		return reservation, nil
	}
	var refusal *verdict.Error
	if !errors.As(err, &refusal) {
		refusal = verdict.New(verdict.NotRun, verdict.CodeBudgetUnreachable, "the reservation failed").WithCause(err)
	}
	if refusal.Code == verdict.CodeCanceled && p.drainEnds() {
		refusal = drainRefusal("the drain ended before the tokens were reserved")
	}
	if refusal.Code == verdict.CodeCanceled && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		refusal = reservationTimeout()
	}
	return nil, refusal
}

// reservationTimeout returns the refusal of a request whose deadline ends before it has its reservation.
func reservationTimeout() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeBudgetUnreachable, "no reservation before the deadline").WithRetryAfter(retryAfterUnavailable)
}

// spanCode returns the code with which a span ends, empty for success.
func spanCode(err error) string {
	if err == nil {
		return ""
	}
	return string(verdict.CodeOf(err))
}

// consumedTokens returns the tokens to charge: none unless mayHaveRun is set, otherwise
// those of the prompt plus MaxTokensPerEvent for each event that the caller received,
// at most what was reserved.
func (p *proxyRequest) consumedTokens() prepaid.Tokens {
	if !p.mayHaveRun {
		return 0
	}
	output := int64(p.stream.eventCount) * int64(p.service.Engine.MaxTokensPerEvent)
	return p.requestInfo.PromptTokens + min(output, p.requestInfo.MaxOutputTokens)
}

// enginePriority returns the request's priority at an engine, -1 for plain
// services.
func (p *proxyRequest) enginePriority() int {
	if p.service.Engine == nil {
		return -1
	}
	if p.workspace != nil && p.workspace.HasPriority {
		return p.workspace.Priority
	}
	return p.route.Priority
}

// choose picks the server for the next attempt.
func (p *proxyRequest) choose() (*fleet.Server, placement.Reason) {
	return p.gate.choose(p.service.Name, p.query, p.attemptedServerIDs, time.Now())
}

// refuse responds with an error of the gate itself. The caller sees the code and
// the verdict; the detail is only logged.
func (p *proxyRequest) refuse(err *verdict.Error) {
	p.gate.stats.countRefusal(err.Code)
	p.code, p.status, p.detail = err.Code, verdict.HTTPStatus(err.Code), err.Detail
	header := p.w.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if p.drainEnds() {
		header.Set("Connection", "close") // the request may have begun before the drain
	}
	if err.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(err.RetryAfter.Seconds(), 'f', 3, 64))
	}
	text := string(err.Code) + " (" + err.Verdict.String() + ")\n"
	header.Set("Content-Length", strconv.Itoa(len(text)))
	p.w.WriteHeader(p.status)
	// A write error means that the caller has disconnected.
	_, _ = io.WriteString(p.w, text)
}
