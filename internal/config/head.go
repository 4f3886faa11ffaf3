package config

import (
	"encoding/json"
	"fmt"

	"github.com/google/uuid"

	"github.com/monsoonworks/monsoonworks/internal/store"
)

// HistoryKey is the store key of the History. It is outside the prefix that is distributed
// to routers and agents, because only writers need it.
const HistoryKey = "/mw/config/history"

const (
	// maxRecentChanges is the number of earlier changes in the history. After a lost reply
	// a writer looks for its own change there, and finds it unless more than this number of
	// other changes were committed in the meantime.
	maxRecentChanges = 64
	// maxRecentDeletions is the number of deletions in the history. A *ConflictError lists
	// those since its base.
	maxRecentDeletions = 64
)

// Head is the record that each change of the configuration replaces. Its store revision is
// the version of the configuration. It is kept small, because it is sent to every router and
// agent with each change.
type Head struct {
	// Number is the number of changes so far.
	Number uint64 `json:"number"`
	// Change is the ID of the latest change.
	Change uuid.UUID `json:"change"`
	// Author is the author of the latest change.
	Author string `json:"author,omitempty"`
	// UnixMilli is the time of the latest change by the clock of the process that made it.
	UnixMilli int64 `json:"unix_milli"`
}

// History lists recent changes. Each change replaces it together with the head.
type History struct {
	// Recent lists the changes before the latest one, newest first.
	Recent []RecentChange `json:"recent,omitempty"`
	// Deleted lists recent deletions, newest first.
	Deleted []Deletion `json:"deleted,omitempty"`
}

// RecentChange is an earlier change and the version that it created.
type RecentChange struct {
	Change  uuid.UUID `json:"change"`
	Version int64     `json:"version"`
}

// Deletion is a deleted entry and the base version of the change that deleted it.
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

// decodeHead ignores unknown fields, so that newer tools can add fields while older routers
// and agents are running.
func decodeHead(data []byte, head *Head) error {
	if len(data) > maxEntryBytes {
		return fmt.Errorf("head: %d bytes exceed the limit of %d", len(data), maxEntryBytes)
	}
	if err := json.Unmarshal(data, head); err != nil {
		return fmt.Errorf("head: %w", err)
	}
	return nil
}

// decodeHistory returns the history that was written with the head. A corrupt history or
// one of another revision counts as empty.
func decodeHistory(e store.Entry, headRevision int64) History {
	var h History
	if e.ModRevision != headRevision || json.Unmarshal(e.Value, &h) != nil {
		return History{}
	}
	return h
}

// withWrites returns the history that is stored together with a change that applies writes
// to s. h is the history at s.
func (h History) withWrites(s *Snapshot, writes []EntryWrite) History {
	var next History
	if s.Version > 0 {
		next.Recent = append(next.Recent, RecentChange{Change: s.Head.Change, Version: s.Version})
	}
	next.Recent = append(next.Recent, h.Recent...)
	next.Recent = next.Recent[:min(len(next.Recent), maxRecentChanges)]
	for _, w := range writes {
		if w.Delete {
			next.Deleted = append(next.Deleted, Deletion{Section: w.Section, Name: w.Name, Base: s.Version})
		}
	}
	next.Deleted = append(next.Deleted, h.Deleted...)
	next.Deleted = next.Deleted[:min(len(next.Deleted), maxRecentDeletions)]
	return next
}

// versionOf returns the version that a change created, or 0 if it is neither in the head nor
// in the history.
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
