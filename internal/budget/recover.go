package budget

import (
	"fmt"
	"slices"
	"time"
)

// CollectResult is an agent's reply to a collection for one account.
type CollectResult struct {
	Agent Incarnation
	Bills []Bill
	// RouterBoots holds, for each bill, the boot ID of the router that it was made
	// for.
	RouterBoots []BootID
	Running     []RunningAttempt
	// AccountEpoch is the epoch that the agent enforces for the account (see
	// Ledger.Epoch). If it is higher than the holder's, the holder is deposed.
	AccountEpoch uint64
	// FencedRouter is the router whose fence the collection ordered, nil if none.
	FencedRouter *Incarnation
	// FencedBefore is the fence's bound: lots before it are refused.
	FencedBefore LotPosition
}

// LostAgent is an incarnation of an agent whose ledger is lost: the agent has
// another boot ID now, or it is no longer in the host list and stayed unreachable.
type LostAgent struct {
	// Agent has a zero Boot if the boot ID of the lost incarnation is not known; it
	// then stands for all lost incarnations of the agent.
	Agent Incarnation
	// LatestUse is the latest time at which the incarnation may have run requests,
	// by the holder's clock: when the current incarnation started, or when the
	// agent was last in the host list. A lot that was opened later counts as not
	// used at the lost incarnation. If it is zero, any lot may have been used
	// there.
	LatestUse time.Time
}

// FenceOrder makes an agent refuse the lots of a router that was declared dead.
type FenceOrder struct {
	Router Incarnation
	// Before is the exclusive upper bound of the refused lots.
	Before LotPosition
}

// fenceState is the progress of fencing one router incarnation.
type fenceState struct {
	before  LotPosition
	running map[Incarnation]int // per agent, requests in progress in fenced lots
}

// reconcileState is the progress of reconciling former epochs.
type reconcileState struct {
	running map[Incarnation][]RunningAttempt // per agent, as last collected
}

// BeginFence declares a router incarnation dead: the reply to its exchanges is
// Fenced, and the limits of its lots no longer change. The caller sends the order
// to every agent that the router may have used, passes each reply to
// ApplyCollectResult, and repeats that until FinishFence succeeds. It returns false
// if the router has no open lots, or if the holder is deposed or sealed.
func (h *Holder) BeginFence(router Incarnation) (FenceOrder, bool) {
	rs := h.routers[router]
	if rs == nil || rs.openLots() == 0 || h.deposed || h.sealed {
		return FenceOrder{}, false
	}
	if rs.fence == nil {
		rs.fence = &fenceState{
			before:  LotPosition{Epoch: h.epoch, Num: h.nextLot},
			running: map[Incarnation]int{},
		}
	}
	return FenceOrder{Router: router, Before: rs.fence.before}, true
}

// Fences returns the orders of all fences in progress, ordered by router.
func (h *Holder) Fences() []FenceOrder {
	var out []FenceOrder
	for router, rs := range h.routers {
		if rs.fence != nil {
			out = append(out, FenceOrder{Router: router, Before: rs.fence.before})
		}
	}
	slices.SortFunc(out, func(a, b FenceOrder) int { return compareIncarnations(a.Router, b.Router) })
	return out
}

// ApplyCollectResult applies an agent's reply to a collection. It returns the
// attempts whose bills the agent can delete at once; FlushDone and ResolveFlush
// return the others.
func (h *Holder) ApplyCollectResult(now time.Time, c CollectResult) AckList {
	h.ObserveEpoch(c.AccountEpoch)
	if h.deposed || h.sealed {
		return nil
	}
	var acks AckList
	for i, bill := range c.Bills {
		if h.acceptCollected(bill, c.routerBoot(i), c.Agent.Name) {
			acks = acks.add(c.Agent.Name, bill.Attempt)
		}
	}
	if c.FencedRouter != nil {
		if rs := h.routers[*c.FencedRouter]; rs != nil && rs.fence != nil && !c.FencedBefore.Before(rs.fence.before) {
			n := 0
			for _, r := range c.Running {
				if r.Router == *c.FencedRouter && r.Lot.Position().Before(rs.fence.before) {
					n++
				}
			}
			rs.fence.running[c.Agent] = n
		}
	}
	if h.reconcile != nil && c.AccountEpoch >= h.epoch {
		h.reconcile.running[c.Agent] = slices.Clone(c.Running)
	}
	return acks
}

