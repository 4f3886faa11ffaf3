package budget

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
)

// Errors of a Holder.
var (
	// ErrDeposed means that the account has a higher epoch: this holder stops.
	ErrDeposed = errors.New("account was taken over")
	// ErrUnresolved means that the outcome of an earlier flush is not known;
	// the caller reads the account back and calls ResolveFlush.
	ErrUnresolved = errors.New("outcome of an earlier flush is unknown")
	// ErrNotCollected means that an agent has not been collected from.
	ErrNotCollected = errors.New("agent has not been collected from")
	// ErrStillRunning means that requests of the lots are still in progress.
	ErrStillRunning = errors.New("requests are still in progress")
	// ErrNoFence means that the router is not being fenced.
	ErrNoFence = errors.New("router is not being fenced")
	// ErrBusy means that a fence or a reconciliation is in progress.
	ErrBusy = errors.New("a fence or a reconciliation is in progress")
)

// Counters counts events that a holder has seen since it started.
type Counters struct {
	// DuplicateBills were dropped because their slot was settled.
	DuplicateBills int64
	// ConflictingBills are duplicates with another amount.
	ConflictingBills int64
	// LateBills were dropped because their lot was closed.
	LateBills int64
	// OverLimitBills were cut to their lot's limit. Each is a fault of an agent,
	// unless the account was taken over and this holder does not know it yet.
	OverLimitBills int64
	// StaleExchanges were ignored because a later one had arrived.
	StaleExchanges int64
	// Violations counts invariant errors; LastViolation is the latest.
	Violations    int64
	LastViolation error
}

// lotPhase is the state of a lot at its holder.
type lotPhase uint8

const (
	// lotOpen counts with its limit.
	lotOpen lotPhase = iota
	// lotOrphaned is a lot of a former epoch that its router has not reported. It
	// is inside Unreconciled.
	lotOrphaned
	// lotClosed is closed and waits for its last bills to become durable.
	lotClosed
)

// pendingBill is an accepted bill that is not durable.
type pendingBill struct {
	bill Bill
	// agent is set if the holder collected the bill, and must tell the agent.
	agent string
}

// lotState is a lot at its holder.
type lotState struct {
	id                   LotID
	router               Incarnation
	budget               *budgetState
	phase                lotPhase
	reported             bool // the router has named the lot, so it knows it
	settledByPredecessor bool // a former holder settled it, so its router cannot adopt it
	limit                Tokens
	billed               Tokens      // sum of accepted bills
	durableBilled        Tokens      // sum of durable bills
	settled              IntervalSet // slots of accepted bills, and unused slots
	durable              IntervalSet // slots of durable bills, and unused slots
	pending              map[Slot]*pendingBill
	reserved             Tokens // as last reported
	demand               float64
	opened               time.Time // zero if a former holder opened it
}

// budgetState is a budget with escrow, lots or an unmet request.
type budgetState struct {
	id           ID
	drawn        Tokens // committed
	spent        Tokens // durable bills
	lost         Tokens
	losses       []Loss // not durable
	closedBilled Tokens // accepted bills of lots that are not open
	unreconciled Tokens
	openLimits   Tokens
	// awaitingFlush is what a fence or a reconciliation has freed. It is granted only
	// after a flush: a successor that does not know of the settlement would
	// accept the lots from their routers again.
	awaitingFlush     Tokens
	pendingReturns    Tokens // returns of flushes whose outcome is open
	lots              int    // open, orphan and retired
	pending           int    // bills that are not durable
	inTreasury        bool   // the treasury has an entry for this region
	demand            float64
	lastUse           time.Time
	unmet             Tokens
	unmetAt           time.Time
	recallUntil       time.Time
	requestedReturn   Tokens
	returnRequestedAt time.Time
	retryAt           time.Time // no urgent flush before
	emptyDrawAt       time.Time // the last time a flush found nothing to draw
	returnReplies     map[string]returnReply
}

// returnReply is what another region's holder said when asked for a return.
type returnReply struct {
	at        time.Time
	reachable bool
	returned  Tokens
}

// routerState is what a holder knows about a router incarnation.
type routerState struct {
	seq     uint64
	adopted bool // its lots of former epochs are known
	lots    map[LotPosition]*lotState
	fence   *fenceState
}

