package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/urfave/cli/v3"

	"github.com/monsoonworks/monsoonworks/devel/standin/storeserver"
	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/ctl"
	"github.com/monsoonworks/monsoonworks/internal/operator"
	"github.com/monsoonworks/monsoonworks/internal/store/memstore"
)

const answersFile = "../../examples/armor.yaml"

// fixture is a store and the tool that uses it.
type fixture struct {
	c      *qt.C
	server *storeserver.Server
	url    string
	// afterWrite, if set, is called after a write. The response is then dropped.
	afterWrite func()
}

// ServeHTTP implements http.Handler.
func (f *fixture) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.afterWrite == nil || r.URL.Path != "/v3/kv/txn" {
		f.server.ServeHTTP(w, r)
		return
	}
	f.server.ServeHTTP(httptest.NewRecorder(), r)
	f.afterWrite()
	panic(http.ErrAbortHandler)
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{c: qt.New(t), server: storeserver.New(memstore.New(memstore.Options{}))}
	server := httptest.NewServer(f)
	t.Cleanup(server.Close)
	f.url = server.URL
	return f
}

// runTool runs the tool with JSON output and returns its output and exit code.
func (f *fixture) runTool(args ...string) (stdout, stderr string, code int) {
	var out, errOut bytes.Buffer
	args = append([]string{"monsoonctl", "--store", f.url, "--output", "json"}, args...)
	code = run(context.Background(), args, strings.NewReader(""), &out, &errOut)
	return out.String(), errOut.String(), code
}

// mustRun runs the tool, expects success and decodes its output into result.
func (f *fixture) mustRun(result any, args ...string) {
	f.c.Helper()
	out, errOut, code := f.runTool(args...)
	f.c.Assert(code, qt.Equals, ctl.ExitOK, qt.Commentf("%v: %s", args, errOut))
	f.c.Assert(json.Unmarshal([]byte(out), result), qt.IsNil, qt.Commentf("%s", out))
}

// newDeployedFixture returns a fixture with the configuration of the example and
// one budget.
func newDeployedFixture(t *testing.T) *fixture {
	f := newFixture(t)
	f.mustRun(&ctl.ConfigDiff{}, "config", "apply", answersFile, "--base", "0")
	f.mustRun(&ctl.Message{}, "budget", "create", "letters")
	return f
}

func (f *fixture) paid() budget.Tokens {
	balance, err := operator.BudgetManager{KV: f.server.Store, Shards: 4}.Balance(f.c.Context(), "letters/main")
	f.c.Assert(err, qt.IsNil)
	return balance.Paid
}

// Guards against a top-up that counts twice, or not at all, when the response of
// the store was lost.
func TestTopUpAfterLostResponse(t *testing.T) {
	f := newDeployedFixture(t)
	f.server.Controls.DropResponses(1)
	var v ctl.TopUpView
	f.mustRun(&v, "topup", "letters", "500", "--id", "one")
	f.c.Assert(v.Counted, qt.IsTrue)
	f.c.Assert(f.paid(), qt.Equals, budget.Tokens(500))
	f.mustRun(&v, "topup", "letters", "500", "--id", "one")
	f.c.Assert(v.Counted, qt.IsFalse)
	f.c.Assert(f.paid(), qt.Equals, budget.Tokens(500))
	_, errOut, code := f.runTool("topup", "letters", "600", "--id", "one")
	f.c.Assert(code, qt.Equals, ctl.ExitInput, qt.Commentf("%s", errOut))
	f.c.Assert(errOut, qt.Contains, "500 tokens")
}

// Guards against a top-up with unknown outcome that is reported as not made, and
// against a repeated top-up that is added again. The store goes down after it has
// written the top-up and before it responds.
func TestTopUpOutcomeUnknown(t *testing.T) {
	f := newDeployedFixture(t)
	f.afterWrite = func() { f.server.Controls.SetDown(true) }
	_, errOut, code := f.runTool("--timeout", "1s", "topup", "letters", "500", "--id", "one")
	f.c.Assert(code, qt.Equals, ctl.ExitUnknown, qt.Commentf("%s", errOut))
	f.afterWrite = nil
	f.server.Controls.SetDown(false)
	f.mustRun(&ctl.TopUpView{}, "topup", "letters", "500", "--id", "one")
	f.c.Assert(f.paid(), qt.Equals, budget.Tokens(500))
}

// Guards against reporting an unknown outcome when the store was down before the
// command.
func TestStoreUnavailable(t *testing.T) {
	f := newDeployedFixture(t)
	f.server.Controls.SetDown(true)
	for _, args := range [][]string{
		{"topup", "letters", "500", "--id", "one"}, {"workspace", "list"}, {"config", "diff", answersFile}, {"bills", "letters"},
	} {
		_, errOut, code := f.runTool(args...)
		f.c.Assert(code, qt.Equals, ctl.ExitUnavailable, qt.Commentf("%v: %s", args, errOut))
	}
}

