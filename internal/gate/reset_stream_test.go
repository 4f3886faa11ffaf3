package gate

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// A stream whose end is that of its connection must not be taken for complete if the connection is
// reset, whether or not it is a continuation.
func TestResetStreamNotComplete(t *testing.T) {
	reset := respondWith(200, streamHead, formatEvents(1, 3), untilReset)
	for range 3 {
		got := newFixture(t, reset).request("POST", "/stream/")
		qt.Check(t, got.err, qt.IsNotNil)
		qt.Check(t, got.body, qt.Equals, formatEvents(1, 3))
		got = newFixture(t, breakAfter(2), reset).request("POST", "/resume/")
		qt.Check(t, got.err, qt.IsNotNil)
		qt.Check(t, got.body, qt.Equals, formatEvents(1, 3))
		got = newFixture(t, reset, respondWith(200, streamHead, formatEvents(4, 5), inChunks)).request("POST", "/resume/")
		qt.Check(t, got.err, qt.IsNil)
		qt.Check(t, got.body, qt.Equals, formatEvents(1, 5))
	}
}
