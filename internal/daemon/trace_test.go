package daemon_test

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.opentelemetry.io/otel"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"go.opentelemetry.io/otel/trace"

	"github.com/monsoonworks/monsoonworks/devel/testbed"
	"github.com/monsoonworks/monsoonworks/internal/settings"
)

// singleDomainSpec returns a deployment with one router and one model server.
func singleDomainSpec() testbed.Spec {
	spec := testbed.Armor()
	spec.Domains = []testbed.Domain{{Name: "quimper", Region: "finistere", Routers: 1, Models: 1}}
	for i := range spec.Workspaces {
		spec.Workspaces[i].HomeRegion = "finistere"
	}
	return spec
}

// startCluster starts a deployment in this process. edit can change the settings of each
// process before the start.
func startCluster(c *qt.C, edit func(*settings.Settings)) *testbed.Cluster {
	platform, err := testbed.New(c.Context(), singleDomainSpec(), testbed.Options{Dir: c.TB.(*testing.T).TempDir()})
	c.Assert(err, qt.IsNil)
	c.Cleanup(platform.Close)
	for name, s := range platform.ProcessSettings {
		edit(&s)
		platform.ProcessSettings[name] = s
	}
	cluster := testbed.NewCluster(platform, slog.New(slog.DiscardHandler))
	c.Assert(cluster.StartAll(c.Context()), qt.IsNil)
	c.Cleanup(func() { _ = cluster.StopAll(c.Context()) })
	return cluster
}

// sendRequest sends one chat request and returns the HTTP status.
func sendRequest(c *qt.C, cluster *testbed.Cluster, prompt string, header http.Header) int {
	body := fmt.Sprintf(`{"model":%q,"max_tokens":5,"messages":[{"role":"user","content":%q}]}`, cluster.Spec.Model.Name, prompt)
	req, err := http.NewRequest(http.MethodPost, cluster.Routers()["quimper-router-1"]+"/v1/chat/completions", strings.NewReader(body))
	c.Assert(err, qt.IsNil)
	req.Header = header.Clone()
	req.Header.Set("Authorization", "Bearer "+cluster.Keys["armor-00"])
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	c.Assert(err, qt.IsNil)
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// waitForSuccess sends requests until one succeeds. The first ones can fail until the router
// has its first grant.
func waitForSuccess(c *qt.C, cluster *testbed.Cluster, prompt string, header http.Header) {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); {
		if sendRequest(c, cluster, prompt, header) == http.StatusOK {
			return
		}
	}
	c.Fatal("no request succeeded within 20 s")
}

// Guards against trace contexts that are not propagated from the caller through router and
// agent to the engine, and against prompts or API keys in spans.
func TestConnectedTrace(t *testing.T) {
	c := qt.New(t)
	exporter := tracetest.NewInMemoryExporter()
	provider := sdktrace.NewTracerProvider(sdktrace.WithSyncer(exporter))
	previous := otel.GetTracerProvider()
	otel.SetTracerProvider(provider)
	c.Cleanup(func() { otel.SetTracerProvider(previous) })
	cluster := startCluster(c, func(*settings.Settings) {})
	waitForSuccess(c, cluster, "warm up", http.Header{})

	const traceID, callerSpan = "0af7651916cd43dd8448eb211c80319c", "b7ad6b7169203331"
	header := http.Header{
		"Traceparent":     {"00-" + traceID + "-" + callerSpan + "-01"},
		"Idempotency-Key": {"order-1"},
	}
	waitForSuccess(c, cluster, "a confidential prompt", header)
	parents := map[string]string{ // span name to parent name; "" is the caller's span
		"gateway.call": "", "dispatch.attempt": "gateway.call", "holder.claim": "dispatch.attempt",
		"agent.attempt": "dispatch.attempt", "engine.call": "agent.attempt",
	}
	var spans map[string]tracetest.SpanStub
	for deadline := time.Now().Add(5 * time.Second); len(spans) < len(parents) && time.Now().Before(deadline); {
		spans = map[string]tracetest.SpanStub{}
		for _, s := range exporter.GetSpans() {
			if s.SpanContext.TraceID().String() == traceID {
				spans[s.Name] = s
			}
		}
	}
	for name, parent := range parents {
		span, ok := spans[name]
		c.Assert(ok, qt.IsTrue, qt.Commentf("no span %s", name))
		want, err := trace.SpanIDFromHex(callerSpan)
		c.Assert(err, qt.IsNil)
		if parent != "" {
			want = spans[parent].SpanContext.SpanID()
		}
		c.Assert(span.Parent.SpanID(), qt.Equals, want, qt.Commentf("%s", name))
	}
	for _, s := range exporter.GetSpans() {
		text := fmt.Sprint(s.Name, s.Attributes, s.Events, s.Status)
		c.Assert(strings.Contains(text, "confidential") || strings.Contains(text, cluster.Keys["armor-00"]), qt.IsFalse, qt.Commentf("%s", text))
	}
}
