package service

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a log that misses a call whose caller disconnected after the
// execution, or lists a call whose caller disconnected before it.
func TestLogListsExecutedCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := New(Config{ExecutionDelay: time.Second, ResponseDelay: time.Second})
		for _, timeout := range []time.Duration{time.Second / 2, 3 * time.Second / 2, 3 * time.Second} {
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/orders", strings.NewReader("12 trays"))
			r.Header.Set("Idempotency-Key", timeout.String())
			s.Handler().ServeHTTP(httptest.NewRecorder(), r)
			cancel()
		}
		executions := s.Executions()
		c.Assert(executions, qt.HasLen, 2)
		c.Assert(executions[0].ResponseWritten, qt.IsFalse)
		c.Assert(executions[1].ResponseWritten, qt.IsTrue)
		c.Assert(executions[1].Key, qt.Equals, "3s")
		c.Assert(executions[1].Body, qt.Equals, "12 trays")
	})
}
