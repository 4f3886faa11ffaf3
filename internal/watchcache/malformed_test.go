package watchcache

import (
	"bytes"
	"encoding/gob"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"github.com/monsoonworks/monsoonworks/internal/store"
)

func newIdleServer(t testing.TB) *Server {
	return NewServer(t.Context(), ServerOptions{Prefixes: []string{testPrefix}, Log: discardLogger, Metrics: metrics.NewRegistry()})
}

// A server must refuse calls that could not have come from a gate.
func TestMalformedCallsRefused(t *testing.T) {
	c := qt.New(t)
	s := newIdleServer(t)
	for _, args := range []NextArgs{
		{Gate: "", Prefix: testPrefix}, {Gate: "g", Prefix: "other/"}, {Gate: "g", Prefix: testPrefix, Revision: -1},
		{Gate: string(make([]byte, maxNameBytes+1)), Prefix: testPrefix},
	} {
		c.Check(s.Next(&args, &NextReply{}), qt.IsNotNil)
		if args.Revision == 0 {
			c.Check(s.List(&ListArgs{Gate: args.Gate, Prefix: args.Prefix}, &ListReply{}), qt.IsNotNil)
		}
	}
}

// A gate must not use replies that could not have come from a server that works: they would make it
// go back, or miss changes.
func TestMalformedRepliesRefused(t *testing.T) {
	c := qt.New(t)
	event := func(key string, revision int64) store.Event {
		return store.Event{Entry: store.Entry{Key: key, ModRevision: revision}}
	}
	for _, reply := range []NextReply{
		{Revision: 9},
		{Revision: 12, Events: []store.Event{event("q/a", 11)}},
		{Revision: 12, Events: []store.Event{event("p/a", 10)}},
		{Revision: 12, Events: []store.Event{event("p/a", 12), event("p/b", 11)}},
		{Revision: 11, Events: []store.Event{event("p/a", 12)}},
	} {
		c.Check(reply.validate(testPrefix, 10), qt.IsNotNil)
	}
	valid := NextReply{Revision: 12, Events: []store.Event{event("p/a", 11), event("p/b", 11), event("p/a", 12)}}
	c.Check(valid.validate(testPrefix, 10), qt.IsNil)
	c.Check((&NextReply{Revision: 10}).validate(testPrefix, 10), qt.IsNil)
	c.Check((&ListReply{}).validate(testPrefix, 0), qt.IsNotNil)
	list := ListReply{Snapshot: store.Snapshot{Revision: 3, Entries: []store.Entry{{Key: "q/a"}}}}
	c.Check(list.validate(testPrefix, 0), qt.IsNotNil)
}

// Whatever another process sends, calls and replies must be handled without a panic.
func FuzzWatchMessages(f *testing.F) {
	encode := func(message any) []byte {
		var b bytes.Buffer
		qt.Assert(f, gob.NewEncoder(&b).Encode(message), qt.IsNil)
		return b.Bytes()
	}
	f.Add(encode(&NextArgs{Gate: "g", Prefix: testPrefix, Revision: 7}))
	f.Add(encode(&NextReply{Revision: 8, Events: []store.Event{{Entry: store.Entry{Key: "p/a", ModRevision: 8}}}}))
	f.Add(encode(&ListReply{Snapshot: store.Snapshot{Revision: 8, Entries: []store.Entry{{Key: "p/a"}}}}))
	f.Fuzz(func(t *testing.T, raw []byte) {
		decode := func(message any) bool { return gob.NewDecoder(bytes.NewReader(raw)).Decode(message) == nil }
		s := newIdleServer(t)
		var next NextArgs
		if decode(&next) && s.Next(&next, &NextReply{}) == nil && (next.Gate == "" || next.Prefix != testPrefix) {
			t.Fatal("a malformed call was accepted")
		}
		var list ListArgs
		if decode(&list) {
			_ = s.List(&list, &ListReply{}) // may fail, but must not panic
		}
		var reply NextReply
		if decode(&reply) && reply.err() == nil && reply.validate(testPrefix, 7) == nil && reply.Revision < 7 {
			t.Fatal("a reply goes back")
		}
		var listed ListReply
		if decode(&listed) {
			_ = listed.validate(testPrefix, 0) // may fail, but must not panic
		}
	})
}
