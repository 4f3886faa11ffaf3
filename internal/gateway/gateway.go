// Package gateway is the HTTP server of a router for callers; gate processes use
// package gate instead. It authenticates callers by their API keys, validates
// requests, computes an upper bound of the cost of each, and relays responses.
// Every response has a verdict, which says whether the request ran.
//
// The router's daemon creates a Gateway and provides the configuration, the API
// keys, admission and the dispatcher. The package must not know how a server is
// chosen, or how budgets and retries work.
package gateway

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/trace"
	"golang.org/x/sync/semaphore"

	"github.com/monsoonworks/monsoonworks/internal/admission"
	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/dispatch"
	"github.com/monsoonworks/monsoonworks/internal/graceful"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// Workspace is the part of a workspace's configuration that the gateway uses.
type Workspace struct {
	Name       string
	HomeRegion string
	// Models are the names of the models that the workspace may call.
	Models []string
	// Services are the names of the plain services that the workspace may call.
	Services []string
	// Priority is higher for more urgent requests.
	Priority int8
}

// Model is the part of a model's configuration that the gateway uses.
type Model struct {
	Name string
	// PromptTokensPerByte is the maximum number of tokens per byte of a prompt, at
	// most 1 for byte-level tokenizers.
	PromptTokensPerByte float64
	// MessageOverheadTokens is the maximum number of tokens that the chat template
	// adds for a message.
	MessageOverheadTokens budget.Tokens
	// MaxOutputTokens is the largest limit on output tokens that a request may set.
	MaxOutputTokens budget.Tokens
	// Deadline is the maximum duration of a request, 0 for DefaultDeadline.
	Deadline time.Duration
}

// Service is the part of a plain service's configuration that the gateway uses.
type Service struct {
	Name string
	// Price is the cost of one call in tokens.
	Price budget.Tokens
	// IdempotentMethods are the HTTP methods whose calls may be repeated after an
	// attempt that may have run.
	IdempotentMethods []string
	// Deadline is the maximum duration of a call, 0 for DefaultDeadline.
	Deadline time.Duration
	// MaxBodyBytes is the maximum size of a request body; 0 or a value above
	// wire.MaxBodyBytes means wire.MaxBodyBytes.
	MaxBodyBytes int64
}

// Directory provides the configuration. Its methods do not block.
type Directory interface {
	Workspace(name string) (Workspace, bool)
	Model(name string) (Model, bool)
	Service(name string) (Service, bool)
	// Ready reports whether the router has received the configuration and can serve
	// callers.
	Ready() bool
}

// KeySource provides the API keys of budgets.
type KeySource interface {
	// KeyHashes returns the SHA-256 hashes of the budget's API keys. It may wait for
	// an RPC to the budget's holder. For a budget that does not exist it returns
	// no hashes or an error with verdict.CodeNotFound.
	KeyHashes(ctx context.Context, id budget.ID) ([][]byte, error)
}

// Dispatcher runs a call. It does not use the sink after it has returned. When ctx is
// canceled it returns soon, except for a call that must not be canceled: such a call
// runs on until it ends or call.Deadline passes; see dispatch.Dispatcher.Do.
type Dispatcher interface {
	Do(ctx context.Context, call *dispatch.Call, sink dispatch.Sink) dispatch.Outcome
}

// Admission decides when a call may start. The returned function must be called
// once, when the call has ended. An error is a *verdict.Error with the verdict
// NotRun.
type Admission interface {
	Acquire(ctx context.Context, r admission.Request) (release func(), err error)
}

// Record describes a call that has ended.
type Record struct {
	Call    *dispatch.Call
	Outcome dispatch.Outcome
	// Status is the HTTP status sent to the caller.
	Status  int
	Elapsed time.Duration
}

// Refusal describes a request that was refused before it was dispatched.
type Refusal struct {
	Request uuid.UUID
	// Budget is the budget that the request's API key names. The key was valid only
	// if Authenticated is set.
	Budget        budget.ID
	Authenticated bool
	// Target and MaxCost are zero if the request was refused before they were
	// computed. MaxCost is in tokens.
	Target  string
	MaxCost budget.Tokens
	Err     *verdict.Error
	// Status is the HTTP status sent to the caller.
	Status  int
	Elapsed time.Duration
}

