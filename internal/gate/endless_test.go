package gate

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// filler is what endless peers send again and again.
var filler = strings.Repeat("x", 16<<10)

// endless returns a script that writes a start and then a part until the gate closes the
// connection or a minute has passed. ID in the start is replaced by the request's ID.
func endless(start, part string) script {
	repeated := []byte(part) // io.WriteString would copy it for each write
	return func(_ int, r *http.Request, conn net.Conn) bool {
		_ = conn.SetWriteDeadline(time.Now().Add(time.Minute))
		if !writeRaw(conn, strings.ReplaceAll(start, "ID", r.Header.Get("Id"))) {
			return false
		}
		for {
			if _, err := conn.Write(repeated); err != nil {
				return false
			}
		}
	}
}

const okHead = "HTTP/1.1 200 OK\r\nId: ID\r\nStamp: s\r\n"

// endlessPeers are servers that send bytes without end. complete tells whether the caller
// gets a complete response before them.
var endlessPeers = map[string]struct {
	method, path string
	script       script
	complete     bool
}{
	"status line":     {"POST", "/unsafe/once/", endless("HTTP/1.1 200 ", filler), false},
	"header line":     {"POST", "/unsafe/once/", endless(okHead+"Long: ", filler), false},
	"headers":         {"POST", "/unsafe/once/", endless(okHead, strings.Repeat("A: b\r\n", 1000)), false},
	"informational":   {"POST", "/unsafe/once/", endless("", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 100)), false},
	"no HTTP":         {"POST", "/unsafe/once/", endless("", filler), false},
	"body of HEAD":    {"HEAD", "/unsafe/once/", endless(okHead+"\r\n", filler), true},
	"body of 204":     {"POST", "/unsafe/once/", endless("HTTP/1.1 204 X\r\nId: ID\r\nStamp: s\r\n\r\n", filler), true},
	"body":            {"POST", "/unsafe/once/", endless(okHead+"\r\n", filler), false},
	"chunks":          {"POST", "/unsafe/once/", endless(okHead+"Transfer-Encoding: chunked\r\n\r\n", "4000\r\n"+filler+"\r\n"), false},
	"chunk extension": {"POST", "/unsafe/once/", endless(okHead+"Transfer-Encoding: chunked\r\n\r\n4;", filler), false},
	"extensions":      {"POST", "/unsafe/once/", endless(okHead+"Transfer-Encoding: chunked\r\n\r\n", "1;"+filler[:2000]+"\r\nx\r\n"), false},
	"trailers":        {"POST", "/unsafe/once/", endless(okHead+"Transfer-Encoding: chunked\r\n\r\n0\r\n", strings.Repeat("A: b\r\n", 1000)), false},
	"event":           {"POST", "/stream/", endless(okHead+"\r\ndata: ", filler), false},
	"lines of event":  {"POST", "/stream/", endless(okHead+"\r\n", "data: "+filler+"\n"), false},
	"after response":  {"POST", "/unsafe/once/", endless(okHead+"Content-Length: 2\r\n\r\nok", filler), true},
	"refusal":         {"POST", "/unsafe/once/", endless("HTTP/1.1 503 X\r\nId: ID\r\nNot-Run: 1\r\n\r\n", filler), false},
}

// A server that sends bytes without end must not keep the gate reading: the connection is
// closed, the server counts as failing, and the caller learns within the route's timeout
// whether the request may have run.
func TestEndlessServer(t *testing.T) {
	for name, peer := range endlessPeers {
		t.Run(name, func(t *testing.T) {
			ended := make(chan struct{})
			f := newFixture(t, func(n int, r *http.Request, conn net.Conn) bool {
				defer close(ended)
				return peer.script(n, r, conn)
			})
			got := f.request(peer.method, peer.path)
			f.c.Assert(got.elapsed < 2500*time.Millisecond, qt.IsTrue)
			switch {
			case peer.complete:
				f.c.Assert(got.err, qt.IsNil)
				f.c.Assert(got.status/100, qt.Equals, 2)
				f.c.Assert(len(got.body) <= 2, qt.IsTrue)
			case name == "refusal":
				f.c.Assert(got.status, qt.Equals, 503)
			default:
				f.c.Assert(got.status, qt.Equals, 502)
				f.c.Assert(got.body, qt.Contains, "unknown")
			}
			deadline := time.After(3 * time.Second)
			for open := true; open; {
				f.gate.opts.Pool.CloseExpired()
				select {
				case <-ended:
					open = false
				case <-time.After(20 * time.Millisecond):
				case <-deadline:
					t.Fatal("the connection is still open")
				}
			}
			f.c.Assert(f.gate.memory.used.Load(), qt.Equals, int64(0))
		})
	}
}

// A stream whose events or comments never end must be broken off before its deadline: its tokens
// would exceed what was reserved for them, or its caller would wait in vain.
func TestEndlessStream(t *testing.T) {
	for name, part := range map[string]string{
		"events":   strings.Repeat("data: x\n\n", 10),
		"comments": strings.Repeat(": wait\n\n", 1000),
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, endless(okHead+"Content-Type: text/event-stream\r\n\r\n"+formatEvents(1, 2), part))
			got := f.request("POST", "/stream/")
			f.c.Assert(got.err != nil || got.status == 502, qt.IsTrue)
			f.c.Assert(got.elapsed < time.Second, qt.IsTrue, qt.Commentf("%v", got.elapsed))
			f.c.Assert(strings.Count(got.body, "data") <= 51, qt.IsTrue)
			f.c.Assert(len(got.body) <= maxCommentBytes+2*streamBufferBytes, qt.IsTrue, qt.Commentf("%d bytes", len(got.body)))
		})
	}
}

