// Package suspect limits the damage of poison requests, which crash the server that
// runs them. A suspect is a request that was in progress when a server crashed. Every
// router has a table of suspects by request fingerprint. A suspect runs only with a
// permit of its home router, which rendezvous hashing chooses among the routers of the
// region and which permits one attempt at a time. A suspect that completes is cleared;
// one that was in progress at further crashes is refused.
//
// The dispatcher asks a Registry for permits and reports the ends of attempts and the
// crashes that it sees; other routers and agents call its RPC service. The package must
// not know HTTP or how servers are chosen.
package suspect

import (
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/monsoonworks/monsoonworks/internal/wire"
)

const (
	// crashesToBlock is the number of crashes after which a suspect is refused. A
	// request must not crash more than 3 servers; the difference is a margin for
	// routers that do not know of the second crash yet.
	crashesToBlock = 2
	// suspectTTL is how long a suspect is kept after its last new crash or clearing.
	suspectTTL = time.Hour
	// permitTTL is how long a permit lasts if the end of its attempt is not reported,
	// for example because the router that requested it has died.
	permitTTL = 10 * time.Minute
	// busyRetryAfter is the RetryAfter of a suspect that is refused because another
	// attempt of it is in progress.
	busyRetryAfter = 2 * time.Second
	// maxSuspects bounds the table. The least recently used suspects are evicted.
	maxSuspects = 16384
	// maxCrashes bounds each list of crashes kept for one suspect.
	maxCrashes = 16
)

// entry is the state of one fingerprint.
type entry struct {
	crashes []uuid.UUID
	// cleared holds the crashes before a completed attempt. Late reports of them
	// are ignored.
	cleared          []uuid.UUID
	lastChange       time.Time // of the last new crash or clearing
	permittedAttempt uuid.UUID // the attempt that has the permit, at the home router
	permitUntil      time.Time
}

func (e *entry) blocked() bool { return len(e.crashes) >= crashesToBlock }

// addCrash adds a crash and revokes the permit, unless the crash is known or there are
// maxCrashes already. It reports whether it has added the crash.
func (e *entry) addCrash(crash uuid.UUID, now time.Time) bool {
	if slices.Contains(e.crashes, crash) || slices.Contains(e.cleared, crash) || len(e.crashes) >= maxCrashes {
		return false
	}
	e.crashes = append(e.crashes, crash)
	e.lastChange = now
	e.permittedAttempt = uuid.Nil
	return true
}

// clear moves all crashes to cleared.
func (e *entry) clear(now time.Time) {
	cleared := append(e.cleared, e.crashes...)
	e.cleared = cleared[max(0, len(cleared)-maxCrashes):]
	e.crashes, e.lastChange = nil, now
}

// table holds the suspects known to a router. It is safe for concurrent use.
type table struct {
	mu      sync.Mutex
	entries *simplelru.LRU[uint64, *entry]
}

func newTable() *table {
	entries, err := simplelru.NewLRU[uint64, *entry](maxSuspects, nil)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &table{entries: entries}
}

// find returns the entry of a fingerprint, nil if there is none or it has expired. The
// caller holds t.mu.
func (t *table) find(fingerprint uint64, now time.Time) *entry {
	e, ok := t.entries.Get(fingerprint)
	if !ok {
		return nil
	}
	if now.Sub(e.lastChange) > suspectTTL {
		t.entries.Remove(fingerprint)
		return nil
	}
	return e
}

// findOrAdd is like find, but adds a missing entry.
func (t *table) findOrAdd(fingerprint uint64, now time.Time) *entry {
	e := t.find(fingerprint, now)
	if e == nil {
		e = &entry{lastChange: now}
		t.entries.Add(fingerprint, e)
	}
	return e
}

// crashes returns the known crashes of a fingerprint, nil if it is not a suspect.
func (t *table) crashes(fingerprint uint64) []uuid.UUID {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.find(fingerprint, time.Now()); e != nil {
		return slices.Clone(e.crashes)
	}
	return nil
}

// add adds a crash to the given fingerprints and returns those for which it is new.
func (t *table) add(crash uuid.UUID, fingerprints []uint64) (added []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for _, fingerprint := range fingerprints {
		if t.findOrAdd(fingerprint, now).addCrash(crash, now) {
			added = append(added, fingerprint)
		}
	}
	return added
}

// clear clears the crashes of a fingerprint.
func (t *table) clear(fingerprint uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if e := t.find(fingerprint, now); e != nil {
		e.clear(now)
	}
}

// handlePermit grants or refuses a permit as the home router, or ends one if
// args.Finished is set. A repeated request by the attempt that has the permit is
// granted again.
func (t *table) handlePermit(args *wire.PermitArgs) wire.PermitReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if args.Finished {
		t.finish(args, now)
		return wire.PermitReply{}
	}
	e := t.findOrAdd(args.Fingerprint, now)
	for _, crash := range args.Crashes {
		e.addCrash(crash, now)
	}
	reply := wire.PermitReply{Crashes: len(e.crashes)}
	busy := e.permittedAttempt != uuid.Nil && e.permittedAttempt != args.Attempt && now.Before(e.permitUntil)
	switch {
	case e.blocked():
		reply.Blocked = true
	case busy && len(e.crashes) > 0:
		reply.RetryAfterMillis = busyRetryAfter.Milliseconds()
	default:
		reply.Granted = true
		e.permittedAttempt, e.permitUntil = args.Attempt, now.Add(permitTTL)
	}
	return reply
}

// finish ends a permit and clears the suspect if the attempt completed. The caller
// holds t.mu.
func (t *table) finish(args *wire.PermitArgs, now time.Time) {
	e := t.find(args.Fingerprint, now)
	if e == nil || e.permittedAttempt != args.Attempt {
		return
	}
	e.permittedAttempt = uuid.Nil
	if args.Completed {
		e.clear(now)
	}
}
