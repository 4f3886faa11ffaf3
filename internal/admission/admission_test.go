package admission

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"
	"pgregory.net/rapid"

	"github.com/monsoonworks/monsoonworks/internal/verdict"
)

// newController returns a controller with the same limits for all workspaces.
func newController(limits Limits, routers, concurrent int) *Controller {
	return New(Options{
		Limits: func(string) Limits { return limits }, Routers: func() int { return routers },
		MaxConcurrent: concurrent, MaxWait: time.Second, Metrics: metrics.NewRegistry(),
	})
}

// requireRefusal asserts that err is a refusal with verdict NotRun and returns it.
func requireRefusal(t testing.TB, err error) *verdict.Error {
	t.Helper()
	var e *verdict.Error
	qt.Assert(t, err, qt.ErrorAs, &e)
	qt.Assert(t, e.Verdict, qt.Equals, verdict.NotRun)
	return e
}

// runRequest runs a request that takes the given time after its start. It returns the
// refusal, nil if the request ran.
func runRequest(ctx context.Context, c *Controller, r Request, work time.Duration) error {
	release, err := c.Acquire(ctx, r)
	if err != nil {
		return err
	}
	time.Sleep(work)
	release()
	return nil
}

// Guards against a workspace that gets more than this router's share of its limits, or
// nothing at all when there are more routers than the limit.
func TestWorkspaceLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newController(Limits{Concurrent: 6, PerSecond: 8}, 2, 100)
		var releases []func()
		for range 3 {
			release, err := c.Acquire(t.Context(), Request{Workspace: "a"})
			qt.Assert(t, err, qt.IsNil)
			releases = append(releases, release)
		}
		time.Sleep(2 * time.Second)
		// The fourth request is queued, because the other three are overdue, and is
		// refused after MaxWait.
		_, err := c.Acquire(t.Context(), Request{Workspace: "a"})
		qt.Assert(t, requireRefusal(t, err).Code, qt.Equals, verdict.CodeRateLimited)
		_, err = c.Acquire(t.Context(), Request{Workspace: "b"})
		qt.Assert(t, err, qt.IsNil)
		for _, release := range releases {
			release()
		}
		time.Sleep(time.Second)
		for range 4 {
			qt.Assert(t, runRequest(t.Context(), c, Request{Workspace: "a"}, 0), qt.IsNil)
		}
		e := requireRefusal(t, runRequest(t.Context(), c, Request{Workspace: "a"}, 0))
		qt.Assert(t, e.Code, qt.Equals, verdict.CodeRateLimited)
		qt.Assert(t, e.RetryAfter, qt.Equals, 250*time.Millisecond)
		time.Sleep(e.RetryAfter)
		qt.Assert(t, runRequest(t.Context(), c, Request{Workspace: "a"}, 0), qt.IsNil)

		many := newController(Limits{Concurrent: 6, PerSecond: 8}, 100, 100)
		qt.Assert(t, many.routerShare("a"), qt.Equals, Limits{Concurrent: 1, PerSecond: 1})
	})
}

// Guards against a queue that does not start the highest priority first, and the
// earliest deadline within a priority.
func TestDeadlineOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newController(Limits{}, 1, 1)
		release, err := c.Acquire(t.Context(), Request{Workspace: "a"})
		qt.Assert(t, err, qt.IsNil)
		var mu sync.Mutex
		var order []string
		now := time.Now()
		for _, r := range []struct {
			priority int8
			left     time.Duration
		}{{0, 900}, {0, 800}, {1, 950}, {0, 850}, {1, 700}} {
			go func() {
				release, err := c.Acquire(t.Context(), Request{Workspace: "a", Priority: r.priority, Deadline: now.Add(r.left * time.Millisecond)})
				if qt.Check(t, err, qt.IsNil) {
					mu.Lock()
					order = append(order, fmt.Sprintf("%d/%d", r.priority, r.left))
					mu.Unlock()
					release()
				}
			}()
			synctest.Wait()
			c.overall.meanRunTime = time.Millisecond // so that no request is refused as too late
		}
		release()
		synctest.Wait()
		qt.Assert(t, order, qt.DeepEquals, []string{"1/700", "1/950", "0/800", "0/850", "0/900"})
	})
}

