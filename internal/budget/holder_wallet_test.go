package budget

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"
)

// fixture has a treasury with one budget and, per region, a holder and a wallet
// whose messages are never lost.
type fixture struct {
	c        *qt.C
	now      time.Time
	treasury *Treasury
	holders  []*Holder
	wallets  []*Wallet
	// counts of exchanges, of flushes, and of encoded bytes of requests and replies
	exchanges, flushes, bytes int
}

func newFixture(c *qt.C, paid Tokens, weight int, regions ...string) *fixture {
	f := &fixture{c: c, now: time.Unix(1_800_000_000, 0), treasury: NewTreasury(0)}
	c.Assert(f.treasury.CreateBudget(budgetA), qt.IsNil)
	_, err := f.treasury.TopUp(budgetA, "t", paid)
	c.Assert(err, qt.IsNil)
	for i, region := range regions {
		inc := Incarnation{region, uuid.UUID{byte(i + 1)}}
		h, err := NewHolder(f.now, TakeOver(Account{0, region}, nil, inc), Policy{RefusalWeight: weight})
		c.Assert(err, qt.IsNil)
		h.ObserveTreasury(f.now, f.treasury)
		f.holders = append(f.holders, h)
		f.wallets = append(f.wallets, NewWallet(inc, region, 1, Policy{RefusalWeight: weight}))
	}
	return f
}

// exchange runs one exchange of wallet i with holder i.
func (f *fixture) exchange(i int) ReplyResult {
	account := f.holders[i].Account()
	req, ok := f.wallets[i].BuildExchange(f.now, account)
	f.c.Assert(ok, qt.IsTrue)
	reply := f.holders[i].Exchange(f.now, req)
	for _, m := range []any{req, reply} {
		data, err := recordEncMode.Marshal(m)
		f.c.Assert(err, qt.IsNil)
		f.bytes += len(data)
	}
	f.exchanges++
	result := f.wallets[i].ApplyReply(f.now, account, reply.Seq, &reply, nil)
	for _, attempts := range result.Durable {
		f.wallets[i].MarkAgentAcked(attempts)
	}
	f.c.Assert(f.wallets[i].Check(), qt.IsNil)
	return result
}

// flush runs one flush of holder i.
func (f *fixture) flush(i int) {
	h := f.holders[i]
	h.ObserveTreasury(f.now, f.treasury)
	plan, err := h.PrepareFlush(f.now, f.treasury)
	f.c.Assert(err, qt.IsNil)
	if plan == nil {
		return
	}
	f.flushes++
	if plan.Treasury != nil {
		f.treasury = plan.Treasury
	}
	h.FlushDone(f.now, plan, FlushCommitted)
	f.c.Assert(h.Check(), qt.IsNil)
	f.c.Assert(f.treasury.Check(), qt.IsNil)
}

// advance advances the time and runs what is due for wallet i and holder i.
func (f *fixture) advance(i int, dt time.Duration) {
	f.now = f.now.Add(dt)
	for round := 0; round < 3; round++ {
		if due, _ := f.wallets[i].Due(f.now); len(due) > 0 {
			f.exchange(i)
		}
		if f.holders[i].FlushDue(f.now) {
			f.flush(i)
		}
	}
}

// obtainLot makes wallet i request amount for 4 s, which is enough time for a grant
// if the amount is available.
func (f *fixture) obtainLot(i int, amount Tokens) {
	f.wallets[i].SetWaiting(f.now, budgetA, amount)
	for range 4 {
		f.advance(i, time.Second)
	}
	f.wallets[i].SetWaiting(f.now, budgetA, 0)
}

