package budget

import (
	"fmt"
	"slices"
	"time"
)

// CollectResult is what an agent answered to a collection for one account.
type CollectResult struct {
	Agent Incarnation
	Bills []Bill
	// RouterBoots holds the boot of the router that each bill was made for.
	RouterBoots []BootID
	Running     []RunningAttempt
	// MinAccountEpoch is the epoch that the agent enforces for the account (see
	// Ledger.Epoch). A higher one than the holder's own deposes it.
	AccountEpoch uint64
	// Fenced is the router that the agent was asked to refuse, for lots before
	// FencedBefore; nil if none.
	Fenced       *Incarnation
	FencedBefore LotPosition
}

// LostAgent is a run of an agent whose memory is gone: the agent has another
// boot now, or it is no longer listed and stayed unreachable.
type LostAgent struct {
	Agent Incarnation
	// DetectedAt is when the holder's process learned of it, by its own clock. Lots
	// opened later cannot have been used there. Zero means that all can.
	DetectedAt time.Time
}

// FenceOrder is what every agent must be told about a dead router.
type FenceOrder struct {
	Router Incarnation
	Before LotPosition // lots before this one are refused
}

// fenceState is the progress of fencing one router incarnation.
type fenceState struct {
	through LotPosition
	running map[Incarnation]int // per agent, requests in progress in fenced lots
}

// reconState is the progress of reconciling former epochs.
type reconState struct {
	running map[Incarnation][]RunningAttempt // per agent, as last collected
}

// BeginFence gives a router incarnation up: its lots are frozen, its exchanges
// are answered with Fenced. The caller sends the order to every agent that the
// router may have used, passes each answer to ApplyCollectResult, and repeats until
// FinishFence succeeds. It returns false if the router has no lots.
func (h *Holder) BeginFence(router Incarnation) (FenceOrder, bool) {
	rs := h.routers[router]
	if rs == nil || rs.openLots() == 0 || h.deposed || h.sealed {
		return FenceOrder{}, false
	}
	if rs.fence == nil {
		rs.fence = &fenceState{
			through: LotPosition{Epoch: h.epoch, Num: h.nextLot},
			running: map[Incarnation]int{},
		}
	}
	return FenceOrder{Router: router, Before: rs.fence.through}, true
}

// Fences returns the orders of all fences in progress.
func (h *Holder) Fences() []FenceOrder {
	var out []FenceOrder
	for router, rs := range h.routers {
		if rs.fence != nil {
			out = append(out, FenceOrder{Router: router, Before: rs.fence.through})
		}
	}
	slices.SortFunc(out, func(a, b FenceOrder) int { return compareIncarnations(a.Router, b.Router) })
	return out
}

// ApplyCollectResult takes over what an agent knows. It returns the attempts whose
// bills the agent may delete at once; the others follow from FlushDone.
func (h *Holder) ApplyCollectResult(now time.Time, c CollectResult) AckList {
	h.ObserveEpoch(c.AccountEpoch)
	if h.deposed || h.sealed {
		return nil
	}
	var acks AckList
	for i, bill := range c.Bills {
		if h.acceptCollected(bill, c.routerOf(i), c.Agent.Name) {
			acks = acks.add(c.Agent.Name, bill.Attempt)
		}
	}
	if c.Fenced != nil {
		if rs := h.routers[*c.Fenced]; rs != nil && rs.fence != nil && !c.FencedBefore.Before(rs.fence.through) {
			n := 0
			for _, r := range c.Running {
				if r.Router == *c.Fenced && r.Lot.Position().Before(rs.fence.through) {
					n++
				}
			}
			rs.fence.running[c.Agent] = n
		}
	}
	if h.recon != nil && c.AccountEpoch >= h.epoch {
		h.recon.running[c.Agent] = slices.Clone(c.Running)
	}
	return acks
}

