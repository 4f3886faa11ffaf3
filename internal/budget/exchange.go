package budget

import (
	"slices"
	"strings"
	"time"
)

// Exchange answers a router's report. Reports are cumulative and list all lots
// that the router has of the account, so a lost or repeated message does no
// harm.
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

// closeUnreceivedLots closes lots whose grant the router never received. It
// reports all lots that it has, and ignores answers to earlier exchanges, so a
// lot that it never named is unknown to it for good.
func (h *Holder) closeUnreceivedLots(rs *routerState, req ExchangeRequest) {
	if len(rs.lots) == 0 {
		return
	}
	for position, l := range rs.lots {
		if l.phase != lotOpen || l.reported {
			continue
		}
		known := false
		for i := range req.Lots {
			r := &req.Lots[i]
			known = known || r.Lot.Position() == position || r.Lot.IsZero() && r.Budget == l.budget.id
		}
		if !known {
			h.closeLot(l)
		}
	}
}

// adoptLots takes over the lots of former epochs that a router reports after it has
// adopted this epoch. It ignores all answers of former holders from then on, so
// its first report is complete and final.
func (h *Holder) adoptLots(now time.Time, router Incarnation, rs *routerState, lots []LotReport) {
	if h.reconcile == nil || rs.adopted {
		return
	}
	rs.adopted = true
	for i := range lots {
		r := &lots[i]
		position := r.Lot.Position()
		l := h.lots[position]
		// A lot that is not listed has no durable bills, unless it is closed.
		if l == nil && h.mayBeOpen(position) && !r.Close && r.Billed == 0 {
			l = h.addLot(position, router, h.budget(r.Budget), lotOrphaned)
		}
		if l == nil || l.phase != lotOrphaned || l.settledByPredecessor {
			continue
		}
		if l.budget.id != r.Budget || l.router.Boot != router.Boot && l.router.Boot != (BootID{}) {
			h.recordViolation(invariantErrorf("holder", r.Budget, "lot %s is reported by %s", position, router))
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

// reassignRouter corrects the router of a lot that is known from an agent's bill, which
// has only the boot.
func (h *Holder) reassignRouter(l *lotState, router Incarnation) {
	delete(h.router(l.router).lots, l.id.Position())
	l.router = router
	h.router(router).lots[l.id.Position()] = l
}

// processReport processes one report. It returns false if the lot cannot be judged
// before the router has adopted this epoch.
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
		h.recordViolation(invariantErrorf("holder", r.Budget, "lot %s is reported by %s", r.Lot.Position(), req.Router))
		grant.Closed = true
		return grant, true
	}
	l.reported = true
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

// processLotRequest processes the request for a lot that the router does not know.
func (h *Holder) processLotRequest(now time.Time, rs *routerState, req *ExchangeRequest, r *LotReport) LotGrant {
	grant := LotGrant{Budget: r.Budget}
	var l *lotState
	for _, known := range rs.lots {
		if known.phase == lotOpen && known.budget.id == r.Budget && !known.reported {
			l = known
		}
	}
	if reason := h.unlistedReason(now, r.Budget); l == nil && reason != ShortfallNone {
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
		l.opened = now
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

// recordUse takes over what a report says about the use of a lot.
func (h *Holder) recordUse(now time.Time, l *lotState, r *LotReport) {
	b := l.budget
	demand := max(0, r.DemandPerSecond)
	b.demand = max(0, b.demand+demand-l.demand)
	l.demand, l.reserved = demand, r.Reserved
	b.lastUse = now
}

// raiseLimit raises a lot's limit towards the wanted one.
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

// completeGrant completes the answer about an open lot.
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

func (l *lotState) appendDurable(to []Slot, slot Slot) []Slot {
	if l.durable.Contains(slot) {
		return append(to, slot)
	}
	return to
}

// recordUnmet records that a wish could not be met: lots of the budget are
// recalled and the next flush is urgent.
func (h *Holder) recordUnmet(now time.Time, b *budgetState, amount Tokens) {
	if now.Sub(b.unmetAt) > recallDuration {
		b.unmet = 0
	}
	if amount > b.free()+b.pendingReturns && b.drawn > 0 && b.emptyDrawAt.IsZero() {
		b.retryAt = time.Time{} // no draw has found nothing so far
	}
	b.unmet = max(b.unmet, amount)
	b.unmetAt, b.lastUse = now, now
	b.recallUntil = now.Add(recallDuration)
}

// recentUnmet returns the amount of recent unmet wishes.
func (b *budgetState) recentUnmet(now time.Time) Tokens {
	if b.unmet == 0 || now.Sub(b.unmetAt) > recallDuration {
		return 0
	}
	return b.unmet
}

// keyHashes returns the key hashes of a budget in the treasury last observed.
func (h *Holder) keyHashes(id ID) [][]byte {
	if h.treasury == nil || h.treasury.Budgets[id] == nil {
		return nil
	}
	return h.treasury.Budgets[id].KeyHashes
}

// unlistedReason says why nothing can be granted for a budget that the treasury
// last observed does not list.
func (h *Holder) unlistedReason(now time.Time, id ID) ShortfallReason {
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

// shortfallReason says why a wish for need more tokens in the lot own, nil for a new lot,
// cannot be met now.
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
	unused, reserved := b.unspentInLots(h, ownLot)
	switch {
	case b.free()+unused >= need:
		return ShortfallPending
	case b.free()+unused+reserved >= need:
		return ShortfallReserved
	}
	return ShortfallExhausted
}

// unspentInLots returns what the lots of b but one have left: what no request has
// reserved, which can be recalled, and what requests in progress may not need.
func (b *budgetState) unspentInLots(h *Holder, ownLot *lotState) (unused, reserved Tokens) {
	for _, l := range h.lots {
		if l.budget != b || l.phase != lotOpen {
			continue
		}
		remaining := l.limit - l.billed
		inUse := min(l.reserved, remaining)
		reserved += inUse
		if l != ownLot {
			unused += remaining - inUse
		}
	}
	return unused, reserved
}

// budget returns an entry, or nil; t may be nil.
func (t *Treasury) budget(id ID) *TreasuryBudget {
	if t == nil {
		return nil
	}
	return t.Budgets[id]
}

// hasFencedLots reports whether a lot of b belongs to a router being fenced.
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

// RecallTargets returns the routers that hold more of a budget than they have
// reserved, so that the caller can ask them to exchange at once.
func (h *Holder) RecallTargets(id ID) []Incarnation {
	var out []Incarnation
	b := h.budgets[id]
	if b == nil || b.openLimits == 0 {
		return nil
	}
	for _, l := range h.lots {
		if l.budget == b && l.hasUnused() {
			out = append(out, l.router)
		}
	}
	return out
}

// hasUnused reports whether the lot's router holds more than it has reserved.
func (l *lotState) hasUnused() bool { return l.phase == lotOpen && l.limit-l.billed > l.reserved }

// UnmetRequest is a wish that the region's escrow could not meet.
type UnmetRequest struct {
	Budget ID
	Amount Tokens
	// Regions are the other regions that have drawn on the budget and have not
	// answered a request for a return lately.
	Regions []string
	// Routers hold unused lots in this region.
	Routers []Incarnation
}

// UnmetRequests lists the wishes of the last 2 s that could not be met. The caller asks
// the regions with Holder.Return and the routers to exchange at once.
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

// HandleReturnReply records what another region's holder answered to a request for
// a return; reachable is false if it did not answer.
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

// HandleReturnRequest is another region's wish for amount of a budget. It returns how
// much the next flush will return, which is at once, and recalls unused lots if
// that is less.
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

// returnable is what an active region gives back when another one asks.
func (b *budgetState) returnable(now time.Time) Tokens {
	if b.requestedReturn == 0 || now.Sub(b.returnRequestedAt) > returnRequestTTL || b.recentUnmet(now) > 0 {
		return 0
	}
	kept := scale(1, b.demand*returnKeepSeconds)
	return max(0, min(b.requestedReturn, b.free()+b.pendingReturns-kept))
}
