package store

import "context"

// WatchByPolling implements Watcher.Watch by long polling: each call of next waits for
// changes after a revision. The watch ends with the first call that fails, or with
// ctx.
func WatchByPolling(ctx context.Context, from int64, next func(ctx context.Context, revision int64) WatchBatch) <-chan WatchBatch {
	batches := make(chan WatchBatch)
	go func() {
		defer close(batches)
		for revision := from; ; {
			batch := next(ctx, revision)
			select {
			case batches <- batch:
			case <-ctx.Done():
				return
			}
			if batch.Err != nil {
				return
			}
			revision = batch.Revision
		}
	}()
	return batches
}
