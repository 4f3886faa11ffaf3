package config

import (
	"encoding/json"
	"fmt"

	"github.com/google/uuid"

	"github.com/monsoonworks/monsoonworks/internal/store"
)

const (
	// recentChanges is how many earlier changes a head names. After a lost
	// answer a writer recognises its own change among them, so this is the
	// number of others' changes that may follow before it reads back.
	recentChanges = 8
	// recentDeletions is how many deletions a head names for conflicts.
	recentDeletions = 16
)

// Head is the record that each change of the configuration replaces. Its store
// revision is the configuration's version.
type Head struct {
	// Number counts the changes.
	Number uint64 `json:"number"`
	// Change identifies the last change.
	Change    uuid.UUID `json:"change"`
	Author    string    `json:"author,omitempty"`
	UnixMilli int64     `json:"unix_milli"`
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

// after returns the head that follows s when changes are made to it.
func (s *Snapshot) after(id uuid.UUID, author string, unixMilli int64, changes []Change) Head {
	next := Head{Number: s.Head.Number + 1, Change: id, Author: author, UnixMilli: unixMilli}
	if s.Version > 0 {
		next.Recent = append(next.Recent, RecentChange{Change: s.Head.Change, Version: s.Version})
	}
	next.Recent = append(next.Recent, s.Head.Recent...)
	next.Recent = next.Recent[:min(len(next.Recent), recentChanges)]
	for _, c := range changes {
		if c.Delete {
			next.Deleted = append(next.Deleted, Deletion{Section: c.Section, Name: c.Name, Base: s.Version})
		}
	}
	next.Deleted = append(next.Deleted, s.Head.Deleted...)
	next.Deleted = next.Deleted[:min(len(next.Deleted), recentDeletions)]
	return next
}

// versionOf returns the version that a change made, or 0 if the head does not
// name it.
func (s *Snapshot) versionOf(id uuid.UUID) int64 {
	if s.Head.Change == id {
		return s.Version
	}
	for _, r := range s.Head.Recent {
		if r.Change == id {
			return r.Version
		}
	}
	return 0
}
