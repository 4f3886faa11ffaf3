// Package store defines the interface to the platform's key-value service: reads,
// multi-key transactions, leases and watches. All state that must survive a process
// is kept there. Callers define their records; this package does not interpret keys
// or values. Subpackages implement the interface.
package store

import (
	"context"
	"errors"
	"time"
)

// MaxValueBytes is the largest value that the service accepts.
const MaxValueBytes = 1 << 20

// MaxTxnOps is the largest number of comparisons in one transaction, and the largest
// number of writes. The two are counted separately. An implementation may accept fewer and
// then returns ErrTooLarge for more.
const MaxTxnOps = 128

// Errors of a Store. An implementation may wrap them.
var (
	// ErrUnavailable means that the call had no effect: the service was not
	// reached or rejected it.
	ErrUnavailable = errors.New("store unavailable")
	// ErrUnknownOutcome means that a write may or may not have been applied. The
	// caller must read the keys back before any other use of them.
	ErrUnknownOutcome = errors.New("store answer lost, outcome unknown")
	// ErrLeaseNotFound means that the lease has expired or was revoked.
	ErrLeaseNotFound = errors.New("lease not found")
	// ErrTooLarge means that a value or transaction exceeds the service's limit.
	ErrTooLarge = errors.New("value or transaction too large")
	// ErrCompacted means that the service no longer keeps the revision from which
	// a watch starts. The caller of Watch must list the prefix again.
	ErrCompacted = errors.New("revision compacted")
)

// LeaseID identifies a lease. The zero value means no lease.
type LeaseID int64

// Entry is a key with its value and the revision of its last change.
type Entry struct {
	Key   string
	Value []byte
	// ModRevision is the store revision of the last write to Key. It is 0 for
	// a key that does not exist.
	ModRevision int64
	// Lease is the lease to which Key is attached.
	Lease LeaseID
}

// Compare is a condition of a transaction: Key must be at ModRevision; 0 means that
// Key must not exist.
type Compare struct {
	Key         string
	ModRevision int64
}

// Write sets Key to Value and attaches it to Lease, or deletes Key if Delete is set.
type Write struct {
	Key    string
	Value  []byte
	Lease  LeaseID
	Delete bool
}

// Txn is a multi-key compare-and-swap: if all comparisons hold, all writes are
// applied atomically at one revision, otherwise none is.
type Txn struct {
	Compare []Compare
	Write   []Write
}

// TxnResult is the known outcome of a transaction.
type TxnResult struct {
	// Committed is false if a comparison did not hold.
	Committed bool
	// Revision is the store's revision after the transaction. If Committed is false,
	// some implementations leave it 0.
	Revision int64
	// Current holds the existing entries of the compared keys if Committed is
	// false.
	Current []Entry
}

// Snapshot is the result of a range read at one revision.
type Snapshot struct {
	Entries  []Entry
	Revision int64
}

// Event is a change of one key. If the key was deleted, Deleted is set, Value is nil
// and ModRevision is the revision of the deletion.
type Event struct {
	Entry
	Deleted bool
}

// WatchBatch holds the events of one or more revisions in order. A batch without
// events is a progress notification: all events up to Revision were sent.
type WatchBatch struct {
	Events   []Event
	Revision int64
	// Err is the error that ended the watch; no batch follows.
	Err error
}

// KV reads and writes keys.
type KV interface {
	// Get returns one entry by a linearizable read. For a key that does not exist
	// it returns an Entry with ModRevision 0 and no error.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns all entries whose keys begin with prefix, at one revision and
	// in key order.
	List(ctx context.Context, prefix string) (Snapshot, error)
	// Commit executes a transaction. After ErrUnknownOutcome, or any error other
	// than ErrUnavailable and ErrTooLarge, the writes may have been applied.
	Commit(ctx context.Context, txn Txn) (TxnResult, error)
}

// StaleReader reads keys at a tenth of the cost of a linearizable read.
type StaleReader interface {
	// GetStale returns one entry as of some recent revision, which may be seconds
	// old.
	GetStale(ctx context.Context, key string) (Entry, error)
}

// Leaser grants leases. Keys attached to a lease are deleted when it expires. A
// process that was paused may not know that its lease has expired, so a lease speeds
// up failure detection but must not be the only protection of data.
type Leaser interface {
	// Grant returns a new lease that expires ttl after its last renewal.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease once. It returns ErrLeaseNotFound if the lease has
	// expired.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and deletes the keys attached to it.
	Revoke(ctx context.Context, id LeaseID) error
}

// Watcher streams changes.
type Watcher interface {
	// Watch sends all changes under prefix after revision from, in revision order
	// and without gaps, until ctx ends or a batch carries an error. Then it closes
	// the channel. A watch makes one call to the service per connection, or one per
	// long poll, depending on the implementation.
	Watch(ctx context.Context, prefix string, from int64) (<-chan WatchBatch, error)
}

// Store is the platform's key-value service.
type Store interface {
	KV
	Leaser
	Watcher
}
