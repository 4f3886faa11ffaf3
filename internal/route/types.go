// Package route chooses a backend server for each attempt, and keeps what the
// router knows about the servers' health. It knows nothing of HTTP.
package route

import (
	"time"

	"github.com/monsoonworks/monsoonworks/internal/hosts"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// Query describes the request that needs a server. The time left for the first
// token is the deadline of the context that it is passed with.
type Query struct {
	// Target is the model or the plain service.
	Target string
	Kind   wire.TargetKind
	// Prefixes holds the hashes of the prompt's leading blocks, shortest first.
	Prefixes []uint64
	// PromptTokens is the estimated length of the prompt, in tokens.
	PromptTokens int32
	Priority     int8
	Fingerprint  uint64
	// Exclude names servers that must not be chosen.
	Exclude []string
}

// Choice is a chosen server with an open session to it.
type Choice struct {
	Server  hosts.Host
	Session *wire.Session
	// Reason says why the server was chosen, for explanations.
	Reason string
	// Done reports how the attempt ended. It must be called once; further calls
	// do nothing.
	Done func(Result)
}

// ResultKind is how an attempt ended for the server's health.
type ResultKind uint8

const (
	// ResultUnused means that nothing was sent to the server.
	ResultUnused ResultKind = iota
	// ResultOK means that the server answered, whatever the answer was.
	ResultOK
	// ResultRefused means that the agent refused the attempt.
	ResultRefused
	// ResultFailed means that the connection or the server was lost.
	ResultFailed
)

// Result is how an attempt ended.
type Result struct {
	Kind ResultKind
	// Code is the agent's code of a refusal or an error.
	Code verdict.Code
	// Load is the load that the agent reported last, nil if it reported none.
	Load *wire.Load
	// Bytes is the size of request and answer, which a server in another region
	// takes from the link's share.
	Bytes int64
	// Elapsed is the time from the choice to the attempt's end.
	Elapsed time.Duration
}
