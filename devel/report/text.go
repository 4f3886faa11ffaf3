package report

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
)

func itoa(n int) string { return strconv.Itoa(n) }

// maxListedViolations is the maximum number of violations in a text report.
const maxListedViolations = 20

// Text writes a run as plain text.
func Text(w io.Writer, r Run) error {
	var b strings.Builder
	fmt.Fprintf(&b, "Run of %s, seed %d: %s at %.0f requests/s\n\n", r.Deployment, r.Seed, r.Duration, r.Rate)
	t := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "requests\t%d in %d tries, %d succeeded\n", r.Requests, r.Tries, r.Succeeded)
	fmt.Fprintf(t, "last verdict\t%s\n", formatCounts(r.Verdicts))
	fmt.Fprintf(t, "errors by code\t%s\n", formatCounts(r.ErrorsByCode))
	fmt.Fprintf(t, "overspend\t%d tokens\n", r.Overspend)
	fmt.Fprintf(t, "false refusals\t%s\n", r.BudgetRefusals)
	fmt.Fprintf(t, "first token\t%s\n", r.FirstToken)
	fmt.Fprintf(t, "between tokens\t%s\n", r.BetweenTokens)
	fmt.Fprintf(t, "whole response\t%s\n", r.WholeResponse)
	fmt.Fprintf(t, "region link\t%s\n", formatLinkBytes(r.LinkBytes))
	_ = t.Flush()
	r.writeClasses(&b)
	r.writeBudgets(&b)
	for _, f := range r.Faults {
		fmt.Fprintf(&b, "fault at %s: %s %s %s\n", f.At.Round(faultTimeRounding), f.Action, f.Target, f.Err)
	}
	r.writeCheck(&b)
	_, err := io.WriteString(w, b.String())
	return err
}

// faultTimeRounding is the precision of the times of faults in a text report.
const faultTimeRounding = 10_000_000 // 10 ms

// String returns the percentiles, the maximum and the count as one line.
func (l Latency) String() string {
	if l.Count == 0 {
		return "none"
	}
	return fmt.Sprintf("p50 %.1f ms, p95 %.1f ms, p99 %.1f ms, max %.1f ms (%d)", l.P50, l.P95, l.P99, l.Max, l.Count)
}

// String returns the counts as one line.
func (b BudgetRefusals) String() string {
	if !b.Known {
		return fmt.Sprintf("not known; %d refusals for budget reasons", b.Total)
	}
	return fmt.Sprintf("%d of %d refusals for budget reasons (%.3f%% of all responses)", b.False, b.Total, 100*b.Share)
}

func formatLinkBytes(bytes int64) string {
	if bytes < 0 {
		return "not known"
	}
	return fmt.Sprintf("%.2f MB", float64(bytes)/1e6)
}

func (r *Run) writeClasses(b *strings.Builder) {
	t := tabwriter.NewWriter(b, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "\nclass\trequests\tsucceeded\tfirst token\n")
	for _, c := range r.Classes {
		fmt.Fprintf(t, "%s\t%d\t%d\t%s\n", c.Name, c.Requests, c.Succeeded, c.FirstToken)
	}
	_ = t.Flush()
}

func (r *Run) writeBudgets(b *strings.Builder) {
	if len(r.Budgets) == 0 {
		return
	}
	t := tabwriter.NewWriter(b, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "\nbudget\tpaid\tspent\tlost\toverspend\t\n")
	for _, l := range r.Budgets {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t\n", l.ID, l.Paid, l.Spent, l.Lost, l.Overspend)
	}
	_ = t.Flush()
}

func (r *Run) writeCheck(b *strings.Builder) {
	c := &r.Check
	fmt.Fprintf(b, "\nchecked %d requests against %d executions and %d bills: ", c.Requests, c.Executions, c.Bills)
	if !c.GroundTruth {
		fmt.Fprintf(b, "only the callers' records are known; ")
	}
	if c.Clean() {
		b.WriteString("no violation\n")
		return
	}
	fmt.Fprintf(b, "%d VIOLATIONS\n", len(c.Violations))
	for i, v := range c.Violations {
		if i == maxListedViolations {
			fmt.Fprintf(b, "... and %d more\n", len(c.Violations)-maxListedViolations)
			return
		}
		fmt.Fprintf(b, "  %s\n", v)
	}
}

// Compare writes a table of the figures of two runs and their relative change.
func Compare(w io.Writer, before, after Run) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "\tbefore\tafter\tchange\n")
	fmt.Fprintf(t, "run\t%s, seed %d\t%s, seed %d\t\n", before.Deployment, before.Seed, after.Deployment, after.Seed)
	row := func(name string, a, b float64, unit string) {
		change := "same"
		switch {
		case a == b:
		case a == 0:
			change = "from 0"
		default:
			change = fmt.Sprintf("%+.1f%%", 100*(b-a)/a)
		}
		fmt.Fprintf(t, "%s\t%s%s\t%s%s\t%s\n", name, formatNumber(a), unit, formatNumber(b), unit, change)
	}
	row("requests", float64(before.Requests), float64(after.Requests), "")
	row("succeeded", float64(before.Succeeded), float64(after.Succeeded), "")
	for _, v := range []string{"ran", "not-run", "unknown", NoVerdict} {
		row("verdict "+v, float64(before.Verdicts[v]), float64(after.Verdicts[v]), "")
	}
	row("overspend", float64(before.Overspend), float64(after.Overspend), " tokens")
	row("false refusals", float64(before.BudgetRefusals.False), float64(after.BudgetRefusals.False), "")
	latencies := func(name string, a, b Latency) {
		row(name+" p50", a.P50, b.P50, " ms")
		row(name+" p95", a.P95, b.P95, " ms")
		row(name+" p99", a.P99, b.P99, " ms")
	}
	latencies("first token", before.FirstToken, after.FirstToken)
	latencies("between tokens", before.BetweenTokens, after.BetweenTokens)
	row("region link", float64(before.LinkBytes), float64(after.LinkBytes), " bytes")
	row("violations", float64(len(before.Check.Violations)), float64(len(after.Check.Violations)), "")
	return t.Flush()
}

func formatNumber(x float64) string { return strconv.FormatFloat(x, 'f', -1, 64) }
