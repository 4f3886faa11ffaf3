package agent

import "github.com/monsoonworks/monsoonworks/internal/wire"

// Status describes the server for the operators' tool.
func (a *Agent) Status() wire.AdminServer {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, bills := a.admission.ledger.Counts()
	return wire.AdminServer{
		Pool: a.opts.Pool, Down: a.serverDown, Bills: bills,
		Running: int32(len(a.running)), Queued: int32(a.queue.length), Slots: int32(a.opts.Slots),
	}
}
