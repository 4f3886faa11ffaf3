// Package route chooses a backend server for each attempt and tracks the health of
// the servers. A policy, by default ProbedAffinity, chooses among the local servers,
// which are those of the router's region. Remote servers, which are those of other
// regions, are used only if no local one can meet the deadline.
//
// The dispatcher calls a Router; the simulation in devel/policymodel uses the policies
// alone. The package must not know HTTP, budgets or configuration entries.
package route

import (
	"time"

	"github.com/monsoonworks/monsoonworks/internal/hosts"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// Query describes a request that needs a server. The first token is due by the
// deadline of the context that is passed with the query.
type Query struct {
	// Target is the name of the model or the plain service.
	Target string
	Kind   wire.TargetKind
	// Prefixes holds the hashes of the prompt's prefixes, shortest first, as
	// returned by prefix.BlockHashes.
	Prefixes []uint64
	// PromptTokens is the estimated length of the prompt, in tokens.
	PromptTokens int32
	// Priority is higher for more urgent requests.
	Priority int8
	// Fingerprint identifies the content of the request, as in dispatch.Call.
	Fingerprint uint64
	// Exclude names servers that must not be chosen.
	Exclude []string
}

// Choice is a chosen server with an open session to it.
type Choice struct {
	Server  hosts.Host
	Session *wire.Session
	// Reason says why the server was chosen, for operators.
	Reason string
	// Done reports how the attempt ended. It must be called; calls after the first
	// are ignored.
	Done func(Result)
}

// ResultKind classifies the outcome of an attempt for the health of its server.
type ResultKind uint8

const (
	// ResultUnused means that the attempt was not sent, or that the agent reported
	// that it does not know the attempt.
	ResultUnused ResultKind = iota
	// ResultOK means that the server responded, whatever the response was.
	ResultOK
	// ResultRefused means that the agent refused the attempt.
	ResultRefused
	// ResultFailed means that the connection or the server failed.
	ResultFailed
)

// Result is the outcome of an attempt.
type Result struct {
	Kind ResultKind
	// Code is the code of the agent's refusal or error.
	Code verdict.Code
	// Load is the load that the agent last reported, nil if it reported none.
	Load *wire.Load
	// Bytes is the size of the request and the response. It is charged to the
	// inter-region link if the server is in another region.
	Bytes int64
	// Elapsed is the time from the choice to the end of the attempt.
	Elapsed time.Duration
}
