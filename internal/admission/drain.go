package admission

import "time"

const (
	// drainAcceptDivisor is the part of a drain in which requests without a near deadline are accepted.
	// A caller that does not know of the stop yet is served, and the rest of the drain suffices for most
	// requests.
	drainAcceptDivisor = 3
	// maxDrainAccept bounds that part.
	maxDrainAccept = 2500 * time.Millisecond
	// drainMargin is the time before the end of a drain in which the last answers are written.
	drainMargin = 200 * time.Millisecond
	// drainMarginDivisor limits that time to a part of a short drain.
	drainMarginDivisor = 8
)

// Drain is a planned stop of a process: requests in progress at its end are cut off.
type Drain struct{ Began, Ends time.Time }

// AnswerBy returns when requests in progress must be answered, if their answers have not begun: early
// enough for the answer to be written before the end.
func (d Drain) AnswerBy() time.Time {
	return d.Ends.Add(-min(drainMargin, d.Ends.Sub(d.Began)/drainMarginDivisor))
}

// Accepts reports whether a request that has arrived whole is accepted. expected is the time that its
// answer is expected to take, 0 if unknown. Later than the first part of the drain, only a request that
// is answered before the end in any case is accepted, and before that one that is expected to be:
// another process can serve the others from the start, while here they might be cut off after they have run.
func (d Drain) Accepts(arrived, deadline time.Time, expected time.Duration) bool {
	if !deadline.After(d.AnswerBy()) {
		return true
	}
	accept := min(d.Ends.Sub(d.Began)/drainAcceptDivisor, maxDrainAccept)
	return arrived.Sub(d.Began) <= accept && !arrived.Add(expected).After(d.AnswerBy())
}
