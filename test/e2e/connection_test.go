package e2e

import (
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonworks/monsoonworks/devel/testbed"
	"github.com/monsoonworks/monsoonworks/internal/budget"
)

// complete reports whether a streamed response has its end marker.
func complete(body string) bool { return strings.HasSuffix(strings.TrimSpace(body), "data: [DONE]") }

// busyServer waits until a server runs a request and has produced more than 5 tokens for
// it, and returns the server's name.
func (d *deployment) busyServer() string {
	d.c.Helper()
	busy := ""
	d.eventually(10*time.Second, func() bool {
		for name, e := range d.Engines {
			for _, record := range e.Requests() {
				if record.End.IsZero() && record.Tokens > 5 {
					busy = name
					return true
				}
			}
		}
		return false
	}, "no server runs the request")
	return busy
}

// The connections between a router and an agent stop delivering data while new
// ones work. Guards against a response that is lost, and against a second
// execution of the request.
func TestUnresponsiveConnections(t *testing.T) {
	d := start(t, testbed.Yukimi().Small(), testbed.Options{Engine: slowEngine(), ProxyAll: true})
	done := make(chan response, 1)
	go func() {
		done <- d.call("sapporo-a-router-1", "yukimi-00", http.MethodPost, "/v1/chat/completions",
			d.chat("menu", 150, true), nil)
	}()
	server := d.busyServer()
	d.Proxy("sapporo-a", server).Freeze()
	frozen := time.Now()
	resp := <-done
	d.c.Assert(resp.err, qt.IsNil)
	d.c.Assert(resp.verdict, qt.Equals, "ran")
	d.c.Assert(complete(resp.body), qt.IsTrue, qt.Commentf("after %v: %s", time.Since(frozen), resp.body[max(0, len(resp.body)-400):]))
	d.c.Assert(d.totalRequests(), qt.Equals, 1)
	d.audit()
}

// A budget is used in two regions during a partition between them, and topped up
// meanwhile. Guards against overspend, refusals and double bills.
func TestRegionPartition(t *testing.T) {
	spec := testbed.Armor().Small()
	spec.TopUp = 60_000
	d := start(t, spec, testbed.Options{})
	routers := []string{"quimper-router-1", "rennes-router-1"}
	ask := func(router string, n int) (ok, refused int) {
		for range n {
			resp := d.call(router, "armor-00", http.MethodPost, "/v1/chat/completions", d.chat("where to go next", 50, false), nil)
			if resp.status == http.StatusOK {
				ok++
			} else {
				d.c.Assert(resp.verdict, qt.Equals, "not-run", qt.Commentf("%+v", resp))
				d.c.Logf("refused by %s: %.200s", router, resp.body)
				refused++
			}
		}
		return ok, refused
	}
	// Demand in both regions for several flush intervals, so that each region draws
	// its share of the budget.
	for begin := time.Now(); time.Since(begin) < 4*budget.MinFlushInterval; {
		for _, router := range routers {
			ok, refused := ask(router, 2)
			d.c.Assert(refused, qt.Equals, 0, qt.Commentf("%d answered by %s", ok, router))
		}
	}
	d.PartitionRegions(true)
	_, err := d.Budgets.TopUp(t.Context(), budget.MakeID("armor-00", ""), "second", 10_000)
	d.c.Assert(err, qt.IsNil)
	for _, router := range routers {
		ok, refused := ask(router, 100)
		d.c.Assert(refused, qt.Equals, 0, qt.Commentf("%d answered by %s in the partition", ok, router))
	}
	d.PartitionRegions(false)
	for _, router := range routers {
		d.eventually(20*time.Second, func() bool { ok, _ := ask(router, 1); return ok == 1 }, "%s does not answer", router)
	}
	d.audit()
}
