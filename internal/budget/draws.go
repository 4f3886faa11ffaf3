package budget

import (
	"fmt"
	"maps"
	"time"
)

// planMoves decides on draws, returns and folds, and builds the new treasury.
func (h *Holder) planMoves(now time.Time, t *Treasury, p *FlushPlan) error {
	next := &Treasury{Shard: t.Shard, Budgets: maps.Clone(t.Budgets)}
	region := h.account.Region
	changed := false
	for id, b := range h.budgets {
		tb := t.Budgets[id]
		if tb == nil && b.drawn == 0 {
			b.retryAt = now.Add(exhaustedRetry)
			continue
		}
		if tb == nil || tb.Drawn[region] != b.drawn {
			h.unresolved = true
			return fmt.Errorf("%w: budget %q, account has %d", ErrDrawnMismatch, id, b.drawn)
		}
		m := h.planMove(now, b, tb)
		if m == (move{}) && !demandMoved(tb.Demand[region], b.demand) {
			continue
		}
		changed = true
		next.Budgets[id] = tb.clone()
		if err := h.applyMove(next, b, m); err != nil {
			return err
		}
		p.moves[id] = m
	}
	removed, err := h.removeLeftovers(t, next)
	if changed || removed {
		p.Treasury = next
	}
	return err
}

// removeLeftovers deletes the region's demand for budgets that are not active
// here, which a former holder has left. It would distort the regions' shares.
func (h *Holder) removeLeftovers(t, next *Treasury) (bool, error) {
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

// demandMoved reports whether a demand changed enough to be worth a write.
func demandMoved(old, now float64) bool {
	return (old == 0) != (now == 0) || now > 2*old || now < old/2
}

// planMove decides on one budget.
func (h *Holder) planMove(now time.Time, b *budgetState, tb *TreasuryBudget) move {
	free := b.free() + b.held
	unmet := b.stillUnmet(now)
	if b.lots == 0 && unmet == 0 && now.Sub(b.lastUse) >= IdleTimeout {
		m := move{back: free}
		if b.unreconciled == 0 && b.thaw == 0 && b.pending == 0 && len(b.losses) == 0 && (b.drawn > 0 || b.listed) {
			m.fold, m.spent, m.lost = true, b.spent, b.lost
		}
		return m
	}
	// A wish that is not met yet counts as demand, so that the first draw of a
	// starting region is its share and not only what the first caller needs.
	draw, excess := h.share(b, tb, max(b.demand, float64(unmet)/demandWindow.Seconds()))
	// A region that another one asks returns its whole excess and not only what
	// was asked, or it would be asked again every second.
	back := b.returnable(now)
	if unmet == 0 {
		back = max(back, min(excess, free))
	}
	if back > 0 {
		return move{back: back}
	}
	left := tb.Unallocated()
	if short := unmet - free; short > draw {
		draw = min(short, left)
	}
	if draw == 0 && unmet > 0 {
		b.retryAt = now.Add(exhaustedRetry)
		// A wish that an earlier draw covers says nothing about what is left.
		if unmet > free {
			b.drawTried = now
		}
	}
	return move{draw: draw}
}

// share is the draw that brings this region to its share, by demand, of the
// balance less the reserve, or the excess over the share. A draw of less than an
// eighth of the share waits, and so does an excess of less than a quarter, so
// that a steady region does not write the treasury each time.
func (h *Holder) share(b *budgetState, tb *TreasuryBudget, own float64) (draw, excess Tokens) {
	if own == 0 {
		return 0, 0
	}
	left := tb.Unallocated()
	has := b.drawn - b.spent - b.lost - b.unreconciled
	balance, demand := left+has, own
	for region, d := range tb.Demand {
		if region != h.account.Region {
			demand += d
		}
	}
	for region, held := range tb.Unspent {
		if region != h.account.Region {
			balance += held
		}
	}
	reserve := h.policy.Reserve(balance)
	target := scale(balance-reserve, own/demand)
	draw = min(target-has, left-reserve)
	switch {
	case has > target+target/4:
		return 0, has - target
	case draw <= 0 || draw < target/8:
		return 0, 0
	}
	return draw, 0
}

// applyMove carries a move out on the new treasury.
func (h *Holder) applyMove(t *Treasury, b *budgetState, m move) error {
	region := h.account.Region
	if err := t.Draw(b.id, region, m.draw); err != nil {
		return err
	}
	if err := t.Return(b.id, region, m.back); err != nil {
		return err
	}
	if m.fold {
		return t.CloseRegion(b.id, region, m.spent, m.lost)
	}
	tb := t.Budgets[b.id]
	if tb.Demand == nil {
		tb.Demand = map[string]float64{}
	}
	if tb.Unspent == nil {
		tb.Unspent = map[string]Tokens{}
	}
	tb.Demand[region] = b.demand
	tb.Unspent[region] = b.drawn + m.draw - m.back - b.spent - b.lost - b.unreconciled
	return nil
}
