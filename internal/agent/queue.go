package agent

// fairQueue orders queued attempts by priority, and attempts of the same
// priority by start-time fair queueing between workspaces, in which the size of
// an attempt is its reservation. It is guarded by the agent's mutex.
type fairQueue struct {
	classes map[int8]*priorityClass
	length  int
}

type priorityClass struct {
	// virtualTime is the start tag of the attempt dequeued last.
	virtualTime float64
	flows       map[string]*flow
	length      int
}

// flow holds the queued attempts of one workspace, oldest first.
type flow struct {
	waiting []*attempt
	// startTag is the start tag of the first queued attempt, or of the next one
	// to arrive.
	startTag float64
}

func newFairQueue() *fairQueue { return &fairQueue{classes: make(map[int8]*priorityClass)} }

func (q *fairQueue) push(at *attempt) {
	class := q.classes[at.req.Priority]
	if class == nil {
		class = &priorityClass{flows: make(map[string]*flow)}
		q.classes[at.req.Priority] = class
	}
	workspace := at.req.Budget.Workspace()
	f := class.flows[workspace]
	if f == nil {
		f = &flow{startTag: class.virtualTime}
		class.flows[workspace] = f
	}
	if len(f.waiting) == 0 {
		f.startTag = max(f.startTag, class.virtualTime)
	}
	f.waiting = append(f.waiting, at)
	class.length++
	q.length++
}

// pop removes and returns the next attempt, nil if the queue is empty.
func (q *fairQueue) pop() *attempt {
	var best *priorityClass
	var priority int8
	for p, class := range q.classes {
		if class.length > 0 && (best == nil || p > priority) {
			best, priority = class, p
		}
	}
	if best == nil {
		return nil
	}
	q.length--
	return best.pop()
}

func (c *priorityClass) pop() *attempt {
	var next *flow
	var nextName string
	for name, f := range c.flows {
		switch {
		case len(f.waiting) == 0:
			if f.startTag <= c.virtualTime {
				delete(c.flows, name) // the workspace's next attempt gets the same start tag without it
			}
		case next == nil || f.startTag < next.startTag || (f.startTag == next.startTag && name < nextName):
			next, nextName = f, name
		}
	}
	at := next.waiting[0]
	next.waiting = next.waiting[1:]
	c.length--
	c.virtualTime = max(c.virtualTime, next.startTag)
	next.startTag += float64(max(1, at.req.MaxCost))
	return at
}

// remove removes an attempt and reports whether it was queued.
func (q *fairQueue) remove(at *attempt) bool {
	class := q.classes[at.req.Priority]
	if class == nil {
		return false
	}
	f := class.flows[at.req.Budget.Workspace()]
	if f == nil {
		return false
	}
	for i, other := range f.waiting {
		if other == at {
			f.waiting = append(f.waiting[:i:i], f.waiting[i+1:]...)
			class.length--
			q.length--
			return true
		}
	}
	return false
}

// ahead returns the number of queued attempts with the given or a higher
// priority.
func (q *fairQueue) ahead(priority int8) int {
	n := 0
	for p, class := range q.classes {
		if p >= priority {
			n += class.length
		}
	}
	return n
}
