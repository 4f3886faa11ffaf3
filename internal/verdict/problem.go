package verdict

import (
	"math"
	"net/http"
	"strconv"
	"time"
)

// ProblemContentType is the media type of a problem body (RFC 9457).
const ProblemContentType = "application/problem+json"

// problemTypePrefix and a code make the type member of a problem body.
const problemTypePrefix = "urn:monsoonworks:problem:"

// Error types of the published model API, as its client libraries know them.
const (
	apiInvalidRequest = "invalid_request_error"
	apiAuthentication = "authentication_error"
	apiPermission     = "permission_error"
	apiNotFound       = "not_found_error"
	apiQuota          = "insufficient_quota"
	apiRateLimit      = "rate_limit_error"
	apiServer         = "server_error"
)

// statusClientClosed is the status recorded for a caller that disconnected. No
// standard status says so, and the caller never sees it.
const statusClientClosed = 499

// kind is how a code appears to a caller.
type kind struct {
	status  int
	title   string
	apiType string
}

// kinds is the one table from codes to HTTP statuses. Published client libraries
// send a request again after 408, 409, 429 and 5xx, so codes where that cannot
// help have another status.
var kinds = map[Code]kind{
	CodeBadRequest:        {http.StatusBadRequest, "The request is not valid", apiInvalidRequest},
	CodeUnauthorized:      {http.StatusUnauthorized, "The API key is missing or not valid", apiAuthentication},
	CodeForbidden:         {http.StatusForbidden, "The API key does not allow this", apiPermission},
	CodeNotFound:          {http.StatusNotFound, "There is no such resource", apiNotFound},
	CodeTooLarge:          {http.StatusRequestEntityTooLarge, "The request is too large", apiInvalidRequest},
	CodeKeyReused:         {http.StatusUnprocessableEntity, "The idempotency key was used for another request", apiInvalidRequest},
	CodeKeyUnresolved:     {http.StatusConflict, "It is not known whether the idempotency key was used", apiServer},
	CodeBudgetExhausted:   {http.StatusPaymentRequired, "The budget does not cover the request", apiQuota},
	CodeBudgetUnreachable: {http.StatusServiceUnavailable, "The budget cannot be reached", apiServer},
	CodeOverloaded:        {http.StatusServiceUnavailable, "The request cannot start in time", apiServer},
	CodeRateLimited:       {http.StatusTooManyRequests, "The workspace has reached a limit", apiRateLimit},
	CodeNoServer:          {http.StatusServiceUnavailable, "No backend server is available", apiServer},
	CodeDraining:          {http.StatusServiceUnavailable, "The router is shutting down", apiServer},
	CodeCrashesServers:    {http.StatusUnprocessableEntity, "The request crashed several backend servers", apiInvalidRequest},
	CodeDeadlineExceeded:  {http.StatusGatewayTimeout, "The deadline has passed", apiServer},
	CodeCanceled:          {statusClientClosed, "The caller disconnected", apiInvalidRequest},
	CodeServerLost:        {http.StatusBadGateway, "The connection to the backend server was lost", apiServer},
	CodeServerError:       {http.StatusBadGateway, "The backend server failed", apiServer},
	CodeFenced:            {http.StatusServiceUnavailable, "The router was replaced", apiServer},
	CodeAnswerNotKept:     {http.StatusGone, "The answer to this idempotency key is no longer kept", apiInvalidRequest},
	CodeNotReady:          {http.StatusServiceUnavailable, "The router is not ready", apiServer},
	CodeInternal:          {http.StatusInternalServerError, "Internal error", apiServer},
	CodeHomeUnreachable:   {http.StatusServiceUnavailable, "The idempotency key cannot be checked", apiServer},
	CodeProtocolMismatch:  {http.StatusBadGateway, "The backend server speaks another protocol version", apiServer},
}

// HTTPStatus returns the status of an answer with code c, 500 for a code that
// is not defined.
func HTTPStatus(c Code) int { return kindOf(c).status }

func kindOf(c Code) kind {
	if k, ok := kinds[c]; ok {
		return k
	}
	return kinds[CodeInternal]
}

// Problem is an RFC 9457 problem body. The member error repeats it in the form
// of the published model API, so that its client libraries show the message.
type Problem struct {
	Type      string   `json:"type"`
	Title     string   `json:"title"`
	Status    int      `json:"status"`
	Detail    string   `json:"detail"`
	Code      Code     `json:"code"`
	Verdict   Verdict  `json:"verdict"`
	RequestID string   `json:"request_id"`
	Error     APIError `json:"error"`
}

// APIError is an error in the form of the published model API. It is also the
// content of the error event that ends a broken stream.
type APIError struct {
	Type      string  `json:"type"`
	Code      Code    `json:"code"`
	Message   string  `json:"message"`
	Verdict   Verdict `json:"verdict"`
	RequestID string  `json:"request_id"`
}

// Problem returns the problem body of e. The cause of e is not part of it.
func (e *Error) Problem(requestID string) Problem {
	k := kindOf(e.Code)
	return Problem{
		Type:      problemTypePrefix + string(e.Code),
		Title:     k.title,
		Status:    k.status,
		Detail:    e.Detail,
		Code:      e.Code,
		Verdict:   e.Verdict,
		RequestID: requestID,
		Error:     e.APIError(requestID),
	}
}

// APIError returns e in the form of the published model API.
func (e *Error) APIError(requestID string) APIError {
	k := kindOf(e.Code)
	message := e.Detail
	if message == "" {
		message = k.title
	}
	return APIError{Type: k.apiType, Code: e.Code, Message: message, Verdict: e.Verdict, RequestID: requestID}
}

// RetryAfterSeconds returns d in the form of the Retry-After header: whole
// seconds, rounded up, and an empty string if d is not positive.
func RetryAfterSeconds(d time.Duration) string {
	if d <= 0 {
		return ""
	}
	return strconv.FormatInt(int64(math.Ceil(d.Seconds())), 10)
}
