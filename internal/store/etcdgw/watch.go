package etcdgw

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/store"
)

// Backoff between attempts to re-establish a watch. The maximum plus the connection
// timeout is below 5 s, because changes must be in effect within 5 s after the service
// is reachable again.
const (
	minWatchBackoff = 100 * time.Millisecond
	maxWatchBackoff = time.Second
)

// Watch implements store.Watcher. A watch that fails or exceeds the idle timeout resumes
// at the next endpoint after the last revision that was delivered, without missing or
// duplicated events. It ends with ctx, or with a definitive error such as
// store.ErrCompacted.
func (c *Client) Watch(ctx context.Context, prefix string, from int64) (<-chan store.WatchBatch, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	w := &watch{client: c, ctx: ctx, prefix: prefix, lastRevision: from, out: make(chan store.WatchBatch)}
	go w.run()
	return w.out, nil
}

// watch is the state of one watch. Only the goroutine of run uses it.
type watch struct {
	client       *Client
	ctx          context.Context // of the whole watch; each connection has its own
	prefix       string
	lastRevision int64 // all events up to this revision were delivered
	out          chan store.WatchBatch
}

func (w *watch) run() {
	defer close(w.out)
	backoff := minWatchBackoff
	for w.ctx.Err() == nil {
		received, err := w.stream()
		if definitive := definitiveError(err); definitive != nil || errors.Is(err, store.ErrCompacted) {
			w.send(store.WatchBatch{Revision: w.lastRevision, Err: errors.Join(definitive, err)})
			return
		}
		if received {
			backoff = minWatchBackoff
		}
		w.sleep(backoff)
		backoff = min(2*backoff, maxWatchBackoff)
	}
}

// sleep waits for a random time between backoff/2 and backoff, so that clients that lost
// their connections together do not reconnect at the same time.
func (w *watch) sleep(backoff time.Duration) {
	timer := time.NewTimer(backoff/2 + rand.N(backoff/2))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-w.ctx.Done():
	}
}

// send delivers a batch or returns when the watch ends. It must not return when only the
// connection ends: the batch would be lost although lastRevision includes it.
func (w *watch) send(batch store.WatchBatch) {
	select {
	case w.out <- batch:
	case <-w.ctx.Done():
	}
}

var errWatchIdle = errors.New("no watch message within the idle timeout")

// stream runs one connection of the watch until it fails. It reports whether a message
// was received.
func (w *watch) stream() (received bool, err error) {
	ctx, cancel := context.WithCancelCause(w.ctx)
	defer cancel(nil)
	idleTimer := time.AfterFunc(w.client.opts.WatchIdleTimeout, func() { cancel(errWatchIdle) })
	defer idleTimer.Stop()

	w.client.watchCreations.Inc(1)
	index := w.client.endpointIndex.Load()
	key, end := prefixRange(w.prefix)
	req := watchRequest{Create: watchCreate{
		Key: key, RangeEnd: end, StartRevision: int64String(w.lastRevision + 1), ProgressNotify: true,
	}}
	resp, err := w.client.doRequest(ctx, index, pathWatch, req)
	if err != nil {
		w.client.recordFailure(index, err)
		return false, err
	}
	defer func() { _ = resp.Body.Close() }()
	received, err = w.receive(resp, idleTimer)
	if w.ctx.Err() == nil {
		w.client.recordFailure(index, err)
	}
	return received, err
}

// receive delivers the messages of one connection until it fails.
func (w *watch) receive(resp *http.Response, idleTimer *time.Timer) (received bool, err error) {
	// The limit applies to each message, so it is reset after each.
	limited := &io.LimitedReader{R: resp.Body, N: w.client.opts.MaxResponseBytes}
	decoder := json.NewDecoder(limited)
	for {
		var message watchMessage
		if err := decoder.Decode(&message); err != nil {
			return received, err
		}
		received = true
		limited.N = w.client.opts.MaxResponseBytes
		// The time that the consumer takes does not count as idle.
		idleTimer.Stop()
		if err := w.deliver(message); err != nil {
			return received, err
		}
		idleTimer.Reset(w.client.opts.WatchIdleTimeout)
	}
}

// deliver sends the events or the progress notification in a message to the consumer. It
// returns an error if the message ends the stream.
func (w *watch) deliver(message watchMessage) error {
	if message.Error != nil {
		return message.Error.asError()
	}
	r := message.Result
	switch {
	case r == nil:
		return errors.New("watch message without a result")
	case r.CompactRevision > 0:
		return store.ErrCompacted
	case r.Canceled:
		return &gatewayError{Message: r.CancelReason}
	case r.Created:
		return nil // the events up to the revision in its header have not been sent yet
	case len(r.Events) == 0:
		w.lastRevision = max(w.lastRevision, int64(r.Header.Revision))
		w.send(store.WatchBatch{Revision: w.lastRevision})
		return nil
	}
	w.deliverEvents(r.Events)
	return nil
}

// deliverEvents delivers the events after lastRevision. The batch's revision is that of
// its last event: the header's may be higher, because a watch that is catching up gets
// its events in several messages.
func (w *watch) deliverEvents(events []watchEvent) {
	batch := store.WatchBatch{}
	for _, e := range events {
		entry := e.KV.entry()
		if entry.ModRevision <= w.lastRevision {
			continue
		}
		event := store.Event{Entry: entry, Deleted: e.Type == "DELETE"}
		if event.Deleted {
			event.Value = nil
		}
		batch.Events = append(batch.Events, event)
		batch.Revision = entry.ModRevision
	}
	if len(batch.Events) == 0 {
		return
	}
	w.lastRevision = batch.Revision
	w.send(batch)
}
