// Package report turns the history of a run into figures and shows them as text,
// as JSON and as one HTML page, and compares two runs.
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

// Run holds the figures of one run.
type Run struct {
	Deployment string        `json:"deployment"`
	Seed       uint64        `json:"seed"`
	Rate       float64       `json:"rate_per_second"`
	Started    time.Time     `json:"started"`
	Duration   time.Duration `json:"duration_ns"`

	Requests int `json:"requests"`
	Tries    int `json:"tries"`
	// Answered counts the requests that ended with a whole and successful answer.
	Answered int `json:"answered"`
	// Verdicts counts the requests by what their callers were told last.
	Verdicts map[string]int `json:"verdicts"`
	// Refusals counts the answers with an error, by code.
	Refusals map[string]int `json:"refusals"`
	Classes  []Class        `json:"classes"`
	Budgets  []Budget       `json:"budgets,omitempty"`
	// Overspend is the sum over all budgets, in tokens.
	Overspend int64         `json:"overspend_tokens"`
	False     FalseRefusals `json:"false_refusals"`
	// FirstToken counts from the intended start to the first part of the last
	// answer. Between counts between the tokens of a stream, Whole to the end.
	FirstToken Latency `json:"first_token"`
	Between    Latency `json:"between_tokens"`
	Whole      Latency `json:"whole_answer"`
	// LinkBytes crossed between regions, -1 if it is not known.
	LinkBytes int64           `json:"link_bytes"`
	Seconds   []Second        `json:"seconds"`
	Faults    []history.Fault `json:"faults,omitempty"`
	Check     check.Result    `json:"check"`
}

// NoAnswer stands among the verdicts for requests whose callers got no answer at
// all.
const NoAnswer = "no answer"

// Class holds the figures of one class of callers.
type Class struct {
	Name       string  `json:"name"`
	Requests   int     `json:"requests"`
	Answered   int     `json:"answered"`
	FirstToken Latency `json:"first_token"`
}

// Budget compares spend and payment of a budget, in tokens.
type Budget struct {
	ID        string `json:"id"`
	Paid      int64  `json:"paid_tokens"`
	Spent     int64  `json:"spent_tokens"`
	Lost      int64  `json:"lost_tokens"`
	Overspend int64  `json:"overspend_tokens"`
}

// Latency is a distribution of times in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
	// Curve holds the times at the quantiles of curveQuantiles.
	Curve []float64 `json:"curve_ms,omitempty"`
}

// Second holds the figures of one second of the run.
type Second struct {
	// Ended counts the requests that ended in this second by verdict.
	Ended map[string]int `json:"ended"`
	// P50 and P95 are times to the first token in milliseconds.
	P50 float64 `json:"first_token_p50_ms"`
	P95 float64 `json:"first_token_p95_ms"`
	// Billed is the sum of all bills until the end of the second, in tokens.
	Billed int64 `json:"billed_tokens"`
	// LinkBytes crossed between regions in this second.
	LinkBytes int64 `json:"link_bytes"`
}

// New computes the figures of a run.
func New(log *history.Log, result check.Result) Run {
	r := Run{
		Deployment: log.Deployment, Seed: log.Seed, Rate: log.Rate, Started: log.Started, Duration: log.Duration,
		Requests: len(log.Requests), Verdicts: map[string]int{}, Refusals: map[string]int{}, LinkBytes: -1,
		Faults: log.Faults, Check: result, False: countFalseRefusals(log),
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
	r.Seconds = seconds(log)
	return r
}

func (r *Run) addRequests(log *history.Log) {
	first, between, whole := newTimes(), newTimes(), newTimes()
	classes := map[string]*Class{}
	classTimes := map[string]*times{}
	for i := range log.Requests {
		q := &log.Requests[i]
		if classes[q.Class] == nil {
			classes[q.Class], classTimes[q.Class] = &Class{Name: q.Class}, newTimes()
		}
		class := classes[q.Class]
		class.Requests++
		r.Tries += len(q.Tries)
		r.Verdicts[verdictOf(q)]++
		for _, t := range q.Tries {
			if t.Code != "" {
				r.Refusals[t.Code]++
			}
		}
		last := q.Last()
		if last == nil || !last.OK() {
			continue
		}
		r.Answered++
		class.Answered++
		first.add(last.FirstToken - q.Intended)
		classTimes[q.Class].add(last.FirstToken - q.Intended)
		whole.add(last.End - q.Intended)
		for _, gap := range last.Gaps {
			between.add(gap)
		}
	}
	r.FirstToken, r.Between, r.Whole = first.latency(), between.latency(), whole.latency()
	for _, name := range slices.Sorted(maps.Keys(classes)) {
		classes[name].FirstToken = classTimes[name].latency()
		classes[name].FirstToken.Curve = nil
		r.Classes = append(r.Classes, *classes[name])
	}
}

// verdictOf returns what the caller of a request was told last.
func verdictOf(q *history.Request) string {
	last := q.Last()
	if last == nil || last.Verdict == "" {
		return NoAnswer
	}
	return last.Verdict
}

// curveQuantiles are the points of a Latency's curve, in percent.
var curveQuantiles = []float64{0, 5, 10, 20, 30, 40, 50, 60, 70, 80, 90, 95, 97, 98, 99, 99.5, 99.9, 100}

// Range and precision of the histograms.
const (
	longestMicros     = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// times collects a distribution.
type times struct{ histogram *hdrhistogram.Histogram }

func newTimes() *times {
	return &times{hdrhistogram.New(1, longestMicros, significantDigits)}
}

func (t *times) add(d time.Duration) {
	_ = t.histogram.RecordValue(min(max(d.Microseconds(), 1), longestMicros))
}

func (t *times) at(quantile float64) float64 {
	if t.histogram.TotalCount() == 0 {
		return 0
	}
	return float64(t.histogram.ValueAtQuantile(quantile)) / 1000
}

func (t *times) latency() Latency {
	l := Latency{Count: t.histogram.TotalCount(), P50: t.at(50), P95: t.at(95), P99: t.at(99), Max: t.at(100)}
	if l.Count > 0 {
		for _, q := range curveQuantiles {
			l.Curve = append(l.Curve, t.at(q))
		}
	}
	return l
}

// seconds computes the figures over time.
func seconds(log *history.Log) []Second {
	n := int(log.Duration/time.Second) + 1
	index := func(at time.Duration) int { return min(max(int(at/time.Second), 0), n-1) }
	out := make([]Second, n)
	first := make([]*times, n)
	for i := range out {
		out[i].Ended, first[i] = map[string]int{}, newTimes()
	}
	for i := range log.Requests {
		q := &log.Requests[i]
		if last := q.Last(); last != nil {
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
		out[i].Billed, out[i].P50, out[i].P95 = billed, first[i].at(50), first[i].at(95)
	}
	return out
}

// joinCounts writes a map as "3 a, 2 b", the most frequent first.
func joinCounts(counts map[string]int) string {
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
