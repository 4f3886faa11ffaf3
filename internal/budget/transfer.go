package budget

import (
	"fmt"
	"maps"
	"time"
)

// planTransfers decides on draws, returns and the removal of region entries, and
// builds the new treasury.
func (h *Holder) planTransfers(now time.Time, t *Treasury, p *FlushPlan) error {
	updated := &Treasury{Shard: t.Shard, Budgets: maps.Clone(t.Budgets)}
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
		updated.Budgets[id] = tb.clone()
		if err := h.applyTransfer(updated, b, tr); err != nil {
			return err
		}
		p.transfers[id] = tr
	}
	removed, err := h.removeStaleEntries(t, updated)
	if changed || removed {
		p.Treasury = updated
	}
	return err
}

// removeStaleEntries removes the region's entries of budgets that are not active
// here. A former holder has left them, and their demand would distort the regions'
// shares. It fails with ErrDrawnMismatch if an entry has escrow.
func (h *Holder) removeStaleEntries(t, updated *Treasury) (bool, error) {
	region := h.account.Region
	removed := false
	for id, tb := range t.Budgets {
		drawn, inTreasury := tb.Drawn[region]
		if _, active := h.budgets[id]; active || !inTreasury && tb.Demand[region] == 0 {
			continue
		}
		if drawn != 0 {
			h.unresolved = true
			return false, fmt.Errorf("%w: budget %q, treasury has %d", ErrDrawnMismatch, id, drawn)
		}
		updated.Budgets[id] = tb.clone()
		if err := updated.CloseRegion(id, region, 0, 0); err != nil {
			return false, err
		}
		removed = true
	}
	return removed, nil
}

// demandChanged reports whether a demand changed enough to be written: by a factor
// of more than 2, or from or to 0.
func demandChanged(previous, current float64) bool {
	return (previous == 0) != (current == 0) || current > 2*previous || current < previous/2
}

// planTransfer decides on the draw or the return for one budget, and on the removal
// of the region's entry.
func (h *Holder) planTransfer(now time.Time, b *budgetState, tb *TreasuryBudget) transfer {
	// The plan may return the amounts of pending returns again, because at most one
	// of the flushes takes effect.
	free := b.free() + b.pendingReturns
	unmet := b.recentUnmet(now)
	if b.lotCount == 0 && unmet == 0 && now.Sub(b.lastUse) >= IdleTimeout {
		tr := transfer{returned: free}
		if b.unreconciled == 0 && b.awaitingFlush == 0 && b.pendingBills == 0 && len(b.losses) == 0 && (b.drawn > 0 || b.inTreasury) {
			tr.closeRegion, tr.spent, tr.lost = true, b.spent, b.lost
		}
		return tr
	}
	// An unmet request counts as demand, so that the first draw of a region is its
	// share and not only what the first caller needs.
	draw, excess := h.share(b, tb, max(b.demand, float64(unmet)/demandWindow.Seconds()))
	// A region returns its whole excess and not only the requested amount, because
	// it would otherwise be asked again every second.
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
		// A request that an earlier draw covers does not show that nothing is left
		// to draw.
		if unmet > free {
			b.emptyDrawAt = now
		}
	}
	return transfer{drawn: draw}
}

// share returns the draw that brings this region to its share of the balance, or
// its excess over the share. The share is in proportion to demand, of the balance
// less MinUnallocated. A draw of less than an eighth of the share and an excess of
// less than a quarter count as 0, so that a region with steady demand does not
// write the treasury with each flush.
func (h *Holder) share(b *budgetState, tb *TreasuryBudget, ownDemand float64) (draw, excess Tokens) {
	if ownDemand == 0 {
		return 0, 0
	}
	unallocated := tb.Unallocated()
	ownUnspent := b.drawn - b.spent - b.lost - b.unreconciled
	balance, demand := unallocated+ownUnspent, ownDemand
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
	minUnallocated := h.policy.MinUnallocated(balance)
	target := scale(balance-minUnallocated, ownDemand/demand)
	draw = min(target-ownUnspent, unallocated-minUnallocated)
	switch {
	case ownUnspent > target+target/4:
		return 0, ownUnspent - target
	case draw <= 0 || draw < target/8:
		return 0, 0
	}
	return draw, 0
}

// applyTransfer applies a transfer to the new treasury.
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
