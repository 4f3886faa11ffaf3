package budget

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
)

const (
	// MaxTopUpIDs is the number of top-up IDs that a budget keeps to deduplicate
	// top-ups. One that is repeated after this many others counts again.
	MaxTopUpIDs = 32
	// MaxTopUpIDBytes is the longest top-up ID, in bytes.
	MaxTopUpIDBytes = 64
	// MaxKeyHashes is the largest number of API keys of a budget.
	MaxKeyHashes = 32
	// keyHashBytes is the size of a SHA-256 hash.
	keyHashBytes = 32
)

// Errors of treasury operations. An operation that fails does not change the
// treasury.
var (
	ErrNoBudget      = errors.New("no such budget")
	ErrBudgetExists  = errors.New("budget exists")
	ErrBadAmount     = errors.New("number of tokens or keys is out of range")
	ErrBadName       = errors.New("name, id or key hash is invalid")
	ErrTopUpMismatch = errors.New("top-up id was used with another amount")
	ErrInsufficient  = errors.New("unallocated balance is too small")
	ErrDrawnMismatch = errors.New("amount drawn differs between treasury and account")
)

// TopUpEntry is a recent top-up, kept to deduplicate repeated ones.
type TopUpEntry struct {
	ID     string `cbor:"1,keyasint"`
	Amount Tokens `cbor:"2,keyasint"`
}

// TreasuryBudget is the deployment-wide state of one budget.
type TreasuryBudget struct {
	// Paid is the sum of all top-ups.
	Paid   Tokens       `cbor:"1,keyasint"`
	TopUps []TopUpEntry `cbor:"2,keyasint,omitempty"` // oldest first
	// ClosedSpent and ClosedLost are the sums of what was spent and lost according to
	// the region entries that CloseRegion has removed.
	ClosedSpent Tokens `cbor:"3,keyasint,omitempty"`
	ClosedLost  Tokens `cbor:"4,keyasint,omitempty"`
	// Drawn is what each region has drawn and not returned, including what is spent
	// or lost there.
	Drawn map[string]Tokens `cbor:"5,keyasint,omitempty"`
	// Demand is each region's use in tokens/s as of its last write. Shares and
	// forecasts are calculated from it, never what may be spent.
	Demand map[string]float64 `cbor:"6,keyasint,omitempty"`
	// KeyHashes holds the SHA-256 hashes of the budget's API keys.
	KeyHashes [][]byte `cbor:"7,keyasint,omitempty"`
	// Unspent is each region's unspent escrow as of its last write. Shares and
	// forecasts are calculated from it, never what may be spent.
	Unspent map[string]Tokens `cbor:"8,keyasint,omitempty"`
}

// Unallocated returns the balance that no region has drawn.
func (b *TreasuryBudget) Unallocated() Tokens {
	unallocated := b.Paid - b.ClosedSpent - b.ClosedLost
	for _, drawn := range b.Drawn {
		unallocated -= drawn
	}
	return unallocated
}

func (b *TreasuryBudget) clone() *TreasuryBudget {
	c := *b
	c.TopUps = slices.Clone(b.TopUps)
	c.Drawn = maps.Clone(b.Drawn)
	c.Demand = maps.Clone(b.Demand)
	c.Unspent = maps.Clone(b.Unspent)
	c.KeyHashes = slices.Clone(b.KeyHashes)
	return &c
}

// Treasury is the global balance record of a shard's budgets, over all regions.
type Treasury struct {
	Shard   Shard                  `cbor:"1,keyasint"`
	Budgets map[ID]*TreasuryBudget `cbor:"2,keyasint,omitempty"`
}

// NewTreasury returns an empty treasury.
func NewTreasury(shard Shard) *Treasury {
	return &Treasury{Shard: shard, Budgets: map[ID]*TreasuryBudget{}}
}

// Encode returns the record's bytes.
func (t *Treasury) Encode() ([]byte, error) { return encodeRecord(t) }

