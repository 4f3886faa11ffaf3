// Package engine is the agent's client of the server beside it: a model engine
// with its token streams, load, cache events and orders, or a plain service. It
// knows nothing about budgets.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"github.com/tidwall/gjson"
)

// Default times of a client.
const (
	// DefaultStallTimeout is how long an answer may be silent before its
	// connection is given up and the stream is resumed on a new one. An open
	// connection can go silent for good while new ones work.
	DefaultStallTimeout = 10 * time.Second
	// DefaultResumeTimeout is how long a broken stream is tried to be resumed.
	DefaultResumeTimeout = 2 * time.Second
	// resumePause is the time between two tries.
	resumePause = 100 * time.Millisecond
	// dialTimeout bounds the opening of a connection to the server.
	dialTimeout = 2 * time.Second
	// shortCallTimeout bounds calls that engines answer at once.
	shortCallTimeout = 2 * time.Second
)

// maxCrossed is how often a stream may deliver chunks of another answer before
// it is given up.
const maxCrossed = 3

// maxFruitless is how often in a row a stream is resumed without a new chunk.
const maxFruitless = 5

// maxErrorBytes bounds how much of an error body is read.
const maxErrorBytes = 64 << 10

// Errors of a request to a server.
var (
	// ErrNotSent means that no connection could be opened: the request
	// certainly did not run.
	ErrNotSent = errors.New("server cannot be reached")
	// ErrInvalidRequest means that no HTTP request can be made of a call: it certainly
	// did not run.
	ErrInvalidRequest = errors.New("invalid request")
	// ErrServerLost means that the server went away after the request was sent.
	ErrServerLost = errors.New("server went away")
	// ErrStreamLost means that the engine answers but no longer has the stream.
	ErrStreamLost = errors.New("engine no longer has the stream")
	// ErrResponseMismatch means that the engine repeatedly sent chunks of another
	// request's answer.
	ErrResponseMismatch = errors.New("engine sent another request's answer")
)

// StatusError is an answer of an engine that is not a stream.
type StatusError struct {
	Status int
	// Detail is the engine's message.
	Detail     string
	RetryAfter time.Duration
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("engine answered %d: %s", e.Status, e.Detail)
}

// DialFunc opens a connection to the server.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Options configure a client. Zero values mean the defaults.
type Options struct {
	// URL is the server's base address, without a slash at the end.
	URL           string
	StallTimeout  time.Duration
	ResumeTimeout time.Duration
	// Dial replaces the dialer, for tests.
	Dial    DialFunc
	Metrics metrics.Registry
}

// Client talks to one model engine. It is safe for concurrent use.
type Client struct {
	opts Options
	// fresh opens a connection for each request, so that a failure to connect
	// is told apart from a failure of a request that may run.
	fresh *http.Client
	// reuse keeps connections, for calls that can be repeated.
	reuse   *http.Client
	resumes metrics.Counter
	crossed metrics.Counter
}

// New returns a client of the engine at opts.URL.
func New(opts Options) *Client {
	opts = opts.withDefaults()
	return &Client{
		opts:    opts,
		fresh:   &http.Client{Transport: newTransport(opts.Dial, false), CheckRedirect: noRedirect},
		reuse:   &http.Client{Transport: newTransport(opts.Dial, true), CheckRedirect: noRedirect},
		resumes: metrics.GetOrRegisterCounter("monsoon.engine.resumed_streams", opts.Metrics),
		crossed: metrics.GetOrRegisterCounter("monsoon.engine.crossed_chunks", opts.Metrics),
	}
}

func (o Options) withDefaults() Options {
	o.URL = strings.TrimSuffix(o.URL, "/")
	if o.StallTimeout == 0 {
		o.StallTimeout = DefaultStallTimeout
	}
	if o.ResumeTimeout == 0 {
		o.ResumeTimeout = DefaultResumeTimeout
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	if o.Metrics == nil {
		o.Metrics = metrics.DefaultRegistry
	}
	return o
}

// newTransport returns a transport without proxies and compression. Dial errors
// are marked with ErrNotSent.
func newTransport(dial DialFunc, keepAlive bool) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
			}
			return conn, nil
		},
		DisableCompression:  true,
		DisableKeepAlives:   !keepAlive,
		MaxIdleConnsPerHost: 16,
		IdleConnTimeout:     30 * time.Second,
		ReadBufferSize:      16 << 10,
		WriteBufferSize:     16 << 10,
	}
}

