package questionnaire

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func readExample(c *qt.C, name string) string {
	text, err := os.ReadFile(filepath.Join("..", "..", "examples", name+".yaml"))
	c.Assert(err, qt.IsNil)
	return string(text)
}

// Guards against unintended changes of the configuration generated for the two
// example deployments, and against fields without an explanation.
func TestExamples(t *testing.T) {
	for _, name := range []string{"yukimi", "armor"} {
		c := qt.New(t)
		a, err := Parse([]byte(readExample(c, name)))
		c.Assert(err, qt.IsNil)
		g, err := a.Generate()
		c.Assert(err, qt.IsNil)
		c.Assert(g.Snapshot.Workspaces, qt.HasLen, 10)
		for _, write := range g.Writes {
			var fields map[string]json.RawMessage
			c.Assert(json.Unmarshal(write.Value, &fields), qt.IsNil)
			for field, value := range fields {
				explanations := g.Explain(write.Section, write.Name, field)
				c.Assert(explanations, qt.HasLen, 1, qt.Commentf("%s/%s %s", write.Section, write.Name, field))
				c.Assert(string(explanations[0].Value), qt.Equals, string(value))
			}
		}
		got, err := json.MarshalIndent(struct {
			Changes      any
			Explanations any
			Budgets      any
		}{g.Writes, g.Explanations, g.Budgets}, "", " ")
		c.Assert(err, qt.IsNil)
		golden := filepath.Join("testdata", name+".golden.json")
		if *update {
			c.Assert(os.WriteFile(golden, append(got, '\n'), 0o600), qt.IsNil)
		}
		want, err := os.ReadFile(golden)
		c.Assert(err, qt.IsNil)
		c.Assert(string(got)+"\n", qt.Equals, string(want))
	}
}

// Guards against an invalid answer that is accepted, or rejected without naming the
// line, the question and the accepted answers.
func TestWrongAnswers(t *testing.T) {
	c := qt.New(t)
	text := readExample(c, "yukimi")
	for _, test := range []struct{ old, new, want string }{
		{"hurts_more: 8", "hurts_more: 11", `line 11: question "hurts_more": 11 is not a whole number from 0 to 10`},
		{"hurts_more: 8", "hurts_more: 7.5", `line 11: question "hurts_more": 7.5 is not a whole number from 0 to 10`},
		{"hurts_more: 8", "hurts_more: a lot", `line 11: question "hurts_more": a lot is not a whole number from 0 to 10`},
		{"share_percent: 80", "share_percent: 0", `line 15: question "link.share_percent": 0 is not a number from 1 to 100`},
		{"tokens_per_byte: 0.5", "tokens_per_byte: 1.5", `line 20: question "models[0].tokens_per_byte": 1.5 is not a number from 0.0001 to 1`},
		{"tokens_per_byte: 0.5", "tokens_per_byte: .nan", `question "models[0].tokens_per_byte": .nan is not a number from 0.0001 to 1`},
		{"may_repeat: [GET, HEAD]", "may_repeat: [get]", `question "services[0].may_repeat": get is not allowed in a list of HTTP methods in capitals, such as GET`},
		{"price_tokens: 10", "price_tokens:", `question "services[0].price_tokens": must be answered with a whole number from 0 to 2147483647`},
		{"deadline_seconds: 15", "dead_line: 15", `line 27: question "services[0].dead_line": there is no such question; the questions are name, price_tokens`},
		{"deadline_seconds: 15", "deadline_seconds: 7200", `question "services[0].deadline_seconds": 7200 is not a number from 0.001 to 3600`},
		{"store_region: doo-central", "store_region: tokyo", `line 9: question "store_region": "tokyo" is not one of the answers to "regions"`},
		{"serves: [rota]", "serves: [menu-planner]", `question "pools[1].serves": "menu-planner" is not one of the answers to "services"`},
		{"domains: [kushiro-a]", "domains: [sapporo-a]", `question "regions[1].domains": "sapporo-a" is in two regions`},
		{"domains: [kushiro-a]", "domains: [Kushiro]", `line 8: question "regions[1].domains": Kushiro is not allowed in a list of 1 to 64 names of lower-case`},
		{"domains: [kushiro-a]", "domains: []", `line 8: question "regions[1].domains": [] is not a list of 1 to 64 names`},
		{"kind: service", "kind: robot", `question "pools[1].kind": robot is not model or service`},
		{"engines_check_orders: true", "engines_check_orders: 1", `question "pools[0].engines_check_orders": 1 is not true or false`},
		{"  - workspace: ordering", "  - workspace: orders", `question "budgets[3].workspace": "orders" is not one of the answers to "workspaces"`},
		{"  - name: kitchen-lab", "  - name: training", `question "workspaces[8]": "training" appears twice`},
		{"priority: 5", "priority: 101", `question "workspaces[0].priority": 101 is not a whole number from -100 to 100`},
		{"name: yukimi", "name: Yukimi Gelato", `line 3: question "name": Yukimi Gelato is not a name of lower-case letters`},
	} {
		c.Assert(strings.Contains(text, test.old), qt.IsTrue, qt.Commentf("%s", test.old))
		_, err := Parse([]byte(strings.Replace(text, test.old, test.new, 1)))
		c.Assert(err, qt.IsNotNil, qt.Commentf("%s", test.new))
		c.Assert(err.Error(), qt.Contains, test.want)
	}
	_, err := Parse([]byte("- a\n- b\n"))
	c.Assert(err, qt.ErrorMatches, `line 1: question "": must be a group of answers: name, .*`)
	_, err = Parse([]byte("name: [\n"))
	c.Assert(err, qt.IsNotNil)
}

