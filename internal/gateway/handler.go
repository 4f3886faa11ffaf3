package gateway

import (
	"context"
	"fmt"
	"net/http"
	"runtime/debug"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/monsoonworks/monsoonworks/internal/admission"
	"github.com/monsoonworks/monsoonworks/internal/dispatch"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

const (
	// spanName is the name of the trace span of a call.
	spanName = "gateway.call"

	pathChat        = "/v1/chat/completions"
	pathCompletions = "/v1/completions"
	pathModels      = "/v1/models"
	pathHealth      = "/healthz"
	pathReady       = "/readyz"
	servicePrefix   = "/svc/"
)

// ServeHTTP implements http.Handler. It does not use http.ServeMux, which
// redirects paths that plain services must receive unchanged.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	markHandlerActive(r.Context())
	resp := newResponse(g, w, uuid.Must(uuid.NewV7()))
	defer resp.recoverPanic()
	if r.ContentLength != 0 {
		// The deadline is set for all requests with a body, because the HTTP server
		// reads the rest of a body that the handler does not read. An error means that
		// the writer has no connection, as in tests.
		_ = resp.rc.SetReadDeadline(resp.started.Add(g.opts.BodyTimeout))
	}
	switch r.URL.Path {
	case pathHealth:
		resp.writeText("ok")
		return
	case pathReady:
		g.serveReady(resp)
		return
	}
	g.stats.requests.Inc(1)
	if !g.calls.begin() {
		w.Header().Set("Connection", "close")
		resp.writeError(errDraining())
		return
	}
	defer g.calls.end()
	if !r.ProtoAtLeast(1, 1) {
		// Without chunked encoding a truncated response would look complete.
		resp.writeError(badRequest("HTTP/1.1 is required"))
		return
	}
	if err := g.serve(resp, r); err != nil {
		resp.writeError(err)
		g.reportRefusal(resp, r, err)
	}
}

// reportRefusal passes a request that was refused before its dispatch to
// Options.Refused.
func (g *Gateway) reportRefusal(resp *response, r *http.Request, err *verdict.Error) {
	refusal := Refusal{
		Request: resp.id, Budget: resp.caller.budget, Authenticated: resp.caller.budget != "",
		Err: err, Status: resp.status, Elapsed: time.Since(resp.started),
	}
	if !refusal.Authenticated {
		_, id, ok := parseBearerKey(r.Header)
		if !ok {
			return
		}
		if _, ok = g.opts.Directory.Workspace(id.Workspace()); !ok {
			return
		}
		refusal.Budget = id
	}
	if resp.call != nil {
		refusal.Target, refusal.MaxCost = resp.call.Target, resp.call.MaxCost
	}
	g.opts.Refused(refusal)
}

func errDraining() *verdict.Error {
	const retryAfter = time.Second
	return verdict.New(verdict.NotRun, verdict.CodeDraining, "the router is shutting down").WithRetryAfter(retryAfter)
}

func (g *Gateway) serveReady(resp *response) {
	switch {
	case g.calls.isDraining():
		resp.writeError(errDraining())
	case !g.opts.Directory.Ready():
		resp.writeError(verdict.New(verdict.NotRun, verdict.CodeNotReady, "the router has no confirmed configuration"))
	default:
		resp.writeText("ready")
	}
}

// serve handles a request. It returns an error only if nothing has been sent yet.
func (g *Gateway) serve(resp *response, r *http.Request) *verdict.Error {
	caller, err := g.auth.authenticate(r.Context(), r.Header)
	if err != nil {
		return err
	}
	resp.caller = caller
	path := r.URL.Path
	switch {
	case path == pathChat && r.Method == http.MethodPost:
		return g.serveModelCall(formatChat, resp, r, caller)
	case path == pathCompletions && r.Method == http.MethodPost:
		return g.serveModelCall(formatCompletion, resp, r, caller)
	case path == pathModels && r.Method == http.MethodGet:
		resp.writeJSON(modelList(g.callableModels(caller)))
		return nil
	case strings.HasPrefix(path, pathModels+"/") && r.Method == http.MethodGet:
		return g.serveModelInfo(resp, caller, path[len(pathModels)+1:])
	case strings.HasPrefix(path, servicePrefix):
		return g.serveServiceCall(resp, r, caller)
	}
	return verdict.New(verdict.NotRun, verdict.CodeNotFound, "there is no such path and method")
}

func (g *Gateway) serveModelCall(f format, resp *response, r *http.Request, caller identity) *verdict.Error {
	body, release, err := g.readBody(resp, r, wire.MaxBodyBytes)
	defer release()
	if err != nil {
		return err
	}
	call, err := g.newModelCall(f, r, caller, body)
	if err != nil {
		return err
	}
	return g.run(resp, r, call, newModelSink(resp, call.Stream))
}

