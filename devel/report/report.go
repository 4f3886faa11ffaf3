// Package report computes the figures of a load test from its history, renders them as
// text, as JSON and as a self-contained HTML page, and compares two runs. It takes
// violations from package check and looks for none itself.
package report

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/monsoonworks/monsoonworks/devel/check"
	"github.com/monsoonworks/monsoonworks/devel/history"
)

// Run holds the figures of one run, which is one load test. It is also the JSON format
// of a report file.
type Run struct {
	Deployment string        `json:"deployment"`
	Seed       uint64        `json:"seed"`
	Rate       float64       `json:"rate_per_second"`
	Started    time.Time     `json:"started"`
	Duration   time.Duration `json:"duration_ns"`

	Requests int `json:"requests"`
	Tries    int `json:"tries"`
	// Succeeded counts the requests that ended with a complete successful response.
	Succeeded int `json:"answered"`
	// Verdicts counts the requests by the verdict of their last try.
	Verdicts map[string]int `json:"verdicts"`
	// ErrorsByCode counts the error responses of all tries by code.
	ErrorsByCode map[string]int `json:"refusals"`
	Classes      []Class        `json:"classes"`
	Budgets      []Budget       `json:"budgets,omitempty"`
	// Overspend is the total over all budgets, in tokens.
	Overspend      int64          `json:"overspend_tokens"`
	BudgetRefusals BudgetRefusals `json:"false_refusals"`
	// FirstToken is the time from the intended start to history.Try.FirstToken,
	// BetweenTokens the time between successive tokens of a stream, and WholeResponse
	// the time from the intended start to the end of the response. Only successful
	// requests count.
	FirstToken    Latency `json:"first_token"`
	BetweenTokens Latency `json:"between_tokens"`
	WholeResponse Latency `json:"whole_answer"`
	// LinkBytes is the number of bytes sent between regions, -1 if unknown.
	LinkBytes int64           `json:"link_bytes"`
	Seconds   []Second        `json:"seconds"`
	Faults    []history.Fault `json:"faults,omitempty"`
	Check     check.Result    `json:"check"`
}

// NoVerdict is the key in Run.Verdicts and Second.Ended for requests whose last try
// returned no verdict.
const NoVerdict = "no answer"

// Class holds the figures of one class of callers.
type Class struct {
	Name       string  `json:"name"`
	Requests   int     `json:"requests"`
	Succeeded  int     `json:"answered"`
	FirstToken Latency `json:"first_token"`
}

// Budget holds the payments, spend and losses of a budget, in tokens.
type Budget struct {
	ID        string `json:"id"`
	Paid      int64  `json:"paid_tokens"`
	Spent     int64  `json:"spent_tokens"`
	Lost      int64  `json:"lost_tokens"`
	Overspend int64  `json:"overspend_tokens"`
}

// Latency is a latency distribution in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
	// Curve holds the latencies at curvePercentiles.
	Curve []float64 `json:"curve_ms,omitempty"`
}

// Second holds the figures of one second of the run.
type Second struct {
	// Ended counts the requests that ended in this second, by verdict.
	Ended map[string]int `json:"ended"`
	// P50 and P95 are percentiles of the time to first token, in milliseconds.
	P50 float64 `json:"first_token_p50_ms"`
	P95 float64 `json:"first_token_p95_ms"`
	// Billed is the cumulative amount of all bills up to the end of this second, in
	// tokens.
	Billed int64 `json:"billed_tokens"`
	// LinkBytes is the number of bytes sent between regions in this second.
	LinkBytes int64 `json:"link_bytes"`
}

// New computes the figures of a run from its history and the result of its check.
func New(log *history.Log, result check.Result) Run {
	r := Run{
		Deployment: log.Deployment, Seed: log.Seed, Rate: log.Rate, Started: log.Started, Duration: log.Duration,
		Requests: len(log.Requests), Verdicts: map[string]int{}, ErrorsByCode: map[string]int{}, LinkBytes: -1,
		Faults: log.Faults, Check: result, BudgetRefusals: countFalseRefusals(log),
	}
	r.addRequests(log)
	for _, b := range log.Budgets {
		over := result.Overspend[b.ID]
		r.Overspend += over
		r.Budgets = append(r.Budgets, Budget{ID: b.ID, Paid: b.Paid, Spent: b.Spent, Lost: b.Lost, Overspend: over})
	}
	if n := len(log.Link); n > 0 {
		r.LinkBytes = log.Link[n-1].Bytes - log.Link[0].Bytes
	}
	r.Seconds = perSecond(log)
	return r
}

