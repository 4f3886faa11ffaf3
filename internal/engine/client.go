// Package engine implements the clients by which an agent calls its backend
// server: Client calls a model engine, for token streams, load, cache events and
// commands, and ServiceClient a plain service. It contains no admission or
// budget policy.
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

const (
	// DefaultStallTimeout is how long a stream may be idle before its
	// connection is closed and the stream is resumed on a new one. An open
	// connection can stop delivering data while new ones work.
	DefaultStallTimeout = 10 * time.Second
	// DefaultResumeTimeout is how long the client tries to resume an
	// interrupted stream.
	DefaultResumeTimeout = 2 * time.Second
	// resumeBackoff is the time between two resume requests.
	resumeBackoff = 100 * time.Millisecond
	// dialTimeout bounds opening a connection to the server.
	dialTimeout = 2 * time.Second
	// controlTimeout bounds calls that engines answer immediately.
	controlTimeout = 2 * time.Second
)

// maxMismatches is the number of chunks or responses of another request after
// which a run fails.
const maxMismatches = 3

// maxResumesWithoutProgress bounds consecutive resumes without a new chunk.
const maxResumesWithoutProgress = 5

// maxErrorBytes bounds the part of an error body that is read.
const maxErrorBytes = 64 << 10

// Errors of a request to a server.
var (
	// ErrNotSent means that no connection could be opened: the request did not
	// run.
	ErrNotSent = errors.New("server cannot be reached")
	// ErrInvalidRequest means that no HTTP request can be built from the call:
	// it did not run.
	ErrInvalidRequest = errors.New("invalid request")
	// ErrServerLost means that the connection was lost after the request was
	// sent, and that a stream, if any, could not be resumed. The request may have
	// run.
	ErrServerLost = errors.New("connection to the server lost")
	// ErrStreamLost means that the engine responds but no longer has the
	// stream.
	ErrStreamLost = errors.New("engine no longer has the stream")
	// ErrResponseMismatch means that the engine repeatedly sent chunks of
	// another request's response.
	ErrResponseMismatch = errors.New("engine sent another request's answer")
)

// StatusError is an engine's response with an error status.
type StatusError struct {
	Status int
	// Detail is the engine's message.
	Detail string
	// RetryAfter is 0 if the response has no Retry-After header in seconds.
	RetryAfter time.Duration
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("engine answered %d: %s", e.Status, e.Detail)
}

// DialFunc opens a connection to the server.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Options configure a client. Zero values select the defaults.
type Options struct {
	// URL is the base URL of the server.
	URL           string
	StallTimeout  time.Duration
	ResumeTimeout time.Duration
	// Dial opens connections to the server; the default is a net.Dialer with
	// dialTimeout.
	Dial    DialFunc
	Metrics metrics.Registry
}

// Client is the client of one model engine. It is safe for concurrent use.
type Client struct {
	opts Options
	// singleUse opens a connection for each request. On a new connection a
	// failure to connect is distinct from the failure of a request that may
	// have run.
	singleUse *http.Client
	// pooled reuses connections, for calls that can be repeated.
	pooled           *http.Client
	resumedStreams   metrics.Counter
	mismatchedChunks metrics.Counter
}

// New returns a client of the engine at opts.URL.
func New(opts Options) *Client {
	opts = opts.withDefaults()
	return &Client{
		opts:             opts,
		singleUse:        &http.Client{Transport: newTransport(opts.Dial, false), CheckRedirect: noRedirect},
		pooled:           &http.Client{Transport: newTransport(opts.Dial, true), CheckRedirect: noRedirect},
		resumedStreams:   metrics.GetOrRegisterCounter("monsoon.engine.resumed_streams", opts.Metrics),
		mismatchedChunks: metrics.GetOrRegisterCounter("monsoon.engine.crossed_chunks", opts.Metrics),
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

// maxHeadBytes limits the head of a server's response.
const maxHeadBytes = 32 << 10

// newTransport returns a transport without proxies and compression. Its dial
// errors wrap ErrNotSent.
func newTransport(dial DialFunc, reuseConns bool) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
			}
			return conn, nil
		},
		DisableCompression:     true,
		DisableKeepAlives:      !reuseConns,
		MaxResponseHeaderBytes: maxHeadBytes,
		MaxIdleConnsPerHost:    16,
		IdleConnTimeout:        30 * time.Second,
		ReadBufferSize:         16 << 10,
		WriteBufferSize:        16 << 10,
	}
}

