package report

import (
	"encoding/xml"
	"flag"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonworks/monsoonworks/devel/check"
	"github.com/monsoonworks/monsoonworks/devel/history"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// sample returns the history of a small run with one successful request, two
// refusals for budget reasons of which one is false, and a fault.
func sample() *history.Log {
	second := time.Second
	refused := func(at time.Duration, code string) []history.Try {
		return []history.Try{{Router: "r1", Start: at, End: at, Status: 402, Verdict: "not-run", Code: code, RequestID: "q", Complete: true}}
	}
	return &history.Log{
		Deployment: "yukimi", Seed: 1, Rate: 2, Duration: 3 * second, GroundTruth: true,
		Requests: []history.Request{
			{ID: "a", Class: "planner", Budget: "w<0>/main", Kind: history.KindModel, Bound: 500, Key: "k", Intended: second / 2,
				Tries: []history.Try{{Router: "r1", Start: second, End: 2 * second, FirstToken: second, Status: 200, Verdict: "ran", RequestID: "q1",
					Echo: "a", Complete: true, Tokens: 100, Gaps: []time.Duration{5 * time.Millisecond, 7 * time.Millisecond}}}},
			{ID: "b", Class: "planner", Budget: "w<0>/main", Kind: history.KindModel, Bound: 500, Tries: refused(second/2, "budget-exhausted")},
			{ID: "c", Class: "planner", Budget: "w<0>/main", Kind: history.KindModel, Bound: 500, Tries: refused(2*second, "budget-exhausted")},
		},
		Executions: []history.Execution{{Server: "e", Kind: history.KindModel, Attempt: "x", Marker: "a", Start: second, End: 2 * second,
			PromptTokens: 300, Tokens: 100, Ending: "stop"}},
		Bills:   []history.Bill{{Budget: "w<0>/main", Request: "q1", Attempt: "x", Amount: 400, At: 2 * second}},
		Budgets: []history.Budget{{ID: "w<0>/main", Paid: 800, Spent: 400}},
		Link:    []history.LinkSample{{At: 0, Bytes: 100}, {At: second, Bytes: 1100}},
		Faults:  []history.Fault{{At: second, Action: "kill", Target: "r2"}},
	}
}

func sampleRun() Run {
	log := sample()
	return New(log, check.Run(log))
}

// Guards against wrong figures: a refusal is false only if the balance covered the
// upper bound at that time, and latencies count from the intended start.
func TestFigures(t *testing.T) {
	c := qt.New(t)
	r := sampleRun()
	c.Assert(r.Check.Violations, qt.HasLen, 0, qt.Commentf("%v", r.Check.Violations))
	c.Assert(r.BudgetRefusals, qt.Equals, BudgetRefusals{Known: true, Total: 2, False: 1, Share: 1.0 / 3})
	c.Assert(r.Verdicts, qt.DeepEquals, map[string]int{"ran": 1, "not-run": 2})
	c.Assert(r.FirstToken.P50 > 499 && r.FirstToken.P50 < 501, qt.IsTrue, qt.Commentf("%v", r.FirstToken))
	c.Assert(r.BetweenTokens.Count, qt.Equals, int64(2))
	c.Assert(r.LinkBytes, qt.Equals, int64(1000))
	c.Assert(r.Seconds[2].Billed, qt.Equals, int64(400))
}

// Guards against a top-up during the run that is counted before it was made.
func TestTopUpDuringTheRun(t *testing.T) {
	log := sample()
	log.Budgets[0].ID, log.Budgets[0].Paid = "w/main", 1300
	for i := range log.Requests {
		log.Requests[i].Budget = "w/main"
	}
	log.Faults = append(log.Faults, history.Fault{At: 1900 * time.Millisecond, Action: "top-up", Target: "w:900"})
	// The initial payment was 400 tokens, so the first refusal is correct.
	f := countFalseRefusals(log)
	qt.Assert(t, f.False, qt.Equals, 1)
	qt.Assert(t, newBalances(log).unspent("w/main", time.Second/2), qt.Equals, int64(400))
}

// Guards against a page that refers to other files or does not escape names, and
// against missing figures in the text and the comparison.
func TestRendering(t *testing.T) {
	c := qt.New(t)
	run := sampleRun()
	var text, page, compared strings.Builder
	c.Assert(Text(&text, run), qt.IsNil)
	c.Assert(HTML(&page, run), qt.IsNil)
	later := run
	later.FirstToken.P50 *= 2
	c.Assert(Compare(&compared, run, later), qt.IsNil)
	golden(c, "run.txt", text.String())
	golden(c, "compare.txt", compared.String())

	c.Assert(strings.Contains(page.String(), "w<0>"), qt.IsFalse)
	for _, external := range []string{"http://", "https://", "src=", "<link", "<script", "@import"} {
		c.Assert(strings.Contains(page.String(), external), qt.IsFalse, qt.Commentf("%s", external))
	}
	c.Assert(strings.Count(page.String(), "<svg"), qt.Equals, 7)
	for _, figure := range strings.Split(page.String(), "<figure>")[1:] {
		svg, _, _ := strings.Cut(figure, "</figure>")
		c.Assert(wellFormed("<figure>"+svg+"</figure>"), qt.IsNil)
		c.Assert(strings.Contains(svg, "NaN") || strings.Contains(svg, "Inf"), qt.IsFalse)
	}
}

// Guards against NaN in the plots of a run without requests.
func TestEmptyRun(t *testing.T) {
	c := qt.New(t)
	var page strings.Builder
	c.Assert(HTML(&page, New(&history.Log{}, check.Result{})), qt.IsNil)
	c.Assert(strings.Contains(page.String(), "NaN"), qt.IsFalse)
}

// Guards against run files that lose figures when read back for a comparison.
func TestRunFile(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(t.TempDir(), "run.json")
	run := sampleRun()
	c.Assert(history.WriteFile(path, run), qt.IsNil)
	var read Run
	c.Assert(history.ReadFile(path, &read), qt.IsNil)
	c.Assert(read, qt.DeepEquals, run)
}

func wellFormed(text string) error {
	d := xml.NewDecoder(strings.NewReader(text))
	for {
		if _, err := d.Token(); err == io.EOF {
			return nil
		} else if err != nil {
			return err
		}
	}
}

// golden compares got with a file in testdata, which it first rewrites if -update is
// set.
func golden(c *qt.C, name, got string) {
	c.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		c.Assert(os.WriteFile(path, []byte(got), 0o644), qt.IsNil)
	}
	want, err := os.ReadFile(path)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.Equals, string(want))
}
