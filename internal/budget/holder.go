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
	// ErrDeposed means that the account has a higher epoch, so that this holder
	// must stop.
	ErrDeposed = errors.New("account was taken over")
	// ErrUnresolved means that the outcome of an earlier flush is unknown. The
	// caller reads the account back and calls ResolveFlush.
	ErrUnresolved = errors.New("outcome of an earlier flush is unknown")
	// ErrNotCollected means that an agent has not replied to a collection.
	ErrNotCollected = errors.New("agent has not replied to the collection")
	// ErrStillRunning means that requests of the lots are still in progress.
	ErrStillRunning = errors.New("requests are still in progress")
	// ErrNoFence means that the router is not being fenced.
	ErrNoFence = errors.New("router is not being fenced")
	// ErrBusy means that the account cannot be sealed or handed over in its present
	// state (see Holder.Seal and Holder.HandOver).
	ErrBusy = errors.New("account cannot be sealed or handed over now")
)

// Counters holds a holder's event counts since it started.
type Counters struct {
	// DuplicateBills counts bills dropped because their slot had a bill already or
	// was reported as unused.
	DuplicateBills int64
	// ConflictingBills counts the DuplicateBills whose slot has a bill of another
	// amount that is not durable yet.
	ConflictingBills int64
	// LateBills counts bills dropped because their lot was closed, is unknown or is
	// of another budget.
	LateBills int64
	// OverLimitBills counts bills cut to their lot's limit, or to the unreconciled
	// escrow if the lot is orphaned. Each shows a bug of an agent, unless the
	// account was taken over and this holder does not know it yet.
	OverLimitBills int64
	// StaleExchanges counts exchanges ignored because a later one had arrived.
	StaleExchanges int64
	// Violations counts invariant errors.
	Violations int64
	// LastViolation is the latest invariant error, nil if there was none.
	LastViolation error
}

// Holder is the state of the leader of one account in one epoch. It grants lots,
// accepts bills and plans flushes. It is not safe for concurrent use.
type Holder struct {
	account          Account
	self             Incarnation
	epoch            uint64
	policy           Policy
	budgets          map[ID]*budgetState
	lots             map[LotPosition]*lotState
	routers          map[Incarnation]*routerState
	nextLot          uint64
	unreconciledFrom []LotPosition   // per unreconciled former epoch, the first position that no record covers
	reconcile        *reconcileState // nil if nothing is unreconciled
	treasury         *Treasury       // as last observed; read-only
	treasuryAt       time.Time       // when treasury was observed
	// needTreasury is true if a router asked for a budget and no treasury was
	// observed yet, or one without the budget more than exhaustedRetryDelay ago.
	needTreasury bool

	committedSeq    uint64       // AccountRecord.FlushSeq of the last write known to have taken effect
	nextSeq         uint64       // FlushSeq of the next flush
	inDoubt         []*FlushPlan // may still take effect
	unresolved      bool         // the account must be read back before the next flush
	lastPreparedAt  time.Time    // of a flush; changed after a conflict (see FlushDone)
	flushCredit     float64      // as of lastPreparedAt, in flushes (see urgentFlushGap)
	lastCommittedAt time.Time    // of a flush
	flushFailing    bool         // a flush failed or has an unknown outcome, and none has committed since
	sealed          bool
	deposed         bool
	highestEpoch    uint64
	counters        Counters
}

// NewHolder returns the holder of the account in record, the record with which it
// took the account over (see TakeOver). Unless the former holder sealed its
// record, all escrow that is not durably spent or lost is unreconciled until
// FinishReconcile or ApplyHandOver. It fails with an *InvariantError.
func NewHolder(now time.Time, record *AccountRecord, policy Policy) (*Holder, error) {
	if err := record.Check(); err != nil {
		return nil, err
	}
	h := &Holder{
		account: record.Account, self: record.Holder, epoch: record.Epoch, policy: policy,
		budgets: map[ID]*budgetState{}, lots: map[LotPosition]*lotState{},
		routers: map[Incarnation]*routerState{}, nextLot: 1,
		committedSeq: record.FlushSeq, nextSeq: record.FlushSeq + 1,
		lastPreparedAt: now, flushCredit: urgentFlushBurst, lastCommittedAt: now, highestEpoch: record.Epoch,
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
		l.acceptedSlots, l.durableSlots = lot.Settled.Clone(), lot.Settled.Clone()
		l.billed, l.durableBilled = lot.Billed, lot.Billed
		l.closedByPredecessor = lot.Closed && !predecessorSealed
		if predecessorSealed {
			h.openOrphaned(l, max(lot.Limit, lot.Billed), false)
		}
	}
	if !predecessorSealed {
		h.beginReconcile(record)
	}
	return h, h.Check()
}

