package reserve

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/rpc"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/monsoonworks/monsoonworks/internal/prepaid"
	"github.com/monsoonworks/monsoonworks/internal/relay"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
)

// Figures of the gate's side.
const (
	// askTimeout bounds a call to a holder. It is longer than a request waits there
	// for the holder's share to grow.
	askTimeout = 450 * time.Millisecond
	// holderPause is how long a holder is left alone that did not answer.
	holderPause = 1500 * time.Millisecond
	// holderTries is the number of holders that one request is tried at.
	holderTries = 2
	// askSamples and askDecay are the size and the decay of the histogram of calls.
	askSamples = 256
	askDecay   = 0.015
)

// Options configure a Client.
type Options struct {
	// Gate names this process.
	Gate string
	// QuotaServers returns the addresses of the processes that can hold budgets.
	QuotaServers func() []string
	// Dial opens connections to holders.
	Dial relay.DialFunc
	// Fallback holds budgets in this process while no holder is reached.
	Fallback *prepaid.Manager
	Log      *slog.Logger
	Metrics  metrics.Registry
}

// Client reserves tokens at the workspaces' holders. It is safe for concurrent use.
type Client struct {
	opts    Options
	peers   *relay.ClientPool
	settler *settler
	number  atomic.Uint64
	stats   clientStats
}

type clientStats struct {
	granted, refused, unanswered, own metrics.Counter
	asked                             metrics.Histogram // in microseconds
}

// NewClient returns a client without connections.
func NewClient(o Options) *Client {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("monsoon.reserve."+name, o.Metrics)
	}
	peers := relay.NewClientPool(holderPause, o.Dial)
	return &Client{
		opts: o, peers: peers, settler: newSettler(o.Gate, peers, o.Log),
		stats: clientStats{
			granted: counter("granted"), refused: counter("refused"), unanswered: counter("unanswered"), own: counter("own"),
			asked: metrics.GetOrRegisterHistogram("monsoon.reserve.asked_us", o.Metrics, metrics.NewExpDecaySample(askSamples, askDecay)),
		},
	}
}

// Run sends settlements until ctx ends.
func (c *Client) Run(ctx context.Context) error { return c.settler.run(ctx) }

// Close sends the settlements that are left. It is called after the last request.
func (c *Client) Close(ctx context.Context) error { return c.settler.flush(ctx) }

// lent is a reservation at a holder.
type lent struct {
	client  *Client
	address string
	number  uint64
	done    atomic.Bool
}

// Settle implements prepaid.Reservation.
func (l *lent) Settle(used prepaid.Tokens) {
	if !l.done.Swap(true) {
		l.client.settler.add(l.address, Settlement{Number: l.number, Used: used})
	}
}

// errUnanswered means that a holder did not answer, so that another one is asked.
var errUnanswered = errors.New("the holder of the budget does not answer")

// Reserve takes the bound of a request from the workspace's holder. If that one does
// not answer, or lacks what another one may have, the next in the workspace's order is
// asked; if none answers, this process takes a share itself. Its errors are those of
// prepaid.Manager.
func (c *Client) Reserve(ctx context.Context, claim prepaid.ReservationRequest) (prepaid.Reservation, error) {
	var refused error
	for _, address := range order(claim.Workspace, c.usable(), holderTries) {
		reservation, elsewhere, err := c.ask(ctx, address, claim)
		if err == nil {
			c.stats.granted.Inc(1)
			return reservation, nil
		}
		if errors.Is(err, errUnanswered) {
			c.stats.unanswered.Inc(1)
			continue
		}
		if refused = err; !elsewhere || ctx.Err() != nil {
			break
		}
	}
	if refused != nil {
		c.stats.refused.Inc(1)
		return nil, refused
	}
	c.stats.own.Inc(1)
	return c.opts.Fallback.Reserve(ctx, claim)
}

// usable returns the holders that are not left alone.
func (c *Client) usable() []string {
	var usable []string
	for _, address := range c.opts.QuotaServers() {
		if c.peers.Available(address) {
			usable = append(usable, address)
		}
	}
	return usable
}

// ask asks one holder. elsewhere is true if its refusal says nothing about other
// holders.
func (c *Client) ask(ctx context.Context, address string, claim prepaid.ReservationRequest) (r prepaid.Reservation, elsewhere bool, err error) {
	began := time.Now()
	defer func() { c.stats.asked.Update(time.Since(began).Microseconds()) }()
	peer, err := c.peers.Client(ctx, address)
	if err != nil {
		return nil, true, c.left(ctx, address, began, err)
	}
	lent := &lent{client: c, address: address, number: c.number.Add(1)}
	args := &ReserveArgs{ID: ID{Gate: c.opts.Gate, Number: lent.number}, Claim: claim, Settled: c.settler.take(address)}
	var reply ReserveReply
	if err := callPeer(ctx, peer, "Reserve", askTimeout, args, &reply); err != nil {
		// Whether the holder has granted it, and settled the others, is not known.
		c.settler.add(address, args.Settled...)
		lent.Settle(0)
		return nil, true, c.left(ctx, address, began, err)
	}
	if err := reply.err(); err != nil {
		return nil, reply.Elsewhere, err
	}
	return lent, false, nil
}

// left notes that a holder did not answer, unless the caller of the request left.
func (c *Client) left(ctx context.Context, address string, began time.Time, err error) error {
	if ctx.Err() != nil {
		return verdict.New(verdict.NotRun, verdict.CodeCanceled, "the caller disconnected")
	}
	c.peers.MarkFailed(address)
	c.opts.Log.Warn("holder of budgets left alone", "holder", address, "after_ms", time.Since(began).Milliseconds(), "error", err)
	return fmt.Errorf("%w: %w", errUnanswered, err)
}

// callPeer makes one call. If it fails, it is not known whether it was carried out.
func callPeer(ctx context.Context, peer *rpc.Client, method string, timeout time.Duration, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	pending := peer.Go(ServiceName+"."+method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-pending.Done:
		return pending.Error
	case <-ctx.Done():
		return ctx.Err()
	}
}
