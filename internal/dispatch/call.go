// Package dispatch takes one request from its reservation to its settlement:
// the claim of its idempotency key, its attempts, and its retries.
package dispatch

import (
	"time"

	"github.com/google/uuid"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// Call is one request of a caller, checked and with its bound.
type Call struct {
	Request   uuid.UUID
	Workspace string
	Budget    budget.ID
	Kind      wire.Kind
	// Target is the model or the plain service.
	Target  string
	Method  string
	Path    string
	Headers []wire.Header
	Body    []byte
	// Stream asks for the answer as server-sent events.
	Stream bool
	// Idempotent is set if the call may be repeated after it may have run.
	Idempotent bool
	// Reserve is the most that the call may cost. PromptBound is the part of it
	// for the prompt, and MaxOutput the part for the answer.
	Reserve     budget.Tokens
	PromptBound budget.Tokens
	MaxOutput   budget.Tokens
	// PromptTokens is the estimated length of the prompt.
	PromptTokens int32
	// Priority is higher for more urgent work.
	Priority int8
	Deadline time.Time
	// Key is the idempotency key, empty if the caller sent none.
	Key string
	// RequestHash is the SHA-256 of what the caller asked for.
	RequestHash [32]byte
	// HomeRegion is the workspace's home region, where its keys are claimed.
	HomeRegion string
	// Fingerprint is a hash of what makes two requests the same to an engine.
	Fingerprint uint64
	// Prefixes holds the hashes of the prompt's leading blocks, shortest first.
	Prefixes    []uint64
	TraceParent string
}

// Sink receives the answer to a call. An error of either method means that the
// caller can receive no more of it.
type Sink interface {
	// Head passes on the status and header of the server's answer.
	Head(status int, headers []wire.Header) error
	// Data passes on part of the body and the number of tokens in it. The sink
	// does not keep p.
	Data(tokens uint32, p []byte) error
}

// Outcome is what became of a call.
type Outcome struct {
	Verdict verdict.Verdict
	// Err is nil if the whole answer was passed to the sink.
	Err *verdict.Error
	// Bill is nil if the call cost nothing.
	Bill *budget.Bill
	Hops []Hop
}

// Hop is one attempt of a call.
type Hop struct {
	Server string
	Region string
	// Reason says why the server was chosen.
	Reason   string
	Attempt  uuid.UUID
	Reserved budget.Tokens
	Billed   budget.Tokens
	Verdict  verdict.Verdict
	// Code is empty if the attempt delivered the whole answer.
	Code    verdict.Code
	Elapsed time.Duration
}
