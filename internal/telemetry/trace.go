package telemetry

import (
	"context"
	"fmt"
	"os"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"github.com/monsoonworks/monsoonworks/internal/settings"
)

const tracerName = "github.com/monsoonworks/monsoonworks"

// traceParentKey is the name of the W3C trace context header that identifies the parent span.
const traceParentKey = "traceparent"

// SetupTraces installs the trace exporters of the settings. The returned function
// exports the remaining spans and must be called at the end of the process.
func SetupTraces(ctx context.Context, s settings.Settings) (func(context.Context) error, error) {
	noShutdown := func(context.Context) error { return nil }
	options, err := exporters(ctx, s.Telemetry.Traces)
	if err != nil || len(options) == 0 {
		return noShutdown, err
	}
	options = append(options,
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(s.Telemetry.Traces.SampleShare))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "monsoond-"+string(s.Role)),
			attribute.String("host.name", s.Name),
			attribute.String("cloud.region", s.Region),
			attribute.String("cloud.availability_zone", s.Domain),
		)))
	provider := sdktrace.NewTracerProvider(options...)
	otel.SetTracerProvider(provider)
	return provider.Shutdown, nil
}

func exporters(ctx context.Context, t settings.Traces) ([]sdktrace.TracerProviderOption, error) {
	var options []sdktrace.TracerProviderOption
	if t.OTLPEndpoint != "" {
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(t.OTLPEndpoint))
		if err != nil {
			return nil, fmt.Errorf("trace exporter: %w", err)
		}
		options = append(options, sdktrace.WithBatcher(exporter))
	}
	if t.File != "" {
		file, err := os.OpenFile(t.File, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, fmt.Errorf("trace file: %w", err)
		}
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
		if err != nil {
			return nil, fmt.Errorf("trace exporter: %w", err)
		}
		options = append(options, sdktrace.WithBatcher(exporter))
	}
	return options, nil
}

// StartSpan starts a span as a child of the span in ctx.
func StartSpan(ctx context.Context, name string, attributes ...attribute.KeyValue) (context.Context, trace.Span) {
	return otel.Tracer(tracerName).Start(ctx, name, trace.WithAttributes(attributes...))
}

// EndSpan ends a span and sets its status to an error if code is not empty. It does not
// take an error, because the text of an error can contain a part of a prompt.
func EndSpan(span trace.Span, code string) {
	if code != "" {
		span.SetStatus(codes.Error, code)
	}
	span.End()
}

// WithTraceParent returns ctx with the remote span of a W3C traceparent value. An
// invalid value is ignored.
func WithTraceParent(ctx context.Context, value string) context.Context {
	if value == "" {
		return ctx
	}
	return propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{traceParentKey: value})
}

// TraceParent returns the W3C traceparent value of the span in ctx, or fallback if there
// is none. With the caller's value as fallback, a process without tracing propagates the
// caller's trace.
func TraceParent(ctx context.Context, fallback string) string {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	if value := carrier[traceParentKey]; value != "" {
		return value
	}
	return fallback
}
