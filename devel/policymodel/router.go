package policymodel

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/route"
)

// router is what one router knows of the servers.
type router struct {
	m        *model
	reported []int // requests at a server at its last report
	since    []int // sent since
	sentAt   [][]time.Duration
	failures []int
	ejected  int
	requests int
	retries  int
}

func newRouter(m *model) *router {
	n := len(m.engines)
	return &router{
		m: m, reported: make([]int, n), since: make([]int, n),
		sentAt: make([][]time.Duration, n), failures: make([]int, n),
	}
}

func (r *router) send(i int) {
	r.since[i]++
	r.sentAt[i] = append(r.sentAt[i], r.m.now)
}

// recent counts the requests that are still on their way to a server.
func (r *router) recent(i int) int {
	sent := r.sentAt[i]
	for len(sent) > 0 && sent[0] <= r.m.now-3*r.m.Latency {
		sent = sent[1:]
	}
	r.sentAt[i] = sent
	return len(sent)
}

func (r *router) report(i int) {
	e := r.m.engines[i]
	r.reported[i], r.since[i] = e.running+len(e.waiting), 0
}

func (r *router) failed(i int) {
	r.failures[i]++
	if r.failures[i] == failuresToEject && (r.ejected+1)*3 <= len(r.failures) {
		r.ejected++
		r.failures[i] = 1 << 20
	}
}

func (r *router) isEjected(i int) bool { return r.failures[i] >= 1<<20 }

func (r *router) mayRetry() bool {
	allowed := max(float64(r.requests)*retryShare, retriesPerSec*r.m.now.Seconds())
	if float64(r.retries) >= allowed {
		return false
	}
	r.retries++
	return true
}

// candidates shows a request's servers to a policy.
type candidates struct {
	r   *router
	req *request
}

func (c *candidates) Len() int { return len(c.r.m.engines) }

func (c *candidates) Usable(i int) bool {
	return !c.r.isEjected(i) && !slices.Contains(c.req.exclude, i)
}

func (c *candidates) Load(i int) float64 {
	return float64(c.r.reported[i]+c.r.since[i]) / slots
}

func (c *candidates) HashTarget(key uint64) int {
	i, _ := strconv.Atoi(c.r.m.ring.Lookup(strconv.FormatUint(key, 36)))
	return i
}

func (c *candidates) IntN(n int) int { return c.r.m.rnd.IntN(n) }

// Probe answers as agents would; a dead server does not answer.
func (c *candidates) Probe(_ context.Context, servers []int, estimates []route.Estimate) {
	for k, i := range servers {
		e := c.r.m.engines[i]
		if e.dead {
			continue
		}
		wait, cached := e.expected(c.req.blocks)
		cost := max(wait/time.Duration(len(e.waiting)+1), 5*time.Millisecond)
		wait += time.Duration(c.r.recent(i)) * cost
		estimates[k] = route.Estimate{Known: true, FirstToken: wait, CachedTokens: int32(cached)}
	}
}
