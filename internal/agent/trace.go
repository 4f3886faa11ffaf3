package agent

import (
	"context"
	"errors"

	"go.opentelemetry.io/otel/attribute"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/engine"
	"github.com/monsoonworks/monsoonworks/internal/telemetry"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// startSpan starts the span of an attempt that has a slot, as a child of the
// router's span. The returned function ends it.
func (a *Agent) startSpan(at *attempt) (context.Context, func(*wire.Done, *budget.Bill)) {
	ctx, span := telemetry.StartSpan(telemetry.WithTraceParent(at.ctx, at.req.TraceParent), "agent.attempt",
		attribute.String("monsoon.attempt_id", at.id.String()),
		attribute.String("monsoon.server", a.opts.Server),
		attribute.Int64("monsoon.queued_ms", at.startedAt.Sub(at.acceptedAt).Milliseconds()))
	return ctx, func(done *wire.Done, bill *budget.Bill) {
		span.SetAttributes(attribute.String("monsoon.verdict", done.Verdict.String()))
		if bill != nil {
			span.SetAttributes(attribute.Int64("monsoon.billed_tokens", int64(bill.Amount)))
		}
		telemetry.EndSpan(span, string(done.Code))
	}
}

// engineCode returns the code of an engine call's failure for its span, empty if
// it succeeded. No part of the engine's message enters the trace.
func engineCode(err error) string {
	var status *engine.StatusError
	switch {
	case err == nil, errors.Is(err, errTokenLimit):
		return ""
	case errors.As(err, &status):
		return "status-error"
	case errors.Is(err, errCanceled), errors.Is(err, errRouterGone):
		return "canceled"
	case errors.Is(err, errDeadline):
		return "deadline-exceeded"
	case errors.Is(err, engine.ErrNotSent):
		return "not-sent"
	}
	return "failed"
}
