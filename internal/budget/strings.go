package budget

import "fmt"

// String returns "shard/region", which is also the last part of the account's key
// in the store.
func (a Account) String() string { return fmt.Sprintf("%d/%s", a.Shard, a.Region) }

// String returns "epoch-number".
func (p LotPosition) String() string { return fmt.Sprintf("%d-%d", p.Epoch, p.Num) }

// String returns "shard/region/epoch-number".
func (id LotID) String() string { return fmt.Sprintf("%s/%s", id.Account, id.Position()) }

// String returns "name/boot".
func (i Incarnation) String() string { return fmt.Sprintf("%s/%s", i.Name, i.Boot) }

// String returns a short text for logs.
func (r ShortfallReason) String() string {
	switch r {
	case ShortfallNone:
		return "granted in full"
	case ShortfallPending:
		return "a draw or a recall is in progress"
	case ShortfallExhausted:
		return "the budget is spent"
	case ShortfallReserved:
		return "the remainder is reserved by requests in progress"
	case ShortfallUnreachable:
		return "balance exists but cannot be reached now"
	case ShortfallNoBudget:
		return "no such budget"
	}
	return fmt.Sprintf("shortfall reason %d", uint8(r))
}

// String returns a short text for logs.
func (o FlushOutcome) String() string {
	switch o {
	case FlushCommitted:
		return "committed"
	case FlushConflict:
		return "conflict"
	case FlushFailed:
		return "failed"
	case FlushUnknown:
		return "unknown"
	}
	return fmt.Sprintf("flush outcome %d", uint8(o))
}

// String returns the reservation's lot, slot, amount and budget, for logs.
func (r Reservation) String() string {
	return fmt.Sprintf("%s slot %d: %d tokens of %s", r.Lot, r.Slot, r.Amount, r.Budget)
}
