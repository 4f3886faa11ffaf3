package relay

import (
	"bytes"
	"encoding/gob"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/rpc"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"github.com/monsoonworks/monsoonworks/internal/store"
	"github.com/monsoonworks/monsoonworks/internal/store/memstore"
)

// gobPrefix returns the length that precedes a gob message.
func gobPrefix(length uint32) []byte {
	return []byte{0xfc, byte(length >> 24), byte(length >> 16), byte(length >> 8), byte(length)}
}

// startServer starts a relay and returns its address and its store.
func startServer(t testing.TB) (string, *faultyStore) {
	c := qt.New(t)
	st := &faultyStore{KV: memstore.New(memstore.Options{})}
	server, err := NewServer(t.Context(), st, metrics.NewRegistry(), slog.New(slog.NewTextHandler(io.Discard, nil)))
	c.Assert(err, qt.IsNil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String(), st
}

// maxPeersHeap is a third of the memory of a relay's host, which has 216 MB.
const maxPeersHeap = 72 << 20

// A hundred peers that announce large messages, or send bytes without end, must be
// disconnected, with little memory, and the relay must go on serving others.
func TestEndlessPeersOfRelay(t *testing.T) {
	for name, test := range map[string]struct {
		start, part []byte
		silent      bool // the peer sends the start only
	}{
		"announced gigabyte": {start: gobPrefix(1 << 30), silent: true},
		"announced 9 MB":     {start: gobPrefix(9 << 20), part: make([]byte, 16<<10)},
		"within the limit":   {start: gobPrefix(maxRequestBytes), part: bytes.Repeat([]byte{7}, 16<<10)},
		"zeros":              {part: make([]byte, 16<<10)},
		"length of 9 bytes":  {part: bytes.Repeat([]byte{0xf7}, 16<<10)},
		"text":               {part: []byte(strings.Repeat("GET / HTTP/1.1\r\n", 1000))},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			address, _ := startServer(t)
			runtime.GC()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			var peers sync.WaitGroup
			for range 100 {
				peers.Go(func() {
					conn, err := net.Dial("tcp", address)
					if err != nil {
						return
					}
					defer func() { _ = conn.Close() }()
					_ = conn.SetDeadline(time.Now().Add(messageTimeout + 5*time.Second))
					_, err = conn.Write(test.start)
					for err == nil && !test.silent {
						_, err = conn.Write(test.part)
					}
					if err == nil {
						_, err = io.Copy(io.Discard, conn)
					}
					var netErr net.Error
					if errors.As(err, &netErr) && netErr.Timeout() {
						t.Error("the relay keeps the connection open")
					}
				})
			}
			peers.Wait()
			runtime.ReadMemStats(&after)
			grown := int64(after.HeapSys) - int64(before.HeapSys)
			t.Logf("heap grew by %.1f MB", float64(grown)/1e6)
			c.Assert(grown < maxPeersHeap, qt.IsTrue, qt.Commentf("%d bytes", grown))
			client, err := rpc.Dial("tcp", address)
			c.Assert(err, qt.IsNil)
			var reply GetReply
			c.Assert(client.Call("Relay.Get", &GetArgs{Key: "a"}, &reply), qt.IsNil)
			c.Assert(client.Close(), qt.IsNil)
		})
	}
}

// A relay that replies without end must not take the gate's memory, and the gate must use
// another path.
func TestEndlessRelay(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Write(gobPrefix(512 << 20))
		for err == nil {
			_, err = conn.Write(make([]byte, 16<<10))
		}
	}()
	pool := NewClientPool(time.Second, TCPDialer())
	client, err := pool.Client(t.Context(), listener.Addr().String())
	c.Assert(err, qt.IsNil)
	err = call(t.Context(), client, "Get", callTimeout, &GetArgs{Key: "a"}, &GetReply{})
	c.Assert(errors.Is(err, store.ErrUnknownOutcome), qt.IsTrue)
	pool.MarkFailed(listener.Addr().String())
	<-closed
}

// A message that does not end must time out, while an idle connection stays open.
func TestMessageTimeout(t *testing.T) {
	c := qt.New(t)
	local, remote := net.Pipe()
	conn := &deadlineConn{Conn: local}
	limited := newLimitedConn(conn, 1000)
	write := func(p ...byte) {
		go func() { _, _ = remote.Write(p) }()
		_, err := limited.Read(make([]byte, 100))
		c.Assert(err, qt.IsNil)
	}
	write(2, 'a', 'b')
	c.Assert(conn.deadlines, qt.HasLen, 0)
	write(2, 'a')
	c.Assert(conn.deadlines, qt.HasLen, 1)
	write('b')
	c.Assert(conn.deadlines, qt.HasLen, 2)
	c.Assert(conn.deadlines[1].IsZero(), qt.IsTrue)
	write(0xfe, 0)
	c.Assert(conn.deadlines, qt.HasLen, 3)
	write(1, 'x')
	c.Assert(conn.deadlines, qt.HasLen, 4)
}

