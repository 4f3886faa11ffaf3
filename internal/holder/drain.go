package holder

import (
	"context"
	"fmt"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// drainRetry is the time between two attempts to hand an account over.
const drainRetry = 200 * time.Millisecond

// Drain hands all accounts over for a planned stop: it takes no new ones, makes
// all bills durable, and writes records from which a successor can start without
// a reconciliation. It fails with the error of ctx if some account could not be
// handed over; its successor then reconciles as after a failure.
func (m *Manager) Drain(ctx context.Context) error {
	m.mu.Lock()
	m.draining = true
	clear(m.wanted)
	m.mu.Unlock()
	for {
		left := m.held()
		if len(left) == 0 {
			return nil
		}
		for _, a := range left {
			m.handOver(ctx, a)
		}
		if len(m.held()) == 0 {
			return nil
		}
		timer := time.NewTimer(drainRetry)
		select {
		case <-ctx.Done():
			timer.Stop()
			return fmt.Errorf("%d accounts not handed over: %w", len(m.held()), ctx.Err())
		case <-timer.C:
		}
	}
}

// Flush writes what is known of all held accounts to the store without waiting
// for their periodic flush. Failures are counted and logged as those of periodic
// flushes are.
func (m *Manager) Flush(ctx context.Context) {
	for _, a := range m.held() {
		a.mu.Lock()
		ready := a.core != nil && !a.core.Deposed()
		a.mu.Unlock()
		if ready {
			m.flush(ctx, a)
		}
	}
}

// held returns the accounts that are not handed over.
func (m *Manager) held() []*account {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*account
	for _, a := range m.accounts {
		out = append(out, a)
	}
	return out
}

// handOver seals an account and writes its last record.
func (m *Manager) handOver(ctx context.Context, a *account) {
	a.mu.Lock()
	if a.core == nil || a.core.Deposed() {
		a.mu.Unlock()
		m.forget(a)
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
	_, _, record, err := m.readAccount(ctx, a.key)
	if err == nil && record != nil && (record.SealedEpoch == epoch || record.Epoch > epoch) {
		m.forget(a)
		m.log.Info("account handed over", "shard", a.key.Shard, "region", a.key.Region, "epoch", epoch)
	}
}

func (m *Manager) forget(a *account) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.accounts[a.key] == a {
		delete(m.accounts, a.key)
	}
	m.stats.held.Update(int64(len(m.accounts)))
}

// sendTable hands the lot table of a deposed holder to its successor, which
// spares it the reconciliation. If that fails the successor reconciles. The
// caller holds a.mu.
func (m *Manager) sendTable(a *account) {
	table, err := a.core.HandOver()
	if err != nil {
		return
	}
	value, err := table.Encode()
	record, ok := m.o.Directory.Holder(a.key)
	if err != nil || !ok || record.Name == m.o.Self.Name {
		return
	}
	address := addressOf(record, m.o.Directory.Routers(m.o.Region))
	args := &wire.HandOverArgs{Account: a.key, Table: value}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		if _, err := m.o.Caller.Call(ctx, address, "Holder.HandOver", args, &wire.Empty{}); err != nil {
			m.log.Debug("lot table not handed over", "shard", args.Account.Shard, "error", err)
		}
	}()
}

// HandOver implements the call of a replaced holder.
func (m *Manager) HandOver(args *wire.HandOverArgs, _ *wire.Empty) error {
	table, err := budget.DecodeAccount(args.Table)
	if err != nil {
		return err
	}
	a := m.lookup(args.Account)
	if a == nil {
		return ErrNoHolder
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.core != nil && a.core.ApplyHandOver(table) {
		m.log.Info("lot table received from the replaced holder", "shard", a.key.Shard, "region", a.key.Region)
	}
	return nil
}
