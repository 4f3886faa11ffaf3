// Package mirror keeps a local copy of the keys under a prefix of the store. It
// lists them and then watches for changes; it lists them again only if the store has
// compacted the revision from which it watches. The daemon's gate process uses it for
// the configuration and the server entries. The package does not interpret the
// values.
package mirror

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/store"
	"github.com/monsoonworks/monsoonworks/internal/wait"
)

const (
	// minBackoff and maxBackoff bound the exponential backoff after a failed call to
	// the store. minBackoff is also the shortest interval between two checks for
	// deferred deletions.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// batchDelay is the delay after a batch of changes before the next one is received.
	// Changes made in the meantime then arrive in fewer batches, each of which costs a
	// call to the store. startBatchDelay is the delay until the keys have first been unchanged
	// for settleTime: owners that start together write their keys within seconds.
	batchDelay      = 200 * time.Millisecond
	startBatchDelay = 800 * time.Millisecond
	settleTime      = 2500 * time.Millisecond
)

// State is a copy of the keys under a prefix.
type State struct {
	Entries map[string]store.Entry
	// Revision is the store's revision up to which the copy is current.
	Revision int64
}

// Store is the part of the store that a Mirror uses.
type Store interface {
	// List is as in store.KV.
	List(ctx context.Context, prefix string) (store.Snapshot, error)
	// Next waits for changes under prefix after revision, for a time that the store limits.
	// A batch without events means that there were no changes.
	Next(ctx context.Context, prefix string, revision int64) store.WatchBatch
}

// Options configure a Mirror.
type Options struct {
	Prefix string
	Store  Store
	// DeletionGrace is how long deletions are deferred after a lost connection to the
	// store was restored. Leases may have expired during an outage of the store, and
	// their owners then write the keys again. 0 applies all deletions immediately.
	DeletionGrace time.Duration
	// OnChange is called after each change of the entries, from one goroutine. It must
	// not change the state. A revision that advances without changes is not reported.
	OnChange func(State)
	Log      *slog.Logger
}

// Mirror is a copy of the keys under one prefix. It is safe for concurrent use.
type Mirror struct {
	opts Options

	mu            sync.Mutex
	state         State
	lastResponse  time.Time            // zero before the first successful call to the store
	connected     bool                 // the last call to the store succeeded
	reconnectedAt time.Time            // zero if the connection was never lost
	deferred      map[string]time.Time // keys with a deferred deletion, and since when
	// changedAt is when changes last arrived. settled is set once the keys have been unchanged for
	// settleTime. Only next uses them.
	changedAt time.Time
	settled   bool
}

// New returns a mirror with an empty state.
func New(o Options) *Mirror {
	return &Mirror{
		opts: o, state: State{Entries: make(map[string]store.Entry)}, deferred: make(map[string]time.Time),
	}
}

// State returns the current copy. Its map must not be changed.
func (m *Mirror) State() State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state
}

// Synced reports whether the keys were listed at least once.
func (m *Mirror) Synced() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Revision > 0
}

// Connected reports whether the last call to the store succeeded.
func (m *Mirror) Connected() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.connected
}

// Run keeps the copy current until ctx ends. It returns nil.
func (m *Mirror) Run(ctx context.Context) error {
	backoff := minBackoff
	for ctx.Err() == nil {
		started := time.Now()
		err := m.listAndWatch(ctx)
		if ctx.Err() != nil {
			return nil
		}
		m.setDisconnected(err)
		if time.Since(started) > maxBackoff {
			backoff = minBackoff
		}
		if !wait.Sleep(ctx, backoff) {
			return nil
		}
		backoff = min(backoff*2, maxBackoff)
	}
	return nil
}

// listAndWatch watches the prefix from the current revision. It lists the prefix
// first if it was never listed, and again if there is no watch from the revision. It returns
// at the first failed call.
func (m *Mirror) listAndWatch(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !m.Synced() {
		if err := m.list(ctx); err != nil {
			return err
		}
	}
	for {
		err := m.watch(ctx)
		if !errors.Is(err, store.ErrCompacted) {
			return err
		}
		m.opts.Log.Info("no watch from the current revision, listing the prefix again", "prefix", m.opts.Prefix)
		if err := m.list(ctx); err != nil {
			return err
		}
	}
}

func (m *Mirror) list(ctx context.Context) error {
	snapshot, err := m.opts.Store.List(ctx, m.opts.Prefix)
	if err != nil {
		return err
	}
	entries := make(map[string]store.Entry, len(snapshot.Entries))
	for _, e := range snapshot.Entries {
		entries[e.Key] = e
	}
	m.setConnected()
	m.replace(State{Entries: entries, Revision: snapshot.Revision})
	return nil
}