// Guards against the starvation of a workspace by another workspace, of the same or a
// higher priority, that sends more requests than the router can run.
func TestNoStarvation(t *testing.T) {
	for _, greedy := range []Request{{Workspace: "greedy"}, {Workspace: "greedy", Priority: 1}} {
		synctest.Test(t, func(t *testing.T) {
			c := newController(Limits{}, 1, 4)
			ctx, stop := context.WithCancel(t.Context())
			var wg sync.WaitGroup
			refused := 0
			var mu sync.Mutex
			for range 100 {
				wg.Go(func() {
					for ctx.Err() == nil {
						r := greedy
						r.Deadline = time.Now().Add(300 * time.Millisecond) // earlier than those of the other workspace
						if err := runRequest(ctx, c, r, 20*time.Millisecond); err != nil {
							mu.Lock()
							refused++
							mu.Unlock()
							time.Sleep(25 * time.Millisecond)
						}
					}
				})
			}
			time.Sleep(time.Second)
			started := 0
			for range 50 {
				if runRequest(ctx, c, Request{Workspace: "modest"}, 20*time.Millisecond) == nil {
					started++
				}
				time.Sleep(50 * time.Millisecond)
			}
			stop()
			wg.Wait()
			qt.Check(t, started, qt.Equals, 50)
			qt.Check(t, refused > 0, qt.IsTrue)
			qt.Check(t, c.queue.total+c.overall.running(), qt.Equals, 0)
		})
	}
}

// Guards against queuing a request that cannot start in time, and against a Retry-After
// after which the request still cannot start.
func TestRefusalRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const work = 400 * time.Millisecond
		c := newController(Limits{}, 1, 2)
		var wg sync.WaitGroup
		for range 2 { // sets the mean run time
			qt.Assert(t, runRequest(t.Context(), c, Request{Workspace: "a"}, work), qt.IsNil)
		}
		results := make(chan error, 20)
		for range 20 {
			wg.Go(func() {
				started := time.Now()
				err := runRequest(t.Context(), c, Request{Workspace: "a"}, work)
				if err != nil {
					qt.Check(t, time.Since(started), qt.Equals, time.Duration(0))
				}
				results <- err
			})
		}
		wg.Wait()
		close(results)
		ran := 0
		for err := range results {
			if err == nil {
				ran++
				continue
			}
			e := requireRefusal(t, err)
			qt.Assert(t, e.Code, qt.Equals, verdict.CodeOverloaded)
			qt.Assert(t, e.RetryAfter, qt.Equals, 1200*time.Millisecond, qt.Commentf("%s", e.RetryAfter))
		}
		qt.Assert(t, ran, qt.Equals, 6) // two each start at 0, 400 and 800 ms
		e := requireRefusal(t, func() error {
			for range 2 {
				go func() { _ = runRequest(t.Context(), c, Request{Workspace: "a"}, work) }()
			}
			synctest.Wait()
			return runRequest(t.Context(), c, Request{Workspace: "a", Deadline: time.Now().Add(100 * time.Millisecond)}, 0)
		}())
		time.Sleep(e.RetryAfter + work)
		qt.Assert(t, runRequest(t.Context(), c, Request{Workspace: "a"}, 0), qt.IsNil)
	})
}

// Guards against a request that still counts as queued or running after its caller has
// disconnected while it was queued.
func TestCancelWhileQueued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newController(Limits{}, 1, 1)
		release, err := c.Acquire(t.Context(), Request{Workspace: "a"})
		qt.Assert(t, err, qt.IsNil)
		ctx, cancel := context.WithCancel(t.Context())
		result := make(chan error, 1)
		go func() {
			_, err := c.Acquire(ctx, Request{Workspace: "b"})
			result <- err
		}()
		synctest.Wait()
		cancel()
		err = <-result
		qt.Assert(t, requireRefusal(t, err).Code, qt.Equals, verdict.CodeCanceled)
		qt.Assert(t, errors.Is(err, context.Canceled), qt.IsTrue)
		release()
		qt.Assert(t, c.queue.total+c.overall.running()+c.workspaces["b"].queued, qt.Equals, 0)
	})
}