// noRedirect returns redirects to the caller: following one would send the
// request twice.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes idle connections.
func (c *Client) Close() { c.pooled.CloseIdleConnections() }

// Request is one streamed generation.
type Request struct {
	// ID is the attempt ID.
	ID uuid.UUID
	// Path is /v1/chat/completions or /v1/completions.
	Path string
	// Body must request a stream with usage.
	Body        []byte
	TraceParent string
}

// Run sends a request and calls onChunk for each chunk of the response; the
// chunk is valid until onChunk returns. An interrupted stream is resumed as
// long as the engine still has it. Run returns nil after the engine's [DONE]
// event. Other results are the error of onChunk, ctx's cause, *StatusError,
// ErrServerLost, ErrStreamLost, ErrMalformedEvent, ErrResponseMismatch,
// ErrNotSent and ErrInvalidRequest. After the last two the request did not run,
// unless the error also wraps ErrServerLost.
//
// Run does not cancel the engine's stream when it returns early.
func (c *Client) Run(ctx context.Context, req *Request, onChunk func(*Chunk) error) error {
	r := &run{client: c, req: req, onChunk: onChunk}
	err := r.post(ctx)
	for withoutProgress := 0; !r.isFinal(ctx, err); {
		c.resumedStreams.Inc(1)
		before := r.lastID
		if r.unnumbered {
			err = fmt.Errorf("%w: %w", ErrServerLost, err)
			break
		}
		err = r.resume(ctx)
		if withoutProgress++; r.lastID > before {
			withoutProgress = 0
		}
		if withoutProgress >= maxResumesWithoutProgress && errors.Is(err, errInterrupted) {
			err = fmt.Errorf("%w: %w", ErrServerLost, err)
			break
		}
	}
	if err != nil && !r.handlerFailed && ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

// run is the state of one call of Run.
type run struct {
	client       *Client
	req          *Request
	onChunk      func(*Chunk) error
	lastID       int64 // event ID of the last handled chunk, 0 if none
	chunk        Chunk // reused for each chunk
	completionID string
	mismatches   int
	// unnumbered is set after a chunk without an event ID: resuming the stream
	// would repeat the chunk.
	unnumbered bool
	// handlerFailed is set if onChunk returned an error.
	handlerFailed bool
}

// errInterrupted marks a failure after which a stream may be resumed.
var errInterrupted = errors.New("stream interrupted")

// isFinal reports whether the run ends with err, and is not resumed.
func (r *run) isFinal(ctx context.Context, err error) bool {
	return err == nil || r.handlerFailed || ctx.Err() != nil || !errors.Is(err, errInterrupted)
}

func (r *run) post(ctx context.Context) error {
	ctx, stall := r.withStallTimer(ctx)
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
	resp, err := r.client.singleUse.Do(httpReq)
	if errors.Is(err, ErrNotSent) {
		return err
	}
	if err != nil {
		return fmt.Errorf("%w: %w", errInterrupted, err)
	}
	return r.readEvents(resp, stall)
}

// resume requests the rest of the stream until the engine responds, no
// connection can be opened or the resume timeout ends.
func (r *run) resume(ctx context.Context) error {
	deadline := time.Now().Add(r.client.opts.ResumeTimeout)
	for {
		err := r.resumeOnce(ctx)
		var failed *resumeError
		if !errors.As(err, &failed) {
			return err
		}
		if time.Now().After(deadline) || errors.Is(err, ErrNotSent) {
			return fmt.Errorf("%w: %w", ErrServerLost, failed.err)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(resumeBackoff):
		}
	}
}

// resumeError is the error of a resume request that got no response.
type resumeError struct{ err error }

func (e *resumeError) Error() string { return e.err.Error() }
func (e *resumeError) Unwrap() error { return e.err }

func (r *run) resumeOnce(ctx context.Context) error {
	ctx, stall := r.withStallTimer(ctx)
	defer stall.stop()
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodGet, r.client.opts.URL+"/v1/streams/"+r.req.ID.String(), nil)
	if err != nil {
		return err
	}
	httpReq.Header.Set("Last-Event-ID", strconv.FormatInt(r.lastID, 10))
	resp, err := r.client.singleUse.Do(httpReq)
	if err != nil {
		return &resumeError{err}
	}
	if resp.StatusCode == http.StatusNotFound || resp.StatusCode == http.StatusGone {
		_ = resp.Body.Close()
		return ErrStreamLost
	}
	return r.readEvents(resp, stall)
}

