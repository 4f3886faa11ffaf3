package gate

import (
	"net/http"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/placement"
)

// RequestInfo holds the decoded headers of a caller's request.
type RequestInfo struct {
	// ID is the ID that the caller gave the request. All attempts of the gate carry it,
	// and servers echo it in their responses.
	ID string
	// Timeout is how long the caller waits for the response, 0 if it declares no
	// limit.
	Timeout time.Duration
	// Key is the API key, empty if there is none.
	Key string
	// PromptTokens and MaxOutputTokens are the declared upper bounds of what the
	// request consumes. TokensDeclared is false if the request declares none.
	PromptTokens    int64
	MaxOutputTokens int64
	TokensDeclared  bool
	// Parts are the parts of the prompt, in order.
	Parts []placement.Part
	// LastEventID is the ID of the last event that the caller received, empty if it
	// does not resume a stream.
	LastEventID string
}

// ForwardInfo holds what the gate adds to the headers of a forwarded request.
type ForwardInfo struct {
	// Instance is the ID of the server for which the request is intended.
	Instance string
	// Workspace is the caller's workspace, empty for an anonymous request.
	Workspace string
	// Timeout is the remaining time of the request, 0 for no limit.
	Timeout time.Duration
	// Priority is the request's priority at the engine, from 0 (most urgent) to 9;
	// negative for none.
	Priority int
	// LastEventID is the ID of the last event that the caller received, empty to
	// start the stream from the beginning.
	LastEventID string
	// FetchFrom is the address of a server that holds the KV cache of parts of the
	// prompt, empty for none. The gate leaves it empty.
	FetchFrom string
}

// ResponseInfo holds the decoded headers of a backend server's response.
type ResponseInfo struct {
	// ID is the ID of the request to which this is the response.
	ID string
	// Stamped means that the response carries the server's stamp, so that it comes
	// from the server itself and not from an intermediary.
	Stamped bool
	// NotRun means that the server did not run the request and never will.
	NotRun bool
	// Encoded means that the response has a content encoding. The gate takes this as a
	// sign that the response is not the server's own, and rejects it.
	Encoded bool
	// IdleTimeout is how long the server keeps an idle connection open, 0 if it does
	// not say.
	IdleTimeout time.Duration
	// Leaving means that the server is leaving and wants no new requests.
	Leaving bool
	// RetryAfter is how long the server wants no requests, 0 if it does not say. RetryAfterErr
	// is why what it says could not be decoded.
	RetryAfter    time.Duration
	RetryAfterErr error
}

// reusable reports whether the connection of a completely read response may be used again.
// Without an ID, a second copy of the response could not be told from the next one.
func (i ResponseInfo) reusable() bool { return i.ID != "" && !i.Leaving }

// Protocol converts between HTTP headers and the types of this package.
type Protocol interface {
	// ParseRequest decodes the headers of a caller's request. Its error is logged as
	// the detail of the refusal.
	ParseRequest(h http.Header) (RequestInfo, error)
	// ForwardHeader returns the headers for a backend server: the caller's, without the
	// API key, hop-by-hop fields and those that only the gate may set, plus the contents
	// of info.
	ForwardHeader(caller http.Header, info ForwardInfo) http.Header
	// ParseResponse decodes the headers of a backend server's response.
	ParseResponse(h http.Header) ResponseInfo
	// CopyResponseHeader copies to dst the headers of a backend server's response
	// that are meant for the caller.
	CopyResponseHeader(dst, response http.Header)
}