// Account returns the account that the holder leads.
func (h *Holder) Account() Account { return h.account }

// Epoch returns the holder's epoch.
func (h *Holder) Epoch() uint64 { return h.epoch }

// Deposed reports whether the holder has learned of a higher epoch. A deposed
// holder replies NotHolder to every exchange, and the caller must drop it.
func (h *Holder) Deposed() bool { return h.deposed }

// Counters returns the event counts since the holder started.
func (h *Holder) Counters() Counters { return h.counters }

// ObserveEpoch tells the holder an epoch of its account that was read from the
// holder record or received from a peer. A higher one deposes the holder.
func (h *Holder) ObserveEpoch(epoch uint64) {
	h.highestEpoch = max(h.highestEpoch, epoch)
	if epoch > h.epoch {
		h.deposed = true
	}
}

// ObserveTreasury gives the holder a treasury that was just read from the store.
// The holder keeps t, and the caller must not change it.
func (h *Holder) ObserveTreasury(now time.Time, t *Treasury) {
	h.treasury, h.treasuryAt, h.needTreasury = t, now, false
}

// TreasuryObservedAt returns when the treasury was last observed. The caller reads
// the treasury again if a router asks for key hashes that may be stale.
func (h *Holder) TreasuryObservedAt() time.Time { return h.treasuryAt }

// BudgetBalance is a holder's state of one budget, in tokens. OpenLimits is the sum of
// the limits of open lots, which includes what is billed in them.
type BudgetBalance struct {
	Drawn, Spent, Lost, Free, Unreconciled, OpenLimits Tokens
	DemandPerSecond                                    float64
}

// Balance returns the state of a budget, and false if it is not active here.
func (h *Holder) Balance(id ID) (BudgetBalance, bool) {
	b := h.budgets[id]
	if b == nil {
		return BudgetBalance{}, false
	}
	return BudgetBalance{Drawn: b.drawn, Spent: b.spent, Lost: b.lost, Free: b.free(),
		Unreconciled: b.unreconciled, OpenLimits: b.openLimits, DemandPerSecond: b.demand}, true
}

// Counts returns the numbers of active budgets and of lots in all phases.
func (h *Holder) Counts() (active, lots int) { return len(h.budgets), len(h.lots) }

// Routers returns the router incarnations that have open lots of the account,
// ordered by name and boot ID. The caller monitors them and calls BeginFence for
// one that is dead.
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

// compareIncarnations orders incarnations by name and then by boot ID.
func compareIncarnations(a, b Incarnation) int {
	if c := strings.Compare(a.Name, b.Name); c != 0 {
		return c
	}
	return bytes.Compare(a.Boot[:], b.Boot[:])
}

// openLots returns the number of the router's open lots.
func (rs *routerState) openLots() int {
	n := 0
	for _, l := range rs.lots {
		if l.phase == lotOpen {
			n++
		}
	}
	return n
}

// ForgetRouter deletes the state of a router incarnation that is dead. It does
// nothing while the router has lots or is being fenced.
func (h *Holder) ForgetRouter(router Incarnation) {
	if rs := h.routers[router]; rs != nil && len(rs.lots) == 0 && rs.fence == nil {
		delete(h.routers, router)
	}
}

// free returns what can be granted or returned now.
func (b *budgetState) free() Tokens {
	return b.drawn - b.closedBilled - b.lost - b.unreconciled - b.openLimits - b.awaitingFlush - b.pendingReturns
}

// budget returns the state of id and creates it if it is missing.
func (h *Holder) budget(id ID) *budgetState {
	b := h.budgets[id]
	if b == nil {
		b = &budgetState{id: id}
		h.budgets[id] = b
	}
	return b
}

// router returns the state of a router incarnation and creates it if it is
// missing.
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
	b.lotCount++
	h.router(router).lots[position] = l
	return l
}

// dropLot deletes a closed lot.
func (h *Holder) dropLot(l *lotState) {
	position := l.id.Position()
	delete(h.lots, position)
	delete(h.router(l.router).lots, position)
	l.budget.lotCount--
}

// openOrphaned opens an orphaned lot with the limit that its router has. If
// reconciling is true, the unbilled part of the lot is taken out of the
// unreconciled escrow.
func (h *Holder) openOrphaned(l *lotState, limit Tokens, reconciling bool) {
	b := l.budget
	b.closedBilled -= l.billed
	b.openLimits += limit
	if reconciling {
		b.unreconciled -= limit - l.billed
	}
	l.limit, l.phase = limit, lotOpen
}

