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
	// maxTombstones bounds the deletions that a table remembers.
	maxTombstones = 4096
	// maxDeltaBytes is the size at which an answer to a poll is cut.
	maxDeltaBytes = 1 << 20
	// maxFullBytes bounds an answer that cannot be cut. It leaves room for the
	// host list below wire.MaxRPCBytes.
	maxFullBytes = 3 << 20
	// entryOverheadBytes is the encoded size of an entry besides key and value.
	entryOverheadBytes = 20
)

// interests selects keys; an empty one selects all.
type interests []string

func (in interests) match(key string) bool {
	for _, interest := range in {
		prefix, suffix, _ := strings.Cut(interest, "*")
		if strings.HasPrefix(key, prefix) && strings.HasSuffix(key[len(prefix):], suffix) {
			return true
		}
	}
	return len(in) == 0
}

// item is what a table knows about one key.
type item struct {
	value    []byte
	revision int64
	deleted  bool
}

// ref is a place of a key in the order of revisions. It is outdated if the key's
// item has another revision.
type ref struct {
	key      string
	revision int64
}

// table holds the keys under the sync prefix as one process knows them. Keys
// never move backwards. It is not safe for concurrent use.
//
// revision is the table's guarantee: each key has at least its last state up to
// revision, or it was changed after revision. Therefore a change at or below
// revision carries nothing new, even one of a key that the table does not have:
// that key was deleted since.
type table struct {
	interests  interests
	items      map[string]item
	order      []ref // by revision
	revision   int64
	horizon    int64 // deletions up to here may be unknown
	tombstones int
}

func newTable(in interests) *table {
	return &table{interests: in, items: make(map[string]item)}
}

// set records a newer state of a key and returns the event, or false if the
// table has it or a later one, or has no interest in it.
func (t *table) set(e wire.SyncEntry) (store.Event, bool) {
	old, known := t.items[e.Key]
	if e.ModRevision <= old.revision || !t.interests.match(e.Key) {
		return store.Event{}, false
	}
	if known && old.deleted {
		t.tombstones--
	}
	if e.Deleted {
		t.tombstones++
		e.Value = nil
	}
	t.items[e.Key] = item{value: e.Value, revision: e.ModRevision, deleted: e.Deleted}
	t.order = append(t.order, ref{key: e.Key, revision: e.ModRevision})
	return store.Event{
		Entry:   store.Entry{Key: e.Key, Value: e.Value, ModRevision: e.ModRevision},
		Deleted: e.Deleted,
	}, true
}

// applyDelta applies changes that are complete up to a revision, given that all
// changes up to some revision at or below t.revision are known. It returns what
// was new, in revision order.
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
	t.tidy()
	return events
}

// applyFull applies the whole state at a revision. It is ignored if the table is
// newer. Keys that are not part of it were deleted.
func (t *table) applyFull(entries []wire.SyncEntry, revision int64) []store.Event {
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
	for key, known := range t.items {
		if known.deleted || present[key] {
			continue
		}
		// The deletion's own revision is not known; it is not above this one.
		if event, ok := t.set(wire.SyncEntry{Key: key, ModRevision: revision, Deleted: true}); ok {
			events = append(events, event)
		}
	}
	t.revision, t.horizon = revision, max(t.horizon, revision)
	slices.SortStableFunc(t.order, func(a, b ref) int { return cmp.Compare(a.revision, b.revision) })
	t.tidy()
	return events
}

func sortByRevision(entries []wire.SyncEntry) {
	slices.SortStableFunc(entries, func(a, b wire.SyncEntry) int { return cmp.Compare(a.ModRevision, b.ModRevision) })
}

// tidy removes outdated places in the order and the oldest tombstones, when
// there are many, so that its cost is spread over many changes.
func (t *table) tidy() {
	if t.tombstones > maxTombstones {
		t.dropTombstones(t.tombstones / 2)
	}
	if len(t.order) > 2*len(t.items)+64 {
		t.order = slices.DeleteFunc(t.order, t.outdated)
	}
}

func (t *table) outdated(r ref) bool {
	known, ok := t.items[r.key]
	return !ok || known.revision != r.revision
}

func (t *table) dropTombstones(count int) {
	for _, r := range t.order {
		if count == 0 {
			return
		}
		if known := t.items[r.key]; known.deleted && known.revision == r.revision {
			delete(t.items, r.key)
			t.horizon = max(t.horizon, r.revision)
			t.tombstones--
			count--
		}
	}
}

// since returns the changes after a revision under some interests, in revision
// order. If they exceed the limit in bytes, they are cut between two revisions;
// up to is the revision up to which they are complete.
func (t *table) since(after int64, in interests, limit int) (entries []wire.SyncEntry, upTo int64) {
	start := sort.Search(len(t.order), func(i int) bool { return t.order[i].revision > after })
	size := 0
	for _, r := range t.order[start:] {
		if t.outdated(r) || !in.match(r.key) {
			continue
		}
		if size > limit && r.revision != entries[len(entries)-1].ModRevision {
			return entries, entries[len(entries)-1].ModRevision
		}
		known := t.items[r.key]
		entries = append(entries, wire.SyncEntry{
			Key: r.key, Value: known.value, ModRevision: r.revision, Deleted: known.deleted,
		})
		size += len(r.key) + len(known.value) + entryOverheadBytes
	}
	return entries, t.revision
}

// newer reports whether since would return anything.
func (t *table) newer(after int64, in interests) bool {
	start := sort.Search(len(t.order), func(i int) bool { return t.order[i].revision > after })
	for _, r := range t.order[start:] {
		if !t.outdated(r) && in.match(r.key) {
			return true
		}
	}
	return false
}

var errFullTooLarge = errors.New("the whole state does not fit in one answer")

// full returns all existing keys under some interests.
func (t *table) full(in interests) ([]wire.SyncEntry, error) {
	var entries []wire.SyncEntry
	size := 0
	for key, known := range t.items {
		if known.deleted || !in.match(key) {
			continue
		}
		entries = append(entries, wire.SyncEntry{Key: key, Value: known.value, ModRevision: known.revision})
		if size += len(key) + len(known.value) + entryOverheadBytes; size > maxFullBytes {
			return nil, errFullTooLarge
		}
	}
	return entries, nil
}

// keySet returns the hash of the set of existing keys under some interests.
func (t *table) keySet(in interests) uint64 {
	var set uint64
	for key, known := range t.items {
		if !known.deleted && in.match(key) {
			set ^= xxhash.Sum64String(key)
		}
	}
	return set
}
