// Package relay carries calls to the platform's store over another process of the
// deployment, for a gate that the store does not answer. It holds the protocol
// between the two, the relay's side (Server) and the gate's side (Store). A relay
// keeps nothing and decides nothing: what a call may have done is passed on with
// its error.
package relay

import (
	"errors"
	"fmt"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/store"
)

// serviceName is the net/rpc service of a relay.
const serviceName = "Relay"

// Code is the kind of a failed call.
type Code uint8

// Codes of the store's errors.
const (
	CodeNone Code = iota
	CodeUnavailable
	CodeUnknownOutcome
	CodeLeaseNotFound
	CodeTooLarge
	CodeCompacted
)

var codeErrors = map[Code]error{
	CodeUnavailable: store.ErrUnavailable, CodeUnknownOutcome: store.ErrUnknownOutcome,
	CodeLeaseNotFound: store.ErrLeaseNotFound, CodeTooLarge: store.ErrTooLarge, CodeCompacted: store.ErrCompacted,
}

// Failure is how a call failed at the relay.
type Failure struct {
	Code Code
	Text string
}

// failureOf encodes an error. One that is not the store's is of unknown outcome.
func failureOf(err error) Failure {
	if err == nil {
		return Failure{}
	}
	for code, known := range codeErrors {
		if errors.Is(err, known) {
			return Failure{Code: code, Text: err.Error()}
		}
	}
	return Failure{Code: CodeUnknownOutcome, Text: err.Error()}
}

// err decodes the failure, nil if there is none.
func (f Failure) err() error {
	if f.Code == CodeNone {
		return nil
	}
	known, ok := codeErrors[f.Code]
	if !ok {
		known = store.ErrUnknownOutcome
	}
	return fmt.Errorf("%w: over a relay: %s", known, f.Text)
}

// GetArgs and the other types below are the messages of a relay's calls.
type GetArgs struct{ Key string }

// GetReply answers Get.
type GetReply struct {
	Entry   store.Entry
	Failure Failure
}

// ListArgs asks for all keys with a prefix.
type ListArgs struct{ Prefix string }

// ListReply answers List.
type ListReply struct {
	Snapshot store.Snapshot
	Failure  Failure
}

// CommitArgs asks for a transaction.
type CommitArgs struct{ Txn store.Txn }

// CommitReply answers Commit.
type CommitReply struct {
	Result  store.TxnResult
	Failure Failure
}

// NextArgs asks for the changes under a prefix after a revision.
type NextArgs struct {
	Prefix   string
	Revision int64
}

// NextReply answers Next.
type NextReply struct {
	Events   []store.Event
	Revision int64
	Failure  Failure
}

// Figures of the calls between a gate and a relay.
const (
	// callTimeout bounds a call that does not wait for changes. It is longer than
	// the relay's own call to the store.
	callTimeout = 1500 * time.Millisecond
	// nextTimeout bounds a call that waits for changes.
	nextTimeout = 4500 * time.Millisecond
	// dialTimeout bounds the opening of a connection to a relay.
	dialTimeout = 300 * time.Millisecond
)
