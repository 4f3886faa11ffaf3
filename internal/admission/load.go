package admission

import (
	"slices"
	"time"
)

// holdWeight is the weight of the newest value in the average of how long
// requests run; about the last ten requests count.
const holdWeight = 0.1

// overduePart is the part of the average that a request is expected to run on
// if it has run longer than the average already. How long is not known; a small
// value lets others wait a little rather than be refused at once.
const overduePart = 4

// load counts the requests in progress under one limit and estimates when they
// end. A limit of 0 means none. It is guarded by the controller's mutex.
type load struct {
	limit int
	// starts holds when the requests in progress started, oldest first.
	starts []time.Time
	// hold is the average time that requests ran, 0 if none has ended.
	hold time.Duration
}

func (l *load) running() int { return len(l.starts) }

func (l *load) hasRoom() bool { return l.limit <= 0 || len(l.starts) < l.limit }

func (l *load) start(now time.Time) {
	l.starts = slices.Insert(l.starts, l.search(now), now)
}

// search returns the index of the first request that did not start before t.
func (l *load) search(t time.Time) int {
	i, _ := slices.BinarySearchFunc(l.starts, t, time.Time.Compare)
	return i
}

// cancel forgets a request that did nothing.
func (l *load) cancel(started time.Time) {
	i := l.search(started)
	l.starts = slices.Delete(l.starts, i, i+1)
}

func (l *load) end(started, now time.Time) {
	l.cancel(started)
	ran := now.Sub(started)
	if l.hold == 0 {
		l.hold = ran
		return
	}
	l.hold += time.Duration(holdWeight * float64(ran-l.hold))
}

// startAfter estimates how long the request with ahead others before it waits,
// if every request runs for the average time: it starts when the request ends
// that started limit places before it.
func (l *load) startAfter(ahead int, now time.Time) time.Duration {
	place := ahead - (l.limit - len(l.starts))
	if l.limit <= 0 || place < 0 {
		return 0
	}
	hold := l.hold
	if hold == 0 {
		hold = initialHold
	}
	rounds := 0
	for place >= len(l.starts) {
		place -= l.limit
		rounds++
	}
	wait := time.Duration(rounds) * hold
	if place >= 0 {
		wait += max(hold-now.Sub(l.starts[place]), hold/overduePart)
	}
	return wait
}

// plan estimates the start times of queued requests taken in order.
type plan struct {
	all   *load
	now   time.Time
	ahead int
	// of counts the requests before the next one in each workspace.
	of map[*workspace]int
}

func newPlan(all *load, now time.Time) *plan {
	return &plan{all: all, now: now, of: make(map[*workspace]int)}
}

// next returns when w starts, as a time from now. A request that waits for its
// own workspace's limit does not delay those of others.
func (p *plan) next(w *waiter) time.Duration {
	all := p.all.startAfter(p.ahead, p.now)
	own := w.ws.startAfter(p.of[w.ws], p.now)
	p.of[w.ws]++
	if own <= all {
		p.ahead++
	}
	return max(all, own)
}