// Holder decides for one account. It is not safe for concurrent use.
type Holder struct {
	account          Account
	self             Incarnation
	epoch            uint64
	policy           Policy
	budgets          map[ID]*budgetState
	lots             map[LotPosition]*lotState
	routers          map[Incarnation]*routerState
	nextLot          uint64
	unreconciledFrom []LotPosition // marks of former epochs that are not reconciled
	reconcile        *reconcileState
	treasury         *Treasury // last observed, not changed
	treasuryAt       time.Time // when treasury was observed
	// needTreasury is set when a router asked for a budget that the observed
	// treasury does not list.
	needTreasury bool

	committedSeq uint64
	nextSeq      uint64
	inDoubt      []*FlushPlan // may still take effect
	unresolved   bool
	preparedAt   time.Time // last prepared
	flushCredit  float64   // urgent flushes saved up at preparedAt
	committedAt  time.Time // last committed
	flushFailing bool
	sealed       bool
	deposed      bool
	highestEpoch uint64
	counters     Counters
}

// NewHolder makes the holder of the account from the record with which it took
// over (see TakeOver). Unless the former holder sealed its record, all escrow
// that is not durably spent or lost is unreconciled until FinishReconcile.
func NewHolder(now time.Time, record *AccountRecord, policy Policy) (*Holder, error) {
	if err := record.Check(); err != nil {
		return nil, err
	}
	h := &Holder{
		account: record.Account, self: record.Holder, epoch: record.Epoch, policy: policy,
		budgets: map[ID]*budgetState{}, lots: map[LotPosition]*lotState{},
		routers: map[Incarnation]*routerState{}, nextLot: 1,
		committedSeq: record.FlushSeq, nextSeq: record.FlushSeq + 1,
		preparedAt: now, flushCredit: urgentFlushBurst, committedAt: now, highestEpoch: record.Epoch,
	}
	predecessorSealed := record.SealedEpoch != 0 && record.SealedEpoch+1 == record.Epoch
	for id, b := range record.Budgets {
		s := h.budget(id)
		s.drawn, s.spent, s.lost, s.closedBilled = b.Drawn, b.Spent, b.Lost, b.Spent
		s.lastUse = now
		if !predecessorSealed {
			s.unreconciled = b.Drawn - b.Spent - b.Lost
		}
	}
	for _, lot := range record.Lots {
		l := h.addLot(lot.Position, lot.Router, h.budget(lot.Budget), lotOrphaned)
		l.settled, l.durable = lot.Settled.Clone(), lot.Settled.Clone()
		l.billed, l.durableBilled = lot.Billed, lot.Billed
		l.settledByPredecessor = lot.Closed && !predecessorSealed
		if predecessorSealed {
			h.openOrphaned(l, max(lot.Limit, lot.Billed), false)
		}
	}
	if !predecessorSealed {
		h.beginReconcile(record)
	}
	return h, h.Check()
}

// Account returns the account.
func (h *Holder) Account() Account { return h.account }

// Epoch returns the epoch in which the holder took over.
func (h *Holder) Epoch() uint64 { return h.epoch }

// Deposed reports whether the holder has learned of a higher epoch. It then
// answers every exchange with NotHolder and must be dropped.
func (h *Holder) Deposed() bool { return h.deposed }

// Counters returns what was counted so far.
func (h *Holder) Counters() Counters { return h.counters }

// ObserveEpoch tells the holder of an epoch of its account that was seen in the
// holder record or heard from a peer.
func (h *Holder) ObserveEpoch(epoch uint64) {
	h.highestEpoch = max(h.highestEpoch, epoch)
	if epoch > h.epoch {
		h.deposed = true
	}
}

// ObserveTreasury gives the holder a treasury that was just read. The holder
// keeps t, and the caller must not change it.
func (h *Holder) ObserveTreasury(now time.Time, t *Treasury) {
	h.treasury, h.treasuryAt, h.needTreasury = t, now, false
}

// TreasuryObservedAt returns when the treasury was observed last. The caller reads it
// again if a router asks for key hashes that may be out of date.
func (h *Holder) TreasuryObservedAt() time.Time { return h.treasuryAt }

// BudgetBalance is the state of one budget at its holder, in tokens.
type BudgetBalance struct {
	Drawn, Spent, Lost, Free, Unreconciled, InLots Tokens
	DemandPerSecond                                float64
}

