package budget

import (
	"fmt"
	"slices"
)

// LotPosition is the position of a lot in the order of its account's lots, by
// epoch and then by number.
type LotPosition struct {
	Epoch uint64 `cbor:"1,keyasint"`
	Num   uint64 `cbor:"2,keyasint"`
}

// Position returns the lot's position in the order of its account's lots.
func (id LotID) Position() LotPosition { return LotPosition{Epoch: id.Epoch, Num: id.Num} }

// Before reports whether p comes before o.
func (p LotPosition) Before(o LotPosition) bool {
	return p.Epoch < o.Epoch || p.Epoch == o.Epoch && p.Num < o.Num
}

// AccountBudget is the durable state of one active budget in one region.
type AccountBudget struct {
	// Drawn is what the region has drawn and not returned, including what is spent
	// or lost; it equals TreasuryBudget.Drawn of the region.
	Drawn Tokens `cbor:"1,keyasint"`
	// Spent is the sum of all durable bills, of open and closed lots.
	Spent Tokens `cbor:"2,keyasint,omitempty"`
	// Lost is the amount that counts as spent because its bills cannot be
	// recovered.
	Lost Tokens `cbor:"3,keyasint,omitempty"`
}

// AccountLot is the durable state of one lot.
type AccountLot struct {
	Position LotPosition `cbor:"1,keyasint"`
	Router   Incarnation `cbor:"2,keyasint"`
	Budget   ID          `cbor:"3,keyasint"`
	// Limit is the lot's limit when the record was written. It may have changed
	// since, unless the record is sealed. It is 0 while the holder does not know the
	// limit of a lot of a former epoch.
	Limit Tokens `cbor:"4,keyasint,omitempty"`
	// Settled holds the slots that have a durable bill or will never have a bill.
	Settled IntervalSet `cbor:"5,keyasint,omitempty"`
	// Billed is the sum of the lot's durable bills.
	Billed Tokens `cbor:"6,keyasint,omitempty"`
	// Closed is true if the lot is closed. It is listed until its bills are durable
	// and, for a lot of a former epoch, until the reconciliation has ended. The
	// router must not use the lot again.
	Closed bool `cbor:"7,keyasint,omitempty"`
}

// AccountRecord is the durable state of an account: one shard in one region.
type AccountRecord struct {
	Account Account `cbor:"1,keyasint"`
	// Epoch increases with each takeover, which makes writes of the former holder
	// fail.
	Epoch uint64 `cbor:"2,keyasint"`
	// FlushSeq is the sequence number of the write. A holder reads it back to find
	// out whether a write with an unknown outcome took effect.
	FlushSeq uint64                `cbor:"3,keyasint"`
	Holder   Incarnation           `cbor:"4,keyasint"`
	Budgets  map[ID]*AccountBudget `cbor:"5,keyasint,omitempty"`
	Lots     []AccountLot          `cbor:"6,keyasint,omitempty"` // ascending by Position
	// Next holds, for the current epoch and each former epoch that is not
	// reconciled, the first position that the record does not cover. A lot of the
	// epoch before it that is not in Lots is closed permanently.
	Next []LotPosition `cbor:"7,keyasint,omitempty"` // ascending
	// SealedEpoch equals Epoch if the holder stopped permanently after this write,
	// so that the lots and their limits are exact. The takeover of such a record
	// keeps SealedEpoch, which tells the successor that nothing is unreconciled.
	SealedEpoch uint64 `cbor:"8,keyasint,omitempty"`
	// FlushedUnixMilli is when a holder last flushed the record, by its clock. A
	// takeover does not change it.
	FlushedUnixMilli int64 `cbor:"9,keyasint,omitempty"`
}

// Encode returns the record's bytes.
func (a *AccountRecord) Encode() ([]byte, error) { return encodeRecord(a) }

