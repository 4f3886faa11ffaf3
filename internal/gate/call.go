package gate

import (
	"net/http"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/place"
)

// Call is what a caller's headers say about its request.
type Call struct {
	// ID identifies the caller's attempt. Servers echo it in their answers.
	ID string
	// Deadline is how long the caller waits, 0 if it does not say.
	Deadline time.Duration
	// Key is the API key, empty if there is none.
	Key string
	// PromptTokens and MaxOutputTokens bound what the request consumes. Metered is
	// false if the request does not declare them.
	PromptTokens    int64
	MaxOutputTokens int64
	Metered         bool
	// Parts are the parts of the prompt in order.
	Parts []place.Part
	// LastEvent is the id of the last event that the caller has, empty if it does
	// not resume a stream.
	LastEvent string
}

// Send is what the gate tells a backend server about a request.
type Send struct {
	// Instance is the id of the server that the request is meant for.
	Instance string
	// Workspace is the caller's workspace, empty for an anonymous request.
	Workspace string
	// Left is how long the caller still waits, 0 if it does not say.
	Left time.Duration
	// Priority is the request's rank at the engine, 0 to 9 with 0 first; negative
	// for none.
	Priority int
	// LastEvent is the last event that the caller has, empty for a stream from the
	// start.
	LastEvent string
	// FetchFrom is the address of a server that holds parts of the prompt, empty
	// for none.
	FetchFrom string
}

// Answer is what the headers of a backend server's answer say.
type Answer struct {
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
	// ReadCall decodes a caller's headers. The error says what is wrong with them.
	ReadCall(h http.Header) (Call, error)
	// SendHeader returns the headers for a backend server: the caller's without
	// those that only the gate may set, and what s says.
	SendHeader(caller http.Header, s Send) http.Header
	// ReadAnswer decodes the headers of a backend server's answer.
	ReadAnswer(h http.Header) Answer
	// AnswerHeader copies the headers of a backend server's answer that a caller
	// may see.
	AnswerHeader(dst, answer http.Header)
}
