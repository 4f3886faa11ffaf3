package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Load is the load that an engine reports. It lags behind the actual load.
type Load struct {
	Running       int `json:"running"`
	Waiting       int `json:"waiting"`
	MaxRunning    int `json:"max_running"`
	KVBlocksUsed  int `json:"kv_blocks_used"`
	KVBlocksTotal int `json:"kv_blocks_total"`
}

// Load returns the engine's load.
func (c *Client) Load(ctx context.Context) (Load, error) {
	var load Load
	body, err := c.controlCall(ctx, http.MethodGet, "/load", nil)
	if err != nil {
		return Load{}, err
	}
	return load, json.Unmarshal(body, &load)
}

// Health is an engine's response to a health check.
type Health struct {
	// Boot is the engine's boot ID, which changes with a restart. It is empty
	// if the engine does not report one.
	Boot string `json:"boot"`
}

// Health checks the engine. Any 2xx status means that it is healthy.
func (c *Client) Health(ctx context.Context) (Health, error) {
	body, err := c.controlCall(ctx, http.MethodGet, "/health", nil)
	if err != nil {
		return Health{}, err
	}
	var health Health
	if json.Unmarshal(body, &health) != nil {
		return Health{}, nil // engines may respond with plain text
	}
	return health, nil
}

// Command is an administrative command to an engine.
type Command struct {
	FencingToken int64  `json:"fence"`
	Kind         string `json:"kind"`
	Model        string `json:"model"`
	Value        string `json:"value,omitempty"`
}

// ErrFenced means that the engine has seen a higher fencing token.
var ErrFenced = errors.New("engine refused an old fence number")

// SendCommand sends a command and waits until the engine has executed it or ctx
// ends. The engine may execute it after ctx has ended.
func (c *Client) SendCommand(ctx context.Context, command Command) error {
	_, err := c.call(ctx, http.MethodPost, "/orders", command)
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

// CacheSink receives the changes of an engine's prefix cache. Its methods are
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
// ends. Skipped sequence numbers and failed polls are reported as a gap,
// restarted sequence numbers as a cleared cache.
func (c *Client) WatchCache(ctx context.Context, interval time.Duration, sink CacheSink) {
	watcher := cacheWatcher{sink: sink}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		body, err := c.controlCall(ctx, http.MethodGet, fmt.Sprintf("/cache/events?after=%d", watcher.lastSeq), nil)
		if err == nil {
			err = watcher.apply(body)
		}
		if err != nil && ctx.Err() == nil {
			watcher.pollFailed()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// cacheWatcher applies batches of events in order.
type cacheWatcher struct {
	sink        CacheSink
	lastSeq     int64 // sequence number up to which events were applied or reported as a gap
	gapReported bool  // a poll failed and the gap was reported
}

// pollFailed reports one gap for consecutive failed polls.
func (w *cacheWatcher) pollFailed() {
	if !w.gapReported {
		w.sink.Gap()
	}
	w.gapReported = true
}

func (w *cacheWatcher) apply(body []byte) error {
	var batch struct {
		Events []CacheEvent `json:"events"`
		Next   int64        `json:"next"` // sequence number up to which Events is complete
	}
	if err := json.Unmarshal(body, &batch); err != nil {
		return err
	}
	w.gapReported = false
	if batch.Next < w.lastSeq {
		w.lastSeq = 0
		w.sink.Cleared() // the engine restarted, and its sequence numbers with it
		return nil
	}
	for _, event := range batch.Events {
		w.applyEvent(event)
	}
	if batch.Next > w.lastSeq {
		w.sink.Gap()
		w.lastSeq = batch.Next
	}
	return nil
}

func (w *cacheWatcher) applyEvent(event CacheEvent) {
	if event.Seq <= w.lastSeq {
		return
	}
	if event.Seq != w.lastSeq+1 {
		w.sink.Gap()
	}
	w.lastSeq = event.Seq
	switch event.Type {
	case CacheStored:
		w.sink.Stored(event.Blocks)
	case CacheRemoved:
		w.sink.Removed(event.Blocks)
	case CacheCleared:
		w.sink.Cleared()
	}
}
