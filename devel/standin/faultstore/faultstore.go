// Package faultstore injects faults into the calls of a store: delays, outages,
// lost responses, stalled watches and rate limits. It also counts calls by kind.
// Controls holds the faults. Store applies them to a store.Store, and
// devel/standin/storeserver applies them to HTTP calls.
package faultstore

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/monsoonworks/monsoonworks/internal/store"
)

// Kind is a kind of call, for counters and rate limits.
type Kind string

// Kinds of calls. A watch counts as one call, however long it is open.
const (
	Read  Kind = "read"
	Write Kind = "write"
	Lease Kind = "lease"
	Watch Kind = "watch"
)

// ErrLimited means that the call exceeded a rate limit. It wraps
// store.ErrUnavailable.
var ErrLimited = errors.Join(errors.New("too many requests"), store.ErrUnavailable)

// Controls holds the faults and the counters. It is safe for concurrent use.
type Controls struct {
	mu              sync.Mutex
	delay           time.Duration
	down            bool
	watchesStalled  bool
	responsesToDrop int
	limits          map[Kind]*rate.Limiter
	counts          map[Kind]int64
	changed         chan struct{} // closed at the next change of a fault
}

// NewControls returns controls without faults.
func NewControls() *Controls {
	return &Controls{
		limits:  make(map[Kind]*rate.Limiter),
		counts:  make(map[Kind]int64),
		changed: make(chan struct{}),
	}
}

func (c *Controls) update(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
	close(c.changed)
	c.changed = make(chan struct{})
}

// SetDelay delays each call, and each batch of a watch, by d.
func (c *Controls) SetDelay(d time.Duration) { c.update(func() { c.delay = d }) }

// SetDown makes all calls fail without effect and stalls open watches.
func (c *Controls) SetDown(down bool) { c.update(func() { c.down = down }) }

// SetWatchesStalled stalls watches: they stay open but deliver nothing.
func (c *Controls) SetWatchesStalled(stalled bool) { c.update(func() { c.watchesStalled = stalled }) }

// DropResponses drops the responses of the next n writes after they were applied.
func (c *Controls) DropResponses(n int) { c.update(func() { c.responsesToDrop = n }) }

// Limit sets a rate limit, in calls per second, on calls of a kind; 0 removes it.
// Calls above the limit fail with ErrLimited.
func (c *Controls) Limit(kind Kind, perSecond float64) {
	c.update(func() {
		delete(c.limits, kind)
		if perSecond > 0 {
			c.limits[kind] = rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
		}
	})
}

// Counts returns the number of calls so far by kind.
func (c *Controls) Counts() map[Kind]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.counts)
}

// Down reports whether the store is down.
func (c *Controls) Down() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.down
}

// Enter counts a call and waits for the delay. It returns an error that wraps
// store.ErrUnavailable if the store is down or a rate limit is exceeded.
func (c *Controls) Enter(ctx context.Context, kind Kind) error {
	c.mu.Lock()
	c.counts[kind]++
	delay, limit := c.delay, c.limits[kind]
	c.mu.Unlock()
	if limit != nil && !limit.Allow() {
		return ErrLimited
	}
	if err := sleep(ctx, delay); err != nil {
		return errors.Join(store.ErrUnavailable, err)
	}
	if c.Down() {
		return store.ErrUnavailable
	}
	return nil
}

// TakeResponseDrop reports whether the response of the write that was just applied must
// be dropped, and counts it as dropped.
func (c *Controls) TakeResponseDrop() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.responsesToDrop == 0 {
		return false
	}
	c.responsesToDrop--
	return true
}

// watchesEnabled reports whether watches may send, and returns a channel that is closed
// when a fault changes.
func (c *Controls) watchesEnabled() (bool, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.down && !c.watchesStalled, c.changed
}

// TimedBatch is a batch of a watch and the time at which it was received.
type TimedBatch struct {
	store.WatchBatch
	receivedAt time.Time
}

// maxQueuedBatches bounds the queued batches of a watch.
const maxQueuedBatches = 1024

// QueueBatches receives the batches of a watch without waiting for the delay, so that
// the delays of successive batches do not accumulate. The returned channel is closed
// when in is.
func QueueBatches(ctx context.Context, in <-chan store.WatchBatch) <-chan TimedBatch {
	out := make(chan TimedBatch, maxQueuedBatches)
	go func() {
		defer close(out)
		for batch := range in {
			select {
			case out <- TimedBatch{batch, time.Now()}:
			case <-ctx.Done():
			}
		}
	}()
	return out
}

// AwaitDelivery delays a batch of a watch and blocks while watches are stalled. It
// returns false if ctx ended, or if the batch is a progress notification that would be
// stale after the stall.
func (c *Controls) AwaitDelivery(ctx context.Context, batch TimedBatch) bool {
	c.mu.Lock()
	delay := c.delay
	c.mu.Unlock()
	if sleep(ctx, time.Until(batch.receivedAt.Add(delay))) != nil {
		return false
	}
	for {
		enabled, changed := c.watchesEnabled()
		if enabled {
			return true
		}
		if len(batch.Events) == 0 && batch.Err == nil {
			return false
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
