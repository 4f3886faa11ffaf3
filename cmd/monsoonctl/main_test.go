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

// bench is a store and the tool that uses it.
type bench struct {
	c      *qt.C
	server *storeserver.Server
	url    string
	// afterWrite, if set, is called after a write, whose answer is then lost.
	afterWrite func()
}

// ServeHTTP implements http.Handler.
func (b *bench) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if b.afterWrite == nil || r.URL.Path != "/v3/kv/txn" {
		b.server.ServeHTTP(w, r)
		return
	}
	b.server.ServeHTTP(httptest.NewRecorder(), r)
	b.afterWrite()
	panic(http.ErrAbortHandler)
}

func newBench(t *testing.T) *bench {
	b := &bench{c: qt.New(t), server: storeserver.New(memstore.New(memstore.Options{}))}
	server := httptest.NewServer(b)
	t.Cleanup(server.Close)
	b.url = server.URL
	return b
}

// tool runs the tool and returns its output and exit code.
func (b *bench) tool(args ...string) (stdout, stderr string, code int) {
	var out, errOut bytes.Buffer
	args = append([]string{"monsoonctl", "--store", b.url, "--output", "json"}, args...)
	code = run(context.Background(), args, strings.NewReader(""), &out, &errOut)
	return out.String(), errOut.String(), code
}

func (b *bench) must(into any, args ...string) {
	b.c.Helper()
	out, errOut, code := b.tool(args...)
	b.c.Assert(code, qt.Equals, ctl.ExitOK, qt.Commentf("%v: %s", args, errOut))
	b.c.Assert(json.Unmarshal([]byte(out), into), qt.IsNil, qt.Commentf("%s", out))
}

// deployed returns a bench with the example's configuration and one budget.
func deployed(t *testing.T) *bench {
	b := newBench(t)
	b.must(&ctl.ConfigDiff{}, "config", "apply", answersFile, "--base", "0")
	b.must(&ctl.Message{}, "budget", "create", "letters")
	return b
}

func (b *bench) paid() budget.Tokens {
	balance, err := operator.BudgetAdmin{KV: b.server.Store, Shards: 4}.Balance(b.c.Context(), "letters/main")
	b.c.Assert(err, qt.IsNil)
	return balance.Paid
}

// Guards against a top-up that counts twice, or not at all, after the store's
// answer was lost.
func TestLostAnswerOfTopUp(t *testing.T) {
	b := deployed(t)
	b.server.Controls.LoseAnswers(1)
	var v ctl.TopUpView
	b.must(&v, "topup", "letters", "500", "--id", "one")
	b.c.Assert(v.Counted, qt.IsTrue)
	b.c.Assert(b.paid(), qt.Equals, budget.Tokens(500))
	b.must(&v, "topup", "letters", "500", "--id", "one")
	b.c.Assert(v.Counted, qt.IsFalse)
	b.c.Assert(b.paid(), qt.Equals, budget.Tokens(500))
	_, errOut, code := b.tool("topup", "letters", "600", "--id", "one")
	b.c.Assert(code, qt.Equals, ctl.ExitInput, qt.Commentf("%s", errOut))
	b.c.Assert(errOut, qt.Contains, "500 tokens")
}

// Guards against an unknown outcome that is reported as a failure without effect,
// and against a repetition that counts again.
func TestStoreStaysAwayAfterTopUp(t *testing.T) {
	b := deployed(t)
	b.afterWrite = func() { b.server.Controls.SetDown(true) }
	_, errOut, code := b.tool("--timeout", "1s", "topup", "letters", "500", "--id", "one")
	b.c.Assert(code, qt.Equals, ctl.ExitUnknown, qt.Commentf("%s", errOut))
	b.afterWrite = nil
	b.server.Controls.SetDown(false)
	b.must(&ctl.TopUpView{}, "topup", "letters", "500", "--id", "one")
	b.c.Assert(b.paid(), qt.Equals, budget.Tokens(500))
}

// Guards against an outage that looks like an unknown outcome.
func TestStoreIsDown(t *testing.T) {
	b := deployed(t)
	b.server.Controls.SetDown(true)
	for _, args := range [][]string{
		{"topup", "letters", "500", "--id", "one"}, {"workspace", "list"}, {"config", "diff", answersFile}, {"bills", "letters"},
	} {
		_, errOut, code := b.tool(args...)
		b.c.Assert(code, qt.Equals, ctl.ExitUnavailable, qt.Commentf("%v: %s", args, errOut))
	}
}

