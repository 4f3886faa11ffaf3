package wire

import (
	"github.com/google/uuid"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
)

// AdminStatus is the status that a process reports to the operators' tool.
type AdminStatus struct {
	Name   string        `cbor:"1,keyasint" json:"name"`
	Role   Role          `cbor:"2,keyasint" json:"role"`
	Region string        `cbor:"3,keyasint" json:"region"`
	Domain string        `cbor:"4,keyasint" json:"domain"`
	Boot   budget.BootID `cbor:"5,keyasint" json:"boot"`
	// UptimeMillis is the time since the process started, in milliseconds.
	UptimeMillis int64 `cbor:"6,keyasint" json:"uptime_millis"`
	// Ready is set if a router serves callers or an agent serves routers.
	Ready    bool `cbor:"7,keyasint" json:"ready"`
	Draining bool `cbor:"8,keyasint,omitempty" json:"draining"`
	// InProgress is the number of requests in progress.
	InProgress int `cbor:"9,keyasint,omitempty" json:"in_progress"`
	// ConfigVersion is the version of the configuration in force. Synced is set
	// once the process has had contact with the store since it started, directly or
	// through a distributor.
	ConfigVersion int64 `cbor:"10,keyasint" json:"config_version"`
	Synced        bool  `cbor:"11,keyasint" json:"confirmed"`
	// LastContactMillis is the age of the last contact with the store, directly or
	// through a distributor, in milliseconds; -1 if there was none.
	LastContactMillis int64 `cbor:"12,keyasint" json:"contact_millis"`
	Distributor       bool  `cbor:"13,keyasint,omitempty" json:"relay"`
	// Accounts are the accounts of which a router is the holder.
	Accounts []AdminAccount `cbor:"14,keyasint,omitempty" json:"accounts,omitempty"`
	// Server is set by agents only.
	Server *AdminServer `cbor:"15,keyasint,omitempty" json:"server,omitempty"`
}

// AdminServer is the status of an agent's backend server.
type AdminServer struct {
	Pool string `cbor:"1,keyasint" json:"pool"`
	// Down is set while the server does not respond to its agent.
	Down bool `cbor:"2,keyasint,omitempty" json:"down"`
	// Running, Queued and Slots are as in Load.
	Running int32 `cbor:"3,keyasint" json:"running"`
	Queued  int32 `cbor:"5,keyasint" json:"queued"`
	Slots   int32 `cbor:"6,keyasint" json:"slots"`
	// Bills is the number of bills not yet acknowledged as durable.
	Bills int `cbor:"4,keyasint,omitempty" json:"bills_not_durable"`
}

// AdminAccount is the state of an account at its holder.
type AdminAccount struct {
	Shard  budget.Shard `cbor:"1,keyasint" json:"shard"`
	Region string       `cbor:"10,keyasint" json:"region"`
	Epoch  uint64       `cbor:"2,keyasint" json:"epoch"`
	// Budgets and Lots are the numbers of active budgets and of lots.
	Budgets int `cbor:"3,keyasint" json:"budgets"`
	Lots    int `cbor:"4,keyasint" json:"lots"`
	// PendingBills is the number of bills that are accepted but not durable yet.
	PendingBills int `cbor:"5,keyasint" json:"pending_bills"`
	// Reconciling is set while the escrow of an earlier epoch is being settled.
	Reconciling bool `cbor:"6,keyasint,omitempty" json:"reconciling"`
	// FencedRouters are the failed routers whose lots are being settled.
	FencedRouters []string `cbor:"7,keyasint,omitempty" json:"fenced_routers,omitempty"`
	// OutOfReach lists budgets of which some amount cannot be spent now, at most
	// MaxAdminBudgets of them. OutOfReachBudgets is the number of all such
	// budgets.
	OutOfReach        []budget.OutOfReach `cbor:"8,keyasint,omitempty" json:"out_of_reach,omitempty"`
	OutOfReachBudgets int                 `cbor:"9,keyasint,omitempty" json:"out_of_reach_budgets"`
}

// MaxAdminBudgets is the maximum number of budgets listed for one account.
const MaxAdminBudgets = 1000

