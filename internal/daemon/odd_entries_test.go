package daemon

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"github.com/monsoonworks/monsoonworks/internal/fleet"
	"github.com/monsoonworks/monsoonworks/internal/gate"
	"github.com/monsoonworks/monsoonworks/internal/mirror"
	"github.com/monsoonworks/monsoonworks/internal/settings"
	"github.com/monsoonworks/monsoonworks/internal/store"
	"github.com/monsoonworks/monsoonworks/platform"
)

// newWatchingGate returns the part of a gate that follows the store, and its log.
func newWatchingGate() (*Gate, *bytes.Buffer) {
	var text bytes.Buffer
	g := &Gate{log: slog.New(slog.NewTextHandler(&text, nil)), servers: fleet.NewTable(), gate: gate.New(gate.Options{Metrics: metrics.NewRegistry()})}
	g.current.Store(&settings.Settings{})
	return g, &text
}

func serverState(odd string, oddRevision int64) mirror.State {
	state := mirror.State{Entries: make(map[string]store.Entry), Revision: 100}
	for n := range 20 {
		key := fmt.Sprintf("%sgood%d", platform.ServerPrefix, n)
		value := fmt.Sprintf(`{"service":"s","address":"10.0.0.%d:80","zone":"z","version":"v","slots":4,"state":"ready","seq":1}`, n+1)
		state.Entries[key] = store.Entry{Key: key, Value: []byte(value), ModRevision: 1}
	}
	key := platform.ServerPrefix + "odd"
	state.Entries[key] = store.Entry{Key: key, Value: []byte(odd), ModRevision: oddRevision}
	return state
}

var oddServerValues = []string{
	"", "null", "\xff", strings.Repeat("[", 1<<20), strings.Repeat(`{"a":`, 10_000),
	`{"service":"s","address":"10.0.0.99:70000","zone":"z","version":"v","slots":4,"state":"ready","seq":1}`,
	`{"service":"s","address":"0.0.0.0:80","zone":"z","version":"v","slots":4,"state":"ready","seq":1}`,
	`{"service":"s","address":"10.0.0.99:80","zone":"z","version":"v","slots":1e999,"state":"ready","seq":1}`,
}

// An odd entry must not cost the other servers their place.
func TestOddServerKeepsOthers(t *testing.T) {
	c := qt.New(t)
	g, _ := newWatchingGate()
	for n, value := range oddServerValues {
		g.applyServers(serverState(value, int64(n+2)))
		c.Check(g.servers.Servers("s"), qt.HasLen, 20, qt.Commentf("%.40q", value))
	}
}

// An odd configuration must leave the one in force.
func TestOddConfigKeepsCurrent(t *testing.T) {
	c := qt.New(t)
	g, _ := newWatchingGate()
	apply := func(value string) {
		g.applyConfig(mirror.State{Entries: map[string]store.Entry{
			platform.ConfigKey: {Key: platform.ConfigKey, Value: []byte(value), ModRevision: 2},
		}})
	}
	for _, value := range []string{"", "null", "{}", strings.Repeat("[", 1<<20), `{"version":1e999}`} {
		apply(value)
		c.Check(g.gate.Catalog(), qt.IsNil, qt.Commentf("%.40q", value))
	}
	current, err := platform.DecodeCatalog([]byte(`{"version":5,"route_list":[],"services":[]}`))
	c.Assert(err, qt.IsNil)
	g.gate.SetCatalog(current)
	for _, value := range []string{"", "null", "{}", strings.Repeat("[", 1<<20), `{"version":1e999}`, `{"version":6}`} {
		apply(value)
		c.Check(g.gate.Catalog(), qt.Equals, current, qt.Commentf("%.40q", value))
	}
}
