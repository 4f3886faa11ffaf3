// Package wire is the protocol between the processes of a deployment: sessions
// over TCP or TLS, framed streams that carry requests and answers, and remote
// procedure calls. It knows no policy.
//
// Messages are CBOR maps with integer keys. A receiver ignores keys that it does
// not know, so that neighbouring protocol versions work together during a
// rollout; a key is never used for another meaning.
package wire

import (
	"github.com/google/uuid"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
)

// Protocol versions that this build speaks.
const (
	MinVersion = 1
	MaxVersion = 1
)

// Limits on what a peer may send.
const (
	// MaxFrameBytes bounds one frame, header excluded.
	MaxFrameBytes = 256 << 10
	// MaxBodyBytes bounds a request body.
	MaxBodyBytes = 4 << 20
	// MaxRPCBytes bounds one RPC message.
	MaxRPCBytes = 4 << 20
)

// Role is the role of a process.
type Role string

// Roles of the daemon, and of the operators' tool.
const (
	RoleRouter Role = "router"
	RoleAgent  Role = "agent"
	// RoleGate is a router that reaches backend servers itself and keeps budgets in
	// the platform's store. It has no sessions.
	RoleGate Role = "gate"
	// RoleRelay passes gates' calls to the platform's store on. It has no sessions.
	RoleRelay Role = "relay"
	RoleTool  Role = "tool"
)

// Hello is the first message each way on a session.
type Hello struct {
	MinVersion uint16        `cbor:"1,keyasint"`
	MaxVersion uint16        `cbor:"2,keyasint"`
	Role       Role          `cbor:"3,keyasint"`
	Name       string        `cbor:"4,keyasint"`
	Region     string        `cbor:"5,keyasint"`
	Domain     string        `cbor:"6,keyasint"`
	Boot       budget.BootID `cbor:"7,keyasint"`
	// Nonce is the challenge that the peer answers with an HMAC-SHA-256 over
	// both hellos, keyed by the deployment's shared secret.
	Nonce []byte `cbor:"8,keyasint"`
}

// TargetKind says what an attempt runs on.
type TargetKind uint8

const (
	// KindModel is a request to a model engine.
	KindModel TargetKind = 1
	// KindService is a request to a plain service.
	KindService TargetKind = 2
)

// Header is one HTTP header field.
type Header struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Claim is the claim of an idempotency key that an attempt runs under.
type Claim struct {
	Account budget.Account `cbor:"1,keyasint"`
	Epoch   uint64         `cbor:"2,keyasint"`
	// KeyHash is the SHA-256 of workspace and key.
	KeyHash [32]byte `cbor:"3,keyasint"`
	// RequestHash is the SHA-256 of what the caller asked for.
	RequestHash [32]byte `cbor:"4,keyasint"`
}

// ExecRequest asks an agent to run one attempt. The body follows in Body frames.
type ExecRequest struct {
	Request uuid.UUID `cbor:"1,keyasint"`
	Attempt uuid.UUID `cbor:"2,keyasint"`
	// Router is the sender; an agent refuses an incarnation that was fenced for
	// the lot's account.
	Router budget.Incarnation `cbor:"3,keyasint"`
	// TargetBoot is the agent's boot that the router means. An agent that has
	// restarted since refuses the attempt.
	TargetBoot budget.BootID `cbor:"4,keyasint"`
	Budget     budget.ID     `cbor:"5,keyasint"`
	Lot        budget.LotID  `cbor:"6,keyasint"`
	Slot       budget.Slot   `cbor:"7,keyasint"`
	// MaxCost is the most that the attempt may cost, in tokens.
	MaxCost budget.Tokens `cbor:"8,keyasint"`
	// MaxPromptCost is the part of Reserve set aside for the prompt.
	MaxPromptCost budget.Tokens `cbor:"9,keyasint,omitempty"`
	Kind          TargetKind    `cbor:"10,keyasint"`
	// Target is the model or the plain service.
	Target  string   `cbor:"11,keyasint"`
	Method  string   `cbor:"12,keyasint"`
	Path    string   `cbor:"13,keyasint"`
	Headers []Header `cbor:"14,keyasint,omitempty"`
	// Stream asks for the answer as server-sent events.
	Stream bool `cbor:"15,keyasint,omitempty"`
	// DeadlineMillis is the time left until the caller's deadline, 0 for none.
	DeadlineMillis int64 `cbor:"16,keyasint,omitempty"`
	// Priority is higher for more urgent work.
	Priority int8 `cbor:"17,keyasint,omitempty"`
	// Claim is set if the caller sent an idempotency key.
	Claim *Claim `cbor:"18,keyasint,omitempty"`
	// Fingerprint is a hash of what makes two requests the same to an engine.
	Fingerprint uint64 `cbor:"19,keyasint,omitempty"`
	// Prefixes holds the hashes of the prompt's leading blocks, shortest first.
	Prefixes    []uint64 `cbor:"20,keyasint,omitempty"`
	TraceParent string   `cbor:"21,keyasint,omitempty"`
	BodyBytes   int      `cbor:"22,keyasint"`
	// Idempotent is set if the call may be repeated after it may have run.
	Idempotent bool `cbor:"23,keyasint,omitempty"`
	// Model parameters that the agent needs to bound the answer.
	MaxOutput budget.Tokens `cbor:"24,keyasint,omitempty"`
	// AccountEpoch is the epoch of the holder that confirmed the lot last. An
	// agent refuses one below the epoch that it was collected with, so that the
	// grants of a replaced holder cannot be used.
	AccountEpoch uint64 `cbor:"25,keyasint,omitempty"`
}

