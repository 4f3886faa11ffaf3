package gate

import (
	"log/slog"
	"time"
)

// log writes the one line that explains a request: what decided about it, in which
// version of the configuration, and what became of it.
func (x *exchange) log() {
	attributes := []slog.Attr{
		slog.String("id", x.call.ID), slog.Int("status", x.status),
		slog.Int64("ms", time.Since(x.started).Milliseconds()),
	}
	if x.code != "" {
		attributes = append(attributes, slog.String("code", string(x.code)), slog.String("detail", x.detail))
	}
	if x.catalog != nil {
		attributes = append(attributes, slog.Int64("config", x.catalog.Version))
	}
	if x.route != nil {
		attributes = append(attributes, slog.String("route", x.route.Name), slog.String("kind", x.route.Kind.String()))
	}
	if x.service != nil {
		attributes = append(attributes, slog.String("service", x.service.Name))
	}
	if x.workspace != nil {
		attributes = append(attributes, slog.String("workspace", x.workspace.Name))
	}
	if x.call.Metered {
		attributes = append(attributes, slog.Int64("prompt_tokens", x.call.PromptTokens), slog.Int64("max_output_tokens", x.call.MaxOutputTokens))
	}
	if len(x.attempts) > 0 {
		attributes = append(attributes, slog.Any("attempts", x.attempts), slog.Bool("may_have_run", x.mayRan), slog.Int("events", x.stream.delivered))
	}
	if x.call.LastEventID != "" {
		attributes = append(attributes, slog.String("resumes_after", x.call.LastEventID))
	}
	x.gate.opts.Log.LogAttrs(x.r.Context(), slog.LevelInfo, "request", attributes...)
}
