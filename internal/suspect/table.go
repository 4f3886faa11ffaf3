// Package suspect keeps requests that were in progress when a server died from
// crashing more servers. Every router has a table of suspects by fingerprint; the
// suspect's home router, chosen by rendezvous hashing, permits its runs one at a
// time.
package suspect

import (
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// Figures of suspects.
const (
	// crashesToBlock is the number of crashes after which a suspect is refused.
	// The target is 3 at most; the third is the margin for routers that have not
	// heard of the second.
	crashesToBlock = 2
	// expiry is how long a suspect is remembered after its last crash.
	expiry = time.Hour
	// permitLease ends a permit whose router died without reporting the run's end.
	permitLease = 10 * time.Minute
	// retryBusy is what the caller of a suspect is told to wait while another run
	// of it is in progress.
	retryBusy = 2 * time.Second
	// maxSuspects bounds the table; the suspects that were not asked for the
	// longest time go first.
	maxSuspects = 16384
	// maxCrashes bounds the crashes kept for one suspect.
	maxCrashes = 16
)

// entry is what is known about one fingerprint.
type entry struct {
	crashes []uuid.UUID
	// cleared holds crashes of which the request was found innocent; late reports
	// of them change nothing.
	cleared     []uuid.UUID
	last        time.Time // of the last new crash or clearing
	running     uuid.UUID // the attempt that has the permit, at the home router
	permitUntil time.Time
}

func (e *entry) blocked() bool { return len(e.crashes) >= crashesToBlock }

// learn adds a crash, and reports whether it was new.
func (e *entry) learn(crash uuid.UUID, now time.Time) bool {
	if slices.Contains(e.crashes, crash) || slices.Contains(e.cleared, crash) || len(e.crashes) >= maxCrashes {
		return false
	}
	e.crashes = append(e.crashes, crash)
	e.last = now
	e.running = uuid.Nil
	return true
}

// clear forgets the crashes known so far.
func (e *entry) clear(now time.Time) {
	keep := append(e.cleared, e.crashes...)
	e.cleared = keep[max(0, len(keep)-maxCrashes):]
	e.crashes, e.last = nil, now
}

// table holds the suspects that a router knows. It is safe for concurrent use.
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

// find returns the live entry of a fingerprint, nil if there is none.
func (t *table) find(fingerprint uint64, now time.Time) *entry {
	e, ok := t.entries.Get(fingerprint)
	if !ok {
		return nil
	}
	if now.Sub(e.last) > expiry {
		t.entries.Remove(fingerprint)
		return nil
	}
	return e
}

func (t *table) findOrAdd(fingerprint uint64, now time.Time) *entry {
	e := t.find(fingerprint, now)
	if e == nil {
		e = &entry{last: now}
		t.entries.Add(fingerprint, e)
	}
	return e
}

// crashes returns the crashes known of a fingerprint, nil if it is no suspect.
func (t *table) crashes(fingerprint uint64) []uuid.UUID {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.find(fingerprint, time.Now()); e != nil {
		return slices.Clone(e.crashes)
	}
	return nil
}

// learn adds a crash to fingerprints and returns those to which it was new.
func (t *table) learn(crash uuid.UUID, fingerprints []uint64) (fresh []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for _, fingerprint := range fingerprints {
		if t.findOrAdd(fingerprint, now).learn(crash, now) {
			fresh = append(fresh, fingerprint)
		}
	}
	return fresh
}

// clear forgets the crashes of a fingerprint.
func (t *table) clear(fingerprint uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if e := t.find(fingerprint, now); e != nil {
		e.clear(now)
	}
}

// permit decides as the home router about a run, or notes the end of one.
func (t *table) permit(args *wire.PermitArgs) wire.PermitReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if args.Finished {
		t.finished(args, now)
		return wire.PermitReply{}
	}
	e := t.findOrAdd(args.Fingerprint, now)
	for _, crash := range args.Crashes {
		e.learn(crash, now)
	}
	reply := wire.PermitReply{Crashes: len(e.crashes)}
	busy := e.running != uuid.Nil && e.running != args.Attempt && now.Before(e.permitUntil)
	switch {
	case e.blocked():
		reply.Blocked = true
	case busy && len(e.crashes) > 0:
		reply.RetryAfterMillis = retryBusy.Milliseconds()
	default:
		reply.Granted = true
		e.running, e.permitUntil = args.Attempt, now.Add(permitLease)
	}
	return reply
}

func (t *table) finished(args *wire.PermitArgs, now time.Time) {
	e := t.find(args.Fingerprint, now)
	if e == nil || e.running != args.Attempt {
		return
	}
	e.running = uuid.Nil
	if args.Completed {
		e.clear(now)
	}
}
