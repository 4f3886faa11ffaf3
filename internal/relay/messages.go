// Package relay forwards calls to the platform's store through another process of the
// deployment, for a gate that cannot reach the store itself. It contains the RPC messages,
// the relay's side (Server) and the gate's side (Store). A relay is stateless and does not
// interpret keys or values. A relayed error tells the gate as much about the outcome of its
// call as a direct one.
//
// The exported fields of the messages are sent under their Go names (encoding/gob).
package relay

import (
	"errors"
	"fmt"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/store"
)

// serviceName is the name of a relay's net/rpc service.
const serviceName = "Relay"

// Code identifies the error of a failed call.
type Code uint8

// Codes of the errors of package store. The numbers are sent between processes.
const (
	CodeNone Code = iota
	CodeUnavailable
	CodeUnknownOutcome
	CodeLeaseNotFound
	CodeTooLarge
	CodeCompacted
)

// codedErrors holds the error of each code. An error that wraps several of them is encoded
// as the first.
var codedErrors = []struct {
	code Code
	err  error
}{
	{CodeUnavailable, store.ErrUnavailable}, {CodeUnknownOutcome, store.ErrUnknownOutcome},
	{CodeLeaseNotFound, store.ErrLeaseNotFound}, {CodeTooLarge, store.ErrTooLarge}, {CodeCompacted, store.ErrCompacted},
}

// Failure describes how a call failed at the relay.
type Failure struct {
	Code Code
	Text string
}

// NewFailure encodes an error. One that wraps none of the errors in codedErrors is encoded as
// CodeUnknownOutcome.
func NewFailure(err error) Failure {
	if err == nil {
		return Failure{}
	}
	for _, coded := range codedErrors {
		if errors.Is(err, coded.err) {
			return Failure{Code: coded.code, Text: err.Error()}
		}
	}
	return Failure{Code: CodeUnknownOutcome, Text: err.Error()}
}

// Err decodes the failure. It returns nil for CodeNone, which means success.
func (f Failure) Err() error {
	if f.Code == CodeNone {
		return nil
	}
	target := store.ErrUnknownOutcome
	for _, coded := range codedErrors {
		if coded.code == f.Code {
			target = coded.err
		}
	}
	return fmt.Errorf("%w: over a relay: %s", target, f.Text)
}

// GetArgs requests one key.
type GetArgs struct{ Key string }

// GetReply is the reply to GetArgs.
type GetReply struct {
	Entry   store.Entry
	Failure Failure
}

// ListArgs requests all keys with a prefix.
type ListArgs struct{ Prefix string }

// ListReply is the reply to ListArgs.
type ListReply struct {
	Snapshot store.Snapshot
	Failure  Failure
}

// CommitArgs requests a transaction.
type CommitArgs struct{ Txn store.Txn }

// CommitReply is the reply to CommitArgs.
type CommitReply struct {
	Result  store.TxnResult
	Failure Failure
}

// NextArgs requests the changes under a prefix after a revision.
type NextArgs struct {
	Prefix   string
	Revision int64
}

// NextReply is the reply to NextArgs.
type NextReply struct {
	Events   []store.Event
	Revision int64
	Failure  Failure
}

const (
	// callTimeout limits a call that does not wait for changes. It is longer than the
	// timeout of the relay's own call to the store.
	callTimeout = 1500 * time.Millisecond
	// pollTimeout limits a call that waits for changes.
	pollTimeout = 4500 * time.Millisecond
	// dialTimeout limits opening a connection to a relay or quota server. Server.Serve also
	// waits this long after a failed Accept.
	dialTimeout = 300 * time.Millisecond
)
