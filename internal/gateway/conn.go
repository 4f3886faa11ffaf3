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

	"github.com/monsoonworks/monsoonworks/internal/graceful"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
)

// netHTTPErrorFields are the header fields of net/http's own error responses.
var netHTTPErrorFields = []byte("\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n")

// expectationFailedLine is the status line of net/http's response to an unknown
// Expect header. That response does not contain netHTTPErrorFields.
var expectationFailedLine = []byte("HTTP/1.1 417 Expectation Failed\r\n")

// maxStatusLineBytes limits the search for the end of a status line.
const maxStatusLineBytes = 256

// callerListener wraps each accepted connection in a callerConn.
type callerListener struct{ net.Listener }

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: &graceful.Conn{Conn: conn}}, nil
}

// callerConn is the connection of a caller. net/http itself responds to a request
// that it cannot parse, without calling a handler. That response has no verdict, so
// callerConn replaces it with one that has a verdict and a problem body.
type callerConn struct {
	*graceful.Conn
	// handlerActive is set from the start of a handler until its response has been
	// sent. Meanwhile nothing is replaced, because a body can contain the bytes of
	// an error response.
	handlerActive atomic.Bool
}

// connKey is the context key of the connection of a request.
type connKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// markHandlerActive records on the connection in ctx that a handler has started.
func markHandlerActive(ctx context.Context) {
	if conn, ok := ctx.Value(connKey{}).(*callerConn); ok {
		conn.handlerActive.Store(true)
	}
}

// setConnState is the ConnState hook of the server. net/http reports by http.StateIdle
// that a response was sent.
func (g *Gateway) setConnState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	if state == http.StateIdle {
		c.handlerActive.Store(false)
	}
	g.conns.SetState(c.Conn, state)
}

// Write implements net.Conn.
func (c *callerConn) Write(p []byte) (int, error) {
	status, ok := netHTTPErrorStatus(p)
	if !ok || c.handlerActive.Load() {
		return c.Conn.Write(p)
	}
	if _, err := c.Conn.Write(problemResponse(status)); err != nil {
		return 0, err
	}
	return len(p), nil
}

// netHTTPErrorStatus reports whether p is an error response of net/http itself, and
// returns its status.
func netHTTPErrorStatus(p []byte) (status int, ok bool) {
	const prefix = "HTTP/1.1 "
	if len(p) < len(prefix)+3 || p[0] != 'H' || string(p[:len(prefix)]) != prefix {
		return 0, false
	}
	end := bytes.IndexByte(p[:min(len(p), maxStatusLineBytes)], '\r')
	if end < 0 {
		return 0, false
	}
	if !bytes.HasPrefix(p, expectationFailedLine) && !bytes.HasPrefix(p[end:], netHTTPErrorFields) {
		return 0, false
	}
	status, err := strconv.Atoi(string(p[len(prefix) : len(prefix)+3]))
	return status, err == nil
}

// problemResponse returns a complete HTTP response with a problem body. It has the
// status chosen by net/http, which can be more specific than that of CodeBadRequest.
func problemResponse(status int) []byte {
	id := uuid.Must(uuid.NewV7()).String()
	problem := verdict.New(verdict.NotRun, verdict.CodeBadRequest, "the request is not valid HTTP").Problem(id)
	problem.Status = status
	body := mustJSON(problem)
	head := fmt.Sprintf("HTTP/1.1 %d Refused\r\nContent-Type: %s\r\nContent-Length: %d\r\n%s: %s\r\n%s: %s\r\nConnection: close\r\n\r\n",
		status, verdict.ProblemContentType, len(body), headerRequestID, id, headerVerdict, verdict.NotRun)
	return append([]byte(head), body...)
}
