package budget

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// Tokens is an amount of a prepaid budget, in tokens.
type Tokens int64

// ID names a budget as "workspace/name".
type ID string

// DefaultName is the name of a workspace's first budget.
const DefaultName = "main"

// MakeID returns the id of a workspace's budget; an empty name means
// DefaultName.
func MakeID(workspace, name string) ID {
	if name == "" {
		name = DefaultName
	}
	return ID(workspace + "/" + name)
}

// Workspace returns the workspace part of id.
func (id ID) Workspace() string {
	workspace, _, _ := strings.Cut(string(id), "/")
	return workspace
}

// Shard numbers a group of budgets that share their records and holders.
type Shard uint32

// ShardOf returns the shard of id in a deployment with the given number of
// shards, which is fixed when the deployment is created.
func ShardOf(id ID, shards uint32) Shard {
	return Shard(xxhash.Sum64String(string(id)) % uint64(shards))
}

// BootID identifies one run of a process.
type BootID = uuid.UUID

// Account names the records of one shard in one region.
type Account struct {
	Shard  Shard  `cbor:"1,keyasint"`
	Region string `cbor:"2,keyasint"`
}

// LotID names an amount granted by a holder to one router incarnation for one
// budget. Num is unique within an epoch of the account.
type LotID struct {
	Account Account `cbor:"1,keyasint"`
	Epoch   uint64  `cbor:"2,keyasint"`
	Num     uint64  `cbor:"3,keyasint"`
}

// IsZero reports whether id names no lot.
func (id LotID) IsZero() bool { return id.Epoch == 0 }

// Slot is the index of a reservation within a lot, counted from 1. A lot and a
// slot identify a bill.
type Slot uint32

// Bill is what one request cost. The agent that ran the request makes it, or the
// router if the agent is lost.
type Bill struct {
	Lot     LotID     `cbor:"1,keyasint"`
	Slot    Slot      `cbor:"2,keyasint"`
	Budget  ID        `cbor:"3,keyasint"`
	Request uuid.UUID `cbor:"4,keyasint"`
	Attempt uuid.UUID `cbor:"5,keyasint"`
	// Amount is what the budget pays; it never exceeds the reservation.
	Amount Tokens `cbor:"6,keyasint"`
	// Prompt and Output are the tokens read and generated, as counted by the
	// agent. They are 0 for a plain service.
	Prompt Tokens `cbor:"7,keyasint,omitempty"`
	Output Tokens `cbor:"8,keyasint,omitempty"`
	// Target is the model or the plain service.
	Target string `cbor:"9,keyasint"`
	Server string `cbor:"10,keyasint"`
	// UnixMilli is when the request finished, by the clock of the bill's maker.
	UnixMilli int64 `cbor:"11,keyasint"`
	// Estimated is set if the router made the bill because the agent was lost.
	Estimated bool `cbor:"12,keyasint,omitempty"`
}

// Time returns when the request finished.
func (b Bill) Time() time.Time { return time.UnixMilli(b.UnixMilli) }

// Incarnation is one run of a named process.
type Incarnation struct {
	Name string `cbor:"1,keyasint"`
	Boot BootID `cbor:"2,keyasint"`
}

