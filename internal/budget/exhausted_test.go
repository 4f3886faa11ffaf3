package budget

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"
)

// shortOfBudget is a holder with one router, and the treasury that it flushes to.
type shortOfBudget struct {
	c        *qt.C
	now      time.Time
	h        *Holder
	treasury *Treasury
	router   Incarnation
	seq      uint64
	lot      LotGrant
}

func newShortOfBudget(c *qt.C, paid Tokens) *shortOfBudget {
	s := &shortOfBudget{
		c: c, now: time.Date(2030, 1, 1, 6, 0, 0, 0, time.UTC), treasury: NewTreasury(0),
		router: Incarnation{Name: "router", Boot: uuid.New()},
	}
	c.Assert(s.treasury.CreateBudget("w/main"), qt.IsNil)
	_, err := s.treasury.TopUp("w/main", "t", paid)
	c.Assert(err, qt.IsNil)
	s.h, err = NewHolder(s.now, TakeOver(Account{Region: "r"}, nil, s.router), Policy{})
	c.Assert(err, qt.IsNil)
	s.h.ObserveTreasury(s.now, s.treasury)
	return s
}

// want asks for a limit while all that was granted is reserved, without a demand
// that would make the holder draw more.
func (s *shortOfBudget) want(limit Tokens) LotGrant {
	s.seq++
	reply := s.h.Exchange(s.now, ExchangeRequest{
		Account: Account{Region: "r"}, Router: s.router, Epoch: 1, Seq: s.seq,
		Lots: []LotReport{{Lot: s.lot.Lot, Budget: "w/main", RequestedLimit: limit, Reserved: s.lot.Limit}},
	})
	s.c.Assert(reply.Lots, qt.HasLen, 1)
	s.lot = reply.Lots[0]
	return s.lot
}

// flush flushes if that is due, and reports whether it was.
func (s *shortOfBudget) flush() bool {
	s.now = s.now.Add(urgentFlushGap)
	if !s.h.FlushDue(s.now) {
		return false
	}
	plan, err := s.h.PrepareFlush(s.now, s.treasury)
	s.c.Assert(err, qt.IsNil)
	if plan != nil {
		if plan.Treasury != nil {
			s.treasury = plan.Treasury
		}
		s.h.FlushDone(s.now, plan, FlushCommitted)
	}
	return true
}

// Guards against a refusal as exhausted while most of a budget is unallocated: a
// flush between a draw and the next exchange finds the wish covered, and this
// must not count as a draw that found nothing.
func TestCoveredWishIsNotExhausted(t *testing.T) {
	s := newShortOfBudget(qt.New(t), 1_000_000)
	s.c.Assert(s.want(100).Shortfall, qt.Equals, ShortfallPending)
	s.c.Assert(s.flush(), qt.IsTrue, qt.Commentf("the draw"))
	s.flush()
	s.c.Assert(s.want(100).Shortfall, qt.Equals, ShortfallNone)
	s.c.Assert(s.want(950_000).Shortfall, qt.Equals, ShortfallPending)
	s.c.Assert(s.flush(), qt.IsTrue, qt.Commentf("the draw on the reserve must not wait"))
	s.c.Assert(s.want(950_000).Shortfall, qt.Equals, ShortfallNone)
}

// Guards against a budget that is spent and keeps its callers waiting.
func TestExhaustedIsTold(t *testing.T) {
	s := newShortOfBudget(qt.New(t), 1000)
	s.c.Assert(s.want(5000).Shortfall, qt.Equals, ShortfallPending)
	s.c.Assert(s.flush(), qt.IsTrue)
	s.c.Assert(s.want(1000).Shortfall, qt.Equals, ShortfallNone)
	s.want(5000)
	for s.flush() {
	}
	s.c.Assert(s.want(5000).Shortfall, qt.Equals, ShortfallExhausted)
}
