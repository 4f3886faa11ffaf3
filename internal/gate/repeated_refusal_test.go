package gate

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonworks/monsoonworks/internal/fleet"
)

// refusalBackoff is longer than a server that refused a request is avoided.
const refusalBackoff = 150 * time.Millisecond

// useFirstServer removes the other servers from the table.
func (f *fixture) useFirstServer() {
	f.table.Apply([]fleet.Entry{{ID: "svcs0", Service: "svc", Address: f.servers[0].listener.Addr().String(), Domain: "d0", Slots: 4, Revision: 2}})
}

// assertNotRefused fails if the caller was told that a request that ran did not run.
func (f *fixture) assertNotRefused(got callResult) {
	f.c.Helper()
	if got.status == http.StatusOK {
		f.c.Check(got.body, qt.Equals, "own")
		return
	}
	f.c.Check(got.status == 502 || got.status == 504, qt.IsTrue, qt.Commentf("%d %q", got.status, got.body))
	f.c.Check(got.body, qt.Contains, "unknown")
}

// A refusal that a server sends once more on a kept connection must not be taken for the response
// to the next request, which the server runs.
func TestRepeatedRefusalOnKeptConnection(t *testing.T) {
	for _, status := range []int{400, 408, 421, 429, 503} {
		for name, header := range map[string]string{
			"ID": "Id: id-1\r\nNot-Run: 1\r\n", "no ID": "Not-Run: 1\r\n", "ID, Retry-After": "Id: id-1\r\nNot-Run: 1\r\nRetry-After: 0.1\r\n",
			"no ID, Retry-After": "Not-Run: 1\r\nRetry-After: 0.1\r\n", "no header": "", "ID, no not-run header": "Id: id-1\r\n", "empty ID": "Id: \r\nNot-Run: 1\r\n",
			"stamp": "Id: id-1\r\nStamp: s\r\nNot-Run: 1\r\n", "close": "Id: id-1\r\nNot-Run: 1\r\nConnection: close\r\n",
		} {
			t.Run(fmt.Sprint(status, " ", name), func(t *testing.T) {
				t.Parallel()
				refusal := fmt.Sprintf("HTTP/1.1 %d X\r\n%sContent-Length: 4\r\n\r\nbusy", status, header)
				f := newFixture(t, func(n int, r *http.Request, conn net.Conn) bool {
					if n == 0 {
						return respond(conn, r, 503, "", "Not-Run: 1")
					}
					return writeRaw(conn, refusal) && respond(conn, r, 200, "own")
				}, respondOK)
				f.useFirstServer()
				f.c.Assert(f.request("POST", "/unsafe/").status, qt.Equals, 503)
				f.assertNotRefused(f.request("POST", "/unsafe/", "Id", "id-2"))
				f.c.Assert(len(f.servers[0].received()), qt.Equals, 2)
				f.c.Assert(len(f.servers[1].received()), qt.Equals, 0)
			})
		}
	}
}