// LotReport is what a router tells a holder about one lot. All amounts are
// cumulative since the lot was opened, so a lost or repeated report does no
// harm.
type LotReport struct {
	// Lot is zero if the router asks for a lot that it does not have yet. The
	// holder gives the same router incarnation the same lot again if its answer
	// was lost.
	Lot    LotID `cbor:"1,keyasint"`
	Budget ID    `cbor:"2,keyasint"`
	// RequestedLimit is the limit that the router asks for.
	RequestedLimit Tokens `cbor:"3,keyasint"`
	// ReducedLimit, if Release is set, is the limit that the router keeps: it will use
	// nothing above Lower, and the holder may grant the rest to others.
	ReducedLimit Tokens `cbor:"4,keyasint,omitempty"`
	Release      bool   `cbor:"5,keyasint,omitempty"`
	// Reserved is the sum of the reservations of requests in progress.
	Reserved Tokens `cbor:"6,keyasint,omitempty"`
	// DemandPerSecond is the router's recent use of the budget in tokens/s.
	DemandPerSecond float64 `cbor:"7,keyasint,omitempty"`
	// Bills holds the bills that are not known to be durable.
	Bills []Bill `cbor:"8,keyasint,omitempty"`
	// Unused holds slots that will never have a bill, because their attempts
	// certainly did not run.
	Unused []Slot `cbor:"9,keyasint,omitempty"`
	// Close asks to forget the lot: nothing is reserved, all bills are durable,
	// and every agent that ran a request of the lot has deleted its copies.
	Close bool `cbor:"10,keyasint,omitempty"`
	// Limit is the limit that the router knows, for a holder that took over.
	Limit Tokens `cbor:"11,keyasint,omitempty"`
	// Billed is the sum of the lot's bills known to be durable.
	Billed Tokens `cbor:"12,keyasint,omitempty"`
	// Pending holds the slots of bills that this holder already has and that
	// the router does not know to be durable. It saves sending the bills again.
	Pending []Slot `cbor:"13,keyasint,omitempty"`
}

// ExchangeRequest goes from a router to the holder of an account.
type ExchangeRequest struct {
	Account Account     `cbor:"1,keyasint"`
	Router  Incarnation `cbor:"2,keyasint"`
	// Epoch is the highest epoch of the account that the router has heard of.
	Epoch uint64      `cbor:"3,keyasint"`
	Lots  []LotReport `cbor:"4,keyasint"`
	// Seq numbers the exchanges of this router incarnation for the account. Both
	// sides ignore a number lower than the highest they have seen, so a delayed
	// message cannot bring back an older limit.
	Seq uint64 `cbor:"5,keyasint"`
}

// LotGrant is the holder's answer about one lot.
type LotGrant struct {
	Lot    LotID `cbor:"1,keyasint"`
	Budget ID    `cbor:"2,keyasint"`
	// Limit is what the router may spend in this lot in all.
	Limit Tokens `cbor:"3,keyasint"`
	// Durable holds the slots of the reported bills that are durable now.
	Durable []Slot `cbor:"4,keyasint,omitempty"`
	// Recall asks the router to release what it does not need at once.
	Recall bool `cbor:"5,keyasint,omitempty"`
	// Closed means that the holder has forgotten the lot.
	Closed bool `cbor:"6,keyasint,omitempty"`
	// Shortfall is set if Want could not be met.
	Shortfall ShortfallReason `cbor:"7,keyasint,omitempty"`
	// KeyHashes holds the SHA-256 hashes of the API keys valid for the budget.
	KeyHashes [][]byte `cbor:"8,keyasint,omitempty"`
}

// ShortfallReason says why a wanted limit was not granted.
type ShortfallReason uint8

const (
	// ShortfallNone means that the wish was met.
	ShortfallNone ShortfallReason = iota
	// ShortfallPending means that a draw or a recall is under way; ask again soon.
	ShortfallPending
	// ShortfallExhausted means that the budget is spent everywhere.
	ShortfallExhausted
	// ShortfallUnreachable means that balance exists but cannot be reached now:
	// the store is down, a region is cut off, or an account is being settled.
	ShortfallUnreachable
	// ShortfallNoBudget means that no such budget exists.
	ShortfallNoBudget
	// ShortfallReserved means that the wish could be met if requests in progress
	// use less than they have reserved.
	ShortfallReserved
)

// ExchangeReply answers an ExchangeRequest.
type ExchangeReply struct {
	Epoch uint64 `cbor:"1,keyasint"`
	// Fenced means that the holder has given this router incarnation up: the
	// router must use its lots of the account no more.
	Fenced bool `cbor:"2,keyasint,omitempty"`
	// NotHolder means that the receiver does not hold the account.
	NotHolder bool       `cbor:"3,keyasint,omitempty"`
	Lots      []LotGrant `cbor:"4,keyasint"`
	// Seq repeats the request's number.
	Seq uint64 `cbor:"5,keyasint"`
}
