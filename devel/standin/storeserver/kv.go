package storeserver

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/store"
)

// prefixOf returns the prefix or the single key that key and range end select. It
// returns an error that wraps errBadRequest for other ranges.
func prefixOf(key, end []byte) (prefix string, single bool, err error) {
	switch {
	case len(end) == 0:
		return string(key), true, nil
	case len(key) == 1 && key[0] == 0 && len(end) == 1 && end[0] == 0:
		return "", false, nil
	case string(end) == prefixEnd(string(key)):
		return string(key), false, nil
	}
	return "", false, errors.Join(errBadRequest, errors.New("range_end does not select a prefix"))
}

// prefixEnd returns the exclusive end of the range of keys with a prefix.
func prefixEnd(prefix string) string {
	end := []byte(prefix)
	for len(end) > 0 {
		if end[len(end)-1]++; end[len(end)-1] != 0 {
			return string(end)
		}
		end = end[:len(end)-1]
	}
	return "\x00"
}

func (s *Server) serveRange(_ http.ResponseWriter, r *http.Request, body []byte) (any, error) {
	var req rangeRequest
	if err := decode(body, &req); err != nil {
		return nil, err
	}
	return s.rangeKeys(r.Context(), req)
}

func (s *Server) rangeKeys(ctx context.Context, req rangeRequest) (*rangeResponse, error) {
	if len(req.RangeEnd) > 0 && (req.Limit > 0 || req.Revision > 0) {
		return s.rangePage(ctx, req)
	}
	prefix, single, err := prefixOf(req.Key, req.RangeEnd)
	if err != nil {
		return nil, err
	}
	if req.Revision > 0 {
		return nil, errors.Join(errBadRequest, errors.New("revision needs a range"))
	}
	if !single {
		snapshot, err := s.Store.List(ctx, prefix)
		return newRangeResponse(snapshot, 0), err
	}
	entry, err := s.Store.Get(ctx, prefix)
	snapshot := store.Snapshot{Revision: max(s.Store.Revision(), entry.ModRevision)}
	if entry.ModRevision > 0 {
		snapshot.Entries = []store.Entry{entry}
	}
	return newRangeResponse(snapshot, 0), err
}

func newRangeResponse(snapshot store.Snapshot, limit int) *rangeResponse {
	response := &rangeResponse{
		Header: header{Revision: int64Value(snapshot.Revision)},
		Count:  int64Value(len(snapshot.Entries)),
	}
	entries := snapshot.Entries
	if limit > 0 && len(entries) > limit {
		entries, response.More = entries[:limit], true
	}
	for _, e := range entries {
		response.KVs = append(response.KVs, toKV(e))
	}
	return response
}

func toKV(e store.Entry) keyValue {
	return keyValue{
		Key: bytesValue(e.Key), Value: e.Value,
		ModRevision: int64Value(e.ModRevision), Lease: int64Value(e.Lease),
	}
}

// maxPagedSnapshots bounds the paginated range reads that can be in progress.
const maxPagedSnapshots = 16

// pageCache holds the snapshots of paginated reads, because the in-memory store
// has only the current value of a key. When it is full the oldest snapshot is
// evicted, and its read fails as compacted.
type pageCache struct {
	mu        sync.Mutex
	snapshots []pagedSnapshot
}

type pagedSnapshot struct {
	end      string
	snapshot store.Snapshot
}

// rangePage serves the first page of a range with a limit, or a later page at the
// revision of the first one.
func (s *Server) rangePage(ctx context.Context, req rangeRequest) (*rangeResponse, error) {
	key, end := string(req.Key), string(req.RangeEnd)
	if key == "\x00" {
		key = ""
	}
	if req.Revision > 0 {
		snapshot, found := s.pages.find(end, int64(req.Revision))
		if !found {
			return nil, store.ErrCompacted
		}
		return newRangeResponse(startingAt(snapshot, key), int(req.Limit)), nil
	}
	prefix, _, err := prefixOf(req.Key, req.RangeEnd)
	if err != nil {
		return nil, err
	}
	snapshot, err := s.Store.List(ctx, prefix)
	if err != nil {
		return nil, err
	}
	s.pages.add(pagedSnapshot{end: end, snapshot: snapshot})
	return newRangeResponse(snapshot, int(req.Limit)), nil
}

func startingAt(snapshot store.Snapshot, key string) store.Snapshot {
	for len(snapshot.Entries) > 0 && snapshot.Entries[0].Key < key {
		snapshot.Entries = snapshot.Entries[1:]
	}
	return snapshot
}

func (c *pageCache) add(p pagedSnapshot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.snapshots = append(c.snapshots, p)
	if len(c.snapshots) > maxPagedSnapshots {
		c.snapshots = c.snapshots[1:]
	}
}

func (c *pageCache) find(end string, revision int64) (store.Snapshot, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.snapshots {
		if p.end == end && p.snapshot.Revision == revision {
			return p.snapshot, true
		}
	}
	return store.Snapshot{}, false
}

