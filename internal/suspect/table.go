package suspect

import (
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/monsoonworks/monsoonworks/internal/wire"
)

const (
	// crashesToBlock is the number of crashes after which a suspect is refused.
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
	// maxCrashes bounds the crashes that count against one suspect, and those kept from
	// before it was cleared.
	maxCrashes = 16
)

// policy blocks a request at the second crash. A request must not crash more than 3 servers;
// the difference is a margin for routers that do not know of the second crash yet. Blocked
// requests get no trials here: they expire.
var policy = Policy{
	BegunCrashes: crashesToBlock, AnsweringCrashes: crashesToBlock, Crashes: crashesToBlock, RepeatCrashes: crashesToBlock,
	MaxCrashes: maxCrashes,
}

// entry is the state of one fingerprint.
type entry struct {
	// evidence has this fingerprint as its only candidate. A completed attempt adds a sound
	// mark, so that late reports of earlier crashes are ignored.
	evidence         Evidence
	lastChange       time.Time // of the last new crash or clearing
	permittedAttempt uuid.UUID // the attempt that has the permit, at the home router
	permitUntil      time.Time
}

func (e *entry) blocked(fingerprint uint64) bool {
	d := e.evidence.decide(policy)
	return d.blocked(fingerprint)
}

// crashes returns the crashes that count against the fingerprint.
func (e *entry) crashes(fingerprint uint64) []uuid.UUID {
	var crashes []uuid.UUID
	for _, c := range e.evidence.Crashes {
		if !e.evidence.hasSound(SoundMark{Fingerprint: fingerprint, UpTo: c.Number}) {
			crashes = append(crashes, uuid.MustParse(c.ID))
		}
	}
	return crashes
}

// addCrash adds a crash and revokes the permit, unless the crash is known or there are
// maxCrashes already. It reports whether it has added the crash.
func (e *entry) addCrash(fingerprint uint64, crash uuid.UUID, now time.Time) bool {
	if len(e.crashes(fingerprint)) >= maxCrashes {
		return false
	}
	added := e.evidence.addCrash(Crash{
		ID: crash.String(), At: now.UnixMilli(), Candidates: []Candidate{{Fingerprints: []uint64{fingerprint}}},
	})
	if !added {
		return false
	}
	// Of the crashes before the last clearing, only the newest are kept.
	e.evidence.dropExcess(2*maxCrashes, maxStoredFingerprints, func(Crash) int { return 0 })
	e.lastChange = now
	e.permittedAttempt = uuid.Nil
	return true
}

// clear marks the fingerprint as sound at all known crashes.
func (e *entry) clear(fingerprint uint64, now time.Time) {
	e.evidence.addSound(SoundMark{Fingerprint: fingerprint, UpTo: e.evidence.LastNumber})
	e.lastChange = now
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

// crashes returns the crashes that count against a fingerprint, nil if it is not a suspect.
func (t *table) crashes(fingerprint uint64) []uuid.UUID {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.find(fingerprint, time.Now()); e != nil {
		return e.crashes(fingerprint)
	}
	return nil
}

// blocked reports whether a fingerprint has crashed too many servers.
func (t *table) blocked(fingerprint uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.find(fingerprint, time.Now())
	return e != nil && e.blocked(fingerprint)
}

// add adds a crash to the given fingerprints and returns those for which it is new.
func (t *table) add(crash uuid.UUID, fingerprints []uint64) (added []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for _, fingerprint := range fingerprints {
		if t.findOrAdd(fingerprint, now).addCrash(fingerprint, crash, now) {
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
		e.clear(fingerprint, now)
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
		e.addCrash(args.Fingerprint, crash, now)
	}
	crashes := len(e.crashes(args.Fingerprint))
	reply := wire.PermitReply{Crashes: crashes}
	busy := e.permittedAttempt != uuid.Nil && e.permittedAttempt != args.Attempt && now.Before(e.permitUntil)
	switch {
	case e.blocked(args.Fingerprint):
		reply.Blocked = true
	case busy && crashes > 0:
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
		e.clear(args.Fingerprint, now)
	}
}
