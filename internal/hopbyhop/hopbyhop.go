// Package hopbyhop identifies hop-by-hop header fields (RFC 9110, section 7.6.1),
// which a router or gate must not forward.
package hopbyhop

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHopFields also contains the fields that net/http handles itself, which must not
// be copied either.
var hopByHopFields = map[string]bool{
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

// IsField reports whether a field is hop-by-hop or handled by net/http itself. The name
// must be in canonical form.
func IsField(name string) bool { return hopByHopFields[name] }

// ConnectionOptions returns the further hop-by-hop fields that the Connection
// header lists, in canonical form; nil without a Connection header.
func ConnectionOptions(h http.Header) map[string]bool {
	values := h["Connection"]
	if len(values) == 0 {
		return nil
	}
	options := make(map[string]bool)
	for _, value := range values {
		for name := range strings.SplitSeq(value, ",") {
			options[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return options
}
