package syncer

import (
	"cmp"
	"errors"
	"slices"
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoonworks/monsoonworks/internal/store"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

const (
	// maxTombstones is the maximum number of tombstones in a table.
	maxTombstones = 4096
	// maxDeltaBytes is the size at which the reply to a poll is truncated.
	maxDeltaBytes = 1 << 20
	// maxSnapshotBytes is the maximum size of a snapshot, which cannot be truncated.
	// It leaves room for the host list below wire.MaxRPCBytes.
	maxSnapshotBytes = 3 << 20
	// entryOverheadBytes is the encoded size of an entry without key and value.
	entryOverheadBytes = 20
)

// keyPatterns selects the keys that match one of its patterns, or all keys if it is
// empty; see wire.SyncPollArgs.
type keyPatterns []string

func (patterns keyPatterns) match(key string) bool {
	for _, pattern := range patterns {
		prefix, suffix, _ := strings.Cut(pattern, "*")
		if strings.HasPrefix(key, prefix) && strings.HasSuffix(key[len(prefix):], suffix) {
			return true
		}
	}
	return len(patterns) == 0
}

// item is the state of one key. A deleted item is a tombstone.
type item struct {
	value    []byte
	revision int64
	deleted  bool
}

// logEntry records that a key was changed at a revision. It is superseded if the
// key's item has another revision.
type logEntry struct {
	key      string
	revision int64
}

// table is the replica of the keys under Prefix in one process. The revision of a
// key never decreases. A table is not safe for concurrent use.
//
// Invariant: the state of each key is the one that it had in the store at t.revision or
// later. Therefore a change at or below t.revision is not applied, even if its key is
// not in the table: such a key has been deleted since.
type table struct {
	patterns         keyPatterns
	items            map[string]item
	changeLog        []logEntry // ordered by revision
	revision         int64
	tombstoneHorizon int64 // tombstones up to this revision may be missing
	tombstones       int
}

func newTable(patterns keyPatterns) *table {
	return &table{patterns: patterns, items: make(map[string]item)}
}

// set applies a newer state of a key and returns the event. It returns false if
// the table has the same or a later state, or if the key does not match the
// patterns.
func (t *table) set(e wire.SyncEntry) (store.Event, bool) {
	existing, found := t.items[e.Key]
	if e.ModRevision <= existing.revision || !t.patterns.match(e.Key) {
		return store.Event{}, false
	}
	if found && existing.deleted {
		t.tombstones--
	}
	if e.Deleted {
		t.tombstones++
		e.Value = nil
	}
	t.items[e.Key] = item{value: e.Value, revision: e.ModRevision, deleted: e.Deleted}
	t.changeLog = append(t.changeLog, logEntry{key: e.Key, revision: e.ModRevision})
	return store.Event{
		Entry:   store.Entry{Key: e.Key, Value: e.Value, ModRevision: e.ModRevision},
		Deleted: e.Deleted,
	}, true
}

// applyDelta applies changes and returns the new ones in revision order. The changes
// must be complete from some revision at or below t.revision up to the given one.
func (t *table) applyDelta(entries []wire.SyncEntry, revision int64) []store.Event {
	if revision <= t.revision {
		return nil
	}
	sortByRevision(entries)
	var events []store.Event
	for _, e := range entries {
		if e.ModRevision <= t.revision || e.ModRevision > revision {
			continue
		}
		if event, ok := t.set(e); ok {
			events = append(events, event)
		}
	}
	t.revision = revision
	t.compact()
	return events
}

// applySnapshot applies a snapshot and returns the changes. It adds tombstones for
// the keys that are not in the snapshot. A snapshot older than the table is
// ignored.
func (t *table) applySnapshot(entries []wire.SyncEntry, revision int64) []store.Event {
	if revision < t.revision {
		return nil
	}
	sortByRevision(entries)
	present := make(map[string]bool, len(entries))
	var events []store.Event
	for _, e := range entries {
		present[e.Key] = !e.Deleted
		if event, ok := t.set(e); ok {
			events = append(events, event)
		}
	}
	for key, existing := range t.items {
		if existing.deleted || present[key] {
			continue
		}
		// The revision of the deletion is unknown, but not above the snapshot's.
		if event, ok := t.set(wire.SyncEntry{Key: key, ModRevision: revision, Deleted: true}); ok {
			events = append(events, event)
		}
	}
	t.revision, t.tombstoneHorizon = revision, max(t.tombstoneHorizon, revision)
	slices.SortStableFunc(t.changeLog, func(a, b logEntry) int { return cmp.Compare(a.revision, b.revision) })
	t.compact()
	return events
}

func sortByRevision(entries []wire.SyncEntry) {
	slices.SortStableFunc(entries, func(a, b wire.SyncEntry) int { return cmp.Compare(a.ModRevision, b.ModRevision) })
}

// compact drops the oldest tombstones and the superseded log entries. It does so only
// once there are many of them, which amortizes its cost over many changes.
func (t *table) compact() {
	if t.tombstones > maxTombstones {
		t.dropTombstones(t.tombstones / 2)
	}
	if len(t.changeLog) > 2*len(t.items)+64 {
		t.changeLog = slices.DeleteFunc(t.changeLog, t.superseded)
	}
}

// superseded reports whether the key was changed or dropped after the log entry.
func (t *table) superseded(le logEntry) bool {
	existing, ok := t.items[le.key]
	return !ok || existing.revision != le.revision
}

// dropTombstones drops the oldest tombstones and raises the tombstone horizon.
func (t *table) dropTombstones(count int) {
	for _, le := range t.changeLog {
		if count == 0 {
			return
		}
		if existing := t.items[le.key]; existing.deleted && existing.revision == le.revision {
			delete(t.items, le.key)
			t.tombstoneHorizon = max(t.tombstoneHorizon, le.revision)
			t.tombstones--
			count--
		}
	}
}

// changesAfter returns the changes after a revision that match the patterns, in
// revision order. Above the limit in bytes they are truncated between two
// revisions. upTo is the revision up to which they are complete.
func (t *table) changesAfter(after int64, patterns keyPatterns, limit int) (entries []wire.SyncEntry, upTo int64) {
	start := sort.Search(len(t.changeLog), func(i int) bool { return t.changeLog[i].revision > after })
	size := 0
	for _, le := range t.changeLog[start:] {
		if t.superseded(le) || !patterns.match(le.key) {
			continue
		}
		if size > limit && le.revision != entries[len(entries)-1].ModRevision {
			return entries, entries[len(entries)-1].ModRevision
		}
		existing := t.items[le.key]
		entries = append(entries, wire.SyncEntry{
			Key: le.key, Value: existing.value, ModRevision: le.revision, Deleted: existing.deleted,
		})
		size += len(le.key) + len(existing.value) + entryOverheadBytes
	}
	return entries, t.revision
}

// hasChangesAfter reports whether changesAfter would return any change.
func (t *table) hasChangesAfter(after int64, patterns keyPatterns) bool {
	start := sort.Search(len(t.changeLog), func(i int) bool { return t.changeLog[i].revision > after })
	for _, le := range t.changeLog[start:] {
		if !t.superseded(le) && patterns.match(le.key) {
			return true
		}
	}
	return false
}

var errSnapshotTooLarge = errors.New("the whole state does not fit in one answer")

// snapshot returns all existing keys that match the patterns. It fails with
// errSnapshotTooLarge above maxSnapshotBytes.
func (t *table) snapshot(patterns keyPatterns) ([]wire.SyncEntry, error) {
	var entries []wire.SyncEntry
	size := 0
	for key, existing := range t.items {
		if existing.deleted || !patterns.match(key) {
			continue
		}
		entries = append(entries, wire.SyncEntry{Key: key, Value: existing.value, ModRevision: existing.revision})
		if size += len(key) + len(existing.value) + entryOverheadBytes; size > maxSnapshotBytes {
			return nil, errSnapshotTooLarge
		}
	}
	return entries, nil
}

// keySetHash returns the hash of the set of existing keys that match the patterns;
// see wire.SyncPollReply.
func (t *table) keySetHash(patterns keyPatterns) uint64 {
	var hash uint64
	for key, existing := range t.items {
		if !existing.deleted && patterns.match(key) {
			hash ^= xxhash.Sum64String(key)
		}
	}
	return hash
}
