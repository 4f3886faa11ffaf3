package route

import (
	"context"
	"time"

	"golang.org/x/time/rate"
)

// Figures of the use of links between regions.
const (
	// bytesPerToken and answerBytes estimate the size of a request and its answer
	// before it is sent; the real size is charged afterwards.
	bytesPerToken = 4
	answerBytes   = 16 << 10
	// minLinkBurst lets one large request pass a slow link.
	minLinkBurst = 1 << 20
	// maxLinkWait bounds how long a request waits for its share of the link.
	maxLinkWait = 500 * time.Millisecond
	// remoteCandidates is the number of servers of other regions that are probed.
	remoteCandidates = 2
)

// pickRemote returns the best server of other regions and its expected time to
// the first token, with the wait for the link. The caller uses it only if no
// local server can meet the deadline.
func (r *Router) pickRemote(ctx context.Context, q *Query, t *table) (*server, time.Duration) {
	if len(t.remote) == 0 || !r.setLink() {
		return nil, 0
	}
	v := &view{r: r, t: t, q: q, servers: t.remote, now: time.Now(), timeout: remoteProbeTimeout}
	var chosen []int
	for len(chosen) < remoteCandidates {
		i := randomUsable(v, chosen)
		if i < 0 {
			break
		}
		chosen = append(chosen, i)
	}
	estimates := make([]Estimate, len(chosen))
	v.Probe(ctx, chosen, estimates)
	v.release()
	best := -1
	for k, e := range estimates {
		if e.Known && e.FirstToken < unfit && (best < 0 || e.FirstToken < estimates[best].FirstToken) {
			best = k
		}
	}
	if best < 0 {
		return nil, 0
	}
	wait, ok := r.takeLink(int(q.PromptTokens)*bytesPerToken + answerBytes)
	if !ok {
		return nil, 0
	}
	return t.remote[chosen[best]], estimates[best].FirstToken + wait
}

// setLink follows the configured rate, with a full bucket after a change. It
// reports whether the link may be used.
func (r *Router) setLink() bool {
	limit := rate.Limit(r.LinkBytesPerSecond())
	if limit <= 0 {
		return false
	}
	if old := r.link.Load(); old.Limit() != limit {
		r.link.CompareAndSwap(old, rate.NewLimiter(limit, int(max(limit, minLinkBurst))))
	}
	return true
}

// takeLink takes bytes from the link's share if they are there within
// maxLinkWait, and returns the wait.
func (r *Router) takeLink(bytes int) (time.Duration, bool) {
	link := r.link.Load()
	taken := link.ReserveN(time.Now(), min(bytes, link.Burst()))
	if !taken.OK() {
		return 0, false
	}
	if wait := taken.Delay(); wait <= maxLinkWait {
		return wait, true
	}
	taken.Cancel()
	return 0, false
}

// chargeLink takes what an attempt used beyond the estimate, so that later
// requests wait for it.
func (r *Router) chargeLink(bytes int64) {
	link := r.link.Load()
	if extra := int(bytes) - answerBytes; extra > 0 && link.Burst() > 0 {
		link.ReserveN(time.Now(), min(extra, link.Burst()))
	}
}
