package gateway

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/verdict"
)

// retryWhenFull is the Retry-After of a request that found the memory for
// bodies in use.
const retryWhenFull = time.Second

// readBody reads a request body of at most limit bytes. The returned function
// gives its memory back and is never nil.
func (g *Gateway) readBody(a *answer, r *http.Request, limit int64) (body []byte, release func(), failure *verdict.Error) {
	release = func() {}
	if r.ContentLength > limit {
		a.w.Header().Set("Connection", "close")
		return nil, release, errTooLarge(limit)
	}
	if r.ContentLength == 0 {
		return nil, release, nil
	}
	// A chunked body does not announce its length, so it counts as the largest.
	size := limit
	if r.ContentLength > 0 {
		size = r.ContentLength
	}
	if !g.bodies.TryAcquire(size) {
		return nil, release, verdict.New(verdict.NotRun, verdict.CodeOverloaded, "too many request bodies are in memory").WithRetryAfter(retryWhenFull)
	}
	held := size
	release = func() { g.bodies.Release(held) }

	body, err := readBounded(http.MaxBytesReader(a.w, r.Body, limit), r.ContentLength)
	if err != nil {
		a.w.Header().Set("Connection", "close")
		return nil, release, bodyError(err, limit)
	}
	// From here on a read by the server only watches for the caller's
	// disconnection, which must not time out.
	_ = a.rc.SetReadDeadline(time.Time{})
	if unused := held - int64(len(body)); unused > 0 {
		g.bodies.Release(unused)
		held -= unused
	}
	return body, release, nil
}

// readBounded reads r to its end. A known length avoids growing the buffer.
func readBounded(r io.Reader, length int64) ([]byte, error) {
	var buf bytes.Buffer
	if length > 0 {
		// ReadFrom wants some room left to find the end of the input.
		buf.Grow(int(length) + bytes.MinRead)
	}
	_, err := buf.ReadFrom(r)
	return buf.Bytes(), err
}

func errTooLarge(limit int64) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeTooLarge, "the body is larger than %d bytes", limit)
}

func bodyError(err error, limit int64) *verdict.Error {
	var tooLarge *http.MaxBytesError
	var timeout net.Error
	switch {
	case errors.As(err, &tooLarge):
		return errTooLarge(limit)
	case errors.As(err, &timeout) && timeout.Timeout():
		return badRequest("the body did not arrive in time")
	default:
		return badRequest("the body could not be read").WithCause(err)
	}
}

func badRequest(format string, args ...any) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeBadRequest, format, args...)
}
