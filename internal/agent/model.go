package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/engine"
	"github.com/monsoonworks/monsoonworks/internal/telemetry"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// Paths of model requests.
const (
	chatPath       = "/v1/chat/completions"
	completionPath = "/v1/completions"
)

// cancelTimeout bounds the call that stops an engine's stream.
const cancelTimeout = 2 * time.Second

// preparedBody is a model request as it is sent to the engine.
type preparedBody struct {
	body []byte
	// usage is set if the caller asked for the usage in its stream.
	usage bool
}

var errBody = errors.New("the body is not a JSON object")

// prepareBody makes the engine's request from the caller's: always streamed and
// with usage, with the priority, and with the token limit that was paid for.
func prepareBody(req *wire.ExecRequest, body []byte) (*preparedBody, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil || fields == nil {
		return nil, errBody
	}
	var options map[string]json.RawMessage
	if raw, found := fields["stream_options"]; found {
		if err := json.Unmarshal(raw, &options); err != nil {
			return nil, errBody
		}
	}
	p := &preparedBody{usage: req.Stream && string(options["include_usage"]) == "true"}
	if options == nil {
		options = make(map[string]json.RawMessage)
	}
	options["include_usage"] = json.RawMessage("true")
	set := func(name string, value any) {
		fields[name], _ = json.Marshal(value) // plain values always encode
	}
	set("stream_options", options)
	set("stream", true)
	set("priority", req.Priority)
	setTokenLimit(fields, req.MaxOutput, set)
	var err error
	p.body, err = json.Marshal(fields)
	return p, err
}

// setTokenLimit makes the engine stop by itself at the paid limit.
func setTokenLimit(fields map[string]json.RawMessage, limit budget.Tokens, set func(string, any)) {
	if limit <= 0 {
		return
	}
	name := "max_tokens"
	if _, found := fields["max_completion_tokens"]; found {
		delete(fields, name)
		name = "max_completion_tokens"
	}
	set(name, limit)
}

// errBound stops an answer that has reached its bound.
var errBound = errors.New("the bound is reached")

// modelRun is one execution of a model request.
type modelRun struct {
	agent *Agent
	at    *attempt
	// limit is the most output tokens that the reservation covers.
	limit budget.Tokens
	// output counts the tokens passed on, seen all that the engine sent.
	output, seen budget.Tokens
	// cut is set when the answer reached its bound before its end.
	cut       bool
	usage     *engine.Usage
	events    int
	firstAt   time.Time
	lastAt    time.Time
	template  string // a chunk that the end of a cut answer is made from
	assembler *assembler
	// delivered is set once a part of the answer can have reached the caller.
	delivered bool
}

func (a *Agent) runModel(ctx context.Context, at *attempt) (*wire.Done, *budget.Bill) {
	r := &modelRun{agent: a, at: at, limit: at.req.Reserve - at.req.PromptBound}
	if at.req.MaxOutput > 0 {
		r.limit = min(r.limit, at.req.MaxOutput)
	}
	if !at.req.Stream {
		r.assembler = newAssembler(at.req.Path == chatPath)
	}
	ctx, span := telemetry.StartSpan(ctx, "engine.call", attribute.String("monsoon.model", at.req.Target))
	err := a.model.Run(ctx, &engine.Request{
		ID: at.id, Path: at.req.Path, Body: at.prepared.body, TraceParent: telemetry.TraceParent(ctx, at.req.TraceParent),
	}, r.onEvent)
	span.SetAttributes(attribute.Int64("monsoon.output_tokens", int64(r.output)))
	telemetry.EndSpan(span, engineCode(err))
	if r.events > 0 {
		a.est.finished(time.Since(at.dispatched), r.lastAt.Sub(r.firstAt), int(r.output))
	}
	switch {
	case err == nil:
		return r.complete()
	case errors.Is(err, errBound):
		r.stopEngine()
		return r.complete()
	default:
		return r.failed(err)
	}
}