// AttachRequest asks an agent for the answer of an attempt from an offset on, after a
// lost session or for a repeated idempotency key.
type AttachRequest struct {
	Attempt uuid.UUID `cbor:"1,keyasint"`
	// Offset is the number of Data frames already received.
	Offset int `cbor:"2,keyasint"`
}

// Load is what an agent knows about its server at one moment.
type Load struct {
	Running int32 `cbor:"1,keyasint"`
	Queued  int32 `cbor:"2,keyasint"`
	// Slots is the number of requests that the server runs at once.
	Slots int32 `cbor:"3,keyasint"`
	// FirstTokenMillis is the expected time to the first token of a request
	// with no cached prefix.
	FirstTokenMillis int32 `cbor:"4,keyasint"`
	Draining         bool  `cbor:"5,keyasint,omitempty"`
}

// Refused means that the attempt did not run and never will.
type Refused struct {
	Attempt uuid.UUID    `cbor:"1,keyasint"`
	Code    verdict.Code `cbor:"2,keyasint"`
	Detail  string       `cbor:"3,keyasint,omitempty"`
	// RetryAfterMillis is 0 if waiting does not help.
	RetryAfterMillis int64 `cbor:"4,keyasint,omitempty"`
	Load             Load  `cbor:"5,keyasint"`
}

// Accepted means that the attempt may run from now on.
type Accepted struct {
	Attempt uuid.UUID `cbor:"1,keyasint"`
	Load    Load      `cbor:"2,keyasint"`
}

// Head is the status and header of the server's answer.
type Head struct {
	Attempt uuid.UUID `cbor:"1,keyasint"`
	Status  int       `cbor:"2,keyasint"`
	Headers []Header  `cbor:"3,keyasint,omitempty"`
}

// Done ends an attempt that was accepted.
type Done struct {
	Attempt uuid.UUID       `cbor:"1,keyasint"`
	Verdict verdict.Verdict `cbor:"2,keyasint"`
	// Code is empty if the whole answer was delivered.
	Code   verdict.Code `cbor:"3,keyasint,omitempty"`
	Detail string       `cbor:"4,keyasint,omitempty"`
	// Bill is nil if the attempt costs nothing.
	Bill *budget.Bill `cbor:"5,keyasint,omitempty"`
	Load Load         `cbor:"6,keyasint"`
	// Crashed is set if the server died while the attempt was in progress.
	Crashed bool `cbor:"7,keyasint,omitempty"`
	// CrashID is the id of that crash, as in the agent's CrashReport.
	CrashID uuid.UUID `cbor:"8,keyasint"`
}

// ProbeArgs asks an agent how long a request would wait.
type ProbeArgs struct {
	Target string `cbor:"1,keyasint"`
	// PromptTokens is the estimated length of the prompt.
	PromptTokens int32    `cbor:"2,keyasint,omitempty"`
	Prefixes     []uint64 `cbor:"3,keyasint,omitempty"`
	Priority     int8     `cbor:"4,keyasint,omitempty"`
}

