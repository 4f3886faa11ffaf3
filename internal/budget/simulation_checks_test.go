package budget

import (
	"strings"

	"github.com/google/uuid"
)

// checkInvariants checks that no budget is overspent, and the invariants of the
// records, holders and wallets.
func (s *sim) checkInvariants() {
	used := map[ID]Tokens{}
	for _, r := range s.requests {
		used[r.budget] += r.usedTokens()
	}
	for id, sum := range used {
		if sum > s.paid[id] {
			s.failf("budget %s: %d tokens used, %d paid", id, sum, s.paid[id])
		}
	}
	if s.rev != s.checkedRev {
		s.checkedRev = s.rev
		s.checkStore()
	}
	for _, region := range s.regions {
		// A replaced holder may get bills above the limits that it knows, so only the
		// current one is checked.
		if holder := s.currentHolder(region); holder != nil {
			s.check(holder.core.Check())
			s.checkUncountedLots(holder)
		}
	}
	for _, r := range s.routers {
		if r.alive {
			s.check(r.wallet.Check())
		}
	}
}

// checkStore compares the records with each other and with what actually happened.
func (s *sim) checkStore() {
	t := s.treasury()
	s.check(t.Check())
	for _, region := range s.regions {
		rec := s.account(region)
		for id, b := range t.Budgets {
			var drawn Tokens
			if rec != nil && rec.Budgets[id] != nil {
				drawn = rec.Budgets[id].Drawn
			}
			if drawn != b.Drawn[region] {
				s.failf("budget %s in %s: account has %d drawn, treasury %d", id, region, drawn, b.Drawn[region])
			}
		}
	}
	s.checkBills()
}

// checkUncountedLots fails if a router could still use a lot at an agent although
// the lot is not open at the region's holder, or is open there with a lower limit.
func (s *sim) checkUncountedLots(holder *simulatedHolder) {
	if holder.core.Reconciling() {
		return
	}
	for _, r := range s.routers {
		if !r.alive || r.region != holder.region {
			continue
		}
		for id, l := range r.wallet.lots {
			known := holder.core.lots[id.Position()]
			if known != nil && known.phase == lotOpen && known.limit >= l.limit || l.free() <= 0 {
				continue
			}
			for _, a := range s.agents {
				if s.accepted(r, l, a) {
					s.failf("%s can use lot %v of %s at %s, but the holder does not count the lot", r.name, id.Position(), l.budget.id, a.name)
				}
			}
		}
	}
}

// accepted reports whether an agent would accept an attempt in the lot.
func (s *sim) accepted(r *simulatedRouter, l *walletLot, a *simulatedAgent) bool {
	established, connected := r.sessions[a.incarnation]
	if !a.alive || a.region != r.region || !connected || !l.confirmedAsOf.After(established) && !s.bugs.skipConfirmation {
		return false
	}
	admission := Admission{Attempt: s.uuid(), Router: r.incarnation, AgentBoot: a.incarnation.Boot, Lot: l.id, AccountEpoch: l.epoch}
	if s.bugs.sendUnconfirmedEpoch {
		admission.AccountEpoch = r.wallet.Epoch(l.id.Account)
	}
	ok := a.ledger.Admit(admission) == nil
	delete(a.ledger.entries, admission.Attempt)
	return ok
}

// bills returns the bills of all bill blocks and the sum of losses of each budget.
func (s *sim) bills() ([]Bill, map[ID]Tokens) {
	var bills []Bill
	lost := map[ID]Tokens{}
	for key, rec := range s.store {
		if !strings.HasPrefix(key, "bills/") {
			continue
		}
		block, err := DecodeBillBlock(rec.data)
		s.check(err)
		bills = append(bills, block.Bills...)
		for _, l := range block.Losses {
			lost[l.Budget] += l.Amount
		}
	}
	return bills, lost
}

// checkBills fails if a request was billed twice or with a wrong amount, or if more
// than was paid is billed or lost. It returns the requests that were billed.
func (s *sim) checkBills() map[uuid.UUID]bool {
	bills, lost := s.bills()
	byID := make(map[uuid.UUID]*request, len(s.requests))
	for _, r := range s.requests {
		byID[r.id] = r
	}
	billed := map[uuid.UUID]bool{}
	sum := lost
	for _, b := range bills {
		r := byID[b.Request]
		if r == nil || billed[b.Request] {
			s.failf("request %s is unknown or billed twice", b.Request)
			return billed
		}
		billed[b.Request] = true
		sum[b.Budget] += b.Amount
		if (r.used == nil || *r.used != b.Amount) && (r.estimated == nil || *r.estimated != b.Amount) {
			s.failf("request %s is billed %d tokens, used %v", b.Request, b.Amount, r.used)
		}
	}
	for id, amount := range sum {
		if amount > s.paid[id] {
			s.failf("budget %s: %d tokens billed or lost, %d paid", id, amount, s.paid[id])
		}
	}
	return billed
}
