package dispatch

import "github.com/rcrowley/go-metrics"

// counters counts events of all calls.
type counters struct {
	attempts, retries, reattached, replayed metrics.Counter
	// crossed counts messages of other attempts, which were dropped.
	crossed metrics.Counter
	// badBills counts bills that did not match their reservation.
	badBills metrics.Counter
	// lost counts attempts whose agent was lost, so that their bill is estimated.
	lost metrics.Counter
	// Each slot opened must be ended exactly once; repeated counts attempts to
	// end one again and leaked slots that a fault left open.
	slotsOpened, slotsEnded, slotsRepeated, slotsLeaked metrics.Counter
}

func newCounters(registry metrics.Registry) counters {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("monsoon.dispatch."+name, registry)
	}
	return counters{
		attempts:      counter("attempts_count"),
		retries:       counter("retries_count"),
		reattached:    counter("reattached_count"),
		replayed:      counter("replayed_count"),
		crossed:       counter("crossed_messages_count"),
		badBills:      counter("mismatched_bills_count"),
		lost:          counter("lost_attempts_count"),
		slotsOpened:   counter("slots_opened_count"),
		slotsEnded:    counter("slots_ended_count"),
		slotsRepeated: counter("slots_ended_again_count"),
		slotsLeaked:   counter("slots_leaked_count"),
	}
}
