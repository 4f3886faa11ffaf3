// Package reserve carries reservations of tokens from gates to the processes that
// hold the workspaces' budgets, which stand in the relays. One holder serves a
// workspace for the whole fleet, so its balance does not lie scattered over gates,
// and store calls follow workspaces instead of workspaces times gates. The package
// holds the protocol between the two, the holder's side (Server) and the gate's side
// (Client).
package reserve

import (
	"errors"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/prepaid"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
)

// ServiceName is the net/rpc service of a holder.
const ServiceName = "Budget"

// ID names a reservation. No two have the same.
type ID struct {
	// Gate names the gate's process, and Number counts its reservations.
	Gate   string
	Number uint64
}

// Settlement ends a reservation with what its request consumed.
type Settlement struct {
	Number uint64
	Used   prepaid.Tokens
}

// ReserveArgs asks for a reservation, and settles others of the same gate.
type ReserveArgs struct {
	ID      ID
	Claim   prepaid.ReservationRequest
	Settled []Settlement
}

// ReserveReply answers Reserve.
type ReserveReply struct {
	// Refused is set if nothing was reserved; the other fields say why.
	Refused    bool
	Code       verdict.Code
	Detail     string
	RetryAfter time.Duration
	// Elsewhere is set if another holder may have what this one lacks: this one stops,
	// or does not reach the store.
	Elsewhere bool
}

// refuse fills in a reply with a refusal.
func (r *ReserveReply) refuse(err error, elsewhere bool) {
	r.Refused, r.Code, r.Detail, r.Elsewhere = true, verdict.CodeBudgetUnreachable, err.Error(), elsewhere
	var refusal *verdict.Error
	if errors.As(err, &refusal) {
		r.Code, r.Detail, r.RetryAfter = refusal.Code, refusal.Detail, refusal.RetryAfter
	}
}

// err returns the refusal, nil if there is none.
func (r *ReserveReply) err() error {
	if !r.Refused {
		return nil
	}
	return verdict.New(verdict.NotRun, r.Code, "%s", r.Detail).WithRetryAfter(r.RetryAfter)
}

// SettleArgs settles reservations of a gate. It may be sent again.
type SettleArgs struct {
	Gate    string
	Settled []Settlement
}

// SettleReply answers Settle.
type SettleReply struct{}
