// Package etcdgw implements store.Store with the JSON gateway of etcd v3. The daemon and
// the operators' tool create the client; everything else uses the interfaces of package
// store.
//
// A failed call is retried at the next endpoint. A write is retried only if the failed
// attempt had no effect.
package etcdgw

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/monsoonworks/monsoonworks/internal/store"
)

// Defaults of Options.
const (
	// DefaultTimeout is the timeout of one attempt of a call.
	DefaultTimeout = 2 * time.Second
	// DefaultWatchIdleTimeout is how long a watch may receive neither events nor
	// progress notifications before it is re-established on another connection.
	// The service must be configured to send progress notifications more often.
	DefaultWatchIdleTimeout = 3 * time.Second
	// DefaultMaxResponseBytes bounds one response, and one message of a watch.
	DefaultMaxResponseBytes = 32 << 20
	// DefaultPageSize is the number of keys per page of a List.
	DefaultPageSize = 1000
)

// maxErrorBytes bounds the body of an error response.
const maxErrorBytes = 64 << 10

// maxHeadBytes limits the head of a response.
const maxHeadBytes = 32 << 10

// maxIdleConnsPerEndpoint is small because each idle connection may be unresponsive, and
// a call that uses such a connection times out.
const maxIdleConnsPerEndpoint = 4

// Options configures a Client. Fields that are 0 take the defaults; at least one
// endpoint is required.
type Options struct {
	// Endpoints are base URLs such as "http://192.0.2.1:2379".
	Endpoints        []string
	Timeout          time.Duration
	WatchIdleTimeout time.Duration
	MaxResponseBytes int64
	PageSize         int
	// Transport replaces the default HTTP transport.
	Transport http.RoundTripper
	// Metrics is the registry of the counters; nil means metrics.DefaultRegistry.
	Metrics metrics.Registry
}

func (o *Options) setDefaults() {
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	if o.WatchIdleTimeout <= 0 {
		o.WatchIdleTimeout = DefaultWatchIdleTimeout
	}
	if o.MaxResponseBytes <= 0 {
		o.MaxResponseBytes = DefaultMaxResponseBytes
	}
	if o.PageSize <= 0 {
		o.PageSize = DefaultPageSize
	}
	if o.Transport == nil {
		o.Transport = &http.Transport{
			DialContext:            (&net.Dialer{Timeout: o.Timeout}).DialContext,
			MaxResponseHeaderBytes: maxHeadBytes,
			MaxIdleConnsPerHost:    maxIdleConnsPerEndpoint,
			IdleConnTimeout:        time.Minute,
		}
	}
	if o.Metrics == nil {
		o.Metrics = metrics.DefaultRegistry
	}
}

// Client is a store.Store. It is safe for concurrent use.
type Client struct {
	opts           Options
	http           *http.Client
	endpointIndex  atomic.Uint32 // index of the endpoint in use
	calls          metrics.Counter
	failures       metrics.Counter
	watchCreations metrics.Counter
}

var _ store.Store = (*Client)(nil)

// ErrNoEndpoints means that Options.Endpoints is empty.
var ErrNoEndpoints = errors.New("no store endpoints")

// New returns a client. It does not connect yet. Its only error is ErrNoEndpoints.
func New(opts Options) (*Client, error) {
	if len(opts.Endpoints) == 0 {
		return nil, ErrNoEndpoints
	}
	opts.setDefaults()
	return &Client{
		opts:           opts,
		http:           &http.Client{Transport: opts.Transport},
		calls:          metrics.GetOrRegisterCounter("monsoon.store.calls", opts.Metrics),
		failures:       metrics.GetOrRegisterCounter("monsoon.store.failed-calls", opts.Metrics),
		watchCreations: metrics.GetOrRegisterCounter("monsoon.store.watch-creations", opts.Metrics),
	}, nil
}

// Close closes idle connections. Calls in progress continue.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// gatewayError is an error response of the gateway.
type gatewayError struct {
	Status  int
	Code    int
	Message string
}

func (e *gatewayError) Error() string {
	return fmt.Sprintf("store answered %d (code %d): %s", e.Status, e.Code, e.Message)
}

// attemptError is the error of an attempt without a valid response. Sent is false if the
// service cannot have received any byte of the request.
type attemptError struct {
	Err  error
	Sent bool
}

func (e *attemptError) Error() string { return e.Err.Error() }
func (e *attemptError) Unwrap() error { return e.Err }

// rejections are the messages with which the service rejects a write before it is
// proposed to the cluster. After other messages with the same status, such as
// "request timed out", the write may still be applied.
var rejections = []string{
	"etcdserver: no leader",
	"etcdserver: too many requests",
	"etcdserver: mvcc: database space exceeded",
}

// notApplied reports whether a failed write is known to have had no effect.
func notApplied(err error) bool {
	var gatewayErr *gatewayError
	if errors.As(err, &gatewayErr) {
		for _, message := range rejections {
			if gatewayErr.Message == message {
				return true
			}
		}
		return false
	}
	var attemptErr *attemptError
	return errors.As(err, &attemptErr) && !attemptErr.Sent
}

