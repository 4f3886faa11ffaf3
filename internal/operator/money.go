// Package operator carries out what operators ask for: it changes budgets, keys
// and configuration in the store and reads them back for reports. Every change
// can be repeated after a lost answer without counting twice.
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

// ErrContention means that too many compare-and-swap attempts lost against other
// writers.
var ErrContention = errors.New("treasury is written by others all the time, try again")

// ErrNoKey means that no API key of the budget has the given id.
var ErrNoKey = errors.New("no such key")

const (
	// maxTries bounds the attempts of one change.
	maxTries = 32
	// secretBytes is the entropy of an API key.
	secretBytes = 20
	// KeyIDBytes is how many bytes of a key's hash name it.
	KeyIDBytes = 6
)

// BudgetAdmin reads and changes the budgets of a deployment in the store.
type BudgetAdmin struct {
	KV     store.KV
	Shards uint32
}

// Pauses between attempts to find out what became of a write.
const (
	minPause = 50 * time.Millisecond
	maxPause = time.Second
)

// update changes the treasury of a budget's shard by compare-and-swap. change
// must do nothing when its effect is there already, because it is repeated after
// a lost race or a lost answer; uncertain tells it that an earlier attempt may
// have taken effect. While that is so, update goes on until ctx ends, and then
// fails with store.ErrUnknownOutcome. Any other error means that nothing was
// changed.
func (m BudgetAdmin) update(ctx context.Context, id budget.ID, change func(t *budget.Treasury, uncertain bool) error) error {
	u := &treasuryUpdate{money: m, shard: budget.ShardOf(id, m.Shards), change: change}
	for pause := minPause; ; pause = min(2*pause, maxPause) {
		done, err := u.try(ctx)
		if done {
			return err
		}
		if u.uncertain {
			timer := time.NewTimer(pause)
			select {
			case <-timer.C:
			case <-ctx.Done():
				timer.Stop()
				return fmt.Errorf("%w: %w", store.ErrUnknownOutcome, err)
			}
		}
	}
}

// treasuryUpdate is one call of update.
type treasuryUpdate struct {
	money  BudgetAdmin
	shard  budget.Shard
	change func(t *budget.Treasury, uncertain bool) error
	tries  int
	// uncertain is set while a write may have taken effect.
	uncertain bool
}

// try makes one attempt. It reports whether the update has ended; if not, err is
// why.
func (u *treasuryUpdate) try(ctx context.Context) (done bool, err error) {
	key := holder.TreasuryKey(u.shard)
	entry, treasury, err := u.money.read(ctx, key, u.shard)
	if err != nil {
		return !u.uncertain, err
	}
	if err := u.change(treasury, u.uncertain); err != nil {
		return true, err
	}
	value, err := treasury.Encode()
	if err != nil {
		return true, err
	}
	if bytes.Equal(value, entry.Value) {
		return true, nil
	}
	if u.tries++; u.tries > maxTries {
		return true, ErrContention
	}
	result, err := u.money.KV.Commit(ctx, store.Txn{
		Compare: []store.Compare{{Key: key, ModRevision: entry.ModRevision}},
		Write:   []store.Write{{Key: key, Value: value}},
	})
	switch {
	case err == nil:
		// A comparison that failed also settles an earlier attempt: the read that
		// follows shows whether it took effect.
		return result.Committed, nil
	case errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrTooLarge):
		return !u.uncertain, err
	}
	u.uncertain = true
	return false, err
}