const (
	// endlessPeerCount is the number of endless peers at a time.
	endlessPeerCount = 100
	// maxEndlessHeap is a third of the memory of the smallest host, which has 184 MB.
	maxEndlessHeap = 60 << 20
)

// peakHeap runs f and returns by how much the heap grew at most meanwhile.
func peakHeap(f func()) int64 {
	var stop atomic.Bool
	var peak int64
	var sampler sync.WaitGroup
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	before := int64(m.HeapInuse)
	sampler.Go(func() {
		for !stop.Load() {
			runtime.ReadMemStats(&m)
			peak = max(peak, int64(m.HeapInuse)-before)
			time.Sleep(2 * time.Millisecond)
		}
	})
	f()
	stop.Store(true)
	sampler.Wait()
	return peak
}

// With a hundred endless servers at once the gate's memory must stay within a bound.
func TestEndlessServersMemory(t *testing.T) {
	for name, peer := range endlessPeers {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, peer.script)
			f.gate.memory.limit = 184 << 20 / 16 // as on the smallest host
			peak := peakHeap(func() {
				var callers sync.WaitGroup
				for range endlessPeerCount {
					callers.Go(func() { f.request(peer.method, peer.path) })
				}
				callers.Wait()
			})
			t.Logf("heap grew by %.1f MB", float64(peak)/1e6)
			f.c.Assert(peak < maxEndlessHeap, qt.IsTrue, qt.Commentf("the heap grew by %d bytes", peak))
		})
	}
}

// Callers that upload slowly, with or without a declared length, must not take more memory
// than the limit, and what they took must be given back.
func TestUploadsReserveMemory(t *testing.T) {
	f := newFixture(t, respondOK)
	f.gate.memory.limit = 1 << 20
	const size = 256 << 10
	f.c.Assert(f.request("POST", "/safe/").status, qt.Equals, 200)
	head := "POST /unsafe/ HTTP/1.1\r\nHost: h\r\nId: up\r\nKey: k\r\n"
	var conns []net.Conn
	for n := range 40 {
		conn, err := net.Dial("tcp", f.frontend.listener.Addr().String())
		f.c.Assert(err, qt.IsNil)
		if n%2 == 0 {
			writeRaw(conn, head+fmt.Sprintf("Content-Length: %d\r\n\r\n", size+1))
			writeRaw(conn, strings.Repeat("u", size))
		} else {
			writeRaw(conn, head+"Transfer-Encoding: chunked\r\n\r\n")
			writeChunk(conn, strings.Repeat("u", size))
		}
		conns = append(conns, conn)
	}
	refused := 0
	for _, conn := range conns {
		_ = conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		text, _ := io.ReadAll(conn) // the connection of a refused upload ends, any other times out
		if strings.HasPrefix(string(text), "HTTP/1.1 503") {
			f.c.Check(string(text), qt.Contains, "Retry-After")
			refused++
		}
	}
	f.c.Check(refused >= 36, qt.IsTrue, qt.Commentf("%d uploads refused", refused))
	f.c.Check(f.gate.memory.used.Load() <= f.gate.memory.limit, qt.IsTrue)
	// A small body still passes.
	f.c.Check(f.request("POST", "/safe/").status, qt.Equals, 200)
	for _, conn := range conns {
		_ = conn.Close()
	}
	deadline := time.Now().Add(3 * time.Second)
	for f.gate.memory.used.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(10 * time.Millisecond)
	}
	f.c.Assert(f.gate.memory.used.Load(), qt.Equals, int64(0))
}

// A response body over the limit must not be relayed as if it were complete.
func TestLargeResponseNotCut(t *testing.T) {
	f := newFixture(t, func(_ int, r *http.Request, conn net.Conn) bool {
		return respond(conn, r, 200, strings.Repeat("x", maxResponseBytes+1))
	})
	f.gate.memory.limit = 1 << 30
	got := f.request("POST", "/open/")
	f.c.Assert(got.status, qt.Equals, 502)
}

// A body without a declared length needs a limit even if the configuration sets none.
func TestBodyWithoutLimit(t *testing.T) {
	f := newFixture(t, respondOK)
	cat := testCatalog(2, testRoutes())
	cat.Limits.MaxBodyBytes = 0
	f.gate.SetCatalog(cat)
	f.gate.memory.limit = 1 << 30
	r, err := http.NewRequest("POST", f.url+"/safe/", io.LimitReader(zeros{}, defaultMaxBodyBytes+1))
	f.c.Assert(err, qt.IsNil)
	r.Host, r.Header = "h", http.Header{"Id": {"a"}, "Key": {"k"}}
	response, err := f.client.Do(r)
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(response.StatusCode, qt.Equals, 413)
	f.c.Assert(response.Body.Close(), qt.IsNil)
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }
