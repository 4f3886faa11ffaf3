package suspect

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/store"
	"github.com/monsoonworks/monsoonworks/internal/wait"
)

const (
	// storeTimeout bounds one call to the store in the background, trialTimeout the calls for
	// a trial, for which a request waits.
	storeTimeout = 2 * time.Second
	trialTimeout = 500 * time.Millisecond
	// maxCommits bounds the commits to send one set of reports, or to claim a trial.
	maxCommits = 8
	// maxConflictDelay bounds the random delay after a conflict.
	maxConflictDelay = 60 * time.Millisecond
	// minBackoff and maxBackoff bound the exponential backoff after a failed call.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
	// trialBackoff is the time without a trial after a failure to claim one.
	trialBackoff = time.Second
)

var errTooManyConflicts = errors.New("all commits conflicted with other processes")

// Run sends reports to the store until ctx ends. It returns nil.
func (s *Shared) Run(ctx context.Context) error {
	backoff := minBackoff
	for {
		due, ok := s.nextDue()
		if !ok {
			select {
			case <-ctx.Done():
				return nil
			case <-s.wake:
			}
			continue
		}
		if wait := time.Until(due); wait > 0 {
			select {
			case <-ctx.Done():
				return nil
			case <-s.wake:
			case <-time.After(wait):
			}
			continue
		}
		if err := s.send(ctx); err != nil {
			if ctx.Err() != nil {
				return nil
			}
			s.opts.Log.Warn("sending reports of crashes failed", "error", err, "retry_in", backoff)
			if !wait.Sleep(ctx, backoff/2+rand.N(backoff/2)) {
				return nil
			}
			backoff = min(backoff*2, maxBackoff)
			continue
		}
		backoff = minBackoff
	}
}

// nextDue returns when the next report is due; ok is false if there is none.
func (s *Shared) nextDue() (due time.Time, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.crashes {
		if !ok || p.sendAt.Before(due) {
			due, ok = p.sendAt, true
		}
	}
	for _, mark := range s.marks {
		if !mark.sendAt.IsZero() && (!ok || mark.sendAt.Before(due)) {
			due, ok = mark.sendAt, true
		}
	}
	return due, ok
}

// proposal is a change of the evidence from a revision.
type proposal struct {
	revision int64
	evidence Evidence
	raw      []byte
	// changed is false if the store has it all.
	changed bool
	// crashes and marks are the pending reports that the proposal contains.
	crashes []*pendingCrash
	marks   []*pendingMark
}

// propose merges the pending reports into the known evidence.
func (s *Shared) propose() (proposal, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.proposeLocked(nil)
}

// proposeLocked is like propose, with a further change. The caller holds s.mu.
func (s *Shared) proposeLocked(change func(*Evidence)) (proposal, error) {
	scheduled := func(m *pendingMark) bool { return !m.sendAt.IsZero() }
	p := proposal{revision: s.revision, evidence: s.withPending(scheduled), crashes: slices.Clone(s.crashes)}
	for _, mark := range s.marks {
		if scheduled(mark) {
			p.marks = append(p.marks, mark)
		}
	}
	if change != nil {
		change(&p.evidence)
	}
	p.evidence.prune(s.opts.Policy, s.expired)
	var err error
	if p.raw, err = p.evidence.Encode(); err != nil {
		return p, err
	}
	before, err := s.base.Encode()
	p.changed = !bytes.Equal(before, p.raw)
	return p, err
}

// accept applies a proposal that the store has, at its new revision, and removes its reports
// from the pending ones.
func (s *Shared) accept(p proposal, revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision > s.revision {
		s.base, s.revision = p.evidence, revision
	}
	s.crashes = slices.DeleteFunc(s.crashes, func(c *pendingCrash) bool { return slices.Contains(p.crashes, c) })
	for f, mark := range s.marks {
		if slices.Contains(p.marks, mark) {
			delete(s.marks, f)
		}
	}
	s.dropped = 0
	s.refresh()
}

// send sends all pending reports. Merges are idempotent, so it can repeat them after a conflict
// and after a commit with an unknown outcome.
func (s *Shared) send(ctx context.Context) error {
	for range maxCommits {
		p, err := s.propose()
		if err != nil {
			return err
		}
		if !p.changed {
			s.accept(p, p.revision)
			return nil
		}
		committed, err := s.commit(ctx, p)
		if err != nil || committed {
			return err
		}
		if !wait.Sleep(ctx, rand.N(maxConflictDelay)) {
			return ctx.Err()
		}
	}
	return errTooManyConflicts
}

// commit commits a proposal. If it returns false without an error, the evidence has changed in
// the store and is known here now.
func (s *Shared) commit(ctx context.Context, p proposal) (committed bool, err error) {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	result, err := s.opts.Store.Commit(callCtx, store.Txn{
		Compare: []store.Compare{{Key: s.opts.Key, ModRevision: p.revision}},
		Write:   []store.Write{{Key: s.opts.Key, Value: p.raw}},
	})
	switch {
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrTooLarge):
		return false, err
	case err != nil:
		return false, s.readBack(ctx, err)
	case result.Committed:
		s.accept(p, result.Revision)
		return true, nil
	}
	s.stats.conflicts.Inc(1)
	s.applyConflict(p, result.Current)
	return false, nil
}

// readBack reads the evidence after a commit with an unknown outcome.
func (s *Shared) readBack(ctx context.Context, cause error) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, err := s.opts.Store.Get(ctx, s.opts.Key)
	if err != nil {
		return fmt.Errorf("reading back after %w: %w", cause, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyEntry(entry)
	return nil
}

// applyConflict applies the entry that a commit conflicted with, or its absence.
func (s *Shared) applyConflict(p proposal, current []store.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, entry := range current {
		if entry.Key == s.opts.Key {
			s.applyEntry(entry)
			return
		}
	}
	if s.revision == p.revision {
		s.opts.Log.Warn("evidence of crashes was deleted from the store", "key", s.opts.Key)
		s.base, s.revision = Evidence{Version: evidenceVersion}, 0
		s.refresh()
	}
}
