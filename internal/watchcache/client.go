package watchcache

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/monsoonworks/monsoonworks/internal/relay"
	"github.com/monsoonworks/monsoonworks/internal/rendezvous"
	"github.com/monsoonworks/monsoonworks/internal/store"
)

// ClientOptions configure a Client.
type ClientOptions struct {
	// Gate is the name of this process.
	Gate string
	// Domain is the failure domain of this process. Servers returns the addresses of the servers
	// in it.
	Domain  string
	Servers func() []string
	// Direct calls the store itself.
	Direct relay.PollingStore
	// OnGates is called with the number of gates that a server has counted, unless it does not know
	// it. It may be nil.
	OnGates func(gates int)
	// Dial opens connections to servers.
	Dial    relay.DialFunc
	Log     *slog.Logger
	Metrics metrics.Registry
}

// Client watches the store over a server of its domain, or directly where that cannot be done. It
// implements mirror.Store and is safe for concurrent use. No other lock is acquired while its
// mutex is held.
type Client struct {
	opts                   ClientOptions
	pool                   *relay.ClientPool
	shared, direct, failed metrics.Counter

	mu         sync.Mutex
	aloneUntil time.Time         // a server said that sharing does not pay
	paths      map[string]string // by prefix: the server of the last call, empty for a direct call
	// succeededAt is when the last call with a prefix succeeded.
	succeededAt map[string]time.Time
}

// NewClient returns a client without connections.
func NewClient(o ClientOptions) *Client {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("monsoon.watchcache."+name, o.Metrics)
	}
	return &Client{
		opts: o, pool: relay.NewClientPool(serverBackoff, o.Dial), paths: make(map[string]string), succeededAt: make(map[string]time.Time),
		shared: counter("shared"), direct: counter("direct"), failed: counter("failed"),
	}
}

// Next waits for changes under prefix after revision. A batch with store.ErrCompacted is a reply,
// too, not a failed call.
func (c *Client) Next(ctx context.Context, prefix string, revision int64) store.WatchBatch {
	batch, err := hedge(ctx, c.hedgeDelay(prefix, nextHedgeDelay), func(ctx context.Context) (store.WatchBatch, bool) {
		args := &NextArgs{Gate: c.opts.Gate, Prefix: prefix, Revision: revision}
		reply, ok := ask[NextReply](ctx, c, prefix, revision, "Next", nextTimeout, args)
		return store.WatchBatch{Events: reply.Events, Revision: max(reply.Revision, revision), Err: reply.Failure.Err()}, ok
	}, func(ctx context.Context) (store.WatchBatch, error) {
		batch := c.opts.Direct.Next(ctx, prefix, revision)
		if errors.Is(batch.Err, store.ErrCompacted) {
			return batch, nil // a reply of the store
		}
		return batch, batch.Err
	})
	if err != nil {
		return store.WatchBatch{Err: err}
	}
	c.noteSuccess(prefix)
	return batch
}

// List returns all entries with a prefix.
func (c *Client) List(ctx context.Context, prefix string) (store.Snapshot, error) {
	snapshot, err := hedge(ctx, c.hedgeDelay(prefix, listHedgeDelay), func(ctx context.Context) (store.Snapshot, bool) {
		reply, ok := ask[ListReply](ctx, c, prefix, 0, "List", listTimeout, &ListArgs{Gate: c.opts.Gate, Prefix: prefix})
		return reply.Snapshot, ok
	}, func(ctx context.Context) (store.Snapshot, error) {
		return c.opts.Direct.List(ctx, prefix)
	})
	if err == nil {
		c.noteSuccess(prefix)
	}
	return snapshot, err
}

