package daemon

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"github.com/monsoonworks/monsoonworks/internal/settings"
)

// Guards against retry limits that do not follow the number of gates or a reload, and against changes
// that the log and the gauge do not show.
func TestRetryLimits(t *testing.T) {
	c := qt.New(t)
	var text bytes.Buffer
	var percent, fixed int
	registry := metrics.NewRegistry()
	s := settings.Gate{RetryShare: 0.2, RetrySlack: 48, Regions: map[string]string{"d": "r", "e": "r"}}
	r := newRetryLimits(s, func(p, f int) { percent, fixed = p, f }, registry, slog.New(slog.NewTextHandler(&text, nil)))
	check := func(wantFixed, wantLines int) {
		c.Helper()
		c.Check(percent, qt.Equals, 17)
		c.Check(fixed, qt.Equals, wantFixed)
		c.Check(metrics.GetOrRegisterGauge("monsoon.gate.fixed_retries", registry).Value(), qt.Equals, int64(wantFixed))
		c.Check(strings.Count(text.String(), "fixed retries changed"), qt.Equals, wantLines)
	}
	check(0, 0)
	r.reportGates(3)
	check(0, 0)
	r.started = r.started.Add(-5 * time.Second)
	r.reportGates(3)
	check(4, 1)
	r.reportGates(3)
	check(4, 1)
	s.RetrySlack = 96
	r.configure(s)
	check(8, 2)
	r.reportGates(6)
	check(4, 3)
	c.Check(strings.Contains(text.String(), "retries=4 before=8 slack=96 domains=2 gates_in_domain=6"), qt.IsTrue, qt.Commentf("%s", text.String()))
}
