package etcdgw

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/store"
)

const (
	pathRange     = "/v3/kv/range"
	pathTxn       = "/v3/kv/txn"
	pathGrant     = "/v3/lease/grant"
	pathKeepAlive = "/v3/lease/keepalive"
	pathRevoke    = "/v3/lease/revoke"
	pathWatch     = "/v3/watch"
)

// maxListAttempts is the number of attempts of a List. A List starts over if the service
// has compacted the revision that it reads.
const maxListAttempts = 3

// Get implements store.KV.
func (c *Client) Get(ctx context.Context, key string) (store.Entry, error) {
	var reply rangeResponse
	if err := c.read(ctx, pathRange, rangeRequest{Key: []byte(key)}, &reply); err != nil {
		return store.Entry{}, err
	}
	if len(reply.KVs) == 0 {
		return store.Entry{Key: key}, nil
	}
	return reply.KVs[0].entry(), nil
}

// List implements store.KV. It reads page by page. If a page exceeds the size limit, it
// is read again with a smaller page size.
func (c *Client) List(ctx context.Context, prefix string) (store.Snapshot, error) {
	var err error
	for range maxListAttempts {
		var snapshot store.Snapshot
		snapshot, err = c.listOnce(ctx, prefix)
		if !errors.Is(err, store.ErrCompacted) {
			return snapshot, err
		}
	}
	return store.Snapshot{}, err
}

func (c *Client) listOnce(ctx context.Context, prefix string) (store.Snapshot, error) {
	var snapshot store.Snapshot
	key, end := prefixRange(prefix)
	pageSize := c.opts.PageSize
	for {
		req := rangeRequest{
			Key: key, RangeEnd: end, Limit: int64String(pageSize), Revision: int64String(snapshot.Revision),
		}
		var reply rangeResponse
		err := c.read(ctx, pathRange, req, &reply)
		if errors.Is(err, errResponseTooLarge) && pageSize > 1 {
			pageSize = max(1, pageSize/8)
			continue
		}
		if err != nil {
			return store.Snapshot{}, err
		}
		if snapshot.Revision == 0 {
			snapshot.Revision = int64(reply.Header.Revision)
		}
		for _, kv := range reply.KVs {
			snapshot.Entries = append(snapshot.Entries, kv.entry())
		}
		if !reply.More || len(reply.KVs) == 0 {
			return snapshot, nil
		}
		last := reply.KVs[len(reply.KVs)-1].Key
		key = append(append([]byte(nil), last...), 0)
	}
}

// Commit implements store.KV. If the response is lost it returns store.ErrUnknownOutcome
// and does not retry.
func (c *Client) Commit(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	if err := checkSize(txn); err != nil {
		return store.TxnResult{}, err
	}
	var reply txnResponse
	if err := c.write(ctx, pathTxn, toRequest(txn), &reply); err != nil {
		return store.TxnResult{}, err
	}
	result := store.TxnResult{Committed: reply.Succeeded, Revision: int64(reply.Header.Revision)}
	if result.Committed {
		return result, nil
	}
	for _, r := range reply.Responses {
		if r.Range == nil {
			continue
		}
		for _, kv := range r.Range.KVs {
			result.Current = append(result.Current, kv.entry())
		}
	}
	return result, nil
}

func checkSize(txn store.Txn) error {
	if len(txn.Compare) > store.MaxTxnOps || len(txn.Write) > store.MaxTxnOps {
		return fmt.Errorf("%w: %d comparisons, %d writes", store.ErrTooLarge, len(txn.Compare), len(txn.Write))
	}
	for _, w := range txn.Write {
		if len(w.Value) > store.MaxValueBytes {
			return fmt.Errorf("%w: %s has %d bytes", store.ErrTooLarge, w.Key, len(w.Value))
		}
	}
	return nil
}

func toRequest(txn store.Txn) txnRequest {
	var req txnRequest
	for _, cmp := range txn.Compare {
		req.Compare = append(req.Compare, compare{
			Result: "EQUAL", Target: "MOD", Key: []byte(cmp.Key), ModRevision: int64String(cmp.ModRevision),
		})
		req.Failure = append(req.Failure, requestOp{Range: &rangeRequest{Key: []byte(cmp.Key)}})
	}
	for _, w := range txn.Write {
		op := requestOp{}
		if w.Delete {
			op.DeleteRange = &deleteRangeRequest{Key: []byte(w.Key)}
		} else {
			op.Put = &putRequest{Key: []byte(w.Key), Value: w.Value, Lease: int64String(w.Lease)}
		}
		req.Success = append(req.Success, op)
	}
	return req
}

// Grant implements store.Leaser. The service's unit is whole seconds, so ttl is rounded
// up. After store.ErrUnknownOutcome an unused lease may exist until it expires.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	seconds := max(1, (ttl+time.Second-1)/time.Second)
	var reply leaseResponse
	if err := c.write(ctx, pathGrant, leaseRequest{TTL: int64String(seconds)}, &reply); err != nil {
		return 0, err
	}
	return store.LeaseID(reply.ID), nil
}

// KeepAlive implements store.Leaser. A renewal is idempotent, so it is retried like a
// read.
func (c *Client) KeepAlive(ctx context.Context, id store.LeaseID) error {
	var reply keepAliveResponse
	if err := c.read(ctx, pathKeepAlive, leaseRequest{ID: int64String(id)}, &reply); err != nil {
		return err
	}
	if reply.Error != nil {
		err := reply.Error.asError()
		if definitive := definitiveError(err); definitive != nil {
			return definitive
		}
		return fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	}
	if reply.Result == nil || reply.Result.TTL <= 0 {
		return store.ErrLeaseNotFound
	}
	return nil
}

// Revoke implements store.Leaser.
func (c *Client) Revoke(ctx context.Context, id store.LeaseID) error {
	var reply struct{}
	return c.write(ctx, pathRevoke, leaseRequest{ID: int64String(id)}, &reply)
}
