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

	"github.com/monsoonworks/monsoonworks/internal/store"
)

// PollingStore is the store as a relay reaches it.
type PollingStore interface {
	store.KV
	// Next waits for changes under prefix after revision, for a time that the store
	// bounds. A batch without events means that there were none.
	Next(ctx context.Context, prefix string, revision int64) store.WatchBatch
}

// Server carries out calls for gates.
type Server struct {
	log  *slog.Logger
	rpc  *rpc.Server
	open metrics.Gauge

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// NewServer returns a server that passes calls on to backend. Calls end with ctx.
func NewServer(ctx context.Context, backend PollingStore, registry metrics.Registry, log *slog.Logger) (*Server, error) {
	s := &Server{
		log: log, rpc: rpc.NewServer(), conns: make(map[net.Conn]struct{}),
		open: metrics.GetOrRegisterGauge("monsoon.relay.connections", registry),
	}
	calls := &calls{
		ctx: ctx, backend: backend, log: log,
		count: metrics.GetOrRegisterCounter("monsoon.relay.calls", registry),
	}
	return s, s.rpc.RegisterName(serviceName, calls)
}

// Register adds the methods of another service, under its name.
func (s *Server) Register(name string, service any) error { return s.rpc.RegisterName(name, service) }

// Serve accepts gates until the listener is closed, and then closes their
// connections.
func (s *Server) Serve(listener net.Listener) error {
	defer s.closeAll()
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.log.Warn("gate not accepted", "error", err)
			time.Sleep(dialTimeout)
			continue
		}
		s.track(conn, true)
		go func() {
			defer s.track(conn, false)
			s.rpc.ServeConn(conn)
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
	s.open.Update(int64(len(s.conns)))
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		// The process stops; its gates open connections to other relays.
		_ = conn.Close()
	}
}

// calls are the methods that gates call.
type calls struct {
	ctx     context.Context
	backend PollingStore
	log     *slog.Logger
	count   metrics.Counter
}

// Get reads one key.
func (c *calls) Get(args *GetArgs, reply *GetReply) error {
	var err error
	reply.Entry, err = c.backend.Get(c.ctx, args.Key)
	c.done("get", args.Key, err)
	reply.Failure = failureOf(err)
	return nil
}

// List reads all keys with a prefix.
func (c *calls) List(args *ListArgs, reply *ListReply) error {
	var err error
	reply.Snapshot, err = c.backend.List(c.ctx, args.Prefix)
	c.done("list", args.Prefix, err)
	reply.Failure = failureOf(err)
	return nil
}

// Commit executes a transaction.
func (c *calls) Commit(args *CommitArgs, reply *CommitReply) error {
	var err error
	reply.Result, err = c.backend.Commit(c.ctx, args.Txn)
	c.done("commit", "", err)
	reply.Failure = failureOf(err)
	return nil
}

// Next waits for changes.
func (c *calls) Next(args *NextArgs, reply *NextReply) error {
	batch := c.backend.Next(c.ctx, args.Prefix, args.Revision)
	c.done("next", args.Prefix, batch.Err)
	reply.Events, reply.Revision, reply.Failure = batch.Events, batch.Revision, failureOf(batch.Err)
	return nil
}

func (c *calls) done(call, key string, err error) {
	c.count.Inc(1)
	if err != nil {
		c.log.Info("relayed call failed", "call", call, "key", key, "error", err)
	}
}
