package holder

import (
	"context"
	"fmt"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// drainRetryInterval is the time between two attempts to release the remaining
// accounts.
const drainRetryInterval = 200 * time.Millisecond

// Drain releases all accounts before a planned stop: it stops takeovers, makes all
// bills durable, and writes sealed records, from which a successor can start without
// reconciling. It fails with the error of ctx if an account could not be released; the
// successor then reconciles it as after a crash.
func (m *Manager) Drain(ctx context.Context) error {
	m.mu.Lock()
	m.draining = true
	clear(m.takeoverRequests)
	m.mu.Unlock()
	for {
		remaining := m.allAccounts()
		if len(remaining) == 0 {
			return nil
		}
		for _, a := range remaining {
			m.releaseAccount(ctx, a)
		}
		if len(m.allAccounts()) == 0 {
			return nil
		}
		timer := time.NewTimer(drainRetryInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return fmt.Errorf("%d accounts not released: %w", len(m.allAccounts()), ctx.Err())
		case <-timer.C:
		}
	}
}

// Flush flushes all held accounts to the store without waiting for their periodic
// flushes. Failures are counted and logged like those of periodic flushes.
func (m *Manager) Flush(ctx context.Context) {
	for _, a := range m.allAccounts() {
		a.mu.Lock()
		held := a.core != nil && !a.core.Deposed()
		a.mu.Unlock()
		if held {
			m.flush(ctx, a)
		}
	}
}

// allAccounts returns the accounts that this router holds or tries to take over.
func (m *Manager) allAccounts() []*account {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*account
	for _, a := range m.accounts {
		out = append(out, a)
	}
	return out
}

// releaseAccount releases an account to the router that takes it over next: it seals
// the account, writes its sealed record together with a released holder record, and
// removes the account if the store has that record or one of a later epoch. Otherwise
// the caller retries. It removes an account that this router does not hold.
func (m *Manager) releaseAccount(ctx context.Context, a *account) {
	a.mu.Lock()
	if a.core == nil || a.core.Deposed() {
		a.mu.Unlock()
		m.removeAccount(a)
		return
	}
	if !a.core.Sealed() {
		if err := a.core.Seal(); err != nil {
			a.mu.Unlock()
			m.flush(ctx, a)
			return
		}
	}
	epoch := a.core.Epoch()
	a.mu.Unlock()
	m.flush(ctx, a)
	_, _, accountRecord, err := m.readAccount(ctx, a.key)
	if err == nil && accountRecord != nil && (accountRecord.SealedEpoch == epoch || accountRecord.Epoch > epoch) {
		m.removeAccount(a)
		m.log.Info("account released", "shard", a.key.Shard, "region", a.key.Region, "epoch", epoch)
	}
}

func (m *Manager) removeAccount(a *account) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.accounts[a.key] == a {
		delete(m.accounts, a.key)
	}
	m.stats.accounts.Update(int64(len(m.accounts)))
}

// sendLotTable sends the lot table of a deposed holder, which lists its lots and their
// limits, to its successor, which then need not reconcile. If there is no such table or
// the call fails, the successor reconciles. The caller holds a.mu.
func (m *Manager) sendLotTable(a *account) {
	accountRecord, err := a.core.HandOver()
	if err != nil {
		return
	}
	value, err := accountRecord.Encode()
	record, ok := m.opts.Directory.Holder(a.key)
	if err != nil || !ok || record.Name == m.opts.Self.Name {
		return
	}
	address := addressOf(record, m.opts.Directory.Routers(m.opts.Region))
	args := &wire.HandOverArgs{Account: a.key, Record: value}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		if _, err := m.opts.RPC.Call(ctx, address, "Holder.HandOver", args, &wire.Empty{}); err != nil {
			m.log.Debug("lot table not sent to the new holder", "shard", args.Account.Shard, "error", err)
		}
	}()
}

// HandOver is the RPC by which a deposed holder sends its lot table to its
// successor. It fails with ErrNoHolder if this router neither holds the account nor
// tries to take it over.
func (m *Manager) HandOver(args *wire.HandOverArgs, _ *wire.Empty) error {
	accountRecord, err := budget.DecodeAccount(args.Record)
	if err != nil {
		return err
	}
	a := m.lookup(args.Account)
	if a == nil {
		return ErrNoHolder
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.core != nil && a.core.ApplyHandOver(accountRecord) {
		m.log.Info("lot table received from the deposed holder", "shard", a.key.Shard, "region", a.key.Region)
	}
	return nil
}
