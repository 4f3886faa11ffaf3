package route

import (
	"context"
	"time"

	"golang.org/x/time/rate"
)

const (
	// bytesPerToken is the assumed size of a request per prompt token. It is used to
	// reserve link bandwidth before the request is sent.
	bytesPerToken = 4
	// responseBytes is the assumed size of a response. What an attempt sends and
	// receives beyond it is charged afterwards.
	responseBytes = 16 << 10
	// minLinkBurst is the minimum burst size of the link limiter, in bytes. The burst
	// size limits a single reservation, so this lets a large request reserve its
	// whole size on a slow link.
	minLinkBurst = 1 << 20
	// maxLinkWait is the longest wait for link bandwidth at which a server of another
	// region may be chosen.
	maxLinkWait = 500 * time.Millisecond
	// maxRemoteProbes is the maximum number of servers of other regions probed per
	// request.
	maxRemoteProbes = 2
)

// pickRemote returns the best of a few random servers of other regions and its
// expected time to the first token, including the wait for link bandwidth; nil if
// there is none. It reserves the bandwidth. It is called only if the chosen local
// server, if any, is not expected to meet the deadline.
func (r *Router) pickRemote(ctx context.Context, q *Query, t *table) (*server, time.Duration) {
	if len(t.remote) == 0 || !r.updateLinkLimiter() {
		return nil, 0
	}
	c := &candidateSet{r: r, t: t, q: q, servers: t.remote, now: time.Now(), timeout: remoteProbeTimeout}
	var chosen []int
	for len(chosen) < maxRemoteProbes {
		i := randomUsable(c, chosen)
		if i < 0 {
			break
		}
		chosen = append(chosen, i)
	}
	estimates := make([]Estimate, len(chosen))
	c.Probe(ctx, chosen, estimates)
	c.unlock()
	best := -1
	for k, e := range estimates {
		if e.Known && e.FirstToken < unusableEstimate && (best < 0 || e.FirstToken < estimates[best].FirstToken) {
			best = k
		}
	}
	if best < 0 {
		return nil, 0
	}
	wait, ok := r.reserveLink(int(q.PromptTokens)*bytesPerToken + responseBytes)
	if !ok {
		return nil, 0
	}
	return t.remote[chosen[best]], estimates[best].FirstToken + wait
}

// updateLinkLimiter replaces the limiter if the configured rate has changed; the new
// one starts with a full burst. It reports whether the link may be used.
func (r *Router) updateLinkLimiter() bool {
	limit := rate.Limit(r.LinkBytesPerSecond())
	if limit <= 0 {
		return false
	}
	if old := r.linkLimiter.Load(); old.Limit() != limit {
		r.linkLimiter.CompareAndSwap(old, rate.NewLimiter(limit, int(max(limit, minLinkBurst))))
	}
	return true
}

// reserveLink reserves bandwidth for the given bytes and returns how long to wait for
// it. It fails if that exceeds maxLinkWait.
func (r *Router) reserveLink(bytes int) (time.Duration, bool) {
	limiter := r.linkLimiter.Load()
	reservation := limiter.ReserveN(time.Now(), min(bytes, limiter.Burst()))
	if !reservation.OK() {
		return 0, false
	}
	if wait := reservation.Delay(); wait <= maxLinkWait {
		return wait, true
	}
	reservation.Cancel()
	return 0, false
}

// chargeLink charges what an attempt sent and received beyond responseBytes to the
// link, which lengthens the wait of later requests.
func (r *Router) chargeLink(bytes int64) {
	limiter := r.linkLimiter.Load()
	if extra := int(bytes) - responseBytes; extra > 0 && limiter.Burst() > 0 {
		limiter.ReserveN(time.Now(), min(extra, limiter.Burst()))
	}
}
