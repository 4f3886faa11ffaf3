package dispatch

import (
	"time"

	"github.com/google/uuid"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// Call is one validated request of a caller.
type Call struct {
	Request   uuid.UUID
	Workspace string
	Budget    budget.ID
	Kind      wire.TargetKind
	// Target is the name of the model or plain service.
	Target       string
	Method, Path string
	Headers      []wire.Header
	Body         []byte
	// Stream requests the response as server-sent events. Idempotent is set if
	// the call may be repeated after an attempt that may have run.
	Stream, Idempotent bool
	// MaxCost is the maximum cost of the call in tokens; MaxPromptCost is the
	// part of it reserved for the prompt, and MaxOutput the caller's limit on
	// output tokens.
	MaxCost, MaxPromptCost, MaxOutput budget.Tokens
	// PromptTokens is the estimated length of the prompt in tokens.
	PromptTokens int32
	// Priority is higher for more urgent calls.
	Priority int8
	// Deadline is the zero time if there is none.
	Deadline time.Time
	// Key is the idempotency key, empty if the caller sent none.
	Key string
	// RequestHash is the SHA-256 hash of the request, which detects reuse of
	// Key for a different request.
	RequestHash [32]byte
	// HomeRegion is the home region of the workspace.
	HomeRegion string
	// Fingerprint is a hash of the parts of the request that determine the
	// server's work. The suspect registry recognizes a repeated request by it; 0
	// means none.
	Fingerprint uint64
	// Prefixes holds the hashes of the prompt's leading blocks, shortest prefix
	// first.
	Prefixes []uint64
	// TraceParent is the W3C traceparent value of the call's span, empty if
	// there is none.
	TraceParent string
}

// Sink receives the response of a call as it arrives. An error of a method
// means that the response cannot be relayed. The call is then canceled as if
// the caller had disconnected.
type Sink interface {
	// Head is called at most once, before any call of Data.
	Head(status int, headers []wire.Header) error
	// Data receives a chunk of the response that contains the given number of
	// tokens. p is valid only during the call.
	Data(tokens uint32, p []byte) error
}

// Outcome is the result of a call.
type Outcome struct {
	Verdict verdict.Verdict
	// Err is nil if the sink received the complete response.
	Err *verdict.Error
	// Bill is the cost of the request, nil if it costs nothing. If the response
	// of an earlier attempt was replayed, it is the bill of that attempt.
	Bill     *budget.Bill
	Attempts []AttemptSummary
}

// AttemptSummary describes one attempt of a call, for operators.
type AttemptSummary struct {
	Server, Region string
	// Reason says why the server was chosen.
	Reason           string
	ID               uuid.UUID
	Reserved, Billed budget.Tokens
	Verdict          verdict.Verdict
	// Code is empty if the attempt delivered its complete response.
	Code    verdict.Code
	Elapsed time.Duration
}
