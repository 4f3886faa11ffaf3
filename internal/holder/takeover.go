package holder

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/config"
	"github.com/monsoonworks/monsoonworks/internal/store"
)

// Keys of the records in the store.
func treasuryKey(shard budget.Shard) string { return fmt.Sprintf("/mw/treasury/%d", shard) }

func accountKey(a budget.Account) string { return fmt.Sprintf("/mw/account/%d/%s", a.Shard, a.Region) }

func billsKey(b *budget.BillBlock) string {
	return fmt.Sprintf("%s%08d-%010d", BillsPrefix(b.Account), b.Epoch, b.Seq)
}

// TreasuryKey returns the store key of a shard's treasury.
func TreasuryKey(shard budget.Shard) string { return treasuryKey(shard) }

// AccountKey returns the store key of an account's record.
func AccountKey(a budget.Account) string { return accountKey(a) }

// BillsPrefix returns the prefix of an account's bill blocks, which sort by age.
func BillsPrefix(a budget.Account) string {
	return fmt.Sprintf("/mw/bills/%d/%s/", a.Shard, a.Region)
}

// consider takes an account over if its holder is dead and this router is the
// first live candidate.
func (m *Manager) consider(ctx context.Context, a *account, since time.Time) {
	if time.Since(since) > wantedFor {
		return
	}
	routers := m.o.Directory.Routers(m.o.Region)
	if !m.mayTakeOver(ctx, a.key, routers) {
		m.again(a.key, since)
		return
	}
	switch err := m.takeOver(ctx, a); {
	case errors.Is(err, errHeld):
		m.again(a.key, since)
	case err != nil:
		m.log.Warn("account not taken over", "shard", a.key.Shard, "region", a.key.Region, "error", err)
	}
}

// wantedFor is how long a question for an account keeps it under consideration.
const wantedFor = 10 * time.Second

// again keeps an account under consideration until its holder answers or is
// known to be dead.
func (m *Manager) again(key budget.Account, since time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.wanted[key]; !ok {
		m.wanted[key] = since
	}
}

// mayTakeOver reports whether the account's holder is gone and no router before
// this one in rendezvous order can be reached.
func (m *Manager) mayTakeOver(ctx context.Context, key budget.Account, routers []Peer) bool {
	record, ok := m.o.Directory.Holder(key)
	if ok && record.Boot != m.o.Self.Boot && record.Name != "" {
		incarnation := budget.Incarnation{Name: record.Name, Boot: record.Boot}
		// Somebody did not get an answer from it, so it is asked at once. Waiting
		// until it has been silent for a while would add to the detection time.
		if !record.Released && !m.live.unreachable(ctx, incarnation, routers) {
			return false
		}
	}
	for _, peer := range candidates(key, routers) {
		if peer.Name == m.o.Self.Name {
			return true
		}
		if ok && peer.Name == record.Name {
			continue
		}
		if _, _, alive := m.live.ping(ctx, peer); alive {
			return false
		}
	}
	return false
}

// takeOver writes the holder and account records of a new epoch. A lost answer
// of the store is resolved by reading the records back.
func (m *Manager) takeOver(ctx context.Context, a *account) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	holderEntry, accountEntry, old, err := m.readAccount(ctx, a.key)
	if err != nil {
		return err
	}
	if err := m.checkHeld(ctx, a.key, holderEntry); err != nil {
		return err
	}
	record := budget.TakeOver(a.key, old, m.o.Self)
	txn, err := m.takeOverTxn(a.key, record, holderEntry, accountEntry)
	if err != nil {
		return err
	}
	m.stats.storeWrites.Inc(1)
	result, err := m.o.Store.Commit(ctx, txn)
	switch {
	case errors.Is(err, store.ErrUnavailable):
		return err
	case err != nil:
		return m.resolveTakeOver(ctx, a, record)
	case !result.Committed:
		return errors.New("another router was faster")
	}
	return m.install(ctx, a, record, result.Revision, result.Revision)
}

// errHeld means that another router has taken the account over and is not known
// to be dead.
var errHeld = errors.New("the account is held by another router")

