// Package mirror keeps a local copy of the keys under a prefix of the store. It
// reads them once and then watches them.
package mirror

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/store"
)

// Figures of following.
const (
	// minPause and maxPause bound the pause before the store is tried again.
	minPause = 100 * time.Millisecond
	maxPause = 800 * time.Millisecond
	// gather is the pause after changes, so that those that follow closely come in
	// one answer: the store counts every call.
	gather = 200 * time.Millisecond
)

// State is a copy of the keys under a prefix.
type State struct {
	Entries map[string]store.Entry
	// Revision is the store's revision up to which the copy is current.
	Revision int64
}

// Store is what a follower needs of the store.
type Store interface {
	store.KV
	store.Watcher
}

// Options configure a Mirror.
type Options struct {
	Prefix string
	Store  Store
	// DeletionGrace is how long the deletion of a key waits for the key's return
	// when contact with the store was lost shortly before. Leases may have lapsed
	// during an outage of the store, and their keys come back.
	DeletionGrace time.Duration
	// OnChange is called with each new state, by one goroutine. The state must not
	// be changed.
	OnChange func(State)
	Log      *slog.Logger
}

// Mirror follows one prefix. Its methods are safe for concurrent use.
type Mirror struct {
	opts Options

	mu        sync.Mutex
	state     State
	contact   time.Time // of the last answer of the store
	inContact bool
	regained  time.Time            // when contact came back
	held      map[string]time.Time // keys whose deletion waits, and since when
}

// New returns a follower with an empty state.
func New(o Options) *Mirror {
	return &Mirror{
		opts: o, state: State{Entries: make(map[string]store.Entry)}, held: make(map[string]time.Time),
	}
}

// State returns the copy. Its map must not be changed.
func (f *Mirror) State() State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state
}

// Synced reports whether the keys were read at least once.
func (f *Mirror) Synced() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Revision > 0
}

// Connected reports whether the store answers.
func (f *Mirror) Connected() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.inContact
}

// Run follows the prefix until ctx ends.
func (f *Mirror) Run(ctx context.Context) error {
	pause := minPause
	for ctx.Err() == nil {
		began := time.Now()
		err := f.follow(ctx)
		if ctx.Err() != nil {
			return nil
		}
		f.lost(err)
		if time.Since(began) > maxPause {
			pause = minPause
		}
		if !sleep(ctx, pause) {
			return nil
		}
		pause = min(pause*2, maxPause)
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// follow watches the prefix from the known revision, after reading it if that is
// unknown or too old. It returns at the first failure.
func (f *Mirror) follow(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !f.Synced() {
		if err := f.list(ctx); err != nil {
			return err
		}
	}
	for {
		err := f.watch(ctx)
		if !errors.Is(err, store.ErrCompacted) {
			return err
		}
		f.opts.Log.Info("the store's history is gone, reading again", "prefix", f.opts.Prefix)
		if err := f.list(ctx); err != nil {
			return err
		}
	}
}

func (f *Mirror) list(ctx context.Context) error {
	snapshot, err := f.opts.Store.List(ctx, f.opts.Prefix)
	if err != nil {
		return err
	}
	entries := make(map[string]store.Entry, len(snapshot.Entries))
	for _, e := range snapshot.Entries {
		entries[e.Key] = e
	}
	f.answered()
	f.replace(State{Entries: entries, Revision: snapshot.Revision})
	return nil
}

func (f *Mirror) watch(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	batches, err := f.opts.Store.Watch(ctx, f.opts.Prefix, f.State().Revision)
	if err != nil {
		return err
	}
	ticks := time.NewTicker(max(f.opts.DeletionGrace/4, minPause))
	defer ticks.Stop()
	for {
		select {
		case batch, ok := <-batches:
			if !ok {
				return ctx.Err()
			}
			if batch.Err != nil {
				return batch.Err
			}
			f.answered()
			f.apply(batch)
			if len(batch.Events) > 0 && !sleep(ctx, gather) {
				return ctx.Err()
			}
		case <-ticks.C:
			f.releaseHeld(time.Now())
		}
	}
}

// answered notes that the store answered.
func (f *Mirror) answered() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if !f.inContact {
		f.opts.Log.Info("store in contact", "prefix", f.opts.Prefix, "revision", f.state.Revision)
		if !f.contact.IsZero() {
			f.regained = now
		}
	}
	f.inContact, f.contact = true, now
}

// lost notes that the store did not answer.
func (f *Mirror) lost(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.inContact {
		f.opts.Log.Warn("store out of contact", "prefix", f.opts.Prefix, "revision", f.state.Revision, "error", err)
	}
	f.inContact = false
}

// holding reports whether deletions wait now. f.mu is held.
func (f *Mirror) holding(now time.Time) bool {
	return f.opts.DeletionGrace > 0 && (!f.inContact || !f.regained.IsZero() && now.Sub(f.regained) < f.opts.DeletionGrace)
}

// replace takes over a whole state. Keys that are missing in it count as deleted.
func (f *Mirror) replace(next State) {
	f.mu.Lock()
	now := time.Now()
	if next.Revision < f.state.Revision {
		f.mu.Unlock()
		return
	}
	if f.holding(now) {
		for key, e := range f.state.Entries {
			if _, ok := next.Entries[key]; !ok {
				next.Entries[key] = e
				f.hold(key, now)
			}
		}
	}
	for key := range f.held {
		if e, ok := next.Entries[key]; ok && e.ModRevision != f.state.Entries[key].ModRevision {
			delete(f.held, key)
		}
	}
	f.state = next
	f.mu.Unlock()
	f.opts.OnChange(next)
}

func (f *Mirror) hold(key string, now time.Time) {
	if _, ok := f.held[key]; !ok {
		f.held[key] = now
	}
}

// apply takes over the events of a watch.
func (f *Mirror) apply(batch store.WatchBatch) {
	f.mu.Lock()
	if len(batch.Events) == 0 {
		f.state.Revision = max(f.state.Revision, batch.Revision)
		f.mu.Unlock()
		return
	}
	now := time.Now()
	entries := cloneEntries(f.state.Entries)
	for _, e := range batch.Events {
		if old, ok := entries[e.Key]; ok && old.ModRevision > e.ModRevision {
			continue
		}
		switch {
		case !e.Deleted:
			entries[e.Key] = e.Entry
			delete(f.held, e.Key)
		case f.holding(now):
			f.hold(e.Key, now)
		default:
			delete(entries, e.Key)
			delete(f.held, e.Key)
		}
	}
	f.state = State{Entries: entries, Revision: max(f.state.Revision, batch.Revision)}
	state := f.state
	f.mu.Unlock()
	f.opts.OnChange(state)
}

// releaseHeld carries out the deletions that have waited long enough in contact
// with the store.
func (f *Mirror) releaseHeld(now time.Time) {
	f.mu.Lock()
	if len(f.held) == 0 || f.holding(now) {
		f.mu.Unlock()
		return
	}
	entries := cloneEntries(f.state.Entries)
	for key := range f.held {
		delete(entries, key)
	}
	clear(f.held)
	f.state = State{Entries: entries, Revision: f.state.Revision}
	state := f.state
	f.mu.Unlock()
	f.opts.OnChange(state)
}

func cloneEntries(entries map[string]store.Entry) map[string]store.Entry {
	clone := make(map[string]store.Entry, len(entries)+1)
	for key, e := range entries {
		clone[key] = e
	}
	return clone
}
