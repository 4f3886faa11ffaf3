package gate

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"github.com/monsoonworks/monsoonworks/internal/catalog"
	"github.com/monsoonworks/monsoonworks/internal/fleet"
	"github.com/monsoonworks/monsoonworks/internal/placement"
	"github.com/monsoonworks/monsoonworks/internal/prepaid"
	"github.com/monsoonworks/monsoonworks/internal/upstream"
)

// testProtocol is a protocol of its own, so that these tests know no platform's
// names.
type testProtocol struct{}

func (testProtocol) ParseRequest(h http.Header) (RequestInfo, error) {
	call := RequestInfo{ID: h.Get("Id"), Key: h.Get("Key"), LastEventID: h.Get("Last-Event")}
	if text := h.Get("Deadline"); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil {
			return call, errors.New("deadline")
		}
		call.Timeout = d
	}
	if h.Get("Tokens") != "" {
		call.Metered, call.PromptTokens, call.MaxOutputTokens = true, 100, 50
	}
	return call, nil
}

func (testProtocol) ForwardHeader(caller http.Header, s ForwardInfo) http.Header {
	h := caller.Clone()
	h.Del("Key")
	h.Set("Instance", s.Instance)
	h.Set("Workspace", s.Workspace)
	h.Set("Left", s.Timeout.String())
	h.Set("User-Agent", "")
	if s.LastEventID != "" {
		h.Set("Last-Event", s.LastEventID)
	}
	return h
}

func (testProtocol) ParseResponse(h http.Header) ResponseInfo {
	return ResponseInfo{ID: h.Get("Id"), Stamped: h.Get("Stamp") != "", NotRun: h.Get("Not-Run") != "", Encoded: h.Get("Content-Encoding") != ""}
}

func (testProtocol) CopyResponseHeader(dst, answer http.Header) {
	for _, name := range []string{"Id", "Stamp", "Content-Type"} {
		if value := answer.Get(name); value != "" {
			dst.Set(name, value)
		}
	}
}

// budgets is a budget without a store.
type budgets struct {
	mu     sync.Mutex
	refuse error
}

func (b *budgets) Reserve(context.Context, prepaid.ReservationRequest) (prepaid.Reservation, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return nil, b.refuse
}

// calm is a host that is never crowded.
type calm struct{}

func (calm) Overloaded() bool { return false }

// script is what a backend server does with the n-th request that it gets, on the
// connection that carries it. It returns false to close the connection.
type script func(n int, r *http.Request, conn net.Conn) bool

// server is a backend server that follows a script, byte by byte.
type server struct {
	id       string
	listener net.Listener
	script   script

	mu       sync.Mutex
	requests []*http.Request
	bodies   []string
}

func (s *server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.requests = append(s.requests, r)
		s.bodies = append(s.bodies, string(body))
		n := len(s.requests) - 1
		s.mu.Unlock()
		if !s.script(n, r, conn) {
			return
		}
	}
}

// ran returns the requests that the server got.
func (s *server) ran() []*http.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*http.Request(nil), s.requests...)
}

// world is a gate over loopback with backend servers.
type world struct {
	c       *qt.C
	gate    *Gate
	table   *fleet.Table
	budgets *budgets
	servers []*server
	front   *Frontend
	url     string
	client  *http.Client
}

// route kinds of the test's configuration: the path says which.
func testRoutes() []catalog.Route {
	target := []catalog.Target{{Service: "svc", Weight: 1}}
	models := []catalog.Target{{Service: "llm", Weight: 1}}
	return []catalog.Route{
		{Name: "safe", Host: "h", PathPrefix: "/safe/", Kind: catalog.Safe, MaxAttempts: 2, Timeout: 600 * time.Millisecond, LatencyObjective: 200 * time.Millisecond, Targets: target},
		{Name: "unsafe", Host: "h", PathPrefix: "/unsafe/", Kind: catalog.Unsafe, MaxAttempts: 2, Timeout: 600 * time.Millisecond, LatencyObjective: 200 * time.Millisecond, Targets: target},
		{Name: "once", Host: "h", PathPrefix: "/unsafe/once/", Kind: catalog.Unsafe, MaxAttempts: 1, Timeout: 600 * time.Millisecond, Targets: target},
		{Name: "open", Host: "h", PathPrefix: "/open/", Kind: catalog.Safe, MaxAttempts: 1, Timeout: time.Second, Targets: target, Anonymous: true},
		{Name: "stream", Host: "h", PathPrefix: "/stream/", Kind: catalog.Stream, MaxAttempts: 1, Timeout: 2 * time.Second, Targets: models},
		{Name: "resume", Host: "h", PathPrefix: "/resume/", Kind: catalog.Stream, MaxAttempts: 2, Resumable: true, Timeout: 2 * time.Second, LatencyObjective: 300 * time.Millisecond, MaxEventGap: 100 * time.Millisecond, Targets: models},
	}
}

