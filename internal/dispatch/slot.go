package dispatch

import (
	"log/slog"
	"time"

	"github.com/google/uuid"

	"github.com/monsoonworks/monsoonworks/internal/budget"
)

// slot is a reservation that ends exactly once, with a bill or a release. It is
// used by one goroutine.
type slot struct {
	d     *Dispatcher
	hold  budget.Reservation
	ended bool
}

func (d *Dispatcher) openSlot(hold budget.Reservation) *slot {
	d.counters.slotsOpened.Inc(1)
	return &slot{d: d, hold: hold}
}

// end reports whether the slot was still open.
func (s *slot) end() bool {
	if s.ended {
		s.d.counters.slotsRepeated.Inc(1)
		return false
	}
	s.ended = true
	s.d.counters.slotsEnded.Inc(1)
	return true
}

func (s *slot) release() {
	if s.end() {
		s.d.Wallet.Release(s.hold)
	}
}

func (s *slot) settle(bill budget.Bill, address string) {
	if s.end() {
		s.d.Wallet.Settle(s.hold, bill, address)
	}
}

// ensureEnded ends a slot that a fault left open, as one whose attempt is
// unresolved.
func (s *slot) ensureEnded(call *Call, attempt uuid.UUID, server, address string) {
	if s.ended {
		return
	}
	s.d.counters.slotsLeaked.Inc(1)
	slog.Error("reservation was left open", "request", call.Request, "attempt", attempt)
	bill := newBill(call, s.hold, attempt, server)
	bill.Estimated = true
	s.settle(bill, address)
}

// newBill returns a bill of 0 tokens.
func newBill(call *Call, hold budget.Reservation, attempt uuid.UUID, server string) budget.Bill {
	return budget.Bill{
		Lot: hold.Lot, Slot: hold.Slot, Budget: hold.Budget,
		Request: call.Request, Attempt: attempt,
		Target: call.Target, Server: server, UnixMilli: time.Now().UnixMilli(),
	}
}
