package budget

import (
	"slices"
	"strings"
	"time"
)

// Exchange processes a router's exchange and returns the reply. Each exchange
// reports the present state of all lots that the router has of the account, so a
// message may be lost or repeated.
func (h *Holder) Exchange(now time.Time, req ExchangeRequest) ExchangeReply {
	h.ObserveEpoch(req.Epoch)
	reply := ExchangeReply{Epoch: h.highestEpoch, Seq: req.Seq}
	if req.Account != h.account || h.deposed || h.sealed {
		reply.NotHolder = true
		return reply
	}
	rs := h.router(req.Router)
	if req.Seq < rs.seq {
		h.counters.StaleExchanges++
		reply.NotHolder = true
		return reply
	}
	rs.seq = req.Seq
	if rs.fence != nil {
		reply.Fenced = true
		return reply
	}
	h.closeUnreceivedLots(rs, req)
	if req.Epoch >= h.epoch {
		h.adoptLots(now, req.Router, rs, req.Lots)
	}
	reply.Lots = make([]LotGrant, 0, len(req.Lots))
	for i := range req.Lots {
		if grant, ok := h.processReport(now, rs, &req, &req.Lots[i]); ok {
			reply.Lots = append(reply.Lots, grant)
		}
	}
	return reply
}

// closeUnreceivedLots closes lots whose grant the router never received. The
// router reports all lots that it has and ignores replies to earlier exchanges,
// so a lot that it has never reported stays unknown to it. A request for a new lot
// of the same budget keeps the lot, because processLotRequest grants it again.
func (h *Holder) closeUnreceivedLots(rs *routerState, req ExchangeRequest) {
	if len(rs.lots) == 0 {
		return
	}
	for position, l := range rs.lots {
		if l.phase != lotOpen || l.knownToRouter {
			continue
		}
		listed := false
		for i := range req.Lots {
			r := &req.Lots[i]
			listed = listed || r.Lot.Position() == position || r.Lot.IsZero() && r.Budget == l.budget.id
		}
		if !listed {
			h.closeLot(l)
		}
	}
}

// adoptLots opens the lots of former epochs that a router reports after it has
// learned of this epoch. From then on the router ignores all replies of former
// holders, so its first report is complete and final.
func (h *Holder) adoptLots(now time.Time, router Incarnation, rs *routerState, lots []LotReport) {
	if h.reconcile == nil || rs.adopted {
		return
	}
	rs.adopted = true
	for i := range lots {
		r := &lots[i]
		position := r.Lot.Position()
		l := h.lots[position]
		// A lot that the account record does not list has no durable bills, unless
		// it is closed.
		if l == nil && h.mayBeOpen(position) && !r.Close && r.Billed == 0 {
			l = h.addLot(position, router, h.budget(r.Budget), lotOrphaned)
		}
		if l == nil || l.phase != lotOrphaned || l.closedByPredecessor {
			continue
		}
		if l.budget.id != r.Budget || l.router.Boot != router.Boot && l.router.Boot != (BootID{}) {
			h.recordViolation(invariantErrorf("holder", r.Budget, "lot %s of another router or budget is reported by %s", position, router))
			continue
		}
		h.reassignRouter(l, router)
		limit := max(r.Limit, l.billed)
		if excess := limit - l.billed - l.budget.unreconciled; excess > 0 {
			h.recordViolation(invariantErrorf("holder", r.Budget, "lot %s is %d tokens over the unreconciled escrow", position, excess))
			limit -= excess
		}
		h.openOrphaned(l, limit, true)
		l.budget.lastUse = now
	}
}

// reassignRouter sets the router of a lot. If the lot was added for an agent's bill,
// only the boot ID of its router was known before.
func (h *Holder) reassignRouter(l *lotState, router Incarnation) {
	delete(h.router(l.router).lots, l.id.Position())
	l.router = router
	h.router(router).lots[l.id.Position()] = l
}

