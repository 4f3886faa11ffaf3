package admission

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against requests that are accepted late in a planned stop and cut off at its end, and against
// refusing those that arrive early or end in time.
func TestDrainAccepts(t *testing.T) {
	began := time.Unix(1000, 0)
	for _, test := range []struct {
		name                     string
		length, arrived, timeout time.Duration
		expected                 time.Duration
		want                     bool
	}{
		{"early, may be cut off", 8 * time.Second, time.Second, 15 * time.Second, 0, true},
		{"early in a long drain", time.Minute, 2 * time.Second, time.Hour, 0, true},
		{"late, long", 8 * time.Second, 2700 * time.Millisecond, 6 * time.Second, 0, false},
		{"late in a long drain", time.Minute, 4 * time.Second, time.Hour, 0, false},
		{"late, ends in time", 8 * time.Second, 5 * time.Second, 2 * time.Second, 0, true},
		{"late, ends within the margin", 8 * time.Second, 5 * time.Second, 2900 * time.Millisecond, 0, false},
		{"late, ends with the drain", 8 * time.Second, 6 * time.Second, 2 * time.Second, 0, false},
		{"short drain", 900 * time.Millisecond, 400 * time.Millisecond, time.Second, 0, false},
		{"early, expected to end in time", 8 * time.Second, time.Second, 15 * time.Second, 6 * time.Second, true},
		{"early, expected to be cut off", 8 * time.Second, time.Second, 15 * time.Second, 7 * time.Second, false},
		{"early, expected late, but its deadline is near", 8 * time.Second, time.Second, 2 * time.Second, 9 * time.Second, true},
		{"late, expected to end in time", 8 * time.Second, 3 * time.Second, 15 * time.Second, time.Second, false},
		{"past the end", 8 * time.Second, 9 * time.Second, time.Millisecond, 0, false},
	} {
		d := Drain{Began: began, Ends: began.Add(test.length)}
		arrived := began.Add(test.arrived)
		qt.Check(t, d.Accepts(arrived, arrived.Add(test.timeout), test.expected), qt.Equals, test.want, qt.Commentf("%s", test.name))
	}
}
