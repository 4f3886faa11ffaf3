// Package etcdgw is a store.Store over the published JSON gateway of etcd v3.
//
// Each call tries the endpoints in turn. A write is sent to another endpoint
// only if the earlier attempt certainly had no effect.
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
	// DefaultTimeout bounds one attempt of a call at one endpoint.
	DefaultTimeout = 2 * time.Second
	// DefaultWatchIdleTimeout is how long a watch may be without events and progress
	// notices before it is made again on another connection. The service must be
	// set to send progress notices more often than that.
	DefaultWatchIdleTimeout = 3 * time.Second
	// DefaultMaxResponseBytes bounds one answer, and one message of a watch.
	DefaultMaxResponseBytes = 32 << 20
	// DefaultPageSize is the number of keys per page of a List.
	DefaultPageSize = 1000
)

// maxErrorBytes bounds the body of an error answer.
const maxErrorBytes = 64 << 10

// idleConns is the number of idle connections kept per endpoint. It is small
// because each of them may have gone silent.
const idleConns = 4

// Options configure a Client.
type Options struct {
	// Endpoints are base URLs such as "http://192.0.2.1:2379".
	Endpoints        []string
	Timeout          time.Duration
	WatchIdleTimeout time.Duration
	MaxResponseBytes int64
	PageSize         int
	// Transport replaces the HTTP transport.
	Transport http.RoundTripper
	// Metrics is the registry of the counters; nil means the default one.
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
			DialContext:         (&net.Dialer{Timeout: o.Timeout}).DialContext,
			MaxIdleConnsPerHost: idleConns,
			IdleConnTimeout:     time.Minute,
		}
	}
	if o.Metrics == nil {
		o.Metrics = metrics.DefaultRegistry
	}
}

// Client is a store.Store. It is safe for concurrent use.
type Client struct {
	opts     Options
	http     *http.Client
	endpoint atomic.Uint32 // index of the endpoint that answered last
	calls    metrics.Counter
	failures metrics.Counter
	watches  metrics.Counter
}

var _ store.Store = (*Client)(nil)

// ErrNoEndpoints means that Options names no endpoint.
var ErrNoEndpoints = errors.New("no store endpoints")

// New returns a client; it does not connect yet.
func New(opts Options) (*Client, error) {
	if len(opts.Endpoints) == 0 {
		return nil, ErrNoEndpoints
	}
	opts.setDefaults()
	return &Client{
		opts:     opts,
		http:     &http.Client{Transport: opts.Transport},
		calls:    metrics.GetOrRegisterCounter("monsoon.store.calls", opts.Metrics),
		failures: metrics.GetOrRegisterCounter("monsoon.store.failed-calls", opts.Metrics),
		watches:  metrics.GetOrRegisterCounter("monsoon.store.watch-creations", opts.Metrics),
	}, nil
}

// Close closes idle connections. Calls in progress go on.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// gatewayError is an error answer of the gateway.
type gatewayError struct {
	Status  int
	Code    int
	Message string
}

func (e *gatewayError) Error() string {
	return fmt.Sprintf("store answered %d (code %d): %s", e.Status, e.Code, e.Message)
}

// callError is a failed attempt. Sent is false if no byte of the request can have
// reached the service.
type callError struct {
	Err  error
	Sent bool
}

func (e *callError) Error() string { return e.Err.Error() }
func (e *callError) Unwrap() error { return e.Err }

// refusals are the messages with which the service refuses a write before it is
// proposed to the cluster. Other messages with the same status, such as
// "request timed out", leave open whether the write takes effect.
var refusals = []string{
	"etcdserver: no leader",
	"etcdserver: too many requests",
	"etcdserver: mvcc: database space exceeded",
}

// hadNoEffect reports whether a failed write certainly had no effect.
func hadNoEffect(err error) bool {
	var answer *gatewayError
	if errors.As(err, &answer) {
		for _, refusal := range refusals {
			if answer.Message == refusal {
				return true
			}
		}
		return false
	}
	var attempt *callError
	return errors.As(err, &attempt) && !attempt.Sent
}

