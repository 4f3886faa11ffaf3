package dispatch

import "github.com/rcrowley/go-metrics"

// counters counts events over all calls.
type counters struct {
	// reattached counts the streams opened to continue or replay a response,
	// replayed the calls for which an earlier attempt was to be replayed.
	attempts, retries, reattached, replayed metrics.Counter
	// mismatchedMessages counts dropped messages that belonged to another
	// attempt.
	mismatchedMessages metrics.Counter
	// mismatchedBills counts bills that did not match their reservation.
	mismatchedBills metrics.Counter
	// lostAttempts counts attempts whose agent was lost, so that their bill is
	// an estimate.
	lostAttempts metrics.Counter
	// Each opened reservation must be closed exactly once.
	// reservationsClosedAgain counts repeated closes, reservationsLeaked the
	// reservations that an attempt left open.
	reservationsOpened, reservationsClosed, reservationsClosedAgain, reservationsLeaked metrics.Counter
}

func newCounters(registry metrics.Registry) counters {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("monsoon.dispatch."+name, registry)
	}
	return counters{
		attempts:                counter("attempts_count"),
		retries:                 counter("retries_count"),
		reattached:              counter("reattached_count"),
		replayed:                counter("replayed_count"),
		mismatchedMessages:      counter("crossed_messages_count"),
		mismatchedBills:         counter("mismatched_bills_count"),
		lostAttempts:            counter("lost_attempts_count"),
		reservationsOpened:      counter("slots_opened_count"),
		reservationsClosed:      counter("slots_ended_count"),
		reservationsClosedAgain: counter("slots_ended_again_count"),
		reservationsLeaked:      counter("slots_leaked_count"),
	}
}
