// Package verdict defines the verdicts and error codes of responses to callers. A
// verdict states what is known about whether a request ran at a backend server; every
// response carries one. Whether a request may be retried is decided by the verdict and
// the code of an error, never by its text.
//
// All packages that handle requests use it. It must not depend on any of them.
package verdict

import (
	"errors"
	"fmt"
	"time"
)

// Verdict states whether a request ran at a backend server.
type Verdict uint8

const (
	// Unknown means that the request may have run. It is the zero value, so that a
	// verdict that was not set claims nothing.
	Unknown Verdict = iota
	// NotRun means that the request certainly did not run and will not run.
	NotRun
	// Ran means that the request certainly ran.
	Ran
)

// String returns the form used in headers and problem bodies.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "unknown"
	}
}

// MarshalText implements encoding.TextMarshaler.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It fails if text is not the
// String form of a verdict.
func (v *Verdict) UnmarshalText(text []byte) error {
	for _, candidate := range []Verdict{Unknown, NotRun, Ran} {
		if candidate.String() == string(text) {
			*v = candidate
			return nil
		}
	}
	return fmt.Errorf("unknown verdict %q", text)
}

// Code identifies the cause of an error. Codes are part of the public API; their
// meaning never changes.
type Code string

// Codes of the errors that callers can receive. Their HTTP statuses and titles are in
// codeInfos. In their names, Key is an idempotency key, and Home is the account that
// records the claims of such a key.
const (
	CodeBadRequest        Code = "bad-request"
	CodeUnauthorized      Code = "unauthorized"
	CodeForbidden         Code = "forbidden"
	CodeNotFound          Code = "not-found"
	CodeTooLarge          Code = "too-large"
	CodeKeyReused         Code = "key-reused"
	CodeKeyUnresolved     Code = "key-unresolved"
	CodeBudgetExhausted   Code = "budget-exhausted"
	CodeBudgetUnreachable Code = "budget-unreachable"
	CodeOverloaded        Code = "overloaded"
	CodeRateLimited       Code = "rate-limited"
	CodeNoServer          Code = "no-server"
	CodeDraining          Code = "draining"
	CodeCrashesServers    Code = "crashes-servers"
	// CodeQuarantined is the code of a gate for a request that is kept from all servers until the
	// next trial; a router refuses such a request with CodeCrashesServers.
	CodeQuarantined      Code = "quarantined"
	CodeDeadlineExceeded Code = "deadline-exceeded"
	CodeCanceled         Code = "canceled"
	CodeServerLost       Code = "server-lost"
	CodeServerError      Code = "server-error"
	CodeFenced           Code = "fenced"
	CodeAnswerNotKept    Code = "answer-not-kept"
	CodeNotReady         Code = "not-ready"
	CodeInternal         Code = "internal"
	CodeHomeUnreachable  Code = "home-unreachable"
	CodeProtocolMismatch Code = "protocol-mismatch"
)

// Error is an error with a verdict and a code.
type Error struct {
	Verdict Verdict
	Code    Code
	// Detail describes the error. The gateway sends it to the caller; the gate only logs
	// it. It must not contain secrets.
	Detail string
	// RetryAfter is how long the caller should wait before a retry, 0 if waiting
	// does not help.
	RetryAfter time.Duration
	// Err is the cause. It is for logs and never sent to the caller.
	Err error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s (%s): %s", e.Code, e.Verdict, e.Detail)
	}
	return fmt.Sprintf("%s (%s): %s: %v", e.Code, e.Verdict, e.Detail, e.Err)
}

// Unwrap returns the cause, nil if there is none.
func (e *Error) Unwrap() error { return e.Err }

// New returns an error with the given verdict and code, and with a formatted detail.
func New(v Verdict, code Code, format string, args ...any) *Error {
	return &Error{Verdict: v, Code: code, Detail: fmt.Sprintf(format, args...)}
}

// WithRetryAfter sets e.RetryAfter and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// WithCause sets e.Err and returns e.
func (e *Error) WithCause(err error) *Error {
	e.Err = err
	return e
}

// Of returns the verdict of err: that of the first *Error in its chain, Unknown if there
// is none, and Ran if err is nil.
func Of(err error) Verdict {
	if err == nil {
		return Ran
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return Unknown
}

// CodeOf returns the code of the first *Error in the chain of err, CodeInternal if there
// is none.
func CodeOf(err error) Code {
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return CodeInternal
}
