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

func treasuryKey(shard budget.Shard) string { return fmt.Sprintf("/mw/treasury/%d", shard) }

func accountKey(a budget.Account) string { return fmt.Sprintf("/mw/account/%d/%s", a.Shard, a.Region) }

func billsKey(b *budget.BillBlock) string {
	return fmt.Sprintf("%s%08d-%010d", BillsPrefix(b.Account), b.Epoch, b.Seq)
}

// TreasuryKey returns the store key of the treasury of a shard.
func TreasuryKey(shard budget.Shard) string { return treasuryKey(shard) }

// AccountKey returns the store key of the record of an account.
func AccountKey(a budget.Account) string { return accountKey(a) }

// BillsPrefix returns the store key prefix of the bill blocks of an account. Their
// keys sort by age, oldest first.
func BillsPrefix(a budget.Account) string {
	return fmt.Sprintf("/mw/bills/%d/%s/", a.Shard, a.Region)
}

// tryTakeOver takes an account over if its holder is dead and this router is the
// first live candidate. Otherwise it requeues the request, until takeoverRequestTTL
// has passed since the first one.
func (m *Manager) tryTakeOver(ctx context.Context, a *account, firstRequest time.Time) {
	if time.Since(firstRequest) > takeoverRequestTTL {
		return
	}
	routers := m.opts.Directory.Routers(m.opts.Region)
	if !m.canTakeOver(ctx, a.key, routers) {
		m.requeueTakeover(a.key, firstRequest)
		return
	}
	switch err := m.takeOver(ctx, a); {
	case errors.Is(err, errHeld):
		m.requeueTakeover(a.key, firstRequest)
	case err != nil:
		m.log.Warn("account takeover failed", "shard", a.key.Shard, "region", a.key.Region, "error", err)
	}
}

// takeoverRequestTTL is how long after the first request the takeover of an account
// is retried.
const takeoverRequestTTL = 10 * time.Second

// requeueTakeover puts a takeover request back, with the time of the first request.
func (m *Manager) requeueTakeover(key budget.Account, firstRequest time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.takeoverRequests[key]; !ok {
		m.takeoverRequests[key] = firstRequest
	}
}

