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
	// maxChanges is the number of entries in one change; head and history are
	// written with them.
	maxChanges = store.MaxTxnOps - 2
	// maxChangeBytes bounds the entries of one change together. The service's
	// limit for a request is 1.5 MiB.
	maxChangeBytes = 1 << 20
	// Pauses between attempts to find out what became of a change.
	minApplyPause = 100 * time.Millisecond
	maxApplyPause = 2 * time.Second
	// maxOddErrors is how often Apply goes on after an error that the store does
	// not classify.
	maxOddErrors = 3
)

// Errors of Apply, besides those of the store.
var (
	ErrNoChange = errors.New("no change given")
	ErrInvalid  = errors.New("invalid configuration")
)

// ConcurrentChange is an entry that another writer put or deleted since the base
// version of a change.
type ConcurrentChange struct {
	Change
	// Version is the version at which the entry was put. It is 0 for a deletion.
	Version int64 `json:"version,omitempty"`
}

// ConflictError means that another change was made on the same base. Nothing
// was written.
type ConflictError struct {
	Base, Current int64
	// Author made the last of the other changes.
	Author string
	// Others holds what was put or deleted since the base.
	Others []ConcurrentChange
}

func (e *ConflictError) Error() string {
	var names []string
	for _, o := range e.Others {
		names = append(names, o.Section+"/"+o.Name)
	}
	return fmt.Sprintf("configuration is at version %d, not %d; changed since: %s",
		e.Current, e.Base, strings.Join(names, ", "))
}

// Apply makes a change of the configuration in one transaction and returns the
// new version. base is the version that the change was made from, 0 for a new
// deployment. The whole configuration with the change is validated first.
//
// Errors: *ConflictError if the configuration has moved on from base; ErrInvalid
// if the result would be invalid; store.ErrTooLarge; store.ErrUnavailable if the
// change certainly was not made. After a lost answer Apply finds out whether the
// change was made, and makes it if not, until ctx ends; only then does it return
// store.ErrUnknownOutcome. A change is never made twice.
func Apply(ctx context.Context, kv store.KV, base int64, changes []Change, author string) (int64, error) {
	changes, err := normalise(changes)
	if err != nil {
		return 0, err
	}
	id, err := uuid.NewRandom()
	if err != nil {
		return 0, err
	}
	a := &application{kv: kv, base: base, changes: changes, author: author, id: id}
	return a.run(ctx)
}

// normalise compacts the values and refuses changes that cannot be one
// transaction.
func normalise(changes []Change) ([]Change, error) {
	if len(changes) == 0 {
		return nil, ErrNoChange
	}
	if len(changes) > maxChanges {
		return nil, fmt.Errorf("%w: %d entries, at most %d", store.ErrTooLarge, len(changes), maxChanges)
	}
	changes = slices.Clone(changes)
	total := 0
	seen := make(map[string]bool)
	for i, c := range changes {
		key := Key(c.Section, c.Name)
		if seen[key] {
			return nil, fmt.Errorf("%w: %s %q is changed twice", ErrInvalid, c.Section, c.Name)
		}
		seen[key] = true
		var compact bytes.Buffer
		if !c.Delete {
			if err := json.Compact(&compact, c.Value); err != nil {
				return nil, fmt.Errorf("%w: %s %q: %w", ErrInvalid, c.Section, c.Name, err)
			}
		}
		changes[i].Value = compact.Bytes()
		total += compact.Len()
	}
	if total > maxChangeBytes {
		return nil, fmt.Errorf("%w: %d bytes, at most %d", store.ErrTooLarge, total, maxChangeBytes)
	}
	return changes, nil
}

// application is one call of Apply.
type application struct {
	kv      store.KV
	base    int64
	changes []Change
	author  string
	id      uuid.UUID
	// baseNumber is the base's change number, known after the first read.
	baseNumber uint64
	// uncertain is set once a transaction was sent whose outcome is not known.
	uncertain bool
	oddErrors int
	lastErr   error
}

func (a *application) run(ctx context.Context) (int64, error) {
	for pause := minApplyPause; ; pause = min(2*pause, maxApplyPause) {
		version, done, err := a.try(ctx)
		if done {
			return version, err
		}
		a.lastErr = err
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return 0, a.unknown()
		}
	}
}

func (a *application) unknown() error {
	return fmt.Errorf("%w: change %s: %w", store.ErrUnknownOutcome, a.id, a.lastErr)
}

