package settings

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const validRouter = `role: router
name: router-1
region: doo-central
domain: sapporo-a
inner:
  listen: 127.0.0.1:7101
  secret_file: secret
public:
  listen: 127.0.0.1:8080
store:
  endpoints: [http://127.0.0.1:2379]
  timeout: 2s
host_list:
  url: http://127.0.0.1:2380/hosts
`

func TestParseAppliesDefaults(t *testing.T) {
	c := qt.New(t)
	s, err := Parse([]byte(validRouter))
	c.Assert(err, qt.IsNil)
	c.Assert(s.Inner.Advertise, qt.Equals, "127.0.0.1:7101")
	c.Assert(s.Public.MaxConnections, qt.Equals, 4096)
}

// Guards against invalid settings that are accepted, and against errors that do not name the
// line.
func TestParseErrorsNameLine(t *testing.T) {
	for _, test := range []struct{ name, from, to, want string }{
		{"unknown key", "name: router-1", "nam: router-1", "[2:1]"},
		{"missing unit", "timeout: 2s", "timeout: 2000", "line 12: "},
		{"host name", "listen: 127.0.0.1:8080", "listen: localhost:8080", "line 9: public.listen"},
		{"missing address", "  listen: 127.0.0.1:7101\n", "", "inner.listen"},
		{"bad role", "role: router", "role: proxy", "line 1: role"},
		{"no secret", "  secret_file: secret\n", "", "inner.secret_file"},
		{"bad URL", "[http://127.0.0.1:2379]", "['127.0.0.1:2379']", "line 11: store.endpoints[0]"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			text := strings.Replace(validRouter, test.from, test.to, 1)
			c.Assert(text, qt.Not(qt.Equals), validRouter)
			_, err := Parse([]byte(text))
			c.Assert(err, qt.ErrorMatches, "(?s).*"+strings.NewReplacer("[", `\[`, "]", `\]`).Replace(test.want)+".*")
		})
	}
}
