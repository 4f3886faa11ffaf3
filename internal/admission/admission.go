// Package admission decides when a router starts a request. It enforces limits per
// workspace and a concurrency limit for the whole router, queues requests for a short
// time by priority and deadline, and refuses those that cannot start in time. It also
// limits retries, with a RetryBudget.
//
// Package gateway calls a Controller; packages dispatch and gate use a RetryBudget. The
// package must not know backend servers or HTTP.
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

// Limits are the limits of a workspace in the whole deployment; 0 means no limit.
type Limits struct {
	// Concurrent is the number of requests in progress at once.
	Concurrent int
	// PerSecond is the number of requests that may start per second.
	PerSecond float64
}

// Request describes a request to be admitted.
type Request struct {
	Workspace string
	// Priority is higher for more urgent requests.
	Priority int8
	// Deadline is when the caller gives up; zero means never.
	Deadline time.Time
}

const (
	// DefaultMaxConcurrent is the default of Options.MaxConcurrent, in requests.
	DefaultMaxConcurrent = 1024
	// DefaultQueueLength is the default of Options.QueueLength, in requests.
	DefaultQueueLength = 128
	// DefaultMaxWait is the default of Options.MaxWait. It leaves the engine most of
	// the 1.2 s that are the target for the time to first token.
	DefaultMaxWait = 500 * time.Millisecond
	// workspaceQueueDivisor limits the queued requests of one workspace, of all
	// priorities together, to QueueLength/workspaceQueueDivisor.
	workspaceQueueDivisor = 4
	// initialRunTime is the assumed mean run time of requests until one has ended.
	initialRunTime = 500 * time.Millisecond
	// minRetryAfter is the least RetryAfter of a refusal by refuseLate. It is not 0,
	// which would mean that waiting does not help. The Retry-After header cannot tell
	// shorter waits apart, because it is in whole seconds.
	minRetryAfter = 100 * time.Millisecond
)

// Options configure a Controller. Limits and Routers are required; the zero values
// of the other fields mean their defaults.
type Options struct {
	// Limits returns the limits of a workspace. It must not block.
	Limits func(workspace string) Limits
	// Routers returns the number of live routers. Each enforces an equal share of
	// the limits. It must not block; values below 1 count as 1.
	Routers func() int
	// MaxConcurrent is the largest number of requests in progress at this router.
	MaxConcurrent int
	// QueueLength is the largest number of queued requests per priority.
	QueueLength int
	// MaxWait is the longest time that a request is queued.
	MaxWait time.Duration
	// Metrics is the registry for metrics; nil for the default registry.
	Metrics metrics.Registry
}

// Controller decides when requests start. It is safe for concurrent use.
//
// Lock order: mu guards all state of the controller. While it is held, no callback is
// called and no lock is acquired except those inside the rate limiters and the
// metrics.
type Controller struct {
	opts    Options
	retries *RetryBudget
	stats   stats

	mu         sync.Mutex
	overall    load // of all workspaces
	workspaces map[string]*workspace
	queue      queue
}

// workspace is the load, rate limiter and queue use of one workspace at this router.
type workspace struct {
	load
	limiter *rate.Limiter
	queued  int
}

// New returns a controller with no requests in progress.
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
		overall:    load{limit: opts.MaxConcurrent},
		workspaces: make(map[string]*workspace),
	}
}

// RetryBudget returns the retry budget, which allows retries in proportion to the
// requests that the controller starts.
func (c *Controller) RetryBudget() *RetryBudget { return c.retries }

// Acquire waits until the request may start and returns a function that must be
// called exactly once when the request has ended. It refuses a request immediately if
// it is not expected to start within MaxWait and before its deadline. It fails with a
// *verdict.Error with verdict NotRun and code CodeRateLimited, CodeOverloaded, or
// CodeCanceled if ctx ended.
func (c *Controller) Acquire(ctx context.Context, r Request) (release func(), err error) {
	now := time.Now()
	limits := c.routerShare(r.Workspace)
	startBy := now.Add(c.opts.MaxWait)
	if !r.Deadline.IsZero() && r.Deadline.Before(startBy) {
		startBy = r.Deadline
	}

	c.mu.Lock()
	ws := c.workspace(r.Workspace, limits)
	w, refusal := c.admit(ws, r.Priority, startBy, now)
	c.mu.Unlock()
	started := now
	if w != nil {
		started, refusal = c.awaitStart(ctx, w)
	}
	if refusal != nil {
		c.stats.countRefusal(refusal.Code)
		return nil, refusal
	}
	c.stats.waitMillis.Update(started.Sub(now).Milliseconds())
	c.retries.CountRequest()
	return func() { c.release(ws, started) }, nil
}

