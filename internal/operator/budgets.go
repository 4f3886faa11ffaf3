// Package operator changes budgets and API keys in the store on behalf of operators, and reads
// balances and statements for reports. Every change is idempotent: retrying it after a lost
// reply does not apply it twice. Package ctl and the test bed call it. It must not know how
// commands are parsed or how results are printed.
package operator

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base32"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/holder"
	"github.com/monsoonworks/monsoonworks/internal/store"
)

// ErrContention means that a change was not committed within maxAttempts attempts because of
// concurrent writes of the treasury.
var ErrContention = errors.New("treasury changed by other writers in every attempt, try again later")

// ErrNoKey means that the budget has no API key with the given ID.
var ErrNoKey = errors.New("no such key")

const (
	// maxAttempts limits the number of commits that are sent for one change.
	maxAttempts = 32
	// secretBytes is the number of random bytes in an API key.
	secretBytes = 20
	// KeyIDBytes is the number of bytes of a key's hash that form its ID.
	KeyIDBytes = 6
)

// BudgetManager changes and reads the budgets of a deployment. KV is the store, Shards the
// deployment's number of budget shards.
type BudgetManager struct {
	KV     store.KV
	Shards uint32
}

// minBackoff is the first and maxBackoff the longest wait between attempts while the outcome
// of a write is unknown.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
)

// update changes the treasury of a budget's shard by compare-and-swap. change must be
// idempotent, because it is called again after a lost race or a lost reply. Its parameter
// outcomeUnknown is set if an earlier attempt may have been committed. While that is so,
// update retries until ctx ends, and then returns store.ErrUnknownOutcome. Any other error
// means that nothing was changed.
func (m BudgetManager) update(ctx context.Context, id budget.ID, change func(t *budget.Treasury, outcomeUnknown bool) error) error {
	u := &treasuryUpdate{manager: m, shard: budget.ShardOf(id, m.Shards), change: change}
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		done, err := u.attempt(ctx)
		if done {
			return err
		}
		if u.outcomeUnknown {
			timer := time.NewTimer(backoff)
			select {
			case <-timer.C:
			case <-ctx.Done():
				timer.Stop()
				return fmt.Errorf("%w: %w", store.ErrUnknownOutcome, err)
			}
		}
	}
}

// treasuryUpdate is the state of one call of BudgetManager.update.
type treasuryUpdate struct {
	manager  BudgetManager
	shard    budget.Shard
	change   func(t *budget.Treasury, outcomeUnknown bool) error
	attempts int
	// outcomeUnknown is set once the reply to a commit was lost.
	outcomeUnknown bool
}

// attempt reads the treasury, changes it and commits. done reports that the update has ended
// with err; otherwise err is the reason for another attempt, nil after a lost race.
func (u *treasuryUpdate) attempt(ctx context.Context) (done bool, err error) {
	key := holder.TreasuryKey(u.shard)
	entry, treasury, err := u.manager.readTreasury(ctx, key, u.shard)
	if err != nil {
		return !u.outcomeUnknown, err
	}
	if err := u.change(treasury, u.outcomeUnknown); err != nil {
		return true, err
	}
	value, err := treasury.Encode()
	if err != nil {
		return true, err
	}
	if bytes.Equal(value, entry.Value) {
		return true, nil
	}
	if u.attempts++; u.attempts > maxAttempts {
		return true, ErrContention
	}
	result, err := u.manager.KV.Commit(ctx, store.Txn{
		Compare: []store.Compare{{Key: key, ModRevision: entry.ModRevision}},
		Write:   []store.Write{{Key: key, Value: value}},
	})
	switch {
	case err == nil:
		// After a failed comparison the next read shows whether an earlier attempt with
		// a lost reply was committed. outcomeUnknown stays set, because change must
		// know that what it then finds may be its own write.
		return result.Committed, nil
	case errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrTooLarge):
		return !u.outcomeUnknown, err
	}
	u.outcomeUnknown = true
	return false, err
}

func (m BudgetManager) readTreasury(ctx context.Context, key string, shard budget.Shard) (store.Entry, *budget.Treasury, error) {
	entry, err := m.KV.Get(ctx, key)
	if err != nil {
		return entry, nil, err
	}
	if entry.ModRevision == 0 {
		return entry, budget.NewTreasury(shard), nil
	}
	treasury, err := budget.DecodeTreasury(entry.Value)
	if err != nil {
		return entry, nil, fmt.Errorf("%s: %w", key, err)
	}
	return entry, treasury, nil
}

