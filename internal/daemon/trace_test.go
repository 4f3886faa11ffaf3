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

// oneDomain returns a deployment with one router and one model server.
func oneDomain() testbed.Spec {
	spec := testbed.Armor()
	spec.Domains = []testbed.Domain{{Name: "quimper", Region: "finistere", Routers: 1, Models: 1}}
	for i := range spec.Workspaces {
		spec.Workspaces[i].HomeRegion = "finistere"
	}
	return spec
}

// startCluster starts a deployment in this process; change may alter the settings
// of each process before.
func startCluster(c *qt.C, change func(*settings.Settings)) *testbed.Cluster {
	p, err := testbed.New(c.Context(), oneDomain(), testbed.Options{Dir: c.TB.(*testing.T).TempDir()})
	c.Assert(err, qt.IsNil)
	c.Cleanup(p.Close)
	for name, s := range p.Nodes {
		change(&s)
		p.Nodes[name] = s
	}
	cluster := testbed.NewCluster(p, slog.New(slog.DiscardHandler))
	c.Assert(cluster.StartAll(c.Context()), qt.IsNil)
	c.Cleanup(func() { _ = cluster.StopAll(c.Context()) })
	return cluster
}

// request sends one chat request and returns its status.
func request(c *qt.C, cluster *testbed.Cluster, prompt string, header http.Header) int {
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

// answered sends requests until one is answered; a new deployment may need a
// moment for its first grant.
func answered(c *qt.C, cluster *testbed.Cluster, prompt string, header http.Header) {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); {
		if request(c, cluster, prompt, header) == http.StatusOK {
			return
		}
	}
	c.Fatal("no request is answered")
}

// Guards against a trace that breaks between caller, router, agent and engine,
// and against prompts or keys in spans.
func TestOneConnectedTrace(t *testing.T) {
	c := qt.New(t)
	exporter := tracetest.NewInMemoryExporter()
	provider := sdktrace.NewTracerProvider(sdktrace.WithSyncer(exporter))
	before := otel.GetTracerProvider()
	otel.SetTracerProvider(provider)
	c.Cleanup(func() { otel.SetTracerProvider(before) })
	cluster := startCluster(c, func(*settings.Settings) {})
	answered(c, cluster, "warm up", http.Header{})

	const traceID, callerSpan = "0af7651916cd43dd8448eb211c80319c", "b7ad6b7169203331"
	header := http.Header{
		"Traceparent":     {"00-" + traceID + "-" + callerSpan + "-01"},
		"Idempotency-Key": {"order-1"},
	}
	answered(c, cluster, "a confidential prompt", header)
	chain := map[string]string{ // span: its parent
		"gateway.call": "", "dispatch.attempt": "gateway.call", "holder.claim": "dispatch.attempt",
		"agent.attempt": "dispatch.attempt", "engine.call": "agent.attempt",
	}
	var spans map[string]tracetest.SpanStub
	for deadline := time.Now().Add(5 * time.Second); len(spans) < len(chain) && time.Now().Before(deadline); {
		spans = map[string]tracetest.SpanStub{}
		for _, s := range exporter.GetSpans() {
			if s.SpanContext.TraceID().String() == traceID {
				spans[s.Name] = s
			}
		}
	}
	for name, parent := range chain {
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