func (m BudgetAdmin) read(ctx context.Context, key string, shard budget.Shard) (store.Entry, *budget.Treasury, error) {
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

// CreateBudget makes sure that a budget exists.
func (m BudgetAdmin) CreateBudget(ctx context.Context, id budget.ID) error {
	return m.update(ctx, id, func(t *budget.Treasury, _ bool) error {
		if t.Budgets[id] != nil {
			return nil
		}
		return t.CreateBudget(id)
	})
}

// TopUp adds a payment. The same topUp id counts once, however often it is sent;
// TopUp reports whether this call made the change. With another amount it fails
// with budget.ErrTopUpMismatch.
func (m BudgetAdmin) TopUp(ctx context.Context, id budget.ID, topUp string, amount budget.Tokens) (bool, error) {
	fresh := false
	err := m.update(ctx, id, func(t *budget.Treasury, uncertain bool) error {
		isNew, err := t.TopUp(id, topUp, amount)
		// After a lost answer the repeated call finds its own effect. After a lost
		// race it is another writer's.
		fresh = isNew || uncertain && fresh
		return err
	})
	return fresh, err
}

// KeyID returns the name of a key by its hash.
func KeyID(hash []byte) string { return hex.EncodeToString(hash[:min(KeyIDBytes, len(hash))]) }

// IssueKey makes an API key for a budget and returns it. Only its hash is
// stored, so the key cannot be shown again.
func (m BudgetAdmin) IssueKey(ctx context.Context, id budget.ID) (key, keyID string, err error) {
	secret := make([]byte, secretBytes)
	if _, err := rand.Read(secret); err != nil {
		return "", "", err
	}
	_, name, _ := strings.Cut(string(id), "/")
	encoded := strings.ToLower(base32.StdEncoding.WithPadding(base32.NoPadding).EncodeToString(secret))
	key = fmt.Sprintf("mw_%s_%s_%s", id.Workspace(), name, encoded)
	hash := sha256.Sum256([]byte(key))
	err = m.update(ctx, id, func(t *budget.Treasury, _ bool) error {
		b := t.Budgets[id]
		if b == nil {
			return fmt.Errorf("%w: %q", budget.ErrNoBudget, id)
		}
		if slices.ContainsFunc(b.KeyHashes, func(h []byte) bool { return bytes.Equal(h, hash[:]) }) {
			return nil
		}
		return t.SetKeys(id, append(slices.Clone(b.KeyHashes), hash[:]))
	})
	return key, KeyID(hash[:]), err
}

// RevokeKey removes the key with the given id. It fails with ErrNoKey.
func (m BudgetAdmin) RevokeKey(ctx context.Context, id budget.ID, keyID string) error {
	removed := false
	return m.update(ctx, id, func(t *budget.Treasury, _ bool) error {
		b := t.Budgets[id]
		if b == nil {
			return fmt.Errorf("%w: %q", budget.ErrNoBudget, id)
		}
		left := slices.DeleteFunc(slices.Clone(b.KeyHashes), func(h []byte) bool { return KeyID(h) == keyID })
		if len(left) == len(b.KeyHashes) && !removed {
			return fmt.Errorf("%w: %s", ErrNoKey, keyID)
		}
		removed = true
		return t.SetKeys(id, left)
	})
}

// RegionBalance is the state of a budget in one region, in tokens.
type RegionBalance struct {
	Region string `json:"region"`
	// Drawn is the escrow moved to the region, Spent its durable bills, and Lost
	// what counts as spent although no bill is known.
	Drawn budget.Tokens `json:"drawn_tokens"`
	Spent budget.Tokens `json:"spent_tokens"`
	Lost  budget.Tokens `json:"lost_tokens"`
}

// Balance is the durable state of a budget, in tokens.
type Balance struct {
	Budget      budget.ID       `json:"budget"`
	Paid        budget.Tokens   `json:"paid_tokens"`
	Spent       budget.Tokens   `json:"spent_tokens"`
	Lost        budget.Tokens   `json:"lost_tokens"`
	Unallocated budget.Tokens   `json:"unallocated_tokens"`
	Regions     []RegionBalance `json:"regions,omitempty"`
	Keys        []string        `json:"keys,omitempty"`
}

// Unspent returns what the budget has left, wherever it is.
func (b Balance) Unspent() budget.Tokens { return b.Paid - b.Spent - b.Lost }

// Balance reads the durable state of a budget. Bills of the last minute may be
// missing from it. It fails with budget.ErrNoBudget.
func (m BudgetAdmin) Balance(ctx context.Context, id budget.ID) (Balance, error) {
	shard := budget.ShardOf(id, m.Shards)
	_, treasury, err := m.read(ctx, holder.TreasuryKey(shard), shard)
	if err != nil {
		return Balance{}, err
	}
	b := treasury.Budgets[id]
	if b == nil {
		return Balance{}, fmt.Errorf("%w: %q", budget.ErrNoBudget, id)
	}
	out := Balance{Budget: id, Paid: b.Paid, Spent: b.Settled, Lost: b.Lost, Unallocated: b.Unallocated()}
	for _, hash := range b.KeyHashes {
		out.Keys = append(out.Keys, KeyID(hash))
	}
	for region, drawn := range b.Drawn {
		r, err := m.region(ctx, id, budget.Account{Shard: shard, Region: region}, drawn)
		if err != nil {
			return Balance{}, err
		}
		out.Spent += r.Spent
		out.Lost += r.Lost
		out.Regions = append(out.Regions, r)
	}
	slices.SortFunc(out.Regions, func(a, b RegionBalance) int { return strings.Compare(a.Region, b.Region) })
	return out, nil
}

func (m BudgetAdmin) region(ctx context.Context, id budget.ID, account budget.Account, drawn budget.Tokens) (RegionBalance, error) {
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

// Budgets lists the budgets of a workspace, or of all if workspace is empty.
func (m BudgetAdmin) Budgets(ctx context.Context, workspace string) ([]budget.ID, error) {
	var out []budget.ID
	for shard := range m.Shards {
		_, treasury, err := m.read(ctx, holder.TreasuryKey(budget.Shard(shard)), budget.Shard(shard))
		if err != nil {
			return nil, err
		}
		for id := range treasury.Budgets {
			if workspace == "" || id.Workspace() == workspace {
				out = append(out, id)
			}
		}
	}
	slices.Sort(out)
	return out, nil
}

// Statement is the bills and losses of a budget that are kept.
type Statement struct {
	Bills  []budget.Bill
	Losses []budget.Loss
}

// Statement reads the itemised bills of a budget in the given regions, oldest
// first.
func (m BudgetAdmin) Statement(ctx context.Context, id budget.ID, regions []string) (Statement, error) {
	var out Statement
	shard := budget.ShardOf(id, m.Shards)
	for _, region := range regions {
		snapshot, err := m.KV.List(ctx, holder.BillsPrefix(budget.Account{Shard: shard, Region: region}))
		if err != nil {
			return out, err
		}
		for _, entry := range snapshot.Entries {
			block, err := budget.DecodeBillBlock(entry.Value)
			if err != nil {
				return out, fmt.Errorf("%s: %w", entry.Key, err)
			}
			out.add(id, block)
		}
	}
	slices.SortFunc(out.Bills, func(a, b budget.Bill) int { return int(a.UnixMilli - b.UnixMilli) })
	return out, nil
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
