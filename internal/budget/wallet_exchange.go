package budget

import (
	"slices"
	"time"
)

// sentExchange is the exchange in flight of an account.
type sentExchange struct {
	seq       uint64
	sentAt    time.Time
	reports   []sentReport
	nextMatch int // index in reports at which matchGrant continues
}

// sentReport is the part of an exchange about one lot or one request for a lot.
type sentReport struct {
	budget      *walletBudget
	lot         *walletLot // nil for a request for a lot or for key hashes
	bills       []*walletBill
	unusedCount int // number of slots in LotReport.Unused
}

// headroom returns the free amount that a lot should have, in tokens:
// HeadroomSeconds of demand, and at least minHeadroomReservations times the largest
// recent reservation. It is 0 for scarceDuration after a recall or an unmet request,
// and while the budget is idle.
func (w *Wallet) headroom(now time.Time, b *walletBudget) Tokens {
	if now.Before(b.scarceUntil) || now.Sub(b.lastUse) >= IdleTimeout {
		return 0
	}
	size := scale(1, b.demand.perSecond(now)*w.policy.HeadroomSeconds())
	if now.Sub(b.maxReservationAt) <= maxReservationTTL {
		size = max(size, minHeadroomReservations*b.maxReservation)
	}
	return size
}

// isDrained reports whether a lot has no reservations and nothing to report, and no
// agent has a copy of its bills.
func (l *walletLot) isDrained() bool {
	return len(l.reservations)+len(l.bills)+len(l.unused)+l.unackedCount == 0
}

// closable reports whether the budget's lot can be closed because it is idle.
func (b *walletBudget) closable(now time.Time) bool {
	return b.waiting == 0 && b.lot.isDrained() && now.Sub(b.lot.lastUse) >= IdleTimeout
}

// DueAt returns when the next exchange for an account is due. It returns false if
// there is nothing to report or request, or if an exchange is in flight.
func (w *Wallet) DueAt(now time.Time, account Account) (time.Time, bool) {
	a := w.accounts[account]
	if a == nil || a.inFlight != nil {
		return time.Time{}, false
	}
	var due time.Time
	propose := func(t time.Time) {
		if due.IsZero() || t.Before(due) {
			due = t
		}
	}
	if a.urgent {
		propose(now)
	}
	for _, b := range a.budgets {
		w.budgetDue(now, a, b, propose)
	}
	if due.IsZero() {
		return due, false
	}
	if due.Before(a.retryAt) {
		due = a.retryAt
	}
	return due, true
}

// budgetDue proposes the times when an exchange is due for a budget.
func (w *Wallet) budgetDue(now time.Time, a *walletAccount, b *walletBudget, propose func(time.Time)) {
	if b.needKeyHashes {
		propose(now)
	}
	for _, l := range b.abandoned {
		w.lotDue(a, l, propose)
		if l.isDrained() {
			propose(a.lastSent.Add(exchangeRetryDelay))
		}
	}
	l := b.lot
	if l == nil {
		if b.waiting > 0 {
			propose(now)
		}
		return
	}
	w.lotDue(a, l, propose)
	headroom := w.headroom(now, b)
	switch {
	case b.waiting > l.free() || b.recalled:
		propose(now)
	case l.free() < headroom/2:
		propose(a.lastSent.Add(refillInterval))
	case l.free() > 2*headroom+b.waiting && l.free() > 0:
		propose(a.lastSent.Add(maxBillDelay))
	}
	if l.isDrained() {
		propose(l.lastUse.Add(IdleTimeout))
	}
}

// lotDue proposes the times when an exchange is due for a lot: to report bills, to
// ask whether bills are durable, and at least once per IdleTimeout.
func (w *Wallet) lotDue(a *walletAccount, l *walletLot, propose func(time.Time)) {
	if !l.unreportedSince.IsZero() {
		propose(l.unreportedSince.Add(maxBillDelay))
	}
	if len(l.bills) > 0 {
		propose(a.lastSent.Add(min(pendingInterval, w.policy.FlushInterval())))
	}
	propose(a.lastSent.Add(IdleTimeout))
}

