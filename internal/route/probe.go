package route

import (
	"context"
	"sync"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/wire"
)

const (
	// unfit is the expected time of a server that cannot take the request at all.
	unfit = time.Hour
	// minRequestCost is the least that a request which was sent after a probe adds
	// to the time that the probe reported.
	minRequestCost = 5 * time.Millisecond
	// travelTime is how long a request is on its way to an agent; the answer to a
	// probe does not count one that was sent within this time before it.
	travelTime = 3 * time.Millisecond
)

// Probe implements Candidates. It takes at most the view's timeout. It returns
// with the router's placing lock held, which release gives back: requests that
// are being placed at the same time see each other.
func (v *view) Probe(ctx context.Context, servers []int, estimates []Estimate) {
	v.release()
	ctx, cancel := context.WithTimeout(ctx, v.timeout)
	defer cancel()
	args := &wire.ProbeArgs{
		Target: v.q.Target, PromptTokens: v.q.PromptTokens, Prefixes: v.q.Prefixes, Priority: v.q.Priority,
	}
	costs := make([]time.Duration, len(servers))
	asked := time.Now()
	var group sync.WaitGroup
	for k, i := range servers {
		group.Go(func() { estimates[k], costs[k] = v.r.probe(ctx, v.servers[i], args) })
	}
	group.Wait()
	v.r.placing.Lock()
	v.placing = true
	for k, i := range servers {
		if estimates[k].Known {
			estimates[k].FirstToken += v.servers[i].onTheWay(asked) * costs[k]
		}
	}
}

// release ends the placing of a request, whose server has counted it now.
func (v *view) release() {
	if v.placing {
		v.placing = false
		v.r.placing.Unlock()
	}
}

// onTheWay counts the requests that this router has sent shortly before a probe
// or since; they are not in its answer.
func (s *server) onTheWay(asked time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.sentSince(asked.Add(-travelTime)))
}

// probe asks one server over its open session. It never dials: a server without
// a session is not known to be alive. It returns what each further request adds
// to the estimate as well.
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
		r.silences.Inc(1)
		s.unanswered(time.Now(), ctx)
		return Estimate{}, 0
	}
	return s.estimate(session, &reply)
}

// openRemote opens a session to another region, which is not kept open.
func (r *Router) openRemote(ctx context.Context, address string) (*wire.Session, bool) {
	session, err := r.Sessions.Get(ctx, address)
	return session, err == nil
}

// unanswered notes a probe without an answer, unless the request itself ended.
func (s *server) unanswered(now time.Time, ctx context.Context) {
	if context.Cause(ctx) == context.Canceled {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silences++
	if s.silences >= silencesToEject {
		s.eject(now)
	}
}

// estimate turns an answer into an estimate and the cost of a further request.
func (s *server) estimate(session *wire.Session, reply *wire.ProbeReply) (Estimate, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.answered(now, session.Peer.Boot)
	s.setLoad(now, reply.Load)
	e := Estimate{Known: true, CachedTokens: reply.CachedTokens}
	if !reply.Serves || reply.Load.Draining {
		e.FirstToken = unfit
		return e, 0
	}
	e.FirstToken = time.Duration(reply.FirstTokenMillis) * time.Millisecond
	return e, max(e.FirstToken/time.Duration(reply.Load.Queued+1), minRequestCost)
}
