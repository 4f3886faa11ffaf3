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
	verdict.CodeForbidden:         {"The API key does not allow this.", "Use a key of a budget that has the permission."},
	verdict.CodeNotFound:          {"The path, model or service does not exist, or the workspace may not use it.", "See \"workspace show\" for what it may use; change the answers and apply them."},
	verdict.CodeTooLarge:          {"The body is over the limit.", "The caller must send less; a service's limit is the answer \"largest_body_kib\"."},
	verdict.CodeKeyReused:         {"The idempotency key was used before for another request.", "The caller must use a new key for a new request."},
	verdict.CodeKeyUnresolved:     {"It cannot be determined whether the idempotency key was used: the record of its use may be lost, or the key is older than an hour.", "The caller must find out by other means whether its request ran; a UUIDv7 key with a current time avoids this."},
	verdict.CodeBudgetExhausted:   {"The balance left in all regions together is less than the maximum cost of this request.", "Top it up with \"topup\", or let the caller ask for a shorter response (max_tokens)."},
	verdict.CodeBudgetUnreachable: {"The budget may have balance, but it could not be reached in time: its holder is changing, the store is down, or the balance is in another region that cannot be reached.", "See \"status\"; callers may retry after the time in Retry-After."},
	verdict.CodeOverloaded:        {"The request could not start in time: the servers or the router are overloaded.", "Add servers to the pool, or lower the priority of other work. Callers may retry."},
	verdict.CodeRateLimited:       {"The workspace reached its requests/s or its concurrent requests, or too many invalid keys were tried for it.", "Raise its peaks in the answers and apply them, or let the caller slow down."},
	verdict.CodeNoServer:          {"No server of a pool that serves the target could be used.", "See \"status\" for agents that are not ready, and the host list for the pool's name."},
	verdict.CodeDraining:          {"The router is shutting down.", "Nothing: callers retry at another router at once."},
	verdict.CodeCrashesServers:    {"Servers crashed while they ran this request, so it is refused everywhere in the region for an hour.", "Find out what in the request crashes the engine."},
	verdict.CodeQuarantined:       {"Servers crashed when they answered requests with a part of this prompt, or this very request, so no gate sends such requests but for a trial now and then.", "Find out what in the prompt crashes the engine; the log line \"fingerprint blocked\" of the gates names the servers."},
	verdict.CodeDeadlineExceeded:  {"The request took longer than its deadline.", "Raise the answer \"deadline_seconds\" if the time is right, or find out why servers are slow."},
	verdict.CodeCanceled:          {"The caller closed the connection.", "Nothing, unless callers give up because responses are slow."},
	verdict.CodeServerLost:        {"The server or its agent was lost while it worked on the request.", "See \"status\"; the verdict says whether the caller may repeat it."},
	verdict.CodeServerError:       {"The server responded with an error or with an incomplete response.", "Look at the engine's own log on that server."},
	verdict.CodeFenced:            {"The router was considered dead, so its part of the budget was given to another router.", "Nothing: callers may retry. If it repeats, look for pauses or network failures of its host."},
	verdict.CodeAnswerNotKept:     {"The request with this idempotency key ran, but its response is no longer stored (at most 10 minutes).", "The caller cannot get the response again; the verdict and the bill are valid."},
	verdict.CodeNotReady:          {"The router had no confirmed configuration yet.", "See \"status\"; it needs the store or a distributor."},
	verdict.CodeInternal:          {"An internal error of the deployment.", "Look for the request id in the router's log and report it."},
	verdict.CodeHomeUnreachable:   {"The holder of the account that records the idempotency key could not be reached, so the request was not sent.", "See \"status\" for the workspace's home region; the caller repeats it with the same key."},
	verdict.CodeProtocolMismatch:  {"Router and agent have no common version of the protocol between them.", "Finish the upgrade: consecutive versions work together, others do not."},
}

// DescribeCode returns the description of a code; an unknown code is described as
// an internal error.
func DescribeCode(code verdict.Code) CodeDescription {
	if d, ok := codeDescriptions[code]; ok {
		return d
	}
	return codeDescriptions[verdict.CodeInternal]
}