// Due returns the accounts whose exchange is due, and when the next one will be
// due, zero if none will.
func (w *Wallet) Due(now time.Time) (due []Account, next time.Time) {
	for account := range w.accounts {
		t, ok := w.DueAt(now, account)
		switch {
		case !ok:
		case !t.After(now):
			due = append(due, account)
		case next.IsZero() || t.Before(next):
			next = t
		}
	}
	return due, next
}

// BuildExchange returns the request of the next exchange with an account's holder,
// and false if one is in flight. The request lists all lots of the account, because
// the holder closes lots that no request has listed.
func (w *Wallet) BuildExchange(now time.Time, account Account) (ExchangeRequest, bool) {
	a := w.account(account)
	if a.inFlight != nil {
		return ExchangeRequest{}, false
	}
	a.seq++
	a.lastSent, a.urgent = now, false
	exchange := &sentExchange{seq: a.seq, sentAt: now}
	req := ExchangeRequest{Account: account, Router: w.self, Epoch: a.epoch, Seq: a.seq}
	for _, b := range a.budgets {
		for _, l := range b.abandoned {
			report, sent := l.report()
			l.reduceLimit(&report, l.billed+l.reserved)
			report.Close = l.isDrained()
			req.Lots = append(req.Lots, report)
			exchange.reports = append(exchange.reports, sent)
		}
		if b.lot == nil && b.waiting == 0 && !b.needKeyHashes {
			continue
		}
		report, sent := w.report(now, b)
		if b.lot != nil {
			w.adjustLimit(now, b, &report)
		}
		b.recalled = false
		req.Lots = append(req.Lots, report)
		exchange.reports = append(exchange.reports, sent)
	}
	a.inFlight = exchange
	return req, true
}

// report returns the report about a budget's lot, or the request for one.
func (w *Wallet) report(now time.Time, b *walletBudget) (LotReport, sentReport) {
	r := LotReport{Budget: b.id}
	sent := sentReport{budget: b}
	if b.lot != nil {
		r, sent = b.lot.report()
	} else if b.waiting > 0 {
		r.RequestedLimit = b.waiting + w.headroom(now, b)
	}
	r.DemandPerSecond = b.demand.perSecond(now)
	return r, sent
}

// report returns the report about the lot in its present state.
func (l *walletLot) report() (LotReport, sentReport) {
	r := LotReport{Lot: l.id, Budget: l.budget.id, RequestedLimit: l.limit, Reserved: l.reserved,
		Limit: l.limit, Billed: l.durableBilled, Unused: slices.Clone(l.unused)}
	sent := sentReport{budget: l.budget, lot: l, unusedCount: len(l.unused)}
	for slot, bill := range l.bills {
		if bill.epoch != 0 && bill.epoch == l.budget.account.epoch {
			r.Pending = append(r.Pending, slot)
			continue
		}
		r.Bills = append(r.Bills, bill.bill)
		sent.bills = append(sent.bills, bill)
	}
	return r, sent
}

// adjustLimit sets the limit to request or to keep in the report about a budget's
// lot. A lower limit holds for the wallet at once, because the holder may grant
// the remainder to others.
func (w *Wallet) adjustLimit(now time.Time, b *walletBudget, r *LotReport) {
	l := b.lot
	need := l.billed + l.reserved + b.waiting
	headroom := w.headroom(now, b)
	reduced := l.limit
	switch {
	case b.closable(now):
		r.Close = true
		reduced = l.billed
	case b.waiting > l.free() || l.free() < headroom/2:
		r.RequestedLimit = need + headroom
	case b.recalled || l.free() > 2*headroom+b.waiting:
		reduced = need + headroom
	}
	l.reduceLimit(r, reduced)
}

// reduceLimit releases what is above limit, if that is lower than the present one.
func (l *walletLot) reduceLimit(r *LotReport, limit Tokens) {
	if limit < l.limit {
		r.Release, r.ReducedLimit, r.RequestedLimit, r.Limit = true, limit, limit, limit
		l.limit = limit
	}
}

