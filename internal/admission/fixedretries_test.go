package admission

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	fleetSpan = 10 * time.Second // in which the retries of all gates together are limited
	gateCount = 10 * time.Second // how long a relay counts a process after its end
)

// fleetProcess is a process of a gate, which retries as often as it may.
type fleetProcess struct {
	domain  int
	started time.Time
	ended   time.Time // zero while it runs
	budget  *RetryBudget
	fixed   FixedRetries
}

// retryFleet is the processes of the gates of some failure domains, with their relays' counts.
type retryFleet struct {
	slack     float64
	domains   int
	processes []*fleetProcess
	retries   []time.Time
}

// step makes each process learn the number of gates and use up its budget.
func (f *retryFleet) step() {
	now := time.Now()
	counts := make([]int, f.domains)
	for _, p := range f.processes {
		if p.ended.IsZero() || now.Sub(p.ended) < gateCount {
			counts[p.domain]++
		}
	}
	for _, p := range f.processes {
		if !p.ended.IsZero() {
			continue
		}
		p.fixed.Report(counts[p.domain], now)
		p.budget.SetLimits(0, p.fixed.Limit(f.slack, f.domains, now.Sub(p.started)))
		for p.budget.Allow() {
			f.retries = append(f.retries, now)
		}
	}
}

// run makes steps for a time.
func (f *retryFleet) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		f.step()
	}
}

// restart ends all processes and starts as many, one after the other with a pause between.
func (f *retryFleet) restart(pause time.Duration) {
	for _, p := range f.processes {
		if !p.ended.IsZero() {
			continue
		}
		now := time.Now()
		p.ended = now
		f.processes = append(f.processes, &fleetProcess{domain: p.domain, started: now, budget: NewRetryBudgetWith(0, 0, now)})
		f.step()
		time.Sleep(pause)
	}
}

// start starts as many processes as given for each domain, at once.
func (f *retryFleet) start(gates []int) {
	now := time.Now()
	for domain, n := range gates {
		for range n {
			f.processes = append(f.processes, &fleetProcess{domain: domain, started: now, budget: NewRetryBudgetWith(0, 0, now)})
			f.step()
		}
	}
}

// checkRetries checks that the retries of each span are within the slack.
func (f *retryFleet) checkRetries(t *testing.T) {
	most := 0
	for i, first := range f.retries {
		n := 0
		for n < len(f.retries)-i && f.retries[i+n].Sub(first) < fleetSpan {
			n++
		}
		most = max(most, n)
	}
	t.Logf("at most %d retries in a span, slack %v", most, f.slack)
	qt.Check(t, most <= int(f.slack), qt.IsTrue, qt.Commentf("%d retries", most))
	qt.Check(t, most > 0 || f.slack < 2*float64(len(f.processes)), qt.IsTrue, qt.Commentf("no retries"))
}

// Guards against fixed retries of the gates that add up to more than the slack of the fleet, also when
// all gates start again, once or more often within the span of the limit.
func TestFixedRetriesOfAllGatesAreBounded(t *testing.T) {
	for _, test := range []struct {
		slack   float64
		domains []int // the gates of each
	}{{54, []int{4}}, {24, []int{24}}, {240, []int{24}}, {176, []int{68}}, {1760, []int{68}}, {176, []int{1, 7, 60}}, {54, []int{1, 1, 2}}} {
		for n := range 12 {
			restarts, gap := n%4, []time.Duration{time.Second, 4500 * time.Millisecond, 6 * time.Second}[n/4]
			t.Run(fmt.Sprint(test, restarts, gap), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := &retryFleet{slack: test.slack, domains: len(test.domains)}
					f.start(test.domains)
					f.run(40 * time.Second)
					for range restarts {
						f.restart(gap / 2 / time.Duration(len(f.processes)))
						f.run(gap / 2)
					}
					f.run(40 * time.Second)
					f.checkRetries(t)
				})
			})
		}
	}
}

// Guards against new gates that take their parts before the gates that started with them count.
func TestFixedRetriesOfGrowingFleetAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &retryFleet{slack: 1000, domains: 1}
		f.start([]int{1})
		f.run(40 * time.Second)
		f.start([]int{67})
		f.run(40 * time.Second)
		f.checkRetries(t)
	})
}

// Guards against a larger part for gates that hear of fewer gates before the retries of those that are
// gone have left the window, and against a relay that does not know the number.
func TestFixedRetriesFollowReports(t *testing.T) {
	c := qt.New(t)
	const slack, old = 48, time.Minute
	var f FixedRetries
	now := time.Now()
	limit := func(gates int, after time.Duration) int {
		now = now.Add(after)
		f.Report(gates, now)
		return f.Limit(slack, 1, old)
	}
	c.Check(limit(0, 0), qt.Equals, 0)
	c.Check(limit(6, 0), qt.Equals, 4)
	c.Check(f.Limit(slack, 1, joinTime), qt.Equals, 4)
	c.Check(f.Limit(slack, 1, joinTime-1), qt.Equals, 0)
	c.Check(f.Limit(slack, 2, old), qt.Equals, 2)
	c.Check(f.Limit(slack, 0, old), qt.Equals, 0)
	c.Check(limit(12, time.Second), qt.Equals, 2)
	c.Check(limit(0, time.Hour), qt.Equals, 2)
	c.Check(limit(3, time.Second), qt.Equals, 2)
	c.Check(limit(6, (retryWindowSeconds-1)*time.Second), qt.Equals, 2)
	c.Check(limit(4, time.Second), qt.Equals, 4) // the largest number since the first smaller one
	c.Check(limit(4, time.Second), qt.Equals, 4)
	c.Check(limit(6, time.Second), qt.Equals, 4) // the smaller number has not lasted
	c.Check(limit(4, retryWindowSeconds*time.Second), qt.Equals, 4)
	c.Check(limit(4, retryWindowSeconds*time.Second), qt.Equals, 6)
	c.Check(limit(50, 0), qt.Equals, 0) // a fraction is dropped
}
