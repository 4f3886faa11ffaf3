package agent

import "context"

// Drain refuses new attempts, and waits until all attempts have ended, their
// responses are delivered to the routers that read them, and all bills are
// durable. It cancels nothing: if ctx ends first, it returns the outstanding
// work and the cause of ctx's end.
func (a *Agent) Drain(ctx context.Context) (Outstanding, error) {
	a.mu.Lock()
	if !a.draining {
		a.draining = true
		a.log.Info("drain started", "running", len(a.running), "queued", a.queue.length)
	}
	a.mu.Unlock()
	for {
		remaining, changed := a.outstanding()
		if remaining.Empty() {
			return remaining, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return remaining, context.Cause(ctx)
		}
	}
}

// Outstanding returns what a drain would wait for now.
func (a *Agent) Outstanding() Outstanding {
	remaining, _ := a.outstanding()
	return remaining
}

// outstanding returns what a drain waits for, and a channel that is closed at
// the next change while the agent drains.
func (a *Agent) outstanding() (Outstanding, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	remaining := Outstanding{Streams: a.openStreams}
	for id, at := range a.attempts {
		if at.state != stateFinished {
			remaining.Running = append(remaining.Running, id)
		}
	}
	_, remaining.Bills = a.admission.ledger.Counts()
	return remaining, a.drainProgress
}