// processReport processes the report about one lot. It returns false if the reply
// must not mention the lot yet, because it is of a former epoch and not adopted.
func (h *Holder) processReport(now time.Time, rs *routerState, req *ExchangeRequest, r *LotReport) (LotGrant, bool) {
	if r.Lot.IsZero() {
		return h.processLotRequest(now, rs, req, r), true
	}
	l := h.lots[r.Lot.Position()]
	grant := LotGrant{Lot: r.Lot, Budget: r.Budget}
	switch {
	case l == nil && req.Epoch < h.epoch && r.Lot.Epoch < h.epoch:
		return grant, false
	case l != nil && l.phase == lotOrphaned:
		return grant, false
	case l == nil:
		h.counters.LateBills += int64(len(r.Bills))
		grant.Closed = true
		return grant, true
	case l.router.Boot != req.Router.Boot || l.budget.id != r.Budget:
		h.recordViolation(invariantErrorf("holder", r.Budget, "lot %s of another router or budget is reported by %s", r.Lot.Position(), req.Router))
		grant.Closed = true
		return grant, true
	}
	l.knownToRouter = true
	for _, bill := range r.Bills {
		h.acceptBill(l, bill, "")
	}
	if l.phase == lotClosed {
		grant.Closed = true
		return grant, true
	}
	for _, slot := range r.Unused {
		l.markUnused(slot)
	}
	h.recordUse(now, l, r)
	if r.Release && r.ReducedLimit < l.limit {
		l.setLimit(max(r.ReducedLimit, l.billed))
	}
	if r.Close && len(l.pending) == 0 {
		h.closeLot(l)
		grant.Closed = true
		return grant, true
	}
	h.raiseLimit(now, l, r, &grant)
	h.completeGrant(now, l, r, &grant)
	return grant, true
}

// processLotRequest processes a request for a new lot. If the router has not
// reported the lot of an earlier grant, it grants that lot again.
func (h *Holder) processLotRequest(now time.Time, rs *routerState, req *ExchangeRequest, r *LotReport) LotGrant {
	grant := LotGrant{Budget: r.Budget}
	var l *lotState
	for _, candidate := range rs.lots {
		if candidate.phase == lotOpen && candidate.budget.id == r.Budget && !candidate.knownToRouter {
			l = candidate
		}
	}
	if reason := h.missingBudgetReason(now, r.Budget); l == nil && reason != ShortfallNone {
		grant.Shortfall = reason
		if reason == ShortfallPending {
			h.needTreasury = true
		}
		if reason == ShortfallPending && r.RequestedLimit > 0 {
			h.recordUnmet(now, h.budget(r.Budget), r.RequestedLimit)
		}
		return grant
	}
	grant.KeyHashes = h.keyHashes(r.Budget)
	if r.RequestedLimit <= 0 {
		return grant
	}
	b := h.budget(r.Budget)
	if l == nil && b.free() > 0 {
		l = h.addLot(LotPosition{Epoch: h.epoch, Num: h.nextLot}, req.Router, b, lotOpen)
		l.openedAt = now
		h.nextLot++
	}
	if l == nil {
		h.recordUnmet(now, b, r.RequestedLimit)
		grant.Shortfall = h.shortfallReason(now, b, nil, r.RequestedLimit)
		return grant
	}
	h.recordUse(now, l, r)
	h.raiseLimit(now, l, r, &grant)
	h.completeGrant(now, l, r, &grant)
	return grant
}

// recordUse updates the demand and the reserved amount of a lot from a report.
func (h *Holder) recordUse(now time.Time, l *lotState, r *LotReport) {
	b := l.budget
	demand := max(0, r.DemandPerSecond)
	b.demand = max(0, b.demand+demand-l.demand)
	l.demand, l.reserved = demand, r.Reserved
	b.lastUse = now
}

// raiseLimit raises a lot's limit to the requested one, as far as the free escrow
// allows. It sets grant.Shortfall if that is not enough.
func (h *Holder) raiseLimit(now time.Time, l *lotState, r *LotReport, grant *LotGrant) {
	b := l.budget
	need := r.RequestedLimit - l.limit
	if need <= 0 {
		return
	}
	granted := min(need, max(0, b.free()))
	l.setLimit(l.limit + granted)
	if granted < need {
		h.recordUnmet(now, b, need-granted)
		grant.Shortfall = h.shortfallReason(now, b, l, need-granted)
	}
}

// completeGrant fills in the reply about an open lot.
func (h *Holder) completeGrant(now time.Time, l *lotState, r *LotReport, grant *LotGrant) {
	grant.Lot, grant.Limit = l.id, l.limit
	for i := range r.Bills {
		grant.Durable = l.appendDurable(grant.Durable, r.Bills[i].Slot)
	}
	for _, slot := range r.Pending {
		grant.Durable = l.appendDurable(grant.Durable, slot)
	}
	grant.Recall = now.Before(l.budget.recallUntil) && grant.Shortfall == ShortfallNone
	grant.KeyHashes = h.keyHashes(r.Budget)
}

