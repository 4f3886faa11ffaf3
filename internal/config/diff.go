package config

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
)

// EntryWrite puts or deletes one entry. A change of the configuration consists of one or
// more of them.
type EntryWrite struct {
	Section string          `json:"section"`
	Name    string          `json:"name"`
	Value   json.RawMessage `json:"value,omitempty"`
	Delete  bool            `json:"delete,omitempty"`
}

// NewPut returns the write that puts an entry. value is one of the entry types.
func NewPut(section, name string, value any) (EntryWrite, error) {
	encoded, err := json.Marshal(value)
	return EntryWrite{Section: section, Name: name, Value: encoded}, err
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
	for _, sectionName := range slices.Sorted(maps.Keys(sections)) {
		oldValues, newValues := sections[sectionName].encode(before), sections[sectionName].encode(after)
		allNames := maps.Clone(newValues)
		if allNames == nil {
			allNames = make(map[string]json.RawMessage)
		}
		maps.Copy(allNames, oldValues)
		for _, entryName := range slices.Sorted(maps.Keys(allNames)) {
			if !bytes.Equal(oldValues[entryName], newValues[entryName]) {
				differences = append(differences, Difference{
					Section: sectionName, Name: entryName, Before: oldValues[entryName], After: newValues[entryName],
				})
			}
		}
	}
	return differences
}

// EntryWrites returns the writes that turn before into after.
func EntryWrites(before, after *Snapshot) []EntryWrite {
	var writes []EntryWrite
	for _, d := range Diff(before, after) {
		writes = append(writes, EntryWrite{Section: d.Section, Name: d.Name, Value: d.After, Delete: d.After == nil})
	}
	return writes
}
