package syncer

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// changeHistory is the sequence of changes of a store, one key per revision.
type changeHistory []wire.SyncEntry

// tableAt returns the table at revision end of a distributor that has watched since
// revision start.
func (h changeHistory) tableAt(start, end int64) *table {
	t := newTable(nil)
	state := make(map[string]wire.SyncEntry)
	for _, e := range h[:start] {
		state[e.Key] = e
	}
	var full []wire.SyncEntry
	for _, e := range state {
		if !e.Deleted {
			full = append(full, e)
		}
	}
	t.applySnapshot(full, start)
	t.applyDelta(append([]wire.SyncEntry(nil), h[start:end]...), end)
	return t
}

// Guards against a key that reverts to an earlier state, and against missing a change
// or deletion after a complete reply. Replies come from distributors with different
// revisions, in any order, and are truncated at any size.
func TestTableIsMonotonic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h changeHistory
		for i := range rapid.IntRange(5, 60).Draw(t, "changes") {
			h = append(h, wire.SyncEntry{
				Key: fmt.Sprint("k", rapid.IntRange(0, 8).Draw(t, "key")), ModRevision: int64(i + 1),
				Value: []byte(fmt.Sprint(i)), Deleted: rapid.IntRange(0, 3).Draw(t, "delete") == 0,
			})
		}
		last := int64(len(h))
		follower := newTable(nil)
		for range rapid.IntRange(1, 15).Draw(t, "replies") {
			end := rapid.Int64Range(0, last).Draw(t, "distributor's revision")
			distributor := h.tableAt(rapid.Int64Range(0, end).Draw(t, "distributor's start"), end)
			limit := rapid.IntRange(1, 200).Draw(t, "limit")
			before := follower.revision
			items := make(map[string]item)
			for key, existing := range follower.items {
				items[key] = existing
			}
			applyReplyOf(follower, distributor, limit)
			if follower.revision < before {
				t.Fatalf("revision went from %d to %d", before, follower.revision)
			}
			for key, previous := range items {
				if current := follower.items[key]; current.revision < previous.revision {
					t.Fatalf("%s went from revision %d to %d", key, previous.revision, current.revision)
				}
			}
		}
		distributor := h.tableAt(rapid.Int64Range(0, last).Draw(t, "last distributor's start"), last)
		for follower.revision < last {
			applyReplyOf(follower, distributor, 30)
		}
		if follower.keySetHash(nil) != distributor.keySetHash(nil) {
			full, _ := distributor.snapshot(nil)
			follower.applySnapshot(full, distributor.revision)
		}
		want := h.tableAt(last, last)
		for key, existing := range follower.items {
			if !existing.deleted && string(existing.value) != string(want.items[key].value) {
				t.Fatalf("%s is %q, not %q", key, existing.value, want.items[key].value)
			}
		}
		if follower.keySetHash(nil) != want.keySetHash(nil) {
			t.Fatalf("the sets of keys differ")
		}
	})
}

// applyReplyOf applies one reply of a distributor like a poll.
func applyReplyOf(follower, distributor *table, limit int) {
	after := follower.revision
	entries, upTo := distributor.changesAfter(after, nil, limit)
	follower.applyDelta(entries, upTo)
	if after < distributor.tombstoneHorizon && upTo == distributor.revision && follower.revision == upTo &&
		follower.keySetHash(nil) != distributor.keySetHash(nil) {
		full, _ := distributor.snapshot(nil)
		follower.applySnapshot(full, distributor.revision)
	}
}

// Guards against memory use that grows with each deletion, and against a tombstone
// horizon that does not cover the dropped tombstones.
func TestTombstonesAreBounded(t *testing.T) {
	c := qt.New(t)
	table := newTable(nil)
	const deletions = 3 * maxTombstones
	for i := range int64(deletions) {
		key := fmt.Sprint("k", i)
		table.applyDelta([]wire.SyncEntry{{Key: key, ModRevision: 2*i + 1}}, 2*i+1)
		table.applyDelta([]wire.SyncEntry{{Key: key, ModRevision: 2*i + 2, Deleted: true}}, 2*i+2)
	}
	c.Assert(len(table.items) <= maxTombstones, qt.IsTrue)
	c.Assert(len(table.changeLog) <= 3*maxTombstones, qt.IsTrue)
	entries, _ := table.changesAfter(table.tombstoneHorizon, nil, maxDeltaBytes)
	c.Assert(entries, qt.HasLen, table.tombstones)
}

// Guards against agents that replicate holder records of other regions.
func TestKeyPatterns(t *testing.T) {
	c := qt.New(t)
	patterns := keyPatterns{"/mw/sync/config/", "/mw/sync/holder/*/near"}
	for key, want := range map[string]bool{
		"/mw/sync/config/head": true, "/mw/sync/holder/12/near": true,
		"/mw/sync/holder/12/far": false, "/mw/sync/other": false, "/mw/sync/holder/near": false,
	} {
		c.Check(patterns.match(key), qt.Equals, want, qt.Commentf("%s", key))
	}
	c.Assert(keyPatterns(nil).match("anything"), qt.IsTrue)
}
