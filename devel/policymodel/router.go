package policymodel

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/route"
)

// router is a router's view of the servers, with slices indexed by server.
type router struct {
	m         *model
	reported  []int // requests at the server as of its last load report
	sentSince []int // requests sent since that report
	sentAt    [][]time.Duration
	failures  []int
	ejected   int
	requests  int
	retries   int
}

func newRouter(m *model) *router {
	n := len(m.engines)
	return &router{
		m: m, reported: make([]int, n), sentSince: make([]int, n),
		sentAt: make([][]time.Duration, n), failures: make([]int, n),
	}
}

func (r *router) recordSent(i int) {
	r.sentSince[i]++
	r.sentAt[i] = append(r.sentAt[i], r.m.now)
}

// recent returns the number of requests sent to server i that have not arrived yet.
func (r *router) recent(i int) int {
	sent := r.sentAt[i]
	for len(sent) > 0 && sent[0] <= r.m.now-3*r.m.Latency {
		sent = sent[1:]
	}
	r.sentAt[i] = sent
	return len(sent)
}

func (r *router) updateLoad(i int) {
	e := r.m.engines[i]
	r.reported[i], r.sentSince[i] = e.running+len(e.waiting), 0
}

func (r *router) recordFailure(i int) {
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

// candidates implements route.Candidates for one request.
type candidates struct {
	r   *router
	req *request
}

func (c *candidates) Len() int { return len(c.r.m.engines) }

func (c *candidates) Usable(i int) bool {
	return !c.r.isEjected(i) && !slices.Contains(c.req.exclude, i)
}

func (c *candidates) Load(i int) float64 {
	return float64(c.r.reported[i]+c.r.sentSince[i]) / slots
}

func (c *candidates) HashTarget(key uint64) int {
	i, _ := strconv.Atoi(c.r.m.ring.Lookup(strconv.FormatUint(key, 36)))
	return i
}

func (c *candidates) IntN(n int) int { return c.r.m.rnd.IntN(n) }

// Probe fills in the estimates of live servers. A crashed server gives none.
func (c *candidates) Probe(_ context.Context, servers []int, estimates []route.Estimate) {
	for k, i := range servers {
		e := c.r.m.engines[i]
		if e.crashed {
			continue
		}
		wait, cached := e.estimate(c.req.blocks)
		cost := max(wait/time.Duration(len(e.waiting)+1), 5*time.Millisecond)
		wait += time.Duration(c.r.recent(i)) * cost
		estimates[k] = route.Estimate{Known: true, FirstToken: wait, CachedTokens: int32(cached)}
	}
}
