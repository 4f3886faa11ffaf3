package gate

import (
	"log/slog"
	"time"
)

// log writes the log line of the request: its route and configuration version, its
// attempts and its result.
func (p *proxyRequest) log() {
	attributes := []slog.Attr{
		slog.String("id", p.requestInfo.ID), slog.Int("status", p.status),
		slog.Int64("ms", time.Since(p.started).Milliseconds()),
	}
	if p.code != "" {
		attributes = append(attributes, slog.String("code", string(p.code)), slog.String("detail", p.detail))
	}
	if p.catalog != nil {
		attributes = append(attributes, slog.Int64("config", p.catalog.Version))
	}
	if p.route != nil {
		attributes = append(attributes, slog.String("route", p.route.Name), slog.String("kind", p.route.Kind.String()))
	}
	if p.service != nil {
		attributes = append(attributes, slog.String("service", p.service.Name))
	}
	if p.workspace != nil {
		attributes = append(attributes, slog.String("workspace", p.workspace.Name))
	}
	if p.requestInfo.TokensDeclared {
		attributes = append(attributes, slog.Int64("prompt_tokens", p.requestInfo.PromptTokens), slog.Int64("max_output_tokens", p.requestInfo.MaxOutputTokens))
	}
	if len(p.attemptRecords) > 0 {
		attributes = append(attributes, slog.Any("attempts", p.attemptRecords), slog.Bool("may_have_run", p.mayHaveRun), slog.Int("events", p.stream.eventCount))
	}
	if p.reserveTime > 0 {
		attributes = append(attributes, slog.Int64("reserve_ms", p.reserveTime.Milliseconds()))
	}
	if p.writeTime > 0 {
		attributes = append(attributes, slog.Int64("write_ms", p.writeTime.Milliseconds()))
	}
	if drain := p.gate.drain.Load(); drain != nil {
		attributes = append(attributes, slog.Int64("drain_ms", time.Since(drain.Began).Milliseconds()))
	}
	if p.requestInfo.LastEventID != "" {
		attributes = append(attributes, slog.String("resumes_after", p.requestInfo.LastEventID))
	}
	p.gate.opts.Log.LogAttrs(p.r.Context(), slog.LevelInfo, "request", attributes...)
}