// AdminAttempt is one attempt of a request.
type AdminAttempt struct {
	Server  string    `cbor:"1,keyasint" json:"server"`
	Region  string    `cbor:"2,keyasint" json:"region"`
	Reason  string    `cbor:"3,keyasint" json:"reason"` // why the router chose the server
	Attempt uuid.UUID `cbor:"4,keyasint" json:"attempt"`
	// Reserved and Billed are the reserved and billed tokens.
	Reserved budget.Tokens   `cbor:"5,keyasint" json:"reserved_tokens"`
	Billed   budget.Tokens   `cbor:"6,keyasint" json:"billed_tokens"`
	Verdict  verdict.Verdict `cbor:"7,keyasint" json:"verdict"`
	Code     verdict.Code    `cbor:"8,keyasint,omitempty" json:"code,omitempty"`
	// ElapsedMillis is the duration of the attempt in milliseconds.
	ElapsedMillis int64 `cbor:"9,keyasint" json:"elapsed_millis"`
}

// AdminRecord is the outcome of one request at a router. It contains no request
// or response data of the caller.
type AdminRecord struct {
	Request   uuid.UUID `cbor:"1,keyasint" json:"request"`
	Router    string    `cbor:"2,keyasint" json:"router"`
	UnixMilli int64     `cbor:"3,keyasint" json:"unix_milli"`
	Workspace string    `cbor:"4,keyasint" json:"workspace"`
	Budget    budget.ID `cbor:"5,keyasint" json:"budget"`
	// Target is the model or plain service, empty if the request was refused
	// before it was determined.
	Target string `cbor:"6,keyasint,omitempty" json:"target,omitempty"`
	// Dispatched is set if the request passed admission.
	Dispatched bool            `cbor:"7,keyasint,omitempty" json:"dispatched"`
	Status     int             `cbor:"8,keyasint" json:"status"`
	Verdict    verdict.Verdict `cbor:"9,keyasint" json:"verdict"`
	// Code is empty if the caller received the complete response. Detail is the
	// message that was sent to the caller, without text of the request or the
	// engine.
	Code   verdict.Code `cbor:"10,keyasint,omitempty" json:"code,omitempty"`
	Detail string       `cbor:"11,keyasint,omitempty" json:"detail,omitempty"`
	// MaxCost is the upper bound of the request's cost, Billed its cost.
	MaxCost       budget.Tokens  `cbor:"12,keyasint,omitempty" json:"reserve_tokens"`
	Billed        budget.Tokens  `cbor:"13,keyasint,omitempty" json:"billed_tokens"`
	ElapsedMillis int64          `cbor:"14,keyasint" json:"elapsed_millis"`
	Attempts      []AdminAttempt `cbor:"15,keyasint,omitempty" json:"hops,omitempty"`
}

// AdminExplainArgs asks a router for its records of a request.
type AdminExplainArgs struct {
	Request uuid.UUID `cbor:"1,keyasint"`
}

// AdminExplainReply is the reply to AdminExplainArgs.
type AdminExplainReply struct {
	// Records is empty if the router has no record of the request.
	Records   []AdminRecord  `cbor:"1,keyasint,omitempty"`
	Retention AdminRetention `cbor:"2,keyasint"`
}

// AdminRetention describes how many records of authenticated requests a router retains,
// and from which time. Records of other requests may be dropped earlier.
type AdminRetention struct {
	Router  string `cbor:"1,keyasint" json:"router"`
	Records int    `cbor:"2,keyasint" json:"records"` // the number of records
	// SinceMillis is the age, in milliseconds, up to which no such record was dropped.
	SinceMillis int64 `cbor:"3,keyasint" json:"since_millis"`
}

// AdminRefusalsArgs asks a router for the refusals of a workspace.
type AdminRefusalsArgs struct {
	Workspace string `cbor:"1,keyasint"`
	// SinceMillis is the maximum age of the refusals, in milliseconds.
	SinceMillis int64 `cbor:"2,keyasint"`
}

// AdminRefusalCount is the number of requests that ended with one code.
type AdminRefusalCount struct {
	Code  verdict.Code `cbor:"1,keyasint" json:"code"`
	Count int          `cbor:"2,keyasint" json:"count"`
	// Example is the latest of these requests.
	Example AdminRecord `cbor:"3,keyasint" json:"example"`
}

// AdminRefusalsReply is the reply to AdminRefusalsArgs.
type AdminRefusalsReply struct {
	// Completed is the number of requests with a complete response.
	Completed int                 `cbor:"1,keyasint"`
	Refusals  []AdminRefusalCount `cbor:"2,keyasint,omitempty"`
	Retention AdminRetention      `cbor:"3,keyasint"`
}
