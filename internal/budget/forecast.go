package budget

import "time"

// Forecast is what is left of a budget and how fast it is used, as its holder in
// one region knows it. Amounts of other regions are as of their last flush.
type Forecast struct {
	Budget ID
	// Left is what can still be spent, wherever it is.
	Left Tokens
	// DemandPerSecond is the use in all regions, in tokens/s.
	DemandPerSecond float64
	// Unmet is set if a recent wish of this region could not be met.
	Unmet bool
}

// Forecasts returns a forecast for each budget that is in use now.
func (h *Holder) Forecasts(now time.Time) []Forecast {
	var out []Forecast
	for id, b := range h.budgets {
		unmet := b.stillUnmet(now) > 0
		if b.demand <= 0 && !unmet {
			continue
		}
		f := Forecast{Budget: id, Left: b.free() + b.thaw + b.held, DemandPerSecond: b.demand, Unmet: unmet}
		if tb := h.treasury.budget(id); tb != nil {
			f.Left += tb.Unallocated()
			for region, held := range tb.Held {
				if region != h.account.Region {
					f.Left += held
					f.DemandPerSecond += tb.Demand[region]
				}
			}
		}
		out = append(out, f)
	}
	if len(out) == 0 {
		return nil
	}
	inLots := map[*budgetState]Tokens{}
	for _, l := range h.lots {
		if l.phase == lotOpen {
			inLots[l.budget] += l.limit - l.billed
		}
	}
	for i := range out {
		out[i].Left += inLots[h.budgets[out[i].Budget]]
	}
	return out
}