func (m *Mirror) watch(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	changed := false
	batches := store.WatchByPolling(ctx, m.State().Revision, func(ctx context.Context, revision int64) store.WatchBatch {
		if changed && !wait.Sleep(ctx, m.delay()) {
			return store.WatchBatch{Err: ctx.Err()}
		}
		batch := m.next(ctx, revision)
		changed = len(batch.Events) > 0
		return batch
	})
	ticker := time.NewTicker(max(m.opts.DeletionGrace/4, minBackoff))
	defer ticker.Stop()
	for {
		select {
		case batch, ok := <-batches:
			if !ok {
				return ctx.Err()
			}
			if batch.Err != nil {
				return batch.Err
			}
			m.setConnected()
			m.apply(batch)
		case <-ticker.C:
			m.applyDeferred(time.Now())
		}
	}
}

// next waits for changes and notes whether the keys have settled.
func (m *Mirror) next(ctx context.Context, revision int64) store.WatchBatch {
	if m.changedAt.IsZero() {
		m.changedAt = time.Now()
	}
	batch := m.opts.Store.Next(ctx, m.opts.Prefix, revision)
	if batch.Err != nil {
		return batch
	}
	m.settled = m.settled || time.Since(m.changedAt) >= settleTime
	if len(batch.Events) > 0 {
		m.changedAt = time.Now()
	}
	return batch
}

// delay returns the delay after a batch of changes.
func (m *Mirror) delay() time.Duration {
	if m.settled {
		return batchDelay
	}
	return startBatchDelay
}

func (m *Mirror) setConnected() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if !m.connected {
		m.opts.Log.Info("connected to the store", "prefix", m.opts.Prefix, "revision", m.state.Revision)
		if !m.lastResponse.IsZero() {
			m.reconnectedAt = now
		}
	}
	m.connected, m.lastResponse = true, now
}

func (m *Mirror) setDisconnected(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.connected {
		m.opts.Log.Warn("store unreachable, keeping the last known entries", "prefix", m.opts.Prefix, "revision", m.state.Revision, "error", err)
	}
	m.connected = false
}

// deferringDeletions reports whether deletions are deferred now. m.mu must be held.
func (m *Mirror) deferringDeletions(now time.Time) bool {
	return m.opts.DeletionGrace > 0 && (!m.connected || !m.reconnectedAt.IsZero() && now.Sub(m.reconnectedAt) < m.opts.DeletionGrace)
}

// replace sets the state from a list. Keys that are missing from it count as
// deleted.
func (m *Mirror) replace(next State) {
	m.mu.Lock()
	now := time.Now()
	if next.Revision < m.state.Revision {
		m.mu.Unlock()
		return
	}
	if m.deferringDeletions(now) {
		for key, e := range m.state.Entries {
			if _, ok := next.Entries[key]; !ok {
				next.Entries[key] = e
				m.deferDeletion(key, now)
			}
		}
	}
	// A key that was written again is no longer to be deleted.
	for key := range m.deferred {
		if e, ok := next.Entries[key]; ok && e.ModRevision != m.state.Entries[key].ModRevision {
			delete(m.deferred, key)
		}
	}
	m.state = next
	m.mu.Unlock()
	m.opts.OnChange(next)
}

func (m *Mirror) deferDeletion(key string, now time.Time) {
	if _, ok := m.deferred[key]; !ok {
		m.deferred[key] = now
	}
}

// apply applies the events of a watch.
func (m *Mirror) apply(batch store.WatchBatch) {
	m.mu.Lock()
	if len(batch.Events) == 0 {
		m.state.Revision = max(m.state.Revision, batch.Revision)
		m.mu.Unlock()
		return
	}
	now := time.Now()
	entries := cloneEntries(m.state.Entries)
	for _, e := range batch.Events {
		if old, ok := entries[e.Key]; ok && old.ModRevision > e.ModRevision {
			continue
		}
		switch {
		case !e.Deleted:
			entries[e.Key] = e.Entry
			delete(m.deferred, e.Key)
		case m.deferringDeletions(now):
			m.deferDeletion(e.Key, now)
		default:
			delete(entries, e.Key)
			delete(m.deferred, e.Key)
		}
	}
	m.state = State{Entries: entries, Revision: max(m.state.Revision, batch.Revision)}
	state := m.state
	m.mu.Unlock()
	m.opts.OnChange(state)
}

// applyDeferred applies the deferred deletions once the grace period is over.
func (m *Mirror) applyDeferred(now time.Time) {
	m.mu.Lock()
	if len(m.deferred) == 0 || m.deferringDeletions(now) {
		m.mu.Unlock()
		return
	}
	entries := cloneEntries(m.state.Entries)
	for key := range m.deferred {
		delete(entries, key)
	}
	clear(m.deferred)
	m.state = State{Entries: entries, Revision: m.state.Revision}
	state := m.state
	m.mu.Unlock()
	m.opts.OnChange(state)
}

func cloneEntries(entries map[string]store.Entry) map[string]store.Entry {
	clone := make(map[string]store.Entry, len(entries)+1)
	for key, e := range entries {
		clone[key] = e
	}
	return clone
}
