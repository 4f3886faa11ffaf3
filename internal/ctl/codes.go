package ctl

import "github.com/monsoonworks/monsoonworks/internal/verdict"

// CodeDescription explains an error code to operators: why a request ended with
// it, and what to do about it.
type CodeDescription struct {
	Reason string `json:"reason"`
	Help   string `json:"help"`
}

// codeDescriptions has an entry for each code that callers can receive.
var codeDescriptions = map[verdict.Code]CodeDescription{
	verdict.CodeBadRequest:        {"The request itself is not valid, so it did not run and cost nothing.", "The caller must change the request; the detail says what is wrong."},
	verdict.CodeUnauthorized:      {"The API key is missing, wrong or revoked.", "Compare the key with \"key list\", or issue one with \"key issue\". A new key works within a few seconds."},
	verdict.CodeForbidden:         {"The API key does not allow this.", "Use a key of a budget that may."},
	verdict.CodeNotFound:          {"The path, model or service does not exist, or the workspace may not use it.", "See \"workspace show\" for what it may use; change the answers and apply them."},
	verdict.CodeTooLarge:          {"The body is over the limit.", "The caller must send less; a service's limit is the answer \"largest_body_kib\"."},
	verdict.CodeKeyReused:         {"The idempotency key was used before for another request.", "The caller must use a new key for a new request."},
	verdict.CodeKeyUnresolved:     {"It cannot be known whether the idempotency key was used: its home lost its memory, or the key is older than an hour.", "The caller must find out by other means whether its request ran; a key with a current time (UUIDv7) is certain."},
	verdict.CodeBudgetExhausted:   {"The budget, wherever it is, has less left than the most that this request may cost.", "Top it up with \"topup\", or let the caller ask for a shorter answer (max_tokens)."},
	verdict.CodeBudgetUnreachable: {"The budget may have balance, but it could not be reached in time: its holder is changing, the store is down, or another region has it and is cut off.", "See \"status\"; callers may retry after the time they were told."},
	verdict.CodeOverloaded:        {"The request could not start in time: the servers or the router have too much to do.", "Add servers to the pool, or lower the priority of other work. Callers may retry."},
	verdict.CodeRateLimited:       {"The workspace reached its requests/s or its concurrent requests, or somebody guesses its keys.", "Raise its peaks in the answers and apply them, or let the caller slow down."},
	verdict.CodeNoServer:          {"No server of a pool that serves the target could be used.", "See \"status\" for agents that are not ready, and the host list for the pool's name."},
	verdict.CodeDraining:          {"The router is shutting down.", "Nothing: callers retry at another router at once."},
	verdict.CodeCrashesServers:    {"Servers died while they ran this request, so it is refused everywhere in the region for an hour.", "Find out what in the request crashes the engine."},
	verdict.CodeDeadlineExceeded:  {"The request took longer than its deadline.", "Raise the answer \"deadline_seconds\" if the time is right, or find out why servers are slow."},
	verdict.CodeCanceled:          {"The caller closed the connection.", "Nothing, unless callers give up because answers are slow."},
	verdict.CodeServerLost:        {"The server or its agent was lost while it worked on the request.", "See \"status\"; the verdict says whether the caller may repeat it."},
	verdict.CodeServerError:       {"The server answered with an error or an answer that is not whole.", "Look at the engine's own log on that server."},
	verdict.CodeFenced:            {"The router's part of the budget was given to another router, because it was taken for dead.", "Nothing: callers may retry. If it repeats, the host pauses or its network is bad."},
	verdict.CodeAnswerNotKept:     {"The request with this idempotency key ran, and its answer is no longer kept (10 minutes).", "The caller must not expect the answer again; the verdict and the bill stand."},
	verdict.CodeNotReady:          {"The router had no confirmed configuration yet.", "See \"status\"; it needs the store or a relay."},
	verdict.CodeInternal:          {"A fault of the system itself.", "Look for the request id in the router's log and report it."},
	verdict.CodeHomeUnreachable:   {"The home of the idempotency key could not be reached, so the request was not sent.", "See \"status\" for the workspace's home region; the caller repeats it with the same key."},
	verdict.CodeProtocolMismatch:  {"Router and agent have no common version of the inner protocol.", "Finish the upgrade: neighbouring versions work together, others do not."},
}

// DescribeCode returns the description of a code; an unknown code is described as
// an internal error.
func DescribeCode(code verdict.Code) CodeDescription {
	if d, ok := codeDescriptions[code]; ok {
		return d
	}
	return codeDescriptions[verdict.CodeInternal]
}
