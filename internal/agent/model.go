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

// cancelTimeout bounds the call that cancels an engine's stream.
const cancelTimeout = 2 * time.Second

// preparedBody is the body of a model request as sent to the engine.
type preparedBody struct {
	body []byte
	// wantsUsage is set if the caller requested the usage in its stream.
	wantsUsage bool
}

var errMalformedBody = errors.New("the body is not a JSON object")

// prepareBody rewrites the caller's request for the engine: the rewritten body
// always requests a stream with usage, has the priority of the request, and
// limits the output to req.MaxOutput tokens if that is positive.
func prepareBody(req *wire.ExecRequest, body []byte) (*preparedBody, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil || fields == nil {
		return nil, errMalformedBody
	}
	var options map[string]json.RawMessage
	if raw, found := fields["stream_options"]; found {
		if err := json.Unmarshal(raw, &options); err != nil {
			return nil, errMalformedBody
		}
	}
	p := &preparedBody{wantsUsage: req.Stream && string(options["include_usage"]) == "true"}
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

// setTokenLimit makes the engine stop at the given number of output tokens. It
// has no effect if the number is not positive.
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

// errTokenLimit ends a response that has reached its token limit.
var errTokenLimit = errors.New("the response reached its token limit")

// modelRun is one execution of a model request.
type modelRun struct {
	agent *Agent
	at    *attempt
	// limit is the maximum number of output tokens that the reservation and the
	// request allow.
	limit budget.Tokens
	// output counts the tokens forwarded, received all tokens that the engine
	// sent.
	output, received budget.Tokens
	// truncated is set when the response reaches its token limit before its
	// end.
	truncated bool
	usage     *engine.Usage
	chunks    int
	firstAt   time.Time
	lastAt    time.Time
	template  string // chunk that the end of a truncated response is based on
	assembler *assembler
	// partSent is set once a part of the response may have reached the caller.
	partSent bool
}

// runModel executes a model request. It returns the Done message of the attempt,
// and its bill, nil if the attempt costs nothing.
func (a *Agent) runModel(ctx context.Context, at *attempt) (*wire.Done, *budget.Bill) {
	r := &modelRun{agent: a, at: at, limit: at.req.MaxCost - at.req.MaxPromptCost}
	if at.req.MaxOutput > 0 {
		r.limit = min(r.limit, at.req.MaxOutput)
	}
	if !at.req.Stream {
		r.assembler = newAssembler(at.req.Path == chatPath)
	}
	ctx, span := telemetry.StartSpan(ctx, "engine.call", attribute.String("monsoon.model", at.req.Target))
	err := a.model.Run(ctx, &engine.Request{
		ID: at.id, Path: at.req.Path, Body: at.prepared.body, TraceParent: telemetry.TraceParent(ctx, at.req.TraceParent),
	}, r.onChunk)
	span.SetAttributes(attribute.Int64("monsoon.output_tokens", int64(r.output)))
	telemetry.EndSpan(span, engineCode(err))
	if r.chunks > 0 {
		a.estimator.recordRun(time.Since(at.startedAt), r.lastAt.Sub(r.firstAt), int(r.output))
	}
	switch {
	case err == nil:
		return r.complete()
	case errors.Is(err, errTokenLimit):
		r.cancelEngine()
		return r.complete()
	default:
		return r.fail(err)
	}
}

// onChunk handles one chunk of the engine's response.
func (r *modelRun) onChunk(chunk *engine.Chunk) error {
	r.chunks++
	now := time.Now()
	if r.chunks == 1 {
		r.firstAt = now
		r.agent.recordFirstToken(r.at)
		if r.at.req.Stream {
			r.at.response.setHead(streamHead(r.at))
		}
	}
	r.lastAt = now
	if chunk.Usage != nil {
		r.usage = chunk.Usage
	}
	tokens := budget.Tokens(chunk.Tokens)
	r.received += tokens
	if r.received > r.limit {
		r.truncated = true
		return errTokenLimit
	}
	r.output += tokens
	if r.template == "" && !chunk.NoChoices {
		r.template = chunk.JSON
	}
	if r.assembler != nil {
		return r.assembler.add(chunk.JSON)
	}
	if chunk.NoChoices && chunk.Usage != nil && !r.at.prepared.wantsUsage {
		return nil
	}
	return r.sendEvent(chunk.Tokens, chunk.JSON)
}

const (
	dataPrefix = "data: "
	eventEnd   = "\n\n"
)

// sendEvent appends one server-sent event to the response.
func (r *modelRun) sendEvent(tokens uint32, text string) error {
	if strings.ContainsAny(text, "\r\n") {
		// A line break outside a JSON string would end the event's data line.
		var compact bytes.Buffer
		if err := json.Compact(&compact, []byte(text)); err != nil {
			return err
		}
		text = compact.String()
	}
	r.partSent = true
	return r.at.response.append(r.at.ctx, tokens, dataPrefix, text, eventEnd)
}

func streamHead(at *attempt) *wire.Head {
	return &wire.Head{Attempt: at.id, Status: http.StatusOK, Headers: []wire.Header{
		{Name: "Content-Type", Value: "text/event-stream"},
		{Name: "Cache-Control", Value: "no-cache"},
	}}
}

// complete ends a response that the engine completed or that is truncated at its
// token limit.
func (r *modelRun) complete() (*wire.Done, *budget.Bill) {
	defaultPrompt := r.at.req.MaxPromptCost
	if r.chunks == 0 {
		defaultPrompt = 0
	}
	prompt, output := r.billableTokens(defaultPrompt)
	if err := r.finishResponse(prompt, output); err != nil {
		return r.fail(err)
	}
	return &wire.Done{Verdict: verdict.Ran}, r.agent.newBill(r.at, prompt, output, prompt+output)
}

// billableTokens returns the tokens to bill. defaultPrompt is used if the
// engine reported no usage. Prompt tokens beyond the reservation, output tokens
// beyond the limit, and all tokens of the chunk that exceeded the limit are
// absorbed: counted, but not billed.
func (r *modelRun) billableTokens(defaultPrompt budget.Tokens) (prompt, output budget.Tokens) {
	prompt, output = defaultPrompt, r.output
	generated, excessPrompt := r.received, budget.Tokens(0)
	if r.usage != nil {
		prompt = min(r.usage.Prompt, r.at.req.MaxPromptCost)
		excessPrompt = r.usage.Prompt - prompt
		generated = max(generated, r.usage.Output)
	}
	if !r.truncated {
		output = max(output, min(generated, r.limit))
	}
	r.agent.metrics.absorbedTokens.Inc(int64(generated - output + excessPrompt))
	return prompt, output
}

// finishResponse writes the end of the response.
func (r *modelRun) finishResponse(prompt, output budget.Tokens) error {
	if r.assembler != nil {
		body, err := r.assembler.build(r.truncated, prompt, output)
		if err != nil {
			return err
		}
		return r.sendComplete(body, uint32(output))
	}
	if r.chunks == 0 {
		r.at.response.setHead(streamHead(r.at))
	}
	if r.truncated {
		if err := r.sendTruncatedEnd(prompt, output); err != nil {
			return err
		}
	}
	return r.sendEvent(0, "[DONE]")
}

// sendTruncatedEnd sends what an engine sends when a streamed response reaches
// its token limit: a chunk with the finish reason, and the usage if requested.
func (r *modelRun) sendTruncatedEnd(prompt, output budget.Tokens) error {
	chat := r.at.req.Path == chatPath
	if r.template == "" {
		r.template = emptyChunk(r.at, chat)
	}
	last, err := truncatedChunk(r.template, chat)
	if err != nil {
		return err
	}
	if err := r.sendEvent(0, last); err != nil || !r.at.prepared.wantsUsage {
		return err
	}
	usage, err := usageChunk(r.template, prompt, output)
	if err != nil {
		return err
	}
	return r.sendEvent(0, usage)
}

// sendComplete appends a non-streamed response in frames of up to
// wire.MaxFrameBytes.
func (r *modelRun) sendComplete(body []byte, tokens uint32) error {
	r.at.response.setHead(&wire.Head{Attempt: r.at.id, Status: http.StatusOK, Headers: []wire.Header{
		{Name: "Content-Type", Value: "application/json"},
	}})
	for len(body) > 0 {
		n := min(len(body), wire.MaxFrameBytes)
		r.partSent = true
		if err := r.at.response.append(r.at.ctx, tokens, string(body[:n])); err != nil {
			return err
		}
		body, tokens = body[n:], 0
	}
	return nil
}

// cancelEngine cancels the engine's stream and records the usage that the
// engine reports.
func (r *modelRun) cancelEngine() {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if usage, err := r.agent.model.Cancel(ctx, r.at.id); err == nil && usage != nil {
		r.usage = usage
	}
}

// verdict returns the verdict after a failure.
func (r *modelRun) verdict() verdict.Verdict {
	if r.chunks > 0 {
		return verdict.Ran
	}
	return verdict.Unknown
}

// fail returns the Done message and the bill of an attempt whose response is
// incomplete. A canceled attempt with output is billed, with the reserved prompt
// tokens if the engine reported no usage. After other failures nothing is billed
// unless a part of the response may have reached the caller.
func (r *modelRun) fail(err error) (*wire.Done, *budget.Bill) {
	done := &wire.Done{Verdict: r.verdict(), Code: verdict.CodeServerError, Detail: err.Error()}
	var status *engine.StatusError
	switch {
	case errors.Is(err, errCanceled), errors.Is(err, errRouterGone):
		r.cancelEngine()
		done.Code = verdict.CodeCanceled
		return done, r.partialBill(r.at.req.MaxPromptCost)
	case errors.Is(err, errDeadline):
		r.cancelEngine()
		done.Code = verdict.CodeDeadlineExceeded
	case errors.Is(err, engine.ErrServerLost), errors.Is(err, errServerCrash), errors.Is(err, engine.ErrStreamLost):
		// ErrServerLost goes before ErrNotSent: only the resumption was not sent.
		r.agent.handleConnectionLoss(r.at, err)
		done.Code, done.Detail = verdict.CodeServerLost, "the server was lost while it ran the request"
	case errors.Is(err, engine.ErrInvalidRequest):
		return &wire.Done{Verdict: verdict.NotRun, Code: verdict.CodeBadRequest, Detail: err.Error()}, nil
	case errors.Is(err, engine.ErrNotSent):
		r.agent.setServerDown(true)
		return &wire.Done{Verdict: verdict.NotRun, Code: verdict.CodeNoServer, Detail: "the server cannot be reached"}, nil
	case errors.As(err, &status) && r.chunks == 0:
		return statusErrorDone(status), nil
	default:
		r.cancelEngine()
	}
	if !r.partSent {
		return done, nil
	}
	return done, r.partialBill(0)
}

// partialBill bills the generated tokens, and the prompt as reported by the
// engine or else as defaultPrompt. A request without output costs nothing.
func (r *modelRun) partialBill(defaultPrompt budget.Tokens) *budget.Bill {
	prompt, output := r.billableTokens(defaultPrompt)
	if output == 0 {
		return nil
	}
	return r.agent.newBill(r.at, prompt, output, prompt+output)
}

// statusErrorDone returns the Done message of a request for which the engine
// returned an error status before any output. Status 503, or 4xx other than 409,
// means that the engine did not accept the request.
func statusErrorDone(status *engine.StatusError) *wire.Done {
	done := &wire.Done{Verdict: verdict.NotRun, Code: verdict.CodeBadRequest, Detail: status.Detail}
	switch {
	case status.Status == http.StatusNotFound:
		done.Code = verdict.CodeNotFound
	case status.Status == http.StatusConflict:
		// The engine already has this attempt, so an earlier copy may run.
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
