package gateway

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/google/uuid"

	"github.com/monsoonworks/monsoonworks/internal/verdict"
)

// net/http answers a request that it cannot parse by itself, without a handler.
// Such an answer has no verdict, so refusalConn replaces it with a problem body.

// plainRefusal is the header that net/http puts on its own refusals.
var plainRefusal = []byte("\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n")

// expectationFailed begins the answer of net/http to an unknown Expect header.
var expectationFailed = []byte("HTTP/1.1 417 Expectation Failed\r\n")

// maxStatusLineBytes bounds the search for the end of a status line.
const maxStatusLineBytes = 256

type refusalListener struct{ net.Listener }

// Accept implements net.Listener.
func (l refusalListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &refusalConn{Conn: conn}, nil
}

// refusalConn is a caller's connection.
type refusalConn struct {
	net.Conn
	// answering is set from the start of a handler until its answer was sent.
	// Meanwhile nothing is replaced, because a body can hold the same bytes.
	answering atomic.Bool
}

// connKey is the context key of a request's connection.
type connKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// beginAnswer notes that a handler answers a request with context ctx.
func beginAnswer(ctx context.Context) {
	if conn, ok := ctx.Value(connKey{}).(*refusalConn); ok {
		conn.answering.Store(true)
	}
}

// connState notes that an answer was sent.
func connState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*refusalConn); ok && state == http.StateIdle {
		c.answering.Store(false)
	}
}

// Write implements net.Conn.
func (c *refusalConn) Write(p []byte) (int, error) {
	status, ok := refusedStatus(p)
	if !ok || c.answering.Load() {
		return c.Conn.Write(p)
	}
	if _, err := c.Conn.Write(refusalAnswer(status)); err != nil {
		return 0, err
	}
	return len(p), nil
}

// refusedStatus reports whether p is an answer that net/http made by itself,
// and its status.
func refusedStatus(p []byte) (status int, ok bool) {
	const prefix = "HTTP/1.1 "
	if len(p) < len(prefix)+3 || p[0] != 'H' || string(p[:len(prefix)]) != prefix {
		return 0, false
	}
	end := bytes.IndexByte(p[:min(len(p), maxStatusLineBytes)], '\r')
	if end < 0 {
		return 0, false
	}
	if !bytes.HasPrefix(p, expectationFailed) && !bytes.HasPrefix(p[end:], plainRefusal) {
		return 0, false
	}
	status, err := strconv.Atoi(string(p[len(prefix) : len(prefix)+3]))
	return status, err == nil
}

// refusalAnswer returns a whole answer with a problem body. The status is the
// one that net/http chose, which can be more exact than that of the code.
func refusalAnswer(status int) []byte {
	id := uuid.Must(uuid.NewV7()).String()
	problem := verdict.New(verdict.NotRun, verdict.CodeBadRequest, "the request is not valid HTTP").Problem(id)
	problem.Status = status
	body := mustJSON(problem)
	head := fmt.Sprintf("HTTP/1.1 %d Refused\r\nContent-Type: %s\r\nContent-Length: %d\r\n%s: %s\r\n%s: %s\r\nConnection: close\r\n\r\n",
		status, verdict.ProblemContentType, len(body), headerRequestID, id, headerVerdict, verdict.NotRun)
	return append([]byte(head), body...)
}