// definite returns the store error for answers that settle the outcome, nil for
// all other failures.
func definite(err error) error {
	if errors.Is(err, errResponseTooLarge) {
		return err
	}
	var answer *gatewayError
	if !errors.As(err, &answer) {
		return nil
	}
	switch {
	case strings.Contains(answer.Message, "requested lease not found"):
		return store.ErrLeaseNotFound
	case strings.Contains(answer.Message, "required revision has been compacted"):
		return store.ErrCompacted
	case strings.Contains(answer.Message, "request is too large"),
		strings.Contains(answer.Message, "too many operations in txn request"):
		return store.ErrTooLarge
	case answer.Status == http.StatusBadRequest, answer.Status == http.StatusUnauthorized,
		answer.Status == http.StatusForbidden, answer.Status == http.StatusNotFound:
		return answer
	}
	return nil
}

// read makes a call without effect. It tries each endpoint, and at least twice,
// because the first attempt may have used a connection that had gone silent.
func (c *Client) read(ctx context.Context, path string, req, reply any) error {
	var err error
	for range max(2, len(c.opts.Endpoints)) {
		if err = c.post(ctx, path, req, reply); err == nil {
			return nil
		}
		if settled := definite(err); settled != nil {
			return settled
		}
		if ctx.Err() != nil {
			break
		}
	}
	return fmt.Errorf("%w: %w", store.ErrUnavailable, err)
}

// write makes a call that changes the store.
func (c *Client) write(ctx context.Context, path string, req, reply any) error {
	var err error
	for range max(2, len(c.opts.Endpoints)) {
		if err = c.post(ctx, path, req, reply); err == nil {
			return nil
		}
		if settled := definite(err); settled != nil {
			return settled
		}
		if !hadNoEffect(err) {
			return fmt.Errorf("%w: %w", store.ErrUnknownOutcome, err)
		}
		if ctx.Err() != nil {
			break
		}
	}
	return fmt.Errorf("%w: %w", store.ErrUnavailable, err)
}

// post sends one request to the current endpoint and moves on to the next one
// if that fails.
func (c *Client) post(ctx context.Context, path string, req, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	index := c.endpoint.Load()
	resp, err := c.open(ctx, index, path, req)
	if err == nil {
		defer func() { _ = resp.Body.Close() }()
		limited := &io.LimitedReader{R: resp.Body, N: c.opts.MaxResponseBytes}
		err = json.NewDecoder(limited).Decode(reply)
		if err != nil && limited.N <= 0 {
			return &callError{Err: errResponseTooLarge, Sent: true}
		}
		if err == nil {
			return nil
		}
		err = &callError{Err: err, Sent: true}
	}
	c.failed(index, err)
	return err
}

var errResponseTooLarge = errors.New("store answer over the size limit")

// open sends a request and returns its answer if the status is 200.
func (c *Client) open(ctx context.Context, index uint32, path string, body any) (*http.Response, error) {
	c.calls.Inc(1)
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	// A request without a connection has sent nothing.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	url := strings.TrimSuffix(c.opts.Endpoints[index], "/") + path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(encoded))
	if err != nil {
		return nil, &callError{Err: err}
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, &callError{Err: err, Sent: connected.Load()}
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer func() { _ = resp.Body.Close() }()
	return nil, errorOf(resp)
}

// errorOf decodes an error answer. A body in another format, for example of a
// proxy, is kept as the message.
func errorOf(resp *http.Response) error {
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	var decoded struct {
		Error   string `json:"error"`
		Message string `json:"message"`
		Code    int    `json:"code"`
	}
	answer := &gatewayError{Status: resp.StatusCode}
	if json.Unmarshal(body, &decoded) != nil {
		answer.Message = string(body[:min(len(body), 200)])
		return answer
	}
	answer.Code, answer.Message = decoded.Code, decoded.Message
	if answer.Message == "" {
		answer.Message = decoded.Error
	}
	return answer
}

// failed counts a failure and moves on to the next endpoint, unless the answer
// would be the same everywhere. It drops idle connections, which may have gone
// silent for the same reason.
func (c *Client) failed(index uint32, err error) {
	if definite(err) != nil {
		return
	}
	c.failures.Inc(1)
	c.http.CloseIdleConnections()
	c.endpoint.CompareAndSwap(index, (index+1)%uint32(len(c.opts.Endpoints)))
}