// ProbeReply answers ProbeArgs.
type ProbeReply struct {
	// FirstTokenMillis is the expected time to the first token.
	FirstTokenMillis int32 `cbor:"1,keyasint"`
	// CachedTokens is the part of the prompt believed to be cached.
	CachedTokens int32 `cbor:"2,keyasint,omitempty"`
	Load         Load  `cbor:"3,keyasint"`
	// Serves is false if the server does not have the model.
	Serves bool `cbor:"4,keyasint"`
}

// ResolveArgs asks what became of an attempt. With Fence set, an agent that has
// not seen the attempt will refuse it from now on.
type ResolveArgs struct {
	Attempt uuid.UUID `cbor:"1,keyasint"`
	Fence   bool      `cbor:"2,keyasint"`
}

// AttemptState is what an agent knows about an attempt.
type AttemptState uint8

const (
	// AttemptUnknown means that the agent's memory has no such attempt.
	AttemptUnknown AttemptState = iota
	// AttemptRunning means that it is queued or running.
	AttemptRunning
	// AttemptFinished means that its answer is complete and still kept.
	AttemptFinished
	// AttemptExpired means that it ran and its answer is no longer kept.
	AttemptExpired
)

// ResolveReply answers ResolveArgs.
type ResolveReply struct {
	Boot  budget.BootID `cbor:"1,keyasint"`
	State AttemptState  `cbor:"2,keyasint"`
	// Done is set for a finished or forgotten attempt.
	Done *Done `cbor:"3,keyasint,omitempty"`
}

// CollectArgs asks an agent for what it knows about an account's requests. The
// holder sends it when a router died or after it took the account over.
type CollectArgs struct {
	Account budget.Account `cbor:"1,keyasint"`
	// FenceRouter, if not nil, makes the agent refuse that router incarnation
	// for the account from now on.
	FenceRouter *budget.Incarnation `cbor:"2,keyasint,omitempty"`
	// MinClaimEpoch makes the agent refuse claims of the account with a lower
	// epoch from now on; 0 leaves it as it is.
	MinClaimEpoch uint64 `cbor:"3,keyasint,omitempty"`
	// WithClaims asks for the keys of attempts.
	WithClaims bool `cbor:"4,keyasint,omitempty"`
	// FenceBefore limits FenceRouter to the lots up to this one, so that a
	// router that was given up by mistake can use lots granted later.
	FenceBefore budget.LotPosition `cbor:"5,keyasint,omitempty"`
	// MinAccountEpoch makes the agent refuse requests whose lot was not confirmed
	// by a holder of this epoch of the account; 0 leaves it as it is.
	MinAccountEpoch uint64 `cbor:"6,keyasint,omitempty"`
}

// RunningAttempt is a reservation in use at an agent.
type RunningAttempt = budget.RunningAttempt

// ClaimedAttempt ties an idempotency key to an attempt that the agent has seen.
type ClaimedAttempt struct {
	KeyHash     [32]byte  `cbor:"1,keyasint"`
	RequestHash [32]byte  `cbor:"2,keyasint"`
	Attempt     uuid.UUID `cbor:"3,keyasint"`
}

// CollectReply answers CollectArgs.
type CollectReply struct {
	Agent budget.Incarnation `cbor:"1,keyasint"`
	// UptimeMillis is how long the agent's memory reaches back. It is a duration
	// so that it does not depend on the agent's clock.
	UptimeMillis int64            `cbor:"2,keyasint"`
	Bills        []budget.Bill    `cbor:"3,keyasint,omitempty"`
	RouterBoots  []budget.BootID  `cbor:"4,keyasint,omitempty"` // maker of each bill's lot, parallel to Bills
	Running      []RunningAttempt `cbor:"5,keyasint,omitempty"`
	Claims       []ClaimedAttempt `cbor:"6,keyasint,omitempty"`
	// AccountEpoch is the epoch that the agent enforces for the account. A
	// higher one than the holder's own tells it that it was replaced.
	AccountEpoch uint64 `cbor:"7,keyasint,omitempty"`
}

// AckBillsArgs tells an agent that bills are durable and can be deleted.
type AckBillsArgs struct {
	Attempts []uuid.UUID `cbor:"1,keyasint"`
}

