package settings

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonworks/monsoonworks/internal/wire"
)

const gateFile = `role: gate
name: "edge-a-1"
region: "r"
domain: "d"
drain_timeout: "8s"
gate:
  listen: "10.1.0.19:8740"
  ready_listen: "10.1.0.19:8749"
  relay_port: 7200
  store: "10.200.1.7:8742"
  regions: {"d":"r","e":"s"}
  retry_share: 0.2
  retry_slack: 56
  memory_mb: 284
  link_mbps: 1000.0
telemetry:
  listen: "10.1.0.19:9464"
`

// Guards against invalid settings of a gate that are accepted, and against errors that do
// not name the line.
func TestGateSettings(t *testing.T) {
	c := qt.New(t)
	s, err := Parse([]byte(gateFile))
	c.Assert(err, qt.IsNil)
	c.Assert(s.Role, qt.Equals, wire.RoleGate)
	c.Assert(s.Gate.Regions, qt.DeepEquals, map[string]string{"d": "r", "e": "s"})
	for wrong, message := range map[string]string{
		`relay_port: 70000`: "line 9: gate.relay_port", `retry_share: 2`: "line 12: gate.retry_share",
		`store: "store:80"`: "line 10: gate.store", `memory_mb: 0`: "line 14: gate.memory_mb",
		`link_mbps: -1`: "line 15: gate.link_mbps", `regions: {}`: "gate.regions", `unknown: 1`: "unknown",
	} {
		key, _, _ := strings.Cut(wrong, ":")
		lines := strings.Split(gateFile, "\n")
		found := false
		for i, line := range lines {
			if strings.HasPrefix(strings.TrimSpace(line), key+":") {
				lines[i], found = "  "+wrong, true
			}
		}
		if !found {
			lines = append(lines, wrong)
		}
		_, err := Parse([]byte(strings.Join(lines, "\n")))
		c.Assert(err, qt.ErrorMatches, "(?s).*"+message+".*", qt.Commentf("%s", wrong))
	}
	_, err = Parse([]byte("role: relay\nname: n\nregion: r\ndomain: d\nrelay: {listen: \"10.0.0.1:1\", store: \"10.0.0.2:2\"}\n"))
	c.Assert(err, qt.IsNil)
}