// Guards against errors that stop at the first wrong answer of a file.
func TestParseReportsAllErrors(t *testing.T) {
	c := qt.New(t)
	_, err := Parse([]byte("name: x\nhurts_more: 12\nlink: {share_percent: 400}\n"))
	c.Assert(err, qt.ErrorMatches, `(?s).*hurts_more.*link\.share_percent.*`)
	for _, question := range []string{"regions", "store_region", "pools", "workspaces"} {
		c.Assert(err.Error(), qt.Contains, fmt.Sprintf("question %q: must be answered", question))
	}
}

// Guards against a default that is explained as the operator's answer.
func TestExplanationsNameDefaults(t *testing.T) {
	c := qt.New(t)
	a, err := Parse([]byte(`
name: small
regions: [{name: r1, domains: [d1]}]
store_region: r1
models: [{name: m}]
pools: [{name: p, serves: [m]}]
workspaces: [{name: w, home_region: r1, models: [m], peak_requests_per_second: 3, peak_concurrent: 2}]
`))
	c.Assert(err, qt.IsNil)
	g, err := a.Generate()
	c.Assert(err, qt.IsNil)
	c.Assert(g.Explain("deployment", "main", "refusal_weight")[0].Reason, qt.Matches,
		`"hurts_more" was not answered, so its default applies: 5 on a scale .*`)
	c.Assert(g.Explain("workspace", "w", "requests_per_second")[0].Reason, qt.Matches,
		`answer "workspaces\[0\]\.peak_requests_per_second" \(line 7\): 2 times the expected peak of 3.*`)
	c.Assert(g.Snapshot.Deployment.LinkBytesPerSecond, qt.Equals, int64(3_000_000))
}

// Guards against a dialogue that loses an answer, accepts an invalid one, or writes
// a file that Parse rejects.
func TestAsk(t *testing.T) {
	c := qt.New(t)
	lines := []string{
		"small", "r1", "d1, d2", "n", "r1", "42", "8", "", "", "", // link defaults
		"y", "m", "", "", "", "", "n", // one model
		"n",                                 // no service
		"p", "robots", "", "m", "", "", "n", // "robots" is invalid, so the question is repeated
		"w", "r1", "m", "", "2.5", "4", "", "n",
		"y", "w", "", "the treasurer", "100", "n",
	}
	var out bytes.Buffer
	file, err := Ask(strings.NewReader(strings.Join(lines, "\n")+"\n"), &out)
	c.Assert(err, qt.IsNil, qt.Commentf("%s", out.String()))
	c.Assert(out.String(), qt.Contains, `question "hurts_more": "42" is not a whole number from 0 to 10`)
	c.Assert(out.String(), qt.Contains, `question "pools[0].kind": "robots" is not model or service`)
	a, err := Parse(file)
	c.Assert(err, qt.IsNil, qt.Commentf("%s", file))
	c.Assert(a.Regions, qt.DeepEquals, []Region{{Name: "r1", Domains: []string{"d1", "d2"}}})
	c.Assert(a.HurtsMore, qt.Equals, 8)
	c.Assert(a.Workspaces[0].PeakRequestsPerSecond, qt.Equals, 2.5)
	c.Assert(a.Budgets, qt.DeepEquals, []Budget{{Workspace: "w", Name: "main", ToppedUpBy: "the treasurer", FirstTopUpTokens: 100}})
	_, err = a.Generate()
	c.Assert(err, qt.IsNil)
	_, err = Ask(strings.NewReader("small\n"), &out)
	c.Assert(err, qt.ErrorIs, ErrInputEnded)
}

// Guards against a panic on any answers file.
func FuzzParse(f *testing.F) {
	f.Add([]byte("name: x\nregions: [{name: r1, domains: [d1]}]\n"))
	f.Add([]byte("a: &x {b: *x}\n<<: 1\n"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		if a, err := Parse(data); err == nil {
			_, _ = a.Generate()
		}
	})
}
