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

// Paths of the callers' interface, and the name of a call's span.
const (
	spanName        = "gateway.call"
	pathChat        = "/v1/chat/completions"
	pathCompletions = "/v1/completions"
	pathModels      = "/v1/models"
	pathAlive       = "/healthz"
	pathReady       = "/readyz"
	servicePrefix   = "/svc/"
)

// ServeHTTP implements http.Handler. It does not use http.ServeMux, which
// redirects paths that plain services must receive unchanged.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	beginAnswer(r.Context())
	a := newAnswer(g, w, uuid.Must(uuid.NewV7()))
	defer a.recoverPanic()
	if r.ContentLength != 0 {
		// The server also reads a body that no handler wanted. An error means
		// that the writer has no connection (tests).
		_ = a.rc.SetReadDeadline(a.started.Add(g.opts.BodyTimeout))
	}
	switch r.URL.Path {
	case pathAlive:
		a.plain("ok")
		return
	case pathReady:
		g.serveReady(a)
		return
	}
	g.stats.requests.Inc(1)
	if !g.calls.begin() {
		w.Header().Set("Connection", "close")
		a.fail(errDraining())
		return
	}
	defer g.calls.end()
	if !r.ProtoAtLeast(1, 1) {
		// Without chunks a broken answer would look complete.
		a.fail(badRequest("HTTP/1.1 is required"))
		return
	}
	if err := g.serve(a, r); err != nil {
		a.fail(err)
		g.noteRefusal(a, r, err)
	}
}

// noteRefusal reports a request that was refused before its dispatch.
func (g *Gateway) noteRefusal(a *answer, r *http.Request, err *verdict.Error) {
	refusal := Refusal{
		Request: a.id, Budget: a.who.budget, Authenticated: a.who.budget != "",
		Err: err, Status: a.status, Elapsed: time.Since(a.started),
	}
	if !refusal.Authenticated {
		_, id, ok := bearerKey(r.Header)
		if !ok {
			return
		}
		if _, ok = g.opts.Directory.Workspace(id.Workspace()); !ok {
			return
		}
		refusal.Budget = id
	}
	if a.call != nil {
		refusal.Target, refusal.Reserve = a.call.Target, a.call.Reserve
	}
	g.opts.Refused(refusal)
}

func errDraining() *verdict.Error {
	const retryElsewhere = time.Second
	return verdict.New(verdict.NotRun, verdict.CodeDraining, "the router is shutting down").WithRetryAfter(retryElsewhere)
}

func (g *Gateway) serveReady(a *answer) {
	switch {
	case g.calls.isDraining():
		a.fail(errDraining())
	case !g.opts.Directory.Ready():
		a.fail(verdict.New(verdict.NotRun, verdict.CodeNotReady, "the router has no confirmed configuration"))
	default:
		a.plain("ready")
	}
}

// serve answers a request, or returns an error if nothing was sent yet.
func (g *Gateway) serve(a *answer, r *http.Request) *verdict.Error {
	who, err := g.auth.authenticate(r.Context(), r.Header)
	if err != nil {
		return err
	}
	a.who = who
	path := r.URL.Path
	switch {
	case path == pathChat && r.Method == http.MethodPost:
		return g.serveModel(formatChat, a, r, who)
	case path == pathCompletions && r.Method == http.MethodPost:
		return g.serveModel(formatCompletion, a, r, who)
	case path == pathModels && r.Method == http.MethodGet:
		a.json(modelList(g.callableModels(who)))
		return nil
	case strings.HasPrefix(path, pathModels+"/") && r.Method == http.MethodGet:
		return g.serveOneModel(a, who, path[len(pathModels)+1:])
	case strings.HasPrefix(path, servicePrefix):
		return g.serveService(a, r, who)
	}
	return verdict.New(verdict.NotRun, verdict.CodeNotFound, "there is no such path and method")
}