func testCatalog(version int64, routes []catalog.Route) *catalog.Catalog {
	return catalog.New(catalog.Spec{
		Version: version, Routes: routes,
		Limits:     catalog.Limits{MaxHeaderBytes: 8 << 10, MaxBodyBytes: 1 << 20, HeaderTimeout: time.Second, IdleTimeout: 5 * time.Second},
		Services:   []catalog.Service{{Name: "svc"}, {Name: "llm", Engine: &catalog.Engine{Slots: 4, MaxTokensPerEvent: 3}}},
		Workspaces: []catalog.KeyedWorkspace{{Workspace: catalog.Workspace{Name: "ws", Metered: true, PrepaidTokens: 1000}, Keys: []string{"k"}}},
	})
}

func newWorld(t testing.TB, scripts ...script) *world {
	c := qt.New(t)
	w := &world{c: c, table: fleet.NewTable(), budgets: &budgets{}, client: &http.Client{Transport: &http.Transport{}}}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	registry := metrics.NewRegistry()
	w.gate = New(Options{
		Domain: "d0", Region: "r", Regions: map[string]string{"d0": "r"}, Servers: w.table, Budgets: w.budgets,
		Pool: upstream.NewPool(nil, registry), Protocol: testProtocol{}, Policy: placement.DefaultPolicy(),
		RetryPercent: 50, MinRetries: 20, MaxBufferedBodyBytes: 1 << 20, Overload: calm{}, Log: log, Metrics: registry,
	})
	w.gate.SetCatalog(testCatalog(1, testRoutes()))
	var entries []fleet.Entry
	for i, s := range scripts {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		b := &server{id: fmt.Sprintf("s%d", i), listener: listener, script: s}
		w.servers = append(w.servers, b)
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go b.serve(conn)
			}
		}()
		t.Cleanup(func() { _ = listener.Close() })
		for _, service := range []string{"svc", "llm"} {
			entries = append(entries, fleet.Entry{
				ID: service + b.id, Service: service, Address: listener.Addr().String(), Domain: fmt.Sprintf("d%d", i), Slots: 4, Revision: 1,
			})
		}
	}
	w.table.Apply(entries)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	w.front = NewFrontend(w.gate, listener, func(conn net.Conn) net.Conn { return conn }, log)
	go func() { _ = w.front.Run() }()
	t.Cleanup(func() {
		_ = w.front.StopAccepting()
		w.client.CloseIdleConnections()
	})
	w.url = "http://" + listener.Addr().String()
	return w
}

// result is what a caller got.
type result struct {
	status int
	header http.Header
	body   string
	err    error // of the answer's body
	after  time.Duration
}

// do makes a request with a new id.
func (w *world) do(method, path string, header ...string) result {
	w.c.Helper()
	r, err := http.NewRequest(method, w.url+path, strings.NewReader("the body"))
	w.c.Assert(err, qt.IsNil)
	r.Host = "h"
	r.Header.Set("Id", "id-1")
	r.Header.Set("Key", "k")
	r.Header.Set("Tokens", "1")
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	began := time.Now()
	response, err := w.client.Do(r)
	if err != nil {
		return result{err: err, after: time.Since(began)}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return result{status: response.StatusCode, header: response.Header, body: string(body), err: err, after: time.Since(began)}
}

// answer writes a whole answer of the server.
func answer(conn net.Conn, r *http.Request, status int, body string, header ...string) bool {
	return raw(conn, fmt.Sprintf("HTTP/1.1 %d X\r\nId: %s\r\nStamp: s\r\nContent-Length: %d\r\n%s\r\n%s",
		status, r.Header.Get("Id"), len(body), strings.Join(append(header, ""), "\r\n"), body))
}

func raw(conn net.Conn, text string) bool {
	_, err := io.WriteString(conn, text)
	return err == nil
}

// ok answers every request.
func ok(_ int, r *http.Request, conn net.Conn) bool { return answer(conn, r, 200, "fine") }

// shed refuses every request.
func shed(_ int, r *http.Request, conn net.Conn) bool { return answer(conn, r, 503, "", "Not-Run: 1") }

// reset closes the connection under every request.
func reset(_ int, _ *http.Request, conn net.Conn) bool {
	_ = conn.(*net.TCPConn).SetLinger(0) // the test's connections are TCP
	return false
}

// stream begins an answer of events.
func streamHead(conn net.Conn, r *http.Request) bool {
	return raw(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id")))
}

// chunk writes a chunk of a stream.
func chunk(conn net.Conn, text string) bool {
	return raw(conn, fmt.Sprintf("%x\r\n%s\r\n", len(text), text))
}

func event(id int) string { return fmt.Sprintf("id: %d\ndata: e%d\n\n", id, id) }
