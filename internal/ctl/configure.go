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

// LoadConfig reads the configuration from the store. faults tells of entries that
// cannot be decoded; the snapshot is without them.
func LoadConfig(ctx context.Context, kv store.KV) (snapshot *config.Snapshot, faults, err error) {
	read, err := kv.List(ctx, config.Prefix)
	if err != nil {
		return nil, nil, err
	}
	snapshot, faults = config.Load(read.Entries)
	return snapshot, faults, nil
}

// LoadDeployed returns the deployment's entry, or ErrNoConfig.
func LoadDeployed(ctx context.Context, kv store.KV) (*config.Snapshot, error) {
	snapshot, _, err := LoadConfig(ctx, kv)
	if err == nil && snapshot.Deployment.Shards == 0 {
		err = ErrNoConfig
	}
	return snapshot, err
}

// FieldChange is a value that differs, with the reason for the new one.
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

// EntryChange is an entry that differs.
type EntryChange struct {
	Section string        `json:"section"`
	Name    string        `json:"name"`
	Action  string        `json:"action"`
	Fields  []FieldChange `json:"fields,omitempty"`
}

// ConfigDiff is how a generated configuration differs from the one in force.
type ConfigDiff struct {
	// Version is the one in force, on which an apply is to be based.
	Version int64  `json:"version"`
	Author  string `json:"author,omitempty"`
	// Applied is the version that an apply made, 0 if nothing was applied.
	Applied int64         `json:"applied_version,omitempty"`
	Changes []EntryChange `json:"changes"`
	// Faults tells of entries in force that cannot be decoded.
	Faults string `json:"faults,omitempty"`

	entries []config.Change
}

// Diff compares a generated configuration with the one in force.
func Diff(ctx context.Context, kv store.KV, g *questionnaire.Generated) (*ConfigDiff, error) {
	current, faults, err := LoadConfig(ctx, kv)
	if err != nil {
		return nil, err
	}
	d := &ConfigDiff{Version: current.Version, Author: current.Head.Author, Changes: []EntryChange{}}
	if faults != nil {
		d.Faults = faults.Error()
	}
	d.entries = config.Changes(current, g.Snapshot)
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
		if why := g.Explain(d.Section, d.Name, field); len(why) > 0 {
			change.Because = why[0].Because
		}
		c.Fields = append(c.Fields, change)
	}
	return c
}

// fieldsOf splits an entry into its fields. Entries that the configuration
// encodes are always objects.
func fieldsOf(entry json.RawMessage) map[string]json.RawMessage {
	fields := map[string]json.RawMessage{}
	_ = json.Unmarshal(entry, &fields)
	return fields
}

// Apply makes the differences of d the configuration in force, if that is still
// at version base. It fails with *config.ConflictError if it is not, and then
// nothing was changed. All differences are applied in one transaction.
func (d *ConfigDiff) Apply(ctx context.Context, kv store.KV, base int64, author string) error {
	if len(d.entries) == 0 {
		return nil
	}
	version, err := config.Apply(ctx, kv, base, d.entries, author)
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
	Version int64     `json:"version"`
	Number  uint64    `json:"number"`
	Author  string    `json:"author,omitempty"`
	Changed time.Time `json:"changed"`
	Entries []Entry   `json:"entries"`
	Faults  string    `json:"faults,omitempty"`
}

// Entry is one entry in force.
type Entry struct {
	Section string          `json:"section"`
	Name    string          `json:"name"`
	Value   json.RawMessage `json:"value"`
}

// Show returns the configuration in force, limited to a section or to one entry
// "SECTION/NAME" if selector is not empty.
func Show(ctx context.Context, kv store.KV, selector string) (*ConfigView, error) {
	snapshot, faults, err := LoadConfig(ctx, kv)
	if err != nil {
		return nil, err
	}
	v := &ConfigView{
		Version: snapshot.Version, Number: snapshot.Head.Number, Author: snapshot.Head.Author,
		Changed: time.UnixMilli(snapshot.Head.UnixMilli).UTC(), Entries: []Entry{},
	}
	if faults != nil {
		v.Faults = faults.Error()
	}
	section, name, _ := strings.Cut(selector, "/")
	for _, d := range config.Diff(config.Empty(), snapshot) {
		if (section == "" || section == d.Section) && (name == "" || name == d.Name) {
			v.Entries = append(v.Entries, Entry{Section: d.Section, Name: d.Name, Value: d.After})
		}
	}
	if selector != "" && len(v.Entries) == 0 {
		return nil, Input("nothing in force matches %q", selector)
	}
	return v, nil
}

// Tables implements Result.
func (v *ConfigView) Tables() []Table {
	t := Table{
		Title:   fmt.Sprintf("version %d, change %d by %s at %s", v.Version, v.Number, orNone(v.Author), v.Changed.Format(time.RFC3339)),
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

// Reasons are generated values with their reasons.
type Reasons struct {
	Values []questionnaire.Explanation `json:"values"`
}

// ExplainValues returns the reasons of generated values, limited to a section, an entry
// "SECTION/NAME" or a field of it if selector or field is not empty.
func ExplainValues(g *questionnaire.Generated, selector, field string) (*Reasons, error) {
	section, name, _ := strings.Cut(selector, "/")
	r := &Reasons{}
	for _, e := range g.Explanations {
		if (section == "" || section == e.Section) && (name == "" || name == e.Name) && (field == "" || field == e.Field) {
			r.Values = append(r.Values, e)
		}
	}
	if len(r.Values) == 0 {
		return nil, Input("the answers generate nothing that matches %q %q", selector, field)
	}
	return r, nil
}

// Tables implements Result.
func (r *Reasons) Tables() []Table {
	t := Table{Columns: []string{"entry", "field", "value", "because"}}
	for _, e := range r.Values {
		t.Rows = append(t.Rows, []string{e.Section + "/" + e.Name, e.Field, string(e.Value), e.Because})
	}
	return []Table{t}
}

// GeneratedView is a generated configuration.
type GeneratedView struct {
	Changes      []config.Change             `json:"entries"`
	Explanations []questionnaire.Explanation `json:"explanations"`
	Budgets      []questionnaire.Budget      `json:"budgets"`
}

// Tables implements Result.
func (g GeneratedView) Tables() []Table {
	entries := Table{Columns: []string{"section", "name", "value"}}
	for _, c := range g.Changes {
		entries.Rows = append(entries.Rows, []string{c.Section, c.Name, string(c.Value)})
	}
	budgets := Table{Title: "budgets, to be made with \"budget create\"", Columns: []string{"budget", "topped up by", "first top-up tokens"}}
	for _, b := range g.Budgets {
		budgets.Rows = append(budgets.Rows, []string{string(b.ID()), b.ToppedUpBy, fmt.Sprint(b.FirstTopUpTokens)})
	}
	return []Table{entries, budgets}
}

// Message is a result of one line.
type Message struct {
	Message string `json:"message"`
}

// Tables implements Result.
func (m Message) Tables() []Table { return []Table{{Title: m.Message}} }
