package budget

import (
	"math"
	"slices"
	"time"
)

// MaxBillsPerFlush is the largest number of bills in a bill block. At about 250
// bytes per bill the block stays well below the store's largest value.
const MaxBillsPerFlush = 2000

// FlushOutcome is the outcome of a flush as known from the store's response.
type FlushOutcome uint8

const (
	// FlushCommitted means that the transaction took effect.
	FlushCommitted FlushOutcome = iota
	// FlushConflict means that the transaction certainly did not and will not take
	// effect, because a comparison failed.
	FlushConflict
	// FlushFailed means that the transaction certainly did not and will not take
	// effect, because the store was not reached or refused it.
	FlushFailed
	// FlushUnknown means that the transaction may have taken effect or still may.
	FlushUnknown
)

// FlushPlan is one store transaction of a holder. The caller writes Account,
// Treasury unless it is nil, and Bills unless it is empty. The transaction must
// fail if the account, or the treasury if Treasury is set, has changed since it
// was read.
type FlushPlan struct {
	Seq      uint64 // FlushSeq of Account
	Account  *AccountRecord
	Treasury *Treasury
	Bills    BillBlock

	transfers  map[ID]transfer
	billRefs   []billRef     // of the bills in Bills
	closedLots []LotPosition // lots that Account no longer lists
	lossCounts map[ID]int    // numbers of losses in Bills
	freed      map[ID]Tokens // amounts of settlements that the plan makes grantable
}

// transfer is what a plan moves between the treasury and the region's escrow of
// one budget.
type transfer struct {
	drawn, returned Tokens
	closeRegion     bool   // the region's entry is removed from the treasury
	spent, lost     Tokens // totals of the region, if closeRegion is set
}

// billRef identifies a pending bill that a plan makes durable.
type billRef struct {
	position LotPosition
	slot     Slot
}

// FlushDue reports whether a flush is due. While the account has budgets or lots,
// flushes are due periodically. Urgent flushes are due, at most once a second on
// average, for a budget that the observed treasury lacks, an unmet request, a
// return that another region requested, freed amounts, or a full bill block. The
// caller then reads the treasury and calls ObserveTreasury and PrepareFlush.
func (h *Holder) FlushDue(now time.Time) bool {
	since := now.Sub(h.lastPreparedAt)
	if h.deposed || h.sealed || since < h.minFlushGap(now) {
		return false
	}
	if h.needTreasury || since >= h.policy.FlushInterval() && (len(h.budgets) > 0 || len(h.lots) > 0) {
		return true
	}
	pending := 0
	for _, b := range h.budgets {
		pending += b.pendingBills
		if b.needsFlush(now) {
			return true
		}
	}
	return pending >= MaxBillsPerFlush
}

// minFlushGap returns the shortest allowed time between the last flush and the
// next.
func (h *Holder) minFlushGap(now time.Time) time.Duration {
	if h.flushCreditAt(now) >= 1 {
		return urgentFlushGap
	}
	return UrgentFlushInterval
}

// flushCreditAt returns the account's flush credit at now, in flushes. It grows by
// one per UrgentFlushInterval, up to urgentFlushBurst.
func (h *Holder) flushCreditAt(now time.Time) float64 {
	earned := now.Sub(h.lastPreparedAt).Seconds() / UrgentFlushInterval.Seconds()
	return min(urgentFlushBurst, h.flushCredit+max(0, earned))
}

// needsFlush reports whether the budget has a reason for an urgent flush.
func (b *budgetState) needsFlush(now time.Time) bool {
	return !now.Before(b.retryAt) && b.recentUnmet(now) > 0 || b.returnable(now) > 0 || b.awaitingFlush > 0
}

// PrepareFlush plans a transaction from t, the treasury as just read, which it
// does not change. If t is nil, the plan has neither draws nor returns. The plan is
// nil if nothing needs to be written yet. It fails with ErrDeposed; with
// ErrUnresolved until ResolveFlush has found the outcome of an earlier flush; with
// ErrDrawnMismatch if the treasury does not match the holder's state, as after an
// earlier flush with an unknown outcome that took effect; and with an
// *InvariantError if the planned record would be inconsistent.
func (h *Holder) PrepareFlush(now time.Time, t *Treasury) (*FlushPlan, error) {
	if h.deposed {
		return nil, ErrDeposed
	}
	if h.unresolved {
		return nil, ErrUnresolved
	}
	if err := h.Check(); err != nil && h.counters.Violations == 0 {
		h.recordViolation(err)
	}
	p := &FlushPlan{Seq: h.nextSeq, transfers: map[ID]transfer{}, lossCounts: map[ID]int{}, freed: map[ID]Tokens{}}
	if t != nil {
		if err := h.planTransfers(now, t, p); err != nil {
			return nil, err
		}
	}
	h.flushCredit = max(0, h.flushCreditAt(now)-1)
	h.lastPreparedAt = now
	h.planBills(p)
	if p.Treasury == nil && p.Bills.Empty() && len(p.freed) == 0 && !h.sealed && now.Sub(h.lastCommittedAt) < h.policy.FlushInterval() {
		return nil, nil
	}
	h.planRecord(now, p)
	if err := p.Account.Check(); err != nil {
		h.recordViolation(err)
		return nil, err
	}
	h.nextSeq++
	h.inDoubt = append(h.inDoubt, p)
	h.updatePendingReturns()
	return p, nil
}

