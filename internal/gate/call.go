package gate

import (
	"net/http"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/placement"
)

// RequestInfo is what a caller's headers say about its request.
type RequestInfo struct {
	// ID identifies the caller's attempt. Servers echo it in their answers.
	ID string
	// Timeout is how long the caller waits, 0 if it does not say.
	Timeout time.Duration
	// Key is the API key, empty if there is none.
	Key string
	// PromptTokens and MaxOutputTokens bound what the request consumes. Metered is
	// false if the request does not declare them.
	PromptTokens    int64
	MaxOutputTokens int64
	Metered         bool
	// Parts are the parts of the prompt in order.
	Parts []placement.Part
	// LastEventID is the id of the last event that the caller has, empty if it does
	// not resume a stream.
	LastEventID string
}

// ForwardInfo is what the gate tells a backend server about a request.
type ForwardInfo struct {
	// Instance is the id of the server that the request is meant for.
	Instance string
	// Workspace is the caller's workspace, empty for an anonymous request.
	Workspace string
	// Timeout is how long the caller still waits, 0 if it does not say.
	Timeout time.Duration
	// Priority is the request's rank at the engine, 0 to 9 with 0 first; negative
	// for none.
	Priority int
	// LastEventID is the last event that the caller has, empty for a stream from the
	// start.
	LastEventID string
	// FetchFrom is the address of a server that holds parts of the prompt, empty
	// for none.
	FetchFrom string
}

// ResponseInfo is what the headers of a backend server's answer say.
type ResponseInfo struct {
	// ID is the id of the request that is answered.
	ID string
	// Stamped answers come from the server itself.
	Stamped bool
	// NotRun means that the server did not run the request and never will.
	NotRun bool
	// Encoded answers have a body that is not the server's.
	Encoded bool
	// IdleTimeout is how long the server keeps the connection open without a
	// request, 0 if it does not say.
	IdleTimeout time.Duration
}

// Protocol translates between the headers of callers and backend servers and the
// types of this package.
type Protocol interface {
	// ParseRequest decodes a caller's headers. The error says what is wrong with them.
	ParseRequest(h http.Header) (RequestInfo, error)
	// ForwardHeader returns the headers for a backend server: the caller's without
	// those that only the gate may set, and what s says.
	ForwardHeader(caller http.Header, s ForwardInfo) http.Header
	// ParseResponse decodes the headers of a backend server's answer.
	ParseResponse(h http.Header) ResponseInfo
	// CopyResponseHeader copies the headers of a backend server's answer that a caller
	// may see.
	CopyResponseHeader(dst, answer http.Header)
}