func (c *CollectResult) routerOf(i int) BootID {
	if i < len(c.RouterBoots) {
		return c.RouterBoots[i]
	}
	return BootID{}
}

// acceptCollected takes one bill over and reports whether the agent may forget
// it at once.
func (h *Holder) acceptCollected(bill Bill, boot BootID, agent string) bool {
	mark := bill.Lot.Position()
	l := h.lots[mark]
	if l == nil && h.maybeOpen(mark) {
		l = h.addLot(mark, Incarnation{Boot: boot}, h.budget(bill.Budget), lotOrphan)
	}
	if l == nil || l.budget.id != bill.Budget {
		h.counters.LateBills++
		return true
	}
	return h.accept(l, bill, agent)
}

// FinishFence settles the lots of a fenced router. agents are the present runs of
// all agents that the router may have used; lost are the runs that it may have
// used and whose memory is gone. A present run that is given up is in both. It
// fails with ErrNotCollected or ErrStillRunning while something is missing.
// What the lots did not use becomes free with the next flush, or Lost if an
// agent's memory is gone.
func (h *Holder) FinishFence(now time.Time, router Incarnation, agents []Incarnation, lost []LostAgent) error {
	rs := h.routers[router]
	if rs == nil || rs.fence == nil {
		return ErrNoFence
	}
	gone, err := missingAgents(agents, lost, func(agent Incarnation) (int, bool) {
		n, collected := rs.fence.running[agent]
		return n, collected
	})
	if err != nil {
		return err
	}
	for _, l := range rs.lots {
		if l.phase != lotOpen {
			continue
		}
		h.loseRest(now, l, gone)
		l.budget.thaw += l.limit - l.billed
		h.retire(l)
	}
	rs.fence = nil
	return nil
}

// missingAgents returns the lost agents from which nothing complete was
// collected, or an error if another agent is missing. collected returns the
// number of requests in progress that the agent reported last.
func missingAgents(agents []Incarnation, lost []LostAgent, collected func(Incarnation) (int, bool)) ([]LostAgent, error) {
	for _, agent := range agents {
		n, ok := collected(agent)
		switch {
		case ok && n == 0 || slices.ContainsFunc(lost, func(a LostAgent) bool { return a.Agent == agent }):
		case ok:
			return nil, fmt.Errorf("%w: %d at agent %q", ErrStillRunning, n, agent.Name)
		default:
			return nil, fmt.Errorf("%w: %q", ErrNotCollected, agent.Name)
		}
	}
	var gone []LostAgent
	for _, a := range lost {
		if n, ok := collected(a.Agent); !ok || n > 0 {
			gone = append(gone, a)
		}
	}
	return gone, nil
}

// loseRest counts what a lot has not billed as lost if an agent that may have
// used it has lost its memory.
func (h *Holder) loseRest(now time.Time, l *lotState, gone []LostAgent) {
	var names []string
	for _, a := range gone {
		if a.DetectedAt.IsZero() || l.opened.IsZero() || !l.opened.After(a.DetectedAt) {
			names = append(names, a.Agent.Name)
		}
	}
	rest := l.limit - l.billed
	if len(names) == 0 || rest == 0 {
		return
	}
	h.lose(now, l.budget, rest, l.id.Position(), l.router, names)
	l.setLimit(l.billed)
}

func (h *Holder) lose(now time.Time, b *budgetState, amount Tokens, mark LotPosition, router Incarnation, agents []string) {
	b.lost += amount
	b.losses = append(b.losses, Loss{Budget: b.id, Amount: amount, Lot: mark, Router: router,
		Agents: agents, UnixMilli: now.UnixMilli()})
}

// beginReconcile starts the reconciliation after a takeover, or finishes it at
// once if there is no escrow whose use is unknown.
func (h *Holder) beginReconcile(record *AccountRecord) {
	for _, m := range record.Next {
		if m.Epoch < h.epoch {
			h.former = append(h.former, m)
		}
	}
	h.recon = &reconState{running: map[Incarnation][]RunningAttempt{}}
	for _, b := range h.budgets {
		if b.unreconciled > 0 {
			return
		}
	}
	h.endReconcile()
}

