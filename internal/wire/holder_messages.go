package wire

import "github.com/monsoonworks/monsoonworks/internal/budget"

// ReturnNeed is what a region lacks of one budget.
type ReturnNeed struct {
	Budget budget.ID     `cbor:"1,keyasint"`
	Need   budget.Tokens `cbor:"2,keyasint"`
}

// ReturnArgs asks the holder of an account, on behalf of another region's holder
// of the same shard, to return escrow that it does not need.
type ReturnArgs struct {
	Account budget.Account `cbor:"1,keyasint"`
	Needs   []ReturnNeed   `cbor:"2,keyasint"`
}

// ReturnReply answers ReturnArgs after the return has been committed to the
// treasury, from which the asking holder can draw it.
type ReturnReply struct {
	// Returned holds what was returned for each need, in the same order.
	Returned []budget.Tokens `cbor:"1,keyasint,omitempty"`
	// NotHolder means that the receiver does not hold the account.
	NotHolder bool `cbor:"2,keyasint,omitempty"`
}

// LotsArgs asks a router for its lots of an account. The sender has taken the
// account over at Epoch; the router uses no grant of a lower epoch from then on.
type LotsArgs struct {
	Account budget.Account     `cbor:"1,keyasint"`
	Epoch   uint64             `cbor:"2,keyasint"`
	Holder  budget.Incarnation `cbor:"3,keyasint"`
}

// HandOverArgs carries the lot table of a replaced holder to its successor.
type HandOverArgs struct {
	Account budget.Account `cbor:"1,keyasint"`
	// Table is an encoded budget.AccountRecord.
	Table []byte `cbor:"2,keyasint"`
}

// LotsReply answers LotsArgs.
type LotsReply struct {
	Lots []budget.LotReport `cbor:"1,keyasint,omitempty"`
	// Epoch is the highest epoch of the account that the router knows.
	Epoch uint64 `cbor:"2,keyasint"`
	// Adopted is false if the router knows a higher epoch than the sender's.
	Adopted bool `cbor:"3,keyasint"`
}

// PingReply answers a call that only checks that the peer is alive.
type PingReply struct {
	Boot budget.BootID `cbor:"1,keyasint"`
}