// TestSteadyLoad guards against refusals without a fault, and against more exchanges,
// bytes and flushes than planned. 10 requests/s of one budget for 5 minutes may take
// 2 exchanges/s, 10,000 B/s, and 3 flushes besides one per minute.
func TestSteadyLoad(t *testing.T) {
	c := qt.New(t)
	f := newFixture(c, 1<<40, 50, "east")
	f.obtainLot(0, 2000)
	f.exchanges, f.flushes, f.bytes = 0, 0, 0
	var open []Reservation // each runs for 8 s
	const seconds = 300
	refused, waits := 0, 0
	for i := range 10 * seconds {
		f.advance(0, 100*time.Millisecond)
		reservation, _, ok := f.wallets[0].Reserve(f.now, budgetA, 2000)
		if !ok {
			waits++
			f.wallets[0].SetWaiting(f.now, budgetA, 2000)
			for waited := time.Duration(0); !ok && waited < (Policy{RefusalWeight: 50}).GrantTimeout(); waited += shortfallRetryDelay {
				f.advance(0, shortfallRetryDelay)
				reservation, _, ok = f.wallets[0].Reserve(f.now, budgetA, 2000)
			}
			f.wallets[0].SetWaiting(f.now, budgetA, 0)
		}
		if !ok {
			refused++
			continue
		}
		open = append(open, reservation)
		for len(open) > 80 {
			bill := Bill{Request: uuid.UUID{byte(i), byte(i >> 8)}, Attempt: uuid.UUID{byte(i), byte(i >> 8)}, Amount: 700, Target: "model", Server: "server-1"}
			c.Assert(f.wallets[0].Settle(f.now, open[0], bill, "agent"), qt.IsNil)
			open = open[1:]
		}
	}
	t.Logf("per second: %.2f exchanges, %.0f B; %d flushes in %d s; %d of %d waited, %d refused",
		float64(f.exchanges)/seconds, float64(f.bytes)/seconds, f.flushes, seconds, waits, 10*seconds, refused)
	c.Assert(refused, qt.Equals, 0)
	c.Assert(f.exchanges <= 2*seconds, qt.IsTrue)
	c.Assert(f.flushes <= seconds/60+3, qt.IsTrue)
	c.Assert(f.bytes <= 10_000*seconds, qt.IsTrue)
	for _, reservation := range open {
		c.Assert(f.wallets[0].Release(f.now, reservation), qt.IsNil)
	}
	for range 150 {
		f.advance(0, time.Second)
	}
	b := f.treasury.Budgets[budgetA]
	c.Assert(b.Drawn, qt.HasLen, 0)
	c.Assert(b.ClosedSpent, qt.Equals, Tokens(700*(10*seconds-80)))
}

// TestShares guards against shares that are not in proportion to demand, and against
// an unallocated part that does not follow the refusal weight.
func TestShares(t *testing.T) {
	c := qt.New(t)
	for weight, minUnallocated := range map[int]Tokens{0: 100_000, 50: 50_000, 100: 0} {
		f := newFixture(c, 1_000_000, weight, "east", "west")
		east, west := f.holders[0].budget(budgetA), f.holders[1].budget(budgetA)
		east.demand, west.demand = 300, 100
		east.lastUse, west.lastUse = f.now, f.now
		for range 4 {
			f.now = f.now.Add(time.Second)
			f.flush(0)
			f.flush(1)
		}
		b := f.treasury.Budgets[budgetA]
		c.Assert(b.Unallocated() >= minUnallocated, qt.IsTrue, qt.Commentf("%d unallocated, minimum %d", b.Unallocated(), minUnallocated))
		c.Assert(float64(b.Drawn["east"]) <= 0.85*float64(1_000_000-minUnallocated), qt.IsTrue, qt.Commentf("%v", b.Drawn))
		c.Assert(float64(b.Drawn["west"]) >= 0.15*float64(1_000_000-minUnallocated), qt.IsTrue, qt.Commentf("%v", b.Drawn))
	}
}