// closeLot closes a lot. The unbilled part of an open lot becomes free; closing an
// orphaned lot frees nothing. The lot is deleted once its last bill is durable,
// unless it must stay listed.
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

// mustStayListed reports whether a closed lot must stay listed. While former
// epochs are not reconciled, one of their lots that was granted after the last
// flush would count as open if it were not listed (see mayBeOpen), and late copies
// of its bills would count again.
func (h *Holder) mustStayListed(l *lotState) bool {
	return h.reconcile != nil && l.id.Epoch < h.epoch
}

// setLimit sets the limit of an open lot and updates the sum of its budget.
func (l *lotState) setLimit(limit Tokens) {
	l.budget.openLimits += limit - l.limit
	l.limit = limit
}

// acceptBill adds a bill to a lot. Only the first bill of a slot counts. agent is
// set if the bill was collected from that agent. It returns true if the sender can
// delete the bill at once, because it is durable already or will never count.
func (h *Holder) acceptBill(l *lotState, bill Bill, agent string) bool {
	if l.acceptedSlots.Contains(bill.Slot) {
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
		h.recordViolation(invariantErrorf("lot", l.budget.id, "bill of %d tokens for slot %d, but %d remaining", bill.Amount, bill.Slot, remaining))
		bill.Amount = min(max(bill.Amount, 0), remaining)
	}
	l.acceptedSlots.Add(bill.Slot)
	if l.pending == nil {
		l.pending = map[Slot]*pendingBill{}
	}
	l.pending[bill.Slot] = &pendingBill{bill: bill, agent: agent}
	l.billed += bill.Amount
	l.budget.pendingBills++
	if l.phase == lotOrphaned {
		l.budget.closedBilled += bill.Amount
		l.budget.unreconciled -= bill.Amount
	}
	return false
}

// markUnused records that a slot will never have a bill.
func (l *lotState) markUnused(slot Slot) {
	if slot != 0 && l.acceptedSlots.Add(slot) {
		l.durableSlots.Add(slot)
	}
}

func (h *Holder) recordViolation(err error) {
	h.counters.Violations++
	h.counters.LastViolation = err
}

// Check returns an error that wraps an *InvariantError if the holder's amounts are
// inconsistent now or were so before. Its cost is proportional to the number of
// lots.
func (h *Holder) Check() error {
	type sums struct{ limits, openBilled, pendingBilled Tokens }
	perBudget := make(map[ID]*sums, len(h.budgets))
	for id := range h.budgets {
		perBudget[id] = &sums{}
	}
	for position, l := range h.lots {
		s := perBudget[l.budget.id]
		if s == nil || l.id.Position() != position {
			return invariantErrorf("lot", l.budget.id, "lot %s has no budget state or is stored under another position", position)
		}
		if l.billed < l.durableBilled || l.phase != lotOrphaned && l.billed > l.limit {
			return invariantErrorf("lot", l.budget.id, "billed %d, durable %d, limit %d", l.billed, l.durableBilled, l.limit)
		}
		if l.phase == lotOpen {
			s.limits += l.limit
			s.openBilled += l.billed
		}
		s.pendingBilled += l.billed - l.durableBilled
	}
	for id, b := range h.budgets {
		s := perBudget[id]
		if b.free() < 0 || b.unreconciled < 0 || b.awaitingFlush < 0 || b.lost < 0 || b.closedBilled < 0 {
			return invariantErrorf("holder", id, "free %d, unreconciled %d, lost %d, billed in lots that are not open %d",
				b.free(), b.unreconciled, b.lost, b.closedBilled)
		}
		if s.limits != b.openLimits || b.closedBilled+s.openBilled != b.spent+s.pendingBilled {
			return invariantErrorf("holder", id, "open lots have limits of %d, recorded %d; billed %d in other lots and %d in open lots, but spent %d and pending %d",
				s.limits, b.openLimits, b.closedBilled, s.openBilled, b.spent, s.pendingBilled)
		}
	}
	return h.counters.err()
}

// err returns the violations as an error, nil if there were none.
func (c Counters) err() error {
	if c.Violations == 0 {
		return nil
	}
	return fmt.Errorf("%d invariant violations, last: %w", c.Violations, c.LastViolation)
}

// AckList holds the attempts whose bills an agent can delete, by the agent's name
// if a Holder returns the list, and by its address if a Wallet does.
type AckList map[string][]uuid.UUID

func (a AckList) add(agent string, attempt uuid.UUID) AckList {
	if a == nil {
		a = AckList{}
	}
	a[agent] = append(a[agent], attempt)
	return a
}
