package watchcache

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/monsoonworks/monsoonworks/internal/bootclock"
	"github.com/monsoonworks/monsoonworks/internal/relay"
	"github.com/monsoonworks/monsoonworks/internal/store"
)

const (
	// A feed polls until idleTimeout after the last call.
	idleTimeout = 5 * time.Second
	// batchDelay is the delay after changes before the next poll. Changes made in the meantime
	// then arrive together.
	batchDelay = 200 * time.Millisecond
	// minBackoff and maxBackoff bound the exponential backoff after a failed poll.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// maxEvents and maxEventBytes limit the changes that a feed keeps for gates that are behind.
	// The last change is always kept.
	maxEvents     = 4096
	maxEventBytes = 2 << 20
)

var (
	errClockUnknown = errors.New("the time since the last poll of the store is not known")
	errListing      = errors.New("the relay is listing the prefix again")
	errStopping     = errors.New("the relay is stopping")
)

// feed is a copy of the entries under one prefix with the last changes. No other lock is acquired
// while its mutex is held.
type feed struct {
	prefix string
	store  relay.PollingStore
	clock  bootclock.Clock
	log    *slog.Logger
	polls  metrics.Counter
	wake   chan struct{}

	mu      sync.Mutex
	entries map[string]store.Entry
	// events holds all changes after eventsFrom up to revision, in order. revision is 0 until
	// the first listing.
	events               []store.Event
	eventsFrom, revision int64
	// confirmedAt is when the last successful call to the store was sent: the copy has all
	// changes made before it.
	confirmedAt bootclock.Instant
	// err is why the last call to the store failed, nil if it succeeded. completed counts these
	// calls.
	err       error
	completed int
	askedAt   time.Time     // last call of a gate
	changed   chan struct{} // closed when a call has completed
}

func newFeed(prefix string, o ServerOptions) *feed {
	return &feed{
		prefix: prefix, store: o.Store, clock: o.Clock, log: o.Log,
		polls: metrics.GetOrRegisterCounter("monsoon.watchcache.polls", o.Metrics),
		wake:  make(chan struct{}, 1), changed: make(chan struct{}),
	}
}

// run polls the store while gates ask, until ctx ends.
func (f *feed) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.wake:
		}
		if !f.inUse(time.Now()) {
			continue
		}
		f.log.Info("watch on behalf of gates started", "prefix", f.prefix)
		f.poll(ctx)
		f.log.Info("watch on behalf of gates ended", "prefix", f.prefix)
		f.mu.Lock()
		f.err = nil // says nothing about the store by the time that the feed starts again
		f.mu.Unlock()
	}
}

// poll polls the store until no gate has asked for idleTimeout.
func (f *feed) poll(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil && f.inUse(time.Now()) {
		f.polls.Inc(1)
		changed, err := f.pollOnce(ctx)
		delay := time.Duration(0)
		switch {
		case err != nil:
			delay, backoff = backoff, min(backoff*2, maxBackoff)
		case changed:
			delay, backoff = batchDelay, minBackoff
		default:
			backoff = minBackoff
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
	}
}

// pollOnce makes one call to the store: it lists the entries if that was not done or the revision
// was compacted, and waits for changes otherwise. It reports whether there were any.
func (f *feed) pollOnce(ctx context.Context) (changed bool, err error) {
	f.mu.Lock()
	revision := f.revision
	f.mu.Unlock()
	sentAt := f.clock.Now()
	if revision == 0 {
		snapshot, err := f.store.List(ctx, f.prefix)
		f.noteCall(err, func() { f.replace(snapshot, sentAt) })
		return false, err
	}
	batch := f.store.Next(ctx, f.prefix, revision)
	if errors.Is(batch.Err, store.ErrCompacted) {
		f.log.Info("store revision compacted, listing the prefix again", "prefix", f.prefix, "revision", revision)
		f.mu.Lock()
		f.revision = 0
		f.mu.Unlock()
		return false, nil
	}
	f.noteCall(batch.Err, func() { f.apply(batch, sentAt) })
	return len(batch.Events) > 0, batch.Err
}

// noteCall records the result of a call to the store and wakes the calls that wait for it. apply
// runs under mu if the call succeeded.
func (f *feed) noteCall(err error, apply func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if (err == nil) != (f.err == nil) {
		f.log.Info("watch on behalf of gates changed state", "prefix", f.prefix, "revision", f.revision, "error", err)
	}
	f.err = err
	f.completed++
	if err == nil {
		apply()
	}
	close(f.changed)
	f.changed = make(chan struct{})
}

// replace applies a listing.
func (f *feed) replace(snapshot store.Snapshot, sentAt bootclock.Instant) {
	f.entries = make(map[string]store.Entry, len(snapshot.Entries))
	for _, e := range snapshot.Entries {
		f.entries[e.Key] = e
	}
	f.events, f.eventsFrom, f.revision = nil, snapshot.Revision, snapshot.Revision
	f.confirmedAt = sentAt
}

// apply applies a batch of a watch. Replies may still refer to the events before it, so they are
// not moved.
func (f *feed) apply(batch store.WatchBatch, sentAt bootclock.Instant) {
	for _, e := range batch.Events {
		switch old, ok := f.entries[e.Key]; {
		case ok && old.ModRevision > e.ModRevision: // a page of the listing was newer
		case e.Deleted:
			delete(f.entries, e.Key)
		default:
			f.entries[e.Key] = e.Entry
		}
	}
	f.events = append(f.events, batch.Events...)
	if excess := excessEvents(f.events); excess > 0 {
		f.eventsFrom = f.events[excess-1].ModRevision
		f.events = slices.Clone(f.events[excess:])
	}
	f.revision = max(f.revision, batch.Revision)
	f.confirmedAt = sentAt
}

// excessEvents returns how many of the oldest events are over the limits.
func excessEvents(events []store.Event) int {
	size := 0
	for i := len(events) - 1; i >= 0; i-- {
		size += len(events[i].Key) + len(events[i].Value)
		if last := i == len(events)-1; !last && (size > maxEventBytes || len(events)-i > maxEvents) {
			return i + 1
		}
	}
	return 0
}

// inUse reports whether a gate has asked lately.
func (f *feed) inUse(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.askedAt) < idleTimeout
}