const (
	// DefaultDeadline is the maximum duration of a call whose model or service
	// configures none.
	DefaultDeadline = 10 * time.Minute

	defaultMaxConns        = 8192
	defaultMaxHeaderBytes  = 32 << 10
	defaultBodyMemoryBytes = 512 << 20
	defaultHeaderTimeout   = 10 * time.Second
	defaultBodyTimeout     = 30 * time.Second
	defaultWriteTimeout    = 30 * time.Second
	defaultIdleTimeout     = 2 * time.Minute
	// deadlineGrace is the time from a call's deadline until its context ends. The
	// dispatcher enforces the deadline itself and needs up to 5 s to find out the
	// outcome of an attempt after it lost the connection to the agent; the rest is
	// margin.
	deadlineGrace = 10 * time.Second
)

// Options configure a Gateway. Directory, Keys, Dispatcher and Admission are
// required; the zero values of the other fields mean their defaults.
type Options struct {
	Directory  Directory
	Keys       KeySource
	Dispatcher Dispatcher
	Admission  Admission
	// Finished, if set, is called after each dispatched call.
	Finished func(Record)
	// Refused, if set, is called after each request that was refused before its
	// dispatch, if its API key names a budget of an existing workspace.
	Refused func(Refusal)
	Logger  *slog.Logger
	Metrics metrics.Registry
	Tracer  trace.Tracer

	// MaxConns is the maximum number of open connections; further ones wait to be
	// accepted.
	MaxConns int
	// MaxHeaderBytes is the maximum size of the request line and header.
	MaxHeaderBytes int
	// BodyMemory is the maximum memory of all request bodies together, in bytes. It
	// is at least wire.MaxBodyBytes.
	BodyMemory int64
	// HeaderTimeout is the maximum time to receive the header of a request.
	HeaderTimeout time.Duration
	// BodyTimeout is the maximum time to receive the body of a request.
	BodyTimeout time.Duration
	// WriteTimeout is the timeout of one write to a caller. The write can take up to
	// writeDeadlineInterval longer.
	WriteTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept open.
	IdleTimeout time.Duration
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

func (o Options) withDefaults() Options {
	if o.Logger == nil {
		o.Logger = slog.Default()
	}
	if o.Metrics == nil {
		o.Metrics = metrics.DefaultRegistry
	}
	if o.Tracer == nil {
		o.Tracer = otel.Tracer("monsoonworks/gateway")
	}
	if o.Finished == nil {
		o.Finished = func(Record) {}
	}
	if o.Refused == nil {
		o.Refused = func(Refusal) {}
	}
	o.MaxConns = orDefault(o.MaxConns, defaultMaxConns)
	o.MaxHeaderBytes = orDefault(o.MaxHeaderBytes, defaultMaxHeaderBytes)
	o.BodyMemory = max(orDefault(o.BodyMemory, defaultBodyMemoryBytes), wire.MaxBodyBytes)
	o.HeaderTimeout = orDefault(o.HeaderTimeout, defaultHeaderTimeout)
	o.BodyTimeout = orDefault(o.BodyTimeout, defaultBodyTimeout)
	o.WriteTimeout = orDefault(o.WriteTimeout, defaultWriteTimeout)
	o.IdleTimeout = orDefault(o.IdleTimeout, defaultIdleTimeout)
	return o
}

// Gateway serves callers over HTTP. It is safe for concurrent use.
type Gateway struct {
	opts       Options
	server     *http.Server
	listener   atomic.Pointer[net.Listener] // set by Serve
	conns      *graceful.Conns
	auth       *authenticator
	bodyMemory *semaphore.Weighted // in bytes, for request bodies
	calls      callTracker
	stats      stats
}

// New returns a gateway that does not listen yet. Serve it with Gateway.Serve or as
// an http.Handler.
func New(opts Options) *Gateway {
	opts = opts.withDefaults()
	g := &Gateway{
		opts:       opts,
		auth:       newAuthenticator(opts.Directory, opts.Keys),
		bodyMemory: semaphore.NewWeighted(opts.BodyMemory),
		stats:      newStats(opts.Metrics),
	}
	g.calls.gauge = g.stats.inProgress
	g.conns = graceful.NewConns()
	g.server = newServer(g)
	return g
}
