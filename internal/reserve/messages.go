// Package reserve is the RPC protocol by which gates reserve tokens at quota servers, which
// run in the relay processes. One quota server grants all reservations of a workspace, for all
// gates, as long as it replies. The workspace's balance is therefore not scattered over the
// gates, and the number of store calls grows with the number of workspaces, not with
// workspaces times gates. The package contains the messages, the quota server's side (Server)
// and the gate's side (Client). It does not know what the tokens are spent on, nor how shares
// are kept in the store; that is in package prepaid.
//
// The exported fields of the messages are sent under their Go names (encoding/gob).
package reserve

import (
	"errors"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/prepaid"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
)

// ServiceName is the name of a quota server's net/rpc service.
const ServiceName = "Budget"

// ID identifies a reservation in the whole fleet.
type ID struct {
	// Gate is the name of the gate's process. Number is unique among the reservations that this
	// process requests.
	Gate   string
	Number uint64
}

// Settlement ends a reservation and charges the tokens that the request consumed. Number is
// that of the reservation's ID.
type Settlement struct {
	Number uint64
	Used   prepaid.Tokens
}

// ReserveArgs requests the reservation described by Claim. It also carries settlements of other
// reservations of the same gate.
type ReserveArgs struct {
	ID      ID
	Claim   prepaid.ReservationRequest
	Settled []Settlement
}

// maxNameBytes limits the names of gates and workspaces, which are parts of store keys.
const maxNameBytes = 150

var errInvalidCall = errors.New("invalid call: a name is empty or too long, or an amount is negative or too large")

// validate fails if the call could not have come from a gate that works. A negative amount
// would raise the balance.
func (a *ReserveArgs) validate() error {
	c := a.Claim
	if c.Workspace == "" || len(c.Workspace) > maxNameBytes || !validAmount(c.Paid) || !validAmount(c.Bound) {
		return errInvalidCall
	}
	return validateSettlements(a.ID.Gate, a.Settled)
}

func validateSettlements(gate string, settlements []Settlement) error {
	if gate == "" || len(gate) > maxNameBytes {
		return errInvalidCall
	}
	for _, s := range settlements {
		if !validAmount(s.Used) {
			return errInvalidCall
		}
	}
	return nil
}

func validAmount(n prepaid.Tokens) bool { return n >= 0 && n <= prepaid.MaxAmount }

// ReserveReply is the reply to ReserveArgs.
type ReserveReply struct {
	// Refused is set if no reservation was granted; the other fields give the reason.
	Refused    bool
	Code       verdict.Code
	Detail     string
	RetryAfter time.Duration
	// Elsewhere is set if another quota server may grant the reservation, because this one
	// is draining, currently fails to sync with the store, or has received a call with the ID
	// before.
	Elsewhere bool
	// Draining is set if the quota server grants no more reservations because it stops.
	Draining bool
}

// setRefusal fills in a refusal.
func (r *ReserveReply) setRefusal(err error, elsewhere bool) {
	r.Refused, r.Code, r.Detail, r.Elsewhere = true, verdict.CodeBudgetUnreachable, err.Error(), elsewhere
	var refusal *verdict.Error
	if errors.As(err, &refusal) {
		r.Code, r.Detail, r.RetryAfter = refusal.Code, refusal.Detail, refusal.RetryAfter
	}
}

// refusal returns the refusal as a *verdict.Error, nil if the reservation was granted.
func (r *ReserveReply) refusal() error {
	if !r.Refused {
		return nil
	}
	return verdict.New(verdict.NotRun, r.Code, "%s", r.Detail).WithRetryAfter(r.RetryAfter)
}

// SettleArgs carries settlements of a gate. Sending it again has no effect.
type SettleArgs struct {
	Gate    string
	Settled []Settlement
}

// SettleReply is the reply to SettleArgs.
type SettleReply struct{}
