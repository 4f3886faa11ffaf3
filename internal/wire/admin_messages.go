package wire

import (
	"github.com/google/uuid"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
)

// AdminStatus is what a process says about itself to the operators' tool.
type AdminStatus struct {
	Name   string        `cbor:"1,keyasint" json:"name"`
	Role   Role          `cbor:"2,keyasint" json:"role"`
	Region string        `cbor:"3,keyasint" json:"region"`
	Domain string        `cbor:"4,keyasint" json:"domain"`
	Boot   budget.BootID `cbor:"5,keyasint" json:"boot"`
	// UptimeMillis is the time since the process started.
	UptimeMillis int64 `cbor:"6,keyasint" json:"uptime_millis"`
	// Ready is set if callers, or routers of an agent, are served.
	Ready    bool `cbor:"7,keyasint" json:"ready"`
	Draining bool `cbor:"8,keyasint,omitempty" json:"draining"`
	// InProgress is the number of requests that have not ended.
	InProgress int `cbor:"9,keyasint,omitempty" json:"in_progress"`
	// ConfigVersion is the version of the configuration in force, and Confirmed
	// is set if the process has heard of it since it started.
	ConfigVersion int64 `cbor:"10,keyasint" json:"config_version"`
	Synced        bool  `cbor:"11,keyasint" json:"confirmed"`
	// LastContactMillis is how old the last contact with the store is, directly or
	// through a relay, -1 without any.
	LastContactMillis int64 `cbor:"12,keyasint" json:"contact_millis"`
	Distributor       bool  `cbor:"13,keyasint,omitempty" json:"relay"`
	// Accounts are the accounts that a router holds.
	Accounts []AdminAccount `cbor:"14,keyasint,omitempty" json:"accounts,omitempty"`
	// Server is set by an agent.
	Server *AdminServer `cbor:"15,keyasint,omitempty" json:"server,omitempty"`
}

// AdminServer is the backend server beside an agent.
type AdminServer struct {
	Pool string `cbor:"1,keyasint" json:"pool"`
	// Down is set while the server does not answer its agent.
	Down bool `cbor:"2,keyasint,omitempty" json:"down"`
	// Running, Queued and Slots are as in Load.
	Running int32 `cbor:"3,keyasint" json:"running"`
	Queued  int32 `cbor:"5,keyasint" json:"queued"`
	Slots   int32 `cbor:"6,keyasint" json:"slots"`
	// Bills is the number of bills that are not known to be durable.
	Bills int `cbor:"4,keyasint,omitempty" json:"bills_not_durable"`
}

// AdminAccount is an account at its holder.
type AdminAccount struct {
	Shard  budget.Shard `cbor:"1,keyasint" json:"shard"`
	Region string       `cbor:"10,keyasint" json:"region"`
	Epoch  uint64       `cbor:"2,keyasint" json:"epoch"`
	// Budgets and Lots count the active budgets and the lots.
	Budgets int `cbor:"3,keyasint" json:"budgets"`
	Lots    int `cbor:"4,keyasint" json:"lots"`
	// PendingBills are accepted and not durable yet.
	PendingBills int `cbor:"5,keyasint" json:"pending_bills"`
	// Reconciling is set while the escrow of a former holder is being settled.
	Reconciling bool `cbor:"6,keyasint,omitempty" json:"reconciling"`
	// FencedRouters are dead routers whose lots are being settled.
	FencedRouters []string `cbor:"7,keyasint,omitempty" json:"fenced_routers,omitempty"`
	// OutOfReach holds the budgets with amounts that cannot be spent now. At most
	// MaxAdminBudgets are listed; OutOfReachBudgets counts all.
	OutOfReach        []budget.OutOfReach `cbor:"8,keyasint,omitempty" json:"out_of_reach,omitempty"`
	OutOfReachBudgets int                 `cbor:"9,keyasint,omitempty" json:"out_of_reach_budgets"`
}

// MaxAdminBudgets bounds the budgets that one account lists.
const MaxAdminBudgets = 1000

