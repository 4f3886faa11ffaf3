package config

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
)

// Change puts or deletes one entry.
type Change struct {
	Section string          `json:"section"`
	Name    string          `json:"name"`
	Value   json.RawMessage `json:"value,omitempty"`
	Delete  bool            `json:"delete,omitempty"`
}

// Put returns the change that writes an entry. value is one of the entry types.
func Put(section, name string, value any) (Change, error) {
	encoded, err := json.Marshal(value)
	return Change{Section: section, Name: name, Value: encoded}, err
}

// Difference is an entry that differs between two snapshots. Before is nil if
// the entry was added, After is nil if it was removed.
type Difference struct {
	Section string          `json:"section"`
	Name    string          `json:"name"`
	Before  json.RawMessage `json:"before,omitempty"`
	After   json.RawMessage `json:"after,omitempty"`
}

// Diff returns the entries that differ between two snapshots, ordered by section and name.
func Diff(before, after *Snapshot) []Difference {
	var differences []Difference
	for _, name := range slices.Sorted(maps.Keys(sections)) {
		old, changed := sections[name].encode(before), sections[name].encode(after)
		names := maps.Clone(changed)
		if names == nil {
			names = make(map[string]json.RawMessage)
		}
		maps.Copy(names, old)
		for _, entry := range slices.Sorted(maps.Keys(names)) {
			if !bytes.Equal(old[entry], changed[entry]) {
				differences = append(differences, Difference{
					Section: name, Name: entry, Before: old[entry], After: changed[entry],
				})
			}
		}
	}
	return differences
}

// Changes returns the changes that turn before into after.
func Changes(before, after *Snapshot) []Change {
	var changes []Change
	for _, d := range Diff(before, after) {
		changes = append(changes, Change{Section: d.Section, Name: d.Name, Value: d.After, Delete: d.After == nil})
	}
	return changes
}