// noRedirect hands redirects on instead of following them: following one would
// send a request twice.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes idle connections.
func (c *Client) Close() { c.reuse.CloseIdleConnections() }

// Request is one generation.
type Request struct {
	// ID is the attempt id.
	ID uuid.UUID
	// Path is /v1/chat/completions or /v1/completions.
	Path string
	// Body asks for a stream with usage.
	Body        []byte
	TraceParent string
}

// Run sends a request and calls onEvent for each chunk of the answer; the event
// is valid until onEvent returns. Run resumes
// a broken stream as long as the engine still has it. It returns nil after the
// engine's end mark, the error of onEvent, ctx's cause, ErrNotSent or ErrInvalidRequest (certainly not
// run), ErrInvalidRequest, a *StatusError, ErrServerLost, ErrStreamLost or ErrResponseMismatch.
//
// Run does not cancel the engine's stream when it returns early.
func (c *Client) Run(ctx context.Context, req *Request, onEvent func(*Event) error) error {
	r := &run{client: c, req: req, onEvent: onEvent}
	err := r.post(ctx)
	for fruitless := 0; !r.finalError(ctx, err); {
		c.resumes.Inc(1)
		before := r.lastID
		if r.unnumbered {
			err = fmt.Errorf("%w: %w", ErrServerLost, err)
			break
		}
		err = r.resume(ctx)
		if fruitless++; r.lastID > before {
			fruitless = 0
		}
		if fruitless >= maxFruitless && errors.Is(err, errBroken) {
			err = fmt.Errorf("%w: %w", ErrServerLost, err)
			break
		}
	}
	if err != nil && !r.rejected && ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

// run is the state of one Run.
type run struct {
	client  *Client
	req     *Request
	onEvent func(*Event) error
	lastID  int64
	event   Event // reused for each chunk
	answer  string
	crossed int
	// unnumbered is set after a chunk without an id: the stream cannot be
	// resumed without repeating it.
	unnumbered bool
	// rejected is set if onEvent returned an error.
	rejected bool
}

// errBroken marks a failure after which a stream may be resumed.
var errBroken = errors.New("stream broke")

func (r *run) finalError(ctx context.Context, err error) bool {
	return err == nil || r.rejected || ctx.Err() != nil || !errors.Is(err, errBroken)
}

func (r *run) post(ctx context.Context) error {
	ctx, stall := r.stallContext(ctx)
	defer stall.stop()
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, r.client.opts.URL+r.req.Path, bytes.NewReader(r.req.Body))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidRequest, err)
	}
	// Without GetBody the transport cannot send the request a second time.
	httpReq.GetBody = nil
	httpReq.Header.Set("Content-Type", "application/json")
	httpReq.Header.Set("Accept", "text/event-stream")
	httpReq.Header.Set("X-Request-Id", r.req.ID.String())
	if r.req.TraceParent != "" {
		httpReq.Header.Set("Traceparent", r.req.TraceParent)
	}
	resp, err := r.client.fresh.Do(httpReq)
	if errors.Is(err, ErrNotSent) {
		return err
	}
	if err != nil {
		return fmt.Errorf("%w: %w", errBroken, err)
	}
	return r.read(resp, stall)
}

// resume asks for the rest of the stream until the engine answers or the resume
// timeout ends.
func (r *run) resume(ctx context.Context) error {
	deadline := time.Now().Add(r.client.opts.ResumeTimeout)
	for {
		err := r.tryResume(ctx)
		var gone *unreachable
		if !errors.As(err, &gone) {
			return err
		}
		if time.Now().After(deadline) || errors.Is(err, ErrNotSent) {
			return fmt.Errorf("%w: %w", ErrServerLost, gone.err)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(resumePause):
		}
	}
}

// unreachable is a failed try to resume.
type unreachable struct{ err error }

func (u *unreachable) Error() string { return u.err.Error() }
func (u *unreachable) Unwrap() error { return u.err }

func (r *run) tryResume(ctx context.Context) error {
	ctx, stall := r.stallContext(ctx)
	defer stall.stop()
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodGet, r.client.opts.URL+"/v1/streams/"+r.req.ID.String(), nil)
	if err != nil {
		return err
	}
	httpReq.Header.Set("Last-Event-ID", strconv.FormatInt(r.lastID, 10))
	resp, err := r.client.fresh.Do(httpReq)
	if err != nil {
		return &unreachable{err}
	}
	if resp.StatusCode == http.StatusNotFound || resp.StatusCode == http.StatusGone {
		_ = resp.Body.Close()
		return ErrStreamLost
	}
	return r.read(resp, stall)
}

