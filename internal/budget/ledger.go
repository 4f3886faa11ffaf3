package budget

import (
	"errors"
	"fmt"

	"github.com/google/uuid"
)

// Reasons for which a Ledger refuses an attempt. The attempt certainly did not
// run.
var (
	// ErrWrongBoot means that the attempt is meant for an earlier run of the
	// agent.
	ErrWrongBoot = errors.New("attempt is meant for another boot of the agent")
	// ErrFenced means that the router's lot was given up by its holder.
	ErrFenced = errors.New("router is fenced for the lot")
	// ErrStaleEpoch means that the lot was not confirmed by a holder of the
	// account's epoch.
	ErrStaleEpoch = errors.New("lot is not confirmed in the account's epoch")
	// ErrStaleClaim means that the claim was made before its home was taken over.
	ErrStaleClaim = errors.New("claim has an old epoch")
	// ErrTombstoned means that the attempt was given up before it arrived.
	ErrTombstoned = errors.New("attempt was given up")
	// ErrDuplicateAttempt means that the attempt is in the book already.
	ErrDuplicateAttempt = errors.New("attempt is known")
	// ErrEpochsUnknown means that the agent has restarted and does not know the
	// epochs of the accounts yet.
	ErrEpochsUnknown = errors.New("agent does not know the accounts' epochs yet")
)

// Admission is what a Ledger needs to know about an attempt.
type Admission struct {
	Request uuid.UUID
	Attempt uuid.UUID
	Router  Incarnation
	// TargetBoot is the boot of the agent that the router means.
	TargetBoot BootID
	Budget     ID
	Lot        LotID
	Slot       Slot
	Reserve    Tokens
	// AccountEpoch is the epoch of the holder that confirmed the lot last.
	AccountEpoch uint64
	// ClaimAccount and ClaimEpoch tell the claim of an idempotency key;
	// ClaimEpoch is 0 if there is none.
	ClaimAccount Account
	ClaimEpoch   uint64
}

// ledgerEntry is an attempt that is running, or whose bill is not acknowledged.
type ledgerEntry struct {
	Admission
	bill *Bill
	// acked is set if the attempt was billed without the agent while it ran,
	// so that its own bill is not needed.
	acked bool
}

type fenceKey struct {
	account Account
	boot    BootID
}

// Ledger is an agent's ledger: reservations in use, bills that are not durable,
// and fences. It is guarded by its caller's lock. Everything in it is lost when
// the agent stops; a new Ledger refuses all attempts until InitEpochs.
type Ledger struct {
	agent         Incarnation
	confirmed     bool
	entries       map[uuid.UUID]*ledgerEntry
	fences        map[fenceKey]LotPosition
	accountEpochs map[Account]uint64
	claimEpochs   map[Account]uint64
	tombstones    map[uuid.UUID]struct{}
	absorbed      Tokens
}

// NewLedger returns the empty book of an agent incarnation.
func NewLedger(agent Incarnation) *Ledger {
	return &Ledger{
		agent: agent, entries: map[uuid.UUID]*ledgerEntry{}, fences: map[fenceKey]LotPosition{},
		accountEpochs: map[Account]uint64{}, claimEpochs: map[Account]uint64{},
		tombstones: map[uuid.UUID]struct{}{},
	}
}

// InitEpochs gives the book the epochs of the holder records, as read from the
// store, or from a relay in contact with the store, after the agent started. An
// agent that has forgotten the epochs it was collected with would otherwise run
// requests on the grants of a replaced holder.
func (l *Ledger) InitEpochs(epochs map[Account]uint64) {
	for account, epoch := range epochs {
		l.accountEpochs[account] = max(l.accountEpochs[account], epoch)
	}
	l.confirmed = true
}

// EpochsKnown reports whether Confirm was called.
func (l *Ledger) EpochsKnown() bool { return l.confirmed }