// ReplyResult is the result of applying the reply to an exchange.
type ReplyResult struct {
	// Applied is false if there was no reply, or if it was late or came from a
	// replaced holder.
	Applied bool
	// NotHolder means that the caller must look the holder up again.
	NotHolder bool
	// Fenced means that all lots of the account were dropped.
	Fenced bool
	// Durable holds the bills that are durable now, by agent address. The caller
	// calls the agents' RPC AckBills and then MarkAgentAcked.
	Durable AckList
	// Budgets holds the budgets of the reply, or of an exchange that failed. The
	// caller retries or refuses the requests that wait for them.
	Budgets []ID
}

// ApplyReply applies the reply to the exchange with the given sequence number. err
// is the error of a call without a reply, whose effect on the holder is unknown.
func (w *Wallet) ApplyReply(now time.Time, account Account, seq uint64, reply *ExchangeReply, err error) ReplyResult {
	a := w.accounts[account]
	if a == nil || a.inFlight == nil || a.inFlight.seq != seq {
		w.counters.IgnoredReplies++
		return ReplyResult{}
	}
	exchange := a.inFlight
	a.inFlight = nil
	switch {
	case err != nil || reply == nil:
		a.retryAt = now.Add(exchangeRetryDelay)
		return ReplyResult{Budgets: exchange.markUnreachable()}
	case reply.Seq != seq || reply.Epoch < a.epoch:
		w.counters.IgnoredReplies++
		a.retryAt = now.Add(exchangeRetryDelay)
		return ReplyResult{NotHolder: true, Budgets: exchange.markUnreachable()}
	case reply.NotHolder:
		w.raiseEpoch(a, reply.Epoch)
		a.retryAt = now.Add(exchangeRetryDelay)
		return ReplyResult{Applied: true, NotHolder: true, Budgets: exchange.markUnreachable()}
	}
	w.raiseEpoch(a, reply.Epoch)
	if reply.Fenced {
		w.dropAccountLots(a)
		a.retryAt = now.Add(exchangeRetryDelay)
		return ReplyResult{Applied: true, Fenced: true, Budgets: exchange.markUnreachable()}
	}
	result := ReplyResult{Applied: true}
	for i := range reply.Lots {
		w.applyGrant(now, a, exchange, &reply.Lots[i], &result)
	}
	return result
}

// markUnreachable sets ShortfallUnreachable for the budgets of a failed exchange
// and returns them.
func (e *sentExchange) markUnreachable() []ID {
	ids := make([]ID, 0, len(e.reports))
	for _, s := range e.reports {
		s.budget.shortfallReason = ShortfallUnreachable
		ids = append(ids, s.budget.id)
	}
	return ids
}

// applyGrant applies the reply about one lot.
func (w *Wallet) applyGrant(now time.Time, a *walletAccount, exchange *sentExchange, g *LotGrant, result *ReplyResult) {
	sent := exchange.matchGrant(g)
	if sent == nil {
		return
	}
	b := sent.budget
	result.Budgets = append(result.Budgets, b.id)
	w.recordGrant(now, a, b, g)
	l := sent.lot
	switch {
	case l == nil && g.Lot.IsZero():
		return
	case l == nil && b.lot == nil && !g.Closed:
		l = w.addLot(now, b, g.Lot)
	case l == nil || w.lots[l.id] != l:
		return
	case g.Closed:
		w.dropLot(l)
		return
	}
	if g.Limit < l.billed+l.reserved {
		w.recordViolation(invariantErrorf("wallet", b.id, "granted limit %d is below the %d tokens billed and reserved", g.Limit, l.billed+l.reserved))
	}
	l.limit = g.Limit
	l.confirmedAsOf, l.epoch = exchange.sentAt, a.epoch
	l.markReported(a.epoch, sent, exchange.sentAt)
	for _, slot := range g.Durable {
		w.markDurable(l, slot, result)
	}
}

// matchGrant returns the report that a grant replies to, nil if there is none.
// Grants come in the order of the reports, some of which have no grant.
func (e *sentExchange) matchGrant(g *LotGrant) *sentReport {
	for range e.reports {
		if e.nextMatch >= len(e.reports) {
			e.nextMatch = 0
		}
		s := &e.reports[e.nextMatch]
		e.nextMatch++
		if s.budget.id == g.Budget && (s.lot == nil || s.lot.id == g.Lot) {
			return s
		}
	}
	return nil
}

