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
	sim       *simulation
	reported  []int // requests at the server as of its last load report
	sentSince []int // requests sent since that report
	sentAt    [][]time.Duration
	failures  []int // 1<<20 or more for an ejected server
	ejected   int   // number of ejected servers
	requests  int
	retries   int
}

func newRouter(sim *simulation) *router {
	n := len(sim.engines)
	return &router{
		sim: sim, reported: make([]int, n), sentSince: make([]int, n),
		sentAt: make([][]time.Duration, n), failures: make([]int, n),
	}
}

func (r *router) recordSent(i int) {
	r.sentSince[i]++
	r.sentAt[i] = append(r.sentAt[i], r.sim.now)
}

// inTransit returns the number of requests sent to server i that have not arrived yet.
func (r *router) inTransit(i int) int {
	sent := r.sentAt[i]
	for len(sent) > 0 && sent[0] <= r.sim.now-3*r.sim.Latency {
		sent = sent[1:]
	}
	r.sentAt[i] = sent
	return len(sent)
}

// updateLoad applies a load report of server i.
func (r *router) updateLoad(i int) {
	e := r.sim.engines[i]
	r.reported[i], r.sentSince[i] = e.running+len(e.waiting), 0
}

// recordFailure counts a failed request of server i and ejects the server permanently
// after failuresToEject of them, unless more than a third of the servers would be
// ejected. The failures need not be consecutive, because only crashes, which are
// permanent here, cause failures.
func (r *router) recordFailure(i int) {
	r.failures[i]++
	if r.failures[i] == failuresToEject && (r.ejected+1)*3 <= len(r.failures) {
		r.ejected++
		r.failures[i] = 1 << 20
	}
}

func (r *router) isEjected(i int) bool { return r.failures[i] >= 1<<20 }

// acquireRetry reports whether the retry budget allows another retry, and counts it if
// so.
func (r *router) acquireRetry() bool {
	allowed := max(float64(r.requests)*retryShare, retriesPerSec*r.sim.now.Seconds())
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

func (c *candidates) Len() int { return len(c.r.sim.engines) }

func (c *candidates) Usable(i int) bool {
	return !c.r.isEjected(i) && !slices.Contains(c.req.exclude, i)
}

func (c *candidates) Load(i int) float64 {
	return float64(c.r.reported[i]+c.r.sentSince[i]) / slots
}

func (c *candidates) HashServer(key uint64) int {
	i, _ := strconv.Atoi(c.r.sim.rendezvousHash.Lookup(strconv.FormatUint(key, 36)))
	return i
}

func (c *candidates) IntN(n int) int { return c.r.sim.routingRand.IntN(n) }

// Probe fills in the estimates of live servers, increased by an estimated cost of each
// request that this router has in transit to the server. A crashed server gives none.
func (c *candidates) Probe(_ context.Context, servers []int, estimates []route.Estimate) {
	for k, i := range servers {
		e := c.r.sim.engines[i]
		if e.crashed {
			continue
		}
		wait, cached := e.estimate(c.req.blocks)
		cost := max(wait/time.Duration(len(e.waiting)+1), 5*time.Millisecond)
		wait += time.Duration(c.r.inTransit(i)) * cost
		estimates[k] = route.Estimate{Known: true, FirstToken: wait, CachedTokens: int32(cached)}
	}
}
