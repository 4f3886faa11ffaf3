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

// ServiceRequest is one call of a plain service.
type ServiceRequest struct {
	Method string
	// Path is the path and query at the service.
	Path    string
	Headers []wire.Header
	Body    []byte
	// Idempotent calls may use a connection that is already open.
	Idempotent bool
}

// ServiceClient is the client of one plain service. It is safe for concurrent use.
type ServiceClient struct {
	url   string
	fresh *http.Client
	reuse *http.Client
}

// NewServiceClient returns a client of the service at opts.URL.
func NewServiceClient(opts Options) *ServiceClient {
	opts = opts.withDefaults()
	return &ServiceClient{
		url:   opts.URL,
		fresh: &http.Client{Transport: newTransport(opts.Dial, false), CheckRedirect: noRedirect},
		reuse: &http.Client{Transport: newTransport(opts.Dial, true), CheckRedirect: noRedirect},
	}
}

// Close closes idle connections.
func (s *ServiceClient) Close() { s.reuse.CloseIdleConnections() }

// hopByHop are the headers that concern one connection only.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// Call forwards a call and returns the response, whose body the caller closes.
// An error that wraps ErrNotSent or ErrInvalidRequest means that the call certainly did
// not run; after any other error it may have run.
//
// A non-idempotent call gets a connection of its own: on a reused one, a server
// that closes it for being idle cannot be told from one that took the call.
func (s *ServiceClient) Call(ctx context.Context, call *ServiceRequest) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, s.url+call.Path, bytes.NewReader(call.Body))
	if err == nil {
		err = checkCall(call)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidRequest, err)
	}
	// Without GetBody the transport cannot send a call a second time, which it
	// would otherwise do for one with an Idempotency-Key header.
	req.GetBody = nil
	if len(call.Body) == 0 {
		req.Body = http.NoBody
	}
	setHeaders(req, call.Headers)
	client := s.fresh
	if call.Idempotent {
		client = s.reuse
	}
	resp, err := client.Do(req)
	if err != nil && !errors.Is(err, ErrNotSent) {
		return nil, fmt.Errorf("%w: %w", ErrServerLost, err)
	}
	return resp, err
}

// checkCall finds what would make a call mean another one: a path that changes
// the server's address, or headers that hold more than one line.
func checkCall(call *ServiceRequest) error {
	if !strings.HasPrefix(call.Path, "/") {
		return errors.New("the path does not begin with a slash")
	}
	for _, h := range call.Headers {
		if !httpguts.ValidHeaderFieldName(h.Name) || !httpguts.ValidHeaderFieldValue(h.Value) {
			return fmt.Errorf("header %.40q", h.Name)
		}
	}
	return nil
}

// setHeaders copies the end-to-end headers, but for the caller's credentials.
func setHeaders(req *http.Request, headers []wire.Header) {
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

// connectionHeaders returns the names that Connection headers list.
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
	var listed []wire.Header
	for _, value := range header["Connection"] {
		listed = append(listed, wire.Header{Name: "Connection", Value: value})
	}
	dropped := connectionHeaders(listed)
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

// Health checks that the service accepts connections.
func (s *ServiceClient) Health(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, shortCallTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodHead, s.url+"/", nil)
	if err != nil {
		return err
	}
	resp, err := s.reuse.Do(req)
	if err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxErrorBytes))
	return resp.Body.Close()
}
