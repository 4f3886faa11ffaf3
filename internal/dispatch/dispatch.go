// Package dispatch runs one request from its reservation to its settlement: it
// claims the idempotency key, sends attempts to agents, relays their responses,
// reattaches after a lost connection and decides about retries. The gateway
// calls it. The package must not know HTTP connections or API formats. Package
// budget defines the terms of prepaid budgets, such as lot, holder and epoch.
//
// An attempt counts as not run only if its agent said so or never received it
// completely. An attempt that may have run is repeated only for an idempotent
// call that has relayed nothing to its caller.
package dispatch

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/hosts"
	"github.com/monsoonworks/monsoonworks/internal/route"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

const (
	// ReattachWindow is how long a router tries to reach an agent again after
	// it lost the connection of an attempt in progress.
	ReattachWindow = 5 * time.Second
	// CancelTimeout is how long a router waits for the bill of a canceled
	// attempt before it treats the connection as lost.
	CancelTimeout = 2 * time.Second
	// resolveTimeout bounds one Agent.Resolve call together with the opening of
	// its session, and one request to attach to a canceled attempt. It is much
	// shorter than ReattachWindow, so that an unresponsive session does not use
	// up the window.
	resolveTimeout = time.Second
	// maxAttempts bounds the attempts of one call.
	maxAttempts = 4
	// maxClaims bounds the claims of one attempt. Each claim after the first
	// replaces that of an earlier attempt that did not run.
	maxClaims = 4
	// maxKeyClockSkew is how far the time in an idempotency key may be ahead of
	// the local clock.
	maxKeyClockSkew = 2 * time.Second
)

// Wallet opens and closes reservations in prepaid budgets.
type Wallet interface {
	// Reserve sets amount aside in a budget. An error is a *verdict.Error whose
	// verdict is NotRun, or the error of ctx.
	Reserve(ctx context.Context, id budget.ID, amount budget.Tokens) (budget.Reservation, error)
	// ConfirmLot waits until a holder has confirmed the reservation's lot in an
	// exchange that began after the agent session was established, and returns
	// that holder's epoch. An error is a *verdict.Error whose verdict is NotRun,
	// or the error of ctx.
	ConfirmLot(ctx context.Context, r budget.Reservation, sessionEstablished time.Time) (uint64, error)
	// Settle closes a reservation with its bill. agentAddress is the address of
	// the attempt's agent, which has a copy of the bill or may still create one
	// after the router lost contact with it.
	Settle(r budget.Reservation, bill budget.Bill, agentAddress string)
	// Release closes a reservation without a bill. It is called only if the
	// attempt did not run and never will.
	Release(r budget.Reservation)
}

// Chooser chooses a server for an attempt.
type Chooser interface {
	Choose(ctx context.Context, q route.Query) (route.Choice, error)
}

// Sessions opens sessions to agents.
type Sessions interface {
	Get(ctx context.Context, address string) (*wire.Session, error)
}

// Servers looks backend servers up by name.
type Servers interface {
	Server(name string) (hosts.Host, bool)
}

// Claims claims idempotency keys at the holder of their account. The account is
// that of the home region and of the shard of the workspace's default budget.
type Claims interface {
	Claim(ctx context.Context, homeRegion string, defaultBudget budget.ID, args *wire.ClaimArgs) (wire.ClaimReply, error)
}

// RetryBudget limits the retries of all calls together.
type RetryBudget interface {
	// Allow takes one retry from the budget and reports whether one was
	// available.
	Allow() bool
}

// Suspects limits the attempts of requests suspected of crashing servers.
type Suspects interface {
	// Permit requests permission to run an attempt. For a request that is not
	// a suspect it returns nil without a remote call. An error is a
	// *verdict.Error whose verdict is NotRun. ReportFinished is called once
	// after each Permit without error.
	Permit(ctx context.Context, fingerprint uint64, attempt uuid.UUID) error
	// ReportFinished reports the end of an attempt. completed is set if the server
	// completed it without an error.
	ReportFinished(fingerprint uint64, attempt uuid.UUID, completed bool)
	// ReportCrash reports that a server crashed with the request in progress.
	ReportCrash(report *wire.CrashReport)
}

// Options are the dependencies of a Dispatcher. All but Metrics are required.
type Options struct {
	// Self is the incarnation of this router.
	Self budget.Incarnation
	// Region is the region of this router.
	Region string
	// Shards returns the number of budget shards of the deployment.
	Shards   func() uint32
	Wallet   Wallet
	Chooser  Chooser
	Sessions Sessions
	Servers  Servers
	Claims   Claims
	Retries  RetryBudget
	Suspects Suspects
	// Metrics is the registry for counters; nil means the default registry.
	Metrics metrics.Registry
}

// Dispatcher runs calls. It is safe for concurrent use.
type Dispatcher struct {
	Options
	counters counters
}

// New returns a Dispatcher.
func New(opts Options) *Dispatcher {
	if opts.Metrics == nil {
		opts.Metrics = metrics.DefaultRegistry
	}
	return &Dispatcher{Options: opts, counters: newCounters(opts.Metrics)}
}

// Do runs a call and passes its response to sink as it arrives. It returns only
// after every reservation that it opened is settled or released. When ctx ends
// it cancels the attempt in progress and waits for its bill. If the bill does
// not arrive within CancelTimeout, it reattaches as after a lost connection. An
// attempt with an idempotency key, or of a non-idempotent call to a plain
// service, is not canceled and runs until its end or the deadline.
func (d *Dispatcher) Do(ctx context.Context, call *Call, sink Sink) Outcome {
	s := newCallState(ctx, d, call, sink)
	defer s.close()
	return s.run()
}
