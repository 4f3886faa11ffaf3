// Package dispatch carries one request from its reservation to its settlement:
// it claims the idempotency key, sends attempts to agents, follows their
// answers, attaches again after a lost connection and decides about retries.
//
// Its rule is truth first. An attempt counts as not run only if its agent said
// so; an attempt that may have run is repeated only for an idempotent call that
// relayed nothing to its caller.
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

// Times and counts of a dispatch.
const (
	// ReattachWindow is how long a router tries to reach an agent again after it
	// lost a connection with a request in progress.
	ReattachWindow = 5 * time.Second
	// CancelTimeout is how long a router waits for the bill of an attempt that it
	// has cancelled before it takes the connection for lost.
	CancelTimeout = 2 * time.Second
	// resolveTimeout bounds one question to an agent about an attempt. It is
	// short against ReattachWindow, because a session can be silent.
	resolveTimeout = time.Second
	// maxAttempts bounds the servers that one request is sent to.
	maxAttempts = 4
	// maxClaims bounds the claims of one attempt; each further one follows an
	// earlier attempt that was found not to have run.
	maxClaims = 4
	// keyClockTolerance is how far a key's time may be ahead of this clock.
	keyClockTolerance = 2 * time.Second
)

// Wallet makes and ends reservations in prepaid budgets.
type Wallet interface {
	// Reserve fails with a *verdict.Error that says not-run.
	Reserve(ctx context.Context, id budget.ID, amount budget.Tokens) (budget.Reservation, error)
	// ConfirmLot makes sure that the hold's lot was renewed after the session began, and
	// returns the epoch of the holder that confirmed it. It fails with a
	// *verdict.Error that says not-run.
	ConfirmLot(ctx context.Context, hold budget.Reservation, sessionEstablished time.Time) (uint64, error)
	Settle(hold budget.Reservation, bill budget.Bill, agentAddress string)
	// Release is called only if the attempt certainly did not run.
	Release(hold budget.Reservation)
}

// Chooser chooses a server for an attempt.
type Chooser interface {
	Choose(ctx context.Context, q route.Query) (route.Choice, error)
}

// Sessions opens sessions to agents.
type Sessions interface {
	Get(ctx context.Context, address string) (*wire.Session, error)
}

// Servers finds a backend server by name.
type Servers interface {
	Server(name string) (hosts.Host, bool)
}

// Claims asks the home of an idempotency key for the right to run a request.
// home is the home region; id is the workspace's default budget, whose shard's
// holder is the home.
type Claims interface {
	Claim(ctx context.Context, home string, id budget.ID, args *wire.ClaimArgs) (wire.ClaimReply, error)
}

// RetryBudget limits the retries of all requests together.
type RetryBudget interface {
	// Allow takes one retry from the budget if there is one.
	Allow() bool
}

// Suspects keeps requests that crash servers from running freely.
type Suspects interface {
	// Permit asks for the right to run a request. It fails with a *verdict.Error
	// that says not-run; it is cheap for a request that is no suspect. After a
	// Permit without error, Finished is called once.
	Permit(ctx context.Context, fingerprint uint64, attempt uuid.UUID) error
	// Finished reports the end of a run; completed tells that the server
	// survived it.
	Finished(fingerprint uint64, attempt uuid.UUID, completed bool)
	// Crashed reports that a server died with the request in progress.
	Crashed(report *wire.SuspectReport)
}

// Options are the parts that a Dispatcher works with. All but Metrics are
// required.
type Options struct {
	Self budget.Incarnation
	// Region is this router's region.
	Region string
	// Shards returns the deployment's number of budget shards.
	Shards   func() uint32
	Wallet   Wallet
	Chooser  Chooser
	Sessions Sessions
	Servers  Servers
	Claims   Claims
	Retries  RetryBudget
	Suspects Suspects
	// Metrics is the registry for counters, the default one if nil.
	Metrics metrics.Registry
}

// Dispatcher runs calls. It is safe for concurrent use.
type Dispatcher struct {
	Options
	counters counters
}

// New returns a dispatcher.
func New(opts Options) *Dispatcher {
	if opts.Metrics == nil {
		opts.Metrics = metrics.DefaultRegistry
	}
	return &Dispatcher{Options: opts, counters: newCounters(opts.Metrics)}
}

// Do runs a call and passes its answer to sink while it arrives. It returns when
// every reservation that it made is settled or released. After ctx has ended it
// cancels the attempt in progress and waits a bounded time for its bill. An
// attempt under an idempotency key, or of a plain service's call that is not
// idempotent, runs on until its end or the deadline instead.
func (d *Dispatcher) Do(ctx context.Context, call *Call, sink Sink) Outcome {
	r := newRun(ctx, d, call, sink)
	defer r.close()
	return r.do()
}
