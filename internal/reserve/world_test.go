package reserve

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/rpc"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/monsoonworks/monsoonworks/internal/prepaid"
	"github.com/monsoonworks/monsoonworks/internal/store/lossystore"
	"github.com/monsoonworks/monsoonworks/internal/store/memstore"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
)

var (
	errRefused = errors.New("connection refused")
	quiet      = slog.New(slog.NewTextHandler(io.Discard, nil))
)

// testClock is a host's clock over the bubble's time.
type testClock struct {
	boot string
	base time.Time
}

func (c *testClock) Now() prepaid.Instant {
	return prepaid.Instant{Boot: c.boot, Millis: time.Since(c.base).Milliseconds()}
}

// machine is a host with a book, of a gate or of a holder.
type machine struct {
	name  string
	clock *testClock
	store *lossystore.Store
	book  *prepaid.Manager
	boots int
	stop  context.CancelFunc
}

func (m *machine) boot(t *testing.T) context.Context {
	m.boots++
	ctx, cancel := context.WithCancel(t.Context())
	m.stop = cancel
	book := prepaid.NewManager(prepaid.Options{
		QuotaServer: prepaid.QuotaServerName(m.name, fmt.Sprint(m.boots)), Prefix: "a/", Clock: m.clock, Store: m.store,
		Policy: prepaid.DefaultPolicy(), Log: quiet, Metrics: metrics.NewRegistry(),
	})
	m.book = book
	go func() { _ = book.Run(ctx) }()
	return ctx
}

// holder is a machine that holds budgets. Its connections are pipes.
type holder struct {
	machine
	server *Server
	rpc    *rpc.Server

	mu    sync.Mutex
	conns []net.Conn
	// silent holders read nothing that comes on new connections, dead ones refuse.
	silent, dead bool
}

func (h *holder) start(t *testing.T) {
	ctx := h.boot(t)
	server, calls := NewServer(ctx, h.book, metrics.NewRegistry(), quiet), rpc.NewServer()
	if err := calls.RegisterName(ServiceName, server); err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Run(ctx) }()
	h.mu.Lock()
	h.server, h.rpc, h.dead = server, calls, false
	h.mu.Unlock()
}

// kill ends the process and its connections.
func (h *holder) kill() {
	h.stop()
	h.mu.Lock()
	h.dead = true
	h.mu.Unlock()
	h.reset()
}

// reset closes the connections.
func (h *holder) reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, conn := range h.conns {
		_ = conn.Close()
	}
	h.conns = nil
}

func (h *holder) setSilent(silent bool) {
	h.mu.Lock()
	h.silent = silent
	h.mu.Unlock()
	h.reset()
}

func (h *holder) connect() (net.Conn, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.dead {
		return nil, errRefused
	}
	near, far := net.Pipe()
	h.conns = append(h.conns, far)
	if h.silent {
		go func() { _, _ = io.Copy(io.Discard, far) }() // ends with the connection
	} else {
		go h.rpc.ServeConn(far)
	}
	return near, nil
}

// gateway is a machine with a gate's client.
type gateway struct {
	machine
	client *Client
}

func (g *gateway) start(t *testing.T, w *world) {
	ctx := g.boot(t)
	client := NewClient(Options{
		Gate: g.book.QuotaServer(), QuotaServers: w.addresses, Dial: w.dial, Fallback: g.book, Log: quiet, Metrics: metrics.NewRegistry(),
	})
	g.client = client
	go func() { _ = client.Run(ctx) }()
}

// world is a deployment with one workspace, and what its callers got.
type world struct {
	t       *testing.T
	random  *rand.Rand
	gates   []*gateway
	holders []*holder

	mu       sync.Mutex
	paid     prepaid.Tokens
	version  int64
	consumed prepaid.Tokens
	refused  int
	left     int // callers that left before the decision
	slowest  time.Duration
}

func newWorld(t *testing.T, seed uint64, gates, holders int, paid prepaid.Tokens) *world {
	w := &world{t: t, random: rand.New(rand.NewPCG(seed, 1)), paid: paid}
	mem := memstore.New(memstore.Options{})
	newMachine := func(name string, i int) machine {
		return machine{
			name: name, clock: &testClock{boot: "b", base: time.Now().Add(-time.Hour)},
			store: lossystore.New(mem, seed, uint64(i)+2),
		}
	}
	for i := range holders {
		h := &holder{machine: newMachine(fmt.Sprintf("h%d", i), i)}
		w.holders = append(w.holders, h)
		h.start(t)
	}
	for i := range gates {
		g := &gateway{machine: newMachine(fmt.Sprintf("g%d", i), holders+i)}
		w.gates = append(w.gates, g)
		g.start(t, w)
	}
	return w
}

func (w *world) addresses() []string {
	addresses := make([]string, len(w.holders))
	for i, h := range w.holders {
		addresses[i] = h.name
	}
	return addresses
}

func (w *world) dial(_ context.Context, _, address string) (net.Conn, error) {
	for _, h := range w.holders {
		if h.name == address {
			return h.connect()
		}
	}
	return nil, errRefused
}

// first returns the workspace's first holder.
func (w *world) first() *holder {
	name := order("ws", w.addresses(), 1)[0]
	for _, h := range w.holders {
		if h.name == name {
			return h
		}
	}
	return nil
}

func (w *world) claim(bound prepaid.Tokens) prepaid.ReservationRequest {
	w.mu.Lock()
	defer w.mu.Unlock()
	return prepaid.ReservationRequest{Workspace: "ws", Paid: w.paid, Version: w.version, Bound: bound}
}

func (w *world) topUp(tokens prepaid.Tokens) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.paid += tokens
	w.version++
}

// totals returns what was consumed, how many requests were refused, and the longest
// time that a decision took.
func (w *world) totals() (consumed prepaid.Tokens, refused int, slowest time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.consumed, w.refused, w.slowest
}

func (w *world) deliver(tokens prepaid.Tokens) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.consumed += tokens
	if w.consumed > w.paid {
		w.t.Errorf("%d tokens consumed of %d paid", w.consumed, w.paid)
	}
}

// request makes a request at a random gate. What it consumes is delivered even if its
// gate or holder ends meanwhile: the caller has it. Some callers leave early.
func (w *world) request() {
	client := w.gates[w.random.IntN(len(w.gates))].client
	bound := prepaid.Tokens(500 + w.random.IntN(6000))
	used := bound * prepaid.Tokens(30+w.random.IntN(71)) / 100
	length := time.Duration(w.random.IntN(400)) * time.Millisecond
	ctx, cancel := context.WithCancel(w.t.Context())
	if w.random.IntN(20) == 0 {
		ctx, cancel = context.WithTimeout(w.t.Context(), time.Duration(w.random.IntN(30))*time.Millisecond)
	}
	go func() {
		defer cancel()
		began := time.Now()
		r, err := client.Reserve(ctx, w.claim(bound))
		w.mu.Lock()
		w.slowest = max(w.slowest, time.Since(began))
		if err != nil && verdict.CodeOf(err) == verdict.CodeCanceled {
			w.left++
		} else if err != nil {
			w.refused++
		}
		w.mu.Unlock()
		if err != nil {
			return
		}
		w.deliver(used)
		time.Sleep(length)
		r.Settle(used)
		r.Settle(used) // changes nothing
	}()
}

func (w *world) end() {
	for _, g := range w.gates {
		g.stop()
	}
	for _, h := range w.holders {
		h.kill()
	}
	time.Sleep(4 * time.Second)
}
