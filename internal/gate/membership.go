package gate

import (
	"errors"
	"net/http"

	"github.com/rcrowley/go-metrics"

	"github.com/monsoonworks/monsoonworks/internal/fleet"
	"github.com/monsoonworks/monsoonworks/internal/upstream"
)

// errNotAdmitted means that the server wants no further requests. Nothing was sent.
var errNotAdmitted = errors.New("the server wants no further requests")

// connect gets a connection to the server of an attempt. It fails with errNotAdmitted if
// the server has said since the attempt began that it is leaving. If it fails, nothing was
// sent.
func (p *proxyRequest) connect(attempt *fleet.Attempt) (*upstream.Conn, error) {
	conn, err := p.gate.opts.Pool.Get(p.r.Context(), attempt.Server().Address, connectionLimit(p.service))
	if err == nil && !attempt.MaySend() {
		conn.Discard()
		p.gate.stats.membership.attemptsDropped.Inc(1)
		return nil, errNotAdmitted
	}
	return conn, err
}

// membershipStats counts what servers say of their membership. It is safe for concurrent use.
type membershipStats struct {
	leaving         metrics.Counter
	attemptsDropped metrics.Counter // attempts that ended with errNotAdmitted
}

func newMembershipStats(r metrics.Registry) membershipStats {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("monsoon.gate."+name, r) }
	return membershipStats{
		leaving: counter("servers_leaving"), attemptsDropped: counter("attempts_not_admitted"),
	}
}

// updateMembership records what a response says about the membership of its server. It must
// be called as soon as the head has been read, so that the body does not delay the effect. A
// misdirected request was answered by another instance.
func (g *Gate) updateMembership(s *fleet.Server, status int, info ResponseInfo) {
	if status == http.StatusMisdirectedRequest {
		return
	}
	if info.Leaving && s.Member().Leave() {
		g.stats.membership.leaving.Inc(1)
		g.opts.Log.Info("server is leaving", "server", s.ID, "service", s.Service, "address", s.Address, "cause", "response")
	}
}
