package budget

// Hold is a reservation in a lot, made for one attempt. It ends with exactly one
// bill or one release.
type Hold struct {
	Budget ID
	Lot    LotID
	Slot   Slot
	Amount Tokens
}
