package memstore

import (
	"context"
	"sort"
	"strings"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/store"
)

func eventBytes(e store.Event) int { return len(e.Key) + len(e.Value) + eventOverheadBytes }

func (s *Store) appendHistory(e store.Event) {
	s.history = append(s.history, e)
	s.historyBytes += eventBytes(e)
}

// Compact discards the events up to a revision. A watch that still needs one of them
// ends with store.ErrCompacted.
func (s *Store) Compact(revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactTo(min(revision, s.revision))
}

// compactTo discards the events up to a revision. The caller holds mu.
func (s *Store) compactTo(revision int64) {
	first := s.firstAfter(revision)
	for _, e := range s.history[:first] {
		s.historyBytes -= eventBytes(e)
	}
	s.history = append([]store.Event(nil), s.history[first:]...)
	s.compactedRevision = max(s.compactedRevision, revision)
}

// firstAfter returns the index of the first event after a revision.
func (s *Store) firstAfter(revision int64) int {
	return sort.Search(len(s.history), func(i int) bool { return s.history[i].ModRevision > revision })
}

// Watch implements store.Watcher. An idle watch gets a progress notification once per
// ProgressInterval.
func (s *Store) Watch(ctx context.Context, prefix string, from int64) (<-chan store.WatchBatch, error) {
	out := make(chan store.WatchBatch)
	go s.watch(ctx, prefix, from, out)
	return out, nil
}

func (s *Store) watch(ctx context.Context, prefix string, from int64, out chan<- store.WatchBatch) {
	defer close(out)
	ticker := time.NewTicker(s.opts.ProgressInterval)
	defer ticker.Stop()
	sendProgress := false
	for {
		batch, changed := s.eventsAfter(prefix, from)
		from = max(from, batch.Revision)
		if len(batch.Events) > 0 || batch.Err != nil || sendProgress {
			select {
			case out <- batch:
				ticker.Reset(s.opts.ProgressInterval)
			case <-ctx.Done():
				return
			}
			if batch.Err != nil {
				return
			}
		}
		sendProgress = false
		select {
		case <-changed:
		case <-ticker.C:
			sendProgress = true
		case <-ctx.Done():
			return
		}
	}
}

// eventsAfter returns the events under prefix after a revision, and a channel that is
// closed at the next change.
func (s *Store) eventsAfter(prefix string, from int64) (store.WatchBatch, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	batch := store.WatchBatch{Revision: s.revision}
	if from < s.compactedRevision {
		batch.Err = store.ErrCompacted
		return batch, s.changed
	}
	for _, e := range s.history[s.firstAfter(from):] {
		if strings.HasPrefix(e.Key, prefix) {
			batch.Events = append(batch.Events, e)
		}
	}
	return batch, s.changed
}
