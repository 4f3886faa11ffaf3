package agent

// fairQueue orders waiting attempts: the most urgent priority first, and within
// a priority fair between workspaces by start-time fair queueing, weighted by
// the reservations of their requests. It is guarded by the agent's lock.
type fairQueue struct {
	classes map[int8]*priorityClass
	length  int
}

type priorityClass struct {
	// virtual is the start tag of the attempt that was taken last.
	virtual float64
	flows   map[string]*flow
	length  int
}

// flow holds the waiting attempts of one workspace, oldest first.
type flow struct {
	waiting []*attempt
	// start is the tag of the first waiting attempt, or of the next to come.
	start float64
}

func newFairQueue() *fairQueue { return &fairQueue{classes: make(map[int8]*priorityClass)} }

func (q *fairQueue) push(at *attempt) {
	class := q.classes[at.req.Priority]
	if class == nil {
		class = &priorityClass{flows: make(map[string]*flow)}
		q.classes[at.req.Priority] = class
	}
	name := at.req.Budget.Workspace()
	f := class.flows[name]
	if f == nil {
		f = &flow{start: class.virtual}
		class.flows[name] = f
	}
	if len(f.waiting) == 0 {
		f.start = max(f.start, class.virtual)
	}
	f.waiting = append(f.waiting, at)
	class.length++
	q.length++
}

// pop takes the next attempt, nil if none waits.
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
			if f.start <= c.virtual {
				delete(c.flows, name) // as good as a new workspace
			}
		case next == nil || f.start < next.start || (f.start == next.start && name < nextName):
			next, nextName = f, name
		}
	}
	at := next.waiting[0]
	next.waiting = next.waiting[1:]
	c.length--
	c.virtual = max(c.virtual, next.start)
	next.start += float64(max(1, at.req.MaxCost))
	return at
}

// remove takes an attempt out. It reports false if it does not wait.
func (q *fairQueue) remove(at *attempt) bool {
	class := q.classes[at.req.Priority]
	if class == nil {
		return false
	}
	f := class.flows[at.req.Budget.Workspace()]
	if f == nil {
		return false
	}
	for i, waiting := range f.waiting {
		if waiting == at {
			f.waiting = append(f.waiting[:i:i], f.waiting[i+1:]...)
			class.length--
			q.length--
			return true
		}
	}
	return false
}

// ahead returns how many waiting attempts are at least as urgent.
func (q *fairQueue) ahead(priority int8) int {
	n := 0
	for p, class := range q.classes {
		if p >= priority {
			n += class.length
		}
	}
	return n
}