// DecodeAccount is the inverse of Encode. It fails with ErrCorrupt or
// ErrRecordVersion.
func DecodeAccount(data []byte) (*AccountRecord, error) {
	a := new(AccountRecord)
	if err := decodeRecord(data, a); err != nil {
		return nil, err
	}
	if a.Budgets == nil {
		a.Budgets = map[ID]*AccountBudget{}
	}
	if err := a.Check(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return a, nil
}

// Check returns an *InvariantError if the amounts are inconsistent.
func (a *AccountRecord) Check() error {
	billed := make(map[ID]Tokens, len(a.Budgets))
	for i, lot := range a.Lots {
		if a.Budgets[lot.Budget] == nil {
			return invariantErrorf("account", lot.Budget, "lot %s has no entry", lot.Position)
		}
		if i > 0 && !a.Lots[i-1].Position.Before(lot.Position) {
			return invariantErrorf("account", lot.Budget, "lots are not in order")
		}
		if lot.Billed < 0 || lot.Limit < 0 || lot.Limit > 0 && lot.Billed > lot.Limit || !lot.Settled.valid() {
			return invariantErrorf("account", lot.Budget, "lot %s: billed %d, limit %d, settled %v",
				lot.Position, lot.Billed, lot.Limit, lot.Settled)
		}
		if lot.Position.Epoch == 0 || lot.Position.Epoch > a.Epoch {
			return invariantErrorf("account", lot.Budget, "lot of epoch %d in epoch %d", lot.Position.Epoch, a.Epoch)
		}
		billed[lot.Budget] += lot.Billed
	}
	for id, b := range a.Budgets {
		if b == nil {
			return invariantErrorf("account", id, "entry is empty")
		}
		if b.Spent < 0 || b.Lost < 0 || b.Spent > b.Drawn || b.Lost > b.Drawn-b.Spent || billed[id] < 0 || billed[id] > b.Spent {
			return invariantErrorf("account", id, "drawn %d, spent %d, lost %d, billed in lots %d",
				b.Drawn, b.Spent, b.Lost, billed[id])
		}
	}
	return nil
}

// TakeOver returns the record with which holder takes the account over. previous
// is the record in the store, nil if the account does not exist yet. The caller
// writes the result by compare-and-swap, together with the holder record. If the
// outcome of the write is unknown, the caller reads the record back: holder has
// taken over if Epoch and Holder match.
func TakeOver(account Account, previous *AccountRecord, holder Incarnation) *AccountRecord {
	if previous == nil {
		return &AccountRecord{
			Account: account, Epoch: 1, FlushSeq: 1, Holder: holder,
			Budgets: map[ID]*AccountBudget{}, Next: []LotPosition{{Epoch: 1, Num: 1}},
		}
	}
	a := &AccountRecord{
		Account: account, Epoch: previous.Epoch + 1, FlushSeq: previous.FlushSeq + 1, Holder: holder,
		Budgets: make(map[ID]*AccountBudget, len(previous.Budgets)),
		Lots:    make([]AccountLot, len(previous.Lots)),
		Next:    append(slices.Clone(previous.Next), LotPosition{Epoch: previous.Epoch + 1, Num: 1}),

		FlushedUnixMilli: previous.FlushedUnixMilli,
	}
	if previous.SealedEpoch == previous.Epoch {
		a.SealedEpoch = previous.SealedEpoch
	}
	for id, b := range previous.Budgets {
		c := *b
		a.Budgets[id] = &c
	}
	for i, lot := range previous.Lots {
		lot.Settled = lot.Settled.Clone()
		a.Lots[i] = lot
	}
	return a
}

// HolderRecord identifies the holder of an account. It is not the holder record in
// the store, which is config.HolderRecord.
type HolderRecord struct {
	Epoch   uint64 `cbor:"1,keyasint"`
	Name    string `cbor:"2,keyasint"`
	Address string `cbor:"3,keyasint"` // ip:port
	Boot    BootID `cbor:"4,keyasint"`
}

// Encode returns the record's bytes.
func (h HolderRecord) Encode() ([]byte, error) { return encodeRecord(h) }

// DecodeHolder is the inverse of Encode. It fails with ErrCorrupt or
// ErrRecordVersion.
func DecodeHolder(data []byte) (HolderRecord, error) {
	var h HolderRecord
	err := decodeRecord(data, &h)
	return h, err
}

// Loss is an amount that counts as spent because its bills cannot be recovered.
type Loss struct {
	Budget ID     `cbor:"1,keyasint"`
	Amount Tokens `cbor:"2,keyasint"`
	// Lot is zero if the loss is unreconciled escrow of former epochs.
	Lot    LotPosition `cbor:"3,keyasint"`
	Router Incarnation `cbor:"4,keyasint"`
	// Agents holds the names of the agents whose bills are lost.
	Agents    []string `cbor:"5,keyasint,omitempty"`
	UnixMilli int64    `cbor:"6,keyasint"`
}

// BillBlock holds the bills and losses that became durable with one flush.
type BillBlock struct {
	Account Account `cbor:"1,keyasint"`
	Epoch   uint64  `cbor:"2,keyasint"`
	Seq     uint64  `cbor:"3,keyasint"`
	Bills   []Bill  `cbor:"4,keyasint,omitempty"`
	Losses  []Loss  `cbor:"5,keyasint,omitempty"`
}

// Empty reports whether the block has neither bills nor losses.
func (b *BillBlock) Empty() bool { return len(b.Bills) == 0 && len(b.Losses) == 0 }

// Encode returns the record's bytes.
func (b *BillBlock) Encode() ([]byte, error) { return encodeRecord(b) }

// DecodeBillBlock is the inverse of Encode. It fails with ErrCorrupt or
// ErrRecordVersion.
func DecodeBillBlock(data []byte) (*BillBlock, error) {
	b := new(BillBlock)
	if err := decodeRecord(data, b); err != nil {
		return nil, err
	}
	return b, nil
}
