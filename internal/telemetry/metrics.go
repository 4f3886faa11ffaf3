// Package telemetry serves the metrics of a process and sets up tracing. The daemon
// calls it at startup; packages that create spans, except package gateway, call StartSpan
// and EndSpan. It must not know what the metrics and spans mean.
package telemetry

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// quantiles are the served quantiles of histograms and timers.
var quantiles = []float64{0.5, 0.95, 0.99}

// MetricsHandler serves the registry in the Prometheus text exposition format, or as
// JSON for the query "format=json".
func MetricsHandler(registry metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("format") == "json" {
			w.Header().Set("Content-Type", "application/json")
			metrics.WriteJSONOnce(registry, w)
			return
		}
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		_ = WriteText(w, registry)
	})
}

// WriteText writes the registry in the Prometheus text exposition format, sorted by
// name. Timers are written in seconds.
func WriteText(w io.Writer, registry metrics.Registry) error {
	all := map[string]any{}
	registry.Each(func(name string, metric any) { all[name] = metric })
	names := make([]string, 0, len(all))
	for name := range all {
		names = append(names, name)
	}
	sort.Strings(names)
	out := bufio.NewWriter(w)
	for _, name := range names {
		writeMetric(out, prometheusName(name), all[name])
	}
	return out.Flush()
}

// prometheusName replaces the separators that are not allowed in Prometheus metric names.
func prometheusName(name string) string {
	return strings.NewReplacer(".", "_", "-", "_", "/", "_").Replace(name)
}

func writeMetric(w io.Writer, name string, metric any) {
	switch m := metric.(type) {
	case metrics.Counter:
		fmt.Fprintf(w, "# TYPE %s counter\n%s %d\n", name, name, m.Count())
	case metrics.Gauge:
		fmt.Fprintf(w, "# TYPE %s gauge\n%s %d\n", name, name, m.Value())
	case metrics.GaugeFloat64:
		fmt.Fprintf(w, "# TYPE %s gauge\n%s %g\n", name, name, m.Value())
	case metrics.Meter:
		fmt.Fprintf(w, "# TYPE %s counter\n%s %d\n", name, name, m.Count())
	case metrics.Histogram:
		s := m.Snapshot()
		writeSummary(w, name, s.Percentiles(quantiles), float64(s.Sum()), s.Count())
	case metrics.Timer:
		s := m.Snapshot()
		values := s.Percentiles(quantiles)
		for i := range values {
			values[i] /= 1e9
		}
		writeSummary(w, name, values, float64(s.Sum())/1e9, s.Count())
	}
}

func writeSummary(w io.Writer, name string, values []float64, sum float64, count int64) {
	fmt.Fprintf(w, "# TYPE %s summary\n", name)
	for i, q := range quantiles {
		fmt.Fprintf(w, "%s{quantile=\"%g\"} %g\n", name, q, values[i])
	}
	fmt.Fprintf(w, "%s_sum %g\n%s_count %d\n", name, sum, name, count)
}
