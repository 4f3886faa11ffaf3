package budget

import "time"

// Forecast is what is left of a budget and how fast it is used, as its holder in
// one region knows it. Amounts of other regions are as of their last flush.
type Forecast struct {
	Budget ID
	// Remaining is what can still be spent, wherever it is.
	Remaining Tokens
	// DemandPerSecond is the use in all regions, in tokens/s.
	DemandPerSecond float64
	// Unmet is set if a recent wish of this region could not be met.
	Unmet bool
}

// Forecasts returns a forecast for each budget that is in use now.
func (h *Holder) Forecasts(now time.Time) []Forecast {
	inLots := map[*budgetState]Tokens{}
	for _, l := range h.lots {
		if l.phase == lotOpen {
			inLots[l.budget] += l.limit - l.billed
		}
	}
	var out []Forecast
	for id, b := range h.budgets {
		unmet := b.recentUnmet(now) > 0
		if b.demand <= 0 && !unmet {
			continue
		}
		f := Forecast{Budget: id, DemandPerSecond: b.demand, Unmet: unmet}
		own := b.free() + b.awaitingFlush + b.pendingReturns + inLots[b]
		f.Remaining = own
		if tb := h.treasury.budget(id); tb != nil {
			f.Remaining = h.remainingElsewhere(tb) - (b.drawn - own)
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

// remainingElsewhere returns what the other regions have not used, this region's draws
// included. The treasury was observed before this holder's latest draws, so its
// own entry is not looked at.
func (h *Holder) remainingElsewhere(tb *TreasuryBudget) Tokens {
	remaining := tb.Paid - tb.Settled - tb.Lost
	for region, drawn := range tb.Drawn {
		if region != h.account.Region {
			remaining -= drawn - tb.Unspent[region]
		}
	}
	return remaining
}
