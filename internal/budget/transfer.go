package budget

import (
	"fmt"
	"maps"
	"time"
)

// planTransfers decides on draws, returns and folds, and builds the new treasury.
func (h *Holder) planTransfers(now time.Time, t *Treasury, p *FlushPlan) error {
	next := &Treasury{Shard: t.Shard, Budgets: maps.Clone(t.Budgets)}
	region := h.account.Region
	changed := false
	for id, b := range h.budgets {
		tb := t.Budgets[id]
		if tb == nil && b.drawn == 0 {
			b.retryAt = now.Add(exhaustedRetryDelay)
			continue
		}
		if tb == nil || tb.Drawn[region] != b.drawn {
			h.unresolved = true
			return fmt.Errorf("%w: budget %q, account has %d", ErrDrawnMismatch, id, b.drawn)
		}
		tr := h.planTransfer(now, b, tb)
		if tr == (transfer{}) && !demandChanged(tb.Demand[region], b.demand) {
			continue
		}
		changed = true
		next.Budgets[id] = tb.clone()
		if err := h.applyTransfer(next, b, tr); err != nil {
			return err
		}
		p.transfers[id] = tr
	}
	removed, err := h.removeStaleDemand(t, next)
	if changed || removed {
		p.Treasury = next
	}
	return err
}

// removeStaleDemand deletes the region's demand for budgets that are not active
// here, which a former holder has left. It would distort the regions' shares.
func (h *Holder) removeStaleDemand(t, next *Treasury) (bool, error) {
	region := h.account.Region
	removed := false
	for id, tb := range t.Budgets {
		drawn, listed := tb.Drawn[region]
		if _, active := h.budgets[id]; active || !listed && tb.Demand[region] == 0 {
			continue
		}
		if drawn != 0 {
			h.unresolved = true
			return false, fmt.Errorf("%w: budget %q, treasury has %d", ErrDrawnMismatch, id, drawn)
		}
		next.Budgets[id] = tb.clone()
		if err := next.CloseRegion(id, region, 0, 0); err != nil {
			return false, err
		}
		removed = true
	}
	return removed, nil
}

// demandChanged reports whether a demand changed enough to be worth a write.
func demandChanged(old, now float64) bool {
	return (old == 0) != (now == 0) || now > 2*old || now < old/2
}

// planTransfer decides on one budget.
func (h *Holder) planTransfer(now time.Time, b *budgetState, tb *TreasuryBudget) transfer {
	free := b.free() + b.pendingReturns
	unmet := b.recentUnmet(now)
	if b.lots == 0 && unmet == 0 && now.Sub(b.lastUse) >= IdleTimeout {
		tr := transfer{returned: free}
		if b.unreconciled == 0 && b.awaitingFlush == 0 && b.pending == 0 && len(b.losses) == 0 && (b.drawn > 0 || b.inTreasury) {
			tr.closeRegion, tr.spent, tr.lost = true, b.spent, b.lost
		}
		return tr
	}
	// A wish that is not met yet counts as demand, so that the first draw of a
	// starting region is its share and not only what the first caller needs.
	draw, excess := h.share(b, tb, max(b.demand, float64(unmet)/demandWindow.Seconds()))
	// A region that another one asks returns its whole excess and not only what
	// was asked, or it would be asked again every second.
	returned := b.returnable(now)
	if unmet == 0 {
		returned = max(returned, min(excess, free))
	}
	if returned > 0 {
		return transfer{returned: returned}
	}
	unallocated := tb.Unallocated()
	if shortfall := unmet - free; shortfall > draw {
		draw = min(shortfall, unallocated)
	}
	if draw == 0 && unmet > 0 {
		b.retryAt = now.Add(exhaustedRetryDelay)
		// A wish that an earlier draw covers says nothing about what is left.
		if unmet > free {
			b.emptyDrawAt = now
		}
	}
	return transfer{drawn: draw}
}

// share is the draw that brings this region to its share, by demand, of the
// balance less the reserve, or the excess over the share. A draw of less than an
// eighth of the share waits, and so does an excess of less than a quarter, so
// that a steady region does not write the treasury each time.
func (h *Holder) share(b *budgetState, tb *TreasuryBudget, ownDemand float64) (draw, excess Tokens) {
	if ownDemand == 0 {
		return 0, 0
	}
	unallocated := tb.Unallocated()
	escrow := b.drawn - b.spent - b.lost - b.unreconciled
	balance, demand := unallocated+escrow, ownDemand
	for region, d := range tb.Demand {
		if region != h.account.Region {
			demand += d
		}
	}
	for region, unspent := range tb.Unspent {
		if region != h.account.Region {
			balance += unspent
		}
	}
	reserve := h.policy.Reserve(balance)
	target := scale(balance-reserve, ownDemand/demand)
	draw = min(target-escrow, unallocated-reserve)
	switch {
	case escrow > target+target/4:
		return 0, escrow - target
	case draw <= 0 || draw < target/8:
		return 0, 0
	}
	return draw, 0
}

// applyTransfer carries a move out on the new treasury.
func (h *Holder) applyTransfer(t *Treasury, b *budgetState, tr transfer) error {
	region := h.account.Region
	if err := t.Draw(b.id, region, tr.drawn); err != nil {
		return err
	}
	if err := t.Return(b.id, region, tr.returned); err != nil {
		return err
	}
	if tr.closeRegion {
		return t.CloseRegion(b.id, region, tr.spent, tr.lost)
	}
	tb := t.Budgets[b.id]
	if tb.Demand == nil {
		tb.Demand = map[string]float64{}
	}
	if tb.Unspent == nil {
		tb.Unspent = map[string]Tokens{}
	}
	tb.Demand[region] = b.demand
	tb.Unspent[region] = b.drawn + tr.drawn - tr.returned - b.spent - b.lost - b.unreconciled
	return nil
}
