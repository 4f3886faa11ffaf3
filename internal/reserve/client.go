package reserve

import (
	"context"
	"errors"
	"fmt"
	"iter"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/monsoonworks/monsoonworks/internal/prepaid"
	"github.com/monsoonworks/monsoonworks/internal/relay"
	"github.com/monsoonworks/monsoonworks/internal/rendezvous"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
)

const (
	// reserveTimeout limits one Reserve call. It is longer than the time that a request
	// waits at the quota server for the server's share to grow.
	reserveTimeout = 450 * time.Millisecond
	// maxReplyTime is the time after which a call without a reply counts against the quota server even
	// if the request has ended. It is longer than the same wait.
	maxReplyTime = 300 * time.Millisecond
	// serverBackoff is how long a quota server is not called after it did not reply.
	serverBackoff = 1500 * time.Millisecond
	// maxServerAttempts is the number of quota servers that are tried for one request, apart from
	// addresses that refuse connections and servers that are draining. Together they are at most maxCandidates.
	maxServerAttempts = 2
	maxCandidates     = 10
	// callSamples is the reservoir size and callDecay the decay factor of the histogram of
	// call times.
	callSamples = 256
	callDecay   = 0.015
)

// Options configure a Client.
type Options struct {
	// Gate is the name of this process. It must differ after a restart, because the numbers
	// of the reservations start again.
	Gate string
	// QuotaServers returns the addresses of all quota servers.
	QuotaServers func() []string
	// Workspaces returns the number of configured workspaces.
	Workspaces func() int
	// Dial opens connections to quota servers.
	Dial relay.DialFunc
	// Fallback grants reservations in this process while no quota server replies.
	Fallback *prepaid.Manager
	Log      *slog.Logger
	Metrics  metrics.Registry
}

// Client reserves tokens at quota servers on behalf of a gate. It is safe for concurrent use.
type Client struct {
	opts       Options
	pool       *relay.ClientPool
	queue      *settlementQueue
	lastNumber atomic.Uint64
	stats      clientStats
}

type clientStats struct {
	granted, refused, noReply, fallback metrics.Counter
	callTime                            metrics.Histogram // in microseconds
}

// NewClient returns a client without connections.
func NewClient(o Options) *Client {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("monsoon.reserve."+name, o.Metrics)
	}
	pool := relay.NewClientPool(serverBackoff, o.Dial)
	return &Client{
		opts: o, pool: pool, queue: newSettlementQueue(o.Gate, pool, o.Log),
		stats: clientStats{
			granted: counter("granted"), refused: counter("refused"), noReply: counter("unanswered"), fallback: counter("own"),
			callTime: metrics.GetOrRegisterHistogram("monsoon.reserve.asked_us", o.Metrics, metrics.NewExpDecaySample(callSamples, callDecay)),
		},
	}
}

// Run sends settlements until ctx ends. It returns nil.
func (c *Client) Run(ctx context.Context) error { return c.queue.run(ctx) }

// Close sends the remaining settlements. It is called after the last request. It fails if
// some could not be sent, except to a quota server in backoff.
func (c *Client) Close(ctx context.Context) error { return c.queue.flush(ctx) }

// remoteReservation is a reservation at a quota server.
type remoteReservation struct {
	client  *Client
	address string
	number  uint64
	settled atomic.Bool
}

// Settle implements prepaid.Reservation.
func (r *remoteReservation) Settle(used prepaid.Tokens) {
	if !r.settled.Swap(true) {
		r.client.queue.add(r.address, Settlement{Number: r.number, Used: used})
	}
}

var (
	// errNoReply means that a quota server did not reply and that the next one can be tried.
	errNoReply = errors.New("quota server did not reply")
	// errServerDraining means that a quota server stops, which says nothing of the balance.
	errServerDraining = errors.New("quota server is draining")
)

// Reserve reserves req.Bound tokens at the quota server of the workspace's group. If that server
// does not reply, or refuses with ReserveReply.Elsewhere set, the next server in the group's
// ranking is tried, up to maxServerAttempts in all; servers that are draining do not count. If none
// replies or all are draining, the fallback in this process grants the reservation. The errors are those
// of prepaid.Manager.Reserve.
func (c *Client) Reserve(ctx context.Context, req prepaid.ReservationRequest) (prepaid.Reservation, error) {
	var refusal error
	group, attempts := workspaceGroup(req.Workspace, c.opts.Workspaces()), 0
	for address := range c.candidates(group) {
		reservation, elsewhere, err := c.tryServer(ctx, address, req)
		if err == nil {
			c.stats.granted.Inc(1)
			return reservation, nil
		}
		if relay.Refused(err) || errors.Is(err, errServerDraining) {
			continue
		}
		attempts++
		if errors.Is(err, errNoReply) {
			c.stats.noReply.Inc(1)
		} else if refusal = mergeRefusals(refusal, err); !elsewhere || ctx.Err() != nil {
			break
		}
		if attempts == maxServerAttempts {
			break
		}
	}
	if refusal != nil {
		c.stats.refused.Inc(1)
		return nil, refusal
	}
	c.stats.fallback.Inc(1)
	return c.opts.Fallback.Reserve(ctx, req)
}

