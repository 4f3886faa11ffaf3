package e2e

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonworks/monsoonworks/devel/testbed"
	"github.com/monsoonworks/monsoonworks/internal/budget"
)

// maxLoggedRefusals limits the refusals that sendLoad logs.
const maxLoggedRefusals = 3

// sendLoad sends requests from several concurrent callers until stop is closed. It
// returns the number of requests by verdict; "broken" counts those without a complete
// response.
func (d *deployment) sendLoad(workspace string, routers []string, callers int, stop <-chan struct{}) map[string]int {
	var mu sync.Mutex
	var refusals atomic.Int64
	verdicts := map[string]int{}
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				resp := d.call(routers[(i+n)%len(routers)], workspace, http.MethodPost, "/v1/chat/completions",
					d.chat(fmt.Sprintf("caller %d asks for the %d. time", i, n), 30, n%2 == 0), nil)
				verdict := resp.verdict
				if resp.status >= http.StatusBadRequest && refusals.Add(1) <= maxLoggedRefusals {
					d.c.Logf("refused by %s: %.200s", routers[(i+n)%len(routers)], resp.body)
				}
				if resp.err != nil {
					verdict = "broken"
					time.Sleep(50 * time.Millisecond)
				}
				mu.Lock()
				verdicts[verdict]++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return verdicts
}

// withLoad calls f while callers send load, and returns the requests by verdict.
func (d *deployment) withLoad(workspace string, routers []string, callers int, f func()) map[string]int {
	stop := make(chan struct{})
	result := make(chan map[string]int, 1)
	go func() { result <- d.sendLoad(workspace, routers, callers, stop) }()
	f()
	close(stop)
	return <-result
}

// All routers of both regions exhaust a budget at the same time. Guards against
// overspend, and against a refusal that does not say that the budget is exhausted.
func TestBudgetExhausted(t *testing.T) {
	spec := testbed.Armor().Small()
	spec.TopUp = 6_000
	d := start(t, spec, testbed.Options{})
	routers := []string{"quimper-router-1", "brest-router-1", "rennes-router-1"}
	verdicts := d.withLoad("armor-00", routers, 6, func() { time.Sleep(10 * time.Second) })
	d.c.Assert(verdicts["ran"] > 0 && verdicts["not-run"] > 0, qt.IsTrue, qt.Commentf("%v", verdicts))
	d.c.Assert(verdicts["unknown"]+verdicts["broken"], qt.Equals, 0)
	// Reservations returned by the last callers can still be spent by some more
	// requests.
	d.eventually(20*time.Second, func() bool {
		refused := d.call(routers[0], "armor-00", http.MethodPost, "/v1/chat/completions", d.chat("more", 30, false), nil)
		return refused.status == http.StatusPaymentRequired && refused.verdict == "not-run"
	}, "no refusal says that the budget is exhausted")
	spent := d.audit()
	d.c.Assert(spent <= spec.TopUp, qt.IsTrue)

	fresh, err := d.Budgets.TopUp(t.Context(), budget.MakeID("armor-00", ""), "second", 10_000)
	d.c.Assert(err, qt.IsNil)
	d.c.Assert(fresh, qt.IsTrue)
	for _, router := range routers {
		d.eventually(15*time.Second, func() bool {
			return d.call(router, "armor-00", http.MethodPost, "/v1/chat/completions", d.chat("again", 30, false), nil).status == http.StatusOK
		}, "%s does not see the top-up", router)
	}
	d.audit()
}

// The store is down, loses responses and is slow in turn. Guards against refusals
// and lost bills during the outage, and against bills counted twice when responses
// are lost.
func TestStoreFaults(t *testing.T) {
	d := start(t, testbed.Yukimi().Small(), testbed.Options{})
	routers := []string{"sapporo-a-router-1", "asahikawa-a-router-1", "kushiro-a-router-1"}
	d.withLoad("yukimi-00", routers, 4, func() { time.Sleep(3 * budget.MinFlushInterval) })
	verdicts := d.withLoad("yukimi-00", routers, 4, func() {
		d.Store.Controls.SetDown(true)
		time.Sleep(10 * time.Second)
		d.Store.Controls.SetDown(false)
		d.Store.Controls.DropResponses(20)
		time.Sleep(5 * time.Second)
		d.Store.Controls.SetDelay(300 * time.Millisecond)
		time.Sleep(5 * time.Second)
		d.Store.Controls.SetDelay(0)
	})
	d.c.Assert(verdicts["ran"] > 100, qt.IsTrue, qt.Commentf("%v", verdicts))
	d.c.Assert(verdicts["ran"], qt.Equals, sumCounts(verdicts), qt.Commentf("%v", verdicts))
	d.audit()
}

func sumCounts(verdicts map[string]int) int {
	n := 0
	for _, count := range verdicts {
		n += count
	}
	return n
}

// A holder is suspended until another router has replaced it and then resumes;
// later a router and an agent are killed together. Guards against overspend and
// double bills.
func TestPausedHolderAndKilledProcesses(t *testing.T) {
	d := start(t, testbed.Armor().Small(), testbed.Options{})
	routers := []string{"quimper-router-1", "brest-router-1"}
	verdicts := d.withLoad("armor-00", routers, 6, func() {
		time.Sleep(3 * time.Second)
		d.signal("quimper-router-1", syscall.SIGSTOP)
		time.Sleep(8 * time.Second)
		d.signal("quimper-router-1", syscall.SIGCONT)
		time.Sleep(6 * time.Second)
		d.kill("brest-router-1")
		d.kill("quimper-model-1")
		time.Sleep(4 * time.Second)
		// The agent lost its ledger of bills, so the part of the killed router's lots
		// that was spent at this agent is written off.
		d.startProcess("quimper-model-1")
		d.startProcess("brest-router-1")
		time.Sleep(4 * time.Second)
	})
	d.c.Assert(verdicts["ran"] > 0, qt.IsTrue, qt.Commentf("%v", verdicts))
	d.eventually(20*time.Second, func() bool {
		return d.call("quimper-router-1", "armor-00", http.MethodPost, "/v1/chat/completions", d.chat("again", 30, false), nil).status == http.StatusOK
	}, "the region does not recover")
	d.audit()
}

// signal sends a signal to a process.
func (d *deployment) signal(name string, sig syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.c.Assert(d.processes[name].cmd.Process.Signal(sig), qt.IsNil)
}
