// Package faultstore puts faults in front of a store: delay, outage, lost
// answers, silent watches and rate limits. It also counts calls by kind.
// Controls carries the faults; Store applies them to a store.Store, and the
// stand-in of the key-value service applies them to HTTP calls.
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

// Kind groups calls for the counters.
type Kind string

// Kinds of calls. A waiting watch counts as one call.
const (
	Read  Kind = "read"
	Write Kind = "write"
	Lease Kind = "lease"
	Watch Kind = "watch"
)

// ErrLimited means that a rate limit refused the call. It wraps
// store.ErrUnavailable.
var ErrLimited = errors.Join(errors.New("too many requests"), store.ErrUnavailable)

// Controls holds the faults and the counters. It is safe for concurrent use.
type Controls struct {
	mu      sync.Mutex
	delay   time.Duration
	down    bool
	silent  bool
	lose    int
	limits  map[Kind]*rate.Limiter
	counts  map[Kind]int64
	changed chan struct{} // closed at the next change of a fault
}

// NewControls returns controls without faults.
func NewControls() *Controls {
	return &Controls{
		limits:  make(map[Kind]*rate.Limiter),
		counts:  make(map[Kind]int64),
		changed: make(chan struct{}),
	}
}

func (c *Controls) set(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
	close(c.changed)
	c.changed = make(chan struct{})
}

// SetDelay makes each call, and each batch of a watch, wait for d.
func (c *Controls) SetDelay(d time.Duration) { c.set(func() { c.delay = d }) }

// SetDown makes all calls fail without effect and silences watches.
func (c *Controls) SetDown(down bool) { c.set(func() { c.down = down }) }

// SetSilent stops the batches of watches without ending the watches.
func (c *Controls) SetSilent(silent bool) { c.set(func() { c.silent = silent }) }

// LoseAnswers drops the answers of the next n writes after their effect.
func (c *Controls) LoseAnswers(n int) { c.set(func() { c.lose = n }) }

// Limit refuses calls of a kind above a rate per second; 0 removes the limit.
func (c *Controls) Limit(kind Kind, perSecond float64) {
	c.set(func() {
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

// Enter counts a call, waits for the delay, and refuses the call with an error
// that wraps store.ErrUnavailable if the store is down or over a limit.
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

// TakeLost reports whether the answer of the write that just took effect is to
// be dropped.
func (c *Controls) TakeLost() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lose == 0 {
		return false
	}
	c.lose--
	return true
}

// Flow reports whether watches may send, and a channel that is closed at the
// next change of a fault.
func (c *Controls) Flow() (bool, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.down && !c.silent, c.changed
}

// Timed is a batch of a watch and when the store made it.
type Timed struct {
	store.WatchBatch
	made time.Time
}

// queuedBatches is how many batches of a watch can be under way at once.
const queuedBatches = 1024

// Queue takes the batches of a watch as they come, so that a delay adds to the
// latency of each and does not add up. The channel is closed after in.
func Queue(ctx context.Context, in <-chan store.WatchBatch) <-chan Timed {
	out := make(chan Timed, queuedBatches)
	go func() {
		defer close(out)
		for batch := range in {
			select {
			case out <- Timed{batch, time.Now()}:
			case <-ctx.Done():
			}
		}
	}()
	return out
}

// Pass delays a watch's batch and holds it while watches are silent. It returns
// false if ctx ended, or if the batch is a progress notice that would be stale
// when the silence ends.
func (c *Controls) Pass(ctx context.Context, batch Timed) bool {
	c.mu.Lock()
	delay := c.delay
	c.mu.Unlock()
	if sleep(ctx, time.Until(batch.made.Add(delay))) != nil {
		return false
	}
	for {
		flows, changed := c.Flow()
		if flows {
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
