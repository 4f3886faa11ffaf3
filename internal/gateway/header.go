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

const (
	headerRequestID      = "X-Request-Id"
	headerVerdict        = "X-Verdict"
	headerTimeout        = "X-Request-Timeout-Ms"
	headerIdempotencyKey = "Idempotency-Key"
	// headerShouldRetry tells client libraries not to retry a request on their own
	// if it may have run.
	headerShouldRetry = "X-Should-Retry"
)

// internalPrefix is the prefix of header fields that only processes of the
// deployment set.
const internalPrefix = "X-Monsoon-"

// gatewayFields are the fields that the gateway itself reads or sets and does not
// forward between callers and backend servers.
var gatewayFields = map[string]bool{
	"Authorization":   true,
	headerRequestID:   true,
	headerVerdict:     true,
	headerTimeout:     true,
	headerShouldRetry: true,
	"Traceparent":     true,
}

// forwardable reports whether a field may be forwarded between a caller and a
// backend server. The name is in canonical form.
func forwardable(name, value string) bool {
	return !hopbyhop.IsField(name) && !gatewayFields[name] && !strings.HasPrefix(name, internalPrefix) &&
		httpguts.ValidHeaderFieldName(name) && httpguts.ValidHeaderFieldValue(value)
}

// requestHeaders returns the fields of a caller's request that are forwarded to a
// plain service.
func requestHeaders(h http.Header) []wire.Header {
	connectionOptions := hopbyhop.ConnectionOptions(h)
	fields := make([]wire.Header, 0, len(h))
	for name, values := range h {
		if connectionOptions[name] {
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

// copyResponseHeaders adds the fields of a backend server's response to dst. A
// numeric Content-Length is kept.
func copyResponseHeaders(dst http.Header, fields []wire.Header) {
	var connection http.Header
	for _, f := range fields {
		if textproto.CanonicalMIMEHeaderKey(f.Name) == "Connection" {
			connection = http.Header{"Connection": append(connection["Connection"], f.Value)}
		}
	}
	connectionOptions := hopbyhop.ConnectionOptions(connection)
	for _, f := range fields {
		name := textproto.CanonicalMIMEHeaderKey(f.Name)
		if name == "Content-Length" && isDecimal(f.Value) {
			dst[name] = []string{f.Value}
		} else if !connectionOptions[name] && forwardable(name, f.Value) {
			dst[name] = append(dst[name], f.Value)
		}
	}
}

// isDecimal reports whether s consists of 1 to 18 digits, which fit an int64.
func isDecimal(s string) bool {
	for i := range len(s) {
		if s[i] < '0' || s[i] > '9' {
			return false
		}
	}
	return s != "" && len(s) <= 18
}

// traceParentCarrier receives the traceparent value of a propagated context.
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

// traceContext reads and writes the traceparent header. It ignores malformed ones.
var traceContext propagation.TraceContext
