package budget

import (
	"slices"
	"strings"
)

// OutOfReach holds the amounts of one budget that count as drawn and cannot be
// spent now, in tokens.
type OutOfReach struct {
	Budget ID `cbor:"1,keyasint" json:"budget"`
	// Unreconciled is escrow of a former holder that is being settled.
	Unreconciled Tokens `cbor:"2,keyasint,omitempty" json:"unreconciled_tokens"`
	// Fenced is what dead routers hold in lots that are being settled.
	Fenced Tokens `cbor:"3,keyasint,omitempty" json:"fenced_tokens"`
	// Lost counts as spent for good although no bill is known.
	Lost Tokens `cbor:"4,keyasint,omitempty" json:"lost_tokens"`
}

// OutOfReach lists the budgets with amounts out of reach, by id.
func (h *Holder) OutOfReach() []OutOfReach {
	fenced := map[ID]Tokens{}
	for _, rs := range h.routers {
		if rs.fence == nil {
			continue
		}
		for _, l := range rs.lots {
			if l.phase == lotOpen {
				fenced[l.budget.id] += l.limit - l.billed
			}
		}
	}
	var out []OutOfReach
	for id, b := range h.budgets {
		if b.unreconciled > 0 || fenced[id] > 0 || b.lost > 0 {
			out = append(out, OutOfReach{Budget: id, Unreconciled: b.unreconciled, Fenced: fenced[id], Lost: b.lost})
		}
	}
	slices.SortFunc(out, func(a, b OutOfReach) int { return strings.Compare(string(a.Budget), string(b.Budget)) })
	return out
}