// Empty is an answer without content.
type Empty struct{}

// ClaimArgs asks the home of an idempotency key for the right to run a request.
type ClaimArgs struct {
	Account     budget.Account     `cbor:"1,keyasint"`
	KeyHash     [32]byte           `cbor:"2,keyasint"`
	RequestHash [32]byte           `cbor:"3,keyasint"`
	Router      budget.Incarnation `cbor:"4,keyasint"`
	// Attempt is the attempt that the router will dispatch if the key is new.
	Attempt uuid.UUID `cbor:"5,keyasint"`
	// Server and ServerBoot name the agent that it will be sent to.
	Server     string        `cbor:"6,keyasint"`
	ServerBoot budget.BootID `cbor:"7,keyasint"`
	// Replaces, if not zero, is an earlier attempt for the key that certainly
	// did not run and is fenced at its agent.
	Replaces uuid.UUID `cbor:"8,keyasint"`
	// KeyUnixMilli is the time that the key carries, 0 if it carries none.
	KeyUnixMilli int64 `cbor:"9,keyasint,omitempty"`
}

// ClaimOutcome is the answer to a claim.
type ClaimOutcome uint8

const (
	// ClaimUnavailable means that the receiver cannot decide: it does not hold
	// the account or is still rebuilding its claims.
	ClaimUnavailable ClaimOutcome = iota
	// ClaimNew means that the attempt may be dispatched.
	ClaimNew
	// ClaimExists means that the key was claimed before, for the same request.
	ClaimExists
	// ClaimMismatch means that the key was claimed for another request.
	ClaimMismatch
	// ClaimUncertain means that the key may have been used before the home's
	// memory begins.
	ClaimUncertain
)

// ClaimReply answers ClaimArgs.
type ClaimReply struct {
	Outcome ClaimOutcome `cbor:"1,keyasint"`
	Epoch   uint64       `cbor:"2,keyasint"`
	// Attempt, Server and ServerBoot name the earlier attempt if the outcome
	// is ClaimExists.
	Attempt    uuid.UUID     `cbor:"3,keyasint"`
	Server     string        `cbor:"4,keyasint"`
	ServerBoot budget.BootID `cbor:"5,keyasint"`
}

// CrashReport tells a router that a server died with requests in progress.
type CrashReport struct {
	Server       string        `cbor:"1,keyasint"`
	ServerBoot   budget.BootID `cbor:"2,keyasint"`
	CrashID      uuid.UUID     `cbor:"3,keyasint"`
	Fingerprints []uint64      `cbor:"4,keyasint"`
	// Route says how the report came, so that it is passed on exactly once.
	Route ReportRoute `cbor:"5,keyasint,omitempty"`
}

// ReportRoute is the way of a CrashReport.
type ReportRoute uint8

const (
	// ReportDirect is sent to each router of the server's region.
	ReportDirect ReportRoute = iota
	// ReportCrossRegion is sent by a home router to one router of each other
	// region.
	ReportCrossRegion
	// ReportIntraRegion is sent by that router to the routers of its region.
	ReportIntraRegion
)

// PermitArgs asks a suspect's home router for permission to run it once.
type PermitArgs struct {
	Fingerprint uint64    `cbor:"1,keyasint"`
	Attempt     uuid.UUID `cbor:"2,keyasint"`
	// Finished ends an earlier permit; Completed tells that the request ran to
	// its end.
	Finished  bool `cbor:"3,keyasint,omitempty"`
	Completed bool `cbor:"4,keyasint,omitempty"`
	// Crashes holds the crashes that the asking router knows of, for a home
	// router that started after they were reported.
	Crashes []uuid.UUID `cbor:"5,keyasint,omitempty"`
}

// PermitReply answers PermitArgs.
type PermitReply struct {
	Granted bool `cbor:"1,keyasint"`
	// Blocked means that the suspect crashed too many servers.
	Blocked bool `cbor:"2,keyasint,omitempty"`
	// Crashes is the number of servers that died with it in progress.
	Crashes int `cbor:"3,keyasint,omitempty"`
	// RetryAfterMillis is set if another run of it is in progress.
	RetryAfterMillis int64 `cbor:"4,keyasint,omitempty"`
}

