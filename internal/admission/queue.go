package admission

import (
	"slices"
	"sort"
	"time"
)

// maxSkipped is how many times in a row a priority may be skipped for a higher one. It
// prevents the starvation of lower priorities.
const maxSkipped = 8

// waiter is a queued request.
type waiter struct {
	ws       *workspace
	priority int8
	// startBy is when the request is refused if it has not started.
	startBy time.Time
	// ready is closed when the request starts.
	ready chan struct{}
	// started and startedAt are set when the request starts; the controller's mutex
	// guards them until ready is closed.
	started   bool
	startedAt time.Time
}

// class holds the queued requests of one priority, earliest startBy first. No request
// starves within a class: startBy is at most MaxWait after arrival, so a queued request
// reaches the front whatever arrives later.
type class struct {
	priority int8
	waiters  []*waiter
	// skipped counts the starts of higher priorities since the last start of this
	// one.
	skipped int
}

// queue holds the queued requests by priority, highest first. Empty classes are kept,
// as there are few priorities. It is guarded by the controller's mutex.
type queue struct {
	classes []*class
	total   int
}

// class returns the class of a priority, which it adds if necessary.
func (q *queue) class(priority int8) *class {
	i := sort.Search(len(q.classes), func(i int) bool { return q.classes[i].priority <= priority })
	if i == len(q.classes) || q.classes[i].priority != priority {
		q.classes = slices.Insert(q.classes, i, &class{priority: priority})
	}
	return q.classes[i]
}

// length returns the number of queued requests of one priority.
func (q *queue) length(priority int8) int { return len(q.class(priority).waiters) }

// lengthFrom returns the number of queued requests of a priority and all higher ones.
func (q *queue) lengthFrom(priority int8) int {
	n := 0
	for _, c := range q.classes {
		if c.priority >= priority {
			n += len(c.waiters)
		}
	}
	return n
}

// insert adds w after the requests of its priority with the same or an earlier
// startBy.
func (q *queue) insert(w *waiter) {
	c := q.class(w.priority)
	i := sort.Search(len(c.waiters), func(i int) bool { return c.waiters[i].startBy.After(w.startBy) })
	c.waiters = slices.Insert(c.waiters, i, w)
	w.ws.queued++
	q.total++
}

// remove removes w if it is queued.
func (q *queue) remove(w *waiter) {
	c := q.class(w.priority)
	if i := slices.Index(c.waiters, w); i >= 0 {
		c.waiters = slices.Delete(c.waiters, i, i+1)
		w.ws.queued--
		q.total--
	}
	if len(c.waiters) == 0 {
		c.skipped = 0
	}
}

// next returns the request to start next, nil if none can start. It is the first one
// of the highest priority, unless a lower priority has been skipped maxSkipped times.
// Requests of workspaces at their limit are left out. The request stays queued; the
// caller must start it, because next updates the skip counts as if it had started.
func (q *queue) next() *waiter {
	chosen, chosenClass := (*waiter)(nil), -1
	for i, c := range q.classes {
		if chosen != nil && c.skipped < maxSkipped {
			continue
		}
		if w := c.firstEligible(); w != nil {
			chosen, chosenClass = w, i
		}
	}
	if chosen == nil {
		return nil
	}
	q.classes[chosenClass].skipped = 0
	for _, c := range q.classes[chosenClass+1:] {
		if len(c.waiters) > 0 {
			c.skipped++
		}
	}
	return chosen
}

// firstEligible returns the first request whose workspace is below its limit, nil if
// there is none.
func (c *class) firstEligible() *waiter {
	for _, w := range c.waiters {
		if w.ws.hasRoom() {
			return w
		}
	}
	return nil
}

// eachInOrder calls yield for the queued requests in the order in which they would
// start if no workspace were at its limit, until yield returns false.
func (q *queue) eachInOrder(yield func(*waiter) bool) {
	taken := make([]int, len(q.classes))
	skipped := make([]int, len(q.classes))
	for i, c := range q.classes {
		skipped[i] = c.skipped
	}
	for {
		chosen := -1
		for i, c := range q.classes {
			if taken[i] < len(c.waiters) && (chosen < 0 || skipped[i] >= maxSkipped) {
				chosen = i
			}
		}
		if chosen < 0 || !yield(q.classes[chosen].waiters[taken[chosen]]) {
			return
		}
		taken[chosen]++
		skipped[chosen] = 0
		for i := chosen + 1; i < len(q.classes); i++ {
			if taken[i] < len(q.classes[i].waiters) {
				skipped[i]++
			}
		}
	}
}
