// Package store is the narrow interface to the platform's key-value service.
// Everything that must outlive a process goes through it. The package knows the
// meaning of no record.
package store

import (
	"context"
	"errors"
	"time"
)

// MaxValueBytes is the largest value that the service accepts.
const MaxValueBytes = 1 << 20

// MaxTxnOps is the largest number of comparisons, and of writes, in one
// transaction.
const MaxTxnOps = 128

// Errors of a Store. An implementation may wrap them.
var (
	// ErrUnavailable means that the call certainly had no effect: the service
	// was not reached or refused it.
	ErrUnavailable = errors.New("store unavailable")
	// ErrUnknownOutcome means that a write may or may not have taken effect.
	// The caller reads the keys back before it does anything else with them.
	ErrUnknownOutcome = errors.New("store answer lost, outcome unknown")
	// ErrLeaseNotFound means that the lease has lapsed or was revoked.
	ErrLeaseNotFound = errors.New("lease not found")
	// ErrTooLarge means that a value or transaction is over the service's limit.
	ErrTooLarge = errors.New("value or transaction too large")
	// ErrCompacted means that a watch asked for a revision that the service no
	// longer keeps; the watcher reads the prefix again.
	ErrCompacted = errors.New("revision compacted")
)

// LeaseID names a lease. The zero value means no lease.
type LeaseID int64

// Entry is a key with its value and the revision of its last change.
type Entry struct {
	Key   string
	Value []byte
	// ModRevision is the store revision of the last write to Key. It is 0 for
	// a key that does not exist.
	ModRevision int64
	Lease       LeaseID
}

// Compare is a condition of a transaction: the key's ModRevision must equal
// ModRevision; 0 means that the key must not exist.
type Compare struct {
	Key         string
	ModRevision int64
}

// Write puts Value at Key, or deletes Key if Delete is set.
type Write struct {
	Key    string
	Value  []byte
	Lease  LeaseID
	Delete bool
}

// Txn is a multi-key compare-and-swap: all writes happen, at one revision, if
// all comparisons hold, otherwise none.
type Txn struct {
	Compare []Compare
	Write   []Write
}

// TxnResult is the outcome of a transaction that the store decided.
type TxnResult struct {
	// Committed is false if a comparison failed.
	Committed bool
	// Revision is the store's revision after the transaction.
	Revision int64
	// Current holds, when Committed is false, the entries of the compared keys
	// that exist.
	Current []Entry
}

// Snapshot is the result of a range read at one revision.
type Snapshot struct {
	Entries  []Entry
	Revision int64
}

// Event is a change of one key. For a deletion Entry.Value is nil and Deleted
// is set; Entry.ModRevision is the revision of the deletion.
type Event struct {
	Entry
	Deleted bool
}

// WatchBatch holds the events of one or more revisions in order. A batch
// without events is a progress notice: the watcher is current up to Revision.
type WatchBatch struct {
	Events   []Event
	Revision int64
	// Err ends the watch; no batch follows.
	Err error
}

// KV reads and writes keys.
type KV interface {
	// Get reads one key, linearizably. A key that does not exist gives an Entry
	// with ModRevision 0 and no error.
	Get(ctx context.Context, key string) (Entry, error)
	// List reads all keys with the prefix at one revision, in key order.
	List(ctx context.Context, prefix string) (Snapshot, error)
	// Commit executes a transaction. With ErrUnknownOutcome, or any error other
	// than ErrUnavailable and ErrTooLarge, the writes may have taken effect.
	Commit(ctx context.Context, txn Txn) (TxnResult, error)
}

// StaleReader reads keys at a tenth of the price of a linearizable read.
type StaleReader interface {
	// GetStale reads one key as it was at some recent revision, perhaps seconds ago.
	GetStale(ctx context.Context, key string) (Entry, error)
}

// Leaser grants leases. Keys attached to a lease are deleted when it lapses. A
// holder that was paused may not know that its lease has lapsed, so a lease
// speeds up detection and never protects data on its own.
type Leaser interface {
	// Grant makes a lease that lapses ttl after its last renewal.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease once. ErrLeaseNotFound means that it lapsed.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
}

// Watcher reports changes.
type Watcher interface {
	// Watch sends all changes under prefix after revision from, in revision
	// order and without gaps, until ctx ends or a batch carries an error. The
	// channel is closed at the end. A waiting watch costs one call.
	Watch(ctx context.Context, prefix string, from int64) (<-chan WatchBatch, error)
}

// Store is the platform's key-value service.
type Store interface {
	KV
	Leaser
	Watcher
}
