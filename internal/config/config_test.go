package config

import (
	"encoding/json"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/store"
)

func deployment() Deployment {
	return Deployment{
		Name: "yukimi", Shards: 4, StoreRegion: "doo-central", RefusalWeight: 70,
		LinkBytesPerSecond: 3_750_000, KeyWindowSeconds: 3600,
		Regions: []Region{
			{Name: "doo-central", Domains: []string{"sapporo-a", "asahikawa-a"}},
			{Name: "doo-east", Domains: []string{"kushiro-a"}},
		},
	}
}

func workspace(name string) Workspace {
	return Workspace{Name: name, HomeRegion: "doo-central", MaxConcurrent: 10, RequestsPerSecond: 5}
}

func event(c *qt.C, section, name string, value any) store.Event {
	encoded, err := json.Marshal(value)
	c.Assert(err, qt.IsNil)
	return store.Event{Entry: store.Entry{Key: Key(section, name), Value: encoded}}
}

// Guards against invalid entries that are accepted, and against error messages that do not
// name the entry and the field.
func TestInvalidEntries(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct{ section, name, value, want string }{
		{"workspace", "a", `{"name":"a","home_region":"r","max_concurrent":0,"requests_per_second":1}`,
			`workspace "a": max_concurrent: 0 is not between 1 and .*`},
		{"workspace", "a", `{"name":"a","home_region":"r","max_concurrent":1,"requests_per_second":1,"colour":1}`,
			`workspace "a": json: unknown field "colour"`},
		{"workspace", "a", `{"name":"b","home_region":"r","max_concurrent":1,"requests_per_second":1}`,
			`workspace "a": name: "b" differs from .*`},
		{"workspace", "a", `{} {}`, `workspace "a": data after the JSON value`},
		{"model", "m", `{"name":"m","prompt_tokens_per_byte":2,"max_output_tokens":1,"deadline_millis":1}`,
			`model "m": prompt_tokens_per_byte: 2 is not above 0 and at most 1`},
		{"pool", "p", `{"name":"p","kind":"gpu","targets":["m","m"]}`,
			`pool "p": kind: "gpu" is neither "model" nor "service"\ntargets: "m" appears twice`},
		{"service", "s", `{"name":"s","idempotent_methods":["get"],"deadline_millis":1}`,
			`service "s": idempotent_methods\[0\]: "get" does not match .*`},
		{"deployment", "other", `{}`, `deployment "other": the only entry is "main"`},
		{"colour", "red", `{}`, `colour "red": unknown section`},
	} {
		next, err := Empty().With([]store.Event{{Entry: store.Entry{Key: Key(test.section, test.name), Value: []byte(test.value)}}})
		c.Check(err, qt.ErrorMatches, test.want)
		c.Check(next.Workspaces, qt.HasLen, 0)
	}
}

// Guards against undetected references to entries that do not exist.
func TestCheckReferences(t *testing.T) {
	c := qt.New(t)
	bad := workspace("a")
	bad.HomeRegion, bad.Models = "elsewhere", []string{"m"}
	s, err := Empty().With([]store.Event{
		event(c, SectionDeployment, DeploymentName, deployment()),
		event(c, SectionWorkspace, "a", bad),
		event(c, SectionPool, "p", Pool{Name: "p", Kind: PoolService, Targets: []string{"s"}}),
	})
	c.Assert(err, qt.IsNil)
	c.Assert(s.CheckReferences(), qt.ErrorMatches, `pool "p": targets: service "s" does not exist\n`+
		`workspace "a": home_region: "elsewhere" is not a region\nworkspace "a": models: "m" does not exist`)
}

// Guards against a change that modifies an earlier snapshot, an invalid entry that removes
// the valid one, and an update that decodes entries that did not change.
func TestSnapshotIsImmutableAndIncremental(t *testing.T) {
	c := qt.New(t)
	var events []store.Event
	for i := range 910 {
		name := fmt.Sprintf("w%03d", i)
		events = append(events, event(c, SectionWorkspace, name, workspace(name)))
	}
	first, err := Empty().With(events)
	c.Assert(err, qt.IsNil)
	changed := workspace("w007")
	changed.MaxConcurrent = 99
	update := []store.Event{event(c, SectionWorkspace, "w007", changed)}
	second, err := first.With(update)
	c.Assert(err, qt.IsNil)
	c.Assert(first.Workspaces["w007"].MaxConcurrent, qt.Equals, 10)
	c.Assert(second.Workspaces["w007"].MaxConcurrent, qt.Equals, 99)
	third, err := second.With([]store.Event{{Entry: store.Entry{Key: Key(SectionWorkspace, "w007"), Value: []byte("{")}}})
	c.Assert(err, qt.IsNotNil)
	c.Assert(third.Workspaces["w007"], qt.DeepEquals, changed)
	full := testing.AllocsPerRun(5, func() { _, _ = Empty().With(events) })
	single := testing.AllocsPerRun(5, func() { _, _ = first.With(update) })
	t.Logf("allocations: %.0f for all 910 entries, %.0f for one", full, single)
	c.Assert(single < full/50, qt.IsTrue)
}