// canTakeOver reports whether the account's holder is dead or has released the
// account, and no router before this one in rendezvous order replies.
func (m *Manager) canTakeOver(ctx context.Context, key budget.Account, routers []Peer) bool {
	record, ok := m.opts.Directory.Holder(key)
	if ok && record.Boot != m.opts.Self.Boot && record.Name != "" {
		incarnation := budget.Incarnation{Name: record.Name, Boot: record.Boot}
		// A peer has probably got no reply from the holder. The holder is therefore
		// pinged at once: waiting for pingAfter would add to the detection time.
		if !record.Released && !m.live.isDead(ctx, incarnation, routers) {
			return false
		}
	}
	for _, peer := range candidates(key, routers) {
		if peer.Name == m.opts.Self.Name {
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

// takeOver writes the holder and account records of a new epoch and starts the
// holder. If the outcome of the write is unknown, it reads the records back. It
// fails with errHeld if the account's holder is not known to be dead.
func (m *Manager) takeOver(ctx context.Context, a *account) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	holderEntry, accountEntry, previous, err := m.readAccount(ctx, a.key)
	if err != nil {
		return err
	}
	if err := m.checkNotHeld(ctx, a.key, holderEntry); err != nil {
		return err
	}
	accountRecord := budget.TakeOver(a.key, previous, m.opts.Self)
	txn, err := m.takeOverTxn(a.key, accountRecord, holderEntry, accountEntry)
	if err != nil {
		return err
	}
	m.stats.storeWrites.Inc(1)
	result, err := m.opts.Store.Commit(ctx, txn)
	switch {
	case errors.Is(err, store.ErrUnavailable):
		return err
	case err != nil:
		return m.resolveTakeOver(ctx, a, accountRecord)
	case !result.Committed:
		return errors.New("another router changed the records first")
	}
	return m.startHolder(ctx, a, accountRecord, result.Revision, result.Revision)
}

// errHeld means that another router holds the account and is not known to be dead.
var errHeld = errors.New("account is held by another router")

// checkNotHeld fails with errHeld if the store names a holder that is not known to
// be dead. The holder records of the Directory lag behind the store: without this
// check, routers that have not seen each other's takeovers would take the account
// over from each other in turn.
func (m *Manager) checkNotHeld(ctx context.Context, key budget.Account, entry store.Entry) error {
	if entry.ModRevision == 0 {
		return nil
	}
	var record Record
	if err := json.Unmarshal(entry.Value, &record); err != nil {
		return fmt.Errorf("%s: %w", entry.Key, err)
	}
	if record.Released || record.Name == "" || record.Boot == m.opts.Self.Boot {
		return nil
	}
	holder := budget.Incarnation{Name: record.Name, Boot: record.Boot}
	if !m.live.isDead(ctx, holder, m.opts.Directory.Routers(key.Region)) {
		return errHeld
	}
	return nil
}

// readAccount reads the holder record and the account record of an account from the
// store. accountRecord is nil if the account does not exist yet.
func (m *Manager) readAccount(ctx context.Context, key budget.Account) (holderEntry, accountEntry store.Entry, accountRecord *budget.AccountRecord, err error) {
	m.stats.storeReads.Inc(2)
	if holderEntry, err = m.opts.Store.Get(ctx, config.HolderKey(key)); err != nil {
		return
	}
	if accountEntry, err = m.opts.Store.Get(ctx, accountKey(key)); err != nil || accountEntry.ModRevision == 0 {
		return
	}
	if accountRecord, err = budget.DecodeAccount(accountEntry.Value); err != nil {
		err = fmt.Errorf("%s: %w", accountEntry.Key, err)
	}
	return
}

func (m *Manager) takeOverTxn(key budget.Account, accountRecord *budget.AccountRecord, holderEntry, accountEntry store.Entry) (store.Txn, error) {
	accountValue, err := accountRecord.Encode()
	if err != nil {
		return store.Txn{}, err
	}
	holderValue, err := json.Marshal(Record{
		Epoch: accountRecord.Epoch, Name: m.opts.Self.Name, Address: m.opts.Address, Boot: m.opts.Self.Boot,
	})
	if err != nil {
		return store.Txn{}, err
	}
	return store.Txn{
		Compare: []store.Compare{
			{Key: config.HolderKey(key), ModRevision: holderEntry.ModRevision},
			{Key: accountKey(key), ModRevision: accountEntry.ModRevision},
		},
		Write: []store.Write{
			{Key: config.HolderKey(key), Value: holderValue},
			{Key: accountKey(key), Value: accountValue},
		},
	}, nil
}

// resolveTakeOver reads the records back after a takeover with an unknown outcome,
// and starts the holder if the takeover was committed.
func (m *Manager) resolveTakeOver(ctx context.Context, a *account, accountRecord *budget.AccountRecord) error {
	holderEntry, accountEntry, current, err := m.readAccount(ctx, a.key)
	if err != nil {
		return err
	}
	if current == nil || current.Epoch != accountRecord.Epoch || current.Holder != m.opts.Self || current.FlushSeq != accountRecord.FlushSeq {
		return errors.New("takeover was not committed")
	}
	return m.startHolder(ctx, a, accountRecord, accountEntry.ModRevision, holderEntry.ModRevision)
}

// startHolder starts the holder of an account after a takeover. It reads the treasury
// immediately, because the request that led to the takeover is for a budget in it.
func (m *Manager) startHolder(ctx context.Context, a *account, accountRecord *budget.AccountRecord, accountRev, holderRev int64) error {
	now := time.Now()
	m.mu.Lock()
	policy := m.policy
	m.mu.Unlock()
	core, err := budget.NewHolder(now, accountRecord, policy)
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
	a.accountRev, a.holderRev, a.nextRecovery = accountRev, holderRev, now
	if accountRecord.FlushedUnixMilli != 0 {
		a.previousHolderFlush = time.UnixMilli(accountRecord.FlushedUnixMilli)
	}
	if accountRecord.Epoch > 1 {
		a.claims.beginRebuild()
	}
	m.stats.takeovers.Inc(1)
	m.log.Info("account taken over", "shard", a.key.Shard, "region", a.key.Region,
		"epoch", accountRecord.Epoch, "reconciling", core.Reconciling())
	return nil
}