// Guards against operators who apply concurrently and overwrite each other's
// configuration, or who are not shown the conflicting change.
func TestConcurrentApply(t *testing.T) {
	f := newDeployedFixture(t)
	var diff ctl.ConfigDiff
	f.mustRun(&diff, "config", "diff", answersFile)
	text, err := os.ReadFile(answersFile)
	f.c.Assert(err, qt.IsNil)
	const operators = 4
	codes, errs := make([]int, operators), make([]string, operators)
	var wg sync.WaitGroup
	for i := range operators {
		file := filepath.Join(t.TempDir(), "answers.yaml")
		changed := strings.Replace(string(text), "hurts_more: 2", fmt.Sprintf("hurts_more: %d", 3+i), 1)
		f.c.Assert(os.WriteFile(file, []byte(changed), 0o600), qt.IsNil)
		wg.Go(func() {
			_, errs[i], codes[i] = f.runTool("config", "apply", file, "--base", fmt.Sprint(diff.Version), "--author", fmt.Sprintf("op%d", i))
		})
	}
	wg.Wait()
	winner := -1
	for i, code := range codes {
		if code == ctl.ExitOK {
			f.c.Assert(winner, qt.Equals, -1)
			winner = i
		}
	}
	f.c.Assert(winner >= 0, qt.IsTrue, qt.Commentf("%v", errs))
	for i, code := range codes {
		if i == winner {
			continue
		}
		f.c.Assert(code, qt.Equals, ctl.ExitConflict)
		var failure ctl.Failure
		f.c.Assert(json.Unmarshal([]byte(errs[i]), &failure), qt.IsNil)
		f.c.Assert(failure.Conflict.Author, qt.Equals, fmt.Sprintf("op%d", winner))
		f.c.Assert(failure.Conflict.Writes, qt.HasLen, 1)
	}
	var view ctl.ConfigView
	f.mustRun(&view, "config", "show", "deployment/main")
	f.c.Assert(string(view.Entries[0].Value), qt.Contains, fmt.Sprintf(`"refusal_weight": %d`, 10*(3+winner)))
}

// Guards against invalid input that is reported with another exit code, or with an
// error that does not name the fault.
func TestInvalidInput(t *testing.T) {
	f := newDeployedFixture(t)
	invalidFile := filepath.Join(t.TempDir(), "wrong.yaml")
	text, err := os.ReadFile(answersFile)
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(os.WriteFile(invalidFile, []byte(strings.Replace(string(text), "hurts_more: 2", "hurts_more: 20", 1)), 0o600), qt.IsNil)
	for _, test := range []struct{ want, args string }{
		{`line 11: question \"hurts_more\": 20 is not a whole number from 0 to 10`, "config apply " + invalidFile + " --yes"},
		{"is not an amount", "topup letters 0 --id x"}, {"is not an amount", "topup letters 1e6 --id x"},
		{`Required flag \"id\" not set`, "topup letters 5"}, {"takes BUDGET AMOUNT", "topup letters --id x"},
		{"no such budget", "topup rounds-finistere 5 --id x"}, {"is not configured", "budget create nobody"},
		{"is not a budget", "budget create Letters"}, {"no such key", "key revoke letters 0123"},
		{"neither a date", "bills letters --since yesterday"}, {"is not configured", "workspace show nobody"},
		{"has no command", "nonsense"}, {"flag provided but not defined", "status --bogus"},
		{"is not a request id", "explain 42"}, {"at most 1h", "explain refusal letters --since 2h"},
		{"--hosts is needed", "status"},
	} {
		_, errOut, code := f.runTool(strings.Fields(test.args)...)
		f.c.Assert(code, qt.Equals, ctl.ExitInput, qt.Commentf("%s: %s", test.args, errOut))
		f.c.Assert(errOut, qt.Contains, test.want)
	}
	f.c.Assert(f.paid(), qt.Equals, budget.Tokens(0))
}

// Guards against a rotation that does not revoke the old key, and against a list
// that shows more than key IDs.
func TestKeyRotation(t *testing.T) {
	f := newDeployedFixture(t)
	var first, second, list ctl.KeyView
	f.mustRun(&first, "key", "issue", "letters")
	f.c.Assert(strings.HasPrefix(first.Key, "mw_letters_main_"), qt.IsTrue)
	f.mustRun(&second, "key", "rotate", "letters", first.KeyID)
	f.c.Assert(second.Revoked, qt.Equals, first.KeyID)
	f.mustRun(&list, "key", "list", "letters")
	f.c.Assert(list.KeyIDs, qt.DeepEquals, []string{second.KeyID})
	out, _, _ := f.runTool("key", "list", "letters")
	f.c.Assert(strings.Contains(out, second.Key), qt.IsFalse)
}

// Guards against a command without a usage text or an example in its help.
func TestEveryCommandHasAnExample(t *testing.T) {
	c := qt.New(t)
	var check func(cmd *cli.Command)
	check = func(cmd *cli.Command) {
		c.Assert(strings.Contains(cmd.Description, "Example: monsoonctl"), qt.IsTrue, qt.Commentf("%s", cmd.Name))
		c.Assert(cmd.Usage, qt.Not(qt.Equals), "")
		for _, sub := range cmd.Commands {
			check(sub)
		}
	}
	check((&tool{}).rootCommand())
}
