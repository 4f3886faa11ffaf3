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

// maxInnerConnections is the maximum number of open connections from peers. At the target
// size of a deployment a router has about 1,000 peers.
const maxInnerConnections = 8192

// innerListener accepts RPC sessions of other processes of the deployment.
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
		l.log.Debug("incoming session rejected", "peer", conn.RemoteAddr(), "error", err)
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

// closeSessions closes all sessions, so that peers reconnect.
func (l *innerListener) closeSessions() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for s := range l.sessions {
		s.Close()
	}
}

// close closes the listener and all sessions.
func (l *innerListener) close() {
	_ = l.listener.Close()
	l.closeSessions()
}

// rpcServers maps the role of a peer to the RPC server for its sessions. set replaces the
// map when more services are ready; existing sessions keep their server.
type rpcServers struct {
	byRole atomic.Pointer[map[wire.Role]*rpc.Server]
}

func (r *rpcServers) set(byRole map[wire.Role]*rpc.Server) { r.byRole.Store(&byRole) }

// forPeer implements wire.Services.RPC.
func (r *rpcServers) forPeer(peer wire.Hello) *rpc.Server {
	if m := r.byRole.Load(); m != nil {
		return (*m)[peer.Role]
	}
	return nil
}

// newRPCServer returns an RPC server with the receivers registered under their names.
func newRPCServer(receivers map[string]any) *rpc.Server {
	server := rpc.NewServer()
	for name, receiver := range receivers {
		if err := server.RegisterName(name, receiver); err != nil {
			panic(err) // a receiver without RPC methods is a programming error
		}
	}
	return server
}

// runUntil runs f and returns its error. When ctx ends first, it calls stop, which must make
// f return.
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
