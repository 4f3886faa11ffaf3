package admission

import (
	"slices"
	"time"
)

// runTimeWeight is the weight of the newest request in the moving average of run
// times. The average covers about the last ten requests.
const runTimeWeight = 0.1

// overdueDivisor sets the least expected remaining time of a running request, which is
// meanRunTime/overdueDivisor. It applies when a request has run for nearly the mean
// time or longer. How long such a request still runs is unknown; a short estimate
// queues other requests for a while instead of refusing them.
const overdueDivisor = 4

// load tracks the requests in progress under one concurrency limit and estimates when
// they end. It is guarded by the controller's mutex.
type load struct {
	// limit is the largest number of requests in progress, 0 for no limit.
	limit int
	// starts holds the start times of the requests in progress, oldest first.
	starts []time.Time
	// meanRunTime is the moving average of run times, 0 if no request has ended.
	meanRunTime time.Duration
}

func (l *load) running() int { return len(l.starts) }

func (l *load) hasRoom() bool { return l.limit <= 0 || len(l.starts) < l.limit }

func (l *load) start(now time.Time) {
	l.starts = slices.Insert(l.starts, l.index(now), now)
}

// index returns the index in starts of the first time that is not before t.
func (l *load) index(t time.Time) int {
	i, _ := slices.BinarySearchFunc(l.starts, t, time.Time.Compare)
	return i
}

// cancel removes a request without counting its run time.
func (l *load) cancel(started time.Time) {
	i := l.index(started)
	l.starts = slices.Delete(l.starts, i, i+1)
}

// end removes a request and adds its run time to the average.
func (l *load) end(started, now time.Time) {
	l.cancel(started)
	runTime := now.Sub(started)
	if l.meanRunTime == 0 {
		l.meanRunTime = runTime
		return
	}
	l.meanRunTime += time.Duration(runTimeWeight * float64(runTime-l.meanRunTime))
}

// startDelay estimates how long a request waits that has the given number of queued
// requests ahead of it, if every request runs for the mean run time. A request starts
// when the one that is limit positions before it, in the order of the running and then
// the queued requests, has ended.
func (l *load) startDelay(ahead int, now time.Time) time.Duration {
	position := ahead - (l.limit - len(l.starts))
	if l.limit <= 0 || position < 0 {
		return 0
	}
	runTime := l.meanRunTime
	if runTime == 0 {
		runTime = initialRunTime
	}
	rounds := 0
	for position >= len(l.starts) {
		position -= l.limit
		rounds++
	}
	wait := time.Duration(rounds) * runTime
	if position >= 0 {
		wait += max(runTime-now.Sub(l.starts[position]), runTime/overdueDivisor)
	}
	return wait
}

// startEstimator estimates when queued requests start, for one request after another
// in queue order.
type startEstimator struct {
	overall *load
	now     time.Time
	// ahead counts the requests before the next one that do not wait longer for the
	// limit of their own workspace than for that of the router.
	ahead int
	// aheadIn counts all requests before the next one by workspace.
	aheadIn map[*workspace]int
}

func newStartEstimator(overall *load, now time.Time) *startEstimator {
	return &startEstimator{overall: overall, now: now, aheadIn: make(map[*workspace]int)}
}

// next returns the estimated delay until w starts. A request that waits for the limit
// of its own workspace does not delay those of other workspaces.
func (e *startEstimator) next(w *waiter) time.Duration {
	overall := e.overall.startDelay(e.ahead, e.now)
	own := w.ws.startDelay(e.aheadIn[w.ws], e.now)
	e.aheadIn[w.ws]++
	if own <= overall {
		e.ahead++
	}
	return max(overall, own)
}
