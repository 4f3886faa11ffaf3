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

// DefaultName is the name of a workspace's default budget.
const DefaultName = "main"

// MakeID returns the ID of a workspace's budget; an empty name means
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

// Shard is the number of a group of budgets that share records and holders.
type Shard uint32

// ShardOf returns the shard of id. shards is the deployment's number of shards,
// which is fixed when the deployment is created.
func ShardOf(id ID, shards uint32) Shard {
	return Shard(xxhash.Sum64String(string(id)) % uint64(shards))
}

// BootID identifies one run of a process. A restart creates a new one.
type BootID = uuid.UUID

// Account identifies the account of one shard in one region.
type Account struct {
	Shard  Shard  `cbor:"1,keyasint"`
	Region string `cbor:"2,keyasint"`
}

// LotID identifies a lot. Num is unique within an epoch of the account.
type LotID struct {
	Account Account `cbor:"1,keyasint"`
	Epoch   uint64  `cbor:"2,keyasint"`
	Num     uint64  `cbor:"3,keyasint"`
}

// IsZero reports whether id identifies no lot.
func (id LotID) IsZero() bool { return id.Epoch == 0 }

// Slot is the number of a reservation within a lot, from 1. A lot and a slot
// identify a bill.
type Slot uint32

// Bill is the usage record of one request. The agent that ran the request makes
// it, or the router if the agent is lost.
type Bill struct {
	Lot     LotID     `cbor:"1,keyasint"`
	Slot    Slot      `cbor:"2,keyasint"`
	Budget  ID        `cbor:"3,keyasint"`
	Request uuid.UUID `cbor:"4,keyasint"`
	Attempt uuid.UUID `cbor:"5,keyasint"`
	// Amount is what the budget is charged; it never exceeds the reservation.
	Amount Tokens `cbor:"6,keyasint"`
	// Prompt and Output are the tokens read and generated, as counted by the
	// agent. They are 0 for a plain service.
	Prompt Tokens `cbor:"7,keyasint,omitempty"`
	Output Tokens `cbor:"8,keyasint,omitempty"`
	// Target is the name of the model or of the plain service.
	Target string `cbor:"9,keyasint"`
	Server string `cbor:"10,keyasint"`
	// UnixMilli is when the request finished, by the clock of the process that
	// made the bill.
	UnixMilli int64 `cbor:"11,keyasint"`
	// Estimated is true if the router made the bill because the agent was lost.
	Estimated bool `cbor:"12,keyasint,omitempty"`
}

// Time returns when the request finished.
func (b Bill) Time() time.Time { return time.UnixMilli(b.UnixMilli) }

// Incarnation is one run of a named process.
type Incarnation struct {
	Name string `cbor:"1,keyasint"`
	Boot BootID `cbor:"2,keyasint"`
}

// LotReport is a router's report about one lot. Limits and Billed are totals since
// the lot was opened and not changes, so a report can be lost or repeated.
type LotReport struct {
	// Lot is zero if the router asks for a new lot, or only for key hashes. If the
	// reply with a new lot was lost, the holder grants the same router incarnation
	// the same lot again.
	Lot    LotID `cbor:"1,keyasint"`
	Budget ID    `cbor:"2,keyasint"`
	// RequestedLimit is the limit that the router asks for.
	RequestedLimit Tokens `cbor:"3,keyasint"`
	// ReducedLimit is the limit that the router keeps if Release is set: it uses
	// nothing above ReducedLimit, so the holder may grant the remainder to others.
	ReducedLimit Tokens `cbor:"4,keyasint,omitempty"`
	Release      bool   `cbor:"5,keyasint,omitempty"`
	// Reserved is the sum of the reservations of requests in progress.
	Reserved Tokens `cbor:"6,keyasint,omitempty"`
	// DemandPerSecond is the router's estimated use of the budget, in tokens/s.
	DemandPerSecond float64 `cbor:"7,keyasint,omitempty"`
	// Bills holds the bills that are neither known to be durable nor known to have
	// reached the holder of the epoch.
	Bills []Bill `cbor:"8,keyasint,omitempty"`
	// Unused holds slots that never get a bill, because their attempts certainly
	// did not run or cost nothing.
	Unused []Slot `cbor:"9,keyasint,omitempty"`
	// Close asks the holder to close the lot: nothing is reserved, all bills are
	// durable, and no agent has a copy of the bills any more.
	Close bool `cbor:"10,keyasint,omitempty"`
	// Limit is the lot's limit at the router; a holder that took over adopts it.
	Limit Tokens `cbor:"11,keyasint,omitempty"`
	// Billed is what the bills that are known to be durable use up in the lot at
	// the router. An estimated bill counts with its whole reservation.
	Billed Tokens `cbor:"12,keyasint,omitempty"`
	// Pending holds the slots of bills that the holder of the epoch already has and
	// that are not known to be durable, so that the bills need not be sent again.
	Pending []Slot `cbor:"13,keyasint,omitempty"`
}

