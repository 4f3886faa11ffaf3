package report

import (
	"fmt"
	"html/template"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// HTML writes a run as one self-contained page.
func HTML(w io.Writer, r Run) error {
	var text strings.Builder
	if err := Text(&text, r); err != nil {
		return err
	}
	return page.Execute(w, map[string]any{
		"Title": fmt.Sprintf("Run of %s, seed %d", r.Deployment, r.Seed),
		"Run":   r, "Text": text.String(), "Clean": r.Check.Clean(), "Plots": r.plots(),
	})
}

// plots renders all diagrams. The svg functions escape all text, so the result is
// safe to mark as HTML.
func (r *Run) plots() []template.HTML {
	var out []template.HTML
	for _, p := range []plot{r.verdictPlot(), r.firstTokenPlot(), r.spendPlot(), r.linkPlot(), r.curvePlot()} {
		out = append(out, template.HTML(p.svg()))
	}
	return append(out, template.HTML(r.budgetBars()), template.HTML(r.errorCodeBars()))
}

// overTime returns a line with the value of each second of the run.
func (r *Run) overTime(name string, value func(*Second) float64) line {
	l := line{name: name}
	for i := range r.Seconds {
		l.x, l.y = append(l.x, float64(i)), append(l.y, value(&r.Seconds[i]))
	}
	return l
}

func (r *Run) faultMarks() []mark {
	var out []mark
	for _, f := range r.Faults {
		out = append(out, mark{f.At.Seconds(), fmt.Sprintf("%s: %s %s", f.At.Round(time.Millisecond), f.Action, f.Target)})
	}
	return out
}

func (r *Run) verdictPlot() plot {
	p := plot{title: "Requests by verdict", xUnit: "s", yUnit: "requests/s", marks: r.faultMarks()}
	for _, v := range []string{"ran", "not-run", "unknown", NoVerdict} {
		p.lines = append(p.lines, r.overTime(v, func(s *Second) float64 { return float64(s.Ended[v]) }))
	}
	return p
}

func (r *Run) firstTokenPlot() plot {
	return plot{title: "Time to the first token", xUnit: "s", yUnit: "ms", marks: r.faultMarks(), lines: []line{
		r.overTime("p50", func(s *Second) float64 { return s.P50 }),
		r.overTime("p95", func(s *Second) float64 { return s.P95 }),
	}}
}

func (r *Run) spendPlot() plot {
	return plot{title: "Spend of all budgets", xUnit: "s", yUnit: "tokens", marks: r.faultMarks(), lines: []line{
		r.overTime("billed", func(s *Second) float64 { return float64(s.Billed) }),
	}}
}

func (r *Run) linkPlot() plot {
	return plot{title: "Bytes between regions", xUnit: "s", yUnit: "bytes/s", marks: r.faultMarks(), lines: []line{
		r.overTime("bytes", func(s *Second) float64 { return float64(s.LinkBytes) }),
	}}
}

func (r *Run) curvePlot() plot {
	p := plot{title: "Latency distribution", xUnit: "ms", yUnit: "percentile"}
	for _, c := range []struct {
		name string
		l    Latency
	}{{"first token", r.FirstToken}, {"between tokens", r.BetweenTokens}} {
		if c.l.Count > 0 {
			p.lines = append(p.lines, line{name: c.name, x: c.l.Curve, y: curvePercentiles})
		}
	}
	return p
}

func (r *Run) budgetBars() string {
	var rows []bar
	for _, b := range r.Budgets {
		rows = append(rows, bar{
			name: b.ID, value: float64(b.Spent + b.Lost), total: float64(b.Paid),
			label: fmt.Sprintf("%s of %s", formatSI(float64(b.Spent+b.Lost)), formatSI(float64(b.Paid))),
		})
	}
	return bars("Spend against budget, in tokens", rows)
}

func (r *Run) errorCodeBars() string {
	var rows []bar
	for _, code := range slices.Sorted(maps.Keys(r.ErrorsByCode)) {
		n := r.ErrorsByCode[code]
		rows = append(rows, bar{name: code, value: float64(n), label: itoa(n)})
	}
	return bars("Errors by code", rows)
}

var page = template.Must(template.New("run").Parse(`<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>{{.Title}}</title>
<style>
body { font: 15px/1.4 sans-serif; margin: 1.5rem auto; max-width: 1200px; padding: 0 1rem; color: #222; }
.cards, .plots { display: flex; flex-wrap: wrap; gap: 1rem; }
.card { border: 1px solid #ccc; border-radius: 6px; padding: .5rem 1rem; }
.card b { display: block; font-size: 1.5rem; }
.bad { border-color: #d55e00; background: #fdf0e8; }
figure { margin: 0; flex: 1 1 480px; }
figcaption { font-weight: bold; }
svg { width: 100%; font: 11px sans-serif; }
.grid { stroke: #ddd; } .mark { stroke: #d55e00; stroke-dasharray: 4 3; stroke-width: 2; } .whole { fill: #dde6ee; }
pre { overflow-x: auto; background: #f6f6f6; padding: 1rem; }
</style>
</head>
<body>
<h1>{{.Title}}</h1>
<div class="cards">
<div class="card">requests<b>{{.Run.Requests}}</b></div>
<div class="card">succeeded<b>{{.Run.Succeeded}}</b></div>
<div class="card{{if .Run.Overspend}} bad{{end}}">overspend<b>{{.Run.Overspend}} tokens</b></div>
<div class="card{{if .Run.BudgetRefusals.False}} bad{{end}}">false refusals<b>{{.Run.BudgetRefusals.False}}</b></div>
<div class="card">first token p95<b>{{printf "%.0f" .Run.FirstToken.P95}} ms</b></div>
<div class="card">between tokens p95<b>{{printf "%.0f" .Run.BetweenTokens.P95}} ms</b></div>
<div class="card{{if not .Clean}} bad{{end}}">violations<b>{{len .Run.Check.Violations}}</b></div>
</div>
<h2>Plots</h2>
<p>Dashed lines are faults.</p>
<div class="plots">{{range .Plots}}{{.}}{{end}}</div>
<h2>Figures</h2>
<pre>{{.Text}}</pre>
</body>
</html>
`))
