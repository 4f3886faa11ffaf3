package gate

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/monsoonworks/monsoonworks/internal/fleet"
	"github.com/monsoonworks/monsoonworks/internal/membership"
	"github.com/monsoonworks/monsoonworks/internal/upstream"
)

// errNotAdmitted means that the server wants no further requests. Nothing was sent.
var errNotAdmitted = errors.New("the server wants no further requests")

// connectAdmitted is connect for the server of an attempt. It fails with errNotAdmitted if
// the server does not admit the request, also if it has said so since the attempt began. If
// it fails, nothing was sent.
func (p *proxyRequest) connectAdmitted(ctx context.Context, attempt *fleet.Attempt) (*upstream.Conn, error) {
	if !attempt.MaySend(time.Now()) {
		p.gate.stats.membership.attemptsDropped.Inc(1)
		return nil, errNotAdmitted
	}
	conn, err := p.connect(ctx, attempt.Server().Address)
	if err == nil && !attempt.MaySend(time.Now()) {
		conn.Discard()
		p.gate.stats.membership.attemptsDropped.Inc(1)
		return nil, errNotAdmitted
	}
	return conn, err
}

// membershipStats counts what servers say of their membership. It is safe for concurrent use.
type membershipStats struct {
	leaving         metrics.Counter
	rests           metrics.Counter
	restsExtended   metrics.Counter
	invalidRests    metrics.Counter // refusals with an invalid Retry-After
	attemptsDropped metrics.Counter // attempts that ended with errNotAdmitted
}

func newMembershipStats(r metrics.Registry) membershipStats {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("monsoon.gate."+name, r) }
	return membershipStats{
		leaving: counter("servers_leaving"), rests: counter("server_rests"), restsExtended: counter("server_rests_extended"),
		invalidRests: counter("server_rests_invalid"), attemptsDropped: counter("attempts_not_admitted"),
	}
}

// updateMembership records what a response says about the membership of its server. It must
// be called as soon as the head has been read, so that the body does not delay the effect. A
// misdirected request was answered by another instance.
func (g *Gate) updateMembership(s *fleet.Server, conn *upstream.Conn, status int, info ResponseInfo) {
	if status == http.StatusMisdirectedRequest {
		return
	}
	now := time.Now()
	source := membership.Source{Address: s.Address, OpenedAt: conn.OpenedAt(), HeardAt: now}
	if info.Leaving && s.Member().Leave(source) {
		g.stats.membership.leaving.Inc(1)
		g.opts.Log.Info("server is leaving", "server", s.ID, "service", s.Service, "address", s.Address, "cause", "response")
	}
	if status == http.StatusServiceUnavailable {
		g.updateRest(s, source, info, now)
	}
}

// updateRest records the rest that a server asks for in a refusal. An invalid request for a
// rest has no effect.
func (g *Gate) updateRest(s *fleet.Server, source membership.Source, info ResponseInfo, now time.Time) {
	if info.RetryAfterErr != nil {
		g.stats.membership.invalidRests.Inc(1)
		if s.Member().ReportInvalid(now) {
			g.opts.Log.Warn("invalid request for a rest ignored", "server", s.ID, "service", s.Service, "error", info.RetryAfterErr)
		}
		return
	}
	change, until := s.Member().Rest(source, info.RetryAfter, now)
	switch change {
	case membership.RestUnchanged:
		return
	case membership.RestStarted:
		g.stats.membership.rests.Inc(1)
	case membership.RestExtended:
		g.stats.membership.restsExtended.Inc(1)
	}
	g.opts.Log.Info("server rest "+string(change), "server", s.ID, "service", s.Service, "address", s.Address,
		"cause", "refusal", "until", until, "asked_ms", info.RetryAfter.Milliseconds())
}

// retryAfter returns when to come back with a request that no server accepted: as soon as a
// server can get it, if all of them rest or are in backoff. Callers are spread over the ramp
// after the rest, so that they do not return in one instant.
func (p *proxyRequest) retryAfter() time.Duration {
	now := time.Now()
	end, resting := p.gate.opts.Servers.RestEnd(p.service.Name, now)
	if !resting || !end.After(now) {
		return retryAfterUnavailable
	}
	return max(end.Sub(now), retryAfterUnavailable) + membership.RampDelay(rand.Float64())
}