// CreateBudget creates a budget if it does not exist yet.
func (m BudgetManager) CreateBudget(ctx context.Context, id budget.ID) error {
	return m.update(ctx, id, func(t *budget.Treasury, _ bool) error {
		if t.Budgets[id] != nil {
			return nil
		}
		return t.CreateBudget(id)
	})
}

// TopUp adds a payment of amount tokens. topUpID is its idempotency key: a repeated call
// changes nothing, and fails with budget.ErrTopUpMismatch if the amount differs. TopUp
// reports whether this call added the payment.
func (m BudgetManager) TopUp(ctx context.Context, id budget.ID, topUpID string, amount budget.Tokens) (bool, error) {
	applied := false
	err := m.update(ctx, id, func(t *budget.Treasury, outcomeUnknown bool) error {
		added, err := t.TopUp(id, topUpID, amount)
		// After a lost reply the payment in the treasury is this call's own. After a lost
		// race it is another writer's.
		applied = added || outcomeUnknown && applied
		return err
	})
	return applied, err
}

// KeyID returns the ID of a key with the given hash: its first KeyIDBytes bytes in
// hexadecimal.
func KeyID(hash []byte) string { return hex.EncodeToString(hash[:min(KeyIDBytes, len(hash))]) }

// IssueKey creates an API key for a budget and returns it with its ID. Only the hash is
// stored, so the key cannot be read again. It fails with budget.ErrNoBudget.
func (m BudgetManager) IssueKey(ctx context.Context, id budget.ID) (key, keyID string, err error) {
	secret := make([]byte, secretBytes)
	if _, err := rand.Read(secret); err != nil {
		return "", "", err
	}
	_, budgetName, _ := strings.Cut(string(id), "/")
	encoded := strings.ToLower(base32.StdEncoding.WithPadding(base32.NoPadding).EncodeToString(secret))
	key = fmt.Sprintf("mw_%s_%s_%s", id.Workspace(), budgetName, encoded)
	hash := sha256.Sum256([]byte(key))
	err = m.update(ctx, id, func(t *budget.Treasury, _ bool) error {
		b := t.Budgets[id]
		if b == nil {
			return fmt.Errorf("%w: %q", budget.ErrNoBudget, id)
		}
		if slices.ContainsFunc(b.KeyHashes, func(h []byte) bool { return bytes.Equal(h, hash[:]) }) {
			return nil
		}
		return t.SetKeyHashes(id, append(slices.Clone(b.KeyHashes), hash[:]))
	})
	return key, KeyID(hash[:]), err
}

// RevokeKey removes the key with the given ID. It fails with ErrNoKey or budget.ErrNoBudget.
func (m BudgetManager) RevokeKey(ctx context.Context, id budget.ID, keyID string) error {
	removed := false // set once an attempt found the key: its commit may succeed although the reply is lost
	return m.update(ctx, id, func(t *budget.Treasury, _ bool) error {
		b := t.Budgets[id]
		if b == nil {
			return fmt.Errorf("%w: %q", budget.ErrNoBudget, id)
		}
		remaining := slices.DeleteFunc(slices.Clone(b.KeyHashes), func(h []byte) bool { return KeyID(h) == keyID })
		if len(remaining) == len(b.KeyHashes) && !removed {
			return fmt.Errorf("%w: %s", ErrNoKey, keyID)
		}
		removed = true
		return t.SetKeyHashes(id, remaining)
	})
}

// RegionBalance is the state of a budget in one region, in tokens.
type RegionBalance struct {
	Region string `json:"region"`
	// Drawn is the escrow moved to the region, Spent the sum of its durable bills, and
	// Lost the amount that counts as spent because its bills cannot be recovered.
	Drawn budget.Tokens `json:"drawn_tokens"`
	Spent budget.Tokens `json:"spent_tokens"`
	Lost  budget.Tokens `json:"lost_tokens"`
}

// Balance is the durable state of a budget, in tokens.
type Balance struct {
	Budget budget.ID `json:"budget"`
	// Paid is the sum of the top-ups. Spent and Lost are as in RegionBalance, for all
	// regions together. Unallocated is the part that no region has drawn. Keys holds the
	// IDs of the budget's API keys.
	Paid        budget.Tokens   `json:"paid_tokens"`
	Spent       budget.Tokens   `json:"spent_tokens"`
	Lost        budget.Tokens   `json:"lost_tokens"`
	Unallocated budget.Tokens   `json:"unallocated_tokens"`
	Regions     []RegionBalance `json:"regions,omitempty"`
	Keys        []string        `json:"keys,omitempty"`
}

