package holder

import (
	"cmp"
	"slices"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// Status returns the state of the accounts that this router holds, sorted by shard,
// for the operators' tool.
func (m *Manager) Status() []wire.AdminAccount {
	m.mu.Lock()
	accounts := make([]*account, 0, len(m.accounts))
	for _, a := range m.accounts {
		accounts = append(accounts, a)
	}
	m.mu.Unlock()
	var out []wire.AdminAccount
	for _, a := range accounts {
		if status, ok := a.status(); ok {
			out = append(out, status)
		}
	}
	slices.SortFunc(out, func(a, b wire.AdminAccount) int { return cmp.Compare(a.Shard, b.Shard) })
	return out
}

func (a *account) status() (wire.AdminAccount, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.core == nil || a.core.Deposed() {
		return wire.AdminAccount{}, false
	}
	s := wire.AdminAccount{
		Shard: a.key.Shard, Region: a.key.Region, Epoch: a.core.Epoch(), PendingBills: a.core.PendingBills(),
		Reconciling: a.core.Reconciling(), OutOfReach: a.core.OutOfReach(),
	}
	s.Budgets, s.Lots = a.core.Counts()
	for _, fence := range a.core.Fences() {
		s.FencedRouters = append(s.FencedRouters, fence.Router.Name)
	}
	s.OutOfReachBudgets = len(s.OutOfReach)
	s.OutOfReach = s.OutOfReach[:min(len(s.OutOfReach), wire.MaxAdminBudgets)]
	return s, true
}

// Forecasts returns the forecasts of all budgets in use in the accounts that this
// router holds.
func (m *Manager) Forecasts(now time.Time) []budget.Forecast {
	m.mu.Lock()
	accounts := make([]*account, 0, len(m.accounts))
	for _, a := range m.accounts {
		accounts = append(accounts, a)
	}
	m.mu.Unlock()
	var out []budget.Forecast
	for _, a := range accounts {
		a.mu.Lock()
		if a.core != nil && !a.core.Deposed() {
			out = append(out, a.core.Forecasts(now)...)
		}
		a.mu.Unlock()
	}
	return out
}
