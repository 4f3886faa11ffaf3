package gate

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/monsoonworks/monsoonworks/internal/catalog"
	"github.com/monsoonworks/monsoonworks/internal/graceful"
)

// defaultLimits apply until a configuration is loaded, and for limits that it does
// not set.
var defaultLimits = catalog.Limits{
	MaxHeaderBytes: 16 << 10, HeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second,
}

const (
	// minHeaderCeiling is the least MaxHeaderBytes of the HTTP server. Lower limits are
	// enforced by limitHeader, so that a change of them applies to open connections.
	minHeaderCeiling = 64 << 10
	// maxHeaderCeiling is the largest limit that is kept.
	maxHeaderCeiling = 1 << 20
	// headerTolerance is added to the limit, because sizes are counted in several ways. It is
	// that of net/http.
	headerTolerance = 4 << 10
)

// idleMargin is added to the configured idle timeout, so that a request sent just
// before the timeout does not find the connection closed.
const idleMargin = 2 * time.Second

// DeadlineListener is a listener whose Accept can time out. net.TCPListener implements it.
type DeadlineListener interface {
	net.Listener
	SetDeadline(t time.Time) error
}

// Frontend accepts callers' connections and serves them with the configured limits.
// It is safe for concurrent use. No other lock is acquired while its mutex is held.
type Frontend struct {
	gate     *Gate
	wrap     func(net.Conn) net.Conn
	log      *slog.Logger
	listener DeadlineListener
	conns    *graceful.Conns
	stopAt   atomic.Int64  // when Run ends at the latest, in Unix nanoseconds; 0 unless stopping
	stopped  chan struct{} // closed when Run has returned
	warnings *rate.Limiter // only Run uses it

	maxHeaderBytes atomic.Int64
	maxConns       atomic.Int64 // see SetMaxConns
	full           atomic.Bool  // the limit of connections is reached

	mu            sync.Mutex
	current       *connQueue // the queue of the newest server
	headerCeiling int        // MaxHeaderBytes of the newest server
}

// NewFrontend returns a frontend that accepts on listener. wrap is applied to each
// accepted connection.
func NewFrontend(g *Gate, listener DeadlineListener, wrap func(net.Conn) net.Conn, log *slog.Logger) *Frontend {
	f := &Frontend{gate: g, wrap: wrap, log: log, listener: listener, stopped: make(chan struct{}), warnings: rate.NewLimiter(rate.Every(warningInterval), 1), conns: graceful.NewConns()}
	f.SetLimits(defaultLimits)
	return f
}

// SetLimits changes the limits of new and open connections. A wait in progress can become
// longer, not shorter. The gate itself enforces MaxBodyBytes.
func (f *Frontend) SetLimits(l catalog.Limits) {
	maxHeaderBytes := min(orDefault(l.MaxHeaderBytes, defaultLimits.MaxHeaderBytes), maxHeaderCeiling)
	f.maxHeaderBytes.Store(int64(maxHeaderBytes))
	f.conns.SetLimits(graceful.Limits{
		Header: orDefault(l.HeaderTimeout, defaultLimits.HeaderTimeout),
		Idle:   orDefault(l.IdleTimeout, defaultLimits.IdleTimeout) + idleMargin,
	})
	f.raiseHeaderCeiling(max(maxHeaderBytes, minHeaderCeiling))
}

// SetMaxConns limits the number of open connections, 0 for no limit. Further ones wait in the listener's
// backlog, and connections that wait for a request are closed to make room.
func (f *Frontend) SetMaxConns(n int) { f.maxConns.Store(int64(n)) }

// Full reports whether further connections wait until an open one has ended.
func (f *Frontend) Full() bool { return f.full.Load() }

// raiseHeaderCeiling starts another HTTP server for new connections if the limit exceeds that
// of the current one, because an http.Server's limits cannot change while it serves. The
// earlier server keeps its connections.
func (f *Frontend) raiseHeaderCeiling(ceiling int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current != nil && ceiling <= f.headerCeiling {
		return
	}
	server := &http.Server{
		Handler: http.HandlerFunc(f.limitHeader), MaxHeaderBytes: ceiling,
		ConnState: f.setState,
		ErrorLog:  slog.NewLogLogger(f.log.Handler(), slog.LevelDebug),
	}
	if f.current != nil {
		f.current.close()
	}
	f.current, f.headerCeiling = newConnQueue(f.listener.Addr()), ceiling
	go f.serve(server, f.current)
}

// limitHeader refuses a request whose header exceeds the limit, and passes any other on to the
// gate.
func (f *Frontend) limitHeader(w http.ResponseWriter, r *http.Request) {
	if headerBytes(r) > f.maxHeaderBytes.Load()+headerTolerance {
		w.Header().Set("Connection", "close")
		http.Error(w, http.StatusText(http.StatusRequestHeaderFieldsTooLarge), http.StatusRequestHeaderFieldsTooLarge)
		return
	}
	f.gate.ServeHTTP(w, r)
}

// headerBytes returns the size of the request line and the header.
func headerBytes(r *http.Request) int64 {
	const lineSeparators = len("  \r\n")
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + lineSeparators + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + len(": \r\n")
		}
	}
	return int64(n)
}

// setState is the ConnState hook of the servers. All connections come from Run.
func (f *Frontend) setState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*graceful.Conn); ok {
		f.conns.SetState(c, state)
	}
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}

func (f *Frontend) serve(server *http.Server, conns *connQueue) {
	if err := server.Serve(conns); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		f.log.Error("HTTP server for callers failed; new connections are not served until the limits change", "error", err)
	}
}