// routerBoot returns the boot ID of the router of bill i, zero if it is missing.
func (c *CollectResult) routerBoot(i int) BootID {
	if i < len(c.RouterBoots) {
		return c.RouterBoots[i]
	}
	return BootID{}
}

// acceptCollected accepts a collected bill and reports whether the agent can
// delete it at once.
func (h *Holder) acceptCollected(bill Bill, boot BootID, agent string) bool {
	position := bill.Lot.Position()
	l := h.lots[position]
	if l == nil && h.mayBeOpen(position) {
		l = h.addLot(position, Incarnation{Boot: boot}, h.budget(bill.Budget), lotOrphaned)
	}
	if l == nil || l.budget.id != bill.Budget {
		h.counters.LateBills++
		return true
	}
	return h.acceptBill(l, bill, agent)
}

// FinishFence settles the lots of a fenced router. agents are the current
// incarnations of all agents that the router may have used, and lost are the
// incarnations that it may have used and whose ledgers are lost; a current one that
// was declared dead is in both. It fails with ErrNoFence, or with ErrNotCollected
// or ErrStillRunning while a collection is incomplete. What the lots did not use
// becomes free with the next flush, or Lost if an agent's ledger is lost.
func (h *Holder) FinishFence(now time.Time, router Incarnation, agents []Incarnation, lost []LostAgent) error {
	rs := h.routers[router]
	if rs == nil || rs.fence == nil {
		return ErrNoFence
	}
	uncollected, err := uncollectedAgents(agents, lost, func(agent Incarnation) (int, bool) {
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
		h.recordLostRemainder(now, l, uncollected)
		l.budget.awaitingFlush += l.limit - l.billed
		h.closeLot(l)
	}
	rs.fence = nil
	return nil
}

// uncollectedAgents returns the lost agents whose collection is missing or shows
// requests in progress. It fails with ErrNotCollected or ErrStillRunning if that
// is so for an agent that is not lost. collected returns the number of requests in
// progress that an agent reported last, and whether it was collected from.
func uncollectedAgents(agents []Incarnation, lost []LostAgent, collected func(Incarnation) (int, bool)) ([]LostAgent, error) {
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
	var uncollected []LostAgent
	for _, a := range lost {
		if n, ok := collected(a.Agent); !ok || n > 0 {
			uncollected = append(uncollected, a)
		}
	}
	return uncollected, nil
}

// recordLostRemainder counts the unbilled amount of a lot as lost, if one of the
// uncollected agents may have used the lot.
func (h *Holder) recordLostRemainder(now time.Time, l *lotState, uncollected []LostAgent) {
	var names []string
	for _, a := range uncollected {
		if a.LatestUse.IsZero() || l.openedAt.IsZero() || !l.openedAt.After(a.LatestUse) {
			names = append(names, a.Agent.Name)
		}
	}
	remainder := l.limit - l.billed
	if len(names) == 0 || remainder == 0 {
		return
	}
	h.recordLoss(now, l.budget, remainder, l.id.Position(), l.router, names)
	l.setLimit(l.billed)
}

// recordLoss counts an amount as lost and adds a Loss for the next bill block.
func (h *Holder) recordLoss(now time.Time, b *budgetState, amount Tokens, position LotPosition, router Incarnation, agents []string) {
	b.lost += amount
	b.losses = append(b.losses, Loss{Budget: b.id, Amount: amount, Lot: position, Router: router,
		Agents: agents, UnixMilli: now.UnixMilli()})
}

// beginReconcile starts the reconciliation after a takeover, and ends it at once
// if no escrow is unreconciled.
func (h *Holder) beginReconcile(record *AccountRecord) {
	for _, next := range record.Next {
		if next.Epoch < h.epoch {
			h.unreconciledFrom = append(h.unreconciledFrom, next)
		}
	}
	h.reconcile = &reconcileState{running: map[Incarnation][]RunningAttempt{}}
	for _, b := range h.budgets {
		if b.unreconciled > 0 {
			return
		}
	}
	h.endReconcile()
}

// mayBeOpen reports whether a former holder may have granted the lot, which is not
// listed, after its last flush.
func (h *Holder) mayBeOpen(position LotPosition) bool {
	if h.reconcile == nil {
		return false
	}
	for _, first := range h.unreconciledFrom {
		if first.Epoch == position.Epoch {
			return position.Num >= first.Num
		}
	}
	return false
}

// Reconciling reports whether escrow of former epochs is not reconciled yet. The
// caller asks every router for its lots (ApplyRouterLots) and then collects from
// every agent (ApplyCollectResult), raising the epoch that the agent enforces to
// the holder's, until FinishReconcile succeeds.
func (h *Holder) Reconciling() bool { return h.reconcile != nil }

// ApplyRouterLots adopts the lots that a router reported after it learned of this
// epoch, and accepts their bills. Replies may be late or repeated.
func (h *Holder) ApplyRouterLots(now time.Time, router Incarnation, lots []LotReport) {
	if h.deposed || h.sealed {
		return
	}
	rs := h.router(router)
	h.adoptLots(now, router, rs, lots)
	for i := range lots {
		l := h.lots[lots[i].Lot.Position()]
		if l == nil || l.router.Boot != router.Boot || l.phase != lotOpen {
			continue
		}
		for _, bill := range lots[i].Bills {
			h.acceptBill(l, bill, "")
		}
	}
}

// Adopted reports whether the holder has a router's report of its lots of former
// epochs.
func (h *Holder) Adopted(router Incarnation) bool {
	rs := h.routers[router]
	return rs != nil && rs.adopted
}

// FinishReconcile ends the reconciliation. agents are the current incarnations of
// all agents that may have run requests of former epochs, and lost are the
// incarnations that may have run such requests and whose ledgers are lost.
// routersComplete is true if the caller is certain that every router that may have
// had lots has reported them.
//
// It fails with ErrNotCollected or ErrStillRunning while a collection is
// incomplete. The remaining unreconciled escrow becomes free with the next flush,
// or Lost if an agent's ledger is lost and a router has not reported. Lots that
// were not adopted are closed; agents refuse attempts in them, because the holder
// of this epoch has not confirmed them.
func (h *Holder) FinishReconcile(now time.Time, agents []Incarnation, lost []LostAgent, routersComplete bool) error {
	if h.reconcile == nil {
		return nil
	}
	uncollected, err := uncollectedAgents(agents, lost, func(agent Incarnation) (int, bool) {
		running, collected := h.reconcile.running[agent]
		return h.runningInOrphanedLots(running), collected
	})
	if err != nil {
		return err
	}
	var names []string
	for _, a := range uncollected {
		names = append(names, a.Agent.Name)
	}
	for _, l := range h.lots {
		routersComplete = routersComplete && l.phase != lotOrphaned
	}
	for _, b := range h.budgets {
		if len(names) > 0 && !routersComplete && b.unreconciled > 0 {
			h.recordLoss(now, b, b.unreconciled, LotPosition{}, Incarnation{}, names)
			b.unreconciled = 0
		}
	}
	h.freeUnreconciled()
	h.endReconcile()
	return nil
}

// runningInOrphanedLots returns how many of the attempts use lots that are orphaned,
// or are not listed and may be open.
func (h *Holder) runningInOrphanedLots(running []RunningAttempt) int {
	n := 0
	for _, r := range running {
		l := h.lots[r.Lot.Position()]
		if l == nil && h.mayBeOpen(r.Lot.Position()) || l != nil && l.phase == lotOrphaned {
			n++
		}
	}
	return n
}

// endReconcile ends the reconciliation, closes the lots that are still orphaned, and
// deletes the closed lots that were listed only for its duration.
func (h *Holder) endReconcile() {
	h.reconcile, h.unreconciledFrom = nil, nil
	for _, l := range h.lots {
		switch {
		case l.phase == lotOrphaned:
			h.closeLot(l)
		case l.phase == lotClosed && len(l.pending) == 0:
			h.dropLot(l)
		}
	}
}
