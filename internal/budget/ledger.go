package budget

import (
	"errors"
	"fmt"

	"github.com/google/uuid"
)

// Reasons why a Ledger refuses an attempt. A refused attempt certainly did not
// run. The texts are sent to routers.
var (
	// ErrWrongBoot means that the attempt was sent to another incarnation of the
	// agent.
	ErrWrongBoot = errors.New("attempt is meant for another boot of the agent")
	// ErrFenced means that the holder has fenced the router for the lot.
	ErrFenced = errors.New("router is fenced for the lot")
	// ErrStaleEpoch means that the lot was last confirmed by the holder of a
	// former epoch.
	ErrStaleEpoch = errors.New("lot is not confirmed in the account's epoch")
	// ErrStaleClaim means that the attempt's claim of an idempotency key was made
	// before a takeover of the claim's account.
	ErrStaleClaim = errors.New("claim has an old epoch")
	// ErrTombstoned means that the attempt was abandoned before it arrived.
	ErrTombstoned = errors.New("attempt was given up")
	// ErrDuplicateAttempt means that the ledger has the attempt already.
	ErrDuplicateAttempt = errors.New("attempt is known")
	// ErrEpochsUnknown means that the agent has not read the epochs of the accounts
	// since it started.
	ErrEpochsUnknown = errors.New("agent does not know the accounts' epochs yet")
)

// Admission is the part of an attempt that a Ledger checks and records.
type Admission struct {
	Request uuid.UUID
	Attempt uuid.UUID
	Router  Incarnation
	// AgentBoot is the boot ID of the agent that the router sent the attempt to.
	AgentBoot BootID
	Budget    ID
	Lot       LotID
	Slot      Slot
	// Reserved is the amount of the reservation.
	Reserved Tokens
	// AccountEpoch is the epoch of the holder that confirmed the lot last.
	AccountEpoch uint64
	// ClaimAccount and ClaimEpoch are the account and the epoch of the claim of an
	// idempotency key; ClaimEpoch is 0 without a claim.
	ClaimAccount Account
	ClaimEpoch   uint64
}

// ledgerEntry is an attempt that is running or whose bill is not acknowledged.
type ledgerEntry struct {
	Admission
	bill *Bill
	// acked is true if the router billed the running attempt without the agent, so
	// that the agent's bill is not needed.
	acked bool
}

type fenceKey struct {
	account Account
	boot    BootID
}

// Ledger holds an agent's running attempts, the bills that are not acknowledged as
// durable, fences and tombstones. It is kept in memory only: it is lost when the
// agent stops, and a new Ledger refuses all attempts until InitEpochs. The caller
// guards it with a lock.
type Ledger struct {
	agent         Incarnation
	epochsKnown   bool
	entries       map[uuid.UUID]*ledgerEntry
	fences        map[fenceKey]LotPosition
	accountEpochs map[Account]uint64
	claimEpochs   map[Account]uint64
	tombstones    map[uuid.UUID]struct{}
	absorbed      Tokens
}

// NewLedger returns the empty ledger of an agent incarnation.
func NewLedger(agent Incarnation) *Ledger {
	return &Ledger{
		agent: agent, entries: map[uuid.UUID]*ledgerEntry{}, fences: map[fenceKey]LotPosition{},
		accountEpochs: map[Account]uint64{}, claimEpochs: map[Account]uint64{},
		tombstones: map[uuid.UUID]struct{}{},
	}
}

// InitEpochs sets the epochs of the accounts from the holder records. The caller
// must have read these after the agent started, from the store or from a
// distributor (package syncer) that is in contact with the store. Without it a
// restarted agent would run requests on lots of a replaced holder, because it has
// lost the epochs that collections had raised.
func (l *Ledger) InitEpochs(epochs map[Account]uint64) {
	for account, epoch := range epochs {
		l.accountEpochs[account] = max(l.accountEpochs[account], epoch)
	}
	l.epochsKnown = true
}

// EpochsKnown reports whether InitEpochs was called.
func (l *Ledger) EpochsKnown() bool { return l.epochsKnown }

// Admit registers an attempt as running, or fails with the reason why it must not
// run.
func (l *Ledger) Admit(a Admission) error {
	account := a.Lot.Account
	fencedBefore, fenced := l.fences[fenceKey{account, a.Router.Boot}]
	_, tombstoned := l.tombstones[a.Attempt]
	switch {
	case a.AgentBoot != l.agent.Boot:
		return ErrWrongBoot
	case !l.epochsKnown:
		return ErrEpochsUnknown
	case tombstoned:
		return ErrTombstoned
	case l.entries[a.Attempt] != nil:
		return ErrDuplicateAttempt
	case fenced && a.Lot.Position().Before(fencedBefore):
		return ErrFenced
	case a.AccountEpoch < l.accountEpochs[account]:
		return fmt.Errorf("%w: %d, not %d", ErrStaleEpoch, a.AccountEpoch, l.accountEpochs[account])
	case a.ClaimEpoch != 0 && a.ClaimEpoch < l.claimEpochs[a.ClaimAccount]:
		return ErrStaleClaim
	}
	l.entries[a.Attempt] = &ledgerEntry{Admission: a}
	return nil
}

