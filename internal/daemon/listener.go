package daemon

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"

	"golang.org/x/net/netutil"

	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// maxInnerConnections bounds the sessions that peers open. At the target size a
// router has about 1,000 peers.
const maxInnerConnections = 8192

// innerListener accepts sessions of other processes.
type innerListener struct {
	listener net.Listener
	options  wire.Options
	services wire.Services
	log      *slog.Logger

	mu       sync.Mutex
	sessions map[*wire.Session]struct{}
}

func listenInner(address string, o wire.Options, services wire.Services, log *slog.Logger) (*innerListener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &innerListener{
		listener: netutil.LimitListener(l, maxInnerConnections), options: o, services: services, log: log,
		sessions: map[*wire.Session]struct{}{},
	}, nil
}

// serve accepts sessions until the listener is closed.
func (l *innerListener) serve() error {
	for {
		conn, err := l.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		go l.accept(conn)
	}
}

func (l *innerListener) accept(conn net.Conn) {
	session, err := wire.Accept(conn, l.options, l.services)
	if err != nil {
		l.log.Debug("session refused", "peer", conn.RemoteAddr(), "error", err)
		return
	}
	l.mu.Lock()
	l.sessions[session] = struct{}{}
	l.mu.Unlock()
	<-session.Done()
	l.mu.Lock()
	delete(l.sessions, session)
	l.mu.Unlock()
}

// closeSessions ends all sessions, so that peers open new ones.
func (l *innerListener) closeSessions() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for s := range l.sessions {
		s.Close()
	}
}

// close stops accepting and ends all sessions.
func (l *innerListener) close() {
	_ = l.listener.Close()
	l.closeSessions()
}

// rpcServers holds the RPC servers by the role of the peer. They can be replaced
// once more services are ready.
type rpcServers struct {
	byRole atomic.Pointer[map[wire.Role]*rpc.Server]
}

func (r *rpcServers) set(byRole map[wire.Role]*rpc.Server) { r.byRole.Store(&byRole) }

// For implements wire.Services.RPC.
func (r *rpcServers) For(peer wire.Hello) *rpc.Server {
	if m := r.byRole.Load(); m != nil {
		return (*m)[peer.Role]
	}
	return nil
}

// newRPCServer returns a server with the named receivers.
func newRPCServer(receivers map[string]any) *rpc.Server {
	server := rpc.NewServer()
	for name, receiver := range receivers {
		if err := server.RegisterName(name, receiver); err != nil {
			panic(err) // the receivers' methods are fixed
		}
	}
	return server
}

// runUntil runs f and waits for ctx to end or f to fail.
func runUntil(ctx context.Context, f func() error, stop func()) error {
	done := make(chan error, 1)
	go func() { done <- f() }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		stop()
		return <-done
	}
}
