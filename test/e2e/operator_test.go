package e2e

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonworks/monsoonworks/devel/testbed"
	"github.com/monsoonworks/monsoonworks/internal/ctl"
)

// runTool runs the operators' tool against the store and the host list as
// sapporo-a-router-1 reaches them, and returns its output and exit code.
func (d *deployment) runTool(args ...string) (stdout, stderr string, code int) {
	router := d.ProcessSettings["sapporo-a-router-1"]
	global := []string{
		"--store", router.Store.Endpoints[0], "--hosts", router.HostList.URL, "--secret-file", router.Inner.SecretFile,
	}
	cmd := exec.Command(toolPath, append(global, args...)...)
	var out, errOut bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errOut
	err := cmd.Run()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return out.String(), errOut.String(), exit.ExitCode()
	}
	d.c.Assert(err, qt.IsNil)
	return out.String(), errOut.String(), 0
}

// mustRunTool runs the tool, asserts that it succeeds, and decodes its JSON output.
func (d *deployment) mustRunTool(into any, args ...string) {
	d.c.Helper()
	out, errOut, code := d.runTool(append([]string{"--output", "json"}, args...)...)
	d.c.Assert(code, qt.Equals, ctl.ExitOK, qt.Commentf("%v: %s", args, errOut))
	d.c.Assert(json.Unmarshal([]byte(out), into), qt.IsNil, qt.Commentf("%s", out))
}

// Guards against a step of setting up and operating a deployment that fails with
// the real programs: applying answers, issuing keys, paying, exhausting a budget,
// explaining the refusal, and continuing after a top-up.
func TestOperatorSetup(t *testing.T) {
	d := startWithoutWait(t, testbed.Yukimi().Small(), testbed.Options{EmptyStore: true})
	answers := filepath.Join("..", "..", "examples", "yukimi.yaml")
	d.applyConfig(answers)
	d.awaitRouters()
	d.mustRunTool(&ctl.Message{}, "budget", "create", "--answers", answers)
	for _, workspace := range []string{"sapporo-shops", "kushiro-shops"} {
		var key ctl.KeyView
		d.mustRunTool(&key, "key", "issue", workspace)
		d.Keys[workspace] = key.Key
		var paid ctl.TopUpView
		d.mustRunTool(&paid, "topup", workspace, "1_000", "--id", "first")
		d.c.Assert(paid.Counted, qt.IsTrue)
		d.mustRunTool(&paid, "topup", workspace, "1_000", "--id", "first")
		d.c.Assert(paid.Counted, qt.IsFalse)
		d.c.Assert(int64(paid.Paid), qt.Equals, int64(1000))
	}
	answered, refused := d.exhaustBudget("sapporo-a-router-1", "sapporo-shops")
	d.c.Assert(answered.verdict, qt.Equals, "ran")
	d.c.Assert(refused.verdict, qt.Equals, "not-run", qt.Commentf("%+v", refused))
	d.c.Assert(refused.body, qt.Contains, `"code":"budget-exhausted"`)
	d.checkExplanations(answered, refused)

	other := d.ask("kushiro-a-router-1", "kushiro-shops")
	d.c.Assert(other.status, qt.Equals, http.StatusOK, qt.Commentf("%+v", other))
	d.mustRunTool(&ctl.TopUpView{}, "topup", "sapporo-shops", "100000", "--id", "second")
	d.eventually(15*time.Second, func() bool {
		return d.ask("sapporo-a-router-1", "sapporo-shops").status == http.StatusOK
	}, "no request is answered after the top-up")
	d.checkStatement()
}

// applyConfig applies the answers to an empty deployment, and checks that a second
// operator who applies on the same base gets a conflict.
func (d *deployment) applyConfig(answers string) {
	_, _, code := d.runTool("questionnaire", "check", answers)
	d.c.Assert(code, qt.Equals, ctl.ExitOK)
	_, errOut, code := d.runTool("workspace", "list")
	d.c.Assert(code, qt.Equals, ctl.ExitInput, qt.Commentf("%s", errOut))
	var diff ctl.ConfigDiff
	d.mustRunTool(&diff, "config", "diff", answers)
	d.c.Assert(diff.Version, qt.Equals, int64(0))
	d.mustRunTool(&diff, "config", "apply", answers, "--base", "0", "--author", "yuki")
	d.c.Assert(diff.Applied > 0, qt.IsTrue)

	text, err := os.ReadFile(answers)
	d.c.Assert(err, qt.IsNil)
	conflicting := filepath.Join(d.c.TB.(*testing.T).TempDir(), "late.yaml")
	changed := strings.Replace(string(text), "hurts_more: 8", "hurts_more: 7", 1)
	d.c.Assert(os.WriteFile(conflicting, []byte(changed), 0o600), qt.IsNil)
	out, errOut, code := d.runTool("--output", "json", "config", "apply", conflicting, "--base", "0", "--author", "ren")
	d.c.Assert(code, qt.Equals, ctl.ExitConflict, qt.Commentf("%s%s", out, errOut))
	var failure ctl.Failure
	d.c.Assert(json.Unmarshal([]byte(errOut), &failure), qt.IsNil, qt.Commentf("%s", errOut))
	d.c.Assert(failure.Conflict.Author, qt.Equals, "yuki")
	d.c.Assert(len(failure.Conflict.Writes) > 10, qt.IsTrue)

	d.mustRunTool(&diff, "config", "diff", conflicting)
	d.c.Assert(diff.Changes, qt.HasLen, 1)
	d.c.Assert(diff.Changes[0].Fields[0].Field, qt.Equals, "refusal_weight")
	d.c.Assert(diff.Changes[0].Fields[0].Because, qt.Contains, `answer "hurts_more" (line 11): 7`)
}