// readEvents handles the events of a response until its end.
func (r *run) readEvents(resp *http.Response, stall *stallTimer) error {
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return statusError(resp)
	}
	if id := resp.Header.Get("X-Request-Id"); id != "" && id != r.req.ID.String() {
		return r.countMismatch()
	}
	events := newEventReader(resp.Body)
	for {
		raw, err := events.next()
		if errors.Is(err, ErrMalformedEvent) {
			return err
		}
		if err != nil {
			return fmt.Errorf("%w: %w", errInterrupted, err)
		}
		if string(raw.data) == "[DONE]" {
			return nil
		}
		if raw.id != 0 && raw.id <= r.lastID {
			stall.reset()
			continue // repeated by the engine after a resume
		}
		if raw.id > r.lastID+1 {
			return fmt.Errorf("%w: chunks before %d are missing", errInterrupted, raw.id)
		}
		if err := r.handleEvent(raw, stall); err != nil {
			return err
		}
	}
}

func (r *run) handleEvent(raw rawEvent, stall *stallTimer) error {
	chunk := &r.chunk
	if err := parseChunk(raw.data, chunk); err != nil {
		return err
	}
	if r.completionID != "" && chunk.CompletionID != "" && chunk.CompletionID != r.completionID {
		return r.countMismatch()
	}
	if chunk.CompletionID != "" {
		r.completionID = chunk.CompletionID
	}
	if raw.id == 0 {
		r.unnumbered = true
	} else {
		r.lastID = raw.id
	}
	// The stall timeout does not cover the time that onChunk takes.
	stall.pause()
	defer stall.reset()
	if err := r.onChunk(chunk); err != nil {
		r.handlerFailed = true
		return err
	}
	return nil
}

// countMismatch counts a chunk or response of another request. It is dropped,
// and the stream is resumed so that no chunk of this request's response is missed.
func (r *run) countMismatch() error {
	r.client.mismatchedChunks.Inc(1)
	r.mismatches++
	if r.mismatches >= maxMismatches {
		return ErrResponseMismatch
	}
	return fmt.Errorf("%w: %w", errInterrupted, ErrResponseMismatch)
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

// stallTimer cancels a request's context when its response is idle for too
// long.
type stallTimer struct {
	timer   *time.Timer
	timeout time.Duration
	cancel  context.CancelFunc
}

func (r *run) withStallTimer(ctx context.Context) (context.Context, *stallTimer) {
	ctx, cancel := context.WithCancel(ctx)
	timeout := r.client.opts.StallTimeout
	return ctx, &stallTimer{timer: time.AfterFunc(timeout, cancel), timeout: timeout, cancel: cancel}
}

func (s *stallTimer) pause() { s.timer.Stop() }
func (s *stallTimer) reset() { s.timer.Reset(s.timeout) }

func (s *stallTimer) stop() {
	s.timer.Stop()
	s.cancel()
}

// Cancel cancels a stream. It returns the usage so far if the engine reports
// it, nil otherwise. A stream that the engine does not have is not an error.
func (c *Client) Cancel(ctx context.Context, id uuid.UUID) (*Usage, error) {
	body, err := c.controlCall(ctx, http.MethodDelete, "/v1/streams/"+id.String(), nil)
	var status *StatusError
	if errors.As(err, &status) && status.Status == http.StatusNotFound {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return readUsage(gjson.GetBytes(body, "usage")), nil
}

// controlCall is call with controlTimeout, for a call that the engine answers
// immediately.
func (c *Client) controlCall(ctx context.Context, method, path string, body any) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	return c.call(ctx, method, path, body)
}

// call sends body as JSON unless it is nil, and returns the body of the response.
// It fails with *StatusError for a status other than 2xx.
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
	resp, err := c.pooled.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode/100 != 2 {
		return nil, statusError(resp)
	}
	return io.ReadAll(io.LimitReader(resp.Body, maxControlBytes))
}

// maxControlBytes bounds the part of a response that call reads.
const maxControlBytes = 4 << 20
