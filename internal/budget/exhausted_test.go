package budget

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"
)

// holderFixture is a holder with one router, and the treasury that it flushes to.
type holderFixture struct {
	c        *qt.C
	now      time.Time
	h        *Holder
	treasury *Treasury
	router   Incarnation
	seq      uint64
	lot      LotGrant
}

func newHolderFixture(c *qt.C, paid Tokens) *holderFixture {
	f := &holderFixture{
		c: c, now: time.Date(2030, 1, 1, 6, 0, 0, 0, time.UTC), treasury: NewTreasury(0),
		router: Incarnation{Name: "router", Boot: uuid.New()},
	}
	c.Assert(f.treasury.CreateBudget("w/main"), qt.IsNil)
	_, err := f.treasury.TopUp("w/main", "t", paid)
	c.Assert(err, qt.IsNil)
	f.h, err = NewHolder(f.now, TakeOver(Account{Region: "r"}, nil, f.router), Policy{})
	c.Assert(err, qt.IsNil)
	f.h.ObserveTreasury(f.now, f.treasury)
	return f
}

// request requests a limit while all that was granted is reserved. It reports no
// demand, which would make the holder draw more.
func (f *holderFixture) request(limit Tokens) LotGrant {
	f.seq++
	reply := f.h.Exchange(f.now, ExchangeRequest{
		Account: Account{Region: "r"}, Router: f.router, Epoch: 1, Seq: f.seq,
		Lots: []LotReport{{Lot: f.lot.Lot, Budget: "w/main", RequestedLimit: limit, Reserved: f.lot.Limit}},
	})
	f.c.Assert(reply.Lots, qt.HasLen, 1)
	f.lot = reply.Lots[0]
	return f.lot
}

// flush runs a flush if one is due after urgentFlushGap, and reports whether one was.
func (f *holderFixture) flush() bool {
	f.now = f.now.Add(urgentFlushGap)
	if !f.h.FlushDue(f.now) {
		return false
	}
	plan, err := f.h.PrepareFlush(f.now, f.treasury)
	f.c.Assert(err, qt.IsNil)
	if plan != nil {
		if plan.Treasury != nil {
			f.treasury = plan.Treasury
		}
		f.h.FlushDone(f.now, plan, FlushCommitted)
	}
	return true
}

// TestCoveredRequestIsNotExhausted guards against a budget that counts as exhausted
// while most of it is unallocated: a flush between a draw and the next exchange draws
// nothing because the request is covered, which must not count as an empty draw.
func TestCoveredRequestIsNotExhausted(t *testing.T) {
	f := newHolderFixture(qt.New(t), 1_000_000)
	f.c.Assert(f.request(100).Shortfall, qt.Equals, ShortfallPending)
	f.c.Assert(f.flush(), qt.IsTrue, qt.Commentf("draw"))
	f.flush()
	f.c.Assert(f.request(100).Shortfall, qt.Equals, ShortfallNone)
	f.c.Assert(f.request(950_000).Shortfall, qt.Equals, ShortfallPending)
	f.c.Assert(f.flush(), qt.IsTrue, qt.Commentf("a draw beyond the region's share must not be delayed"))
	f.c.Assert(f.request(950_000).Shortfall, qt.Equals, ShortfallNone)
}

// TestExhaustedIsReported guards against callers that wait for a budget that is spent.
func TestExhaustedIsReported(t *testing.T) {
	f := newHolderFixture(qt.New(t), 1000)
	f.c.Assert(f.request(5000).Shortfall, qt.Equals, ShortfallPending)
	f.c.Assert(f.flush(), qt.IsTrue)
	f.c.Assert(f.request(1000).Shortfall, qt.Equals, ShortfallNone)
	f.request(5000)
	for f.flush() {
	}
	f.c.Assert(f.request(5000).Shortfall, qt.Equals, ShortfallExhausted)
}