// Admit registers an attempt as running, or returns why it must not run.
func (l *Ledger) Admit(a Admission) error {
	account := a.Lot.Account
	fencedBefore, fenced := l.fences[fenceKey{account, a.Router.Boot}]
	_, tombstoned := l.tombstones[a.Attempt]
	switch {
	case a.TargetBoot != l.agent.Boot:
		return ErrWrongBoot
	case !l.confirmed:
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
// identity and cuts its amount to the reservation. It returns nil if the attempt
// costs nothing or is unknown: such an attempt leaves no bill.
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
	if bill.Amount > e.Reserve {
		l.absorbed += bill.Amount - e.Reserve
		bill.Amount = e.Reserve
	}
	bill.Lot, bill.Slot, bill.Budget = e.Lot, e.Slot, e.Budget
	bill.Request, bill.Attempt, bill.Server = e.Request, attempt, l.agent.Name
	e.bill = &bill
	if e.acked {
		delete(l.entries, attempt)
	}
	return e.bill
}

// Absorbed returns the tokens that were used beyond reservations and not billed.
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

// Ack deletes the bills of attempts, which are durable. The bill of an attempt
// that is still running is deleted when it ends: its router billed it without
// the agent.
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

// Tombstone makes the book refuse an attempt that it does not know. It returns false
// if it knows the attempt.
func (l *Ledger) Tombstone(attempt uuid.UUID) bool {
	if l.entries[attempt] != nil {
		return false
	}
	l.tombstones[attempt] = struct{}{}
	return true
}

// DropTombstone drops a tombstone that is old enough to be of no use.
func (l *Ledger) DropTombstone(attempt uuid.UUID) { delete(l.tombstones, attempt) }

// Fence makes the book refuse a router incarnation's lots of an account that
// come before the mark, from now on.
func (l *Ledger) Fence(account Account, router Incarnation, before LotPosition) {
	key := fenceKey{account, router.Boot}
	if old, ok := l.fences[key]; !ok || old.Before(before) {
		l.fences[key] = before
	}
}

// RaiseEpoch makes the book refuse requests whose lot was not confirmed by a holder
// of this or a later epoch of the account.
func (l *Ledger) RaiseEpoch(account Account, epoch uint64) {
	l.accountEpochs[account] = max(l.accountEpochs[account], epoch)
}

// Epoch returns the epoch of the account that the book enforces, 0 if none.
func (l *Ledger) Epoch(account Account) uint64 { return l.accountEpochs[account] }

// RaiseClaimEpoch makes the book refuse claims of the account with a lower epoch.
func (l *Ledger) RaiseClaimEpoch(account Account, epoch uint64) {
	l.claimEpochs[account] = max(l.claimEpochs[account], epoch)
}

// RunningAttempt is a reservation in use at an agent.
type RunningAttempt struct {
	Lot     LotID       `cbor:"1,keyasint"`
	Slot    Slot        `cbor:"2,keyasint"`
	Budget  ID          `cbor:"3,keyasint"`
	Router  Incarnation `cbor:"4,keyasint"`
	Reserve Tokens      `cbor:"5,keyasint"`
	Attempt uuid.UUID   `cbor:"6,keyasint"`
}

// Collect returns what the book knows about an account: the bills with the
// boots of the routers that they were made for, and the attempts in progress.
func (l *Ledger) Collect(account Account) (bills []Bill, routers []BootID, running []RunningAttempt) {
	for id, e := range l.entries {
		switch {
		case e.Lot.Account != account:
		case e.bill != nil:
			bills = append(bills, *e.bill)
			routers = append(routers, e.Router.Boot)
		default:
			running = append(running, RunningAttempt{Attempt: id, Router: e.Router, Lot: e.Lot,
				Slot: e.Slot, Budget: e.Budget, Reserve: e.Reserve})
		}
	}
	return bills, routers, running
}

// Counts returns the number of running attempts and of bills kept.
func (l *Ledger) Counts() (running, bills int) {
	for _, e := range l.entries {
		if e.bill != nil {
			bills++
		}
	}
	return len(l.entries) - bills, bills
}
