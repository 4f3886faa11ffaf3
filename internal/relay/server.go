package relay

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/net/netutil"

	"github.com/monsoonworks/monsoonworks/internal/store"
)

// PollingStore is a store that is watched by long polling. platform.Store and Store implement
// it.
type PollingStore interface {
	store.KV
	// Next waits for changes under prefix after revision, for a time that the store limits.
	// A batch without events means that there were no changes.
	Next(ctx context.Context, prefix string, revision int64) store.WatchBatch
}

// Server executes store calls for gates, and the calls of services added with Register.
type Server struct {
	log       *slog.Logger
	rpc       *rpc.Server
	openConns metrics.Gauge

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// NewServer returns a server that executes calls at pollingStore. Calls in progress are
// canceled when ctx ends.
func NewServer(ctx context.Context, pollingStore PollingStore, registry metrics.Registry, log *slog.Logger) (*Server, error) {
	s := &Server{
		log: log, rpc: rpc.NewServer(), conns: make(map[net.Conn]struct{}),
		openConns: metrics.GetOrRegisterGauge("monsoon.relay.connections", registry),
	}
	service := &storeService{
		ctx: ctx, store: pollingStore, log: log,
		calls: metrics.GetOrRegisterCounter("monsoon.relay.calls", registry),
	}
	return s, s.rpc.RegisterName(serviceName, service)
}

// Register adds another net/rpc service under a name.
func (s *Server) Register(name string, service any) error { return s.rpc.RegisterName(name, service) }

// Serve accepts connections of gates until the listener is closed. Then it closes all
// connections and returns nil.
func (s *Server) Serve(listener net.Listener) error {
	defer s.closeAll()
	listener = netutil.LimitListener(listener, maxConnections)
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.log.Warn("accepting a gate's connection failed, will retry", "error", err)
			time.Sleep(dialTimeout)
			continue
		}
		s.track(conn, true)
		go func() {
			defer s.track(conn, false)
			s.rpc.ServeConn(newLimitedConn(conn, maxRequestBytes))
		}()
	}
}

func (s *Server) track(conn net.Conn, open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if open {
		s.conns[conn] = struct{}{}
	} else {
		delete(s.conns, conn)
	}
	s.openConns.Update(int64(len(s.conns)))
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		// The process is stopping; its gates connect to other relays.
		_ = conn.Close()
	}
}

// storeService is the net/rpc service with the store calls.
type storeService struct {
	ctx   context.Context
	store PollingStore
	log   *slog.Logger
	calls metrics.Counter
}

// Get reads one key.
func (s *storeService) Get(args *GetArgs, reply *GetReply) (err error) {
	defer RecoverCall(s.log, "get", &err)
	entry, callErr := s.store.Get(s.ctx, args.Key)
	s.noteCall("get", args.Key, callErr)
	reply.Entry, reply.Failure = entry, NewFailure(callErr)
	return nil
}

// List reads all keys with a prefix.
func (s *storeService) List(args *ListArgs, reply *ListReply) (err error) {
	defer RecoverCall(s.log, "list", &err)
	snapshot, callErr := s.store.List(s.ctx, args.Prefix)
	s.noteCall("list", args.Prefix, callErr)
	reply.Snapshot, reply.Failure = snapshot, NewFailure(callErr)
	return nil
}

// Commit executes a transaction.
func (s *storeService) Commit(args *CommitArgs, reply *CommitReply) (err error) {
	defer RecoverCall(s.log, "commit", &err)
	result, callErr := s.store.Commit(s.ctx, args.Txn)
	s.noteCall("commit", "", callErr)
	reply.Result, reply.Failure = result, NewFailure(callErr)
	return nil
}

// Next waits for changes under a prefix.
func (s *storeService) Next(args *NextArgs, reply *NextReply) (err error) {
	defer RecoverCall(s.log, "next", &err)
	batch := s.store.Next(s.ctx, args.Prefix, args.Revision)
	s.noteCall("next", args.Prefix, batch.Err)
	reply.Events, reply.Revision, reply.Failure = batch.Events, batch.Revision, NewFailure(batch.Err)
	return nil
}

func (s *storeService) noteCall(call, key string, err error) {
	s.calls.Inc(1)
	if err != nil {
		s.log.Info("relayed call failed", "call", call, "key", key, "error", err)
	}
}