func (r *Run) addRequests(log *history.Log) {
	first, between, whole := newLatencyHistogram(), newLatencyHistogram(), newLatencyHistogram()
	classes := map[string]*Class{}
	classTimes := map[string]*latencyHistogram{}
	for i := range log.Requests {
		q := &log.Requests[i]
		if classes[q.Class] == nil {
			classes[q.Class], classTimes[q.Class] = &Class{Name: q.Class}, newLatencyHistogram()
		}
		class := classes[q.Class]
		class.Requests++
		r.Tries += len(q.Tries)
		r.Verdicts[verdictOf(q)]++
		for _, t := range q.Tries {
			if t.Code != "" {
				r.ErrorsByCode[t.Code]++
			}
		}
		last := q.LastTry()
		if last == nil || !last.OK() {
			continue
		}
		r.Succeeded++
		class.Succeeded++
		first.add(last.FirstToken - q.Intended)
		classTimes[q.Class].add(last.FirstToken - q.Intended)
		whole.add(last.End - q.Intended)
		for _, gap := range last.Gaps {
			between.add(gap)
		}
	}
	r.FirstToken, r.BetweenTokens, r.WholeResponse = first.latency(), between.latency(), whole.latency()
	for _, name := range slices.Sorted(maps.Keys(classes)) {
		classes[name].FirstToken = classTimes[name].latency()
		classes[name].FirstToken.Curve = nil
		r.Classes = append(r.Classes, *classes[name])
	}
}

// verdictOf returns the verdict of the last try of a request, or NoVerdict.
func verdictOf(q *history.Request) string {
	last := q.LastTry()
	if last == nil || last.Verdict == "" {
		return NoVerdict
	}
	return last.Verdict
}

// curvePercentiles are the percentiles of Latency.Curve.
var curvePercentiles = []float64{0, 5, 10, 20, 30, 40, 50, 60, 70, 80, 90, 95, 97, 98, 99, 99.5, 99.9, 100}

// Range and precision of the histograms.
const (
	maxMicros         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// latencyHistogram records latencies in microseconds with significantDigits digits,
// capped at maxMicros.
type latencyHistogram struct{ histogram *hdrhistogram.Histogram }

func newLatencyHistogram() *latencyHistogram {
	return &latencyHistogram{hdrhistogram.New(1, maxMicros, significantDigits)}
}

func (h *latencyHistogram) add(d time.Duration) {
	_ = h.histogram.RecordValue(min(max(d.Microseconds(), 1), maxMicros))
}

func (h *latencyHistogram) percentile(percent float64) float64 {
	if h.histogram.TotalCount() == 0 {
		return 0
	}
	return float64(h.histogram.ValueAtQuantile(percent)) / 1000
}

func (h *latencyHistogram) latency() Latency {
	l := Latency{Count: h.histogram.TotalCount(), P50: h.percentile(50), P95: h.percentile(95), P99: h.percentile(99), Max: h.percentile(100)}
	if l.Count > 0 {
		for _, q := range curvePercentiles {
			l.Curve = append(l.Curve, h.percentile(q))
		}
	}
	return l
}

// perSecond computes the figures of each second of the run.
func perSecond(log *history.Log) []Second {
	n := int(log.Duration/time.Second) + 1
	index := func(at time.Duration) int { return min(max(int(at/time.Second), 0), n-1) }
	out := make([]Second, n)
	first := make([]*latencyHistogram, n)
	for i := range out {
		out[i].Ended, first[i] = map[string]int{}, newLatencyHistogram()
	}
	for i := range log.Requests {
		q := &log.Requests[i]
		if last := q.LastTry(); last != nil {
			at := index(last.End)
			out[at].Ended[verdictOf(q)]++
			if last.OK() {
				first[at].add(last.FirstToken - q.Intended)
			}
		}
	}
	for _, b := range log.Bills {
		out[index(b.At)].Billed += b.Amount
	}
	for i := 1; i < len(log.Link); i++ {
		out[index(log.Link[i].At)].LinkBytes += log.Link[i].Bytes - log.Link[i-1].Bytes
	}
	billed := int64(0)
	for i := range out {
		billed += out[i].Billed
		out[i].Billed, out[i].P50, out[i].P95 = billed, first[i].percentile(50), first[i].percentile(95)
	}
	return out
}

// formatCounts formats counts as "3 a, 2 b", in descending order, or "none".
func formatCounts(counts map[string]int) string {
	names := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		if counts[a] != counts[b] {
			return counts[b] - counts[a]
		}
		return strings.Compare(a, b)
	})
	var parts []string
	for _, name := range names {
		parts = append(parts, itoa(counts[name])+" "+name)
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ", ")
}