// Unspent returns the remaining amount of the budget, allocated to regions or not.
func (b Balance) Unspent() budget.Tokens { return b.Paid - b.Spent - b.Lost }

// Balance reads the durable state of a budget. It can lack the bills of the last minute. It
// fails with budget.ErrNoBudget.
func (m BudgetManager) Balance(ctx context.Context, id budget.ID) (Balance, error) {
	shard := budget.ShardOf(id, m.Shards)
	_, treasury, err := m.readTreasury(ctx, holder.TreasuryKey(shard), shard)
	if err != nil {
		return Balance{}, err
	}
	b := treasury.Budgets[id]
	if b == nil {
		return Balance{}, fmt.Errorf("%w: %q", budget.ErrNoBudget, id)
	}
	balance := Balance{Budget: id, Paid: b.Paid, Spent: b.ClosedSpent, Lost: b.ClosedLost, Unallocated: b.Unallocated()}
	for _, hash := range b.KeyHashes {
		balance.Keys = append(balance.Keys, KeyID(hash))
	}
	for region, drawn := range b.Drawn {
		r, err := m.regionBalance(ctx, id, budget.Account{Shard: shard, Region: region}, drawn)
		if err != nil {
			return Balance{}, err
		}
		balance.Spent += r.Spent
		balance.Lost += r.Lost
		balance.Regions = append(balance.Regions, r)
	}
	slices.SortFunc(balance.Regions, func(a, b RegionBalance) int { return strings.Compare(a.Region, b.Region) })
	return balance, nil
}

func (m BudgetManager) regionBalance(ctx context.Context, id budget.ID, account budget.Account, drawn budget.Tokens) (RegionBalance, error) {
	r := RegionBalance{Region: account.Region, Drawn: drawn}
	entry, err := m.KV.Get(ctx, holder.AccountKey(account))
	if err != nil || entry.ModRevision == 0 {
		return r, err
	}
	record, err := budget.DecodeAccount(entry.Value)
	if err != nil {
		return r, fmt.Errorf("%s: %w", entry.Key, err)
	}
	if b := record.Budgets[id]; b != nil {
		r.Spent, r.Lost = b.Spent, b.Lost
	}
	return r, nil
}

// Budgets returns the sorted IDs of a workspace's budgets, or of all budgets if workspace is
// empty.
func (m BudgetManager) Budgets(ctx context.Context, workspace string) ([]budget.ID, error) {
	var ids []budget.ID
	for shard := range m.Shards {
		_, treasury, err := m.readTreasury(ctx, holder.TreasuryKey(budget.Shard(shard)), budget.Shard(shard))
		if err != nil {
			return nil, err
		}
		for id := range treasury.Budgets {
			if workspace == "" || id.Workspace() == workspace {
				ids = append(ids, id)
			}
		}
	}
	slices.Sort(ids)
	return ids, nil
}

// Statement holds the bills and losses of a budget that are retained in the store.
type Statement struct {
	Bills  []budget.Bill
	Losses []budget.Loss
}

// Statement reads the retained bills and losses of a budget in the given regions. Bills are
// sorted by time, oldest first.
func (m BudgetManager) Statement(ctx context.Context, id budget.ID, regions []string) (Statement, error) {
	var statement Statement
	shard := budget.ShardOf(id, m.Shards)
	for _, region := range regions {
		snapshot, err := m.KV.List(ctx, holder.BillsPrefix(budget.Account{Shard: shard, Region: region}))
		if err != nil {
			return statement, err
		}
		for _, entry := range snapshot.Entries {
			block, err := budget.DecodeBillBlock(entry.Value)
			if err != nil {
				return statement, fmt.Errorf("%s: %w", entry.Key, err)
			}
			statement.add(id, block)
		}
	}
	slices.SortFunc(statement.Bills, func(a, b budget.Bill) int { return int(a.UnixMilli - b.UnixMilli) })
	return statement, nil
}

func (s *Statement) add(id budget.ID, block *budget.BillBlock) {
	for _, bill := range block.Bills {
		if bill.Budget == id {
			s.Bills = append(s.Bills, bill)
		}
	}
	for _, loss := range block.Losses {
		if loss.Budget == id {
			s.Losses = append(s.Losses, loss)
		}
	}
}
