package wire

import "github.com/monsoonworks/monsoonworks/internal/budget"

// ReturnNeed is the amount of one budget that a region lacks.
type ReturnNeed struct {
	Budget budget.ID     `cbor:"1,keyasint"`
	Need   budget.Tokens `cbor:"2,keyasint"`
}

// ReturnArgs asks the holder of an account to return unneeded escrow to the
// treasury. The sender is the holder of the same shard in another region.
type ReturnArgs struct {
	Account budget.Account `cbor:"1,keyasint"`
	Needs   []ReturnNeed   `cbor:"2,keyasint"`
}

// ReturnReply is the reply to ReturnArgs. The receiver flushes before it replies, so
// that the sender can draw the returned escrow from the treasury. It also replies if
// the flush fails; the escrow is then not in the treasury yet.
type ReturnReply struct {
	// Returned holds, for each need in the order of Needs, the amount that the
	// flush was to return.
	Returned []budget.Tokens `cbor:"1,keyasint,omitempty"`
	// NotHolder means that the receiver is not the holder of the account.
	NotHolder bool `cbor:"2,keyasint,omitempty"`
}

// LotsArgs asks a router for its lots of an account. The sender became the holder
// of the account at Epoch; the router then ignores grants of lower epochs. The method
// Wallet.Poke, which requests an exchange, has the same argument and uses only Account.
type LotsArgs struct {
	Account budget.Account     `cbor:"1,keyasint"`
	Epoch   uint64             `cbor:"2,keyasint"`
	Holder  budget.Incarnation `cbor:"3,keyasint"`
}

// HandOverArgs transfers the account record of a deposed holder to its successor.
type HandOverArgs struct {
	Account budget.Account `cbor:"1,keyasint"`
	// Record is an encoded budget.AccountRecord.
	Record []byte `cbor:"2,keyasint"`
}

// LotsReply is the reply to LotsArgs.
type LotsReply struct {
	Lots []budget.LotReport `cbor:"1,keyasint,omitempty"`
	// Epoch is the highest epoch of the account that the router has seen.
	Epoch uint64 `cbor:"2,keyasint"`
	// Adopted is false if the router has seen a higher epoch than the sender's.
	Adopted bool `cbor:"3,keyasint"`
}

// PingReply is the reply to a liveness check.
type PingReply struct {
	Boot budget.BootID `cbor:"1,keyasint"`
}
