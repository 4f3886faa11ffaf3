package verdict

import (
	"math"
	"net/http"
	"strconv"
	"time"
)

// ProblemContentType is the media type of a problem body (RFC 9457).
const ProblemContentType = "application/problem+json"

// problemTypePrefix is followed by the code in the type member of a problem body.
const problemTypePrefix = "urn:monsoonworks:problem:"

// Error types of the OpenAI API, which its client libraries interpret.
const (
	apiInvalidRequest = "invalid_request_error"
	apiAuthentication = "authentication_error"
	apiPermission     = "permission_error"
	apiNotFound       = "not_found_error"
	apiQuota          = "insufficient_quota"
	apiRateLimit      = "rate_limit_error"
	apiServer         = "server_error"
)

// statusClientClosedRequest is the status recorded for a caller that disconnected. It
// is not a standard status, and is never sent.
const statusClientClosedRequest = 499

// codeInfo holds the HTTP status, problem title and API error type of a code.
type codeInfo struct {
	status  int
	title   string
	apiType string
}

// codeInfos maps every code to its codeInfo. OpenAI client libraries retry after 408,
// 409, 429 and 5xx, so codes for which a retry cannot help have other statuses.
var codeInfos = map[Code]codeInfo{
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
	CodeQuarantined:       {http.StatusServiceUnavailable, "Such requests crashed several backend servers, they are tried again later", apiServer},
	CodeCrashesServers:    {http.StatusUnprocessableEntity, "The request crashed several backend servers", apiInvalidRequest},
	CodeDeadlineExceeded:  {http.StatusGatewayTimeout, "The deadline has passed", apiServer},
	CodeCanceled:          {statusClientClosedRequest, "The caller disconnected", apiInvalidRequest},
	CodeServerLost:        {http.StatusBadGateway, "The connection to the backend server was lost", apiServer},
	CodeServerError:       {http.StatusBadGateway, "The backend server failed", apiServer},
	CodeFenced:            {http.StatusServiceUnavailable, "The router was replaced", apiServer},
	CodeAnswerNotKept:     {http.StatusGone, "The answer to this idempotency key is no longer kept", apiInvalidRequest},
	CodeNotReady:          {http.StatusServiceUnavailable, "The router is not ready", apiServer},
	CodeInternal:          {http.StatusInternalServerError, "Internal error", apiServer},
	CodeHomeUnreachable:   {http.StatusServiceUnavailable, "The idempotency key cannot be checked", apiServer},
	CodeProtocolMismatch:  {http.StatusBadGateway, "The backend server speaks another protocol version", apiServer},
}

// HTTPStatus returns the HTTP status of a response with code c, 500 if c is not a
// defined code.
func HTTPStatus(c Code) int { return infoOf(c).status }

func infoOf(c Code) codeInfo {
	if info, ok := codeInfos[c]; ok {
		return info
	}
	return codeInfos[CodeInternal]
}

// Problem is an RFC 9457 problem body. The member error repeats it in the form of the
// OpenAI API, so that its client libraries display the message.
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

// APIError is an error in the form of the OpenAI API. It is also the payload
// of the error event that ends a broken stream.
type APIError struct {
	Type      string  `json:"type"`
	Code      Code    `json:"code"`
	Message   string  `json:"message"`
	Verdict   Verdict `json:"verdict"`
	RequestID string  `json:"request_id"`
}

// Problem returns the problem body of e, without its cause.
func (e *Error) Problem(requestID string) Problem {
	info := infoOf(e.Code)
	return Problem{
		Type:      problemTypePrefix + string(e.Code),
		Title:     info.title,
		Status:    info.status,
		Detail:    e.Detail,
		Code:      e.Code,
		Verdict:   e.Verdict,
		RequestID: requestID,
		Error:     e.APIError(requestID),
	}
}

// APIError returns e in the form of the OpenAI API, without its cause. The
// message is the detail, or the title of the code if there is no detail.
func (e *Error) APIError(requestID string) APIError {
	info := infoOf(e.Code)
	message := e.Detail
	if message == "" {
		message = info.title
	}
	return APIError{Type: info.apiType, Code: e.Code, Message: message, Verdict: e.Verdict, RequestID: requestID}
}

// RetryAfterSeconds formats d for the Retry-After header: in whole seconds, rounded up.
// It returns an empty string if d is not positive.
func RetryAfterSeconds(d time.Duration) string {
	if d <= 0 {
		return ""
	}
	return strconv.FormatInt(int64(math.Ceil(d.Seconds())), 10)
}
