// Package admission decides when a router starts a request: limits per
// workspace, a bound for the whole router, a short queue per priority, and the
// budget for retries. It knows nothing of servers or of HTTP.
package admission

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"github.com/monsoonworks/monsoonworks/internal/verdict"
)

// Limits are a workspace's limits for the whole deployment; 0 means no limit.
type Limits struct {
	// Concurrent is the number of requests in progress at once.
	Concurrent int
	// PerSecond is the number of requests that may start per second.
	PerSecond float64
}

// Request asks for a start.
type Request struct {
	Workspace string
	// Priority is higher for more urgent work.
	Priority int8
	// Deadline is when the caller gives up; zero means never.
	Deadline time.Time
}

// Defaults of Options.
const (
	DefaultMaxConcurrent = 1024
	DefaultQueueLength   = 128
	// DefaultMaxWait leaves most of the 1.2 s to the first token to the engine.
	DefaultMaxWait = 500 * time.Millisecond
	// queueShare is the part of a queue that one workspace may fill.
	queueShare = 4
	// initialHold is how long a request is assumed to run before any has ended.
	initialHold = 500 * time.Millisecond
	// minRetryAfter is the least wait that a refusal names. Shorter ones are
	// below the resolution of the Retry-After header.
	minRetryAfter = 100 * time.Millisecond
)

// Options configure a Controller. Limits and Routers are required; zero values
// of the others mean the defaults.
type Options struct {
	// Limits returns the limits of a workspace. It must not block.
	Limits func(workspace string) Limits
	// Routers returns the number of live routers, over which the limits are
	// shared equally. It must not block; values below 1 count as 1.
	Routers func() int
	// MaxConcurrent bounds the requests in progress at this router.
	MaxConcurrent int
	// QueueLength bounds the queue of each priority, in requests.
	QueueLength int
	// MaxWait is the longest time that a request waits for its start.
	MaxWait time.Duration
	Metrics metrics.Registry
}

// Controller decides when requests start. It is safe for concurrent use.
//
// Lock order: the controller's mutex guards all of its tables and is a leaf: no
// nothing of the caller's is called while it is held, and no other lock is taken
// but those inside the rate limiters and the metrics. The RetryBudget has its
// own mutex, also a leaf.
type Controller struct {
	opts    Options
	retries *RetryBudget
	stats   stats

	mu         sync.Mutex
	all        load
	workspaces map[string]*workspace
	queue      queue
}

// workspace is the state of one workspace at this router.
type workspace struct {
	load
	limiter *rate.Limiter
	queued  int
}

// New returns a controller.
func New(opts Options) *Controller {
	if opts.MaxConcurrent <= 0 {
		opts.MaxConcurrent = DefaultMaxConcurrent
	}
	if opts.QueueLength <= 0 {
		opts.QueueLength = DefaultQueueLength
	}
	if opts.MaxWait <= 0 {
		opts.MaxWait = DefaultMaxWait
	}
	if opts.Metrics == nil {
		opts.Metrics = metrics.DefaultRegistry
	}
	return &Controller{
		opts:       opts,
		retries:    NewRetryBudget(),
		stats:      newStats(opts.Metrics),
		all:        load{limit: opts.MaxConcurrent},
		workspaces: make(map[string]*workspace),
	}
}

// RetryBudget returns the budget for retries, which counts the started requests.
func (c *Controller) RetryBudget() *RetryBudget { return c.retries }

// Acquire waits until the request may start and returns a function that must be
// called once when it has ended. It refuses at once if the request cannot start
// within MaxWait and before its deadline. The error is a *verdict.Error with
// NotRun: CodeRateLimited, CodeOverloaded, or CodeCanceled if ctx ended.
func (c *Controller) Acquire(ctx context.Context, r Request) (release func(), err error) {
	now := time.Now()
	limits := c.share(r.Workspace)
	startBy := now.Add(c.opts.MaxWait)
	if !r.Deadline.IsZero() && r.Deadline.Before(startBy) {
		startBy = r.Deadline
	}

	c.mu.Lock()
	ws := c.workspace(r.Workspace, limits)
	w, refusal := c.enter(ws, r.Priority, startBy, now)
	c.mu.Unlock()
	started := now
	if w != nil {
		started, refusal = c.wait(ctx, w)
	}
	if refusal != nil {
		c.stats.refused(refusal.Code)
		return nil, refusal
	}
	c.stats.waitMillis.Update(started.Sub(now).Milliseconds())
	c.retries.CountRequest()
	return func() { c.release(ws, started) }, nil
}

// share returns the part of a workspace's limits that this router enforces, at
// least 1 of each limit that is set.
func (c *Controller) share(workspace string) Limits {
	limits := c.opts.Limits(workspace)
	routers := max(1, c.opts.Routers())
	if limits.Concurrent > 0 {
		limits.Concurrent = max(1, limits.Concurrent/routers)
	}
	if limits.PerSecond > 0 {
		limits.PerSecond = max(1, limits.PerSecond/float64(routers))
	}
	return limits
}

