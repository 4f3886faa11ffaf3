// Package wire implements the protocol between the processes of a deployment:
// authenticated sessions over TCP or TLS, framed streams that carry requests and
// responses, and remote procedure calls. Routers, agents and the operators' tool
// use it; it contains no routing, admission or budget policy.
//
// Messages are CBOR maps with integer keys. A receiver ignores unknown keys, so
// that adjacent protocol versions interoperate during a rollout; a key is never
// reused with another meaning.
package wire

import (
	"github.com/google/uuid"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
)

// Range of protocol versions that this build supports.
const (
	MinVersion = 1
	MaxVersion = 1
)

// Size limits of what a peer may send.
const (
	// MaxFrameBytes is the maximum payload of one frame.
	MaxFrameBytes = 256 << 10
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes = 4 << 20
	// MaxRPCBytes is the maximum size of the header or the body of an RPC message.
	MaxRPCBytes = 4 << 20
)

// Role is the role of a process.
type Role string

// Roles of the daemon, and of the operators' tool.
const (
	RoleRouter Role = "router"
	RoleAgent  Role = "agent"
	// RoleGate is a router that connects to backend servers directly and charges
	// requests to quotas in the platform's store. It has no sessions.
	RoleGate Role = "gate"
	// RoleRelay grants the reservations that gates request, and forwards the store
	// calls of gates to the platform's store. It has no sessions.
	RoleRelay Role = "relay"
	RoleTool  Role = "tool"
)

// Hello is the first message in each direction of a session.
type Hello struct {
	MinVersion uint16        `cbor:"1,keyasint"`
	MaxVersion uint16        `cbor:"2,keyasint"`
	Role       Role          `cbor:"3,keyasint"`
	Name       string        `cbor:"4,keyasint"`
	Region     string        `cbor:"5,keyasint"`
	Domain     string        `cbor:"6,keyasint"`
	Boot       budget.BootID `cbor:"7,keyasint"`
	// Nonce is a random challenge. The peer proves that it has the deployment's
	// shared secret by an HMAC-SHA-256 over both hellos.
	Nonce []byte `cbor:"8,keyasint"`
}

// TargetKind is the kind of target that an attempt runs on.
type TargetKind uint8

const (
	// KindModel is a model engine.
	KindModel TargetKind = 1
	// KindService is a plain service, that is one without a model engine.
	KindService TargetKind = 2
)

// Header is one HTTP header field.
type Header struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Claim is the right to run the request of an idempotency key. The holder of the key's
// account grants it to one attempt; see ClaimArgs.
type Claim struct {
	Account budget.Account `cbor:"1,keyasint"`
	Epoch   uint64         `cbor:"2,keyasint"`
	// KeyHash is the SHA-256 of workspace and key.
	KeyHash [32]byte `cbor:"3,keyasint"`
	// RequestHash is the SHA-256 of the request's content.
	RequestHash [32]byte `cbor:"4,keyasint"`
}

// ExecRequest asks an agent to run one attempt. The body follows in FrameBody
// frames.
type ExecRequest struct {
	Request uuid.UUID `cbor:"1,keyasint"`
	Attempt uuid.UUID `cbor:"2,keyasint"`
	// Router is the sender. An agent refuses an incarnation that is fenced for the
	// lot's account.
	Router budget.Incarnation `cbor:"3,keyasint"`
	// AgentBoot is the boot ID of the agent that the router selected. An agent
	// that has restarted since refuses the attempt.
	AgentBoot budget.BootID `cbor:"4,keyasint"`
	Budget    budget.ID     `cbor:"5,keyasint"`
	Lot       budget.LotID  `cbor:"6,keyasint"`
	// Slot is the number of the attempt's reservation within Lot.
	Slot budget.Slot `cbor:"7,keyasint"`
	// MaxCost is the upper bound of the attempt's cost in tokens.
	MaxCost budget.Tokens `cbor:"8,keyasint"`
	// MaxPromptCost is the part of MaxCost that is reserved for the prompt.
	MaxPromptCost budget.Tokens `cbor:"9,keyasint,omitempty"`
	Kind          TargetKind    `cbor:"10,keyasint"`
	// Target is the model or the plain service.
	Target  string   `cbor:"11,keyasint"`
	Method  string   `cbor:"12,keyasint"`
	Path    string   `cbor:"13,keyasint"`
	Headers []Header `cbor:"14,keyasint,omitempty"`
	// Stream requests the response as server-sent events.
	Stream bool `cbor:"15,keyasint,omitempty"`
	// DeadlineMillis is the time remaining until the caller's deadline in
	// milliseconds, 0 without a deadline.
	DeadlineMillis int64 `cbor:"16,keyasint,omitempty"`
	// Priority is higher for more urgent requests.
	Priority int8 `cbor:"17,keyasint,omitempty"`
	// Claim is set if the caller sent an idempotency key.
	Claim *Claim `cbor:"18,keyasint,omitempty"`
	// Fingerprint is a hash of the model, the prompt and the parameters. Requests
	// with the same fingerprint are the same to an engine.
	Fingerprint uint64 `cbor:"19,keyasint,omitempty"`
	// Prefixes holds the hashes of the prompt's leading blocks, shortest first.
	Prefixes    []uint64 `cbor:"20,keyasint,omitempty"`
	TraceParent string   `cbor:"21,keyasint,omitempty"`
	BodyBytes   int      `cbor:"22,keyasint"`
	// Idempotent is set if the request may be retried after it may have run.
	Idempotent bool `cbor:"23,keyasint,omitempty"`
	// MaxOutput is the maximum length of the response in tokens.
	MaxOutput budget.Tokens `cbor:"24,keyasint,omitempty"`
	// AccountEpoch is the epoch of the holder that last confirmed the lot. An
	// agent refuses an epoch below the highest MinAccountEpoch that it received,
	// so that the grants of a deposed holder cannot be used.
	AccountEpoch uint64 `cbor:"25,keyasint,omitempty"`
}