func (s *Server) serveTxn(_ http.ResponseWriter, r *http.Request, body []byte) (any, error) {
	var req txnRequest
	if err := decode(body, &req); err != nil {
		return nil, err
	}
	txn, err := toTxn(req)
	if err != nil {
		return nil, err
	}
	result, err := s.Store.Commit(r.Context(), txn)
	if err != nil {
		return nil, err
	}
	response := &txnResponse{Header: header{Revision: int64Value(result.Revision)}, Succeeded: result.Committed}
	if result.Committed {
		for _, op := range req.Success {
			if op.Put != nil {
				response.Responses = append(response.Responses, responseOp{Put: &struct{}{}})
			} else {
				response.Responses = append(response.Responses, responseOp{DeleteRange: &struct{}{}})
			}
		}
		return response, nil
	}
	current := make(map[string]store.Entry)
	for _, e := range result.Current {
		current[e.Key] = e
	}
	for _, op := range req.Failure {
		part := &rangeResponse{Header: response.Header}
		if e, ok := current[string(op.Range.Key)]; ok {
			part.KVs, part.Count = []keyValue{toKV(e)}, 1
		}
		response.Responses = append(response.Responses, responseOp{Range: part})
	}
	return response, nil
}

// toTxn converts a transaction. Failure operations may read compared keys only,
// so that they read the state in which the comparison failed.
func toTxn(req txnRequest) (store.Txn, error) {
	if len(req.Compare) > store.MaxTxnOps || len(req.Success) > store.MaxTxnOps || len(req.Failure) > store.MaxTxnOps {
		return store.Txn{}, store.ErrTooLarge
	}
	var txn store.Txn
	compared := make(map[string]bool)
	for _, c := range req.Compare {
		if c.Target != "MOD" || (c.Result != "EQUAL" && c.Result != "") {
			return store.Txn{}, errors.Join(errBadRequest, errors.New("only the comparison MOD EQUAL is supported"))
		}
		compared[string(c.Key)] = true
		txn.Compare = append(txn.Compare, store.Compare{Key: string(c.Key), ModRevision: int64(c.ModRevision)})
	}
	for _, op := range req.Success {
		switch {
		case op.Put != nil:
			txn.Write = append(txn.Write, store.Write{
				Key: string(op.Put.Key), Value: op.Put.Value, Lease: store.LeaseID(op.Put.Lease),
			})
		case op.DeleteRange != nil && len(op.DeleteRange.RangeEnd) == 0:
			txn.Write = append(txn.Write, store.Write{Key: string(op.DeleteRange.Key), Delete: true})
		default:
			return store.Txn{}, errors.Join(errBadRequest, errors.New("unsupported success operation"))
		}
	}
	for _, op := range req.Failure {
		if op.Range == nil || !compared[string(op.Range.Key)] {
			return store.Txn{}, errors.Join(errBadRequest, errors.New("unsupported failure operation"))
		}
	}
	return txn, nil
}

// maxLeaseSeconds is the maximum TTL of a lease, as in etcd.
const maxLeaseSeconds = 9_000_000_000

func (s *Server) serveGrant(_ http.ResponseWriter, r *http.Request, body []byte) (any, error) {
	var req leaseRequest
	if err := decode(body, &req); err != nil {
		return nil, err
	}
	if req.TTL <= 0 || req.TTL > maxLeaseSeconds || req.ID != 0 {
		return nil, errors.Join(errBadRequest, errors.New("TTL is out of range or ID is set"))
	}
	id, err := s.Store.Grant(r.Context(), time.Duration(req.TTL)*time.Second)
	return &leaseResponse{Header: s.header(), ID: int64Value(id), TTL: req.TTL}, err
}

// serveKeepAlive responds with one streamed message. It has no TTL if the lease
// does not exist.
func (s *Server) serveKeepAlive(_ http.ResponseWriter, r *http.Request, body []byte) (any, error) {
	var req leaseRequest
	if err := decode(body, &req); err != nil {
		return nil, err
	}
	id := store.LeaseID(req.ID)
	response := &leaseResponse{Header: s.header(), ID: req.ID}
	if err := s.Store.KeepAlive(r.Context(), id); err == nil {
		ttl, _ := s.Store.TTL(id)
		response.TTL = int64Value(ttl / time.Second)
	} else if !errors.Is(err, store.ErrLeaseNotFound) {
		return nil, err
	}
	return streamedResponse{response}, nil
}

func (s *Server) serveRevoke(_ http.ResponseWriter, r *http.Request, body []byte) (any, error) {
	var req leaseRequest
	if err := decode(body, &req); err != nil {
		return nil, err
	}
	err := s.Store.Revoke(r.Context(), store.LeaseID(req.ID))
	return &leaseResponse{Header: s.header()}, err
}

func (s *Server) header() header { return header{Revision: int64Value(s.Store.Revision())} }