// Finish ends a running attempt and keeps its bill until Ack. It sets the bill's
// IDs and server, and caps its amount at the reservation. It returns nil, and keeps
// no bill, if the attempt costs nothing or is unknown.
func (l *Ledger) Finish(attempt uuid.UUID, bill Bill) *Bill {
	e := l.entries[attempt]
	if e == nil {
		return nil
	}
	if e.bill != nil {
		return e.bill
	}
	if bill.Amount <= 0 {
		delete(l.entries, attempt)
		return nil
	}
	if bill.Amount > e.Reserved {
		l.absorbed += bill.Amount - e.Reserved
		bill.Amount = e.Reserved
	}
	bill.Lot, bill.Slot, bill.Budget = e.Lot, e.Slot, e.Budget
	bill.Request, bill.Attempt, bill.Server = e.Request, attempt, l.agent.Name
	e.bill = &bill
	if e.acked {
		delete(l.entries, attempt)
	}
	return e.bill
}

// Absorbed returns the tokens that were used beyond reservations and are not
// billed.
func (l *Ledger) Absorbed() Tokens { return l.absorbed }

// Bill returns the bill of a finished attempt that is not acknowledged.
func (l *Ledger) Bill(attempt uuid.UUID) (Bill, bool) {
	if e := l.entries[attempt]; e != nil && e.bill != nil {
		return *e.bill, true
	}
	return Bill{}, false
}

// Running reports whether the attempt is running.
func (l *Ledger) Running(attempt uuid.UUID) bool {
	e := l.entries[attempt]
	return e != nil && e.bill == nil
}

// Ack deletes the bills of the attempts, because they are durable or will never
// count. If an attempt is still running, its router has billed it without the
// agent, and the agent's bill is deleted as soon as the attempt ends.
func (l *Ledger) Ack(attempts []uuid.UUID) {
	for _, id := range attempts {
		e := l.entries[id]
		switch {
		case e == nil:
		case e.bill != nil:
			delete(l.entries, id)
		default:
			e.acked = true
		}
	}
}

// Tombstone makes the ledger refuse an attempt that has not arrived. It returns
// false if the ledger has the attempt.
func (l *Ledger) Tombstone(attempt uuid.UUID) bool {
	if l.entries[attempt] != nil {
		return false
	}
	l.tombstones[attempt] = struct{}{}
	return true
}

// DropTombstone deletes a tombstone that has expired.
func (l *Ledger) DropTombstone(attempt uuid.UUID) { delete(l.tombstones, attempt) }

// Fence makes the ledger refuse a router incarnation's lots of an account that
// come before the given position. An earlier fence with a higher position stays
// in force.
func (l *Ledger) Fence(account Account, router Incarnation, before LotPosition) {
	key := fenceKey{account, router.Boot}
	if current, ok := l.fences[key]; !ok || current.Before(before) {
		l.fences[key] = before
	}
}

// RaiseEpoch makes the ledger refuse attempts whose lot was not confirmed by a
// holder of this or a later epoch of the account. It never lowers the epoch.
func (l *Ledger) RaiseEpoch(account Account, epoch uint64) {
	l.accountEpochs[account] = max(l.accountEpochs[account], epoch)
}

// Epoch returns the epoch of the account that the ledger enforces, 0 if none.
func (l *Ledger) Epoch(account Account) uint64 { return l.accountEpochs[account] }

// RaiseClaimEpoch makes the ledger refuse attempts whose claim is of the account and
// has a lower epoch. It never lowers the epoch.
func (l *Ledger) RaiseClaimEpoch(account Account, epoch uint64) {
	l.claimEpochs[account] = max(l.claimEpochs[account], epoch)
}

// RunningAttempt is an attempt in progress at an agent, with its reservation.
type RunningAttempt struct {
	Lot      LotID       `cbor:"1,keyasint"`
	Slot     Slot        `cbor:"2,keyasint"`
	Budget   ID          `cbor:"3,keyasint"`
	Router   Incarnation `cbor:"4,keyasint"`
	Reserved Tokens      `cbor:"5,keyasint"`
	Attempt  uuid.UUID   `cbor:"6,keyasint"`
}

// Collect returns the unacknowledged bills of an account, the boot ID of the router
// that each bill was made for, and the attempts in progress.
func (l *Ledger) Collect(account Account) (bills []Bill, routerBoots []BootID, running []RunningAttempt) {
	for id, e := range l.entries {
		switch {
		case e.Lot.Account != account:
		case e.bill != nil:
			bills = append(bills, *e.bill)
			routerBoots = append(routerBoots, e.Router.Boot)
		default:
			running = append(running, RunningAttempt{Attempt: id, Router: e.Router, Lot: e.Lot,
				Slot: e.Slot, Budget: e.Budget, Reserved: e.Reserved})
		}
	}
	return bills, routerBoots, running
}

// Counts returns the numbers of running attempts and of unacknowledged bills.
func (l *Ledger) Counts() (running, bills int) {
	for _, e := range l.entries {
		if e.bill != nil {
			bills++
		}
	}
	return len(l.entries) - bills, bills
}
