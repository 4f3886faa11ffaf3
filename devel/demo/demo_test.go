package demo

import (
	"context"
	"log/slog"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonworks/monsoonworks/devel/faults"
	"github.com/monsoonworks/monsoonworks/devel/report"
	"github.com/monsoonworks/monsoonworks/devel/testbed"
)

// Guards against violated guarantees after an engine crash and a killed router
// under load: both deployments must keep responding, and the checker must find no
// violation.
func TestShortDemo(t *testing.T) {
	for _, spec := range []testbed.Spec{testbed.Yukimi().Small(), testbed.Armor().Small()} {
		for i := range spec.Domains {
			// A region with a single router has no holder while that router is down.
			spec.Domains[i].Routers = 2
		}
		t.Run(spec.Name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			script := faults.Script{Seed: 1, Steps: []faults.Step{
				{At: 1500 * time.Millisecond, Action: faults.CrashEngine, Target: faults.AnyEngine},
				{At: 2500 * time.Millisecond, Action: faults.Kill, Target: faults.AnyRouter},
			}}
			d, err := Start(context.Background(), Options{
				Spec: spec, Duration: 5 * time.Second, Rate: 25, Seed: 1, Faults: script, Dir: t.TempDir(),
				Log: slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelError})),
			})
			c.Assert(err, qt.IsNil)
			log, err := d.Load(context.Background())
			c.Check(err, qt.IsNil)
			c.Check(d.Stop(context.Background()), qt.IsNil)
			run := Evaluate(log)
			var text strings.Builder
			c.Assert(report.Text(&text, run), qt.IsNil)
			c.Assert(run.Check.Violations, qt.HasLen, 0, qt.Commentf("%s", &text))
			c.Assert(log.Kills, qt.HasLen, 1)
			c.Assert(run.Requests > 80, qt.IsTrue)
			// A killed router and a crashed engine affect only part of the load.
			c.Assert(run.Succeeded > run.Requests/2, qt.IsTrue, qt.Commentf("%s", &text))
			c.Log(text.String())
		})
	}
}
