package budget

import (
	"fmt"
	"slices"
)

// LotPosition orders the lots of an account by epoch and number.
type LotPosition struct {
	Epoch uint64 `cbor:"1,keyasint"`
	Num   uint64 `cbor:"2,keyasint"`
}

// Position returns the lot's place in the order of its account's lots.
func (id LotID) Position() LotPosition { return LotPosition{Epoch: id.Epoch, Num: id.Num} }

// Before reports whether m comes before o.
func (p LotPosition) Before(o LotPosition) bool {
	return p.Epoch < o.Epoch || p.Epoch == o.Epoch && p.Num < o.Num
}

// AccountBudget is the durable state of one active budget in a region.
type AccountBudget struct {
	// Drawn equals the treasury's Drawn for the region.
	Drawn Tokens `cbor:"1,keyasint"`
	// Spent is the sum of all durable bills, of open and closed lots.
	Spent Tokens `cbor:"2,keyasint,omitempty"`
	// Lost is counted as spent because its bills cannot be recovered.
	Lost Tokens `cbor:"3,keyasint,omitempty"`
}

// AccountLot is the durable state of one open lot.
type AccountLot struct {
	Position LotPosition `cbor:"1,keyasint"`
	Router   Incarnation `cbor:"2,keyasint"`
	Budget   ID          `cbor:"3,keyasint"`
	// Limit is the lot's limit when the record was written. It may have grown
	// since, unless the record is sealed.
	Limit Tokens `cbor:"4,keyasint,omitempty"`
	// Settled holds the slots with a durable bill and those that will never
	// have one.
	Settled IntervalSet `cbor:"5,keyasint,omitempty"`
	// Billed is the sum of the lot's durable bills.
	Billed Tokens `cbor:"6,keyasint,omitempty"`
	// Closed is set if the holder has settled the lot without its router, and
	// some of its bills are not durable: its router must not use it again.
	Closed bool `cbor:"7,keyasint,omitempty"`
}

// AccountRecord is the durable state of one shard in one region.
type AccountRecord struct {
	Account Account `cbor:"1,keyasint"`
	// Epoch rises with each takeover and fences the former holder.
	Epoch uint64 `cbor:"2,keyasint"`
	// FlushSeq numbers the writes of the record. A holder that does not know
	// whether its write took effect compares it.
	FlushSeq uint64                `cbor:"3,keyasint"`
	Holder   Incarnation           `cbor:"4,keyasint"`
	Budgets  map[ID]*AccountBudget `cbor:"5,keyasint,omitempty"`
	Lots     []AccountLot          `cbor:"6,keyasint,omitempty"` // ascending by Mark
	// Next holds, for the current epoch and each former epoch that is not
	// reconciled, the first lot number that the record does not cover. A lot
	// below it that is not in Lots is closed for good.
	Next []LotPosition `cbor:"7,keyasint,omitempty"` // ascending
	// SealedEpoch is set to Epoch by a holder that has stopped for good after
	// this write, so its lots and their limits are exact.
	SealedEpoch uint64 `cbor:"8,keyasint,omitempty"`
	// FlushedUnixMilli is when the record was written by a holder, by its clock.
	// A takeover keeps it.
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

// Check returns an InvariantError if the amounts contradict each other.
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

// TakeOver returns the record with which holder takes the account over, to be
// written by compare-and-swap together with the HolderRecord. old is nil if the
// account does not exist yet. If the outcome of the write is unknown, the caller
// reads the record back: it is the holder if Epoch and Holder match.
func TakeOver(account Account, old *AccountRecord, holder Incarnation) *AccountRecord {
	if old == nil {
		return &AccountRecord{
			Account: account, Epoch: 1, FlushSeq: 1, Holder: holder,
			Budgets: map[ID]*AccountBudget{}, Next: []LotPosition{{Epoch: 1, Num: 1}},
		}
	}
	a := &AccountRecord{
		Account: account, Epoch: old.Epoch + 1, FlushSeq: old.FlushSeq + 1, Holder: holder,
		Budgets: make(map[ID]*AccountBudget, len(old.Budgets)),
		Lots:    make([]AccountLot, len(old.Lots)),
		Next:    append(slices.Clone(old.Next), LotPosition{Epoch: old.Epoch + 1, Num: 1}),

		FlushedUnixMilli: old.FlushedUnixMilli,
	}
	if old.SealedEpoch == old.Epoch {
		a.SealedEpoch = old.SealedEpoch
	}
	for id, b := range old.Budgets {
		c := *b
		a.Budgets[id] = &c
	}
	for i, lot := range old.Lots {
		lot.Settled = lot.Settled.Clone()
		a.Lots[i] = lot
	}
	return a
}

// HolderRecord tells routers who holds an account.
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

// Loss is an amount that counts as spent although no bill is known for it.
type Loss struct {
	Budget ID     `cbor:"1,keyasint"`
	Amount Tokens `cbor:"2,keyasint"`
	// Lot is zero if the loss is escrow of a former epoch.
	Lot    LotPosition `cbor:"3,keyasint"`
	Router Incarnation `cbor:"4,keyasint"`
	// Agents names the agents whose records are lost.
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

// Empty reports whether there is nothing to write.
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
