package config

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/monsoonworks/monsoonworks/internal/store"
)

const (
	// maxChangedEntries is the largest number of entries in one change. The transaction also
	// writes the head and the history.
	maxChangedEntries = store.MaxTxnOps - 2
	// maxChangeBytes limits the total size of the entries of one change. The store
	// refuses requests of more than 1.5 MiB.
	maxChangeBytes = 1 << 20
	// minApplyBackoff is the wait before the second attempt. It doubles with each further
	// attempt.
	minApplyBackoff = 100 * time.Millisecond
	// maxApplyBackoff limits the wait between attempts.
	maxApplyBackoff = 2 * time.Second
	// maxUnclassifiedErrors is the number of failed commits, with errors other than those of
	// package store, after which Apply stops retrying.
	maxUnclassifiedErrors = 3
)

// Apply returns ErrNoChange for an empty list of writes, and ErrInvalid if a write is
// malformed or the resulting configuration would be invalid.
var (
	ErrNoChange = errors.New("configuration change contains no writes")
	ErrInvalid  = errors.New("invalid configuration")
)

// ConflictingWrite is the put or deletion of an entry by another writer since the base version.
type ConflictingWrite struct {
	EntryWrite
	// Version is the version at which the entry was put. It is 0 for a deletion.
	Version int64 `json:"version,omitempty"`
}

// ConflictError means that the configuration was changed since the base version. Nothing
// was written.
type ConflictError struct {
	Base, Current int64
	// Author is the author of the latest change.
	Author string
	// Others lists the entries that were put or deleted since the base.
	Others []ConflictingWrite
}

func (e *ConflictError) Error() string {
	var names []string
	for _, o := range e.Others {
		names = append(names, o.Section+"/"+o.Name)
	}
	return fmt.Sprintf("configuration is at version %d, not %d; changed since: %s",
		e.Current, e.Base, strings.Join(names, ", "))
}

// Apply changes the configuration by writes in one transaction and returns the new version.
// base is the version that the change is based on, 0 for a new deployment. The resulting
// configuration is validated as a whole before the transaction. author is recorded in the
// head.
//
// Errors: ErrNoChange; *ConflictError if the configuration is no longer at base; ErrInvalid
// if the result would be invalid; store.ErrTooLarge; store.ErrUnavailable if nothing was
// written. After a lost reply Apply reads back whether the transaction was committed and
// sends it again if not. It returns store.ErrUnknownOutcome if ctx ends first, if too many
// changes followed to tell, or after repeated errors other than those of package store.
// Apply never commits a change twice.
func Apply(ctx context.Context, kv store.KV, base int64, writes []EntryWrite, author string) (int64, error) {
	writes, err := normalizeWrites(writes)
	if err != nil {
		return 0, err
	}
	id, err := uuid.NewRandom()
	if err != nil {
		return 0, err
	}
	a := &applyOperation{kv: kv, base: base, writes: writes, author: author, id: id}
	return a.run(ctx)
}

// normalizeWrites returns a copy of the writes with compact JSON values. It rejects those
// that are malformed or too large for one transaction.
func normalizeWrites(writes []EntryWrite) ([]EntryWrite, error) {
	if len(writes) == 0 {
		return nil, ErrNoChange
	}
	if len(writes) > maxChangedEntries {
		return nil, fmt.Errorf("%w: %d entries, at most %d", store.ErrTooLarge, len(writes), maxChangedEntries)
	}
	writes = slices.Clone(writes)
	total := 0
	seen := make(map[string]bool)
	for i, w := range writes {
		key := Key(w.Section, w.Name)
		if seen[key] {
			return nil, fmt.Errorf("%w: %s %q is changed twice", ErrInvalid, w.Section, w.Name)
		}
		seen[key] = true
		var compact bytes.Buffer
		if !w.Delete {
			if err := json.Compact(&compact, w.Value); err != nil {
				return nil, fmt.Errorf("%w: %s %q: %w", ErrInvalid, w.Section, w.Name, err)
			}
		}
		writes[i].Value = compact.Bytes()
		total += compact.Len()
	}
	if total > maxChangeBytes {
		return nil, fmt.Errorf("%w: %d bytes, at most %d", store.ErrTooLarge, total, maxChangeBytes)
	}
	return writes, nil
}

// applyOperation is the state of one call of Apply.
type applyOperation struct {
	kv     store.KV
	base   int64
	writes []EntryWrite
	author string
	id     uuid.UUID // recorded as Head.Change, by which Apply finds its change after a lost reply
	// baseChangeNumber is Head.Number at the base, set before the first commit.
	baseChangeNumber uint64
	// outcomeUnknown is set once the reply to a transaction was lost.
	outcomeUnknown     bool
	unclassifiedErrors int
	lastErr            error
}

// run makes attempts until one is done or ctx ends.
func (a *applyOperation) run(ctx context.Context) (int64, error) {
	for backoff := minApplyBackoff; ; backoff = min(2*backoff, maxApplyBackoff) {
		version, done, err := a.attempt(ctx)
		if done {
			return version, err
		}
		a.lastErr = err
		timer := time.NewTimer(backoff)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return 0, a.unknownOutcomeError()
		}
	}
}