// Run accepts connections until the listener is closed, and then returns nil. After a
// network error it retries; it returns any other error.
func (f *Frontend) Run() error {
	defer close(f.stopped)
	for {
		if !f.awaitRoom() {
			return f.listener.Close()
		}
		conn, err := f.accept()
		if err == nil {
			f.accepted(&graceful.Conn{Conn: f.wrap(conn)})
			continue
		}
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		var netErr net.Error
		if !errors.As(err, &netErr) {
			return err
		}
		if f.stopAt.Load() != 0 && netErr.Timeout() {
			return f.listener.Close()
		}
		if f.gate.stats.acceptFailures.Inc(1); f.warnings.Allow() {
			f.log.Warn("accepting callers' connections fails, retrying every 20 ms", "error", err)
		}
		time.Sleep(acceptBackoff)
	}
}

// accept accepts the next connection. A stopping frontend waits at most backlogTime for it.
func (f *Frontend) accept() (net.Conn, error) {
	if err := f.extendBacklogTime(); err != nil {
		return nil, err
	}
	return f.listener.Accept()
}

// awaitRoom waits until another connection may be accepted. It reports false if a shutdown ends the wait.
func (f *Frontend) awaitRoom() bool {
	defer f.full.Store(false)
	for limit := f.maxConns.Load(); limit > 0 && !f.conns.MakeRoom(int(limit), minWaitAtLimit); limit = f.maxConns.Load() {
		f.full.Store(true)
		if stopAt := f.stopAt.Load(); stopAt != 0 && time.Now().UnixNano() >= stopAt {
			return false
		}
		if f.gate.stats.connLimitWaits.Inc(1); f.warnings.Allow() {
			f.log.Warn("callers' connections have reached their limit, further ones wait", "limit", limit)
		}
		time.Sleep(acceptBackoff)
	}
	return true
}

// accepted passes on a new connection. A shutdown waits for it from now on: the server
// reports a connection only some time after it has taken it.
func (f *Frontend) accepted(conn *graceful.Conn) {
	f.conns.SetState(conn, http.StateNew)
	if !f.dispatch(conn) {
		f.conns.SetState(conn, http.StateClosed)
		_ = conn.Close()
	}
}

// dispatch hands a connection to the current server. raiseHeaderCeiling may replace the
// server meanwhile; then the next one gets the connection. It returns false if the server was
// shut down and no other one replaces it.
func (f *Frontend) dispatch(conn net.Conn) bool {
	for {
		f.mu.Lock()
		current := f.current
		f.mu.Unlock()
		if current.enqueue(conn) {
			return true
		}
		f.mu.Lock()
		same := f.current == current
		f.mu.Unlock()
		if same {
			return false
		}
	}
}

const (
	// acceptBackoff is the delay after a failed accept, for example when the process is
	// out of file descriptors, and between two checks for room.
	acceptBackoff = 20 * time.Millisecond
	// minWaitAtLimit is how long a connection may wait for a request while the limit is reached.
	minWaitAtLimit = time.Second
	// warningInterval is the least time between two warnings that connections cannot be accepted.
	warningInterval = 10 * time.Second
	// A stopping frontend accepts connections until none has arrived for backlogTime, at
	// most for maxBacklogTime. The kernel has established those in the backlog, and closing
	// the listener would reset them.
	backlogTime    = 100 * time.Millisecond
	maxBacklogTime = 500 * time.Millisecond
)

// StopAccepting accepts the connections in the backlog, closes the listener and waits
// until Run has returned. Open connections are still served. It fails if the listener is
// already closed. Run must have been called.
func (f *Frontend) StopAccepting() error {
	f.stopAt.Store(time.Now().Add(maxBacklogTime).UnixNano())
	if err := f.extendBacklogTime(); err != nil {
		return err
	}
	<-f.stopped
	return nil
}

// extendBacklogTime makes Run end backlogTime from now if the frontend is stopping.
func (f *Frontend) extendBacklogTime() error {
	stopAt := f.stopAt.Load()
	if stopAt == 0 {
		return nil
	}
	deadline := time.Now().Add(backlogTime)
	if last := time.Unix(0, stopAt); deadline.After(last) {
		deadline = last
	}
	return f.listener.SetDeadline(deadline)
}

// Shutdown waits until all requests in progress have ended and closes connections when
// they are idle. If ctx ends first, it closes the rest and returns the error of ctx. Shortly before
// the end of the gate's drain it leaves as much as possible of the responses to the kernel.
func (f *Frontend) Shutdown(ctx context.Context) error {
	defer f.closeConns()
	defer context.AfterFunc(f.gate.drainEnds, func() {
		if err := f.conns.RaiseSendBuffers(); err != nil {
			f.log.Debug("enlarging send buffers failed", "error", err)
		}
	})()
	return f.conns.Drain(ctx)
}

func (f *Frontend) closeConns() {
	if err := f.conns.Close(); err != nil {
		f.log.Debug("closing the callers' connections failed", "error", err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current.close()
}

// connQueue is a net.Listener whose connections come from enqueue.
type connQueue struct {
	address net.Addr
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

func newConnQueue(address net.Addr) *connQueue {
	return &connQueue{address: address, conns: make(chan net.Conn), done: make(chan struct{})}
}

// enqueue waits until the connection is accepted. It returns false after close.
func (q *connQueue) enqueue(conn net.Conn) bool {
	select {
	case q.conns <- conn:
		return true
	case <-q.done:
		return false
	}
}

func (q *connQueue) close() { q.once.Do(func() { close(q.done) }) }

// Accept implements net.Listener.
func (q *connQueue) Accept() (net.Conn, error) {
	select {
	case conn := <-q.conns:
		return conn, nil
	case <-q.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (q *connQueue) Close() error {
	q.close()
	return nil
}

// Addr implements net.Listener.
func (q *connQueue) Addr() net.Addr { return q.address }