// age returns the time since confirmedAt. The caller holds mu.
func (f *feed) age() (time.Duration, error) {
	age, ok := f.clock.Now().Since(f.confirmedAt)
	if !ok {
		return 0, fmt.Errorf("%w: %w", store.ErrUnavailable, errClockUnknown)
	}
	return age, nil
}

// next waits for changes after a revision, or for a call to the store that confirms that there
// are none.
func (f *feed) next(ctx context.Context, revision int64) (batch store.WatchBatch, age time.Duration) {
	err := f.await(ctx, func() bool {
		return revision < f.eventsFrom || len(f.eventsAfter(revision)) > 0
	})
	if err != nil {
		return store.WatchBatch{Err: err}, 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision < f.eventsFrom {
		return store.WatchBatch{Err: fmt.Errorf("%w: the relay has no changes before revision %d", store.ErrCompacted, f.eventsFrom)}, 0
	}
	age, err = f.age()
	return store.WatchBatch{Events: f.eventsAfter(revision), Revision: max(revision, f.revision), Err: err}, age
}

// list returns all entries.
func (f *feed) list(ctx context.Context) (snapshot store.Snapshot, age time.Duration, err error) {
	if err := f.await(ctx, func() bool { return true }); err != nil {
		return store.Snapshot{}, 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.revision == 0 {
		return store.Snapshot{}, 0, fmt.Errorf("%w: %w", store.ErrUnavailable, errListing)
	}
	age, err = f.age()
	snapshot = store.Snapshot{Revision: f.revision}
	for _, key := range slices.Sorted(maps.Keys(f.entries)) {
		snapshot.Entries = append(snapshot.Entries, f.entries[key])
	}
	return snapshot, age, err
}

// await waits until the copy is not older than maxAge and ready returns true, or until a call to
// the store has completed. It fails if that call or the last one before it failed, or after
// holdTime. ready is called under mu.
func (f *feed) await(ctx context.Context, ready func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, holdTime)
	defer cancel()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.askedAt = time.Now()
	select {
	case f.wake <- struct{}{}:
	default: // the feed has not handled the last one yet
	}
	for before := f.completed; f.completed == before; {
		if f.err != nil {
			return fmt.Errorf("%w: %w", store.ErrUnavailable, f.err)
		}
		age, ageErr := f.age()
		if f.revision > 0 && ageErr == nil && age <= maxAge && ready() {
			return nil
		}
		changed := f.changed
		f.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		f.mu.Lock()
		if ctx.Err() != nil {
			return fmt.Errorf("%w: %w", store.ErrUnavailable, context.Cause(ctx))
		}
	}
	if f.err != nil {
		return fmt.Errorf("%w: %w", store.ErrUnavailable, f.err)
	}
	return nil
}

// eventsAfter returns the changes after a revision. The caller holds mu and must not change them.
func (f *feed) eventsAfter(revision int64) []store.Event {
	first := len(f.events)
	for first > 0 && f.events[first-1].ModRevision > revision {
		first--
	}
	return slices.Clip(f.events[first:])
}
