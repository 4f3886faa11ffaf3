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
		want                     bool
	}{
		{"early, may be cut off", 8 * time.Second, time.Second, 15 * time.Second, true},
		{"early in a long drain", time.Minute, 2 * time.Second, time.Hour, true},
		{"late, long", 8 * time.Second, 2700 * time.Millisecond, 6 * time.Second, false},
		{"late in a long drain", time.Minute, 4 * time.Second, time.Hour, false},
		{"late, ends in time", 8 * time.Second, 5 * time.Second, 2 * time.Second, true},
		{"late, ends within the margin", 8 * time.Second, 5 * time.Second, 2900 * time.Millisecond, false},
		{"late, ends with the drain", 8 * time.Second, 6 * time.Second, 2 * time.Second, false},
		{"short drain", 900 * time.Millisecond, 400 * time.Millisecond, time.Second, false},
		{"past the end", 8 * time.Second, 9 * time.Second, time.Millisecond, false},
	} {
		d := Drain{Began: began, Ends: began.Add(test.length)}
		arrived := began.Add(test.arrived)
		qt.Check(t, d.Accepts(arrived, arrived.Add(test.timeout)), qt.Equals, test.want, qt.Commentf("%s", test.name))
	}
}