// definitiveError returns the error to report if err is definitive, that is if a retry
// would fail in the same way, and nil for all other failures.
func definitiveError(err error) error {
	if errors.Is(err, errResponseTooLarge) {
		return err
	}
	var gatewayErr *gatewayError
	if !errors.As(err, &gatewayErr) {
		return nil
	}
	switch {
	case strings.Contains(gatewayErr.Message, "requested lease not found"):
		return store.ErrLeaseNotFound
	case strings.Contains(gatewayErr.Message, "required revision has been compacted"):
		return store.ErrCompacted
	case strings.Contains(gatewayErr.Message, "request is too large"),
		strings.Contains(gatewayErr.Message, "too many operations in txn request"):
		return store.ErrTooLarge
	case gatewayErr.Status == http.StatusBadRequest, gatewayErr.Status == http.StatusUnauthorized,
		gatewayErr.Status == http.StatusForbidden, gatewayErr.Status == http.StatusNotFound:
		return gatewayErr
	}
	return nil
}

// read makes an idempotent call, with one attempt per endpoint and at least two, because
// the first attempt may have used an unresponsive connection.
func (c *Client) read(ctx context.Context, path string, req, reply any) error {
	var err error
	for range max(2, len(c.opts.Endpoints)) {
		if err = c.post(ctx, path, req, reply); err == nil {
			return nil
		}
		if definitive := definitiveError(err); definitive != nil {
			return definitive
		}
		if ctx.Err() != nil {
			break
		}
	}
	return fmt.Errorf("%w: %w", store.ErrUnavailable, err)
}

// write makes a call that is not idempotent. It makes another attempt only if the failed
// one was not applied.
func (c *Client) write(ctx context.Context, path string, req, reply any) error {
	var err error
	for range max(2, len(c.opts.Endpoints)) {
		if err = c.post(ctx, path, req, reply); err == nil {
			return nil
		}
		if definitive := definitiveError(err); definitive != nil {
			return definitive
		}
		if !notApplied(err) {
			return fmt.Errorf("%w: %w", store.ErrUnknownOutcome, err)
		}
		if ctx.Err() != nil {
			break
		}
	}
	return fmt.Errorf("%w: %w", store.ErrUnavailable, err)
}

// post makes one attempt at the current endpoint and decodes the response into reply.
// After a failure it switches to the next endpoint.
func (c *Client) post(ctx context.Context, path string, req, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	index := c.endpointIndex.Load()
	resp, err := c.doRequest(ctx, index, path, req)
	if err == nil {
		defer func() { _ = resp.Body.Close() }()
		limited := &io.LimitedReader{R: resp.Body, N: c.opts.MaxResponseBytes}
		err = json.NewDecoder(limited).Decode(reply)
		if err != nil && limited.N <= 0 {
			return &attemptError{Err: errResponseTooLarge, Sent: true}
		}
		if err == nil {
			return nil
		}
		err = &attemptError{Err: err, Sent: true}
	}
	c.recordFailure(index, err)
	return err
}

var errResponseTooLarge = errors.New("store answer over the size limit")

// doRequest sends a request and returns the response if its status is 200.
func (c *Client) doRequest(ctx context.Context, index uint32, path string, body any) (*http.Response, error) {
	c.calls.Inc(1)
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	// Without a connection nothing was sent.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	url := strings.TrimSuffix(c.opts.Endpoints[index], "/") + path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(encoded))
	if err != nil {
		return nil, &attemptError{Err: err}
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, &attemptError{Err: err, Sent: connected.Load()}
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer func() { _ = resp.Body.Close() }()
	return nil, decodeError(resp)
}

// decodeError decodes an error response. If the body has another format, for example
// because a proxy sent it, its first 200 bytes are the message.
func decodeError(resp *http.Response) error {
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	var decoded struct {
		Error   string `json:"error"`
		Message string `json:"message"`
		Code    int    `json:"code"`
	}
	gatewayErr := &gatewayError{Status: resp.StatusCode}
	if json.Unmarshal(body, &decoded) != nil {
		gatewayErr.Message = string(body[:min(len(body), 200)])
		return gatewayErr
	}
	gatewayErr.Code, gatewayErr.Message = decoded.Code, decoded.Message
	if gatewayErr.Message == "" {
		gatewayErr.Message = decoded.Error
	}
	return gatewayErr
}

// recordFailure counts a failure and switches to the next endpoint, unless the error is
// definitive. It closes idle connections, which may be unresponsive for the same reason.
func (c *Client) recordFailure(index uint32, err error) {
	if definitiveError(err) != nil {
		return
	}
	c.failures.Inc(1)
	c.http.CloseIdleConnections()
	c.endpointIndex.CompareAndSwap(index, (index+1)%uint32(len(c.opts.Endpoints)))
}
