package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/config"
	"github.com/monsoonworks/monsoonworks/internal/questionnaire"
	"github.com/monsoonworks/monsoonworks/internal/store"
)

// ReadConfig reads the configuration from the store. faults joins the errors of
// entries that cannot be decoded; the snapshot omits these entries.
func ReadConfig(ctx context.Context, kv store.KV) (snapshot *config.Snapshot, faults, err error) {
	list, err := kv.List(ctx, config.Prefix)
	if err != nil {
		return nil, nil, err
	}
	snapshot, faults = config.Load(list.Entries)
	return snapshot, faults, nil
}

// ReadDeployedConfig reads the configuration from the store. It fails with
// ErrNoConfig if none has been applied yet.
func ReadDeployedConfig(ctx context.Context, kv store.KV) (*config.Snapshot, error) {
	snapshot, _, err := ReadConfig(ctx, kv)
	if err == nil && snapshot.Deployment.Shards == 0 {
		err = ErrNoConfig
	}
	return snapshot, err
}

// FieldChange is a changed field of a configuration entry, with the reason for the
// new value.
type FieldChange struct {
	Field   string          `json:"field"`
	Before  json.RawMessage `json:"before,omitempty"`
	After   json.RawMessage `json:"after,omitempty"`
	Because string          `json:"because,omitempty"`
}

// Actions of an EntryChange.
const (
	ActionAdd    = "add"
	ActionChange = "change"
	ActionRemove = "remove"
)

// EntryChange is a configuration entry that is added, changed or removed.
type EntryChange struct {
	Section string        `json:"section"`
	Name    string        `json:"name"`
	Action  string        `json:"action"`
	Fields  []FieldChange `json:"fields,omitempty"`
}

// ConfigDiff is the difference between a generated configuration and the one in
// force.
type ConfigDiff struct {
	// Version is the version in force that was compared, the base for
	// "config apply".
	Version int64  `json:"version"`
	Author  string `json:"author,omitempty"`
	// Applied is the version that Apply created, 0 if nothing was applied.
	Applied int64         `json:"applied_version,omitempty"`
	Changes []EntryChange `json:"changes"`
	// Faults lists the entries in force that cannot be decoded.
	Faults string `json:"faults,omitempty"`

	// writes are the puts and deletions that Apply commits.
	writes []config.EntryWrite
}

// DiffConfig compares a generated configuration with the one in force.
func DiffConfig(ctx context.Context, kv store.KV, g *questionnaire.Generated) (*ConfigDiff, error) {
	current, faults, err := ReadConfig(ctx, kv)
	if err != nil {
		return nil, err
	}
	d := &ConfigDiff{Version: current.Version, Author: current.Head.Author, Changes: []EntryChange{}}
	if faults != nil {
		d.Faults = faults.Error()
	}
	d.writes = config.EntryWrites(current, g.Snapshot)
	for _, difference := range config.Diff(current, g.Snapshot) {
		d.Changes = append(d.Changes, entryChange(difference, g))
	}
	return d, nil
}

func entryChange(d config.Difference, g *questionnaire.Generated) EntryChange {
	c := EntryChange{Section: d.Section, Name: d.Name, Action: ActionChange}
	switch {
	case d.Before == nil:
		c.Action = ActionAdd
	case d.After == nil:
		c.Action = ActionRemove
		return c
	}
	before, after := fieldsOf(d.Before), fieldsOf(d.After)
	names := maps.Clone(before)
	maps.Copy(names, after)
	for _, field := range slices.Sorted(maps.Keys(names)) {
		if bytes.Equal(before[field], after[field]) {
			continue
		}
		change := FieldChange{Field: field, Before: before[field], After: after[field]}
		if reasons := g.Explain(d.Section, d.Name, field); len(reasons) > 0 {
			change.Because = reasons[0].Reason
		}
		c.Fields = append(c.Fields, change)
	}
	return c
}

// fieldsOf splits an entry into its fields. The decoding error is ignored because
// package config encodes every entry as a JSON object.
func fieldsOf(entry json.RawMessage) map[string]json.RawMessage {
	fields := map[string]json.RawMessage{}
	_ = json.Unmarshal(entry, &fields)
	return fields
}

// Apply commits the writes of d to the store in one transaction. If the
// configuration in force is no longer at version base, it changes nothing and
// fails with a *config.ConflictError.
func (d *ConfigDiff) Apply(ctx context.Context, kv store.KV, base int64, author string) error {
	if len(d.writes) == 0 {
		return nil
	}
	version, err := config.Apply(ctx, kv, base, d.writes, author)
	if err == nil {
		d.Applied = version
	}
	return err
}

// Tables implements Result.
func (d *ConfigDiff) Tables() []Table {
	t := Table{
		Title:   fmt.Sprintf("compared with version %d in force", d.Version),
		Columns: []string{"action", "entry", "field", "before", "after", "because"},
	}
	switch {
	case d.Applied != 0:
		t.Title = fmt.Sprintf("applied as version %d on top of version %d", d.Applied, d.Version)
	case len(d.Changes) == 0:
		t.Title = fmt.Sprintf("nothing differs from version %d in force", d.Version)
	}
	for _, c := range d.Changes {
		entry := c.Section + "/" + c.Name
		if len(c.Fields) == 0 {
			t.Rows = append(t.Rows, []string{c.Action, entry, "", "", "", "no answer names it"})
		}
		for _, f := range c.Fields {
			t.Rows = append(t.Rows, []string{c.Action, entry, f.Field, string(f.Before), string(f.After), f.Because})
		}
	}
	tables := []Table{t}
	if d.Faults != "" {
		tables = append(tables, Table{Title: "entries in force that cannot be decoded: " + d.Faults})
	}
	return tables
}

