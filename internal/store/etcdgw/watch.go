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

// Pauses between attempts to make a broken watch again. Together with the
// timeout of a connection they stay below the 5 s in which a change must be in
// force after contact returns.
const (
	minWatchPause = 100 * time.Millisecond
	maxWatchPause = time.Second
)

// Watch implements store.Watcher. A watch that breaks or falls silent is made
// again from the last revision that was delivered, on the next endpoint; the
// receiver sees neither gaps nor repeated events. It ends with ctx, or with an
// error that another attempt cannot cure, such as store.ErrCompacted.
func (c *Client) Watch(ctx context.Context, prefix string, from int64) (<-chan store.WatchBatch, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	w := &watch{client: c, ctx: ctx, prefix: prefix, last: from, out: make(chan store.WatchBatch)}
	go w.run()
	return w.out, nil
}

// watch is the state of one watch. Only its goroutine uses it.
type watch struct {
	client *Client
	ctx    context.Context // of the receiver; outlives each connection
	prefix string
	last   int64 // all events up to here were delivered
	out    chan store.WatchBatch
}

func (w *watch) run() {
	defer close(w.out)
	pause := minWatchPause
	for w.ctx.Err() == nil {
		received, err := w.stream()
		if settled := definite(err); settled != nil || errors.Is(err, store.ErrCompacted) {
			w.send(store.WatchBatch{Revision: w.last, Err: errors.Join(settled, err)})
			return
		}
		if received {
			pause = minWatchPause
		}
		w.wait(pause)
		pause = min(2*pause, maxWatchPause)
	}
}

// wait sleeps for half to all of a pause, so that clients that lost the same
// connection do not return together.
func (w *watch) wait(pause time.Duration) {
	timer := time.NewTimer(pause/2 + rand.N(pause/2))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-w.ctx.Done():
	}
}

// send gives up only when the receiver ends. If it gave up when a connection
// ends, the batch would be missing although last says that it was delivered.
func (w *watch) send(batch store.WatchBatch) {
	select {
	case w.out <- batch:
	case <-w.ctx.Done():
	}
}

var errWatchSilent = errors.New("watch silent for too long")

// stream runs one connection of the watch until it breaks. It reports whether a
// message arrived.
func (w *watch) stream() (received bool, err error) {
	ctx, cancel := context.WithCancelCause(w.ctx)
	defer cancel(nil)
	silence := time.AfterFunc(w.client.opts.WatchIdleTimeout, func() { cancel(errWatchSilent) })
	defer silence.Stop()

	w.client.watches.Inc(1)
	index := w.client.endpoint.Load()
	key, end := prefixRange(w.prefix)
	req := watchRequest{Create: watchCreate{
		Key: key, RangeEnd: end, StartRevision: int64Text(w.last + 1), ProgressNotify: true,
	}}
	resp, err := w.client.open(ctx, index, pathWatch, req)
	if err != nil {
		w.client.failed(index, err)
		return false, err
	}
	defer func() { _ = resp.Body.Close() }()
	received, err = w.receive(resp, silence)
	if w.ctx.Err() == nil {
		w.client.failed(index, err)
	}
	return received, err
}

// receive delivers the messages of one connection.
func (w *watch) receive(resp *http.Response, silence *time.Timer) (received bool, err error) {
	// The limit holds for each message, so it is set again after each.
	limited := &io.LimitedReader{R: resp.Body, N: w.client.opts.MaxResponseBytes}
	decoder := json.NewDecoder(limited)
	for {
		var message watchMessage
		if err := decoder.Decode(&message); err != nil {
			return received, err
		}
		received = true
		limited.N = w.client.opts.MaxResponseBytes
		// While the receiver is busy the connection is not silent.
		silence.Stop()
		if err := w.deliver(message); err != nil {
			return received, err
		}
		silence.Reset(w.client.opts.WatchIdleTimeout)
	}
}

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
		return nil // says nothing about the events in between
	case len(r.Events) == 0:
		w.last = max(w.last, int64(r.Header.Revision))
		w.send(store.WatchBatch{Revision: w.last})
		return nil
	}
	w.deliverEvents(r.Events)
	return nil
}

// deliverEvents passes on the events that were not delivered before. The batch's
// revision is that of its last event: the header's may be higher, because a
// watch that is catching up gets its events in several messages.
func (w *watch) deliverEvents(events []watchEvent) {
	batch := store.WatchBatch{}
	for _, e := range events {
		entry := e.KV.entry()
		if entry.ModRevision <= w.last {
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
	w.last = batch.Revision
	w.send(batch)
}