// Guards against racing operators who overwrite each other's configuration, or
// who are not told what the other one did.
func TestRacingOperators(t *testing.T) {
	b := deployed(t)
	var diff ctl.ConfigDiff
	b.must(&diff, "config", "diff", answersFile)
	text, err := os.ReadFile(answersFile)
	b.c.Assert(err, qt.IsNil)
	const racers = 4
	codes, errs := make([]int, racers), make([]string, racers)
	var wg sync.WaitGroup
	for i := range racers {
		file := filepath.Join(t.TempDir(), "answers.yaml")
		changed := strings.Replace(string(text), "hurts_more: 2", fmt.Sprintf("hurts_more: %d", 3+i), 1)
		b.c.Assert(os.WriteFile(file, []byte(changed), 0o600), qt.IsNil)
		wg.Go(func() {
			_, errs[i], codes[i] = b.tool("config", "apply", file, "--base", fmt.Sprint(diff.Version), "--author", fmt.Sprintf("op%d", i))
		})
	}
	wg.Wait()
	winner := -1
	for i, code := range codes {
		if code == ctl.ExitOK {
			b.c.Assert(winner, qt.Equals, -1)
			winner = i
		}
	}
	b.c.Assert(winner >= 0, qt.IsTrue, qt.Commentf("%v", errs))
	for i, code := range codes {
		if i == winner {
			continue
		}
		b.c.Assert(code, qt.Equals, ctl.ExitConflict)
		var failure ctl.Failure
		b.c.Assert(json.Unmarshal([]byte(errs[i]), &failure), qt.IsNil)
		b.c.Assert(failure.Conflict.Author, qt.Equals, fmt.Sprintf("op%d", winner))
		b.c.Assert(failure.Conflict.Changes, qt.HasLen, 1)
	}
	var view ctl.ConfigView
	b.must(&view, "config", "show", "deployment/main")
	b.c.Assert(string(view.Entries[0].Value), qt.Contains, fmt.Sprintf(`"refusal_weight": %d`, 10*(3+winner)))
}

// Guards against wrong input that has another exit code, or an error that does
// not say what is allowed.
func TestWrongInput(t *testing.T) {
	b := deployed(t)
	wrong := filepath.Join(t.TempDir(), "wrong.yaml")
	text, err := os.ReadFile(answersFile)
	b.c.Assert(err, qt.IsNil)
	b.c.Assert(os.WriteFile(wrong, []byte(strings.Replace(string(text), "hurts_more: 2", "hurts_more: 20", 1)), 0o600), qt.IsNil)
	for _, test := range []struct{ want, args string }{
		{`line 11: question \"hurts_more\": 20 is not a whole number from 0 to 10`, "config apply " + wrong + " --yes"},
		{"is not an amount", "topup letters 0 --id x"}, {"is not an amount", "topup letters 1e6 --id x"},
		{`Required flag \"id\" not set`, "topup letters 5"}, {"takes BUDGET AMOUNT", "topup letters --id x"},
		{"no such budget", "topup rounds-finistere 5 --id x"}, {"is not in force", "budget create nobody"},
		{"is not a budget", "budget create Letters"}, {"no such key", "key revoke letters 0123"},
		{"neither a date", "bills letters --since yesterday"}, {"is not in force", "workspace show nobody"},
		{"has no command", "nonsense"}, {"flag provided but not defined", "status --bogus"},
		{"is not a request id", "explain 42"}, {"at most 1h", "explain refusal letters --since 2h"},
		{"--hosts is needed", "status"},
	} {
		_, errOut, code := b.tool(strings.Fields(test.args)...)
		b.c.Assert(code, qt.Equals, ctl.ExitInput, qt.Commentf("%s: %s", test.args, errOut))
		b.c.Assert(errOut, qt.Contains, test.want)
	}
	b.c.Assert(b.paid(), qt.Equals, budget.Tokens(0))
}

// Guards against a key that stays valid after its rotation, or a list that shows
// more than ids.
func TestKeys(t *testing.T) {
	b := deployed(t)
	var first, second, list ctl.KeyView
	b.must(&first, "key", "issue", "letters")
	b.c.Assert(strings.HasPrefix(first.Key, "mw_letters_main_"), qt.IsTrue)
	b.must(&second, "key", "rotate", "letters", first.KeyID)
	b.c.Assert(second.Revoked, qt.Equals, first.KeyID)
	b.must(&list, "key", "list", "letters")
	b.c.Assert(list.KeyIDs, qt.DeepEquals, []string{second.KeyID})
	out, _, _ := b.tool("key", "list", "letters")
	b.c.Assert(strings.Contains(out, second.Key), qt.IsFalse)
}

// Guards against a command without help that shows how to use it.
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
	check((&tool{}).command())
}
