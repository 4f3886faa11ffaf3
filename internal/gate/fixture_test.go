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
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"github.com/monsoonworks/monsoonworks/internal/catalog"
	"github.com/monsoonworks/monsoonworks/internal/fleet"
	"github.com/monsoonworks/monsoonworks/internal/placement"
	"github.com/monsoonworks/monsoonworks/internal/prepaid"
	"github.com/monsoonworks/monsoonworks/internal/suspect"
	"github.com/monsoonworks/monsoonworks/internal/upstream"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
	"github.com/monsoonworks/monsoonworks/internal/wait"
)

// testProtocol uses its own header names, so that the tests do not depend on a
// platform's protocol.
type testProtocol struct{}

func (testProtocol) ParseRequest(h http.Header) (RequestInfo, error) {
	info := RequestInfo{ID: h.Get("Id"), Key: h.Get("Key"), LastEventID: h.Get("Last-Event")}
	if text := h.Get("Deadline"); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil {
			return info, errors.New("invalid Deadline header")
		}
		info.Timeout = d
	}
	if text := h.Get("Tokens"); text != "" {
		maxOutput, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return info, errors.New("invalid Tokens header")
		}
		info.TokensDeclared, info.PromptTokens, info.MaxOutputTokens = true, 100, maxOutput
	}
	if text := h.Get("Parts"); text != "" {
		for _, id := range strings.Split(text, ",") {
			info.Parts = append(info.Parts, placement.Part{ID: partID(id), Tokens: 10})
		}
	}
	return info, nil
}

// partID returns the ID of a part of a prompt.
func partID(name string) uint64 { return xxhash.Sum64String(name) }

func (testProtocol) ForwardHeader(caller http.Header, info ForwardInfo) http.Header {
	h := caller.Clone()
	h.Del("Key")
	h.Set("Instance", info.Instance)
	h.Set("Workspace", info.Workspace)
	h.Set("Left", info.Timeout.String())
	h.Set("User-Agent", "")
	if info.LastEventID != "" {
		h.Set("Last-Event", info.LastEventID)
	}
	return h
}

func (testProtocol) ParseResponse(h http.Header) ResponseInfo {
	return ResponseInfo{ID: h.Get("Id"), Stamped: h.Get("Stamp") != "", NotRun: h.Get("Not-Run") != "", Encoded: h.Get("Content-Encoding") != ""}
}

func (testProtocol) CopyResponseHeader(dst, response http.Header) {
	for _, name := range []string{"Id", "Stamp", "Content-Type"} {
		if value := response.Get(name); value != "" {
			dst.Set(name, value)
		}
	}
}

// fakeReserver refuses every reservation with the error refuse, after delay. If that is nil,
// requests proceed without a reservation.
type fakeReserver struct {
	mu     sync.Mutex
	refuse error
	delay  time.Duration
}

func (r *fakeReserver) Reserve(ctx context.Context, _ prepaid.ReservationRequest) (prepaid.Reservation, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !wait.Sleep(ctx, r.delay) {
		return nil, verdict.New(verdict.NotRun, verdict.CodeCanceled, "canceled")
	}
	return nil, r.refuse
}

// fakeQuarantine records reports and refuses the fingerprints in blocked.
type fakeQuarantine struct {
	mu      sync.Mutex
	blocked []uint64
	// suspected holds fingerprints with crashes that do not suffice to block them.
	suspected []uint64
	crashes   []suspect.Crash
	sound     [][]uint64
}

func (q *fakeQuarantine) Check(_ context.Context, fingerprints []uint64) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, f := range fingerprints {
		if slices.Contains(q.blocked, f) {
			return verdict.New(verdict.NotRun, verdict.CodeQuarantined, "blocked").WithRetryAfter(time.Second)
		}
	}
	return nil
}

func (q *fakeQuarantine) Suspected(fingerprints []uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.ContainsFunc(fingerprints, func(f uint64) bool { return slices.Contains(q.suspected, f) })
}

func (q *fakeQuarantine) ReportCrash(crash suspect.Crash) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.crashes = append(q.crashes, crash)
}