func (g *Gateway) serveModel(f format, a *answer, r *http.Request, who caller) *verdict.Error {
	body, release, err := g.readBody(a, r, wire.MaxBodyBytes)
	defer release()
	if err != nil {
		return err
	}
	call, err := g.modelCall(f, r, who, body)
	if err != nil {
		return err
	}
	return g.run(a, r, call, newModelSink(a, call.Stream))
}

func (g *Gateway) serveService(a *answer, r *http.Request, who caller) *verdict.Error {
	name, path, err := servicePath(r)
	if err != nil {
		return err
	}
	service, ok := g.opts.Directory.Service(name)
	if !ok || !slices.Contains(who.workspace.Services, name) {
		return verdict.New(verdict.NotRun, verdict.CodeNotFound, "the service %s does not exist or the workspace cannot use it", quoted(name))
	}
	limit := service.MaxBodyBytes
	if limit <= 0 || limit > wire.MaxBodyBytes {
		limit = wire.MaxBodyBytes
	}
	body, release, err := g.readBody(a, r, limit)
	defer release()
	if err != nil {
		return err
	}
	call, err := serviceCall(service, path, r, who, body)
	if err != nil {
		return err
	}
	return g.run(a, r, call, &serviceSink{answer: a, method: r.Method})
}

// servicePath splits the path of a request into the service's name and what the
// service receives. Dot segments are refused, because a service that resolves
// them could be made to leave the path that it was given.
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

// answerSink receives an answer and ends it.
type answerSink interface {
	dispatch.Sink
	// finish ends the answer. It returns an error if nothing was sent yet, which
	// is then the whole answer.
	finish(out dispatch.Outcome) *verdict.Error
}

// run admits a call, dispatches it, and ends its answer.
func (g *Gateway) run(a *answer, r *http.Request, call *dispatch.Call, sink answerSink) *verdict.Error {
	call.Request, a.call = a.id, call
	a.keyed = call.Key != ""
	ctx := w3c.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := g.opts.Tracer.Start(ctx, spanName, trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	var parent traceParentCarrier
	w3c.Inject(ctx, &parent)
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
	out := settled(g.opts.Dispatcher.Do(ctx, call, sink))
	failure := sink.finish(out)
	if failure != nil {
		a.fail(failure)
		out.Err = failure
	}
	elapsed := time.Since(started)
	g.stats.observe(g.stats.duration, elapsed)
	describe(span, a, call, out)
	g.opts.Finished(Record{Call: call, Outcome: out, Status: a.status, Elapsed: elapsed})
	if a.broken {
		panic(http.ErrAbortHandler)
	}
	return nil
}

// settled makes the two verdicts of an outcome agree. Where they differ, it is
// not known whether the request ran.
func settled(out dispatch.Outcome) dispatch.Outcome {
	if out.Err != nil && out.Err.Verdict != out.Verdict {
		err := *out.Err
		err.Verdict = verdict.Unknown
		out.Verdict, out.Err = verdict.Unknown, &err
	}
	return out
}

// describe records the outcome in the span.
func describe(span trace.Span, a *answer, call *dispatch.Call, out dispatch.Outcome) {
	if !span.IsRecording() {
		return
	}
	span.SetAttributes(
		attribute.String("monsoon.request_id", a.idText),
		attribute.String("monsoon.workspace", call.Workspace),
		attribute.String("monsoon.target", call.Target),
		attribute.String("monsoon.verdict", out.Verdict.String()),
		attribute.Int("http.response.status_code", a.status),
		attribute.Int("monsoon.attempts", len(out.Attempts)),
	)
	if out.Err != nil {
		span.SetStatus(codes.Error, string(out.Err.Code))
	}
}

// recoverPanic turns a panic into an error answer, or breaks the connection if
// an answer was begun. The request may have run.
func (a *answer) recoverPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	if cause == http.ErrAbortHandler {
		panic(cause)
	}
	a.g.opts.Logger.Error("panic while serving a request", "request_id", a.idText,
		"cause", fmt.Sprint(cause), "stack", string(debug.Stack()))
	if a.status != 0 {
		panic(http.ErrAbortHandler)
	}
	a.fail(verdict.New(verdict.Unknown, verdict.CodeInternal, "internal error"))
}
