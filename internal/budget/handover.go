package budget

import "fmt"

// HandOver returns the lot table of a holder that has learned of its successor
// and has stopped for good. It spares the successor the reconciliation (see
// ApplyHandOver). It fails with ErrBusy if the successor could not settle from
// the table alone: the holder was reconciling or fencing itself, or has losses or
// bills of settled lots that are not durable.
func (h *Holder) HandOver() (*AccountRecord, error) {
	if !h.deposed {
		return nil, fmt.Errorf("%w: the holder has not stopped", ErrBusy)
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
	h.planRecord(h.preparedAt, p)
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

// allLotsOpen reports whether no settled lot waits for its bills to become durable.
func (h *Holder) allLotsOpen() bool {
	for _, l := range h.lots {
		if l.phase != lotOpen {
			return false
		}
	}
	return true
}

// ApplyHandOver takes over the lot table of the predecessor and ends the
// reconciliation. Lots that their routers have reported keep what the routers
// said. The predecessor grants nothing any more, so escrow that is in no lot
// becomes free with the next flush. It returns false if the table is not that of
// the epoch before, or nothing is left to reconcile.
func (h *Holder) ApplyHandOver(table *AccountRecord) bool {
	if h.reconcile == nil || h.deposed || h.sealed || table.Account != h.account ||
		table.Epoch+1 != h.epoch || table.SealedEpoch != table.Epoch {
		return false
	}
	for i := range table.Lots {
		lot := &table.Lots[i]
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

// freeUnreconciled frees what is left of former epochs, after the next flush.
func (h *Holder) freeUnreconciled() {
	for _, b := range h.budgets {
		b.awaitingFlush += b.unreconciled
		b.unreconciled = 0
	}
}