// SyncPollArgs asks a relay for what changed after a revision.
type SyncPollArgs struct {
	// After is the highest store revision that the poller has. -n-1 asks for a
	// Full answer at revision n or above.
	After int64 `cbor:"1,keyasint"`
	// HostsVersion is the version of the host list that the poller has.
	HostsVersion uint64 `cbor:"2,keyasint"`
	// KeyPatterns limits the answer to these key prefixes. An interest with a "*"
	// selects the keys that begin with what precedes it and end with what
	// follows it.
	KeyPatterns []string `cbor:"3,keyasint,omitempty"`
	// MaxWaitMillis is how long the relay may wait for a change.
	MaxWaitMillis int64 `cbor:"4,keyasint"`
	// Connected is set if the poller believes that the relay is in contact with
	// the store. The relay answers at once if that is wrong.
	Connected bool `cbor:"5,keyasint,omitempty"`
}

// SyncEntry is one key of the store as a relay knows it.
type SyncEntry struct {
	Key         string `cbor:"1,keyasint"`
	Value       []byte `cbor:"2,keyasint,omitempty"`
	ModRevision int64  `cbor:"3,keyasint"`
	Deleted     bool   `cbor:"4,keyasint,omitempty"`
}

// SyncHost is one line of the platform's host list.
type SyncHost struct {
	Name    string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
	Role    Role   `cbor:"3,keyasint"`
	Region  string `cbor:"4,keyasint"`
	Domain  string `cbor:"5,keyasint"`
	Leaving bool   `cbor:"6,keyasint,omitempty"`
	// Pool names what a backend server serves; it is empty for a router.
	Pool string `cbor:"7,keyasint,omitempty"`
}

// CommandArgs is an order of the rollout leader for a server's engine.
type CommandArgs struct {
	// FencingToken is the leader's fence number. An agent refuses a number lower than
	// the highest it has seen.
	FencingToken int64  `cbor:"1,keyasint"`
	Kind         string `cbor:"2,keyasint"`
	Model        string `cbor:"3,keyasint"`
	Value        string `cbor:"4,keyasint,omitempty"`
}

// CommandReply answers CommandArgs.
type CommandReply struct {
	Done bool `cbor:"1,keyasint"`
	// Fenced means that the agent or the engine knows a higher fence number.
	Fenced bool   `cbor:"2,keyasint,omitempty"`
	Detail string `cbor:"3,keyasint,omitempty"`
}

// SyncPollReply answers SyncPollArgs.
type SyncPollReply struct {
	Entries []SyncEntry `cbor:"1,keyasint,omitempty"`
	// Revision is the store revision up to which the answer is complete.
	Revision int64 `cbor:"2,keyasint"`
	// LastContactMillis is how long ago the relay was in contact with the store, -1
	// if never.
	LastContactMillis int64 `cbor:"3,keyasint"`
	// Hosts is the whole host list if it differs from the poller's version, or
	// with HostsDelta what is new or changed against the poller's version.
	Hosts        []SyncHost `cbor:"4,keyasint,omitempty"`
	HostsVersion uint64     `cbor:"5,keyasint"`
	// Full means that Entries holds everything and replaces what the poller has
	// under its interests, as far as its revisions are higher.
	Full bool `cbor:"6,keyasint,omitempty"`
	// HostsDelta means that Hosts and HostsRemoved are relative to the poller's
	// version of the host list.
	HostsDelta   bool     `cbor:"7,keyasint,omitempty"`
	HostsRemoved []string `cbor:"8,keyasint,omitempty"`
	// HostsAgeMillis is how long ago the relay read the host list or heard of
	// its version from a relay that did, -1 if never.
	HostsAgeMillis int64 `cbor:"9,keyasint,omitempty"`
	// TombstoneHorizon is a revision up to which deletions may be missing in Entries.
	TombstoneHorizon int64 `cbor:"10,keyasint,omitempty"`
	// KeySetHash is the exclusive or of the xxhash64 of each existing key under the
	// poller's interests at Revision. It is set if the poller's revision is below
	// Horizon and the answer is complete up to the relay's revision.
	KeySetHash uint64 `cbor:"11,keyasint,omitempty"`
	// More means that the answer was cut at its size limit; the poller asks again
	// at once.
	More bool `cbor:"12,keyasint,omitempty"`
}
