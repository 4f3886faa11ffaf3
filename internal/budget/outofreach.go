package budget

import (
	"slices"
	"strings"
)

// OutOfReach holds the amounts of one budget that are drawn and cannot be spent
// now, in tokens.
type OutOfReach struct {
	Budget ID `cbor:"1,keyasint" json:"budget"`
	// Unreconciled is escrow of former epochs that is being reconciled.
	Unreconciled Tokens `cbor:"2,keyasint,omitempty" json:"unreconciled_tokens"`
	// Fenced is the unbilled part of the lots of routers that are being fenced.
	Fenced Tokens `cbor:"3,keyasint,omitempty" json:"fenced_tokens"`
	// Lost counts as spent permanently although no bill is known for it.
	Lost Tokens `cbor:"4,keyasint,omitempty" json:"lost_tokens"`
}

// OutOfReach returns the budgets that have amounts out of reach, ordered by ID.
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
