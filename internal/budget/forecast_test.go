package budget

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"
)

// TestOwnRemainderDoesNotPreventExhausted guards against a request that stays pending
// although the budget does not cover it, because the amount that is left in the
// router's own lot, too small for the request, counts as recallable.
func TestOwnRemainderDoesNotPreventExhausted(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000_000, 0)
	id := MakeID("w", "")
	account := Account{Shard: 0, Region: "r1"}
	router := Incarnation{Name: "a", Boot: uuid.New()}
	treasury := NewTreasury(0)
	c.Assert(treasury.CreateBudget(id), qt.IsNil)
	_, err := treasury.TopUp(id, "t", 100)
	c.Assert(err, qt.IsNil)
	h, err := NewHolder(now, TakeOver(account, nil, router), Policy{RefusalWeight: 100})
	c.Assert(err, qt.IsNil)
	seq := uint64(0)
	exchange := func(from Incarnation, report LotReport) LotGrant {
		seq++
		report.Budget = id
		reply := h.Exchange(now, ExchangeRequest{Account: account, Router: from, Epoch: h.Epoch(), Seq: seq, Lots: []LotReport{report}})
		c.Assert(reply.Lots, qt.HasLen, 1)
		return reply.Lots[0]
	}
	flush := func() {
		now = now.Add(2 * time.Second)
		h.ObserveTreasury(now, treasury)
		plan, err := h.PrepareFlush(now, treasury)
		c.Assert(err, qt.IsNil)
		if plan == nil {
			return
		}
		h.FlushDone(now, plan, FlushCommitted)
		if plan.Treasury != nil {
			treasury = plan.Treasury
		}
	}
	h.ObserveTreasury(now, treasury)
	exchange(router, LotReport{RequestedLimit: 100})
	flush()
	lot := exchange(router, LotReport{RequestedLimit: 100})
	c.Assert(lot.Limit, qt.Equals, Tokens(100))

	// The remaining amount includes what is in lots.
	c.Assert(h.Forecasts(now)[0].Remaining, qt.Equals, Tokens(100))

	// The router has nothing reserved and requests more than there is.
	grant := exchange(router, LotReport{Lot: lot.Lot, RequestedLimit: 150, Limit: 100})
	c.Assert(grant.Shortfall, qt.Equals, ShortfallPending) // no draw was tried yet
	flush()
	grant = exchange(router, LotReport{Lot: lot.Lot, RequestedLimit: 150, Limit: 100})
	c.Assert(grant.Shortfall, qt.Equals, ShortfallExhausted)

	c.Assert(h.Forecasts(now), qt.DeepEquals, []Forecast{{Budget: id, Remaining: 100, Unmet: true}})

	// Another router can get what this one does not use.
	other := Incarnation{Name: "b", Boot: uuid.New()}
	grant = exchange(other, LotReport{RequestedLimit: 50})
	c.Assert(grant.Shortfall, qt.Equals, ShortfallPending)
	c.Assert(h.RecallTargets(id), qt.DeepEquals, []Incarnation{router})
}
