package watchcache

import (
	"bytes"
	"encoding/gob"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonworks/monsoonworks/internal/store"
)

// A value that another writer left must not make a reply malformed, or change other entries.
func TestOddValuesCarried(t *testing.T) {
	c := qt.New(t)
	var entries []store.Entry
	var events []store.Event
	for i, value := range []string{
		"sound", "", "null", "\x00\xff\xfe", strings.Repeat("[", 1<<20), strings.Repeat(`{"a":`, 100_000), `{"slots":1e999}`, `{"seq":99999999999999999999}`, "sound",
	} {
		e := store.Entry{Key: testPrefix + strings.Repeat("k", i), Value: []byte(value), ModRevision: int64(11 + i)}
		entries, events = append(entries, e), append(events, store.Event{Entry: e})
	}
	copyOver := func(from, to any) {
		var b bytes.Buffer
		c.Assert(gob.NewEncoder(&b).Encode(from), qt.IsNil)
		c.Assert(gob.NewDecoder(&b).Decode(to), qt.IsNil)
	}
	var next NextReply
	copyOver(&NextReply{Revision: 19, Events: events}, &next)
	c.Assert(next.validate(testPrefix, 10), qt.IsNil)
	var list ListReply
	copyOver(&ListReply{Snapshot: store.Snapshot{Revision: 19, Entries: entries}}, &list)
	c.Assert(list.validate(testPrefix, 0), qt.IsNil)
	for i, e := range entries {
		c.Check(next.Events[i].Key == e.Key && bytes.Equal(next.Events[i].Value, e.Value), qt.IsTrue)
		c.Check(list.Snapshot.Entries[i].Key == e.Key && bytes.Equal(list.Snapshot.Entries[i].Value, e.Value), qt.IsTrue)
	}
}
