package dispatch

import (
	"time"

	"github.com/google/uuid"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// Call is one request of a caller, checked and ready to run.
type Call struct {
	Request   uuid.UUID
	Workspace string
	Budget    budget.ID
	Kind      wire.Kind
	// Target is the model or the plain service.
	Target       string
	Method, Path string
	Headers      []wire.Header
	Body         []byte
	// Stream asks for the answer as server-sent events. Idempotent is set if the
	// call may be repeated after it may have run.
	Stream, Idempotent bool
	// Reserve is the most that the call may cost; PromptBound is the part of it
	// set aside for the prompt.
	Reserve, PromptBound, MaxOutput budget.Tokens
	// PromptTokens is the estimated length of the prompt.
	PromptTokens int32
	Priority     int8
	// Deadline is when the caller stops waiting, zero for none.
	Deadline time.Time
	// Key is the idempotency key, empty if the caller sent none.
	Key string
	// RequestHash is the SHA-256 of what the caller asked for.
	RequestHash [32]byte
	// HomeRegion is the home region of the workspace.
	HomeRegion  string
	Fingerprint uint64
	// Prefixes holds the hashes of the prompt's leading blocks, shortest first.
	Prefixes    []uint64
	TraceParent string
}

// Sink receives the answer while it arrives. An error means that the caller is
// gone.
type Sink interface {
	// Head is called at most once, before any Data.
	Head(status int, headers []wire.Header) error
	// Data passes on a part of the answer that holds the given number of tokens.
	// p is valid during the call only.
	Data(tokens uint32, p []byte) error
}

// Outcome is what became of a call.
type Outcome struct {
	Verdict verdict.Verdict
	// Err is nil if the sink got the whole answer.
	Err *verdict.Error
	// Bill is what the request cost, nil if nothing.
	Bill     *budget.Bill
	Attempts []AttemptSummary
}

// AttemptSummary is one attempt of a call, for explanations.
type AttemptSummary struct {
	Server, Region string
	// Reason says why the server was chosen.
	Reason           string
	ID               uuid.UUID
	Reserved, Billed budget.Tokens
	Verdict          verdict.Verdict
	// Code is empty if the attempt delivered its whole answer.
	Code    verdict.Code
	Elapsed time.Duration
}
