package admission

import "time"

const (
	// slackDivisor leaves a part of the slack to processes that replace killed ones within
	// retryWindowSeconds.
	slackDivisor = 2
	// joinTime is the age from which on a process has fixed retries. The gates that started with it have
	// called their relay by then, and it has heard of them.
	joinTime = 4 * time.Second
)

// FixedRetries decides how many retries to each service a gate may make in retryWindowSeconds however
// few requests it gets. Those of all gates together stay within the slack of the fleet: each failure
// domain has an equal part of it, and each gate an equal part of its domain's. The zero value, for a
// gate that does not know the number of gates, has none. It is not safe for concurrent use.
type FixedRetries struct {
	gates int
	// fewer is the largest number reported since fewerSince, when the reports fell below gates. It is 0
	// unless they are below it.
	fewer      int
	fewerSince time.Time
}

// Report notes a number of gates in the gate's failure domain that a relay has counted, 0 if it does
// not know. A larger number applies at once, a smaller one after retryWindowSeconds: the gates that are
// gone may have used their parts, and a relay that takes over counts few gates at first.
func (f *FixedRetries) Report(gates int, now time.Time) {
	switch {
	case gates <= 0:
	case gates >= f.gates:
		f.gates, f.fewer = gates, 0
	case f.fewer == 0:
		f.fewer, f.fewerSince = gates, now
	default:
		f.fewer = max(f.fewer, gates)
		if now.Sub(f.fewerSince) >= retryWindowSeconds*time.Second {
			f.gates, f.fewer = f.fewer, 0
		}
	}
}

// Gates returns the number of gates that applies, 0 if it is not known.
func (f *FixedRetries) Gates() int { return f.gates }

// Limit returns the number of fixed retries of a gate, given the slack of the fleet, the number of its
// failure domains and the age of the gate's process. It is 0 before joinTime. A fraction is dropped: saved
// up over time, those of all gates could be spent at once.
func (f *FixedRetries) Limit(slack float64, domains int, age time.Duration) int {
	if f.gates == 0 || domains <= 0 || age < joinTime {
		return 0
	}
	return int(slack / float64(domains*f.gates*slackDivisor))
}