// Balance returns the state of a budget, and false if it is not active here.
func (h *Holder) Balance(id ID) (BudgetBalance, bool) {
	b := h.budgets[id]
	if b == nil {
		return BudgetBalance{}, false
	}
	return BudgetBalance{Drawn: b.drawn, Spent: b.spent, Lost: b.lost, Free: b.free(),
		Unreconciled: b.unreconciled, InLots: b.openLimits, DemandPerSecond: b.demand}, true
}

// Budgets returns the number of active budgets and of open lots.
func (h *Holder) Budgets() (active, lots int) { return len(h.budgets), len(h.lots) }

// Routers returns the router incarnations that have lots of the account, by
// name and boot. The caller watches them and calls BeginFence for one that is dead.
func (h *Holder) Routers() []Incarnation {
	var out []Incarnation
	for r, rs := range h.routers {
		if rs.openLots() > 0 {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, compareIncarnations)
	return out
}

func compareIncarnations(a, b Incarnation) int {
	if c := strings.Compare(a.Name, b.Name); c != 0 {
		return c
	}
	return bytes.Compare(a.Boot[:], b.Boot[:])
}

func (rs *routerState) openLots() int {
	n := 0
	for _, l := range rs.lots {
		if l.phase == lotOpen {
			n++
		}
	}
	return n
}

// ForgetRouter drops the memory of an incarnation that has no lots and will
// never send again.
func (h *Holder) ForgetRouter(router Incarnation) {
	if rs := h.routers[router]; rs != nil && len(rs.lots) == 0 && rs.fence == nil {
		delete(h.routers, router)
	}
}

// free is what can be granted or returned now.
func (b *budgetState) free() Tokens {
	return b.drawn - b.closedBilled - b.lost - b.unreconciled - b.openLimits - b.awaitingFlush - b.pendingReturns
}

// budget returns the state of id, made on first use.
func (h *Holder) budget(id ID) *budgetState {
	b := h.budgets[id]
	if b == nil {
		b = &budgetState{id: id}
		h.budgets[id] = b
	}
	return b
}

// router returns the state of a router incarnation, made on first use.
func (h *Holder) router(r Incarnation) *routerState {
	rs := h.routers[r]
	if rs == nil {
		rs = &routerState{lots: map[LotPosition]*lotState{}}
		h.routers[r] = rs
	}
	return rs
}

func (h *Holder) addLot(position LotPosition, router Incarnation, b *budgetState, phase lotPhase) *lotState {
	l := &lotState{
		id:     LotID{Account: h.account, Epoch: position.Epoch, Num: position.Num},
		router: router, budget: b, phase: phase,
	}
	h.lots[position] = l
	b.lots++
	h.router(router).lots[position] = l
	return l
}

// dropLot forgets a lot that is not open any more.
func (h *Holder) dropLot(l *lotState) {
	position := l.id.Position()
	delete(h.lots, position)
	delete(h.router(l.router).lots, position)
	l.budget.lots--
}

// openOrphaned moves a lot out of Unreconciled with the limit that its router has.
func (h *Holder) openOrphaned(l *lotState, limit Tokens, reconciling bool) {
	b := l.budget
	b.closedBilled -= l.billed
	b.openLimits += limit
	if reconciling {
		b.unreconciled -= limit - l.billed
	}
	l.limit, l.phase = limit, lotOpen
}

// closeLot closes a lot. What it did not use becomes free. The lot is forgotten
// when its last bill is durable.
func (h *Holder) closeLot(l *lotState) {
	b := l.budget
	if l.phase == lotOpen {
		b.openLimits -= l.limit
		b.closedBilled += l.billed
	}
	b.demand = max(0, b.demand-l.demand)
	l.demand = 0
	l.phase, l.limit = lotClosed, l.billed
	if len(l.pending) == 0 && !h.mustStayListed(l) {
		h.dropLot(l)
	}
}

// mustStayListed reports whether a closed lot stays listed: while former epochs are
// not reconciled, a lot of theirs that is not listed would count as open, and
// late copies of its bills would count again.
func (h *Holder) mustStayListed(l *lotState) bool {
	return h.reconcile != nil && l.id.Epoch < h.epoch
}

// setLimit changes an open lot's limit.
func (l *lotState) setLimit(limit Tokens) {
	l.budget.openLimits += limit - l.limit
	l.limit = limit
}

// acceptBill takes a bill into a lot. The first bill of a slot counts. It returns
// true if the bill's maker may forget it at once.
func (h *Holder) acceptBill(l *lotState, bill Bill, agent string) bool {
	if l.settled.Contains(bill.Slot) {
		h.counters.DuplicateBills++
		if p := l.pending[bill.Slot]; p != nil {
			if p.bill.Amount != bill.Amount {
				h.counters.ConflictingBills++
			}
			if agent != "" && p.bill.Attempt == bill.Attempt {
				p.agent = agent
				return false
			}
			return p.bill.Attempt != bill.Attempt
		}
		return true
	}
	if l.phase == lotClosed {
		h.counters.LateBills++
		return true
	}
	remaining := l.limit - l.billed
	if l.phase == lotOrphaned {
		remaining = l.budget.unreconciled
	}
	if bill.Amount < 0 || bill.Amount > remaining {
		h.counters.OverLimitBills++
		h.recordViolation(invariantErrorf("lot", l.budget.id, "bill of %d tokens for slot %d, %d left", bill.Amount, bill.Slot, remaining))
		bill.Amount = min(max(bill.Amount, 0), remaining)
	}
	l.settled.Add(bill.Slot)
	if l.pending == nil {
		l.pending = map[Slot]*pendingBill{}
	}
	l.pending[bill.Slot] = &pendingBill{bill: bill, agent: agent}
	l.billed += bill.Amount
	l.budget.pending++
	if l.phase == lotOrphaned {
		l.budget.closedBilled += bill.Amount
		l.budget.unreconciled -= bill.Amount
	}
	return false
}

// markUnused records a slot that certainly has no bill.
func (l *lotState) markUnused(slot Slot) {
	if slot != 0 && l.settled.Add(slot) {
		l.durable.Add(slot)
	}
}

func (h *Holder) recordViolation(err error) {
	h.counters.Violations++
	h.counters.LastViolation = err
}

// Check returns an InvariantError if the holder's amounts contradict each other.
// Its cost is proportional to the number of lots.
func (h *Holder) Check() error {
	type sums struct{ limits, open, pending Tokens }
	perBudget := make(map[ID]*sums, len(h.budgets))
	for id := range h.budgets {
		perBudget[id] = &sums{}
	}
	for position, l := range h.lots {
		s := perBudget[l.budget.id]
		if s == nil || l.id.Position() != position {
			return invariantErrorf("lot", l.budget.id, "lot %s is filed wrongly", position)
		}
		if l.billed < l.durableBilled || l.phase != lotOrphaned && l.billed > l.limit {
			return invariantErrorf("lot", l.budget.id, "billed %d, durable %d, limit %d", l.billed, l.durableBilled, l.limit)
		}
		if l.phase == lotOpen {
			s.limits += l.limit
			s.open += l.billed
		}
		s.pending += l.billed - l.durableBilled
	}
	for id, b := range h.budgets {
		s := perBudget[id]
		if b.free() < 0 || b.unreconciled < 0 || b.awaitingFlush < 0 || b.lost < 0 || b.closedBilled < 0 {
			return invariantErrorf("holder", id, "free %d, unreconciled %d, lost %d, closed %d",
				b.free(), b.unreconciled, b.lost, b.closedBilled)
		}
		if s.limits != b.openLimits || b.closedBilled+s.open != b.spent+s.pending {
			return invariantErrorf("holder", id, "limits %d and %d, billed %d and %d, spent %d, pending %d",
				s.limits, b.openLimits, b.closedBilled, s.open, b.spent, s.pending)
		}
	}
	return h.counters.err()
}

func (c Counters) err() error {
	if c.Violations == 0 {
		return nil
	}
	return fmt.Errorf("%d invariant violations, the last: %w", c.Violations, c.LastViolation)
}

// AckList lists, per agent, the attempts whose bills the agent may delete.
type AckList map[string][]uuid.UUID

func (a AckList) add(agent string, attempt uuid.UUID) AckList {
	if a == nil {
		a = AckList{}
	}
	a[agent] = append(a[agent], attempt)
	return a
}