// ExchangeRequest is the request of an exchange, from a router to the holder of
// an account.
type ExchangeRequest struct {
	Account Account     `cbor:"1,keyasint"`
	Router  Incarnation `cbor:"2,keyasint"`
	// Epoch is the highest epoch of the account that the router knows.
	Epoch uint64      `cbor:"3,keyasint"`
	Lots  []LotReport `cbor:"4,keyasint"`
	// Seq is the sequence number of the exchange for this router incarnation and
	// account. The holder rejects a number lower than the highest that it has seen,
	// and the router ignores replies to any exchange but the one in flight, so a
	// delayed message cannot restore an earlier limit.
	Seq uint64 `cbor:"5,keyasint"`
}

// LotGrant is the holder's reply about one lot.
type LotGrant struct {
	Lot    LotID `cbor:"1,keyasint"`
	Budget ID    `cbor:"2,keyasint"`
	// Limit is what the router may spend in this lot in total, since it was
	// opened.
	Limit Tokens `cbor:"3,keyasint"`
	// Durable holds the slots of the reported bills that are durable now.
	Durable []Slot `cbor:"4,keyasint,omitempty"`
	// Recall asks the router to release at once what it does not need.
	Recall bool `cbor:"5,keyasint,omitempty"`
	// Closed means that the lot is closed at the holder.
	Closed bool `cbor:"6,keyasint,omitempty"`
	// Shortfall is the reason if less than RequestedLimit was granted, otherwise
	// ShortfallNone.
	Shortfall ShortfallReason `cbor:"7,keyasint,omitempty"`
	// KeyHashes holds the SHA-256 hashes of the budget's API keys.
	KeyHashes [][]byte `cbor:"8,keyasint,omitempty"`
}

// ShortfallReason is the reason why less than a requested limit was granted.
type ShortfallReason uint8

const (
	// ShortfallNone means that the requested limit was granted.
	ShortfallNone ShortfallReason = iota
	// ShortfallPending means that a draw or a recall is in progress; a retry soon
	// may succeed.
	ShortfallPending
	// ShortfallExhausted means that what is left of the budget in all regions does
	// not cover the request.
	ShortfallExhausted
	// ShortfallUnreachable means that balance exists but cannot be reached now:
	// the store is down, a region is partitioned, or lots are being settled.
	ShortfallUnreachable
	// ShortfallNoBudget means that no such budget exists.
	ShortfallNoBudget
	// ShortfallReserved means that the limit could be granted if requests in
	// progress use less than they have reserved.
	ShortfallReserved
)

// ExchangeReply is the reply to an ExchangeRequest.
type ExchangeReply struct {
	// Epoch is the highest epoch of the account that the replying holder knows.
	Epoch uint64 `cbor:"1,keyasint"`
	// Fenced means that the holder is fencing this router incarnation: the router
	// must stop using its lots of the account.
	Fenced bool `cbor:"2,keyasint,omitempty"`
	// NotHolder means that the process that replies is not, or no longer, the
	// holder of the account, or that the request is older than one it has seen.
	NotHolder bool       `cbor:"3,keyasint,omitempty"`
	Lots      []LotGrant `cbor:"4,keyasint"`
	// Seq is the request's Seq.
	Seq uint64 `cbor:"5,keyasint"`
}
