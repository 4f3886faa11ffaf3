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

// slowEngine makes a stream of 100 tokens take about 2 s.
func slowEngine() engine.Config { return engine.Config{StepBase: 20 * time.Millisecond} }

// Guards against a planned stop that cuts off a request in progress, also when
// it is asked for twice.
func TestDrainCutsNothing(t *testing.T) {
	d := start(t, testbed.Armor().Small(), testbed.Options{Engine: slowEngine()})
	router := "quimper-router-1"
	streams := make(chan answer, 4)
	for i := range cap(streams) {
		go func() {
			streams <- d.call(router, "armor-00", http.MethodPost, "/v1/chat/completions",
				d.chat(strings.Repeat("letter ", i+1), 100, true), nil)
		}()
	}
	d.eventually(5*time.Second, func() bool { return d.running() == cap(streams) }, "streams do not run")
	stopped := make(chan error, 1)
	go func() { stopped <- d.end(router, syscall.SIGTERM, syscall.SIGTERM) }()
	for range cap(streams) {
		a := <-streams
		d.c.Assert(a.err, qt.IsNil)
		d.c.Assert(a.verdict, qt.Equals, "ran", qt.Commentf("%+v", a))
		d.c.Assert(strings.HasSuffix(strings.TrimSpace(a.body), "data: [DONE]"), qt.IsTrue)
	}
	d.c.Assert(<-stopped, qt.IsNil)
	d.assertBilled("armor-00", cap(streams))
}

// Guards against a second run or a second bill when a router dies with a request
// in progress and its caller asks again through another router.
func TestRouterDiesCallerRetries(t *testing.T) {
	d := start(t, testbed.Yukimi().Small(), testbed.Options{Engine: slowEngine()})
	key := map[string]string{"Idempotency-Key": newKey()}
	body := d.chat("menu for the week", 100, true)
	first := make(chan answer, 1)
	go func() {
		first <- d.call("sapporo-a-router-1", "yukimi-00", http.MethodPost, "/v1/chat/completions", body, key)
	}()
	d.eventually(5*time.Second, func() bool { return d.running() == 1 }, "the request does not run")
	d.kill("sapporo-a-router-1")
	broken := <-first
	d.c.Assert(broken.err, qt.IsNotNil)

	var again answer
	d.eventually(20*time.Second, func() bool {
		again = d.call("asahikawa-a-router-1", "yukimi-00", http.MethodPost, "/v1/chat/completions", body, key)
		return again.status == http.StatusOK
	}, "the retry is not answered")
	d.c.Assert(again.verdict, qt.Equals, "ran")
	d.c.Assert(strings.HasSuffix(strings.TrimSpace(again.body), "data: [DONE]"), qt.IsTrue)
	d.c.Assert(d.runs(), qt.Equals, 1)
	d.assertBilled("yukimi-00", 1)
}