// maybeOpen reports whether a lot that is not listed may have been granted by a
// former holder after its last flush.
func (h *Holder) maybeOpen(mark LotPosition) bool {
	if h.recon == nil {
		return false
	}
	for _, m := range h.former {
		if m.Epoch == mark.Epoch {
			return mark.Num >= m.Num
		}
	}
	return false
}

// Reconciling reports whether escrow of former epochs is still unreconciled. The
// caller asks every router for its lots (ApplyRouterLots) and then every agent,
// with MinAccountEpoch set (ApplyCollectResult), until FinishReconcile succeeds.
func (h *Holder) Reconciling() bool { return h.recon != nil }

// ApplyRouterLots takes over the lots of a router that has adopted this epoch.
// An answer that is late or repeated does no harm.
func (h *Holder) ApplyRouterLots(now time.Time, router Incarnation, lots []LotReport) {
	if h.deposed || h.sealed {
		return
	}
	rs := h.router(router)
	h.adopt(now, router, rs, lots)
	for i := range lots {
		l := h.lots[lots[i].Lot.Position()]
		if l == nil || l.router.Boot != router.Boot || l.phase != lotOpen {
			continue
		}
		for _, bill := range lots[i].Bills {
			h.accept(l, bill, "")
		}
	}
}

// Adopted reports whether a router's lots of former epochs are known.
func (h *Holder) Adopted(router Incarnation) bool {
	rs := h.routers[router]
	return rs != nil && rs.adopted
}

// FinishReconcile ends the reconciliation. agents are the present runs of
// all agents that requests of former epochs may have run at, and lost are the
// runs that they may have run at and whose memory is gone. routersComplete is true if the caller is certain that every router
// that may have had lots has answered. It fails with ErrNotCollected or
// ErrStillRunning while something is missing. What is left unreconciled becomes
// free with the next flush, or Lost if an agent's memory is gone and a router has not answered.
// Lots that no router has reported are closed; their routers are refused by all
// agents because no holder of this epoch has confirmed them.
func (h *Holder) FinishReconcile(now time.Time, agents []Incarnation, lost []LostAgent, routersComplete bool) error {
	if h.recon == nil {
		return nil
	}
	missing, err := missingAgents(agents, lost, func(agent Incarnation) (int, bool) {
		running, collected := h.recon.running[agent]
		return h.runningOrphans(running), collected
	})
	if err != nil {
		return err
	}
	var gone []string
	for _, a := range missing {
		gone = append(gone, a.Agent.Name)
	}
	for _, l := range h.lots {
		routersComplete = routersComplete && l.phase != lotOrphan
	}
	for _, b := range h.budgets {
		if len(gone) > 0 && !routersComplete && b.unreconciled > 0 {
			h.lose(now, b, b.unreconciled, LotPosition{}, Incarnation{}, gone)
			b.unreconciled = 0
		}
	}
	h.thawUnreconciled()
	h.endReconcile()
	return nil
}

// runningOrphans counts the requests in lots that no router has reported.
func (h *Holder) runningOrphans(running []RunningAttempt) int {
	n := 0
	for _, r := range running {
		l := h.lots[r.Lot.Position()]
		if l == nil && h.maybeOpen(r.Lot.Position()) || l != nil && l.phase == lotOrphan {
			n++
		}
	}
	return n
}

// endReconcile closes the lots that no router has reported.
func (h *Holder) endReconcile() {
	h.recon, h.former = nil, nil
	for _, l := range h.lots {
		switch {
		case l.phase == lotOrphan:
			h.retire(l)
		case l.phase == lotRetired && len(l.pending) == 0:
			h.dropLot(l)
		}
	}
}