// recordGrant updates the state of a budget from the reply about its lot.
func (w *Wallet) recordGrant(now time.Time, a *walletAccount, b *walletBudget, g *LotGrant) {
	b.shortfallReason = g.Shortfall
	if g.Shortfall != ShortfallNone || g.Recall {
		b.scarceUntil = now.Add(scarceDuration)
	}
	if g.Shortfall != ShortfallNone {
		a.retryAt = now.Add(shortfallRetryDelay)
	}
	b.recalled = g.Recall && b.lot != nil && b.lot.free() > b.waiting
	if !g.Closed {
		b.needKeyHashes = false
		b.keyHashes, b.keyHashesAt = g.KeyHashes, now
	}
}

func (w *Wallet) addLot(now time.Time, b *walletBudget, id LotID) *walletLot {
	l := &walletLot{id: id, budget: b, lastUse: now, reservations: map[Slot]Tokens{},
		bills: map[Slot]*walletBill{}}
	b.lot = l
	w.lots[id] = l
	return l
}

// markReported records that the holder of an epoch has what an exchange reported.
func (l *walletLot) markReported(epoch uint64, sent *sentReport, sentAt time.Time) {
	for _, bill := range sent.bills {
		bill.epoch = epoch
	}
	l.unused = l.unused[min(sent.unusedCount, len(l.unused)):]
	l.unreportedSince = time.Time{}
	if len(l.unused) > 0 {
		l.unreportedSince = sentAt
	}
	for _, bill := range l.bills {
		if bill.epoch != epoch {
			l.unreportedSince = sentAt
		}
	}
}

// markDurable deletes a bill that is durable and adds it to result if its agent
// must be told.
func (w *Wallet) markDurable(l *walletLot, slot Slot, result *ReplyResult) {
	bill := l.bills[slot]
	if bill == nil {
		return
	}
	delete(l.bills, slot)
	l.durableBilled += bill.charge
	if bill.agent == "" {
		return
	}
	l.unackedCount++
	w.unacked[bill.bill.Attempt] = unackedBill{bill.agent, l}
	result.Durable = result.Durable.add(bill.agent, bill.bill.Attempt)
}

// raiseEpoch raises an account's epoch to epoch if that is higher. Replies with a
// lower epoch are ignored from then on, so former holders cannot change the limits
// that the wallet has.
func (w *Wallet) raiseEpoch(a *walletAccount, epoch uint64) {
	if epoch > a.epoch {
		a.epoch = epoch
		for _, b := range a.budgets {
			a.urgent = a.urgent || b.lot != nil || len(b.abandoned) > 0 || b.waiting > 0
		}
	}
}

// ObserveEpoch raises an account's epoch to one that was read from the holder
// record.
func (w *Wallet) ObserveEpoch(account Account, epoch uint64) {
	w.raiseEpoch(w.account(account), epoch)
}

// ReportLots raises an account's epoch to that of a holder that took the account
// over, and returns the reports about all lots of the account. If the wallet knows a
// higher epoch, it returns false and that epoch.
func (w *Wallet) ReportLots(now time.Time, account Account, epoch uint64) ([]LotReport, uint64, bool) {
	a := w.account(account)
	if epoch < a.epoch {
		return nil, a.epoch, false
	}
	w.raiseEpoch(a, epoch)
	var out []LotReport
	for _, b := range a.budgets {
		for _, l := range b.abandoned {
			r, _ := l.report()
			out = append(out, r)
		}
		if b.lot != nil {
			r, _ := w.report(now, b)
			out = append(out, r)
		}
	}
	return out, epoch, true
}

// dropAccountLots deletes all lots of an account.
func (w *Wallet) dropAccountLots(a *walletAccount) {
	for _, b := range a.budgets {
		for _, l := range append(slices.Clone(b.abandoned), b.lot) {
			if l != nil {
				w.dropLot(l)
			}
		}
	}
}

func (w *Wallet) recordViolation(err error) {
	w.counters.Violations++
	w.counters.LastViolation = err
}