// AdminAttempt is one attempt of a request.
type AdminAttempt struct {
	Server  string    `cbor:"1,keyasint" json:"server"`
	Region  string    `cbor:"2,keyasint" json:"region"`
	Reason  string    `cbor:"3,keyasint" json:"reason"`
	Attempt uuid.UUID `cbor:"4,keyasint" json:"attempt"`
	// Reserved and Billed are tokens.
	Reserved budget.Tokens   `cbor:"5,keyasint" json:"reserved_tokens"`
	Billed   budget.Tokens   `cbor:"6,keyasint" json:"billed_tokens"`
	Verdict  verdict.Verdict `cbor:"7,keyasint" json:"verdict"`
	Code     verdict.Code    `cbor:"8,keyasint,omitempty" json:"code,omitempty"`
	// ElapsedMillis is how long the attempt took.
	ElapsedMillis int64 `cbor:"9,keyasint" json:"elapsed_millis"`
}

// AdminRecord is how one request ended at a router. It holds nothing of what
// the caller sent or received.
type AdminRecord struct {
	Request   uuid.UUID `cbor:"1,keyasint" json:"request"`
	Router    string    `cbor:"2,keyasint" json:"router"`
	UnixMilli int64     `cbor:"3,keyasint" json:"unix_milli"`
	Workspace string    `cbor:"4,keyasint" json:"workspace"`
	Budget    budget.ID `cbor:"5,keyasint" json:"budget"`
	// Target is the model or plain service, empty if the request was refused
	// before that was known.
	Target string `cbor:"6,keyasint,omitempty" json:"target,omitempty"`
	// Dispatched is set if the request passed admission.
	Dispatched bool            `cbor:"7,keyasint,omitempty" json:"dispatched"`
	Status     int             `cbor:"8,keyasint" json:"status"`
	Verdict    verdict.Verdict `cbor:"9,keyasint" json:"verdict"`
	// Code is empty if the caller got the whole answer. Detail is what the caller
	// was told.
	Code   verdict.Code `cbor:"10,keyasint,omitempty" json:"code,omitempty"`
	Detail string       `cbor:"11,keyasint,omitempty" json:"detail,omitempty"`
	// MaxCost is the most that the request could cost, Billed what it cost.
	MaxCost       budget.Tokens  `cbor:"12,keyasint,omitempty" json:"reserve_tokens"`
	Billed        budget.Tokens  `cbor:"13,keyasint,omitempty" json:"billed_tokens"`
	ElapsedMillis int64          `cbor:"14,keyasint" json:"elapsed_millis"`
	Attempts      []AdminAttempt `cbor:"15,keyasint,omitempty" json:"hops,omitempty"`
}

// AdminExplainArgs asks a router for what it remembers about a request.
type AdminExplainArgs struct {
	Request uuid.UUID `cbor:"1,keyasint"`
}

// AdminExplainReply answers AdminExplainArgs.
type AdminExplainReply struct {
	// Records is empty if the router does not remember the request.
	Records   []AdminRecord  `cbor:"1,keyasint,omitempty"`
	Retention AdminRetention `cbor:"2,keyasint"`
}

// AdminRetention says how far a router's memory reaches back.
type AdminRetention struct {
	Router  string `cbor:"1,keyasint" json:"router"`
	Records int    `cbor:"2,keyasint" json:"records"`
	// SinceMillis is the age of the oldest moment of which all is remembered.
	SinceMillis int64 `cbor:"3,keyasint" json:"since_millis"`
}

// AdminRefusalsArgs asks a router for the refusals of a workspace.
type AdminRefusalsArgs struct {
	Workspace string `cbor:"1,keyasint"`
	// SinceMillis is how far to look back.
	SinceMillis int64 `cbor:"2,keyasint"`
}

// AdminRefusalCount counts the requests that ended with one code.
type AdminRefusalCount struct {
	Code  verdict.Code `cbor:"1,keyasint" json:"code"`
	Count int          `cbor:"2,keyasint" json:"count"`
	// Example is the latest of them.
	Example AdminRecord `cbor:"3,keyasint" json:"example"`
}

// AdminRefusalsReply answers AdminRefusalsArgs.
type AdminRefusalsReply struct {
	// Completed counts the requests that got their whole answer.
	Completed int                 `cbor:"1,keyasint"`
	Refusals  []AdminRefusalCount `cbor:"2,keyasint,omitempty"`
	Retention AdminRetention      `cbor:"3,keyasint"`
}