// The same holds if the copy has no length, arrives in several packets, several times, or before
// the rest of the request's body.
func TestRepeatedRefusalInParts(t *testing.T) {
	const (
		refusal = "HTTP/1.1 503 X\r\nId: id-1\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nbusy"
		chunked = "HTTP/1.1 503 X\r\nId: id-1\r\nNot-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbusy\r\n0\r\n\r\n"
	)
	for name, parts := range map[string][]string{
		"two packets":   {refusal[:20], refusal[20:]},
		"body late":     {refusal[:len(refusal)-4], "bu", "sy"},
		"with response": {refusal + "HTTP/1.1 200 OK\r\nId: id-2\r\nStamp: s\r\nContent-Length: 3\r\n\r\nown"},
		"in chunks":     {chunked[:len(chunked)-9], chunked[len(chunked)-9:]},
		"twice":         {refusal, refusal},
		"five times":    {refusal, refusal, refusal, refusal, refusal},
		"no length":     {"HTTP/1.1 503 X\r\nId: id-1\r\nNot-Run: 1\r\n\r\nbusy"},
		"head only":     {refusal[:len(refusal)-4]},
		"informational": {"HTTP/1.1 100 Continue\r\n\r\n", refusal},
	} {
		for _, size := range []int{10, 200 << 10} {
			t.Run(fmt.Sprint(name, " ", size), func(t *testing.T) {
				t.Parallel()
				f := newFixture(t, respondOK, respondOK)
				var mu sync.Mutex
				ran := 0
				address := serveRaw(t, func(conn net.Conn, reader *bufio.Reader) {
					for n := 0; ; n++ {
						r, err := http.ReadRequest(reader)
						if err != nil {
							return
						}
						if n > 0 { // before the body is read
							for _, part := range parts {
								writeRaw(conn, part)
								time.Sleep(20 * time.Millisecond)
							}
						}
						if _, err := io.Copy(io.Discard, r.Body); err != nil {
							return
						}
						if n == 0 {
							respond(conn, r, 503, "", "Not-Run: 1")
							continue
						}
						mu.Lock()
						ran++
						mu.Unlock()
						respond(conn, r, 200, "own")
					}
				})
				f.table.Apply([]fleet.Entry{{ID: "svcraw", Service: "svc", Address: address, Domain: "d0", Slots: 4, Revision: 2}})
				f.c.Assert(f.request("POST", "/unsafe/").status, qt.Equals, 503)
				f.table.Apply([]fleet.Entry{
					{ID: "svcraw", Service: "svc", Address: address, Domain: "d0", Slots: 4, Revision: 2},
					{ID: "svcs1", Service: "svc", Address: f.servers[1].listener.Addr().String(), Domain: "d9", Slots: 4, Revision: 2},
				})
				time.Sleep(refusalBackoff)
				f.assertNotRefused(f.requestBody("POST", "/unsafe/", strings.Repeat("b", size), "Id", "id-2"))
				f.c.Check(len(f.servers[1].received()), qt.Equals, 0)
				mu.Lock()
				defer mu.Unlock()
				f.c.Check(ran <= 1, qt.IsTrue)
			})
		}
	}
}

// A request that a server refused must not be sent on the same connection again, where a second
// copy of the refusal has its ID: under two entries of the address, the server ran it the second
// time.
func TestRepeatedRefusalOfSameRequest(t *testing.T) {
	const refusal = "HTTP/1.1 503 X\r\nId: id-1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	var mu sync.Mutex
	ran := 0
	address := serveRaw(t, func(conn net.Conn, reader *bufio.Reader) {
		for n := 0; ; n++ {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			mu.Lock()
			first := r.Header.Get("Instance") == "svcold"
			if !first {
				ran++
			}
			mu.Unlock()
			if first {
				writeRaw(conn, refusal)
				continue
			}
			if n > 0 {
				writeRaw(conn, refusal)
			}
			respond(conn, r, 200, "own")
		}
	})
	f := newFixture(t)
	f.table.Apply([]fleet.Entry{
		{ID: "svcold", Service: "svc", Address: address, Domain: "d0", Slots: 4, Revision: 2},
		{ID: "svcnew", Service: "svc", Address: address, Domain: "d9", Slots: 4, Revision: 2},
	})
	f.assertNotRefused(f.requestBody("GET", "/unsafe/", ""))
	mu.Lock()
	defer mu.Unlock()
	f.c.Assert(ran, qt.Equals, 1)
}

// On a new connection a refusal may omit the ID. Its connection must not be kept: a second copy
// could not be told from the response to the next request.
func TestRefusalWithoutIDEndsConnection(t *testing.T) {
	for _, status := range []int{400, 421, 429, 503} {
		var connections atomic.Int32
		address := serveRaw(t, func(conn net.Conn, reader *bufio.Reader) {
			first := connections.Add(1) == 1
			for {
				r, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				if first {
					writeRaw(conn, fmt.Sprintf("HTTP/1.1 %d X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", status))
					continue
				}
				respond(conn, r, 200, "own")
			}
		})
		f := newFixture(t)
		for n, id := range []string{"svca", "svcb"} { // a server that answered 421 gets no other request
			f.table.Apply([]fleet.Entry{{ID: id, Service: "svc", Address: address, Domain: "d0", Slots: 4, Revision: int64(n + 2)}})
			got := f.requestBody("GET", "/unsafe/", "")
			f.c.Check(got.status == 200, qt.Equals, n == 1, qt.Commentf("%d", got.status))
		}
		f.c.Check(connections.Load(), qt.Equals, int32(2))
	}
}

// serveRaw accepts connections and serves each with handler.
func serveRaw(t testing.TB, handler func(conn net.Conn, reader *bufio.Reader)) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				handler(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return listener.Addr().String()
}