// planBills selects the bills and losses that the plan makes durable, and the
// amounts that it frees.
func (h *Holder) planBills(p *FlushPlan) {
	p.Bills = BillBlock{Account: h.account, Epoch: h.epoch, Seq: p.Seq}
	for position, l := range h.lots {
		if len(p.billRefs)+len(l.pending) > MaxBillsPerFlush && len(p.billRefs) > 0 {
			continue
		}
		for slot, pending := range l.pending {
			if len(p.billRefs) >= MaxBillsPerFlush {
				break
			}
			p.billRefs = append(p.billRefs, billRef{position, slot})
			p.Bills.Bills = append(p.Bills.Bills, pending.bill)
		}
	}
	for id, b := range h.budgets {
		if len(b.losses) > 0 {
			p.Bills.Losses = append(p.Bills.Losses, b.losses...)
			p.lossCounts[id] = len(b.losses)
		}
		if b.awaitingFlush > 0 {
			p.freed[id] = b.awaitingFlush
		}
	}
}

// planRecord builds the plan's account record.
func (h *Holder) planRecord(now time.Time, p *FlushPlan) {
	rec := &AccountRecord{
		Account: h.account, Epoch: h.epoch, FlushSeq: p.Seq, Holder: h.self,
		Budgets: make(map[ID]*AccountBudget, len(h.budgets)),
		Lots:    make([]AccountLot, 0, len(h.lots)),
		Next:    append(slices.Clone(h.unreconciledFrom), LotPosition{Epoch: h.epoch, Num: h.nextLot}),

		FlushedUnixMilli: now.UnixMilli(),
	}
	if h.sealed {
		rec.SealedEpoch = h.epoch
	}
	for id, b := range h.budgets {
		tr := p.transfers[id]
		if tr.closeRegion || b.drawn+tr.drawn == 0 && b.lotCount == 0 {
			continue
		}
		rec.Budgets[id] = &AccountBudget{Drawn: b.drawn + tr.drawn - tr.returned, Spent: b.spent, Lost: b.lost}
	}
	planned := make(map[LotPosition][]Slot, len(p.billRefs))
	for _, ref := range p.billRefs {
		planned[ref.position] = append(planned[ref.position], ref.slot)
	}
	for position, l := range h.lots {
		rec.Lots = h.planLot(p, rec, l, planned[position])
	}
	slices.SortFunc(rec.Lots, func(a, b AccountLot) int {
		if a.Position.Before(b.Position) {
			return -1
		}
		return 1
	})
	p.Account = rec
}

// planLot returns rec.Lots with the lot, whose bills in slots become durable. A
// closed lot without further pending bills is left out and added to p.closedLots,
// unless it must stay listed.
func (h *Holder) planLot(p *FlushPlan, rec *AccountRecord, l *lotState, slots []Slot) []AccountLot {
	lot := AccountLot{Position: l.id.Position(), Router: l.router, Budget: l.budget.id, Limit: l.limit,
		Billed: l.durableBilled, Settled: l.durableSlots.Clone(), Closed: l.phase == lotClosed || l.closedByPredecessor}
	for _, slot := range slots {
		amount := l.pending[slot].bill.Amount
		lot.Billed += amount
		lot.Settled.Add(slot)
		rec.Budgets[l.budget.id].Spent += amount
	}
	if l.phase == lotClosed && len(slots) == len(l.pending) && !h.mustStayListed(l) {
		p.closedLots = append(p.closedLots, lot.Position)
		return rec.Lots
	}
	return append(rec.Lots, lot)
}

// updatePendingReturns blocks what flushes with an unknown outcome may have
// returned: the largest of their returns, because at most one takes effect.
func (h *Holder) updatePendingReturns() {
	for _, b := range h.budgets {
		b.pendingReturns = 0
	}
	for _, p := range h.inDoubt {
		for id, tr := range p.transfers {
			if b := h.budgets[id]; b != nil {
				b.pendingReturns = max(b.pendingReturns, tr.returned)
			}
		}
	}
}

// FlushDone tells the holder the outcome of a plan. It returns the bills that are
// durable now and that the holder has collected itself; the caller acknowledges
// them to the agents. After FlushConflict and FlushUnknown the caller reads the
// account back and calls ResolveFlush.
func (h *Holder) FlushDone(now time.Time, p *FlushPlan, outcome FlushOutcome) AckList {
	switch outcome {
	case FlushCommitted:
		return h.commit(now, p)
	case FlushUnknown:
		h.flushFailing, h.unresolved = true, true
		return nil
	case FlushConflict:
		h.unresolved = true
		// The next urgent flush is possible at now + conflictRetryDelay at the latest.
		h.lastPreparedAt = now.Add(conflictRetryDelay - UrgentFlushInterval)
	case FlushFailed:
		h.flushFailing = true
	}
	h.inDoubt = slices.DeleteFunc(h.inDoubt, func(c *FlushPlan) bool { return c == p })
	h.updatePendingReturns()
	return nil
}

