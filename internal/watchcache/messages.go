// Package watchcache lets gates of one failure domain share a watch of the store, so that the
// calls to the store grow with the number of domains instead of the number of gates. A relay of
// the domain watches on behalf of the gates and keeps the entries and the last changes (Server).
// A gate asks it first, and the store itself if the relay does not reply, has lost the store or
// cannot tell how old its copy is (Client). Which relay that is follows from rendezvous hashing,
// so the gates of a domain agree on it without messages.
//
// The package does not interpret keys or values. The exported fields of the messages are sent
// under their Go names (encoding/gob).
package watchcache

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/relay"
	"github.com/monsoonworks/monsoonworks/internal/store"
)

// ServiceName is the name of the net/rpc service.
const ServiceName = "Watch"

const (
	// PollWait is how long the store should hold a Server's long poll open. It bounds the age
	// of the entries that gates get, so it is shorter than for a watch of a single process.
	PollWait = time.Second
	// holdTime is how long a Server holds a call of Next open: a poll of the store and the time
	// after which the poll fails without a response.
	holdTime = PollWait + 800*time.Millisecond
	// nextTimeout limits a call of Next, listTimeout one of List.
	nextTimeout = holdTime + 300*time.Millisecond
	listTimeout = 1500 * time.Millisecond
	// nextHedgeDelay and listHedgeDelay are the delays after which a gate asks the store itself,
	// too. A Server replies to Next after PollWait if nothing has changed.
	nextHedgeDelay = PollWait + 300*time.Millisecond
	listHedgeDelay = 300 * time.Millisecond
	// recentTime is the time since the last success within which a gate relies on a Server alone.
	recentTime = 2 * time.Second
	// maxAge is the largest age of entries that a gate accepts.
	maxAge = nextTimeout
	// minGates is the number of gates from which on sharing makes fewer calls than watching
	// alone, since a Server polls more often.
	minGates = 4
	// gateTTL is how long a gate counts after its last call, and how long a server without gates counts
	// before it knows all of them. aloneInterval is how long a gate
	// watches alone after a Server told it to; it is shorter, so that such gates count.
	gateTTL       = 10 * time.Second
	aloneInterval = 3 * time.Second
	// maxServerAttempts is the number of Servers that are asked for one call, apart from addresses
	// that refuse connections. Together they are at most maxCandidates.
	maxServerAttempts = 2
	maxCandidates     = 10
	// serverBackoff is how long a Server is not asked after it failed.
	serverBackoff = 3 * time.Second
	// maxNameBytes limits the names of gates.
	maxNameBytes = 150
	// maxGates limits the gates of a Server.
	maxGates = 4096
)

var errInvalidCall = errors.New("invalid call: unknown prefix, negative revision, or a name that is empty or too long")

// NextArgs requests the changes under a prefix after a revision.
type NextArgs struct {
	// Gate is the name of the calling process.
	Gate     string
	Prefix   string
	Revision int64
}

// Result is the part of a reply that tells whether the rest of it can be used.
type Result struct {
	// Alone is set if too few gates ask for sharing to pay.
	Alone bool
	// Gates is the number of gates that have called lately, 0 if the server does not know all of them
	// yet or is of a version that does not count them.
	Gates int
	// Age tells how old the entries are: all changes made more than Age ago are in them.
	Age time.Duration
	// Failure is why the server has no entries.
	Failure relay.Failure
}

// errTooOld means that the entries of a server are older than maxAge.
var errTooOld = errors.New("the entries of the server are too old")

func (r *Result) result() *Result { return r }

// err returns why the rest of a reply cannot be used, nil if it can.
func (r *Result) err() error {
	if err := r.Failure.Err(); err != nil {
		return err
	}
	if r.Age > maxAge {
		return fmt.Errorf("%w: %v", errTooOld, r.Age)
	}
	return nil
}

// NextReply is the reply to NextArgs.
type NextReply struct {
	Result
	// Events are the changes after the requested revision. Revision is that of the last change,
	// at least the requested one.
	Events   []store.Event
	Revision int64
}

var errMalformedReply = errors.New("malformed reply: an entry outside the prefix, or revisions out of order")

// validate fails if the reply could not have come from a Server that works.
func (r *NextReply) validate(prefix string, revision int64) error {
	last := revision
	for _, e := range r.Events {
		if e.ModRevision < last || !strings.HasPrefix(e.Key, prefix) {
			return errMalformedReply
		}
		last = e.ModRevision
	}
	if r.Revision < last || len(r.Events) > 0 && r.Events[0].ModRevision <= revision {
		return errMalformedReply
	}
	return nil
}

// validate fails if the reply could not have come from a Server that works.
func (r *ListReply) validate(prefix string, _ int64) error {
	for _, e := range r.Snapshot.Entries {
		if !strings.HasPrefix(e.Key, prefix) {
			return errMalformedReply
		}
	}
	if r.Snapshot.Revision <= 0 {
		return errMalformedReply
	}
	return nil
}

// ListArgs requests all entries with a prefix.
type ListArgs struct {
	Gate   string
	Prefix string
}

// ListReply is the reply to ListArgs.
type ListReply struct {
	Result
	Snapshot store.Snapshot
}
