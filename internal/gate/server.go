package gate

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/monsoonworks/monsoonworks/internal/catalog"
)

// defaultLimits apply until a configuration is known, and where it is silent.
var defaultLimits = catalog.Limits{
	MaxHeaderBytes: 16 << 10, HeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second,
}

// idleSlack is added to the configured idle time, so that a request that is sent
// within it does not cross the close.
const idleSlack = 2 * time.Second

// Frontend accepts callers and serves them with the limits of the configuration in
// force. It is safe for concurrent use. Its mutex is a leaf.
type Frontend struct {
	gate     *Gate
	count    func(net.Conn) net.Conn
	log      *slog.Logger
	listener net.Listener

	mu      sync.Mutex
	limits  catalog.Limits
	current *handover
	servers []*http.Server
}

// NewFrontend returns a frontend that accepts on listener. count is applied to each
// connection.
func NewFrontend(g *Gate, listener net.Listener, count func(net.Conn) net.Conn, log *slog.Logger) *Frontend {
	f := &Frontend{gate: g, count: count, log: log, listener: listener}
	f.SetLimits(defaultLimits)
	return f
}

// SetLimits puts limits into force for connections that are accepted from now on.
func (f *Frontend) SetLimits(l catalog.Limits) {
	f.mu.Lock()
	defer f.mu.Unlock()
	// The gate checks the size of bodies itself.
	l.MaxBodyBytes = 0
	if f.current != nil && l == f.limits {
		return
	}
	f.limits = l
	server := &http.Server{
		Handler: f.gate, MaxHeaderBytes: positive(l.MaxHeaderBytes, defaultLimits.MaxHeaderBytes),
		ReadHeaderTimeout: positive(l.HeaderTimeout, defaultLimits.HeaderTimeout),
		IdleTimeout:       positive(l.IdleTimeout, defaultLimits.IdleTimeout) + idleSlack,
		ErrorLog:          slog.NewLogLogger(f.log.Handler(), slog.LevelDebug),
	}
	if f.current != nil {
		f.current.close()
	}
	f.current = newHandover(f.listener.Addr())
	f.servers = append(f.servers, server)
	go f.serve(server, f.current)
}

func positive[T int | time.Duration](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}

func (f *Frontend) serve(server *http.Server, connections *handover) {
	if err := server.Serve(connections); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		f.log.Error("callers are not served", "error", err)
	}
}

// Run accepts callers until the listener is closed.
func (f *Frontend) Run() error {
	for {
		conn, err := f.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			var temporary net.Error
			if errors.As(err, &temporary) {
				f.log.Warn("connection not accepted", "error", err)
				time.Sleep(acceptPause)
				continue
			}
			return err
		}
		f.hand(f.count(conn))
	}
}

// hand passes a connection to the present server. Limits may change meanwhile.
func (f *Frontend) hand(conn net.Conn) {
	for {
		f.mu.Lock()
		current := f.current
		f.mu.Unlock()
		if current.give(conn) {
			return
		}
		f.mu.Lock()
		same := f.current == current
		f.mu.Unlock()
		if same {
			// Only a front that is shutting down takes no connection.
			_ = conn.Close()
			return
		}
	}
}

// acceptPause is the pause after a connection that could not be accepted, for
// example for want of a descriptor.
const acceptPause = 20 * time.Millisecond

// StopAccepting closes the listener. Connections go on.
func (f *Frontend) StopAccepting() error { return f.listener.Close() }

// Shutdown waits until all connections have ended their requests, or ctx ends.
func (f *Frontend) Shutdown(ctx context.Context) error {
	f.mu.Lock()
	servers := append([]*http.Server(nil), f.servers...)
	f.mu.Unlock()
	var group errgroup.Group
	for _, server := range servers {
		group.Go(func() error { return server.Shutdown(ctx) })
	}
	return group.Wait()
}

// handover is a net.Listener that is given its connections.
type handover struct {
	address net.Addr
	queue   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

func newHandover(address net.Addr) *handover {
	return &handover{address: address, queue: make(chan net.Conn), done: make(chan struct{})}
}

// give passes a connection on. It returns false after close.
func (h *handover) give(conn net.Conn) bool {
	select {
	case h.queue <- conn:
		return true
	case <-h.done:
		return false
	}
}

func (h *handover) close() { h.once.Do(func() { close(h.done) }) }

// Accept implements net.Listener.
func (h *handover) Accept() (net.Conn, error) {
	select {
	case conn := <-h.queue:
		return conn, nil
	case <-h.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (h *handover) Close() error {
	h.close()
	return nil
}

// Addr implements net.Listener.
func (h *handover) Addr() net.Addr { return h.address }