// ResolveFlush gives the holder the account record as read back, from which it
// finds out which flush took effect. A flush that has not taken effect may still
// do so until a later one does, so what it returns to the treasury stays
// blocked. It returns acknowledgements as FlushDone does. It fails with ErrDeposed
// after a takeover, and with an *InvariantError if the record is of no known
// flush.
func (h *Holder) ResolveFlush(now time.Time, record *AccountRecord) (AckList, error) {
	h.ObserveEpoch(record.Epoch)
	if h.deposed {
		return nil, ErrDeposed
	}
	if record.FlushSeq == h.committedSeq {
		h.unresolved = false
		return nil, nil
	}
	for _, p := range h.inDoubt {
		if p.Seq == record.FlushSeq {
			return h.commit(now, p), nil
		}
	}
	err := invariantErrorf("account", "", "record has flush sequence number %d, expected %d", record.FlushSeq, h.committedSeq)
	h.recordViolation(err)
	return nil, err
}

// commit applies a plan that took effect and returns the bills to acknowledge.
func (h *Holder) commit(now time.Time, p *FlushPlan) AckList {
	h.committedSeq, h.lastCommittedAt = p.Seq, now
	h.inDoubt, h.unresolved, h.flushFailing = nil, false, false
	var acks AckList
	for _, ref := range p.billRefs {
		l := h.lots[ref.position]
		pending := l.pending[ref.slot]
		delete(l.pending, ref.slot)
		l.durableSlots.Add(ref.slot)
		l.durableBilled += pending.bill.Amount
		l.budget.spent += pending.bill.Amount
		l.budget.pendingBills--
		if pending.agent != "" {
			acks = acks.add(pending.agent, pending.bill.Attempt)
		}
	}
	for _, position := range p.closedLots {
		h.dropLot(h.lots[position])
	}
	for id, n := range p.lossCounts {
		h.budgets[id].losses = slices.Delete(h.budgets[id].losses, 0, n)
	}
	for id, amount := range p.freed {
		h.budgets[id].awaitingFlush -= amount
	}
	for id, tr := range p.transfers {
		h.commitTransfer(h.budgets[id], tr)
	}
	h.dropEmptyBudgets(now)
	h.updatePendingReturns()
	return acks
}

// commitTransfer applies a committed transfer to the state of its budget.
func (h *Holder) commitTransfer(b *budgetState, tr transfer) {
	b.drawn += tr.drawn - tr.returned
	b.requestedReturn = max(0, b.requestedReturn-tr.returned)
	b.inTreasury = !tr.closeRegion
	if tr.drawn > 0 {
		b.emptyDrawAt = time.Time{}
	}
	if tr.closeRegion {
		b.drawn -= tr.spent + tr.lost
		b.spent -= tr.spent
		b.closedBilled -= tr.spent
		b.lost -= tr.lost
	}
}

// dropEmptyBudgets deletes the budgets that have no escrow, lots, treasury entry or
// recent unmet request, once their retryAt has passed.
func (h *Holder) dropEmptyBudgets(now time.Time) {
	for id, b := range h.budgets {
		if b.drawn == 0 && b.lotCount == 0 && b.pendingBills == 0 && !b.inTreasury && b.recentUnmet(now) == 0 && !now.Before(b.retryAt) {
			delete(h.budgets, id)
		}
	}
}

// Seal prepares the holder for a planned stop: it replies NotHolder to every
// exchange from now on. After one more flush its record is exact, and the
// successor has nothing to reconcile. It fails with ErrBusy while a fence or a
// reconciliation is in progress, the outcome of a flush is unknown, or a closed
// lot has bills that are not durable. The caller can flush and retry; the
// successor of a holder that is not sealed reconciles as after a failure.
func (h *Holder) Seal() error {
	if h.settling() || h.unresolved || len(h.inDoubt) > 0 || !h.allLotsOpen() {
		return ErrBusy
	}
	h.sealed = true
	return nil
}

// Sealed reports whether Seal has succeeded.
func (h *Holder) Sealed() bool { return h.sealed }

// Demand returns the region's demand for a budget in tokens/s.
func (h *Holder) Demand(id ID) float64 {
	if b := h.budgets[id]; b != nil && !math.IsNaN(b.demand) {
		return b.demand
	}
	return 0
}

// PendingBills returns the number of accepted bills that are not durable.
func (h *Holder) PendingBills() int {
	n := 0
	for _, b := range h.budgets {
		n += b.pendingBills
	}
	return n
}