// appendDurable appends slot to the list if its bill is durable.
func (l *lotState) appendDurable(to []Slot, slot Slot) []Slot {
	if l.durableSlots.Contains(slot) {
		return append(to, slot)
	}
	return to
}

// recordUnmet records that amount of a request could not be granted, which recalls
// the lots of the budget and makes the next flush urgent.
func (h *Holder) recordUnmet(now time.Time, b *budgetState, amount Tokens) {
	if now.Sub(b.unmetAt) > recallDuration {
		b.unmet = 0
	}
	if amount > b.free()+b.pendingReturns && b.drawn > 0 && b.emptyDrawAt.IsZero() {
		b.retryAt = time.Time{} // a draw may still succeed
	}
	b.unmet = max(b.unmet, amount)
	b.unmetAt, b.lastUse = now, now
	b.recallUntil = now.Add(recallDuration)
}

// recentUnmet returns the largest amount of recent requests that was not granted.
func (b *budgetState) recentUnmet(now time.Time) Tokens {
	if b.unmet == 0 || now.Sub(b.unmetAt) > recallDuration {
		return 0
	}
	return b.unmet
}

// keyHashes returns the key hashes of a budget in the observed treasury.
func (h *Holder) keyHashes(id ID) [][]byte {
	if h.treasury == nil || h.treasury.Budgets[id] == nil {
		return nil
	}
	return h.treasury.Budgets[id].KeyHashes
}

// missingBudgetReason returns why nothing can be granted for a budget that is not in
// the observed treasury. It returns ShortfallNone if the budget is in the treasury
// or has escrow here.
func (h *Holder) missingBudgetReason(now time.Time, id ID) ShortfallReason {
	switch {
	case h.budgets[id] != nil && h.budgets[id].drawn > 0:
		return ShortfallNone
	case h.treasury == nil && h.flushFailing:
		return ShortfallUnreachable
	case h.treasury == nil:
		return ShortfallPending
	case h.treasury.Budgets[id] != nil:
		return ShortfallNone
	case now.Sub(h.treasuryAt) < exhaustedRetryDelay:
		return ShortfallNoBudget
	case h.flushFailing:
		return ShortfallUnreachable
	}
	return ShortfallPending
}

// shortfallReason returns why need more tokens cannot be granted now. ownLot is
// the lot of the request, nil for a new one.
func (h *Holder) shortfallReason(now time.Time, b *budgetState, ownLot *lotState, need Tokens) ShortfallReason {
	if b.unreconciled > 0 || b.awaitingFlush > 0 || h.hasFencedLots(b) || h.unresolved || h.flushFailing {
		return ShortfallUnreachable
	}
	if b.emptyDrawAt.IsZero() || now.Sub(b.emptyDrawAt) > exhaustedRetryDelay {
		return ShortfallPending
	}
	unreachable := false
	if tb := h.treasury.budget(b.id); tb != nil {
		for region, drawn := range tb.Drawn {
			if region == h.account.Region || drawn == 0 {
				continue
			}
			reply, requested := b.returnReplies[region]
			switch {
			case !requested || now.Sub(reply.at) > exhaustedRetryDelay || reply.returned > 0:
				return ShortfallPending
			case !reply.reachable:
				unreachable = true
			}
		}
	}
	if unreachable {
		return ShortfallUnreachable
	}
	recallable, reserved := b.unbilledInLots(h, ownLot)
	switch {
	case b.free()+recallable >= need:
		return ShortfallPending
	case b.free()+recallable+reserved >= need:
		return ShortfallReserved
	}
	return ShortfallExhausted
}

// unbilledInLots returns the unbilled amounts of open lots: recallable is what no
// request has reserved in lots other than ownLot; reserved is what requests in
// progress have reserved in all lots, part of which they may leave unused.
func (b *budgetState) unbilledInLots(h *Holder, ownLot *lotState) (recallable, reserved Tokens) {
	for _, l := range h.lots {
		if l.budget != b || l.phase != lotOpen {
			continue
		}
		remaining := l.limit - l.billed
		inUse := min(l.reserved, remaining)
		reserved += inUse
		if l != ownLot {
			recallable += remaining - inUse
		}
	}
	return recallable, reserved
}

