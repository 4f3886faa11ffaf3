package route

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/hosts"
	"github.com/monsoonworks/monsoonworks/internal/membership"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

const (
	// failuresToEject is the number of consecutive failed attempts after which a
	// server is ejected. A single failure can be caused by the request.
	failuresToEject = 2
	// probeFailuresToEject is the number of consecutive unanswered probes after
	// which a server is ejected.
	probeFailuresToEject = 4
	// ejectMin is the duration of a first ejection. It doubles with each further
	// ejection.
	ejectMin = 2 * time.Second
	// ejectMax bounds the duration of an ejection, before jitter.
	ejectMax = time.Minute
	// maxEjectedDivisor limits ejections: at most 1/maxEjectedDivisor of the servers
	// of a pool are ejected at the same time.
	maxEjectedDivisor = 3
	// slowStartMinWeight is the initial weight of a server in slow start, as a
	// fraction of its full weight.
	slowStartMinWeight = 0.1
	// slowStartDoubling is the time in which the weight of a server in slow start
	// doubles.
	slowStartDoubling = 2 * time.Second
	// maxSendTimes is the number of send times kept per server to correct probe
	// replies.
	maxSendTimes = 16
)

// pool counts the ejected servers of one pool of a region.
type pool struct {
	mu      sync.Mutex
	size    int
	ejected int
}

// acquireEjection reports whether one more server of the pool may be ejected, and
// counts it if so.
func (p *pool) acquireEjection() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if (p.ejected+1)*maxEjectedDivisor > p.size {
		return false
	}
	p.ejected++
	return true
}

func (p *pool) releaseEjection() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ejected--
}

func (p *pool) setSize(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.size = n
}

// server is the health and load of one backend server as seen by the router. Lock
// order: mu, then pool.mu or that of member. Methods that do not lock mu require that the caller holds
// it.
type server struct {
	pool *pool

	mu            sync.Mutex
	host          hosts.Host
	failures      int // consecutive
	probeFailures int // consecutive unanswered probes
	ejections     int
	ejected       bool
	ejectedUntil  time.Time
	member        *membership.Member // of the lifetime with the ID boot; nil if it has said nothing
	slowStartFrom time.Time          // zero for a server with its full weight
	boot          [16]byte           // boot ID of the agent
	load          wire.Load
	sentSinceLoad int                     // requests sent since load was reported
	sentAt        [maxSendTimes]time.Time // ring buffer of the last send times
	nextSent      int                     // index in sentAt of the next send time
}

// usable reports whether the server may be chosen now. In slow start it is true with
// the probability of the server's weight.
func (s *server) usable(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isLeaving(now) || s.isEjected(now) {
		return false
	}
	weight := s.weight(now)
	return weight >= 1 || rand.Float64() < weight
}

// leaving reports whether the server is shutting down, according to the host list or
// to its agent.
func (s *server) leaving(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isLeaving(now)
}

func (s *server) isLeaving(now time.Time) bool {
	return s.host.Leaving || s.member != nil && !s.member.Accepts(now)
}

// lifetime returns what the server has said of its membership in its present lifetime.
func (s *server) lifetime() *membership.Member {
	if s.member == nil {
		s.member = membership.NewMember()
	}
	return s.member
}

// isEjected reports whether the server is ejected, after ending an ejection whose
// time has passed.
func (s *server) isEjected(now time.Time) bool {
	if s.ejected && !now.Before(s.ejectedUntil) {
		s.endEjection()
		s.slowStartFrom = now
	}
	return s.ejected
}

func (s *server) endEjection() {
	if s.ejected {
		s.ejected = false
		s.pool.releaseEjection()
	}
}

// weight returns the fraction of its full weight that a server has, from
// slowStartMinWeight to 1. At 1 it ends the slow start.
func (s *server) weight(now time.Time) float64 {
	if s.slowStartFrom.IsZero() {
		return 1
	}
	weight := slowStartMinWeight
	for t := now.Sub(s.slowStartFrom); t >= slowStartDoubling && weight < 1; t -= slowStartDoubling {
		weight *= 2
	}
	if weight >= 1 {
		s.slowStartFrom = time.Time{}
		return 1
	}
	return weight
}

// recordFailure records a failed attempt and ejects the server after
// failuresToEject of them in a row.
func (s *server) recordFailure(now time.Time) {
	s.failures++
	if s.failures >= failuresToEject {
		s.eject(now)
	}
}

// eject ejects the server, with jitter so that routers do not readmit it at the same
// time. It does nothing if too much of the pool is ejected.
func (s *server) eject(now time.Time) {
	if s.ejected || !s.pool.acquireEjection() {
		return
	}
	s.ejected = true
	period := min(ejectMin<<min(s.ejections, 10), ejectMax)
	s.ejectedUntil = now.Add(period + rand.N(period/4))
	s.ejections++
	s.failures, s.probeFailures = 0, 0
}

// markAlive records that the server is alive with the given boot ID. A server that has
// restarted begins a slow start.
func (s *server) markAlive(now time.Time, boot [16]byte) {
	s.probeFailures = 0
	if s.boot != boot && s.boot != [16]byte{} {
		s.slowStartFrom, s.member = now, nil
	}
	s.boot = boot
}

func (s *server) setLoad(load wire.Load) {
	s.load, s.sentSinceLoad = load, 0
	if load.Draining {
		s.lifetime().Leave(membership.Source{})
	}
}

// loadPerSlot returns the requests per slot: those last reported plus those sent
// since.
func (s *server) loadPerSlot() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return float64(int(s.load.Running+s.load.Queued)+s.sentSinceLoad) / float64(max(s.load.Slots, 1))
}

// recordSend records that a request is being sent to the server. It returns s.
func (s *server) recordSend() *server {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sentSinceLoad++
	s.sentAt[s.nextSent] = time.Now()
	s.nextSent = (s.nextSent + 1) % maxSendTimes
	return s
}

// sentSince returns the number of requests sent after t, at most maxSendTimes.
func (s *server) sentSince(t time.Time) (n int) {
	for _, at := range s.sentAt {
		if at.After(t) {
			n++
		}
	}
	return n
}

// recordAttempt applies the outcome of an attempt made in the lifetime with the given boot
// ID. What an earlier lifetime reported of its load and its drain no longer holds.
func (s *server) recordAttempt(now time.Time, boot [16]byte, res Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.boot != boot {
		res.Load = nil
		if res.Kind == ResultRefused && res.Code == verdict.CodeDraining {
			return
		}
	}
	s.applyResult(now, res)
}

// recordResult applies the outcome of an attempt to the server's health and load.
func (s *server) recordResult(now time.Time, res Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyResult(now, res)
}

func (s *server) applyResult(now time.Time, res Result) {
	if res.Load != nil {
		s.setLoad(*res.Load)
	}
	switch res.Kind {
	case ResultOK:
		s.failures, s.ejections = 0, 0
	case ResultFailed:
		s.recordFailure(now)
	case ResultRefused:
		s.recordRefusal(now, res)
	}
}

// recordRefusal applies a refusal. Refusals for load, deadlines, cancellations and
// fences say nothing about the server's health: they are not failures, and end a
// series of failures.
func (s *server) recordRefusal(now time.Time, res Result) {
	switch res.Code {
	case verdict.CodeDraining:
		s.lifetime().Leave(membership.Source{})
	case verdict.CodeOverloaded, verdict.CodeRateLimited, verdict.CodeDeadlineExceeded, verdict.CodeCanceled,
		verdict.CodeFenced:
		s.failures = 0
	default:
		s.recordFailure(now)
	}
}
