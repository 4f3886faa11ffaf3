package dispatch

import (
	"context"

	"go.opentelemetry.io/otel/attribute"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/telemetry"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// startSpan starts the span of an attempt and makes it the parent of the
// agent's spans. The returned function ends it.
func (s *callState) startSpan(a *attempt) func(result) {
	ctx, span := telemetry.StartSpan(s.ctx, "dispatch.attempt",
		attribute.String("monsoon.attempt_id", a.id.String()),
		attribute.String("monsoon.server", a.server.Name),
		attribute.String("monsoon.region", a.server.Region),
		attribute.String("monsoon.choice", a.reason),
		attribute.Int64("monsoon.reserved_tokens", int64(a.reservation.details.Amount)))
	a.traceCtx, a.traceParent = ctx, telemetry.TraceParent(ctx, s.call.TraceParent)
	return func(res result) {
		if !span.IsRecording() {
			return
		}
		span.SetAttributes(attribute.String("monsoon.verdict", res.Verdict.String()))
		if res.Bill != nil {
			span.SetAttributes(attribute.Int64("monsoon.billed_tokens", int64(res.Bill.Amount)))
		}
		telemetry.EndSpan(span, errorCode(res.Err))
	}
}

func errorCode(err *verdict.Error) string {
	if err == nil {
		return ""
	}
	return string(err.Code)
}

// claimKey claims the idempotency key in a span of its own.
func (s *callState) claimKey(a *attempt, defaultBudget budget.ID, args *wire.ClaimArgs) (wire.ClaimReply, error) {
	_, span := telemetry.StartSpan(a.spanContext(), "holder.claim",
		attribute.String("monsoon.home_region", s.call.HomeRegion), attribute.Int64("monsoon.shard", int64(args.Account.Shard)))
	reply, err := s.d.Claims.Claim(s.ctx, s.call.HomeRegion, defaultBudget, args)
	code := ""
	if err != nil || reply.Outcome == wire.ClaimUnavailable {
		code = string(verdict.CodeHomeUnreachable)
	}
	span.SetAttributes(attribute.Int("monsoon.claim_outcome", int(reply.Outcome)))
	telemetry.EndSpan(span, code)
	return reply, err
}

// spanContext returns the context of the attempt's span, or the call's context
// before the span is started.
func (a *attempt) spanContext() context.Context {
	if a.traceCtx == nil {
		return a.state.ctx
	}
	return a.traceCtx
}