// TestReturnForOtherRegion guards against balance that stays in a region that does
// not need it while another one refuses, and against a budget that is reported as
// exhausted before the other region has replied.
func TestReturnForOtherRegion(t *testing.T) {
	c := qt.New(t)
	f := newFixture(c, 1000, 50, "east", "west")
	f.obtainLot(0, 1000)
	c.Assert(f.treasury.Budgets[budgetA].Drawn["east"], qt.Equals, Tokens(1000))
	f.wallets[1].SetWaiting(f.now, budgetA, 300)
	f.exchange(1)
	c.Assert(f.wallets[1].ShortfallReason(budgetA), qt.Equals, ShortfallPending)
	f.now = f.now.Add(time.Second)
	f.flush(1)
	f.exchange(1)
	unmet := f.holders[1].UnmetRequests(f.now)
	c.Assert(unmet, qt.HasLen, 1)
	c.Assert(unmet[0].Regions, qt.DeepEquals, []string{"east"})
	f.holders[0].HandleReturnRequest(f.now, budgetA, 300) // recalls the lot
	c.Assert(f.holders[0].RecallTargets(budgetA), qt.HasLen, 1)
	f.exchange(0)
	f.now = f.now.Add(100 * time.Millisecond)
	c.Assert(f.exchange(0).Applied, qt.IsTrue)
	returned := f.holders[0].HandleReturnRequest(f.now, budgetA, 300)
	c.Assert(returned, qt.Equals, Tokens(300))
	f.now = f.now.Add(time.Second)
	c.Assert(f.holders[0].FlushDue(f.now), qt.IsTrue)
	f.flush(0)
	f.holders[1].HandleReturnReply(f.now, budgetA, "east", true, returned)
	c.Assert(f.holders[1].FlushDue(f.now), qt.IsTrue)
	f.flush(1)
	f.exchange(1)
	_, _, ok := f.wallets[1].Reserve(f.now, budgetA, 300)
	c.Assert(ok, qt.IsTrue)
}

// TestShortfallReasons guards against wrong shortfall reasons, and against a spent
// budget that costs a store call per second.
func TestShortfallReasons(t *testing.T) {
	c := qt.New(t)
	f := newFixture(c, 100, 50, "east")
	f.wallets[0].SetWaiting(f.now, "armor/none", 10)
	f.exchange(0)
	c.Assert(f.wallets[0].ShortfallReason("armor/none"), qt.Equals, ShortfallNoBudget)
	f.wallets[0].SetWaiting(f.now, "armor/none", 0)
	f.obtainLot(0, 100)
	reservation, _, ok := f.wallets[0].Reserve(f.now, budgetA, 100)
	c.Assert(ok, qt.IsTrue)
	waitFor30s := func() (calls int) {
		for range 60 {
			f.now = f.now.Add(500 * time.Millisecond)
			f.wallets[0].SetWaiting(f.now, budgetA, 10)
			f.exchange(0)
			if f.holders[0].FlushDue(f.now) {
				calls++
				f.flush(0)
			}
		}
		return calls
	}
	calls := waitFor30s()
	c.Assert(f.wallets[0].ShortfallReason(budgetA), qt.Equals, ShortfallReserved)
	c.Assert(calls <= 8, qt.IsTrue, qt.Commentf("%d calls in 30 s", calls))
	c.Assert(f.wallets[0].Settle(f.now, reservation, Bill{Amount: 100}, ""), qt.IsNil)
	calls = waitFor30s()
	c.Assert(f.wallets[0].ShortfallReason(budgetA), qt.Equals, ShortfallExhausted)
	c.Assert(calls <= 8, qt.IsTrue, qt.Commentf("%d calls in 30 s", calls))
	plan, err := f.holders[0].PrepareFlush(f.now.Add(time.Hour), f.treasury)
	c.Assert(err, qt.IsNil)
	f.holders[0].FlushDone(f.now, plan, FlushFailed)
	f.wallets[0].SetWaiting(f.now, budgetA, 10)
	f.exchange(0)
	c.Assert(f.wallets[0].ShortfallReason(budgetA), qt.Equals, ShortfallUnreachable)
}

