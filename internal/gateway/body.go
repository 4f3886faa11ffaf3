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

// bodyMemoryRetryAfter is the Retry-After of a request that was refused because
// the memory for request bodies is in use.
const bodyMemoryRetryAfter = time.Second

// readBody reads a request body of at most limit bytes. The returned function
// releases its memory and is never nil.
func (g *Gateway) readBody(resp *response, r *http.Request, limit int64) (body []byte, release func(), failure *verdict.Error) {
	release = func() {}
	if r.ContentLength > limit {
		resp.w.Header().Set("Connection", "close")
		return nil, release, errBodyTooLarge(limit)
	}
	if r.ContentLength == 0 {
		return nil, release, nil
	}
	// The length of a chunked body is not known in advance, so the limit is
	// acquired for it.
	size := limit
	if r.ContentLength > 0 {
		size = r.ContentLength
	}
	if !g.bodyMemory.TryAcquire(size) {
		return nil, release, verdict.New(verdict.NotRun, verdict.CodeOverloaded, "too many request bodies are in memory").WithRetryAfter(bodyMemoryRetryAfter)
	}
	acquired := size
	release = func() { g.bodyMemory.Release(acquired) }

	body, err := readWithSizeHint(http.MaxBytesReader(resp.w, r.Body, limit), r.ContentLength)
	if err != nil {
		resp.w.Header().Set("Connection", "close")
		return nil, release, bodyError(err, limit)
	}
	// From here on the HTTP server reads only to detect that the caller has
	// disconnected, and that read must not time out.
	_ = resp.rc.SetReadDeadline(time.Time{})
	if unused := acquired - int64(len(body)); unused > 0 {
		g.bodyMemory.Release(unused)
		acquired -= unused
	}
	return body, release, nil
}

// readWithSizeHint reads r to EOF. A positive sizeHint is the expected size, for which it
// allocates the buffer in advance.
func readWithSizeHint(r io.Reader, sizeHint int64) ([]byte, error) {
	var buf bytes.Buffer
	if sizeHint > 0 {
		// ReadFrom needs MinRead bytes of free capacity to detect EOF.
		buf.Grow(int(sizeHint) + bytes.MinRead)
	}
	_, err := buf.ReadFrom(r)
	return buf.Bytes(), err
}

func errBodyTooLarge(limit int64) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeTooLarge, "the body is larger than %d bytes", limit)
}

func bodyError(err error, limit int64) *verdict.Error {
	var tooLarge *http.MaxBytesError
	var timeout net.Error
	switch {
	case errors.As(err, &tooLarge):
		return errBodyTooLarge(limit)
	case errors.As(err, &timeout) && timeout.Timeout():
		return badRequest("the body did not arrive in time")
	default:
		return badRequest("the body could not be read").WithCause(err)
	}
}

func badRequest(format string, args ...any) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeBadRequest, format, args...)
}
