package daemon

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonworks/monsoonworks/internal/mirror"
)

// An odd entry must be logged once a revision: the other servers change several times a second.
func TestOddServerLoggedOnce(t *testing.T) {
	c := qt.New(t)
	g, text := newWatchingGate()
	for range 300 {
		g.applyServers(serverState("null", 2))
	}
	c.Check(strings.Count(text.String(), "invalid server entry ignored"), qt.Equals, 1)
	for range 300 {
		g.applyServers(serverState("{}", 3))
	}
	c.Check(strings.Count(text.String(), "invalid server entry ignored"), qt.Equals, 2)
	g.applyServers(mirror.State{})
	g.applyServers(serverState("{}", 9))
	c.Check(strings.Count(text.String(), "invalid server entry ignored"), qt.Equals, 3)
}
