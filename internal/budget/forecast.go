package budget

import "time"

// Forecast is the remaining balance of a budget and the rate of its use, as known
// to the holder in one region. Amounts of other regions are as of their last write
// to the treasury.
type Forecast struct {
	Budget ID
	// Remaining is what can still be spent in all regions together.
	Remaining Tokens
	// DemandPerSecond is the use in all regions, in tokens/s.
	DemandPerSecond float64
	// Unmet is true if a recent request for a limit in this region could not be
	// met.
	Unmet bool
}

// Forecasts returns a forecast for each budget with demand or an unmet request.
func (h *Holder) Forecasts(now time.Time) []Forecast {
	unbilled := map[*budgetState]Tokens{}
	for _, l := range h.lots {
		if l.phase == lotOpen {
			unbilled[l.budget] += l.limit - l.billed
		}
	}
	var out []Forecast
	for id, b := range h.budgets {
		unmet := b.recentUnmet(now) > 0
		if b.demand <= 0 && !unmet {
			continue
		}
		f := Forecast{Budget: id, DemandPerSecond: b.demand, Unmet: unmet}
		ownRemaining := b.free() + b.awaitingFlush + b.pendingReturns + unbilled[b]
		f.Remaining = ownRemaining
		if tb := h.treasury.budget(id); tb != nil {
			f.Remaining = h.remainingBeforeOwnUse(tb) - (b.drawn - ownRemaining)
			for region, demand := range tb.Demand {
				if region != h.account.Region {
					f.DemandPerSecond += demand
				}
			}
		}
		out = append(out, f)
	}
	return out
}

// remainingBeforeOwnUse returns the sum of the unallocated balance, the unspent
// escrow of the other regions, and all that this region has drawn. It does not read
// this region's entry, which can be older than the latest draws.
func (h *Holder) remainingBeforeOwnUse(tb *TreasuryBudget) Tokens {
	remaining := tb.Paid - tb.ClosedSpent - tb.ClosedLost
	for region, drawn := range tb.Drawn {
		if region != h.account.Region {
			remaining -= drawn - tb.Unspent[region]
		}
	}
	return remaining
}
