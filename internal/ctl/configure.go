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

// LoadConfig reads the current configuration from the store. faults joins the
// errors of the entries that cannot be decoded; snapshot omits these entries.
func LoadConfig(ctx context.Context, kv store.KV) (snapshot *config.Snapshot, faults, err error) {
	read, err := kv.List(ctx, config.Prefix)
	if err != nil {
		return nil, nil, err
	}
	snapshot, faults = config.Load(read.Entries)
	return snapshot, faults, nil
}

// LoadDeployed reads the current configuration. It fails with ErrNoConfig if the
// store has no deployment entry.
func LoadDeployed(ctx context.Context, kv store.KV) (*config.Snapshot, error) {
	snapshot, _, err := LoadConfig(ctx, kv)
	if err == nil && snapshot.Deployment.Shards == 0 {
		err = ErrNoConfig
	}
	return snapshot, err
}

// FieldChange is a field whose value differs, with the reason for the new value.
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

// ConfigDiff is the difference between the current configuration and a generated
// one.
type ConfigDiff struct {
	// Version is the current version, the base of a later apply.
	Version int64  `json:"version"`
	Author  string `json:"author,omitempty"`
	// Applied is the version that Apply created, 0 if nothing was applied.
	Applied int64         `json:"applied_version,omitempty"`
	Changes []EntryChange `json:"changes"`
	// Faults holds the errors of current entries that cannot be decoded.
	Faults string `json:"faults,omitempty"`

	entries []config.Change
}

// Diff compares a generated configuration with the current one.
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
	before, after := entryFields(d.Before), entryFields(d.After)
	names := maps.Clone(before)
	maps.Copy(names, after)
	for _, field := range slices.Sorted(maps.Keys(names)) {
		if bytes.Equal(before[field], after[field]) {
			continue
		}
		change := FieldChange{Field: field, Before: before[field], After: after[field]}
		if reasons := g.Explain(d.Section, d.Name, field); len(reasons) > 0 {
			change.Because = reasons[0].Because
		}
		c.Fields = append(c.Fields, change)
	}
	return c
}

// entryFields splits an entry into its fields. Every configuration entry is
// encoded as a JSON object, so the decoding error can be ignored.
func entryFields(entry json.RawMessage) map[string]json.RawMessage {
	fields := map[string]json.RawMessage{}
	_ = json.Unmarshal(entry, &fields)
	return fields
}

// Apply writes the differences in one transaction if the current configuration
// is still at version base. Otherwise it fails with *config.ConflictError and
// changes nothing.
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

// ConfigView is the current configuration, or a part of it.
type ConfigView struct {
	Version int64     `json:"version"`
	Number  uint64    `json:"number"`
	Author  string    `json:"author,omitempty"`
	Changed time.Time `json:"changed"`
	Entries []Entry   `json:"entries"`
	Faults  string    `json:"faults,omitempty"`
}

// Entry is one entry of the current configuration.
type Entry struct {
	Section string          `json:"section"`
	Name    string          `json:"name"`
	Value   json.RawMessage `json:"value"`
}

// Show returns the current configuration. selector limits it to "SECTION" or
// "SECTION/NAME"; an empty selector selects all entries.
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

// Reasons is a list of generated values, each with the reason for it.
type Reasons struct {
	Values []questionnaire.Explanation `json:"values"`
}

// ExplainValues returns generated values with their reasons. selector limits
// them to "SECTION" or "SECTION/NAME", field to one field; empty strings select
// all.
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

// Message is a result that consists of one line of text.
type Message struct {
	Message string `json:"message"`
}

// Tables implements Result.
func (m Message) Tables() []Table { return []Table{{Title: m.Message}} }