// ask sends one request that reserves about 120 tokens.
func (d *deployment) ask(router, workspace string) response {
	return d.call(router, workspace, http.MethodPost, "/v1/chat/completions", d.chat("Which flavours this week?", 100, false), nil)
}

// exhaustBudget sends requests until one is refused for lack of budget. It returns the
// last answered request and the refused one.
func (d *deployment) exhaustBudget(router, workspace string) (answered, refused response) {
	for range 60 {
		resp := d.ask(router, workspace)
		d.c.Assert(resp.err, qt.IsNil)
		switch resp.status {
		case http.StatusOK:
			answered = resp
		case http.StatusPaymentRequired:
			return answered, resp
		default:
			// The holder may need longer to open a new budget than a request waits.
			d.c.Assert(resp.status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%+v", resp))
		}
	}
	d.c.Fatalf("the budget is not exhausted after 60 requests")
	return
}

// checkExplanations checks the tool's explanations of an answered and of a refused
// request, and its failure for a request that no router knows.
func (d *deployment) checkExplanations(answered, refused response) {
	var e ctl.Explanation
	d.mustRunTool(&e, "explain", answered.header.Get("X-Request-Id"))
	d.c.Assert(e.Record.Attempts, qt.HasLen, 1)
	attempt := e.Record.Attempts[0]
	d.c.Assert(attempt.Billed > 0 && attempt.Billed <= attempt.Reserved && attempt.Reason != "", qt.IsTrue, qt.Commentf("%+v", attempt))
	d.c.Assert(e.Record.Billed, qt.Equals, attempt.Billed)
	d.mustRunTool(&e, "explain", refused.header.Get("X-Request-Id"))
	d.c.Assert(string(e.Record.Code), qt.Equals, "budget-exhausted")
	d.c.Assert(e.Description.Help, qt.Contains, "topup")
	d.c.Assert(e.Verdict, qt.Equals, "the request did not run and never will")

	var r ctl.Refusals
	d.mustRunTool(&r, "explain", "refusal", "sapporo-shops", "--since", "10m")
	d.c.Assert(r.Completed > 0, qt.IsTrue)
	found := false
	for _, c := range r.Refusals {
		found = found || c.Code == "budget-exhausted" && c.Count == 1 && c.Example.Detail != ""
	}
	d.c.Assert(found, qt.IsTrue, qt.Commentf("%+v", r))
	_, errOut, code := d.runTool("explain", newKey())
	d.c.Assert(code, qt.Equals, ctl.ExitFailure)
	d.c.Assert(errOut, qt.Contains, "no router remembers request")
}

// checkStatement compares the bills with the number of answered requests, and
// checks the status before and after a router is killed.
func (d *deployment) checkStatement() {
	var bills ctl.Bills
	var refusals ctl.Refusals
	d.mustRunTool(&refusals, "explain", "refusal", "sapporo-shops")
	d.eventually(billTimeout, func() bool {
		d.mustRunTool(&bills, "bills", "sapporo-shops")
		return len(bills.Items) >= refusals.Completed
	}, "%d bills are durable, want %d", len(bills.Items), refusals.Completed)
	d.c.Assert(bills.Items, qt.HasLen, refusals.Completed)
	d.c.Assert(bills.Losses, qt.HasLen, 0)
	d.c.Assert(bills.Billed, qt.Equals, bills.Balance.Spent)
	d.c.Assert(int64(bills.Balance.Paid), qt.Equals, int64(101_000))

	var status ctl.Status
	d.mustRunTool(&status, "status")
	d.c.Assert(status.Unreachable, qt.HasLen, 0)
	d.c.Assert(status.Domains, qt.HasLen, 3)
	for _, domain := range status.Domains {
		d.c.Assert(domain.InForce, qt.IsTrue, qt.Commentf("%+v", domain))
		d.c.Assert(domain.Routers, qt.Equals, ctl.ProcessCounts{Known: 1, Reachable: 1, Ready: 1})
		d.c.Assert(domain.Agents, qt.Equals, ctl.ProcessCounts{Known: 3, Reachable: 3, Ready: 3})
	}
	d.c.Assert(len(status.Accounts) > 0 && status.Accounts[0].Live, qt.IsTrue)
	d.kill("kushiro-a-router-1")
	d.mustRunTool(&status, "status")
	d.c.Assert(status.Unreachable, qt.HasLen, 1)
	d.c.Assert(status.Unreachable[0].Name, qt.Equals, "kushiro-a-router-1")
	out, _, _ := d.runTool("status")
	d.c.Assert(out, qt.Contains, "kushiro-a-router-1")
}