// checkHeld fails with errHeld if the store names a holder that is not known to be
// dead. The copy of the holder record that led here lags behind the store: without
// this check, routers that have not heard of each other's takeovers take the same
// account over in turn.
func (m *Manager) checkHeld(ctx context.Context, key budget.Account, entry store.Entry) error {
	if entry.ModRevision == 0 {
		return nil
	}
	var record Record
	if err := json.Unmarshal(entry.Value, &record); err != nil {
		return fmt.Errorf("%s: %w", entry.Key, err)
	}
	if record.Released || record.Name == "" || record.Boot == m.o.Self.Boot {
		return nil
	}
	holder := budget.Incarnation{Name: record.Name, Boot: record.Boot}
	if !m.live.unreachable(ctx, holder, m.o.Directory.Routers(key.Region)) {
		return errHeld
	}
	return nil
}

func (m *Manager) readAccount(ctx context.Context, key budget.Account) (holder, acct store.Entry, old *budget.AccountRecord, err error) {
	m.stats.storeReads.Inc(2)
	if holder, err = m.o.Store.Get(ctx, config.HolderKey(key)); err != nil {
		return
	}
	if acct, err = m.o.Store.Get(ctx, accountKey(key)); err != nil || acct.ModRevision == 0 {
		return
	}
	if old, err = budget.DecodeAccount(acct.Value); err != nil {
		err = fmt.Errorf("%s: %w", acct.Key, err)
	}
	return
}

func (m *Manager) takeOverTxn(key budget.Account, record *budget.AccountRecord, holder, acct store.Entry) (store.Txn, error) {
	value, err := record.Encode()
	if err != nil {
		return store.Txn{}, err
	}
	holderValue, err := json.Marshal(Record{
		Epoch: record.Epoch, Name: m.o.Self.Name, Address: m.o.Address, Boot: m.o.Self.Boot,
	})
	if err != nil {
		return store.Txn{}, err
	}
	return store.Txn{
		Compare: []store.Compare{
			{Key: config.HolderKey(key), ModRevision: holder.ModRevision},
			{Key: accountKey(key), ModRevision: acct.ModRevision},
		},
		Write: []store.Write{
			{Key: config.HolderKey(key), Value: holderValue},
			{Key: accountKey(key), Value: value},
		},
	}, nil
}

// resolveTakeOver finds out whether a takeover whose answer was lost took
// effect.
func (m *Manager) resolveTakeOver(ctx context.Context, a *account, record *budget.AccountRecord) error {
	holder, acct, current, err := m.readAccount(ctx, a.key)
	if err != nil {
		return err
	}
	if current == nil || current.Epoch != record.Epoch || current.Holder != m.o.Self || current.FlushSeq != record.FlushSeq {
		return errors.New("takeover did not take effect")
	}
	return m.install(ctx, a, record, acct.ModRevision, holder.ModRevision)
}

// install starts the holder of an account that was taken over. It reads the
// treasury at once, because the first question is about a budget in it.
func (m *Manager) install(ctx context.Context, a *account, record *budget.AccountRecord, rev, holderRev int64) error {
	now := time.Now()
	m.mu.Lock()
	policy := m.policy
	m.mu.Unlock()
	core, err := budget.NewHolder(now, record, policy)
	if err != nil {
		return fmt.Errorf("%s: %w", accountKey(a.key), err)
	}
	treasury, _, err := m.readTreasury(ctx, a.key.Shard)
	if err == nil {
		core.ObserveTreasury(now, treasury)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.core, a.claims, a.takenOver = core, newClaimTable(), now
	a.rev, a.holderRev, a.nextRound = rev, holderRev, now
	if record.FlushedUnixMilli != 0 {
		a.lastFlush = time.UnixMilli(record.FlushedUnixMilli)
	}
	if record.Epoch > 1 {
		a.claims.beginRebuild()
	}
	m.stats.takeovers.Inc(1)
	m.log.Info("account taken over", "shard", a.key.Shard, "region", a.key.Region,
		"epoch", record.Epoch, "reconciling", core.Reconciling())
	return nil
}