// onEvent handles one chunk of the engine's answer.
func (r *modelRun) onEvent(e *engine.Event) error {
	r.events++
	now := time.Now()
	if r.events == 1 {
		r.firstAt = now
		r.agent.firstTokenSeen(r.at)
		if r.at.req.Stream {
			r.at.answer.setHead(streamHead(r.at))
		}
	}
	r.lastAt = now
	if e.Usage != nil {
		r.usage = e.Usage
	}
	tokens := budget.Tokens(e.Tokens)
	r.seen += tokens
	if r.seen > r.limit {
		r.cut = true
		return errBound
	}
	r.output += tokens
	if r.template == "" && !e.NoChoices {
		r.template = e.JSON
	}
	if r.assembler != nil {
		return r.assembler.add(e.JSON)
	}
	if e.NoChoices && e.Usage != nil && !r.at.prepared.usage {
		return nil
	}
	return r.send(e.Tokens, e.JSON)
}

const (
	dataPrefix = "data: "
	eventEnd   = "\n\n"
)

// send adds one server-sent event to the answer.
func (r *modelRun) send(tokens uint32, text string) error {
	if strings.ContainsAny(text, "\r\n") {
		// A line end outside of a JSON string would end the event's line.
		var compact bytes.Buffer
		if err := json.Compact(&compact, []byte(text)); err != nil {
			return err
		}
		text = compact.String()
	}
	r.delivered = true
	return r.at.answer.append(r.at.ctx, tokens, dataPrefix, text, eventEnd)
}

func streamHead(at *attempt) *wire.Head {
	return &wire.Head{Attempt: at.id, Status: http.StatusOK, Headers: []wire.Header{
		{Name: "Content-Type", Value: "text/event-stream"},
		{Name: "Cache-Control", Value: "no-cache"},
	}}
}

// complete ends an answer that the caller gets whole, or cut at its bound.
func (r *modelRun) complete() (*wire.Done, *budget.Bill) {
	unreported := r.at.req.PromptBound
	if r.events == 0 {
		unreported = 0
	}
	prompt, output := r.count(unreported)
	if err := r.finishAnswer(prompt, output); err != nil {
		return r.failed(err)
	}
	return &wire.Done{Verdict: verdict.Ran}, r.agent.newBill(r.at, prompt, output, prompt+output)
}

// count returns the tokens to bill. Without a report of the engine the prompt
// counts as unreported. What the engine generated beyond the bound is absorbed.
func (r *modelRun) count(unreported budget.Tokens) (prompt, output budget.Tokens) {
	prompt, output = unreported, r.output
	generated, beyond := r.seen, budget.Tokens(0)
	if r.usage != nil {
		prompt = min(r.usage.Prompt, r.at.req.PromptBound)
		beyond = r.usage.Prompt - prompt
		generated = max(generated, r.usage.Output)
	}
	if !r.cut {
		output = max(output, min(generated, r.limit))
	}
	r.agent.metrics.absorbedTokens.Inc(int64(generated - output + beyond))
	return prompt, output
}

// finishAnswer writes the end of the answer.
func (r *modelRun) finishAnswer(prompt, output budget.Tokens) error {
	if r.assembler != nil {
		whole, err := r.assembler.answer(r.cut, prompt, output)
		if err != nil {
			return err
		}
		return r.sendWhole(whole, uint32(output))
	}
	if r.events == 0 {
		r.at.answer.setHead(streamHead(r.at))
	}
	if r.cut {
		if err := r.sendCut(prompt, output); err != nil {
			return err
		}
	}
	return r.send(0, "[DONE]")
}

// sendCut ends a streamed answer that reached its bound the way an engine ends
// one that reached its token limit.
func (r *modelRun) sendCut(prompt, output budget.Tokens) error {
	chat := r.at.req.Path == chatPath
	if r.template == "" {
		r.template = emptyChunk(r.at, chat)
	}
	last, err := cutChunk(r.template, chat)
	if err != nil {
		return err
	}
	if err := r.send(0, last); err != nil || !r.at.prepared.usage {
		return err
	}
	usage, err := usageChunk(r.template, prompt, output)
	if err != nil {
		return err
	}
	return r.send(0, usage)
}

