package gate

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonworks/monsoonworks/internal/catalog"
)

// rawCaller is a caller's connection that is never replaced.
type rawCaller struct {
	net.Conn
	reader *bufio.Reader
}

func (f *fixture) dialRaw() *rawCaller {
	conn, err := net.Dial("tcp", f.frontend.listener.Addr().String())
	f.c.Assert(err, qt.IsNil)
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	return &rawCaller{Conn: conn, reader: bufio.NewReader(conn)}
}

// exchange sends a request whose header has the given size more than necessary, with a pause
// within its head, and returns the status of the response.
func (c *rawCaller) exchange(pause time.Duration, size int) (status int, err error) {
	if _, err := io.WriteString(c, "POST /safe/ HTTP/1.1\r\nHost: h\r\nId: a\r\n"); err != nil {
		return 0, err
	}
	time.Sleep(pause)
	if _, err := io.WriteString(c, "Key: k\r\nLong: "+strings.Repeat("x", size)+"\r\nContent-Length: 2\r\n\r\nok"); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// An open connection must get raised limits: callers use them as soon as they are in force.
func TestRaisedLimitsApplyToOpenConnections(t *testing.T) {
	before := catalog.Limits{MaxHeaderBytes: 2 << 10, HeaderTimeout: 200 * time.Millisecond, IdleTimeout: 200 * time.Millisecond}
	after := catalog.Limits{MaxHeaderBytes: 32 << 10, HeaderTimeout: 3 * time.Second, IdleTimeout: 5 * time.Second}
	for name, test := range map[string]struct {
		idle, pause time.Duration
		size        int
	}{
		"idle timeout":   {idle: 200*time.Millisecond + idleMargin + 500*time.Millisecond},
		"header timeout": {pause: 500 * time.Millisecond},
		"header size":    {size: 20 << 10},
	} {
		for _, kept := range []bool{false, true} {
			if !kept && test.idle > 0 {
				continue // the idle timeout does not apply before the first request
			}
			t.Run(name+map[bool]string{false: ", new", true: ", kept"}[kept], func(t *testing.T) {
				t.Parallel()
				f := newFixture(t, respondOK)
				f.frontend.SetLimits(before)
				caller := f.dialRaw()
				if kept {
					status, err := caller.exchange(0, 0)
					f.c.Assert(err, qt.IsNil)
					f.c.Assert(status, qt.Equals, http.StatusOK)
				}
				time.Sleep(50 * time.Millisecond)
				f.frontend.SetLimits(after)
				time.Sleep(test.idle)
				status, err := caller.exchange(test.pause, test.size)
				f.c.Assert(err, qt.IsNil)
				f.c.Assert(status, qt.Equals, http.StatusOK)
			})
		}
	}
}

// Limits must hold on new connections, and on open ones after they were lowered.
func TestLimitsHold(t *testing.T) {
	low := catalog.Limits{MaxHeaderBytes: 2 << 10, HeaderTimeout: 200 * time.Millisecond, IdleTimeout: 200 * time.Millisecond}
	for _, lowered := range []bool{false, true} {
		t.Run(map[bool]string{false: "new", true: "lowered"}[lowered], func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, respondOK)
			callers := []*rawCaller{f.dialRaw(), f.dialRaw(), f.dialRaw()}
			exchange := func(caller *rawCaller, pause time.Duration, size int) int {
				status, err := caller.exchange(pause, size)
				f.c.Assert(err, qt.IsNil)
				return status
			}
			if lowered {
				for _, caller := range callers {
					f.c.Assert(exchange(caller, 0, 0), qt.Equals, http.StatusOK)
				}
			}
			f.frontend.SetLimits(low)
			if lowered {
				// A wait that began before the change keeps its limit.
				f.c.Assert(exchange(callers[0], 0, 0), qt.Equals, http.StatusOK)
			} else {
				callers = []*rawCaller{f.dialRaw(), f.dialRaw(), f.dialRaw()}
				f.c.Assert(exchange(callers[0], 0, 0), qt.Equals, http.StatusOK)
			}
			idleSince := time.Now()
			f.c.Check(exchange(callers[1], 0, 20<<10), qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
			status, err := callers[2].exchange(time.Second, 0)
			f.c.Check(err != nil || status == http.StatusBadRequest, qt.IsTrue, qt.Commentf("status %d", status))
			_, err = callers[0].reader.ReadByte()
			f.c.Check(err, qt.Equals, io.EOF)
			f.c.Check(time.Since(idleSince) < idleMargin+time.Second, qt.IsTrue)
		})
	}
}

// Changes of the limits in quick succession must not lose a request, on new or kept connections.
func TestLimitsChangeUnderLoad(t *testing.T) {
	f := newFixture(t, respondOK)
	random := rand.New(rand.NewPCG(1, 1))
	end := time.Now().Add(time.Second)
	var callers sync.WaitGroup
	for n := range 24 {
		callers.Go(func() {
			caller := f.dialRaw()
			for time.Now().Before(end) {
				if n%2 == 0 {
					_ = caller.Close()
					caller = f.dialRaw()
				}
				if status, err := caller.exchange(0, 0); err != nil || status != http.StatusOK {
					t.Errorf("caller %d: status %d, error %v", n, status, err)
					return
				}
			}
			_ = caller.Close()
		})
	}
	for time.Now().Before(end) {
		f.frontend.SetLimits(catalog.Limits{
			MaxHeaderBytes: 1<<10 + random.IntN(128<<10), HeaderTimeout: time.Duration(500+random.IntN(5000)) * time.Millisecond,
			IdleTimeout: time.Duration(100+random.IntN(30000)) * time.Millisecond,
		})
		time.Sleep(3 * time.Millisecond)
	}
	callers.Wait()
}

// A shutdown must wait for a connection that the server has taken and not yet reported.
func TestShutdownWaitsForTakenConnection(t *testing.T) {
	f := newFixture(t, respondOK)
	slow := newConnQueue(f.frontend.listener.Addr())
	f.frontend.mu.Lock()
	f.frontend.current.close()
	f.frontend.current = slow
	f.frontend.mu.Unlock()
	caller := f.dialRaw()
	_, err := slow.Accept()
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(f.frontend.StopAccepting(), qt.IsNil)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	f.c.Assert(f.frontend.Shutdown(ctx), qt.ErrorIs, context.DeadlineExceeded)
	_, err = caller.reader.ReadByte()
	f.c.Assert(err, qt.Equals, io.EOF)
}
