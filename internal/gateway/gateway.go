// Package gateway is the callers' HTTP side of a router: it checks requests,
// identifies callers by their API keys, computes the bound of each request, and
// passes answers on. Every answer says by its verdict whether the request ran.
package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/trace"
	"golang.org/x/sync/semaphore"

	"github.com/monsoonworks/monsoonworks/internal/admission"
	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/dispatch"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// Workspace is what the gateway needs to know about a workspace.
type Workspace struct {
	Name       string
	HomeRegion string
	// Models and Services are the names that the workspace may call.
	Models   []string
	Services []string
	// Priority is higher for more urgent work.
	Priority int8
}

// Model is what the gateway needs to know about a model.
type Model struct {
	Name string
	// PromptTokensPerByte is an upper bound, at most 1 for byte-level tokenizers.
	PromptTokensPerByte   float64
	MessageOverheadTokens budget.Tokens
	MaxOutputTokens       budget.Tokens
	// Deadline is the longest time that a request may take, 0 for DefaultDeadline.
	Deadline time.Duration
}

// Service is what the gateway needs to know about a plain service.
type Service struct {
	Name string
	// Price is what one call costs.
	Price budget.Tokens
	// IdempotentMethods are the methods whose calls may be repeated after they
	// may have run.
	IdempotentMethods []string
	// Deadline is the longest time that a call may take, 0 for DefaultDeadline.
	Deadline time.Duration
	// MaxBodyBytes bounds a request body; 0 or a value above wire.MaxBodyBytes
	// means wire.MaxBodyBytes.
	MaxBodyBytes int64
}

// Directory is the gateway's view of the configuration. Its methods do not block.
type Directory interface {
	Workspace(name string) (Workspace, bool)
	Model(name string) (Model, bool)
	Service(name string) (Service, bool)
	// Ready reports whether the router can serve callers.
	Ready() bool
}

// Wallet gives the API keys of a budget.
type Wallet interface {
	// KeyHashes returns the SHA-256 hashes of the budget's API keys. It may wait for
	// an exchange with the budget's holder. A budget that does not exist gives
	// no hashes or an error with verdict.CodeNotFound.
	KeyHashes(ctx context.Context, id budget.ID) ([][]byte, error)
}

// Dispatcher runs a call. It uses the sink only until it returns, and it returns
// soon after ctx is canceled.
type Dispatcher interface {
	Do(ctx context.Context, call *dispatch.Call, sink dispatch.Sink) dispatch.Outcome
}

// Admission decides when a call may start. The returned function must be called
// once when the call has ended. An error is a *verdict.Error with NotRun.
type Admission interface {
	Acquire(ctx context.Context, r admission.Request) (release func(), err error)
}

// Record tells how one call ended.
type Record struct {
	Call    *dispatch.Call
	Outcome dispatch.Outcome
	// Status is the HTTP status sent to the caller.
	Status  int
	Elapsed time.Duration
}

// Refusal tells of a request that was refused before it was dispatched.
type Refusal struct {
	Request uuid.UUID
	// Budget is the one that the request's API key names. The request was sent by
	// its owner only if Authenticated is set.
	Budget        budget.ID
	Authenticated bool
	// Target and Reserve are zero if the request was refused before they were
	// known.
	Target  string
	Reserve budget.Tokens
	Err     *verdict.Error
	// Status is the HTTP status sent to the caller.
	Status  int
	Elapsed time.Duration
}

// Defaults of Options and fixed limits.
const (
	DefaultDeadline       = 10 * time.Minute
	defaultMaxConns       = 8192
	defaultMaxHeaderBytes = 32 << 10
	defaultBodyMemory     = 512 << 20 // bytes of request bodies held at once
	defaultHeaderTimeout  = 10 * time.Second
	defaultBodyTimeout    = 30 * time.Second
	defaultWriteStall     = 30 * time.Second
	defaultIdleTimeout    = 2 * time.Minute
	// deadlineGrace is how long after a call's deadline its context ends. The
	// dispatcher keeps the deadline itself; it needs up to 5 s to resolve an
	// attempt at a lost agent, and the rest is margin.
	deadlineGrace = 10 * time.Second
)

// Options configure a Gateway. Directory, Wallet, Dispatcher and Admission are
// required; zero values of the others mean the defaults.
type Options struct {
	Directory  Directory
	Wallet     Wallet
	Dispatcher Dispatcher
	Admission  Admission
	// Finished, if set, is called after each call that was dispatched.
	Finished func(Record)
	// Refused, if set, is called after each request that was refused before its
	// dispatch and whose API key names a budget of a known workspace.
	Refused func(Refusal)
	Logger  *slog.Logger
	Metrics metrics.Registry
	Tracer  trace.Tracer

	// MaxConns bounds the open connections; others wait to be accepted.
	MaxConns int
	// MaxHeaderBytes bounds the request line and header of a request.
	MaxHeaderBytes int
	// BodyMemory bounds the bytes of all request bodies held at once.
	BodyMemory int64
	// HeaderTimeout and BodyTimeout bound how long a caller may take to send
	// the header and the body of a request.
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	// WriteStall is how long one write to a caller may take.
	WriteStall  time.Duration
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
	o.BodyMemory = max(orDefault(o.BodyMemory, defaultBodyMemory), wire.MaxBodyBytes)
	o.HeaderTimeout = orDefault(o.HeaderTimeout, defaultHeaderTimeout)
	o.BodyTimeout = orDefault(o.BodyTimeout, defaultBodyTimeout)
	o.WriteStall = orDefault(o.WriteStall, defaultWriteStall)
	o.IdleTimeout = orDefault(o.IdleTimeout, defaultIdleTimeout)
	return o
}

// Gateway serves callers over HTTP. It is safe for concurrent use.
type Gateway struct {
	opts   Options
	server *http.Server
	auth   *authenticator
	bodies *semaphore.Weighted
	calls  callCount
	stats  stats
}

// New returns a gateway. It starts nothing; Serve or the handler do.
func New(opts Options) *Gateway {
	opts = opts.withDefaults()
	g := &Gateway{
		opts:   opts,
		auth:   newAuthenticator(opts.Directory, opts.Wallet),
		bodies: semaphore.NewWeighted(opts.BodyMemory),
		stats:  newStats(opts.Metrics),
	}
	g.calls.gauge = g.stats.inProgress
	g.server = newServer(g)
	return g
}