func (a *applyOperation) unknownOutcomeError() error {
	return fmt.Errorf("%w: change %s: %w", store.ErrUnknownOutcome, a.id, a.lastErr)
}

// attempt reads the configuration and sends the transaction if the base is still
// current. Sending it again is safe: the transaction compares the head's revision, so it
// commits at most once. done is false if another attempt must be made.
func (a *applyOperation) attempt(ctx context.Context) (version int64, done bool, err error) {
	read, err := a.kv.List(ctx, Prefix)
	if err != nil {
		return 0, !a.outcomeUnknown, err
	}
	historyEntry, err := a.kv.Get(ctx, HistoryKey)
	if err != nil {
		return 0, !a.outcomeUnknown, err
	}
	// Entries that cannot be decoded are tolerated, because the change may repair them.
	current, decodeErr := Load(read.Entries)
	if current.Version == 0 && slices.ContainsFunc(read.Entries, isHead) {
		return 0, true, fmt.Errorf("%w: %w", ErrInvalid, decodeErr)
	}
	if historyEntry.ModRevision > current.Version {
		return 0, false, errors.New("configuration changed between reading the entries and the history")
	}
	history := decodeHistory(historyEntry, current.Version)
	if version := history.versionOf(current, a.id); a.outcomeUnknown && version > 0 {
		return version, true, nil
	}
	if current.Version != a.base {
		return 0, true, a.baseMismatchError(current, history, read.Entries)
	}
	a.baseChangeNumber = current.Head.Number
	txn, err := a.transaction(current, history)
	if err != nil {
		return 0, true, err
	}
	result, err := a.kv.Commit(ctx, txn)
	switch {
	case err == nil && result.Committed:
		return result.Revision, true, nil
	case err == nil:
		return 0, false, errors.New("head changed between the read and the commit")
	case errors.Is(err, store.ErrTooLarge):
		return 0, true, err
	case errors.Is(err, store.ErrUnavailable):
		return 0, !a.outcomeUnknown, err
	}
	a.outcomeUnknown = true
	if errors.Is(err, store.ErrUnknownOutcome) {
		return 0, false, err
	}
	a.unclassifiedErrors++
	a.lastErr = err
	return 0, a.unclassifiedErrors >= maxUnclassifiedErrors, a.unknownOutcomeError()
}

func isHead(e store.Entry) bool { return e.Key == HeadKey }

// baseMismatchError returns the error for a configuration that is no longer at the base. If
// more changes followed than the history lists, one of them can be this operation's own
// transaction, and the outcome stays unknown.
func (a *applyOperation) baseMismatchError(current *Snapshot, history History, entries []store.Entry) error {
	if a.outcomeUnknown && current.Head.Number > a.baseChangeNumber+uint64(len(history.Recent))+1 {
		a.lastErr = errors.New("change not found in the history, which no longer reaches back to the base version")
		return a.unknownOutcomeError()
	}
	conflict := &ConflictError{Base: a.base, Current: current.Version, Author: current.Head.Author}
	exists := make(map[string]bool)
	for _, e := range entries {
		exists[e.Key] = true
		section, name, ok := ParseKey(e.Key)
		if ok && e.ModRevision > a.base {
			conflict.Others = append(conflict.Others, ConflictingWrite{
				EntryWrite: EntryWrite{Section: section, Name: name, Value: e.Value}, Version: e.ModRevision,
			})
		}
	}
	for _, d := range history.Deleted {
		if key := Key(d.Section, d.Name); d.Base >= a.base && !exists[key] {
			exists[key] = true
			conflict.Others = append(conflict.Others, ConflictingWrite{EntryWrite: EntryWrite{Section: d.Section, Name: d.Name, Delete: true}})
		}
	}
	return conflict
}

// transaction validates the resulting configuration and builds the transaction.
func (a *applyOperation) transaction(current *Snapshot, history History) (store.Txn, error) {
	events := make([]store.Event, 0, len(a.writes))
	txn := store.Txn{Compare: []store.Compare{{Key: HeadKey, ModRevision: a.base}}}
	for _, w := range a.writes {
		key := Key(w.Section, w.Name)
		events = append(events, store.Event{Entry: store.Entry{Key: key, Value: w.Value}, Deleted: w.Delete})
		txn.Write = append(txn.Write, store.Write{Key: key, Value: w.Value, Delete: w.Delete})
	}
	next, err := current.With(events)
	if err == nil {
		err = next.CheckReferences()
	}
	if err == nil && current.Deployment.Shards != 0 && next.Deployment.Shards != current.Deployment.Shards {
		err = fmt.Errorf("deployment %q: shards: %d cannot be changed to %d",
			DeploymentName, current.Deployment.Shards, next.Deployment.Shards)
	}
	if err != nil {
		return store.Txn{}, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	encodedHead, err := json.Marshal(Head{
		Number: current.Head.Number + 1, Change: a.id, Author: a.author, UnixMilli: time.Now().UnixMilli(),
	})
	if err != nil {
		return store.Txn{}, err
	}
	encodedHistory, err := json.Marshal(history.withWrites(current, a.writes))
	if err != nil {
		return store.Txn{}, err
	}
	txn.Write = append(txn.Write, store.Write{Key: HeadKey, Value: encodedHead}, store.Write{Key: HistoryKey, Value: encodedHistory})
	return txn, nil
}