func (q *fakeQuarantine) ReportSound(fingerprints []uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sound = append(q.sound, fingerprints)
}

type neverOverloaded struct{}

func (neverOverloaded) Overloaded() bool { return false }

// script handles a request on its connection. n is the number of requests that the
// backend server received before it, on all connections. It returns false to close
// the connection.
type script func(n int, r *http.Request, conn net.Conn) bool

// fakeServer is a backend server that runs a script for each request.
type fakeServer struct {
	id       string
	listener net.Listener
	script   script

	mu       sync.Mutex
	requests []*http.Request
	bodies   []string
}

func (s *fakeServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if r.Header.Get("Id") == "" {
			return // of another test's process, which polls a port that was reused; a gate forwards no such request
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

// received returns the requests that the server has received.
func (s *fakeServer) received() []*http.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*http.Request(nil), s.requests...)
}

// fixture is a gate on a loopback listener with fake backend servers.
type fixture struct {
	c          *qt.C
	gate       *Gate
	table      *fleet.Table
	reserver   *fakeReserver
	quarantine *fakeQuarantine
	servers    []*fakeServer
	frontend   *Frontend
	url        string
	client     *http.Client
	logged     *logLines
}

// logLines holds what a gate has logged.
type logLines struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (l *logLines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// String returns all lines.
func (l *logLines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// testRoutes returns the routes of the fixture. Tests select a route by its path
// prefix.
func testRoutes() []catalog.Route {
	plainTargets := []catalog.Target{{Service: "svc", Weight: 1}}
	engineTargets := []catalog.Target{{Service: "llm", Weight: 1}}
	return []catalog.Route{
		{Name: "safe", Host: "h", PathPrefix: "/safe/", Kind: catalog.Idempotent, MaxAttempts: 2, Timeout: 600 * time.Millisecond, LatencyObjective: 200 * time.Millisecond, Targets: plainTargets},
		{Name: "unsafe", Host: "h", PathPrefix: "/unsafe/", Kind: catalog.NonIdempotent, MaxAttempts: 2, Timeout: 600 * time.Millisecond, LatencyObjective: 200 * time.Millisecond, Targets: plainTargets},
		{Name: "once", Host: "h", PathPrefix: "/unsafe/once/", Kind: catalog.NonIdempotent, MaxAttempts: 1, Timeout: 600 * time.Millisecond, Targets: plainTargets},
		{Name: "open", Host: "h", PathPrefix: "/open/", Kind: catalog.Idempotent, MaxAttempts: 1, Timeout: time.Second, Targets: plainTargets, Anonymous: true},
		{Name: "stream", Host: "h", PathPrefix: "/stream/", Kind: catalog.Stream, MaxAttempts: 1, Timeout: 2 * time.Second, Targets: engineTargets},
		{Name: "resume", Host: "h", PathPrefix: "/resume/", Kind: catalog.Stream, MaxAttempts: 2, Resumable: true, Timeout: 2 * time.Second, LatencyObjective: 300 * time.Millisecond, EventGapObjective: 100 * time.Millisecond, Targets: engineTargets},
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

func newFixture(t testing.TB, scripts ...script) *fixture {
	c := qt.New(t)
	f := &fixture{c: c, table: fleet.NewTable(), quarantine: &fakeQuarantine{}, reserver: &fakeReserver{}, client: &http.Client{Transport: &http.Transport{}}, logged: &logLines{}}
	log := slog.New(slog.NewTextHandler(f.logged, nil))
	registry := metrics.NewRegistry()
	f.gate = New(Options{
		Domain: "d0", Region: "r", Regions: map[string]string{"d0": "r"}, Servers: f.table, Reserver: f.reserver,
		Pool: upstream.NewPool(nil, registry), Quarantine: f.quarantine, Protocol: testProtocol{}, Policy: placement.DefaultPolicy(),
		RetryPercent: 50, MinRetries: 20, MaxBufferedBytes: 1 << 20, Overload: neverOverloaded{}, Log: log, Metrics: registry,
	})
	f.gate.SetCatalog(testCatalog(1, testRoutes()))
	var entries []fleet.Entry
	for i, s := range scripts {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		server := &fakeServer{id: fmt.Sprintf("s%d", i), listener: listener, script: s}
		f.servers = append(f.servers, server)
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go server.serve(conn)
			}
		}()
		t.Cleanup(func() { _ = listener.Close() })
		for _, service := range []string{"svc", "llm"} {
			entries = append(entries, fleet.Entry{
				ID: service + server.id, Service: service, Address: listener.Addr().String(), Domain: fmt.Sprintf("d%d", i), Slots: 4, Revision: 1,
			})
		}
	}
	f.table.Apply(entries)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	f.frontend = NewFrontend(f.gate, listener.(*net.TCPListener), func(conn net.Conn) net.Conn { return conn }, log)
	go func() { _ = f.frontend.Run() }()
	t.Cleanup(func() {
		_ = f.frontend.StopAccepting()
		f.client.CloseIdleConnections()
	})
	f.url = "http://" + listener.Addr().String()
	return f
}

// fingerprintsOf returns the fingerprints of a request that the method request sends.
func (f *fixture) fingerprintsOf(path, parts string) []uint64 {
	before := len(f.quarantine.sound)
	f.c.Assert(f.request("POST", path, "Parts", parts).status, qt.Equals, http.StatusOK)
	f.servers[0].mu.Lock()
	f.servers[0].requests = nil
	f.servers[0].mu.Unlock()
	return f.quarantine.sound[before]
}

// callResult is what a caller received.
type callResult struct {
	status  int
	header  http.Header
	body    string
	err     error // of the request, or of reading the body
	elapsed time.Duration
}

// request sends a caller's request. header holds names and values in turn, which are
// added to the default headers or replace them.
func (f *fixture) request(method, path string, header ...string) callResult {
	f.c.Helper()
	return f.requestBody(method, path, "the body", header...)
}

// requestBody is request with another body.
func (f *fixture) requestBody(method, path, body string, header ...string) callResult {
	f.c.Helper()
	r, err := http.NewRequest(method, f.url+path, strings.NewReader(body))
	f.c.Assert(err, qt.IsNil)
	r.Host, r.Header = "h", http.Header{"Id": {"id-1"}, "Key": {"k"}, "Tokens": {"50"}}
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	started := time.Now()
	response, err := f.client.Do(r)
	if err != nil {
		return callResult{err: err, elapsed: time.Since(started)}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return callResult{status: response.StatusCode, header: response.Header, body: string(text), err: err, elapsed: time.Since(started)}
}

// respond writes a complete server response. header holds further header lines, such as
// "Not-Run: 1".
func respond(conn net.Conn, r *http.Request, status int, body string, header ...string) bool {
	return writeRaw(conn, fmt.Sprintf("HTTP/1.1 %d X\r\nId: %s\r\nStamp: s\r\nContent-Length: %d\r\n%s\r\n%s",
		status, r.Header.Get("Id"), len(body), strings.Join(append(header, ""), "\r\n"), body))
}

func writeRaw(conn net.Conn, text string) bool {
	_, err := io.WriteString(conn, text)
	return err == nil
}

// respondOK responds to every request with success.
func respondOK(_ int, r *http.Request, conn net.Conn) bool { return respond(conn, r, 200, "fine") }

// shed refuses every request and confirms that it did not run.
func shed(_ int, r *http.Request, conn net.Conn) bool { return respond(conn, r, 503, "", "Not-Run: 1") }

// resetConn resets the connection on every request.
func resetConn(_ int, _ *http.Request, conn net.Conn) bool {
	_ = conn.(*net.TCPConn).SetLinger(0) // the test's connections are TCP
	return false
}

// writeEventStreamHeader writes the header of an event stream.
func writeEventStreamHeader(conn net.Conn, r *http.Request) bool {
	return writeRaw(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id")))
}

// writeChunk writes one chunk of a chunked body.
func writeChunk(conn net.Conn, text string) bool {
	return writeRaw(conn, fmt.Sprintf("%x\r\n%s\r\n", len(text), text))
}

func formatEvent(id int) string { return fmt.Sprintf("id: %d\ndata: e%d\n\n", id, id) }