// DecodeTreasury is the inverse of Encode. It fails with ErrCorrupt or
// ErrRecordVersion.
func DecodeTreasury(data []byte) (*Treasury, error) {
	t := new(Treasury)
	if err := decodeRecord(data, t); err != nil {
		return nil, err
	}
	if t.Budgets == nil {
		t.Budgets = map[ID]*TreasuryBudget{}
	}
	if err := t.Check(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return t, nil
}

// Clone returns a copy whose entries can be changed independently of t.
func (t *Treasury) Clone() *Treasury {
	c := &Treasury{Shard: t.Shard, Budgets: make(map[ID]*TreasuryBudget, len(t.Budgets))}
	for id, b := range t.Budgets {
		c.Budgets[id] = b.clone()
	}
	return c
}

// CreateBudget adds an empty budget. It fails with ErrBudgetExists or
// ErrBadName.
func (t *Treasury) CreateBudget(id ID) error {
	if id.Workspace() == "" || id.Workspace() == string(id) || len(id) > 256 {
		return fmt.Errorf("%w: budget %q", ErrBadName, id)
	}
	if t.Budgets[id] != nil {
		return fmt.Errorf("%w: %q", ErrBudgetExists, id)
	}
	t.Budgets[id] = &TreasuryBudget{}
	return nil
}

// get returns the entry of id, or fails with ErrNoBudget.
func (t *Treasury) get(id ID) (*TreasuryBudget, error) {
	if b := t.Budgets[id]; b != nil {
		return b, nil
	}
	return nil, fmt.Errorf("%w: %q", ErrNoBudget, id)
}

// TopUp adds a payment. It is idempotent by topUpID, and reports whether the
// payment is new. It fails with ErrNoBudget, ErrBadName, ErrBadAmount, or
// ErrTopUpMismatch if topUpID was used with another amount.
func (t *Treasury) TopUp(id ID, topUpID string, amount Tokens) (bool, error) {
	b, err := t.get(id)
	if err != nil {
		return false, err
	}
	if topUpID == "" || len(topUpID) > MaxTopUpIDBytes {
		return false, fmt.Errorf("%w: top-up id of %d bytes", ErrBadName, len(topUpID))
	}
	if amount <= 0 || b.Paid > math.MaxInt64-amount {
		return false, fmt.Errorf("%w: top-up of %d tokens", ErrBadAmount, amount)
	}
	for _, e := range b.TopUps {
		if e.ID != topUpID {
			continue
		}
		if e.Amount != amount {
			return false, fmt.Errorf("%w: %q is %d tokens", ErrTopUpMismatch, topUpID, e.Amount)
		}
		return false, nil
	}
	b.Paid += amount
	b.TopUps = append(b.TopUps, TopUpEntry{ID: topUpID, Amount: amount})
	if n := len(b.TopUps) - MaxTopUpIDs; n > 0 {
		b.TopUps = slices.Delete(b.TopUps, 0, n)
	}
	return true, nil
}

// SetKeyHashes replaces the SHA-256 hashes of the budget's API keys. It fails with
// ErrNoBudget, ErrBadAmount if there are too many, or ErrBadName if one is no
// SHA-256 hash.
func (t *Treasury) SetKeyHashes(id ID, hashes [][]byte) error {
	b, err := t.get(id)
	if err != nil {
		return err
	}
	if len(hashes) > MaxKeyHashes {
		return fmt.Errorf("%w: %d key hashes", ErrBadAmount, len(hashes))
	}
	for _, h := range hashes {
		if len(h) != keyHashBytes {
			return fmt.Errorf("%w: key hash of %d bytes", ErrBadName, len(h))
		}
	}
	b.KeyHashes = slices.Clone(hashes)
	return nil
}

// Draw moves amount from the unallocated balance to a region. It fails with
// ErrNoBudget, ErrBadAmount, or ErrInsufficient if the balance is smaller.
func (t *Treasury) Draw(id ID, region string, amount Tokens) error {
	b, err := t.get(id)
	if err != nil {
		return err
	}
	if amount < 0 {
		return fmt.Errorf("%w: draw of %d tokens", ErrBadAmount, amount)
	}
	if unallocated := b.Unallocated(); amount > unallocated {
		return fmt.Errorf("%w: %d of %d tokens", ErrInsufficient, amount, unallocated)
	}
	if b.Drawn == nil {
		b.Drawn = map[string]Tokens{}
	}
	b.Drawn[region] += amount
	return nil
}

// Return moves amount from a region back to the unallocated balance. It fails
// with ErrNoBudget, or ErrBadAmount if the region has drawn less.
func (t *Treasury) Return(id ID, region string, amount Tokens) error {
	b, err := t.get(id)
	if err != nil {
		return err
	}
	if amount < 0 || amount > b.Drawn[region] {
		return fmt.Errorf("%w: return of %d of %d tokens", ErrBadAmount, amount, b.Drawn[region])
	}
	b.Drawn[region] -= amount
	return nil
}

// CloseRegion removes a region's entry and adds what it spent and lost to the
// totals. The caller removes the budget from the region's account record in the
// same transaction. It fails with ErrNoBudget, or ErrDrawnMismatch if the region
// has drawn another amount.
func (t *Treasury) CloseRegion(id ID, region string, spent, lost Tokens) error {
	b, err := t.get(id)
	if err != nil {
		return err
	}
	if spent < 0 || lost < 0 || spent+lost != b.Drawn[region] {
		return fmt.Errorf("%w: region closed with %d spent and %d lost, but %d drawn",
			ErrDrawnMismatch, spent, lost, b.Drawn[region])
	}
	b.ClosedSpent += spent
	b.ClosedLost += lost
	delete(b.Drawn, region)
	delete(b.Demand, region)
	delete(b.Unspent, region)
	return nil
}

// Check returns an *InvariantError if the amounts are inconsistent.
func (t *Treasury) Check() error {
	for id, b := range t.Budgets {
		if b == nil {
			return invariantErrorf("treasury", id, "entry is empty")
		}
		if b.Paid < 0 || b.ClosedSpent < 0 || b.ClosedLost < 0 {
			return invariantErrorf("treasury", id, "paid %d, closed spent %d, closed lost %d", b.Paid, b.ClosedSpent, b.ClosedLost)
		}
		remaining := b.Paid
		for _, part := range append(slices.Collect(maps.Values(b.Drawn)), b.ClosedSpent, b.ClosedLost) {
			if part < 0 || part > remaining {
				return invariantErrorf("treasury", id, "parts exceed the %d tokens paid", b.Paid)
			}
			remaining -= part
		}
	}
	return nil
}
