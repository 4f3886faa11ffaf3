package dispatch

import (
	"log/slog"
	"time"

	"github.com/google/uuid"

	"github.com/monsoonworks/monsoonworks/internal/budget"
)

// reservation is a budget.Reservation that must be closed exactly once, by settle
// or release. It is used by one goroutine.
type reservation struct {
	d       *Dispatcher
	details budget.Reservation
	closed  bool
}

func (d *Dispatcher) openReservation(details budget.Reservation) *reservation {
	d.counters.reservationsOpened.Inc(1)
	return &reservation{d: d, details: details}
}

// markClosed marks the reservation as closed and reports whether it was open.
func (r *reservation) markClosed() bool {
	if r.closed {
		r.d.counters.reservationsClosedAgain.Inc(1)
		return false
	}
	r.closed = true
	r.d.counters.reservationsClosed.Inc(1)
	return true
}

func (r *reservation) release() {
	if r.markClosed() {
		r.d.Wallet.Release(r.details)
	}
}

func (r *reservation) settle(bill budget.Bill, address string) {
	if r.markClosed() {
		r.d.Wallet.Settle(r.details, bill, address)
	}
}

// ensureClosed settles a reservation that a bug in the attempt left open, with
// an estimated bill of 0 tokens.
func (r *reservation) ensureClosed(call *Call, attempt uuid.UUID, server, address string) {
	if r.closed {
		return
	}
	r.d.counters.reservationsLeaked.Inc(1)
	slog.Error("reservation left open by its attempt, settled with an estimated bill", "request", call.Request, "attempt", attempt)
	bill := newBill(call, r.details, attempt, server)
	bill.Estimated = true
	r.settle(bill, address)
}

// newBill returns a bill of 0 tokens.
func newBill(call *Call, details budget.Reservation, attempt uuid.UUID, server string) budget.Bill {
	return budget.Bill{
		Lot: details.Lot, Slot: details.Slot, Budget: details.Budget,
		Request: call.Request, Attempt: attempt,
		Target: call.Target, Server: server, UnixMilli: time.Now().UnixMilli(),
	}
}