// AttachRequest asks an agent for the response of an attempt, starting at an
// offset, after a session was lost or for a repeated idempotency key.
type AttachRequest struct {
	Attempt uuid.UUID `cbor:"1,keyasint"`
	// Offset is the number of FrameData frames already received.
	Offset int `cbor:"2,keyasint"`
}

// Load is the load of an agent's server at one moment.
type Load struct {
	Running int32 `cbor:"1,keyasint"`
	Queued  int32 `cbor:"2,keyasint"`
	// Slots is the number of requests that the server runs concurrently.
	Slots int32 `cbor:"3,keyasint"`
	// FirstTokenMillis is the expected time to first token, in milliseconds, of a
	// request without a cached prefix.
	FirstTokenMillis int32 `cbor:"4,keyasint"`
	Draining         bool  `cbor:"5,keyasint,omitempty"`
}

// Refused means that the attempt did not run and will not run.
type Refused struct {
	Attempt uuid.UUID    `cbor:"1,keyasint"`
	Code    verdict.Code `cbor:"2,keyasint"`
	Detail  string       `cbor:"3,keyasint,omitempty"`
	// RetryAfterMillis is the time after which a retry may succeed, 0 if it does
	// not depend on time.
	RetryAfterMillis int64 `cbor:"4,keyasint,omitempty"`
	Load             Load  `cbor:"5,keyasint"`
}

// Accepted means that the attempt may run from now on.
type Accepted struct {
	Attempt uuid.UUID `cbor:"1,keyasint"`
	Load    Load      `cbor:"2,keyasint"`
}

// Head is the status and the header of the server's response.
type Head struct {
	Attempt uuid.UUID `cbor:"1,keyasint"`
	Status  int       `cbor:"2,keyasint"`
	Headers []Header  `cbor:"3,keyasint,omitempty"`
}

// Done is the end of an attempt. An agent that no longer knows an attempt, or
// never did, reports it with verdict Unknown.
type Done struct {
	Attempt uuid.UUID       `cbor:"1,keyasint"`
	Verdict verdict.Verdict `cbor:"2,keyasint"`
	// Code is empty if the complete response was delivered.
	Code   verdict.Code `cbor:"3,keyasint,omitempty"`
	Detail string       `cbor:"4,keyasint,omitempty"`
	// Bill is nil if the attempt costs nothing.
	Bill *budget.Bill `cbor:"5,keyasint,omitempty"`
	Load Load         `cbor:"6,keyasint"`
	// Crashed is set if the server crashed while the attempt was in progress.
	Crashed bool `cbor:"7,keyasint,omitempty"`
	// CrashID is the ID of that crash, as in the agent's CrashReport; zero if
	// unknown.
	CrashID uuid.UUID `cbor:"8,keyasint"`
}

// ProbeArgs asks an agent for the expected time to first token of a request.
type ProbeArgs struct {
	Target string `cbor:"1,keyasint"`
	// PromptTokens is the estimated length of the prompt.
	PromptTokens int32    `cbor:"2,keyasint,omitempty"`
	Prefixes     []uint64 `cbor:"3,keyasint,omitempty"`
	Priority     int8     `cbor:"4,keyasint,omitempty"`
}

