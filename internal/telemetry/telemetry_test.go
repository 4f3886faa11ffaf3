package telemetry

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"
)

// Guards against a metric whose unit differs between the registry and the exposition
// format.
func TestMetricsHandler(t *testing.T) {
	c := qt.New(t)
	registry := metrics.NewRegistry()
	metrics.NewRegisteredCounter("monsoon.router.requests", registry).Inc(3)
	metrics.NewRegisteredTimer("monsoon.router.first_token_seconds", registry).Update(2 * time.Second)
	rec := httptest.NewRecorder()
	MetricsHandler(registry).ServeHTTP(rec, httptest.NewRequest("GET", "/metrics", nil))
	c.Assert(rec.Body.String(), qt.Contains, "monsoon_router_requests 3\n")
	c.Assert(rec.Body.String(), qt.Contains, "monsoon_router_first_token_seconds{quantile=\"0.5\"} 2\n")
	c.Assert(rec.Body.String(), qt.Contains, "monsoon_router_first_token_seconds_count 1\n")
}

// Guards against the loss of the caller's trace in a process without tracing.
func TestTraceParentIsPropagated(t *testing.T) {
	c := qt.New(t)
	const parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	ctx := WithTraceParent(context.Background(), parent)
	c.Assert(TraceParent(ctx, ""), qt.Equals, parent)
	c.Assert(TraceParent(context.Background(), parent), qt.Equals, parent)
	c.Assert(TraceParent(WithTraceParent(context.Background(), "broken"), "x"), qt.Equals, "x")
}