// read hands on the events of a response until its end.
func (r *run) read(resp *http.Response, stall *stallTimer) error {
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return statusError(resp)
	}
	if id := resp.Header.Get("X-Request-Id"); id != "" && id != r.req.ID.String() {
		return r.noteCrossed()
	}
	events := newEventReader(resp.Body)
	for {
		raw, err := events.next()
		if errors.Is(err, ErrMalformedEvent) {
			return err
		}
		if err != nil {
			return fmt.Errorf("%w: %w", errBroken, err)
		}
		if string(raw.data) == "[DONE]" {
			return nil
		}
		if raw.id != 0 && raw.id <= r.lastID {
			stall.reset()
			continue // repeated by the engine after a resume
		}
		if raw.id > r.lastID+1 {
			return fmt.Errorf("%w: chunks before %d are missing", errBroken, raw.id)
		}
		if err := r.deliver(raw, stall); err != nil {
			return err
		}
	}
}

func (r *run) deliver(raw rawEvent, stall *stallTimer) error {
	event := &r.event
	if err := parseEvent(raw.data, event); err != nil {
		return err
	}
	if r.answer != "" && event.CompletionID != "" && event.CompletionID != r.answer {
		return r.noteCrossed()
	}
	if event.CompletionID != "" {
		r.answer = event.CompletionID
	}
	if raw.id == 0 {
		r.unnumbered = true
	} else {
		r.lastID = raw.id
	}
	// The time that the receiver takes is not the engine's.
	stall.pause()
	defer stall.reset()
	if err := r.onEvent(event); err != nil {
		r.rejected = true
		return err
	}
	return nil
}

// noteCrossed counts a chunk of another answer. The chunk is dropped, and the
// stream is resumed so that no chunk of the own answer is missed.
func (r *run) noteCrossed() error {
	r.client.crossed.Inc(1)
	r.crossed++
	if r.crossed >= maxCrossed {
		return ErrResponseMismatch
	}
	return fmt.Errorf("%w: %w", errBroken, ErrResponseMismatch)
}

func statusError(resp *http.Response) error {
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	detail := gjson.GetBytes(body, "error.message").Str
	if detail == "" {
		detail = http.StatusText(resp.StatusCode)
	}
	e := &StatusError{Status: resp.StatusCode, Detail: detail}
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && seconds > 0 {
		e.RetryAfter = time.Duration(seconds) * time.Second
	}
	return e
}

// stallTimer ends a request's context when the answer is silent for too long.
type stallTimer struct {
	timer  *time.Timer
	after  time.Duration
	cancel context.CancelFunc
}

func (r *run) stallContext(ctx context.Context) (context.Context, *stallTimer) {
	ctx, cancel := context.WithCancel(ctx)
	after := r.client.opts.StallTimeout
	return ctx, &stallTimer{timer: time.AfterFunc(after, cancel), after: after, cancel: cancel}
}

func (s *stallTimer) pause() { s.timer.Stop() }
func (s *stallTimer) reset() { s.timer.Reset(s.after) }

func (s *stallTimer) stop() {
	s.timer.Stop()
	s.cancel()
}

// Cancel stops a stream. It returns the usage so far if the engine reports it,
// else nil. An engine that does not know the stream is no error.
func (c *Client) Cancel(ctx context.Context, id uuid.UUID) (*Usage, error) {
	body, err := c.short(ctx, http.MethodDelete, "/v1/streams/"+id.String(), nil)
	var status *StatusError
	if errors.As(err, &status) && status.Status == http.StatusNotFound {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return readUsage(gjson.GetBytes(body, "usage")), nil
}

// short makes a call that the engine answers at once and returns the body.
func (c *Client) short(ctx context.Context, method, path string, body any) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, shortCallTimeout)
	defer cancel()
	return c.call(ctx, method, path, body)
}

func (c *Client) call(ctx context.Context, method, path string, body any) ([]byte, error) {
	var reader io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return nil, err
		}
		reader = bytes.NewReader(encoded)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.opts.URL+path, reader)
	if err != nil {
		return nil, err
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.reuse.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode/100 != 2 {
		return nil, statusError(resp)
	}
	return io.ReadAll(io.LimitReader(resp.Body, maxControlBytes))
}

// maxControlBytes bounds the answers to control calls.
const maxControlBytes = 4 << 20