// deadlineConn records the read deadlines.
type deadlineConn struct {
	net.Conn
	deadlines []time.Time
}

func (c *deadlineConn) SetReadDeadline(t time.Time) error {
	c.deadlines = append(c.deadlines, t)
	return nil
}

// panickingStore panics in every call.
type panickingStore struct{ PollingStore }

// A method that panics must not end the process; its caller must learn that the outcome is
// unknown.
func TestPanickingCall(t *testing.T) {
	c := qt.New(t)
	server, err := NewServer(t.Context(), panickingStore{}, metrics.NewRegistry(), slog.New(slog.NewTextHandler(io.Discard, nil)))
	c.Assert(err, qt.IsNil)
	local, remote := net.Pipe()
	go server.rpc.ServeConn(remote)
	client := rpc.NewClient(local)
	for _, method := range []string{"Get", "List", "Commit", "Next"} {
		args := map[string]any{"Get": &GetArgs{}, "List": &ListArgs{}, "Commit": &CommitArgs{}, "Next": &NextArgs{}}[method]
		reply := map[string]any{"Get": &GetReply{}, "List": &ListReply{}, "Commit": &CommitReply{}, "Next": &NextReply{}}[method]
		err := call(t.Context(), client, method, callTimeout, args, reply)
		c.Assert(errors.Is(err, store.ErrUnknownOutcome), qt.IsTrue, qt.Commentf("%s", method))
	}
	c.Assert(client.Close(), qt.IsNil)
}

// The lengths of real gob messages must be followed, in reads of any size.
func TestLimitFollowsMessages(t *testing.T) {
	c := qt.New(t)
	var stream bytes.Buffer
	encoder := gob.NewEncoder(&stream)
	for _, size := range []int{0, 1, 100, 127, 128, 255, 256, 70000} {
		c.Assert(encoder.Encode(&GetArgs{Key: strings.Repeat("k", size)}), qt.IsNil)
	}
	for _, step := range []int{1, 3, 4096} {
		limited := newLimitedConn(nil, 80000)
		for rest := stream.Bytes(); len(rest) > 0; {
			n := min(step, len(rest))
			c.Assert(limited.follow(rest[:n]), qt.IsNil)
			rest = rest[n:]
		}
		c.Assert(limited.left, qt.Equals, uint64(0))
		c.Assert(limited.prefix, qt.HasLen, 0)
	}
	c.Assert(errors.Is(newLimitedConn(nil, 60000).follow(stream.Bytes()), errMessageTooLarge), qt.IsTrue)
}

// requestBytes returns what a client sends for one call.
func requestBytes(t testing.TB, method string, args any) []byte {
	var stream bytes.Buffer
	encoder := gob.NewEncoder(&stream)
	c := qt.New(t)
	c.Assert(encoder.Encode(&rpc.Request{ServiceMethod: method, Seq: 1}), qt.IsNil)
	c.Assert(encoder.Encode(args), qt.IsNil)
	return stream.Bytes()
}

// Any bytes from a gate must leave the relay running.
func FuzzRelayCalls(f *testing.F) {
	f.Add(requestBytes(f, "Relay.Get", &GetArgs{Key: "a"}))
	f.Add(requestBytes(f, "Relay.Commit", &CommitArgs{Txn: createTxn("a")}))
	f.Add(requestBytes(f, "Relay.Next", &NextArgs{Prefix: "a", Revision: -1}))
	f.Add(gobPrefix(1 << 30))
	f.Add([]byte{0x80, 0, 0})
	f.Fuzz(func(t *testing.T, raw []byte) {
		server, err := NewServer(t.Context(), &faultyStore{KV: memstore.New(memstore.Options{})}, metrics.NewRegistry(), slog.New(slog.NewTextHandler(io.Discard, nil)))
		if err != nil {
			t.Fatal(err)
		}
		local, remote := net.Pipe()
		served := make(chan struct{})
		go func() {
			defer close(served)
			server.rpc.ServeConn(newLimitedConn(remote, maxRequestBytes))
		}()
		go func() { _, _ = io.Copy(io.Discard, local) }()
		_ = local.SetWriteDeadline(time.Now().Add(time.Second))
		_, _ = local.Write(raw)
		_ = local.Close()
		<-served
	})
}