// TestStaleMessages guards against a delayed exchange that restores an earlier limit,
// and against replies of a replaced holder.
func TestStaleMessages(t *testing.T) {
	c := qt.New(t)
	f := newFixture(c, 1000, 0, "east")
	f.obtainLot(0, 400)
	h, w := f.holders[0], f.wallets[0]
	stale, _ := w.BuildExchange(f.now, h.Account())
	w.ApplyReply(f.now, h.Account(), stale.Seq, nil, ErrLotDropped) // timed out
	f.now = f.now.Add(IdleTimeout)
	f.exchange(0) // closes the idle lot
	reply := h.Exchange(f.now, stale)
	after, _ := h.Balance(budgetA)
	c.Assert(after.OpenLimits, qt.Equals, Tokens(0))
	c.Assert(h.Counters().StaleExchanges, qt.Equals, int64(1))
	c.Assert(w.ApplyReply(f.now, h.Account(), stale.Seq, &reply, nil).Applied, qt.IsFalse)
	req, _ := w.BuildExchange(f.now, h.Account())
	w.ObserveEpoch(h.Account(), 7)
	reply = h.Exchange(f.now, req)
	c.Assert(w.ApplyReply(f.now, h.Account(), req.Seq, &reply, nil).Applied, qt.IsFalse)
	f.exchange(0)
	c.Assert(h.Deposed(), qt.IsTrue)
}

// TestLedger guards against agents that run attempts that they must refuse.
func TestLedger(t *testing.T) {
	c := qt.New(t)
	self, router := Incarnation{"agent", uuid.UUID{1}}, Incarnation{"router", uuid.UUID{2}}
	account := Account{0, "east"}
	l := NewLedger(self)
	admission := Admission{Attempt: uuid.UUID{3}, Router: router, AgentBoot: self.Boot, Budget: budgetA,
		Lot: LotID{account, 2, 5}, Slot: 1, Reserved: 10, AccountEpoch: 2, ClaimAccount: account, ClaimEpoch: 2}
	c.Assert(l.Admit(admission), qt.ErrorIs, ErrEpochsUnknown)
	l.InitEpochs(map[Account]uint64{account: 2})
	for want, change := range map[error]func(*Admission){
		ErrWrongBoot:  func(a *Admission) { a.AgentBoot = router.Boot },
		ErrTombstoned: func(a *Admission) { a.Attempt = uuid.UUID{4} },
		ErrFenced:     func(a *Admission) { a.Lot.Num = 4 },
		ErrStaleEpoch: func(a *Admission) { a.AccountEpoch = 1 },
		ErrStaleClaim: func(a *Admission) { a.ClaimEpoch = 1 },
	} {
		c.Assert(l.Tombstone(uuid.UUID{4}), qt.IsTrue)
		l.Fence(account, router, LotPosition{2, 5})
		l.Fence(account, router, LotPosition{2, 3}) // a delayed order must not lower the position
		l.RaiseClaimEpoch(account, 2)
		bad := admission
		change(&bad)
		c.Assert(l.Admit(bad), qt.ErrorIs, want)
	}
	c.Assert(l.Admit(admission), qt.IsNil)
	c.Assert(l.Admit(admission), qt.ErrorIs, ErrDuplicateAttempt)
	bill := l.Finish(admission.Attempt, Bill{Amount: 13})
	c.Assert(bill.Amount, qt.Equals, Tokens(10))
	c.Assert(l.Finish(admission.Attempt, Bill{Amount: 4}), qt.Equals, bill)
	c.Assert(l.Absorbed(), qt.Equals, Tokens(3))
}