// workspace returns the state of a workspace with its current limits.
func (c *Controller) workspace(name string, limits Limits) *workspace {
	perSecond, burst := rate.Inf, 1
	if limits.PerSecond > 0 {
		// A second's worth may start at once.
		perSecond, burst = rate.Limit(limits.PerSecond), int(math.Ceil(limits.PerSecond))
	}
	ws := c.workspaces[name]
	if ws == nil {
		ws = &workspace{limiter: rate.NewLimiter(perSecond, burst)}
		c.workspaces[name] = ws
	}
	if ws.limiter.Limit() != perSecond {
		ws.limiter.SetLimit(perSecond)
		ws.limiter.SetBurst(burst)
	}
	ws.limit = limits.Concurrent
	return ws
}

// enter starts a request, or queues it and returns its waiter, or refuses it.
func (c *Controller) enter(ws *workspace, priority int8, startBy, now time.Time) (*waiter, *verdict.Error) {
	permit := ws.limiter.ReserveN(now, 1)
	if delay := permit.DelayFrom(now); delay > 0 {
		permit.CancelAt(now)
		return nil, verdict.New(verdict.NotRun, verdict.CodeRateLimited, "the workspace's limit of requests per second is reached").WithRetryAfter(delay)
	}
	if c.queue.total == 0 && c.all.hasRoom() && ws.hasRoom() {
		c.start(ws, now)
		return nil, nil
	}
	w := &waiter{ws: ws, priority: priority, startBy: startBy, ready: make(chan struct{})}
	if refusal := c.tryQueue(w, now); refusal != nil {
		permit.CancelAt(now)
		return nil, refusal
	}
	c.grant(now)
	if w.started {
		return nil, nil
	}
	return w, nil
}

// tryQueue adds w to the queue, or refuses it if w or a request behind it would
// start too late because of it.
func (c *Controller) tryQueue(w *waiter, now time.Time) *verdict.Error {
	if c.queue.length(w.priority) >= c.opts.QueueLength || w.ws.queued >= max(1, c.opts.QueueLength/queueShare) {
		// Under overload most requests end here, so it must cost little.
		return tooLate(w, c.behindAll(w, now))
	}
	c.queue.insert(w)
	start, inTime := c.simulate(w, now)
	if inTime {
		return nil
	}
	c.queue.remove(w)
	return tooLate(w, start)
}

// behindAll estimates when w, which is not in the queue, could start behind all
// queued requests of its own and higher priorities.
func (c *Controller) behindAll(w *waiter, now time.Time) time.Duration {
	return max(c.all.startAfter(c.queue.from(w.priority), now), w.ws.startAfter(w.ws.queued, now))
}

// simulate estimates when w, which is in the queue, starts, as a time from now.
// inTime is false if w would start too late, or a request behind it only
// because of w.
func (c *Controller) simulate(w *waiter, now time.Time) (start time.Duration, inTime bool) {
	inTime = true
	with, without := newPlan(&c.all, now), newPlan(&c.all, now)
	behind := false
	c.queue.inOrder(func(other *waiter) bool {
		left := other.startBy.Sub(now)
		at := with.next(other)
		if other == w {
			start, behind = at, true
			inTime = at <= left
			return inTime
		}
		if before := without.next(other); behind && at > left && before <= left {
			inTime = false
		}
		return inTime
	})
	return start, inTime
}

// tooLate refuses w, which could start after the given time.
func tooLate(w *waiter, start time.Duration) *verdict.Error {
	err := verdict.New(verdict.NotRun, verdict.CodeOverloaded, "the request cannot start in time")
	if !w.ws.hasRoom() {
		err = verdict.New(verdict.NotRun, verdict.CodeRateLimited, "the workspace's limit of requests in progress is reached")
	}
	return err.WithRetryAfter(max(start, minRetryAfter))
}

// wait returns when w started, or an error if it will not start.
func (c *Controller) wait(ctx context.Context, w *waiter) (time.Time, *verdict.Error) {
	timer := time.NewTimer(time.Until(w.startBy))
	defer timer.Stop()
	canceled := false
	select {
	case <-w.ready:
		return w.at, nil
	case <-ctx.Done():
		canceled = true
	case <-timer.C:
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case w.started && !canceled:
		return w.at, nil
	case w.started:
		c.all.cancel(w.at)
		w.ws.cancel(w.at)
		c.grant(now)
	case canceled:
		c.queue.remove(w)
	default:
		start, _ := c.simulate(w, now)
		c.queue.remove(w)
		return now, tooLate(w, start)
	}
	return now, verdict.New(verdict.NotRun, verdict.CodeCanceled, "the caller disconnected").WithCause(ctx.Err())
}

// grant starts queued requests in order while there is room.
func (c *Controller) grant(now time.Time) {
	for c.all.hasRoom() {
		w := c.queue.next()
		if w == nil {
			break
		}
		c.queue.remove(w)
		c.start(w.ws, now)
		w.started, w.at = true, now
		close(w.ready)
	}
	c.stats.queued.Update(int64(c.queue.total))
}

func (c *Controller) start(ws *workspace, now time.Time) {
	c.all.start(now)
	ws.start(now)
	c.stats.running.Update(int64(c.all.running()))
}

// release ends a request that started at the given time.
func (c *Controller) release(ws *workspace, started time.Time) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all.end(started, now)
	ws.end(started, now)
	c.stats.running.Update(int64(c.all.running()))
	c.grant(now)
}
