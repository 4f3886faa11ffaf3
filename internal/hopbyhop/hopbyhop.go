// Package hopbyhop tells which header fields concern one connection only and do not pass
// through a router or gate (RFC 9110, 7.6.1).
package hopbyhop

import (
	"net/http"
	"net/textproto"
	"strings"
)

// fields holds the fields of one connection, and those that net/http sets itself.
var fields = map[string]bool{
	"Connection":          true,
	"Content-Length":      true,
	"Expect":              true,
	"Host":                true,
	"Http2-Settings":      true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// IsField reports whether a field, in canonical form, concerns one connection only.
func IsField(name string) bool { return fields[name] }

// ConnectionOptions returns the fields, in canonical form, that the Connection header declares to
// concern one connection only; nil if it declares none.
func ConnectionOptions(h http.Header) map[string]bool {
	values := h["Connection"]
	if len(values) == 0 {
		return nil
	}
	named := make(map[string]bool)
	for _, value := range values {
		for name := range strings.SplitSeq(value, ",") {
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}
