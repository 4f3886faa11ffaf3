package wallet

import (
	"context"
	"errors"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/telemetry"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
)

// Reserve reserves amount tokens of a budget. While the lot has too little left, it
// waits for a grant, for at most the policy's grant timeout. It stops waiting when the
// holder has replied that the budget is exhausted or does not exist. It fails with a
// *verdict.Error with verdict NotRun, or with the error of ctx.
func (w *Wallet) Reserve(ctx context.Context, id budget.ID, amount budget.Tokens) (budget.Reservation, error) {
	start := time.Now()
	w.mu.Lock()
	reservation, _, ok := w.core.Reserve(start, id, amount)
	if ok {
		w.mu.Unlock()
		return reservation, nil
	}
	w.addWaiting(start, id, amount)
	timeout := w.policy.GrantTimeout()
	w.mu.Unlock()
	defer w.stats.grantWait.UpdateSince(start)
	waitCtx, span := telemetry.StartSpan(ctx, "wallet.wait_for_grant",
		attribute.String("monsoon.budget", string(id)), attribute.Int64("monsoon.tokens", int64(amount)))
	reservation, err := w.waitForGrant(waitCtx, id, amount, start.Add(timeout))
	telemetry.EndSpan(span, spanCode(err))
	w.mu.Lock()
	w.addWaiting(time.Now(), id, -amount)
	w.mu.Unlock()
	if err != nil {
		w.stats.refusals.Inc(1)
	}
	return reservation, err
}

// addWaiting adds amount to the sum of the amounts that callers of the budget wait
// for; a negative amount ends a wait. The caller holds the lock.
func (w *Wallet) addWaiting(now time.Time, id budget.ID, amount budget.Tokens) {
	w.waitingTokens[id] += amount
	w.core.SetWaiting(now, id, w.waitingTokens[id])
	if w.waitingTokens[id] == 0 {
		delete(w.waitingTokens, id)
	}
}

// spanCode returns the code of an error for a trace span, empty for nil.
func spanCode(err error) string {
	if err == nil {
		return ""
	}
	return string(verdict.CodeOf(err))
}

func (w *Wallet) waitForGrant(ctx context.Context, id budget.ID, amount budget.Tokens, deadline time.Time) (budget.Reservation, error) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	for {
		w.mu.Lock()
		reservation, _, ok := w.core.Reserve(time.Now(), id, amount)
		reason, changed := w.core.ShortfallReason(id), w.changed
		w.mu.Unlock()
		switch {
		case ok:
			return reservation, nil
		case reason == budget.ShortfallExhausted || reason == budget.ShortfallNoBudget:
			return reservation, refusal(reason, id, amount)
		}
		w.wakeUp()
		select {
		case <-changed:
		case <-timer.C:
			return reservation, refusal(reason, id, amount)
		case <-ctx.Done():
			return reservation, ctx.Err()
		}
	}
}

// refusal returns the error of a reservation that was not granted. Its detail is sent to
// the caller.
func refusal(reason budget.ShortfallReason, id budget.ID, amount budget.Tokens) error {
	switch reason {
	case budget.ShortfallExhausted:
		return verdict.New(verdict.NotRun, verdict.CodeBudgetExhausted,
			"budget %q has less than the %d tokens left that this request may use", id, amount)
	case budget.ShortfallReserved:
		return verdict.New(verdict.NotRun, verdict.CodeBudgetExhausted,
			"requests in progress have reserved what budget %q has left", id).WithRetryAfter(time.Second)
	case budget.ShortfallNoBudget:
		return verdict.New(verdict.NotRun, verdict.CodeNotFound, "budget %q does not exist", id)
	default:
		return verdict.New(verdict.NotRun, verdict.CodeBudgetUnreachable,
			"the balance of budget %q cannot be reached at the moment", id).WithRetryAfter(retryAfterUnreachable)
	}
}

// ConfirmLot waits until the reservation's lot may be used on an agent session that
// was established at the given time: a holder must have confirmed the lot in an
// exchange that began later. It returns the account epoch to send with the request.
// It fails with a *verdict.Error with verdict NotRun, or with the error of ctx.
func (w *Wallet) ConfirmLot(ctx context.Context, reservation budget.Reservation, established time.Time) (uint64, error) {
	timer := time.NewTimer(confirmTimeout)
	defer timer.Stop()
	for {
		w.mu.Lock()
		confirmed, err := w.core.ConfirmedSince(reservation, established)
		epoch := w.core.LotEpoch(reservation)
		if !confirmed && err == nil {
			w.core.RequestExchange(reservation.Lot.Account)
		}
		changed := w.changed
		w.mu.Unlock()
		switch {
		case errors.Is(err, budget.ErrLotDropped):
			return 0, refuseUnconfirmed(reservation).WithCause(err)
		case err != nil:
			return 0, err
		case confirmed:
			return epoch, nil
		}
		w.wakeUp()
		select {
		case <-changed:
		case <-timer.C:
			return 0, refuseUnconfirmed(reservation)
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
}

// refuseUnconfirmed returns the refusal of a request whose lot was not confirmed.
func refuseUnconfirmed(reservation budget.Reservation) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeBudgetUnreachable,
		"the reservation in budget %q could not be confirmed", reservation.Budget).WithRetryAfter(time.Second)
}

// Settle replaces a reservation with its bill. agentAddress is the address of the
// agent that has a copy of the bill or may still make one, empty if there is none.
// A failure is only logged.
func (w *Wallet) Settle(reservation budget.Reservation, bill budget.Bill, agentAddress string) {
	w.mu.Lock()
	err := w.core.Settle(time.Now(), reservation, bill, agentAddress)
	w.mu.Unlock()
	w.stats.settled.Inc(1)
	w.logEndError("settle", reservation, err)
}

// Release cancels a reservation. It must be called only if the attempt certainly did
// not run and never will. A failure is only logged.
func (w *Wallet) Release(reservation budget.Reservation) {
	w.mu.Lock()
	err := w.core.Release(time.Now(), reservation)
	w.mu.Unlock()
	w.stats.released.Inc(1)
	w.logEndError("release", reservation, err)
}

// logEndError logs an error of Settle or Release, unless the lot was dropped: then the
// reservation ended with the lot.
func (w *Wallet) logEndError(operation string, reservation budget.Reservation, err error) {
	if err != nil && !errors.Is(err, budget.ErrLotDropped) {
		w.log.Error("reservation not settled or released", "operation", operation, "budget", reservation.Budget, "slot", reservation.Slot, "error", err)
	}
}
