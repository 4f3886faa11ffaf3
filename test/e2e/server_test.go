package e2e

import (
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonworks/monsoonworks/devel/testbed"
	"github.com/monsoonworks/monsoonworks/internal/hosts"
)

// Guards against new requests at a leaving server after 3 s, also where the host list
// does not show yet that it leaves, and against aborting its request in progress.
func TestLeavingServer(t *testing.T) {
	d := start(t, testbed.Yukimi().Small(), testbed.Options{Engine: slowEngine()})
	d.HostList.SetLag(10 * time.Second)
	done := make(chan response, 1)
	go func() {
		done <- d.call("sapporo-a-router-1", "yukimi-00", http.MethodPost, "/v1/chat/completions",
			d.chat("menu", 100, true), nil)
	}()
	server := d.busyServer()
	requestsBefore := len(d.Engines[server].Requests())
	stopped := make(chan error, 1)
	go func() { stopped <- d.stop(server, syscall.SIGTERM) }()
	d.markLeaving(server)
	time.Sleep(3 * time.Second) // requirement: no new requests after 3 s
	requestsAfter := len(d.Engines[server].Requests())
	d.c.Assert(requestsAfter-requestsBefore <= 1, qt.IsTrue)
	for range 10 {
		resp := d.call("asahikawa-a-router-1", "yukimi-01", http.MethodPost, "/v1/chat/completions", d.chat("menu", 5, false), nil)
		d.c.Assert(resp.status, qt.Equals, http.StatusOK, qt.Commentf("%+v", resp))
	}
	d.c.Assert(d.Engines[server].Requests(), qt.HasLen, requestsAfter)
	resp := <-done
	d.c.Assert(resp.err, qt.IsNil)
	d.c.Assert(complete(resp.body), qt.IsTrue)
	d.c.Assert(<-stopped, qt.IsNil)
	d.audit()
}

// markLeaving marks a host as leaving in the host list.
func (d *deployment) markLeaving(name string) {
	s := d.ProcessSettings[name]
	d.HostList.Put(hosts.Host{
		Name: name, Address: s.Inner.Advertise, Role: s.Role, Region: s.Region, Domain: s.Domain,
		Pool: s.Agent.Pool, Leaving: true,
	})
}

// Guards against a poison request that crashes server after server while its
// caller retries it at every router.
func TestPoisonRequest(t *testing.T) {
	d := start(t, testbed.Yukimi().Small(), testbed.Options{})
	routers := []string{"sapporo-a-router-1", "asahikawa-a-router-1", "kushiro-a-router-1"}
	blocked := 0
	for i := range 30 {
		resp := d.call(routers[i%len(routers)], "yukimi-00", http.MethodPost, "/v1/chat/completions",
			d.chat("bad [[crash]] prompt", 20, false), nil)
		d.c.Assert(resp.status >= 400, qt.IsTrue, qt.Commentf("%+v", resp))
		if resp.status == http.StatusUnprocessableEntity {
			d.c.Assert(resp.verdict, qt.Equals, "not-run")
			blocked++
		}
	}
	crashes := 0
	for _, e := range d.Engines {
		crashes += e.Crashes()
	}
	d.c.Assert(crashes > 0, qt.IsTrue)
	d.c.Assert(crashes <= 3, qt.IsTrue, qt.Commentf("%d servers crashed", crashes))
	d.c.Assert(blocked > 0, qt.IsTrue)
	for _, router := range routers {
		d.eventually(15*time.Second, func() bool {
			return d.call(router, "yukimi-01", http.MethodPost, "/v1/chat/completions", d.chat("good", 5, false), nil).status == http.StatusOK
		}, "%s does not serve other requests", router)
	}
	d.audit()
}

// Guards against a wrong verdict or a wrong bill when an agent is killed with a
// request in progress.
func TestAgentDeath(t *testing.T) {
	d := start(t, testbed.Armor().Small(), testbed.Options{Engine: slowEngine()})
	var wg sync.WaitGroup
	var resp response
	wg.Go(func() {
		resp = d.call("quimper-router-1", "armor-00", http.MethodPost, "/v1/chat/completions", d.chat("letter", 150, true), nil)
	})
	server := d.busyServer()
	d.kill(server)
	wg.Wait()
	d.c.Assert(resp.err, qt.IsNil)
	d.c.Assert(resp.verdict, qt.Equals, "ran", qt.Commentf("%+v", resp))
	d.c.Assert(complete(resp.body), qt.IsFalse)
	d.c.Assert(resp.body, qt.Contains, "event: error")
	d.c.Assert(resp.body, qt.Contains, "server-lost")
	d.audit()
	bills := d.statement("armor-00/main").Bills
	d.c.Assert(bills, qt.HasLen, 1)
	d.c.Assert(bills[0].Estimated, qt.IsTrue)
}
