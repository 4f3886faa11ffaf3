package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/net/netutil"
)

// newServer returns the HTTP server of g. It has no overall read or write timeout,
// which would abort long streams; the handlers set deadlines for each body and each
// write.
func newServer(g *Gateway) *http.Server {
	return &http.Server{
		Handler:           g,
		ReadHeaderTimeout: g.opts.HeaderTimeout,
		IdleTimeout:       g.opts.IdleTimeout,
		MaxHeaderBytes:    g.opts.MaxHeaderBytes,
		ConnContext:       withConn,
		ConnState:         g.setConnState,
		ErrorLog:          slog.NewLogLogger(g.opts.Logger.Handler(), slog.LevelDebug),
	}
}

// Serve accepts connections on ln until Shutdown or Close, and then returns nil.
func (g *Gateway) Serve(ln net.Listener) error {
	limited := netutil.LimitListener(ln, g.opts.MaxConns)
	g.listener.Store(&limited)
	err := g.server.Serve(callerListener{limited})
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Drain refuses new calls from now on and waits until the calls in progress have
// ended. It cancels none: if ctx ends first it returns an error with the number of
// calls in progress, and can be called again.
func (g *Gateway) Drain(ctx context.Context) error {
	idle := g.calls.drain()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%d calls in progress: %w", g.InProgress(), ctx.Err())
	}
}

// Shutdown stops accepting connections and waits until all are closed. Call it after
// Drain; it also waits until the responses of finished calls have been sent. If ctx ends
// first, it returns the error of ctx, closes nothing else and can be called again.
func (g *Gateway) Shutdown(ctx context.Context) error {
	if l := g.listener.Load(); l != nil {
		if err := (*l).Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			return err
		}
	}
	if err := g.conns.Drain(ctx); err != nil {
		return err
	}
	if err := g.server.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return err // Serve may not have returned yet; the server then closes the listener again
	}
	return nil
}

// Close closes the listeners and all connections at once. The contexts of calls in
// progress are canceled.
func (g *Gateway) Close() error { return g.server.Close() }

// InProgress returns the number of calls that have not ended.
func (g *Gateway) InProgress() int { return g.calls.inProgress() }

// callTracker counts calls in progress and refuses new ones while draining. Here
// every request is a call, except health and readiness checks. Its mutex is held only
// within its methods.
type callTracker struct {
	gauge metrics.Gauge

	mu       sync.Mutex
	n        int // calls in progress
	draining bool
	idle     chan struct{} // closed when draining is set and n is 0
}

// begin counts a new call. It returns false if the gateway is draining.
func (c *callTracker) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining {
		return false
	}
	c.n++
	c.gauge.Update(int64(c.n))
	return true
}

func (c *callTracker) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n--
	c.gauge.Update(int64(c.n))
	if c.draining && c.n == 0 {
		close(c.idle)
	}
}

// drain makes begin return false and returns a channel that is closed when the last
// call has ended.
func (c *callTracker) drain() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.draining {
		c.draining = true
		c.idle = make(chan struct{})
		if c.n == 0 {
			close(c.idle)
		}
	}
	return c.idle
}

func (c *callTracker) inProgress() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n
}

func (c *callTracker) isDraining() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.draining
}