// TestTakeoverOfSealedAccount guards against a planned stop that puts escrow out of
// reach: the successor of a sealed holder can grant all amounts at once, and routers
// can use their lots as before.
func TestTakeoverOfSealedAccount(t *testing.T) {
	c := qt.New(t)
	f := newFixture(c, 10_000, 50, "east")
	f.obtainLot(0, 1000)
	reservation, _, ok := f.wallets[0].Reserve(f.now, budgetA, 400)
	c.Assert(ok, qt.IsTrue)
	predecessor := f.holders[0]
	before, _ := predecessor.Balance(budgetA)
	c.Assert(predecessor.Seal(), qt.IsNil)
	f.now = f.now.Add(time.Second)
	plan, err := predecessor.PrepareFlush(f.now, nil)
	c.Assert(err, qt.IsNil)
	predecessor.FlushDone(f.now, plan, FlushCommitted)
	c.Assert(f.exchange(0).NotHolder, qt.IsTrue)
	successor, err := NewHolder(f.now, TakeOver(predecessor.Account(), plan.Account, Incarnation{"next", uuid.UUID{9}}), Policy{RefusalWeight: 50})
	c.Assert(err, qt.IsNil)
	c.Assert(successor.Reconciling(), qt.IsFalse)
	after, _ := successor.Balance(budgetA)
	c.Assert(after.Free, qt.Equals, before.Free)
	c.Assert(after.OpenLimits, qt.Equals, before.OpenLimits)
	f.holders[0] = successor
	successor.ObserveTreasury(f.now, f.treasury)
	bill := Bill{Request: uuid.UUID{1}, Attempt: uuid.UUID{1}, Amount: 300}
	c.Assert(f.wallets[0].Settle(f.now, reservation, bill, "agent"), qt.IsNil)
	for range 120 {
		f.advance(0, time.Second)
	}
	c.Assert(f.treasury.Budgets[budgetA].ClosedSpent, qt.Equals, Tokens(300))
	c.Assert(f.treasury.Budgets[budgetA].Unallocated(), qt.Equals, Tokens(9700))
}

// TestAbandonedLot guards against a router that cannot use a budget any more because
// agents refuse its lot.
func TestAbandonedLot(t *testing.T) {
	c := qt.New(t)
	f := newFixture(c, 10_000, 50, "east")
	f.obtainLot(0, 1000)
	first, _, ok := f.wallets[0].Reserve(f.now, budgetA, 400)
	c.Assert(ok, qt.IsTrue)
	f.wallets[0].AbandonLot(first)
	_, _, ok = f.wallets[0].Reserve(f.now, budgetA, 400)
	c.Assert(ok, qt.IsFalse)
	f.obtainLot(0, 1000)
	second, _, ok := f.wallets[0].Reserve(f.now, budgetA, 400)
	c.Assert(ok, qt.IsTrue)
	c.Assert(second.Lot, qt.Not(qt.Equals), first.Lot)
	c.Assert(f.wallets[0].Release(f.now, first), qt.IsNil)
	f.obtainLot(0, 100)
	f.obtainLot(0, 100)
	c.Assert(len(f.wallets[0].lots), qt.Equals, 1)
}

// TestAskedRegionReturnsExcess guards against a region that keeps nearly all of a
// balance because another one requests a small return every second, and against a
// request that counts as exhausted after it was granted.
func TestAskedRegionReturnsExcess(t *testing.T) {
	c := qt.New(t)
	f := newFixture(c, 1_000_000, 80, "east", "west")
	use := func(i int) {
		reservation, shortfall, ok := f.wallets[i].Reserve(f.now, budgetA, 200)
		f.wallets[i].SetWaiting(f.now, budgetA, shortfall)
		if ok {
			c.Assert(f.wallets[i].Settle(f.now, reservation, Bill{Amount: 200}, ""), qt.IsNil)
		}
	}
	f.obtainLot(0, 200)
	for range 40 { // 20 s with the same demand in both regions
		use(0)
		use(1)
		f.advance(0, 250*time.Millisecond)
		f.advance(1, 250*time.Millisecond)
		for i := range f.holders {
			for _, unmet := range f.holders[i].UnmetRequests(f.now) {
				for _, region := range unmet.Regions {
					returned := f.holders[1-i].HandleReturnRequest(f.now, budgetA, unmet.Amount)
					f.holders[i].HandleReturnReply(f.now, budgetA, region, true, returned)
				}
			}
		}
		c.Assert(f.wallets[1].ShortfallReason(budgetA), qt.Not(qt.Equals), ShortfallExhausted)
	}
	// When a partition begins, each region must have at least half of its share, so
	// that it can serve its requests if the balance is twice what both regions need.
	const least = 1_000_000 / 2 / 2
	b := f.treasury.Budgets[budgetA]
	for _, region := range []string{"east", "west"} {
		c.Assert(b.Unspent[region] >= least, qt.IsTrue, qt.Commentf("drawn %v, unspent %v", b.Drawn, b.Unspent))
	}
}
