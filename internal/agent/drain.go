package agent

import "context"

// Drain refuses new work at once, and waits until all attempts have ended, their
// answers are delivered to the routers that read them, and all bills are durable.
// It cuts off nothing: when ctx ends first it returns what is left and ctx's
// error.
func (a *Agent) Drain(ctx context.Context) (Outstanding, error) {
	a.mu.Lock()
	if !a.draining {
		a.draining = true
		a.log.Info("drain started", "running", len(a.running), "queued", a.queue.length)
	}
	a.mu.Unlock()
	for {
		left, changed := a.left()
		if left.Empty() {
			return left, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return left, context.Cause(ctx)
		}
	}
}

// Outstanding returns what a drain would wait for now.
func (a *Agent) Outstanding() Outstanding {
	left, _ := a.left()
	return left
}

// left returns what a drain waits for, and a channel that closes at the next
// change.
func (a *Agent) left() (Outstanding, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	left := Outstanding{Streams: a.serving}
	for id, at := range a.attempts {
		if at.state != stateFinished {
			left.Running = append(left.Running, id)
		}
	}
	_, left.Bills = a.ledger.book.Counts()
	return left, a.changed
}