// try reads the configuration and sends the transaction if the base is still
// current. Sending it again is safe, because it compares the head's revision:
// of all copies at most one takes effect.
func (a *application) try(ctx context.Context) (version int64, done bool, err error) {
	read, err := a.kv.List(ctx, Prefix)
	if err != nil {
		return 0, !a.uncertain, err
	}
	recent, err := a.kv.Get(ctx, HistoryKey)
	if err != nil {
		return 0, !a.uncertain, err
	}
	// An entry that cannot be decoded does not stop a change that may repair it.
	current, faults := Load(read.Entries)
	if current.Version == 0 && slices.ContainsFunc(read.Entries, isHead) {
		return 0, true, fmt.Errorf("%w: %w", ErrInvalid, faults)
	}
	if recent.ModRevision > current.Version {
		return 0, false, errors.New("configuration changed between two reads")
	}
	history := decodeHistory(recent, current.Version)
	if version := history.versionOf(current, a.id); a.uncertain && version > 0 {
		return version, true, nil
	}
	if current.Version != a.base {
		return 0, true, a.movedOn(current, history, read.Entries)
	}
	a.baseNumber = current.Head.Number
	txn, err := a.transaction(current, history)
	if err != nil {
		return 0, true, err
	}
	result, err := a.kv.Commit(ctx, txn)
	switch {
	case err == nil && result.Committed:
		return result.Revision, true, nil
	case err == nil:
		return 0, false, errors.New("head changed during the transaction")
	case errors.Is(err, store.ErrTooLarge):
		return 0, true, err
	case errors.Is(err, store.ErrUnavailable):
		return 0, !a.uncertain, err
	}
	a.uncertain = true
	if errors.Is(err, store.ErrUnknownOutcome) {
		return 0, false, err
	}
	a.oddErrors++
	a.lastErr = err
	return 0, a.oddErrors >= maxOddErrors, a.unknown()
}

func isHead(e store.Entry) bool { return e.Key == HeadKey }

// movedOn returns the error for a head that is not the base. Our own change can
// have been made and followed by more changes than the history names; then the
// outcome stays unknown.
func (a *application) movedOn(current *Snapshot, history History, entries []store.Entry) error {
	if a.uncertain && current.Head.Number > a.baseNumber+uint64(len(history.Recent))+1 {
		a.lastErr = errors.New("too many changes since")
		return a.unknown()
	}
	conflict := &ConflictError{Base: a.base, Current: current.Version, Author: current.Head.Author}
	exists := make(map[string]bool)
	for _, e := range entries {
		exists[e.Key] = true
		section, name, ok := ParseKey(e.Key)
		if ok && e.ModRevision > a.base {
			conflict.Others = append(conflict.Others, ConcurrentChange{
				Change: Change{Section: section, Name: name, Value: e.Value}, Version: e.ModRevision,
			})
		}
	}
	for _, d := range history.Deleted {
		if key := Key(d.Section, d.Name); d.Base >= a.base && !exists[key] {
			exists[key] = true
			conflict.Others = append(conflict.Others, ConcurrentChange{Change: Change{Section: d.Section, Name: d.Name, Delete: true}})
		}
	}
	return conflict
}

// transaction validates the result of the change and builds the transaction.
func (a *application) transaction(current *Snapshot, history History) (store.Txn, error) {
	events := make([]store.Event, 0, len(a.changes))
	txn := store.Txn{Compare: []store.Compare{{Key: HeadKey, ModRevision: a.base}}}
	for _, c := range a.changes {
		key := Key(c.Section, c.Name)
		events = append(events, store.Event{Entry: store.Entry{Key: key, Value: c.Value}, Deleted: c.Delete})
		txn.Write = append(txn.Write, store.Write{Key: key, Value: c.Value, Delete: c.Delete})
	}
	next, err := current.With(events)
	if err == nil {
		err = next.Check()
	}
	if err == nil && current.Deployment.Shards != 0 && next.Deployment.Shards != current.Deployment.Shards {
		err = fmt.Errorf("deployment %q: shards: %d cannot be changed to %d",
			DeploymentName, current.Deployment.Shards, next.Deployment.Shards)
	}
	if err != nil {
		return store.Txn{}, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	head, err := json.Marshal(Head{
		Number: current.Head.Number + 1, Change: a.id, Author: a.author, UnixMilli: time.Now().UnixMilli(),
	})
	if err != nil {
		return store.Txn{}, err
	}
	recent, err := json.Marshal(history.after(current, a.changes))
	if err != nil {
		return store.Txn{}, err
	}
	txn.Write = append(txn.Write, store.Write{Key: HeadKey, Value: head}, store.Write{Key: HistoryKey, Value: recent})
	return txn, nil
}
