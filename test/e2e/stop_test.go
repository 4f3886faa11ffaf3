package e2e

import (
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonworks/monsoonworks/devel/standin/engine"
	"github.com/monsoonworks/monsoonworks/devel/testbed"
)

// slowEngine returns an engine configuration with which a stream of 100 tokens
// takes about 2 s.
func slowEngine() engine.Config { return engine.Config{StepBase: 20 * time.Millisecond} }

// Guards against a drain that aborts a request in progress, also when SIGTERM is
// received twice.
func TestDrainCompletesRequests(t *testing.T) {
	d := start(t, testbed.Armor().Small(), testbed.Options{Engine: slowEngine()})
	router := "quimper-router-1"
	streams := make(chan response, 4)
	for i := range cap(streams) {
		go func() {
			streams <- d.call(router, "armor-00", http.MethodPost, "/v1/chat/completions",
				d.chat(strings.Repeat("letter ", i+1), 100, true), nil)
		}()
	}
	d.eventually(5*time.Second, func() bool { return d.activeRequests() == cap(streams) }, "streams do not run")
	stopped := make(chan error, 1)
	go func() { stopped <- d.stop(router, syscall.SIGTERM, syscall.SIGTERM) }()
	for range cap(streams) {
		resp := <-streams
		d.c.Assert(resp.err, qt.IsNil)
		d.c.Assert(resp.verdict, qt.Equals, "ran", qt.Commentf("%+v", resp))
		d.c.Assert(strings.HasSuffix(strings.TrimSpace(resp.body), "data: [DONE]"), qt.IsTrue)
	}
	d.c.Assert(<-stopped, qt.IsNil)
	d.assertBilled("armor-00", cap(streams))
}

// Guards against a second execution or a second bill when a router is killed with a
// request in progress and the caller retries at another router.
func TestRetryAfterRouterDeath(t *testing.T) {
	d := start(t, testbed.Yukimi().Small(), testbed.Options{Engine: slowEngine()})
	key := map[string]string{"Idempotency-Key": newKey()}
	body := d.chat("menu for the week", 100, true)
	first := make(chan response, 1)
	go func() {
		first <- d.call("sapporo-a-router-1", "yukimi-00", http.MethodPost, "/v1/chat/completions", body, key)
	}()
	d.eventually(5*time.Second, func() bool { return d.activeRequests() == 1 }, "the request does not run")
	d.kill("sapporo-a-router-1")
	broken := <-first
	d.c.Assert(broken.err, qt.IsNotNil)

	var again response
	d.eventually(20*time.Second, func() bool {
		again = d.call("asahikawa-a-router-1", "yukimi-00", http.MethodPost, "/v1/chat/completions", body, key)
		return again.status == http.StatusOK
	}, "the retry is not answered")
	d.c.Assert(again.verdict, qt.Equals, "ran")
	d.c.Assert(strings.HasSuffix(strings.TrimSpace(again.body), "data: [DONE]"), qt.IsTrue)
	d.c.Assert(d.totalRequests(), qt.Equals, 1)
	d.assertBilled("yukimi-00", 1)
}