// hedge asks a server and, if that fails or has not succeeded after a delay, the store itself as
// well. It returns the first success and cancels the other call. Whether the store replies tells
// whether it is the store or the server that fails.
func hedge[T any](ctx context.Context, delay time.Duration, ask func(context.Context) (T, bool), direct func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		value T
		err   error
	}
	asked, replied := make(chan T, 1), make(chan result, 1)
	go func() {
		if value, ok := ask(ctx); ok {
			asked <- value
		}
		close(asked)
	}()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case value, ok := <-asked:
		if ok {
			return value, nil
		}
		asked = nil
	case <-timer.C:
	}
	go func() {
		value, err := direct(ctx)
		replied <- result{value, err}
	}()
	for {
		select {
		case value, ok := <-asked:
			if ok {
				return value, nil
			}
			asked = nil
		case r := <-replied:
			if r.err == nil || asked == nil {
				return r.value, r.err
			}
			if value, ok := <-asked; ok {
				return value, nil
			}
			return r.value, r.err
		}
	}
}

// hedgeDelay returns the delay of a hedged call, 0 if the last success is not recent: then
// something has failed already, and a call to a server that fails too would take too long.
func (c *Client) hedgeDelay(prefix string, delay time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.succeededAt[prefix]) > recentTime {
		return 0
	}
	return delay
}

func (c *Client) noteSuccess(prefix string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.succeededAt[prefix] = time.Now()
}

// replyOf is a pointer to a reply of type R.
type replyOf[R any] interface {
	*R
	result() *Result
	validate(prefix string, revision int64) error
}

// ask calls a method of the servers, one after the other, and reports whether a reply can be used:
// it has the entries, or says that the revision is compacted.
func ask[R any, P replyOf[R]](ctx context.Context, c *Client, prefix string, revision int64, method string, timeout time.Duration, args any) (R, bool) {
	var none R
	reason, attempts := "no server to ask", 0
	for _, server := range c.servers(time.Now()) {
		reply := P(new(R)) // a call that times out may still write to its reply
		err := c.call(ctx, server, method, timeout, args, reply)
		if err != nil && ctx.Err() != nil {
			return none, false // the store replied first
		}
		if err == nil && reply.result().Gates > 0 && c.opts.OnGates != nil {
			c.opts.OnGates(reply.result().Gates)
		}
		if err == nil && reply.result().Alone {
			c.setAlone(time.Now().Add(aloneInterval))
			c.notePath(prefix, "", "too few gates")
			return none, false
		}
		if err == nil {
			err = reply.result().err()
		}
		if err == nil {
			err = reply.validate(prefix, revision)
		}
		if err == nil || errors.Is(err, store.ErrCompacted) {
			c.notePath(prefix, server, "")
			return *reply, true
		}
		c.failed.Inc(1)
		c.pool.MarkFailed(server)
		reason = err.Error()
		if relay.Refused(err) {
			continue
		}
		if attempts++; attempts == maxServerAttempts {
			break
		}
	}
	c.notePath(prefix, "", reason)
	return none, false
}

func (c *Client) call(ctx context.Context, server, method string, timeout time.Duration, args, reply any) error {
	client, err := c.pool.Client(ctx, server)
	if err != nil {
		return err
	}
	return relay.Call(ctx, client, ServiceName+"."+method, timeout, args, reply)
}

// servers returns the servers to ask: the first that are not in backoff in the order of the
// domain.
func (c *Client) servers(now time.Time) []string {
	c.mu.Lock()
	alone := now.Before(c.aloneUntil)
	c.mu.Unlock()
	if alone {
		return nil
	}
	var available []string
	for _, address := range c.opts.Servers() {
		if c.pool.Available(address) {
			available = append(available, address)
		}
	}
	return rendezvous.Rank(c.opts.Domain, available, maxCandidates)
}

func (c *Client) setAlone(until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.aloneUntil = until
}

// notePath records how a call was made, server empty for directly, and logs a change.
func (c *Client) notePath(prefix, server, reason string) {
	if server == "" {
		c.direct.Inc(1)
	} else {
		c.shared.Inc(1)
	}
	c.mu.Lock()
	last, known := c.paths[prefix]
	c.paths[prefix] = server
	c.mu.Unlock()
	if !known || last != server {
		c.opts.Log.Info("path of the watch changed", "prefix", prefix, "server", server, "before", last, "reason", reason)
	}
}