// routerShare returns this router's share of a workspace's limits, at least 1 of each
// limit that is set.
func (c *Controller) routerShare(workspace string) Limits {
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

// workspace returns the state of a workspace after applying its current limits. The
// caller holds c.mu.
func (c *Controller) workspace(name string, limits Limits) *workspace {
	perSecond, burst := rate.Inf, 1
	if limits.PerSecond > 0 {
		// The burst is the number of requests of one second.
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

// admit starts a request and returns nil, or queues it and returns its waiter, or
// refuses it. The caller holds c.mu.
func (c *Controller) admit(ws *workspace, priority int8, startBy, now time.Time) (*waiter, *verdict.Error) {
	permit := ws.limiter.ReserveN(now, 1)
	if delay := permit.DelayFrom(now); delay > 0 {
		permit.CancelAt(now)
		return nil, verdict.New(verdict.NotRun, verdict.CodeRateLimited, "the workspace's limit of requests per second is reached").WithRetryAfter(delay)
	}
	if c.queue.total == 0 && c.overall.hasRoom() && ws.hasRoom() {
		c.start(ws, now)
		return nil, nil
	}
	w := &waiter{ws: ws, priority: priority, startBy: startBy, ready: make(chan struct{})}
	if refusal := c.enqueue(w, now); refusal != nil {
		permit.CancelAt(now)
		return nil, refusal
	}
	c.startQueued(now)
	if w.started {
		return nil, nil
	}
	return w, nil
}

// enqueue adds w to the queue. It refuses w if the queue of w's priority or the
// workspace's part of the queue is full, if w would start too late, or if a request
// behind w would start too late because of it. The caller holds c.mu.
func (c *Controller) enqueue(w *waiter, now time.Time) *verdict.Error {
	if c.queue.length(w.priority) >= c.opts.QueueLength || w.ws.queued >= max(1, c.opts.QueueLength/workspaceQueueDivisor) {
		// Under overload most requests are refused here, so this must be cheap: it does
		// not walk the queue.
		return refuseLate(w, c.delayBehindQueue(w, now))
	}
	c.queue.insert(w)
	delay, inTime := c.estimateStart(w, now)
	if inTime {
		return nil
	}
	c.queue.remove(w)
	return refuseLate(w, delay)
}

// delayBehindQueue estimates the delay until w, which is not queued, could start after
// all queued requests of its own and higher priorities. The caller holds c.mu.
func (c *Controller) delayBehindQueue(w *waiter, now time.Time) time.Duration {
	return max(c.overall.startDelay(c.queue.lengthFrom(w.priority), now), w.ws.startDelay(w.ws.queued, now))
}

// estimateStart estimates the delay until w, which is queued, starts. inTime is false
// if w would start too late, or if a request behind w would start too late only
// because of w. The caller holds c.mu.
func (c *Controller) estimateStart(w *waiter, now time.Time) (delay time.Duration, inTime bool) {
	inTime = true
	with, without := newStartEstimator(&c.overall, now), newStartEstimator(&c.overall, now)
	behind := false
	c.queue.eachInOrder(func(other *waiter) bool {
		remaining := other.startBy.Sub(now)
		otherDelay := with.next(other)
		if other == w {
			delay, behind = otherDelay, true
			inTime = otherDelay <= remaining
			return inTime
		}
		if delayWithout := without.next(other); behind && otherDelay > remaining && delayWithout <= remaining {
			inTime = false
		}
		return inTime
	})
	return delay, inTime
}

// refuseLate returns the refusal of a request that could start only after the given
// delay. Its RetryAfter is at least that delay.
func refuseLate(w *waiter, delay time.Duration) *verdict.Error {
	err := verdict.New(verdict.NotRun, verdict.CodeOverloaded, "the request cannot start in time")
	if !w.ws.hasRoom() {
		err = verdict.New(verdict.NotRun, verdict.CodeRateLimited, "the workspace's limit of requests in progress is reached")
	}
	return err.WithRetryAfter(max(delay, minRetryAfter))
}

// awaitStart waits until w has started and returns the start time. If w does not start
// in time or ctx ends, it removes w from the queue and returns a refusal.
func (c *Controller) awaitStart(ctx context.Context, w *waiter) (time.Time, *verdict.Error) {
	timer := time.NewTimer(time.Until(w.startBy))
	defer timer.Stop()
	canceled := false
	select {
	case <-w.ready:
		return w.startedAt, nil
	case <-ctx.Done():
		canceled = true
	case <-timer.C:
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case w.started && !canceled:
		return w.startedAt, nil
	case w.started:
		c.overall.cancel(w.startedAt)
		w.ws.cancel(w.startedAt)
		c.startQueued(now)
	case canceled:
		c.queue.remove(w)
	default:
		delay, _ := c.estimateStart(w, now)
		c.queue.remove(w)
		return now, refuseLate(w, delay)
	}
	return now, verdict.New(verdict.NotRun, verdict.CodeCanceled, "the caller disconnected").WithCause(ctx.Err())
}

// startQueued starts queued requests in order until the concurrency limit is reached
// or none can start. The caller holds c.mu.
func (c *Controller) startQueued(now time.Time) {
	for c.overall.hasRoom() {
		w := c.queue.next()
		if w == nil {
			break
		}
		c.queue.remove(w)
		c.start(w.ws, now)
		w.started, w.startedAt = true, now
		close(w.ready)
	}
	c.stats.queued.Update(int64(c.queue.total))
}

func (c *Controller) start(ws *workspace, now time.Time) {
	c.overall.start(now)
	ws.start(now)
	c.stats.running.Update(int64(c.overall.running()))
}

// release ends a request that started at the given time.
func (c *Controller) release(ws *workspace, started time.Time) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.overall.end(started, now)
	ws.end(started, now)
	c.stats.running.Update(int64(c.overall.running()))
	c.startQueued(now)
}
