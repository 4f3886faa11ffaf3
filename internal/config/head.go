package config

import (
	"encoding/json"
	"fmt"

	"github.com/google/uuid"

	"github.com/monsoonworks/monsoonworks/internal/store"
)

// HistoryKey is the key of the History. It is outside the prefix that is
// distributed, because only writers need it.
const HistoryKey = "/mw/config/history"

const (
	// recentChanges is how many earlier changes the history names. After a lost
	// answer a writer recognises its own change among them, so this is the
	// number of others' changes that may follow before it reads back.
	recentChanges = 64
	// recentDeletions is how many deletions the history names for conflicts.
	recentDeletions = 64
)

// Head is the record that each change of the configuration replaces. Its store
// revision is the configuration's version. It is small, because each change
// sends it to every node.
type Head struct {
	// Number counts the changes.
	Number uint64 `json:"number"`
	// Change identifies the last change.
	Change    uuid.UUID `json:"change"`
	Author    string    `json:"author,omitempty"`
	UnixMilli int64     `json:"unix_milli"`
}

// History names recent changes. Each change replaces it together with the head.
type History struct {
	// Recent names the changes before the last one, newest first.
	Recent []RecentChange `json:"recent,omitempty"`
	// Deleted names recent deletions, newest first.
	Deleted []Deletion `json:"deleted,omitempty"`
}

// RecentChange is an earlier change and the version that it made.
type RecentChange struct {
	Change  uuid.UUID `json:"change"`
	Version int64     `json:"version"`
}

// Deletion is an entry that was deleted by a change made on a base version.
type Deletion struct {
	Section string `json:"section"`
	Name    string `json:"name"`
	Base    int64  `json:"base"`
}

func (s *Snapshot) setHead(e store.Event) error {
	if e.Deleted {
		return fmt.Errorf("head: deleted at revision %d", e.ModRevision)
	}
	var head Head
	if err := decodeHead(e.Value, &head); err != nil {
		return err
	}
	s.Head, s.Version = head, max(s.Version, e.ModRevision)
	return nil
}

// decodeHead ignores unknown fields, so that a newer tool can add some while
// older nodes run.
func decodeHead(data []byte, head *Head) error {
	if len(data) > maxEntryBytes {
		return fmt.Errorf("head: %d bytes are over the limit of %d", len(data), maxEntryBytes)
	}
	if err := json.Unmarshal(data, head); err != nil {
		return fmt.Errorf("head: %w", err)
	}
	return nil
}

// decodeHistory returns the history that belongs to a head. A history that is
// damaged or older than the head tells nothing.
func decodeHistory(e store.Entry, headRevision int64) History {
	var h History
	if e.ModRevision != headRevision || json.Unmarshal(e.Value, &h) != nil {
		return History{}
	}
	return h
}

// after returns the history that follows h when changes are made to s.
func (h History) after(s *Snapshot, changes []Change) History {
	var next History
	if s.Version > 0 {
		next.Recent = append(next.Recent, RecentChange{Change: s.Head.Change, Version: s.Version})
	}
	next.Recent = append(next.Recent, h.Recent...)
	next.Recent = next.Recent[:min(len(next.Recent), recentChanges)]
	for _, c := range changes {
		if c.Delete {
			next.Deleted = append(next.Deleted, Deletion{Section: c.Section, Name: c.Name, Base: s.Version})
		}
	}
	next.Deleted = append(next.Deleted, h.Deleted...)
	next.Deleted = next.Deleted[:min(len(next.Deleted), recentDeletions)]
	return next
}

// versionOf returns the version that a change made, or 0 if neither the head nor
// the history names it.
func (h History) versionOf(s *Snapshot, id uuid.UUID) int64 {
	if s.Head.Change == id {
		return s.Version
	}
	for _, r := range h.Recent {
		if r.Change == id {
			return r.Version
		}
	}
	return 0
}