func (g *Gateway) serveServiceCall(resp *response, r *http.Request, caller identity) *verdict.Error {
	name, path, err := servicePath(r)
	if err != nil {
		return err
	}
	service, ok := g.opts.Directory.Service(name)
	if !ok || !slices.Contains(caller.workspace.Services, name) {
		return verdict.New(verdict.NotRun, verdict.CodeNotFound, "the service %s does not exist or the workspace cannot use it", quoteTruncated(name))
	}
	limit := service.MaxBodyBytes
	if limit <= 0 || limit > wire.MaxBodyBytes {
		limit = wire.MaxBodyBytes
	}
	body, release, err := g.readBody(resp, r, limit)
	defer release()
	if err != nil {
		return err
	}
	call, err := newServiceCall(service, path, r, caller, body)
	if err != nil {
		return err
	}
	return g.run(resp, r, call, &serviceSink{response: resp, method: r.Method})
}

// servicePath splits the path of a request into the service's name and the path
// that the service receives. Dot segments are refused: a service that resolves them
// could serve a path outside of the one it was called with.
func servicePath(r *http.Request) (name, path string, err *verdict.Error) {
	if r.Method == http.MethodConnect || r.Method == http.MethodTrace {
		return "", "", badRequest("the method is not supported")
	}
	for segment := range strings.SplitSeq(r.URL.Path, "/") {
		if segment == "." || segment == ".." {
			return "", "", badRequest("the path has a dot segment")
		}
	}
	name, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), servicePrefix), "/")
	path = "/" + rest
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return name, path, nil
}

// responseSink relays the response of a call to the caller and completes it.
type responseSink interface {
	dispatch.Sink
	// finish completes the response. If nothing has been sent yet it may return an
	// error, which is then the whole response.
	finish(out dispatch.Outcome) *verdict.Error
}

// run admits a call, dispatches it, and completes its response.
func (g *Gateway) run(resp *response, r *http.Request, call *dispatch.Call, sink responseSink) *verdict.Error {
	call.Request, resp.call = resp.id, call
	resp.hasIdempotencyKey = call.Key != ""
	ctx := traceContext.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := g.opts.Tracer.Start(ctx, spanName, trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	var parent traceParentCarrier
	traceContext.Inject(ctx, &parent)
	call.TraceParent = string(parent)

	started := time.Now()
	release, err := g.opts.Admission.Acquire(ctx, admission.Request{
		Workspace: call.Workspace, Priority: call.Priority, Deadline: call.Deadline,
	})
	if err != nil {
		return asNotRun(err, "the request was not admitted")
	}
	defer release()
	ctx, cancel := context.WithDeadline(ctx, call.Deadline.Add(deadlineGrace))
	defer cancel()
	out := reconcileVerdicts(g.opts.Dispatcher.Do(ctx, call, sink))
	failure := sink.finish(out)
	if failure != nil {
		resp.writeError(failure)
		out.Err = failure
	}
	elapsed := time.Since(started)
	g.stats.observe(g.stats.duration, elapsed)
	annotateSpan(span, resp, call, out)
	g.opts.Finished(Record{Call: call, Outcome: out, Status: resp.status, Elapsed: elapsed})
	if resp.truncated {
		panic(http.ErrAbortHandler)
	}
	return nil
}

// reconcileVerdicts sets both verdicts of an outcome to Unknown if they differ,
// because then it is not known whether the request ran.
func reconcileVerdicts(out dispatch.Outcome) dispatch.Outcome {
	if out.Err != nil && out.Err.Verdict != out.Verdict {
		err := *out.Err
		err.Verdict = verdict.Unknown
		out.Verdict, out.Err = verdict.Unknown, &err
	}
	return out
}

// annotateSpan adds the outcome of a call to its span.
func annotateSpan(span trace.Span, resp *response, call *dispatch.Call, out dispatch.Outcome) {
	if !span.IsRecording() {
		return
	}
	span.SetAttributes(
		attribute.String("monsoon.request_id", resp.idText),
		attribute.String("monsoon.workspace", call.Workspace),
		attribute.String("monsoon.target", call.Target),
		attribute.String("monsoon.verdict", out.Verdict.String()),
		attribute.Int("http.response.status_code", resp.status),
		attribute.Int("monsoon.attempts", len(out.Attempts)),
	)
	if out.Err != nil {
		span.SetStatus(codes.Error, string(out.Err.Code))
	}
}

// recoverPanic responds to a panic with an error, or aborts the connection if part
// of the response was sent. The request may have run.
func (resp *response) recoverPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	if cause == http.ErrAbortHandler {
		panic(cause)
	}
	resp.g.opts.Logger.Error("panic while serving a request", "request_id", resp.idText,
		"cause", fmt.Sprint(cause), "stack", string(debug.Stack()))
	if resp.status != 0 {
		panic(http.ErrAbortHandler)
	}
	resp.writeError(verdict.New(verdict.Unknown, verdict.CodeInternal, "internal error"))
}
