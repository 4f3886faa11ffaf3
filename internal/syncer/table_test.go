package syncer

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// history is a store's sequence of changes, one key at each revision.
type history []wire.SyncEntry

// at returns a table as a relay that has watched since one revision has it at
// another.
func (h history) at(start, end int64) *table {
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
	t.applyFull(full, start)
	t.applyDelta(append([]wire.SyncEntry(nil), h[start:end]...), end)
	return t
}

// Guards against a key that goes back to an earlier state, and against a missing
// change or deletion once an answer is complete, whatever relays of different
// ages answer in whatever order and however their answers are cut.
func TestTableNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h history
		for i := range rapid.IntRange(5, 60).Draw(t, "changes") {
			h = append(h, wire.SyncEntry{
				Key: fmt.Sprint("k", rapid.IntRange(0, 8).Draw(t, "key")), ModRevision: int64(i + 1),
				Value: []byte(fmt.Sprint(i)), Deleted: rapid.IntRange(0, 3).Draw(t, "delete") == 0,
			})
		}
		last := int64(len(h))
		follower := newTable(nil)
		for range rapid.IntRange(1, 15).Draw(t, "answers") {
			end := rapid.Int64Range(0, last).Draw(t, "relay's revision")
			relay := h.at(rapid.Int64Range(0, end).Draw(t, "relay's start"), end)
			limit := rapid.IntRange(1, 200).Draw(t, "limit")
			before := follower.revision
			items := make(map[string]item)
			for key, known := range follower.items {
				items[key] = known
			}
			follow(follower, relay, limit)
			if follower.revision < before {
				t.Fatalf("revision went from %d to %d", before, follower.revision)
			}
			for key, old := range items {
				if now := follower.items[key]; now.revision < old.revision {
					t.Fatalf("%s went from revision %d to %d", key, old.revision, now.revision)
				}
			}
		}
		relay := h.at(rapid.Int64Range(0, last).Draw(t, "last relay's start"), last)
		for follower.revision < last {
			follow(follower, relay, 30)
		}
		if follower.keySet(nil) != relay.keySet(nil) {
			full, _ := relay.full(nil)
			follower.applyFull(full, relay.revision)
		}
		want := h.at(last, last)
		for key, known := range follower.items {
			if !known.deleted && string(known.value) != string(want.items[key].value) {
				t.Fatalf("%s is %q, not %q", key, known.value, want.items[key].value)
			}
		}
		if follower.keySet(nil) != want.keySet(nil) {
			t.Fatalf("the sets of keys differ")
		}
	})
}

// follow applies one answer of a relay as a poll does.
func follow(follower, relay *table, limit int) {
	after := follower.revision
	entries, upTo := relay.since(after, nil, limit)
	follower.applyDelta(entries, upTo)
	if after < relay.horizon && upTo == relay.revision && follower.revision == upTo &&
		follower.keySet(nil) != relay.keySet(nil) {
		full, _ := relay.full(nil)
		follower.applyFull(full, relay.revision)
	}
}

// Guards against memory that grows with deletions for ever, and against a
// horizon that hides that they were forgotten.
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
	c.Assert(len(table.order) <= 3*maxTombstones, qt.IsTrue)
	entries, _ := table.since(table.horizon, nil, maxDeltaBytes)
	c.Assert(entries, qt.HasLen, table.tombstones)
}

// Guards against holder records of other regions in the memory of an agent.
func TestInterests(t *testing.T) {
	c := qt.New(t)
	in := interests{"/mw/sync/config/", "/mw/sync/holder/*/near"}
	for key, want := range map[string]bool{
		"/mw/sync/config/head": true, "/mw/sync/holder/12/near": true,
		"/mw/sync/holder/12/far": false, "/mw/sync/other": false, "/mw/sync/holder/near": false,
	} {
		c.Check(in.match(key), qt.Equals, want, qt.Commentf("%s", key))
	}
	c.Assert(interests(nil).match("anything"), qt.IsTrue)
}