// Guards against a diff that misses a difference, and against writes that do not turn one
// snapshot into the other.
func TestDiff(t *testing.T) {
	c := qt.New(t)
	before, err := Empty().With([]store.Event{
		event(c, SectionWorkspace, "a", workspace("a")), event(c, SectionWorkspace, "b", workspace("b")),
	})
	c.Assert(err, qt.IsNil)
	changed := workspace("b")
	changed.Priority = 3
	after, err := before.With([]store.Event{
		{Entry: store.Entry{Key: Key(SectionWorkspace, "a")}, Deleted: true},
		event(c, SectionWorkspace, "b", changed),
		event(c, SectionDeployment, DeploymentName, deployment()),
	})
	c.Assert(err, qt.IsNil)
	writes := EntryWrites(before, after)
	c.Assert(writes, qt.HasLen, 3)
	events := make([]store.Event, len(writes))
	for i, w := range writes {
		events[i] = store.Event{Entry: store.Entry{Key: Key(w.Section, w.Name), Value: w.Value}, Deleted: w.Delete}
	}
	again, err := before.With(events)
	c.Assert(err, qt.IsNil)
	c.Assert(Diff(again, after), qt.HasLen, 0)
}

// Guards against a holder record that is stored under another account's key.
func TestHolderKey(t *testing.T) {
	c := qt.New(t)
	account := budget.Account{Shard: 17, Region: "doo-east"}
	c.Assert(HolderKey(account), qt.Equals, "/mw/sync/holder/17/doo-east")
	parsed, err := ParseHolderKey(HolderKey(account))
	c.Assert(err, qt.IsNil)
	c.Assert(parsed, qt.Equals, account)
	for _, key := range []string{"/mw/sync/holder/017/r", "/mw/sync/holder/1", "/mw/sync/holder/-1/r", "/mw/sync/config/head"} {
		_, err := ParseHolderKey(key)
		c.Check(err, qt.ErrorIs, ErrInvalidHolderKey)
	}
}

// Guards against input that makes decoding panic, and against entries that change when they
// are encoded and decoded again.
func FuzzEntries(f *testing.F) {
	for section, value := range map[string]any{
		SectionDeployment: deployment(), SectionWorkspace: workspace("main"),
		SectionModel:   Model{Name: "main", PromptTokensPerByte: 0.5, MaxOutputTokens: 10, DeadlineMillis: 1},
		SectionService: Service{Name: "main", DeadlineMillis: 1, IdempotentMethods: []string{"GET"}},
		SectionPool:    Pool{Name: "main", Kind: PoolModel, Targets: []string{"m"}, MinUpShare: 0.5},
	} {
		encoded, _ := json.Marshal(value)
		f.Add(section, encoded)
	}
	head, _ := json.Marshal(Head{Number: 2, Change: uuid.Max, Author: "a"})
	f.Add("head", head)
	f.Add("holder", []byte(`{"epoch":1,"name":"n","address":"a","boot":"00000000-0000-0000-0000-000000000000"}`))
	f.Fuzz(func(t *testing.T, section string, value []byte) {
		_, _ = DecodeHolder(value)
		_, _ = Empty().With([]store.Event{{Entry: store.Entry{Key: HeadKey, Value: value, ModRevision: 1}}})
		key := Key(section, "main")
		s, err := Empty().With([]store.Event{{Entry: store.Entry{Key: key, Value: value}}})
		if err != nil || sections[section] == nil {
			return
		}
		encoded := sections[section].encode(s)["main"]
		again, err := Empty().With([]store.Event{{Entry: store.Entry{Key: key, Value: encoded}}})
		if err != nil || len(Diff(s, again)) != 0 {
			t.Fatalf("%s: %q becomes %q: %v", section, value, encoded, err)
		}
	})
}
