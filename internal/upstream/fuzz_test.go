package upstream

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Any bytes from a server must give a response or an error, within the limit of the head, and
// a connection with bytes left must not be used again.
func FuzzReadResponse(f *testing.F) {
	f.Add("POST", []byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	f.Add("POST", []byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n"))
	f.Add("HEAD", []byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	f.Add("GET", []byte("HTTP/1.1 100 C\r\n\r\nHTTP/1.1 204 N\r\n\r\nrest"))
	f.Add("GET", []byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nok\r\n0\r\nA: b\r\n\r\n"))
	f.Fuzz(func(t *testing.T, method string, raw []byte) {
		local, remote := net.Pipe()
		go func() {
			_, _ = remote.Write(raw)
			_ = remote.Close()
		}()
		_ = local.SetDeadline(time.Now().Add(5 * time.Second))
		pool := NewPool(nil, metrics.NewRegistry())
		c := newConn(pool, "a", local)
		pool.open["a"] = 1
		response, err := c.ReadResponse(method)
		if err != nil {
			c.Discard()
			return
		}
		if response.StatusCode < 200 {
			t.Fatalf("informational response %d", response.StatusCode)
		}
		_, err = io.Copy(io.Discard, response.Body)
		left := c.reader.Buffered()
		c.Release(response, err == nil, 0)
		if left > 0 && len(pool.idle["a"]) > 0 {
			t.Fatal("a connection with unread bytes returned to the pool")
		}
	})
}
