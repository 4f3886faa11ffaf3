package membership

import (
	"slices"
	"sync"
	"time"
)

// Clocks of hosts differ and may step, so the start time of a lifetime is not exact.
const (
	// restTolerance is generous: a rest too many costs the time asked for, and a missed one sends
	// requests to a server that asked for none.
	restTolerance = 5 * time.Second
	// leaveTolerance is shorter than a server that leaves goes on serving: a departure that is
	// attributed to the next lifetime takes that server out for good.
	leaveTolerance = 2 * time.Second
	// departureTime is how long a departure that was heard by another lifetime counts. A server that
	// leaves has ended by then; one that has not was attributed the departure of an earlier lifetime.
	departureTime = time.Minute
)

// Source is the connection on which a server said something. A server that ends closes its
// connections, so the lifetime that said it had started when the connection was opened.
type Source struct {
	Address  string
	OpenedAt time.Time
	// HeardAt is when the response with the statement was read.
	HeardAt time.Time
}

// openedSince reports whether the connection was opened after t. The monotonic clock does not count
// suspension, and the time of day may step, so both must agree.
func (s Source) openedSince(t time.Time) bool {
	return !s.OpenedAt.Before(t) && !s.OpenedAt.Round(0).Before(t.Round(0))
}

// rest is a rest that a server asked for.
type rest struct {
	source Source
	until  time.Time
}

// covers reports whether any lifetime that rests because of other rests because of r at least as long.
func (r rest) covers(other rest) bool {
	return r.source.Address == other.source.Address && !r.source.OpenedAt.Before(other.source.OpenedAt) && !r.until.Before(other.until)
}

// history is what a server said in all of its lifetimes. The store lists a new lifetime only after
// it has started, so what it says before is heard by a Member of an earlier one.
type history struct {
	mu sync.Mutex
	// leaves holds, by address, the connection opened last on which the server said that it is
	// leaving.
	leaves map[string]Source
	rests  []rest // none covers another
}

func newHistory() *history { return &history{leaves: make(map[string]Source)} }

func (h *history) addLeave(s Source) {
	if s.OpenedAt.After(h.leaves[s.Address].OpenedAt) {
		h.leaves[s.Address] = s
	}
}

func (h *history) addRest(added rest, now time.Time) {
	covers := func(r rest) bool { return r.covers(added) }
	if slices.ContainsFunc(h.rests, covers) {
		return
	}
	h.rests = slices.DeleteFunc(h.rests, func(r rest) bool { return !now.Before(r.until) || added.covers(r) })
	h.rests = append(h.rests, added)
}

// hasLeft reports whether a lifetime that started then at the address said within departureTime
// that it is leaving.
func (h *history) hasLeft(address string, startedAt, now time.Time) bool {
	source, ok := h.leaves[address]
	return ok && now.Sub(source.HeardAt) < departureTime && source.openedSince(startedAt.Add(-leaveTolerance))
}

// restUntil returns the end of the last rest that a lifetime that started then at the address asked
// for, zero if it asked for none.
func (h *history) restUntil(address string, startedAt time.Time) (until time.Time) {
	for _, r := range h.rests {
		if r.source.Address == address && r.source.openedSince(startedAt.Add(-restTolerance)) && r.until.After(until) {
			until = r.until
		}
	}
	return until
}