// ProbeReply is the reply to ProbeArgs.
type ProbeReply struct {
	// FirstTokenMillis is the expected time to first token in milliseconds.
	FirstTokenMillis int32 `cbor:"1,keyasint"`
	// CachedTokens is the estimated length of the prompt's cached prefix.
	CachedTokens int32 `cbor:"2,keyasint,omitempty"`
	Load         Load  `cbor:"3,keyasint"`
	// Serves is false if the server does not offer the target or does not respond.
	Serves bool `cbor:"4,keyasint"`
}

// ResolveArgs asks for the state of an attempt. With Tombstone set, an agent that does
// not know the attempt adds a tombstone and refuses the attempt from then on.
type ResolveArgs struct {
	Attempt   uuid.UUID `cbor:"1,keyasint"`
	Tombstone bool      `cbor:"2,keyasint"`
}

// AttemptState is the state of an attempt at an agent.
type AttemptState uint8

const (
	// AttemptUnknown means that the agent has not seen the attempt, or has a
	// tombstone for it.
	AttemptUnknown AttemptState = iota
	// AttemptRunning means that the attempt is queued or running.
	AttemptRunning
	// AttemptFinished means that the response is complete and still retained.
	AttemptFinished
	// AttemptExpired means that the attempt ran, or may have run, and its response
	// is no longer retained.
	AttemptExpired
)

// ResolveReply is the reply to ResolveArgs.
type ResolveReply struct {
	Boot  budget.BootID `cbor:"1,keyasint"` // of the agent
	State AttemptState  `cbor:"2,keyasint"`
	// Done is set for a finished or expired attempt.
	Done *Done `cbor:"3,keyasint,omitempty"`
}

// CollectArgs asks an agent for the bills, running attempts and claims of an
// account. The holder sends it after a router failed and after it became the
// holder of the account.
type CollectArgs struct {
	Account budget.Account `cbor:"1,keyasint"`
	// FenceRouter, if not nil, makes the agent refuse that router incarnation
	// for the account from now on.
	FenceRouter *budget.Incarnation `cbor:"2,keyasint,omitempty"`
	// MinClaimEpoch makes the agent refuse claims of the account with a lower
	// epoch from now on; 0 leaves the current minimum.
	MinClaimEpoch uint64 `cbor:"3,keyasint,omitempty"`
	// WithClaims asks for the claimed idempotency keys.
	WithClaims bool `cbor:"4,keyasint,omitempty"`
	// FenceBefore limits FenceRouter to the lots before this position, so that a
	// router that was wrongly considered failed can use lots granted later.
	FenceBefore budget.LotPosition `cbor:"5,keyasint,omitempty"`
	// MinAccountEpoch makes the agent refuse requests whose lot was last confirmed
	// in a lower epoch of the account; 0 leaves the current minimum.
	MinAccountEpoch uint64 `cbor:"6,keyasint,omitempty"`
}

// RunningAttempt is an attempt in progress at an agent, with its reservation.
type RunningAttempt = budget.RunningAttempt

// ClaimedAttempt is an attempt that the agent received with a claim.
type ClaimedAttempt struct {
	KeyHash     [32]byte  `cbor:"1,keyasint"`
	RequestHash [32]byte  `cbor:"2,keyasint"`
	Attempt     uuid.UUID `cbor:"3,keyasint"`
}

// CollectReply is the reply to CollectArgs.
type CollectReply struct {
	Agent budget.Incarnation `cbor:"1,keyasint"`
	// UptimeMillis is the time since the agent started, in milliseconds; the agent
	// has no records from before. It is a duration, so that it does not depend on
	// the agent's clock.
	UptimeMillis int64            `cbor:"2,keyasint"`
	Bills        []budget.Bill    `cbor:"3,keyasint,omitempty"`
	RouterBoots  []budget.BootID  `cbor:"4,keyasint,omitempty"` // for each bill, the boot ID of the router that it was made for
	Running      []RunningAttempt `cbor:"5,keyasint,omitempty"`
	Claims       []ClaimedAttempt `cbor:"6,keyasint,omitempty"`
	// AccountEpoch is the minimum epoch that the agent enforces for the account.
	// If it is above the holder's own epoch, the holder is deposed.
	AccountEpoch uint64 `cbor:"7,keyasint,omitempty"`
}

// AckBillsArgs acknowledges bills as durable, so that the agent can delete them.
type AckBillsArgs struct {
	Attempts []uuid.UUID `cbor:"1,keyasint"`
}

// Empty is a message without content.
type Empty struct{}

