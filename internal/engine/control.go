package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Load is what an engine reports about itself. It lags.
type Load struct {
	Running       int `json:"running"`
	Waiting       int `json:"waiting"`
	MaxRunning    int `json:"max_running"`
	KVBlocksUsed  int `json:"kv_blocks_used"`
	KVBlocksTotal int `json:"kv_blocks_total"`
}

// Load asks the engine for its load.
func (c *Client) Load(ctx context.Context) (Load, error) {
	var load Load
	body, err := c.short(ctx, http.MethodGet, "/load", nil)
	if err != nil {
		return Load{}, err
	}
	return load, json.Unmarshal(body, &load)
}

// Health is an engine's answer to a health check.
type Health struct {
	// Boot differs after a restart. It is empty if the engine does not tell.
	Boot string `json:"boot"`
}

// Health checks the engine. Any answer with a 2xx status is healthy.
func (c *Client) Health(ctx context.Context) (Health, error) {
	body, err := c.short(ctx, http.MethodGet, "/health", nil)
	if err != nil {
		return Health{}, err
	}
	var health Health
	if json.Unmarshal(body, &health) != nil {
		return Health{}, nil // engines may answer with plain text
	}
	return health, nil
}

// Command is a command to an engine.
type Command struct {
	Fence int64  `json:"fence"`
	Kind  string `json:"kind"`
	Model string `json:"model"`
	Value string `json:"value,omitempty"`
}

// ErrFenced means that the engine knows a higher fence number.
var ErrFenced = errors.New("engine refused an old fence number")

// SendCommand passes an order on and waits until the engine has carried it out or ctx
// ends. After ctx has ended the engine may still carry it out.
func (c *Client) SendCommand(ctx context.Context, order Command) error {
	_, err := c.call(ctx, http.MethodPost, "/orders", order)
	var status *StatusError
	if errors.As(err, &status) && status.Status == http.StatusConflict {
		return fmt.Errorf("%w: %s", ErrFenced, status.Detail)
	}
	return err
}

// CacheEvent is a change of the engine's prefix cache.
type CacheEvent struct {
	Seq    int64    `json:"seq"`
	Type   string   `json:"type"`
	Blocks []uint64 `json:"blocks"`
}

// Types of cache events.
const (
	CacheStored  = "stored"
	CacheRemoved = "removed"
	CacheCleared = "cleared"
)

// CacheSink receives what a follower of cache events learns. Its methods are
// called from one goroutine.
type CacheSink interface {
	Stored(blocks []uint64)
	Removed(blocks []uint64)
	// Cleared means that the cache is empty.
	Cleared()
	// Gap means that an unknown number of events was missed.
	Gap()
}

// WatchCache polls the engine's cache events at the given interval until ctx
// ends. Numbers that are skipped, and numbers that start again, count as gaps.
func (c *Client) WatchCache(ctx context.Context, interval time.Duration, sink CacheSink) {
	follower := cacheFollower{sink: sink}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		body, err := c.short(ctx, http.MethodGet, fmt.Sprintf("/cache/events?after=%d", follower.after), nil)
		if err == nil {
			err = follower.apply(body)
		}
		if err != nil && ctx.Err() == nil {
			follower.failed()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// cacheFollower applies batches of events in order.
type cacheFollower struct {
	sink    CacheSink
	after   int64
	missing bool // an answer failed and the gap was reported
}

// failed reports one gap for a row of failed answers.
func (f *cacheFollower) failed() {
	if !f.missing {
		f.sink.Gap()
	}
	f.missing = true
}

func (f *cacheFollower) apply(body []byte) error {
	var batch struct {
		Events []CacheEvent `json:"events"`
		Next   int64        `json:"next"`
	}
	if err := json.Unmarshal(body, &batch); err != nil {
		return err
	}
	f.missing = false
	if batch.Next < f.after {
		f.after = 0
		f.sink.Cleared() // the engine restarted: its numbers begin again
		return nil
	}
	for _, event := range batch.Events {
		f.event(event)
	}
	if batch.Next > f.after {
		f.sink.Gap()
		f.after = batch.Next
	}
	return nil
}

func (f *cacheFollower) event(event CacheEvent) {
	if event.Seq <= f.after {
		return
	}
	if event.Seq != f.after+1 {
		f.sink.Gap()
	}
	f.after = event.Seq
	switch event.Type {
	case CacheStored:
		f.sink.Stored(event.Blocks)
	case CacheRemoved:
		f.sink.Removed(event.Blocks)
	case CacheCleared:
		f.sink.Cleared()
	}
}
