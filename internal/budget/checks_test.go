package budget

import (
	"strings"

	"github.com/google/uuid"
)

// checkNow compares the ground truth with what was paid, and all invariants.
func (w *world) checkNow() {
	used := map[ID]Tokens{}
	for _, r := range w.reqs {
		used[r.budget] += r.cost()
	}
	for id, sum := range used {
		if sum > w.paid[id] {
			w.failf("budget %s: %d tokens used, %d paid", id, sum, w.paid[id])
		}
	}
	if w.rev != w.checkedRev {
		w.checkedRev = w.rev
		w.checkStore()
	}
	for _, region := range w.regions {
		// A replaced holder may see bills of limits that it does not know.
		if p := w.newest(region); p != nil {
			w.check(p.h.Check())
			w.checkExposure(p)
		}
	}
	for _, r := range w.routers {
		if r.alive {
			w.check(r.wallet.Check())
		}
	}
}

// checkStore compares the records with each other and with the ground truth.
func (w *world) checkStore() {
	t := w.treasury()
	w.check(t.Check())
	for _, region := range w.regions {
		rec := w.account(region)
		for id, b := range t.Budgets {
			var drawn Tokens
			if rec != nil && rec.Budgets[id] != nil {
				drawn = rec.Budgets[id].Drawn
			}
			if drawn != b.Drawn[region] {
				w.failf("budget %s in %s: account has %d drawn, treasury %d", id, region, drawn, b.Drawn[region])
			}
		}
	}
	w.checkBills()
}

// checkExposure finds lots that a router could still use at an agent although
// the region's holder does not count them.
func (w *world) checkExposure(p *holderProc) {
	if p.h.Reconciling() {
		return
	}
	for _, r := range w.routers {
		if !r.alive || r.region != p.region {
			continue
		}
		for id, l := range r.wallet.lots {
			known := p.h.lots[id.Position()]
			if known != nil && known.phase == lotOpen && known.limit >= l.limit || l.free() <= 0 {
				continue
			}
			for _, a := range w.agents {
				if w.usable(r, l, a) {
					w.failf("%s can use lot %v of %s at %s, but its holder does not count it", r.name, id.Position(), l.budget.id, a.name)
				}
			}
		}
	}
}

// usable reports whether an agent would run a request of the lot.
func (w *world) usable(r *routerProc, l *walletLot, a *agentProc) bool {
	established, connected := r.sessions[a.inc]
	if !a.alive || a.region != r.region || !connected || !l.renewedAt.After(established) && !w.bug.skipRenewal {
		return false
	}
	adm := Admission{Attempt: w.uuid(), Router: r.inc, TargetBoot: a.inc.Boot, Lot: l.id, AccountEpoch: l.epoch}
	if w.bug.adoptUnconfirmed {
		adm.AccountEpoch = r.wallet.Epoch(l.id.Account)
	}
	ok := a.book.Admit(adm) == nil
	delete(a.book.entries, adm.Attempt)
	return ok
}

// bills reads all bill blocks: the bills, and the losses per budget.
func (w *world) bills() ([]Bill, map[ID]Tokens) {
	var bills []Bill
	lost := map[ID]Tokens{}
	for key, rec := range w.store {
		if !strings.HasPrefix(key, "bills/") {
			continue
		}
		block, err := DecodeBillBlock(rec.data)
		w.check(err)
		bills = append(bills, block.Bills...)
		for _, l := range block.Losses {
			lost[l.Budget] += l.Amount
		}
	}
	return bills, lost
}

// checkBills finds requests that were billed twice or wrongly.
func (w *world) checkBills() map[uuid.UUID]bool {
	bills, lost := w.bills()
	byID := make(map[uuid.UUID]*request, len(w.reqs))
	for _, r := range w.reqs {
		byID[r.id] = r
	}
	billed := map[uuid.UUID]bool{}
	sum := lost
	for _, b := range bills {
		r := byID[b.Request]
		if r == nil || billed[b.Request] {
			w.failf("request %s is unknown or billed twice", b.Request)
			return billed
		}
		billed[b.Request] = true
		sum[b.Budget] += b.Amount
		if (r.ran == nil || *r.ran != b.Amount) && (r.est == nil || *r.est != b.Amount) {
			w.failf("request %s is billed %d, ran %v", b.Request, b.Amount, r.ran)
		}
	}
	for id, amount := range sum {
		if amount > w.paid[id] {
			w.failf("budget %s: %d tokens billed or lost, %d paid", id, amount, w.paid[id])
		}
	}
	return billed
}