// ClaimArgs asks the holder of an idempotency key's account for the right to run a
// request.
type ClaimArgs struct {
	Account     budget.Account     `cbor:"1,keyasint"`
	KeyHash     [32]byte           `cbor:"2,keyasint"`
	RequestHash [32]byte           `cbor:"3,keyasint"`
	Router      budget.Incarnation `cbor:"4,keyasint"`
	// Attempt is the attempt that the router dispatches if the key is new.
	Attempt uuid.UUID `cbor:"5,keyasint"`
	// Server and AgentBoot identify the agent that the attempt is sent to.
	Server    string        `cbor:"6,keyasint"`
	AgentBoot budget.BootID `cbor:"7,keyasint"`
	// Replaces, if not zero, is an earlier attempt for the key that did not run and
	// never will.
	Replaces uuid.UUID `cbor:"8,keyasint"`
	// KeyUnixMilli is the timestamp within the key, 0 if the key has none.
	KeyUnixMilli int64 `cbor:"9,keyasint,omitempty"`
}

// ClaimOutcome is the result of a ClaimArgs call.
type ClaimOutcome uint8

const (
	// ClaimUnavailable means that the receiver cannot decide: it is not the holder
	// of the account, is still rebuilding its claims or has no room for another one.
	ClaimUnavailable ClaimOutcome = iota
	// ClaimNew means that the attempt may be dispatched.
	ClaimNew
	// ClaimExists means that the key was claimed before for the same request.
	ClaimExists
	// ClaimMismatch means that the key was claimed for another request.
	ClaimMismatch
	// ClaimUncertain means that the key may have been used before the
	// deduplication horizon.
	ClaimUncertain
)

// ClaimReply is the reply to ClaimArgs.
type ClaimReply struct {
	Outcome ClaimOutcome `cbor:"1,keyasint"`
	Epoch   uint64       `cbor:"2,keyasint"`
	// Attempt, Server and AgentBoot identify the earlier attempt if Outcome is
	// ClaimExists.
	Attempt   uuid.UUID     `cbor:"3,keyasint"`
	Server    string        `cbor:"4,keyasint"`
	AgentBoot budget.BootID `cbor:"5,keyasint"`
}

// CrashReport informs a router that a server crashed, or that its agent was lost,
// with requests in progress. Each of these requests is then a suspect: it may be a
// poison request, which crashes the servers that run it.
type CrashReport struct {
	Server    string        `cbor:"1,keyasint"`
	AgentBoot budget.BootID `cbor:"2,keyasint"`
	// CrashID is the same in all reports of one crash.
	CrashID uuid.UUID `cbor:"3,keyasint"`
	// Fingerprints are those of the requests in progress.
	Fingerprints []uint64 `cbor:"4,keyasint"`
	// Route is the hop that the report was sent on, so that it is forwarded exactly
	// once.
	Route ReportRoute `cbor:"5,keyasint,omitempty"`
}

// ReportRoute is the hop of a CrashReport.
type ReportRoute uint8

const (
	// ReportDirect is sent by the agent or router that detected the crash to all
	// routers of its region.
	ReportDirect ReportRoute = iota
	// ReportCrossRegion is sent by the home router of a suspect to the suspect's home
	// router in each other region.
	ReportCrossRegion
	// ReportIntraRegion is sent by the receiver of a ReportCrossRegion to the
	// routers of its region.
	ReportIntraRegion
)

// PermitArgs asks the home router of a suspect for a permit to run it once. The
// fingerprint determines the home router, one in each region.
type PermitArgs struct {
	Fingerprint uint64    `cbor:"1,keyasint"`
	Attempt     uuid.UUID `cbor:"2,keyasint"`
	// Finished ends the permit of Attempt instead. Completed is set if the request
	// ran to completion, so that it is no longer a suspect.
	Finished  bool `cbor:"3,keyasint,omitempty"`
	Completed bool `cbor:"4,keyasint,omitempty"`
	// Crashes are the crashes that the sender knows of, for a home router that
	// started after they were reported.
	Crashes []uuid.UUID `cbor:"5,keyasint,omitempty"`
}

// PermitReply is the reply to PermitArgs.
type PermitReply struct {
	Granted bool `cbor:"1,keyasint"`
	// Blocked means that the suspect crashed too many servers.
	Blocked bool `cbor:"2,keyasint,omitempty"`
	// Crashes is the number of crashes with the suspect in progress.
	Crashes int `cbor:"3,keyasint,omitempty"`
	// RetryAfterMillis is set if another attempt of the suspect is in progress.
	RetryAfterMillis int64 `cbor:"4,keyasint,omitempty"`
}
