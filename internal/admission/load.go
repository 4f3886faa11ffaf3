package admission

import "time"

// holdWeight is the weight of the newest value in the average of how long
// requests run; about the last ten requests count.
const holdWeight = 0.1

// load counts the requests in progress under one limit and estimates when one
// of them ends. A limit of 0 means none. It is guarded by the controller's
// mutex.
type load struct {
	limit   int
	running int
	// hold is the average time that requests ran, 0 if none has ended.
	hold time.Duration
	// ages is the sum over the running requests of the time from epoch to their
	// start. It begins anew when nothing runs.
	epoch time.Time
	ages  time.Duration
}

func (l *load) hasRoom() bool { return l.limit <= 0 || l.running < l.limit }

func (l *load) start(now time.Time) {
	if l.running == 0 {
		l.epoch, l.ages = now, 0
	}
	l.running++
	l.ages += now.Sub(l.epoch)
}

// cancel forgets a request that did nothing.
func (l *load) cancel(started time.Time) {
	l.running--
	l.ages -= started.Sub(l.epoch)
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

// meanAge returns how long the running requests have run on average.
func (l *load) meanAge(now time.Time) time.Duration {
	if l.running == 0 {
		return 0
	}
	return now.Sub(l.epoch) - l.ages/time.Duration(l.running)
}

// startAfter estimates how long the request with ahead others before it waits.
func (l *load) startAfter(ahead int, now time.Time) time.Duration {
	free := l.limit - l.running
	if l.limit <= 0 || ahead < free {
		return 0
	}
	age := l.meanAge(now)
	hold := l.hold
	if hold == 0 {
		hold = initialHold
	}
	// Requests that already run longer than the average make the average wrong.
	hold = max(hold, age)
	interval := hold / time.Duration(l.limit)
	first := min(interval, max(hold-age, interval/4))
	return first + time.Duration(ahead-free)*interval
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