// Guards against counts that become inconsistent, limits that are exceeded, and requests
// that are queued beyond their deadline, under random loads.
func TestRandomLoad(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limits := Limits{Concurrent: rapid.IntRange(0, 3).Draw(rt, "concurrent"), PerSecond: rapid.Float64Range(0, 30).Draw(rt, "perSecond")}
		// Each request is an array of its arrival time, workspace, priority, time left
		// until the deadline, and run time. The times are in milliseconds.
		requests := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) [5]int {
			return [5]int{rapid.IntRange(0, 300).Draw(rt, "at"), rapid.IntRange(0, 2).Draw(rt, "workspace"), rapid.IntRange(0, 2).Draw(rt, "priority"),
				rapid.IntRange(1, 2000).Draw(rt, "left"), rapid.IntRange(0, 200).Draw(rt, "work")}
		}), 1, 60).Draw(rt, "requests")
		synctest.Test(t, func(t *testing.T) {
			c := newController(limits, 1, 4)
			var wg sync.WaitGroup
			for _, r := range requests {
				wg.Go(func() {
					time.Sleep(time.Duration(r[0]) * time.Millisecond)
					asked := time.Now()
					deadline := asked.Add(time.Duration(r[3]) * time.Millisecond)
					release, err := c.Acquire(t.Context(), Request{Workspace: fmt.Sprint(r[1]), Priority: int8(r[2]), Deadline: deadline})
					waited := time.Since(asked)
					qt.Check(t, waited <= min(time.Second, deadline.Sub(asked)), qt.IsTrue)
					if err != nil {
						qt.Check(t, requireRefusal(t, err).RetryAfter > 0, qt.IsTrue)
						return
					}
					c.mu.Lock()
					ws := c.workspaces[fmt.Sprint(r[1])]
					qt.Check(t, c.overall.running() <= 4 && (limits.Concurrent == 0 || ws.running() <= limits.Concurrent), qt.IsTrue)
					c.mu.Unlock()
					time.Sleep(time.Duration(r[4]) * time.Millisecond)
					release()
				})
			}
			wg.Wait()
			qt.Check(t, c.queue.total+c.overall.running(), qt.Equals, 0)
		})
	})
}

// Guards against retries that amplify an overload, and against a router with little
// traffic that never retries.
func TestRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewRetryBudget()
		allowed := func() (n int) {
			for b.Allow() {
				n++
			}
			return n
		}
		const minRetries = minRetriesPerSecond * requestWindowSeconds
		qt.Assert(t, allowed(), qt.Equals, minRetries)
		for range 1000 {
			b.CountRequest()
		}
		qt.Assert(t, allowed(), qt.Equals, 100-minRetries)
		time.Sleep(retryWindowSeconds * time.Second)
		qt.Assert(t, allowed(), qt.Equals, minRetries)
	})
}

// Guards against retries that pile up in a span of 10 s which begins within a second: while all
// requests fail, the retries of the first second and of the eleventh fall into it.
func TestRetriesOfAnySpanAreBounded(t *testing.T) {
	const (
		percent           = 17
		requestsPerSecond = 80
		span              = 10 * time.Second
		step              = time.Second / requestsPerSecond
	)
	for offset := range 10 {
		synctest.Test(t, func(t *testing.T) {
			b := NewRetryBudgetWith(percent, 0, time.Time{})
			var retries []time.Time
			begin := time.Now().Add(15*time.Second + time.Duration(offset)*100*time.Millisecond)
			for time.Since(begin) < 3*span {
				b.CountRequest()
				if time.Now().After(begin) && b.Allow() {
					retries = append(retries, time.Now())
				}
				time.Sleep(step)
			}
			for i, first := range retries {
				n := 0
				for n < len(retries)-i && retries[i+n].Sub(first) <= span {
					n++
				}
				qt.Assert(t, n <= percent*requestsPerSecond*int(span/time.Second)/100, qt.IsTrue, qt.Commentf("%d retries, offset %d", n, offset))
			}
		})
	}
}

// Guards against a process that is killed with its budget used up and whose successor begins with a
// fresh one.
func TestRetriesAfterRestartAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const minRetries = 5
		b := NewRetryBudgetWith(17, minRetries, time.Now())
		allowed := func() (n int) {
			for range 1000 {
				b.CountRequest()
			}
			for b.Allow() {
				n++
			}
			return n
		}
		qt.Assert(t, allowed(), qt.Equals, minRetries)
		time.Sleep((requestWindowSeconds - 1) * time.Second)
		qt.Assert(t, allowed(), qt.Equals, 0)
		b.SetLimits(17, 2*minRetries) // must not reset what was counted
		qt.Assert(t, allowed(), qt.Equals, minRetries)
		time.Sleep(time.Second)
		qt.Assert(t, allowed() > 2*minRetries, qt.IsTrue)
	})
}