// mergeRefusals returns the refusal to report after two quota servers refused: that a balance is
// exhausted, or the one with the later return. The first is nil if only one refused.
func mergeRefusals(first, second error) error {
	var a, b *verdict.Error
	if !errors.As(first, &a) || !errors.As(second, &b) || b.Code == verdict.CodeBudgetExhausted || b.Code == verdict.CodeCanceled {
		return second
	}
	if a.RetryAfter > b.RetryAfter {
		return first
	}
	return second
}

// candidates yields the addresses to try for a group: the first of its ranking, then servers that
// are connected already, for hosts of which most run no quota server. The latter are looked up only
// if the first did not suffice.
func (c *Client) candidates(group string) iter.Seq[string] {
	return func(yield func(string) bool) {
		available := c.available()
		first := rendezvous.Rank(group, available, maxCandidates)
		for _, address := range first {
			if !yield(address) {
				return
			}
		}
		connected := slices.DeleteFunc(c.pool.Connected(), func(address string) bool {
			return slices.Contains(first, address) || !slices.Contains(available, address)
		})
		for _, address := range rendezvous.Rank(group, connected, maxServerAttempts) {
			if !yield(address) {
				return
			}
		}
	}
}

// available returns the quota servers that are not in backoff.
func (c *Client) available() []string {
	var available []string
	for _, address := range c.opts.QuotaServers() {
		if c.pool.Available(address) {
			available = append(available, address)
		}
	}
	return available
}

// tryServer calls one quota server. elsewhere is true if its refusal does not rule out that
// another quota server grants the reservation.
func (c *Client) tryServer(ctx context.Context, address string, req prepaid.ReservationRequest) (r prepaid.Reservation, elsewhere bool, err error) {
	start := time.Now()
	defer func() { c.stats.callTime.Update(time.Since(start).Microseconds()) }()
	client, err := c.pool.Client(ctx, address)
	if err != nil {
		return nil, true, c.noteFailure(ctx, address, start, err)
	}
	remote := &remoteReservation{client: c, address: address, number: c.lastNumber.Add(1)}
	args := &ReserveArgs{ID: ID{Gate: c.opts.Gate, Number: remote.number}, Claim: req, Settled: c.queue.take(address)}
	var reply ReserveReply
	if err := relay.Call(ctx, client, ServiceName+".Reserve", reserveTimeout, args, &reply); err != nil {
		// The server may have granted the reservation and applied the settlements.
		c.queue.add(address, args.Settled...)
		remote.Settle(0)
		return nil, true, c.noteFailure(ctx, address, start, err)
	}
	if reply.Draining {
		return nil, true, errServerDraining
	}
	if err := reply.refusal(); err != nil {
		return nil, reply.Elsewhere, err
	}
	return remote, false, nil
}

// noteFailure puts a quota server that did not reply into backoff and returns an error that
// wraps errNoReply. If ctx has ended, the error says so instead, and an early end says nothing of the
// server.
func (c *Client) noteFailure(ctx context.Context, address string, start time.Time, err error) error {
	ended := ctx.Err()
	if ended != nil && time.Since(start) < maxReplyTime {
		return requestEnded(ended)
	}
	c.pool.MarkFailed(address)
	if relay.Refused(err) {
		return fmt.Errorf("%w: %w", errNoReply, err) // no relay runs there
	}
	c.opts.Log.Warn("quota server did not reply, in backoff", "holder", address, "after_ms", time.Since(start).Milliseconds(), "error", err)
	if ended != nil {
		return requestEnded(ended)
	}
	return fmt.Errorf("%w: %w", errNoReply, err)
}

// requestEnded returns the error of a request that ended before it had a reservation.
func requestEnded(cause error) error {
	return verdict.New(verdict.NotRun, verdict.CodeCanceled, "the request ended before it had a reservation").WithCause(cause)
}
