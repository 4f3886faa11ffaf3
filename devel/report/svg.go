package report

import (
	"fmt"
	"html"
	"math"
	"strings"
)

// Sizes of a plot in pixels.
const (
	plotWidth    = 560
	plotHeight   = 240
	marginLeft   = 64
	marginTop    = 16
	marginRight  = 16
	marginBottom = 40
	// axisSteps is the number of intervals between the labels of an axis.
	axisSteps = 4
)

// colours is a palette that remains distinguishable with red-green colour blindness.
var colours = []string{"#0072b2", "#d55e00", "#009e73", "#cc79a7", "#e69f00", "#56b4e9"}

// line is one data series of a plot.
type line struct {
	name string
	x, y []float64
}

// plot is a line chart with linear axes that start at 0.
type plot struct {
	title, xUnit, yUnit string
	lines               []line
	// marks are vertical lines at the times of faults.
	marks []mark
}

type mark struct {
	x       float64
	tooltip string
}

func (p *plot) svg() string {
	maxX, maxY := 0.0, 0.0
	for _, l := range p.lines {
		for i := range l.x {
			maxX, maxY = math.Max(maxX, l.x[i]), math.Max(maxY, l.y[i])
		}
	}
	maxX, maxY = roundUp(maxX), roundUp(maxY)
	px := func(x float64) float64 {
		return marginLeft + x/maxX*(plotWidth-marginLeft-marginRight)
	}
	py := func(y float64) float64 {
		return plotHeight - marginBottom - y/maxY*(plotHeight-marginTop-marginBottom)
	}
	var b strings.Builder
	openSVG(&b, p.title, plotHeight)
	for i := 0; i <= axisSteps; i++ {
		x, y := maxX*float64(i)/axisSteps, maxY*float64(i)/axisSteps
		fmt.Fprintf(&b, `<line x1="%d" x2="%d" y1="%.1f" y2="%.1f" class="grid"/>`, marginLeft, plotWidth-marginRight, py(y), py(y))
		svgText(&b, marginLeft-6, py(y)+4, "end", formatSI(y))
		svgText(&b, px(x), plotHeight-marginBottom+16, "middle", formatSI(x))
	}
	svgText(&b, plotWidth-marginRight, plotHeight-6, "end", p.xUnit)
	svgText(&b, 4, 12, "start", p.yUnit)
	for _, m := range p.marks {
		if m.x <= maxX {
			fmt.Fprintf(&b, `<line x1="%.1f" x2="%.1f" y1="%d" y2="%d" class="mark"><title>%s</title></line>`,
				px(m.x), px(m.x), marginTop, plotHeight-marginBottom, html.EscapeString(m.tooltip))
		}
	}
	for i, l := range p.lines {
		colour := colours[i%len(colours)]
		var points []string
		for n := range l.x {
			points = append(points, fmt.Sprintf("%.1f,%.1f", px(l.x[n]), py(l.y[n])))
		}
		fmt.Fprintf(&b, `<polyline points="%s" fill="none" stroke="%s" stroke-width="2"/>`, strings.Join(points, " "), colour)
		x := marginLeft + 8 + i*110
		fmt.Fprintf(&b, `<rect x="%d" y="%d" width="10" height="10" fill="%s"/>`, x, marginTop-12, colour)
		svgText(&b, float64(x+14), marginTop-3, "start", l.name)
	}
	b.WriteString("</svg></figure>")
	return b.String()
}

// bar is one row of a horizontal bar chart.
type bar struct {
	name string
	// value is drawn in front of total, which is 0 for a bar without a total.
	value, total float64
	label        string
}

const barHeight = 20

// bars renders a horizontal bar chart.
func bars(title string, rows []bar) string {
	maxValue := 0.0
	for _, r := range rows {
		maxValue = math.Max(maxValue, math.Max(r.value, r.total))
	}
	if maxValue == 0 {
		maxValue = 1
	}
	const left, right = 150, 130
	var b strings.Builder
	openSVG(&b, title, marginTop+barHeight*max(1, len(rows)))
	if len(rows) == 0 {
		svgText(&b, left, marginTop+12, "start", "none")
	}
	for i, r := range rows {
		y := marginTop + i*barHeight
		width := func(v float64) float64 { return v / maxValue * (plotWidth - left - right) }
		svgText(&b, left-6, float64(y+13), "end", r.name)
		fmt.Fprintf(&b, `<rect x="%d" y="%d" width="%.1f" height="%d" class="whole"/>`, left, y, width(r.total), barHeight-4)
		fmt.Fprintf(&b, `<rect x="%d" y="%d" width="%.1f" height="%d" fill="%s"/>`, left, y+3, width(r.value), barHeight-10, colours[0])
		svgText(&b, left+width(math.Max(r.value, r.total))+6, float64(y+13), "start", r.label)
	}
	b.WriteString("</svg></figure>")
	return b.String()
}

func openSVG(b *strings.Builder, title string, height int) {
	fmt.Fprintf(b, `<figure><figcaption>%s</figcaption><svg viewBox="0 0 %d %d" role="img" aria-label="%s">`,
		html.EscapeString(title), plotWidth, height, html.EscapeString(title))
}

func svgText(b *strings.Builder, x, y float64, anchor, s string) {
	fmt.Fprintf(b, `<text x="%.1f" y="%.1f" text-anchor="%s">%s</text>`, x, y, anchor, html.EscapeString(s))
}

// roundUp returns the smallest number of the form 1, 2, 4, 5 or 8 times a power of
// ten that is not less than x, or 1 for x <= 0, so that axes have an extent.
func roundUp(x float64) float64 {
	if x <= 0 {
		return 1
	}
	power := math.Pow(10, math.Floor(math.Log10(x)))
	for _, m := range []float64{1, 2, 4, 5, 8, 10} {
		if x <= m*power {
			return m * power
		}
	}
	return 10 * power
}

// formatSI formats x with three significant digits and an SI prefix.
func formatSI(x float64) string {
	switch {
	case x >= 1e6:
		return fmt.Sprintf("%.3gM", x/1e6)
	case x >= 1e3:
		return fmt.Sprintf("%.3gk", x/1e3)
	default:
		return fmt.Sprintf("%.3g", x)
	}
}
