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
	// MinAccountEpoch is the epoch of the holder that confirmed the lot last.
	AccountEpoch uint64
	// ClaimAccount and MinClaimEpoch tell the claim of an idempotency key;
	// MinClaimEpoch is 0 if there is none.
	ClaimAccount Account
	ClaimEpoch   uint64
}

// bookEntry is an attempt that is running, or whose bill is not acknowledged.
type bookEntry struct {
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
	agent      Incarnation
	confirmed  bool
	entries    map[uuid.UUID]*bookEntry
	fences     map[fenceKey]LotPosition
	epochs     map[Account]uint64
	claims     map[Account]uint64
	tombstones map[uuid.UUID]struct{}
	absorbed   Tokens
}

// NewLedger returns the empty book of an agent incarnation.
func NewLedger(agent Incarnation) *Ledger {
	return &Ledger{
		agent: agent, entries: map[uuid.UUID]*bookEntry{}, fences: map[fenceKey]LotPosition{},
		epochs: map[Account]uint64{}, claims: map[Account]uint64{},
		tombstones: map[uuid.UUID]struct{}{},
	}
}

// InitEpochs gives the book the epochs of the holder records, as read from the
// store, or from a relay in contact with the store, after the agent started. An
// agent that has forgotten the epochs it was collected with would otherwise run
// requests on the grants of a replaced holder.
func (b *Ledger) InitEpochs(epochs map[Account]uint64) {
	for account, epoch := range epochs {
		b.epochs[account] = max(b.epochs[account], epoch)
	}
	b.confirmed = true
}

// EpochsKnown reports whether Confirm was called.
func (b *Ledger) EpochsKnown() bool { return b.confirmed }

// Admit registers an attempt as running, or returns why it must not run.
func (b *Ledger) Admit(a Admission) error {
	account := a.Lot.Account
	mark, fenced := b.fences[fenceKey{account, a.Router.Boot}]
	_, dead := b.tombstones[a.Attempt]
	switch {
	case a.TargetBoot != b.agent.Boot:
		return ErrWrongBoot
	case !b.confirmed:
		return ErrEpochsUnknown
	case dead:
		return ErrTombstoned
	case b.entries[a.Attempt] != nil:
		return ErrDuplicateAttempt
	case fenced && a.Lot.Position().Before(mark):
		return ErrFenced
	case a.AccountEpoch < b.epochs[account]:
		return fmt.Errorf("%w: %d, not %d", ErrStaleEpoch, a.AccountEpoch, b.epochs[account])
	case a.ClaimEpoch != 0 && a.ClaimEpoch < b.claims[a.ClaimAccount]:
		return ErrStaleClaim
	}
	b.entries[a.Attempt] = &bookEntry{Admission: a}
	return nil
}

// Finish ends a running attempt and keeps its bill until Ack. It sets the bill's
// identity and cuts its amount to the reservation. It returns nil if the attempt
// costs nothing or is unknown: such an attempt leaves no bill.
func (b *Ledger) Finish(attempt uuid.UUID, bill Bill) *Bill {
	e := b.entries[attempt]
	if e == nil {
		return nil
	}
	if e.bill != nil {
		return e.bill
	}
	if bill.Amount <= 0 {
		delete(b.entries, attempt)
		return nil
	}
	if bill.Amount > e.Reserve {
		b.absorbed += bill.Amount - e.Reserve
		bill.Amount = e.Reserve
	}
	bill.Lot, bill.Slot, bill.Budget = e.Lot, e.Slot, e.Budget
	bill.Request, bill.Attempt, bill.Server = e.Request, attempt, b.agent.Name
	e.bill = &bill
	if e.acked {
		delete(b.entries, attempt)
	}
	return e.bill
}

// Absorbed returns the tokens that were used beyond reservations and not billed.
func (b *Ledger) Absorbed() Tokens { return b.absorbed }

// Bill returns the bill of a finished attempt that is not acknowledged.
func (b *Ledger) Bill(attempt uuid.UUID) (Bill, bool) {
	if e := b.entries[attempt]; e != nil && e.bill != nil {
		return *e.bill, true
	}
	return Bill{}, false
}

// Running reports whether the attempt is running.
func (b *Ledger) Running(attempt uuid.UUID) bool {
	e := b.entries[attempt]
	return e != nil && e.bill == nil
}

// Ack deletes the bills of attempts, which are durable. The bill of an attempt
// that is still running is deleted when it ends: its router billed it without
// the agent.
func (b *Ledger) Ack(attempts []uuid.UUID) {
	for _, id := range attempts {
		e := b.entries[id]
		switch {
		case e == nil:
		case e.bill != nil:
			delete(b.entries, id)
		default:
			e.acked = true
		}
	}
}

// Tombstone makes the book refuse an attempt that it does not know. It returns false
// if it knows the attempt.
func (b *Ledger) Tombstone(attempt uuid.UUID) bool {
	if b.entries[attempt] != nil {
		return false
	}
	b.tombstones[attempt] = struct{}{}
	return true
}

// DropTombstone drops a tombstone that is old enough to be of no use.
func (b *Ledger) DropTombstone(attempt uuid.UUID) { delete(b.tombstones, attempt) }

// Fence makes the book refuse a router incarnation's lots of an account that
// come before the mark, from now on.
func (b *Ledger) Fence(account Account, router Incarnation, through LotPosition) {
	key := fenceKey{account, router.Boot}
	if old, ok := b.fences[key]; !ok || old.Before(through) {
		b.fences[key] = through
	}
}

// RaiseEpoch makes the book refuse requests whose lot was not confirmed by a holder
// of this or a later epoch of the account.
func (b *Ledger) RaiseEpoch(account Account, epoch uint64) {
	b.epochs[account] = max(b.epochs[account], epoch)
}

// Epoch returns the epoch of the account that the book enforces, 0 if none.
func (b *Ledger) Epoch(account Account) uint64 { return b.epochs[account] }

// RaiseClaimEpoch makes the book refuse claims of the account with a lower epoch.
func (b *Ledger) RaiseClaimEpoch(account Account, epoch uint64) {
	b.claims[account] = max(b.claims[account], epoch)
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
func (b *Ledger) Collect(account Account) (bills []Bill, routers []BootID, running []RunningAttempt) {
	for id, e := range b.entries {
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
func (b *Ledger) Counts() (running, bills int) {
	for _, e := range b.entries {
		if e.bill != nil {
			bills++
		}
	}
	return len(b.entries) - bills, bills
}
