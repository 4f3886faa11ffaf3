package fleet

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against an expectation from too few streams, one that most streams exceed, one that few streams
// of varied length reach, and an overflow with as many declared events as a caller likes.
func TestExpectedStreamTime(t *testing.T) {
	const declared, gap = 100, 40 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 1))
	for name, test := range map[string]struct {
		events   func() int
		min, max time.Duration // of what is expected for a stream with as many declared events
	}{
		"as declared": {func() int { return declared }, declared * gap, declared * gap * 11 / 10},
		"half":        {func() int { return declared / 2 }, declared * gap / 2, declared * gap * 6 / 10},
		"any length":  {func() int { return 1 + random.IntN(declared) }, declared * gap / 2, declared * gap * 3 / 4},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			table := NewTable()
			table.Apply([]Entry{{ID: "i", Service: "s", Revision: 1}})
			server := table.Servers("s")[0]
			now := time.Unix(1000, 0)
			for n := range 300 {
				if n < minStreamSamples {
					c.Assert(table.ExpectedStreamTime("s", ShortPrompt, declared), qt.Equals, time.Duration(0))
				}
				attempt := server.Begin(ShortPrompt, now)
				attempt.FirstByte(now.Add(time.Millisecond))
				attempt.StreamEnded(declared, now.Add(time.Millisecond+time.Duration(test.events())*gap))
				attempt.End(Answered, now)
			}
			got := table.ExpectedStreamTime("s", ShortPrompt, declared)
			c.Check(got >= test.min && got <= test.max, qt.IsTrue, qt.Commentf("%v", got))
			c.Check(table.ExpectedStreamTime("s", ShortPrompt, 0), qt.Equals, time.Duration(0))
			c.Check(table.ExpectedStreamTime("s", ShortPrompt, 1<<40) > declared*gap, qt.IsTrue)
		})
	}
}