// sendWhole adds an answer that is not streamed, in parts that fit a frame.
func (r *modelRun) sendWhole(whole []byte, tokens uint32) error {
	r.at.answer.setHead(&wire.Head{Attempt: r.at.id, Status: http.StatusOK, Headers: []wire.Header{
		{Name: "Content-Type", Value: "application/json"},
	}})
	for len(whole) > 0 {
		n := min(len(whole), wire.MaxFrameBytes)
		r.delivered = true
		if err := r.at.answer.append(r.at.ctx, tokens, string(whole[:n])); err != nil {
			return err
		}
		whole, tokens = whole[n:], 0
	}
	return nil
}

// stopEngine stops the engine's stream and takes over the usage that it reports.
func (r *modelRun) stopEngine() {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if usage, err := r.agent.model.Cancel(ctx, r.at.id); err == nil && usage != nil {
		r.usage = usage
	}
}

// verdict returns what is known after a failure.
func (r *modelRun) verdict() verdict.Verdict {
	if r.events > 0 {
		return verdict.Ran
	}
	return verdict.Unknown
}

// failed ends an answer that is not whole.
func (r *modelRun) failed(err error) (*wire.Done, *budget.Bill) {
	done := &wire.Done{Verdict: r.verdict(), Code: verdict.CodeServerError, Detail: err.Error()}
	var status *engine.StatusError
	switch {
	case errors.Is(err, errCanceled), errors.Is(err, errRouterGone):
		r.stopEngine()
		done.Code = verdict.CodeCanceled
		return done, r.partialBill(r.at.req.PromptBound)
	case errors.Is(err, errDeadline):
		r.stopEngine()
		done.Code = verdict.CodeDeadlineExceeded
	case errors.Is(err, engine.ErrInvalidRequest):
		return &wire.Done{Verdict: verdict.NotRun, Code: verdict.CodeBadRequest, Detail: err.Error()}, nil
	case errors.Is(err, engine.ErrNotSent):
		r.agent.setDown(true)
		return &wire.Done{Verdict: verdict.NotRun, Code: verdict.CodeNoServer, Detail: "the server cannot be reached"}, nil
	case errors.As(err, &status) && r.events == 0:
		return statusDone(status), nil
	case errors.Is(err, errServerCrash), errors.Is(err, engine.ErrServerLost), errors.Is(err, engine.ErrStreamLost):
		r.agent.serverLost(r.at, err)
		done.Code, done.Detail = verdict.CodeServerLost, "the server was lost while it ran the request"
	default:
		r.stopEngine()
	}
	if !r.delivered {
		return done, nil
	}
	return done, r.partialBill(0)
}

// partialBill bills what was generated, with the prompt as the engine reported
// it. A request without output costs nothing.
func (r *modelRun) partialBill(unreported budget.Tokens) *budget.Bill {
	prompt, output := r.count(unreported)
	if output == 0 {
		return nil
	}
	return r.agent.newBill(r.at, prompt, output, prompt+output)
}

// statusDone returns the end of a request that the engine answered with an
// error status before any output. A 4xx or 503 status means that the engine did
// not take the request.
func statusDone(status *engine.StatusError) *wire.Done {
	done := &wire.Done{Verdict: verdict.NotRun, Code: verdict.CodeBadRequest, Detail: status.Detail}
	switch {
	case status.Status == http.StatusNotFound:
		done.Code = verdict.CodeNotFound
	case status.Status == http.StatusConflict:
		// The engine knows the attempt already, so an earlier copy may run.
		done.Verdict, done.Code = verdict.Unknown, verdict.CodeServerError
	case status.Status == http.StatusTooManyRequests, status.Status == http.StatusServiceUnavailable:
		done.Code = verdict.CodeOverloaded
	case status.Status == http.StatusRequestEntityTooLarge:
		done.Code = verdict.CodeTooLarge
	case status.Status < 400 || status.Status >= 500:
		done.Verdict, done.Code = verdict.Unknown, verdict.CodeServerError
	}
	return done
}
