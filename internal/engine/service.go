package engine

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"strings"

	"golang.org/x/net/http/httpguts"

	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// ServiceRequest is one request to a plain service.
type ServiceRequest struct {
	Method string
	// Path is the path and the query, without the service's base URL.
	Path    string
	Headers []wire.Header
	Body    []byte
	// Idempotent requests may reuse an open connection.
	Idempotent bool
}

// ServiceClient is the client of one plain service. It is safe for concurrent
// use.
type ServiceClient struct {
	url       string
	singleUse *http.Client
	pooled    *http.Client
}

// NewServiceClient returns a client of the service at opts.URL.
func NewServiceClient(opts Options) *ServiceClient {
	opts = opts.withDefaults()
	return &ServiceClient{
		url:       opts.URL,
		singleUse: &http.Client{Transport: newTransport(opts.Dial, false), CheckRedirect: noRedirect},
		pooled:    &http.Client{Transport: newTransport(opts.Dial, true), CheckRedirect: noRedirect},
	}
}

// Close closes idle connections.
func (s *ServiceClient) Close() { s.pooled.CloseIdleConnections() }

// hopByHop lists the headers that apply to one connection only.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// Call forwards a request and returns the response, whose body the caller
// closes. After an error that wraps ErrNotSent or ErrInvalidRequest the request
// did not run; after any other error it may have run.
//
// A non-idempotent request gets a connection of its own: on a reused one, a
// server that closes the idle connection cannot be told from one that accepted
// the request.
func (s *ServiceClient) Call(ctx context.Context, call *ServiceRequest) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, s.url+call.Path, bytes.NewReader(call.Body))
	if err == nil {
		err = validateRequest(call)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidRequest, err)
	}
	// Without GetBody the transport cannot send a request a second time, which
	// it would otherwise do for one with an Idempotency-Key header.
	req.GetBody = nil
	if len(call.Body) == 0 {
		req.Body = http.NoBody
	}
	copyHeaders(req, call.Headers)
	client := s.singleUse
	if call.Idempotent {
		client = s.pooled
	}
	resp, err := client.Do(req)
	if err != nil && !errors.Is(err, ErrNotSent) {
		return nil, fmt.Errorf("%w: %w", ErrServerLost, err)
	}
	return resp, err
}

// validateRequest rejects a path that would change the server's address, and
// headers that contain line breaks.
func validateRequest(req *ServiceRequest) error {
	if !strings.HasPrefix(req.Path, "/") {
		return errors.New("the path does not begin with a slash")
	}
	for _, h := range req.Headers {
		if !httpguts.ValidHeaderFieldName(h.Name) || !httpguts.ValidHeaderFieldValue(h.Value) {
			return fmt.Errorf("header %.40q", h.Name)
		}
	}
	return nil
}

// copyHeaders copies the end-to-end headers except the caller's credentials and
// Content-Length, which net/http sets.
func copyHeaders(req *http.Request, headers []wire.Header) {
	dropped := connectionHeaders(headers)
	for _, h := range headers {
		name := textproto.CanonicalMIMEHeaderKey(h.Name)
		switch {
		case hopByHop[name], dropped[name], name == "Authorization", name == "Content-Length":
		case name == "Host":
			req.Host = h.Value
		default:
			req.Header[name] = append(req.Header[name], h.Value)
		}
	}
	if _, found := req.Header["User-Agent"]; !found {
		req.Header["User-Agent"] = nil // keeps net/http from adding its own
	}
}

// connectionHeaders returns the header names listed in Connection headers.
func connectionHeaders(headers []wire.Header) map[string]bool {
	var names map[string]bool
	for _, h := range headers {
		if !strings.EqualFold(h.Name, "Connection") {
			continue
		}
		for name := range strings.SplitSeq(h.Value, ",") {
			if names == nil {
				names = make(map[string]bool)
			}
			names[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return names
}

// ResponseHeaders returns the end-to-end headers of a response.
func ResponseHeaders(header http.Header) []wire.Header {
	var connection []wire.Header
	for _, value := range header["Connection"] {
		connection = append(connection, wire.Header{Name: "Connection", Value: value})
	}
	dropped := connectionHeaders(connection)
	var out []wire.Header
	for name, values := range header {
		if hopByHop[name] || dropped[name] {
			continue
		}
		for _, value := range values {
			out = append(out, wire.Header{Name: name, Value: value})
		}
	}
	return out
}

// Health checks that the service responds to a HEAD request, with any status.
func (s *ServiceClient) Health(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodHead, s.url+"/", nil)
	if err != nil {
		return err
	}
	resp, err := s.pooled.Do(req)
	if err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxErrorBytes))
	return resp.Body.Close()
}
