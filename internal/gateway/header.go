package gateway

import (
	"net/http"
	"net/textproto"
	"strings"

	"go.opentelemetry.io/otel/propagation"
	"golang.org/x/net/http/httpguts"

	"github.com/monsoonworks/monsoonworks/internal/hopbyhop"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// Header fields of the callers' interface.
const (
	headerRequestID      = "X-Request-Id"
	headerVerdict        = "X-Verdict"
	headerTimeout        = "X-Request-Timeout-Ms"
	headerIdempotencyKey = "Idempotency-Key"
	// headerShouldRetry tells published client libraries not to send a request
	// again by themselves that may have run.
	headerShouldRetry = "X-Should-Retry"
)

// internalPrefix begins header fields that only the system's own processes set.
const internalPrefix = "X-Monsoon-"

// ownFields holds the fields that the gateway itself reads or sets, so that
// neither a caller nor a backend server can pass them to the other.
var ownFields = map[string]bool{
	"Authorization":   true,
	headerRequestID:   true,
	headerVerdict:     true,
	headerTimeout:     true,
	headerShouldRetry: true,
	"Traceparent":     true,
}

// forwardable reports whether a field may pass from one side to the other. The
// name is in canonical form.
func forwardable(name, value string) bool {
	return !hopbyhop.IsField(name) && !ownFields[name] && !strings.HasPrefix(name, internalPrefix) &&
		httpguts.ValidHeaderFieldName(name) && httpguts.ValidHeaderFieldValue(value)
}

// requestHeaders returns the fields of a caller's request that a plain service
// receives.
func requestHeaders(h http.Header) []wire.Header {
	named := hopbyhop.ConnectionOptions(h)
	fields := make([]wire.Header, 0, len(h))
	for name, values := range h {
		if named[name] {
			continue
		}
		for _, value := range values {
			if forwardable(name, value) {
				fields = append(fields, wire.Header{Name: name, Value: value})
			}
		}
	}
	return fields
}

// copyAnswerHeaders adds the fields of a backend server's answer to dst. The
// length of the body is kept if it is a number.
func copyAnswerHeaders(dst http.Header, fields []wire.Header) {
	var connection http.Header
	for _, f := range fields {
		if textproto.CanonicalMIMEHeaderKey(f.Name) == "Connection" {
			connection = http.Header{"Connection": append(connection["Connection"], f.Value)}
		}
	}
	named := hopbyhop.ConnectionOptions(connection)
	for _, f := range fields {
		name := textproto.CanonicalMIMEHeaderKey(f.Name)
		if name == "Content-Length" && isDecimal(f.Value) {
			dst[name] = []string{f.Value}
		} else if !named[name] && forwardable(name, f.Value) {
			dst[name] = append(dst[name], f.Value)
		}
	}
}

func isDecimal(s string) bool {
	for i := range len(s) {
		if s[i] < '0' || s[i] > '9' {
			return false
		}
	}
	return s != "" && len(s) <= 18
}

// traceParentCarrier receives the traceparent field of a propagated context.
type traceParentCarrier string

// Get implements propagation.TextMapCarrier.
func (c *traceParentCarrier) Get(string) string { return "" }

// Set implements propagation.TextMapCarrier.
func (c *traceParentCarrier) Set(key, value string) {
	if key == "traceparent" {
		*c = traceParentCarrier(value)
	}
}

// Keys implements propagation.TextMapCarrier.
func (c *traceParentCarrier) Keys() []string { return nil }

// w3c reads and writes the traceparent header. It ignores a malformed one.
var w3c propagation.TraceContext