// budget returns the entry of id, nil if there is none or t is nil.
func (t *Treasury) budget(id ID) *TreasuryBudget {
	if t == nil {
		return nil
	}
	return t.Budgets[id]
}

// hasFencedLots reports whether a router that is being fenced has a lot of b.
func (h *Holder) hasFencedLots(b *budgetState) bool {
	for router, rs := range h.routers {
		if rs.fence == nil {
			continue
		}
		for _, l := range h.routers[router].lots {
			if l.budget == b {
				return true
			}
		}
	}
	return false
}

// RecallTargets returns the routers that have an open lot of the budget with an
// amount that is neither billed nor reserved. The caller asks them to exchange at
// once.
func (h *Holder) RecallTargets(id ID) []Incarnation {
	var out []Incarnation
	b := h.budgets[id]
	if b == nil || b.openLimits == 0 {
		return nil
	}
	for _, l := range h.lots {
		if l.budget == b && l.hasRecallable() {
			out = append(out, l.router)
		}
	}
	return out
}

// hasRecallable reports whether the lot is open and has an amount that is neither
// billed nor reserved.
func (l *lotState) hasRecallable() bool { return l.phase == lotOpen && l.limit-l.billed > l.reserved }

// UnmetRequest is a request for a limit that the region's escrow could not meet.
type UnmetRequest struct {
	Budget ID
	// Amount is the largest part of a recent request that was not granted.
	Amount Tokens
	// Regions holds the other regions that have drawn on the budget and have no
	// recent reply to a request for a return.
	Regions []string
	// Routers holds the region's routers to recall lots from (see RecallTargets).
	Routers []Incarnation
}

// UnmetRequests returns the recent requests that could not be met, one per budget
// and ordered by budget. The caller requests returns from the regions
// (HandleReturnRequest of their holders) and asks the routers to exchange at once.
func (h *Holder) UnmetRequests(now time.Time) []UnmetRequest {
	var out []UnmetRequest
	for id, b := range h.budgets {
		amount := b.recentUnmet(now)
		if amount == 0 {
			continue
		}
		u := UnmetRequest{Budget: id, Amount: amount, Routers: h.RecallTargets(id)}
		if tb := h.treasury.budget(id); tb != nil {
			for region, drawn := range tb.Drawn {
				if region != h.account.Region && drawn > 0 && now.Sub(b.returnReplies[region].at) > UrgentFlushInterval {
					u.Regions = append(u.Regions, region)
				}
			}
		}
		slices.Sort(u.Regions)
		out = append(out, u)
	}
	slices.SortFunc(out, func(a, b UnmetRequest) int { return strings.Compare(string(a.Budget), string(b.Budget)) })
	return out
}

// HandleReturnReply records the reply of another region's holder to a request for
// a return. reachable is false if there was no reply.
func (h *Holder) HandleReturnReply(now time.Time, id ID, region string, reachable bool, returned Tokens) {
	b := h.budgets[id]
	if b == nil {
		return
	}
	if b.returnReplies == nil {
		b.returnReplies = map[string]returnReply{}
	}
	b.returnReplies[region] = returnReply{at: now, reachable: reachable, returned: returned}
	if returned > 0 {
		b.retryAt = now
	}
}

// HandleReturnRequest processes another region's request for amount of a budget. It
// returns how much the next flush, which is urgent, will return at least, and
// recalls the budget's lots if that is less than amount.
func (h *Holder) HandleReturnRequest(now time.Time, id ID, amount Tokens) Tokens {
	b := h.budgets[id]
	if b == nil || h.deposed || h.sealed || amount <= 0 {
		return 0
	}
	if now.Sub(b.returnRequestedAt) > returnRequestTTL {
		b.requestedReturn = 0
	}
	b.requestedReturn = max(b.requestedReturn, amount)
	b.returnRequestedAt = now
	returned := b.returnable(now)
	if returned < amount && b.openLimits > 0 {
		b.recallUntil = now.Add(recallDuration)
	}
	return returned
}

// returnable returns what an active region returns now for another one's request:
// at most its free escrow beyond returnKeepSeconds of its own demand.
func (b *budgetState) returnable(now time.Time) Tokens {
	if b.requestedReturn == 0 || now.Sub(b.returnRequestedAt) > returnRequestTTL || b.recentUnmet(now) > 0 {
		return 0
	}
	kept := scale(1, b.demand*returnKeepSeconds)
	return max(0, min(b.requestedReturn, b.free()+b.pendingReturns-kept))
}
