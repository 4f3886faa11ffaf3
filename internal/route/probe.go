package route

import (
	"context"
	"sync"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/wire"
)

const (
	// unusableEstimate is the expected time to the first token of a server that
	// cannot take the request. It exceeds all real estimates.
	unusableEstimate = time.Hour
	// minRequestDelay is the minimum time by which each request that a probe reply
	// does not include increases the estimate.
	minRequestDelay = 5 * time.Millisecond
	// sendLatency is the assumed transfer time of a request to an agent. A probe
	// reply is assumed not to include requests sent less than this before the
	// probe.
	sendLatency = 3 * time.Millisecond
)

// Probe implements Candidates. It takes at most c.timeout. It returns with the
// router's placementMu held; unlock releases it.
func (c *candidateSet) Probe(ctx context.Context, servers []int, estimates []Estimate) {
	c.unlock()
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	args := &wire.ProbeArgs{
		Target: c.q.Target, PromptTokens: c.q.PromptTokens, Prefixes: c.q.Prefixes, Priority: c.q.Priority,
	}
	requestDelays := make([]time.Duration, len(servers))
	probedAt := time.Now()
	var group sync.WaitGroup
	for k, i := range servers {
		group.Go(func() { estimates[k], requestDelays[k] = c.r.probe(ctx, c.servers[i], args) })
	}
	group.Wait()
	c.r.placementMu.Lock()
	c.locked = true
	for k, i := range servers {
		if estimates[k].Known {
			estimates[k].FirstToken += c.servers[i].unreportedSends(probedAt) * requestDelays[k]
		}
	}
}

// unlock releases placementMu if Probe has locked it. The corrections for concurrent
// requests include this request only if it is recorded at its server before the release.
func (c *candidateSet) unlock() {
	if c.locked {
		c.locked = false
		c.r.placementMu.Unlock()
	}
}

// unreportedSends returns the number of requests that this router has sent and that the
// reply to a probe does not include: those sent since the probe or just before it. The
// number is a Duration because it is multiplied by the delay of each request.
func (s *server) unreportedSends(probedAt time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.sentSince(probedAt.Add(-sendLatency)))
}

// probe probes one server over its open session. It does not dial servers of this
// region: one without a session is not known to be alive. Besides the estimate it
// returns the time that each further request adds to it.
func (r *Router) probe(ctx context.Context, s *server, args *wire.ProbeArgs) (Estimate, time.Duration) {
	s.mu.Lock()
	address := s.host.Address
	remote := s.host.Region != r.Region
	s.mu.Unlock()
	session, open := r.Sessions.Lookup(address)
	if !open && remote {
		session, open = r.openRemote(ctx, address)
	}
	if !open {
		return Estimate{}, 0
	}
	r.probes.Inc(1)
	var reply wire.ProbeReply
	if err := session.Call(ctx, "Agent.Probe", args, &reply); err != nil {
		r.failedProbes.Inc(1)
		s.recordProbeFailure(time.Now(), ctx)
		return Estimate{}, 0
	}
	return s.estimate(session, &reply)
}

// openRemote opens a session to a server of another region. Run keeps only the
// sessions to servers of this region open.
func (r *Router) openRemote(ctx context.Context, address string) (*wire.Session, bool) {
	session, err := r.Sessions.Get(ctx, address)
	return session, err == nil
}

// recordProbeFailure records a probe without a reply, unless the request was canceled.
func (s *server) recordProbeFailure(now time.Time, ctx context.Context) {
	if context.Cause(ctx) == context.Canceled {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probeFailures++
	if s.probeFailures >= probeFailuresToEject {
		s.eject(now)
	}
}

// estimate converts a probe reply to an estimate and the time that each further
// request adds to it.
func (s *server) estimate(session *wire.Session, reply *wire.ProbeReply) (Estimate, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.markAlive(now, session.Peer.Boot)
	s.setLoad(reply.Load)
	e := Estimate{Known: true, CachedTokens: reply.CachedTokens}
	if !reply.Serves || reply.Load.Draining {
		e.FirstToken = unusableEstimate
		return e, 0
	}
	e.FirstToken = time.Duration(reply.FirstTokenMillis) * time.Millisecond
	return e, max(e.FirstToken/time.Duration(reply.Load.Queued+1), minRequestDelay)
}
