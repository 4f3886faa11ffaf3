package budget

import "fmt"

// HandOver returns the lot table of a deposed holder, as a sealed record. With it
// the successor needs no reconciliation (see ApplyHandOver). It fails with ErrBusy
// if the holder is not deposed, or if the table alone does not settle all lots: a
// reconciliation or a fence is in progress, or the holder has losses or bills of
// closed lots that are not durable.
func (h *Holder) HandOver() (*AccountRecord, error) {
	if !h.deposed {
		return nil, fmt.Errorf("%w: the holder is not deposed", ErrBusy)
	}
	if h.settling() || !h.allLotsOpen() {
		return nil, ErrBusy
	}
	for _, b := range h.budgets {
		if len(b.losses) > 0 {
			return nil, ErrBusy
		}
	}
	p := &FlushPlan{}
	h.planRecord(h.lastPreparedAt, p)
	p.Account.SealedEpoch = h.epoch
	return p.Account, nil
}

// settling reports whether a reconciliation or a fence is in progress.
func (h *Holder) settling() bool {
	for _, rs := range h.routers {
		if rs.fence != nil {
			return true
		}
	}
	return h.reconcile != nil
}

// allLotsOpen reports whether no lot is orphaned or closed.
func (h *Holder) allLotsOpen() bool {
	for _, l := range h.lots {
		if l.phase != lotOpen {
			return false
		}
	}
	return true
}

// ApplyHandOver opens the lots of the predecessor's sealed record and ends the
// reconciliation. Of the record it applies only the positions, routers, budgets and
// limits of the lots. Lots that their routers have reported keep the reported
// limits. The predecessor grants nothing any more, so escrow that is in no lot
// becomes free with the next flush. It returns false if the record is not the
// sealed one of the account's previous epoch, if there is nothing to reconcile, or
// if the holder is itself deposed or sealed.
func (h *Holder) ApplyHandOver(record *AccountRecord) bool {
	if h.reconcile == nil || h.deposed || h.sealed || record.Account != h.account ||
		record.Epoch+1 != h.epoch || record.SealedEpoch != record.Epoch {
		return false
	}
	for i := range record.Lots {
		lot := &record.Lots[i]
		l := h.lots[lot.Position]
		if l == nil && h.mayBeOpen(lot.Position) {
			l = h.addLot(lot.Position, lot.Router, h.budget(lot.Budget), lotOrphaned)
		}
		if l == nil || l.phase != lotOrphaned {
			continue
		}
		h.reassignRouter(l, lot.Router)
		limit := max(lot.Limit, l.billed)
		if excess := limit - l.billed - l.budget.unreconciled; excess > 0 {
			h.recordViolation(invariantErrorf("holder", lot.Budget, "lot %s is %d tokens over the unreconciled escrow", lot.Position, excess))
			limit -= excess
		}
		h.openOrphaned(l, limit, true)
	}
	h.freeUnreconciled()
	h.endReconcile()
	return true
}

// freeUnreconciled frees the remaining unreconciled escrow with the next flush.
func (h *Holder) freeUnreconciled() {
	for _, b := range h.budgets {
		b.awaitingFlush += b.unreconciled
		b.unreconciled = 0
	}
}
