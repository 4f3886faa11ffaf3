package dispatch

import (
	"context"

	"go.opentelemetry.io/otel/attribute"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/telemetry"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// startSpan starts the span of an attempt and makes it the parent of what the
// agent does. The returned function ends it.
func (r *run) startSpan(a *attempt) func(result) {
	ctx, span := telemetry.StartSpan(r.ctx, "dispatch.attempt",
		attribute.String("monsoon.attempt_id", a.id.String()),
		attribute.String("monsoon.server", a.server.Name),
		attribute.String("monsoon.region", a.server.Region),
		attribute.String("monsoon.choice", a.reason),
		attribute.Int64("monsoon.reserved_tokens", int64(a.slot.hold.Amount)))
	a.traceCtx, a.traceParent = ctx, telemetry.TraceParent(ctx, r.call.TraceParent)
	return func(res result) {
		if !span.IsRecording() {
			return
		}
		span.SetAttributes(attribute.String("monsoon.verdict", res.Verdict.String()))
		if res.Bill != nil {
			span.SetAttributes(attribute.Int64("monsoon.billed_tokens", int64(res.Bill.Amount)))
		}
		telemetry.EndSpan(span, codeText(res.Err))
	}
}

func codeText(err *verdict.Error) string {
	if err == nil {
		return ""
	}
	return string(err.Code)
}

// askHome claims the key at its home, in a span of its own.
func (r *run) askHome(a *attempt, home budget.ID, args *wire.ClaimArgs) (wire.ClaimReply, error) {
	_, span := telemetry.StartSpan(a.spanContext(), "holder.claim",
		attribute.String("monsoon.home_region", r.call.HomeRegion), attribute.Int64("monsoon.shard", int64(args.Account.Shard)))
	reply, err := r.d.Claims.Claim(r.ctx, r.call.HomeRegion, home, args)
	code := ""
	if err != nil || reply.Outcome == wire.ClaimUnavailable {
		code = string(verdict.CodeHomeUnreachable)
	}
	span.SetAttributes(attribute.Int("monsoon.claim_outcome", int(reply.Outcome)))
	telemetry.EndSpan(span, code)
	return reply, err
}

// spanContext returns the context of the attempt's span, or that of the run
// before there is one.
func (a *attempt) spanContext() context.Context {
	if a.traceCtx == nil {
		return a.r.ctx
	}
	return a.traceCtx
}
