package admission

import (
	"slices"
	"sort"
	"time"
)

// maxPassed is how often in a row a priority may be passed over for a higher
// one. It keeps lower priorities from starving.
const maxPassed = 8

// waiter is a queued request.
type waiter struct {
	ws       *workspace
	priority int8
	// startBy is when the request is given up.
	startBy time.Time
	// ready is closed when the request has started, at the time at.
	ready   chan struct{}
	started bool
	at      time.Time
}

// class holds the queued requests of one priority, earliest startBy first.
// Because startBy lies at most MaxWait ahead, a request comes to the front as
// time passes, whatever arrives later.
type class struct {
	priority int8
	waiters  []*waiter
	// passed counts the starts of higher priorities since this one's turn.
	passed int
}

// queue holds the queued requests by priority, highest first. A class stays
// when it is empty; there are few priorities. It is guarded by the controller's
// mutex.
type queue struct {
	classes []*class
	total   int
}

func (q *queue) class(priority int8) *class {
	i := sort.Search(len(q.classes), func(i int) bool { return q.classes[i].priority <= priority })
	if i == len(q.classes) || q.classes[i].priority != priority {
		q.classes = slices.Insert(q.classes, i, &class{priority: priority})
	}
	return q.classes[i]
}

// length returns the number of queued requests of a priority.
func (q *queue) length(priority int8) int { return len(q.class(priority).waiters) }

// from returns the number of queued requests of a priority and those above.
func (q *queue) from(priority int8) int {
	n := 0
	for _, c := range q.classes {
		if c.priority >= priority {
			n += len(c.waiters)
		}
	}
	return n
}

// insert puts w behind those with the same startBy.
func (q *queue) insert(w *waiter) {
	c := q.class(w.priority)
	i := sort.Search(len(c.waiters), func(i int) bool { return c.waiters[i].startBy.After(w.startBy) })
	c.waiters = slices.Insert(c.waiters, i, w)
	w.ws.queued++
	q.total++
}

// remove takes w out if it is in the queue.
func (q *queue) remove(w *waiter) {
	c := q.class(w.priority)
	if i := slices.Index(c.waiters, w); i >= 0 {
		c.waiters = slices.Delete(c.waiters, i, i+1)
		w.ws.queued--
		q.total--
	}
	if len(c.waiters) == 0 {
		c.passed = 0
	}
}

// next returns the request to start next, nil if none can start: the earliest
// of the highest priority, unless a lower one was passed over too often. It
// leaves out workspaces that are at their limit.
func (q *queue) next() *waiter {
	chosen, chosenClass := (*waiter)(nil), -1
	for i, c := range q.classes {
		if chosen != nil && c.passed < maxPassed {
			continue
		}
		if w := c.firstEligible(); w != nil {
			chosen, chosenClass = w, i
		}
	}
	if chosen == nil {
		return nil
	}
	q.classes[chosenClass].passed = 0
	for _, c := range q.classes[chosenClass+1:] {
		if len(c.waiters) > 0 {
			c.passed++
		}
	}
	return chosen
}

func (c *class) firstEligible() *waiter {
	for _, w := range c.waiters {
		if w.ws.hasRoom() {
			return w
		}
	}
	return nil
}

// inOrder calls f for the queued requests in the order in which they would
// start if their workspaces had room, until f returns false.
func (q *queue) inOrder(f func(*waiter) bool) {
	taken := make([]int, len(q.classes))
	passed := make([]int, len(q.classes))
	for i, c := range q.classes {
		passed[i] = c.passed
	}
	for {
		chosen := -1
		for i, c := range q.classes {
			if taken[i] < len(c.waiters) && (chosen < 0 || passed[i] >= maxPassed) {
				chosen = i
			}
		}
		if chosen < 0 || !f(q.classes[chosen].waiters[taken[chosen]]) {
			return
		}
		taken[chosen]++
		passed[chosen] = 0
		for i := chosen + 1; i < len(q.classes); i++ {
			if taken[i] < len(q.classes[i].waiters) {
				passed[i]++
			}
		}
	}
}