// ConfigView is the configuration in force.
type ConfigView struct {
	Version int64 `json:"version"`
	// Number counts the changes of the configuration.
	Number  uint64        `json:"number"`
	Author  string        `json:"author,omitempty"`
	Changed time.Time     `json:"changed"`
	Entries []ConfigEntry `json:"entries"`
	Faults  string        `json:"faults,omitempty"`
}

// ConfigEntry is one configuration entry in force.
type ConfigEntry struct {
	Section string          `json:"section"`
	Name    string          `json:"name"`
	Value   json.RawMessage `json:"value"`
}

// ReadConfigView returns the configuration in force. selector limits it to a section or to
// one entry "SECTION/NAME"; an empty selector selects all entries.
func ReadConfigView(ctx context.Context, kv store.KV, selector string) (*ConfigView, error) {
	snapshot, faults, err := ReadConfig(ctx, kv)
	if err != nil {
		return nil, err
	}
	v := &ConfigView{
		Version: snapshot.Version, Number: snapshot.Head.Number, Author: snapshot.Head.Author,
		Changed: time.UnixMilli(snapshot.Head.UnixMilli).UTC(), Entries: []ConfigEntry{},
	}
	if faults != nil {
		v.Faults = faults.Error()
	}
	section, name, _ := strings.Cut(selector, "/")
	for _, d := range config.Diff(config.Empty(), snapshot) {
		if (section == "" || section == d.Section) && (name == "" || name == d.Name) {
			v.Entries = append(v.Entries, ConfigEntry{Section: d.Section, Name: d.Name, Value: d.After})
		}
	}
	if selector != "" && len(v.Entries) == 0 {
		return nil, InputErrorf("nothing in force matches %q", selector)
	}
	return v, nil
}

// Tables implements Result.
func (v *ConfigView) Tables() []Table {
	t := Table{
		Title:   fmt.Sprintf("version %d, change %d by %s at %s", v.Version, v.Number, orDash(v.Author), v.Changed.Format(time.RFC3339)),
		Columns: []string{"section", "name", "value"},
	}
	for _, e := range v.Entries {
		t.Rows = append(t.Rows, []string{e.Section, e.Name, string(e.Value)})
	}
	tables := []Table{t}
	if v.Faults != "" {
		tables = append(tables, Table{Title: "entries that cannot be decoded: " + v.Faults})
	}
	return tables
}

// ValueReasons lists generated values with the reason for each.
type ValueReasons struct {
	Values []questionnaire.Explanation `json:"values"`
}

// ExplainValues returns the reasons for generated values. selector limits them to a
// section or an entry "SECTION/NAME", and field to one field; if empty, they match
// everything.
func ExplainValues(g *questionnaire.Generated, selector, field string) (*ValueReasons, error) {
	section, name, _ := strings.Cut(selector, "/")
	r := &ValueReasons{}
	for _, e := range g.Explanations {
		if (section == "" || section == e.Section) && (name == "" || name == e.Name) && (field == "" || field == e.Field) {
			r.Values = append(r.Values, e)
		}
	}
	if len(r.Values) == 0 {
		return nil, InputErrorf("the answers generate nothing that matches %q %q", selector, field)
	}
	return r, nil
}

// Tables implements Result.
func (r *ValueReasons) Tables() []Table {
	t := Table{Columns: []string{"entry", "field", "value", "because"}}
	for _, e := range r.Values {
		t.Rows = append(t.Rows, []string{e.Section + "/" + e.Name, e.Field, string(e.Value), e.Reason})
	}
	return []Table{t}
}

// GeneratedView is a configuration generated from an answers file, with the
// reason for each value and the budgets that the operator has to create.
type GeneratedView struct {
	Writes       []config.EntryWrite         `json:"entries"`
	Explanations []questionnaire.Explanation `json:"explanations"`
	Budgets      []questionnaire.Budget      `json:"budgets"`
}

// Tables implements Result.
func (g GeneratedView) Tables() []Table {
	entries := Table{Columns: []string{"section", "name", "value"}}
	for _, w := range g.Writes {
		entries.Rows = append(entries.Rows, []string{w.Section, w.Name, string(w.Value)})
	}
	budgets := Table{Title: "budgets, to be created with \"budget create\"", Columns: []string{"budget", "topped up by", "first top-up tokens"}}
	for _, b := range g.Budgets {
		budgets.Rows = append(budgets.Rows, []string{string(b.ID()), b.ToppedUpBy, fmt.Sprint(b.FirstTopUpTokens)})
	}
	return []Table{entries, budgets}
}

// Message is a result that consists of one line of text.
type Message struct {
	Message string `json:"message"`
}

// Tables implements Result.
func (m Message) Tables() []Table { return []Table{{Title: m.Message}} }
