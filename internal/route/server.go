package route

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/hosts"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// Figures of the health of servers.
const (
	// failuresToEject is the number of failures in a row that eject a server. One
	// alone can be the fault of the request.
	failuresToEject = 2
	// silencesToEject is the number of unanswered probes in a row that eject one.
	silencesToEject = 4
	// ejectMin and ejectMax bound how long a server is ejected; each further
	// ejection doubles it.
	ejectMin = 2 * time.Second
	ejectMax = time.Minute
	// maxEjectedShare is the part of a pool that may be ejected, as 1/n.
	maxEjectedShare = 3
	// drainMemory is how long a refusal for draining keeps a server out, unless
	// the host list reports it first.
	drainMemory = 30 * time.Second
	// A server that returned gets slowStartShare of its share at first, and
	// doubles it every slowStartDouble.
	slowStartShare  = 0.1
	slowStartDouble = 2 * time.Second
	// maxRecent is the number of recent requests that are remembered to correct
	// the answers to probes.
	maxRecent = 16
)

// pool counts the ejected servers of one pool of one region.
type pool struct {
	mu      sync.Mutex
	size    int
	ejected int
}

// takeEjection reports whether one more server of the pool may be ejected.
func (p *pool) takeEjection() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if (p.ejected+1)*maxEjectedShare > p.size {
		return false
	}
	p.ejected++
	return true
}

func (p *pool) returnEjection() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ejected--
}

func (p *pool) setSize(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.size = n
}

// server is what the router knows about one backend server. Lock order: mu, then
// the pool's.
type server struct {
	pool *pool

	mu           sync.Mutex
	host         hosts.Host
	failures     int // in a row
	silences     int // probes without answer in a row
	ejections    int
	ejected      bool
	ejectedUntil time.Time
	drainedUntil time.Time
	returned     time.Time // zero for a server with its full share
	boot         [16]byte
	load         wire.Load
	sinceLoad    int                  // requests sent since load was reported
	sentAt       [maxRecent]time.Time // when the last requests were sent, a ring
	nextSent     int
}

// usable reports whether the server may get a request now.
func (s *server) usable(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.host.Leaving || now.Before(s.drainedUntil) || s.stillEjected(now) {
		return false
	}
	share := s.share(now)
	return share >= 1 || rand.Float64() < share
}

// leaving reports whether the server takes no new work for good.
func (s *server) leaving(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.host.Leaving || now.Before(s.drainedUntil)
}

// stillEjected ends an ejection whose time is over.
func (s *server) stillEjected(now time.Time) bool {
	if s.ejected && !now.Before(s.ejectedUntil) {
		s.endEjection()
		s.returned = now
	}
	return s.ejected
}

func (s *server) endEjection() {
	if s.ejected {
		s.ejected = false
		s.pool.returnEjection()
	}
}

// share is the part of its full share that a server gets, from slowStartShare to
// 1.
func (s *server) share(now time.Time) float64 {
	if s.returned.IsZero() {
		return 1
	}
	share := slowStartShare
	for t := now.Sub(s.returned); t >= slowStartDouble && share < 1; t -= slowStartDouble {
		share *= 2
	}
	if share >= 1 {
		s.returned = time.Time{}
		return 1
	}
	return share
}

func (s *server) failed(now time.Time) {
	s.failures++
	if s.failures >= failuresToEject {
		s.eject(now)
	}
}

func (s *server) eject(now time.Time) {
	if s.ejected || !s.pool.takeEjection() {
		return
	}
	s.ejected = true
	period := min(ejectMin<<min(s.ejections, 10), ejectMax)
	s.ejectedUntil = now.Add(period + rand.N(period/4))
	s.ejections++
	s.failures, s.silences = 0, 0
}

// answered notes that the server is alive with the given boot. One that has
// restarted starts with a small share.
func (s *server) answered(now time.Time, boot [16]byte) {
	s.silences = 0
	if s.boot != boot && s.boot != [16]byte{} {
		s.returned = now
		s.drainedUntil = time.Time{}
	}
	s.boot = boot
}

func (s *server) setLoad(now time.Time, load wire.Load) {
	s.load, s.sinceLoad = load, 0
	if load.Draining {
		s.drainedUntil = now.Add(drainMemory)
	}
}

// loadPerSlot is the reported load plus what was sent since, per slot.
func (s *server) loadPerSlot() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return float64(int(s.load.Running+s.load.Queued)+s.sinceLoad) / float64(max(s.load.Slots, 1))
}

// begin counts a request that is sent to the server, and returns it.
func (s *server) begin() *server {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sinceLoad++
	s.sentAt[s.nextSent] = time.Now()
	s.nextSent = (s.nextSent + 1) % maxRecent
	return s
}

// sentSince counts the requests sent after t, maxRecent at most.
func (s *server) sentSince(t time.Time) (n int) {
	for _, at := range s.sentAt {
		if at.After(t) {
			n++
		}
	}
	return n
}

// finish notes how an attempt ended.
func (s *server) finish(now time.Time, res Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if res.Load != nil {
		s.setLoad(now, *res.Load)
	}
	switch res.Kind {
	case ResultOK:
		s.failures, s.ejections = 0, 0
	case ResultFailed:
		s.failed(now)
	case ResultRefused:
		s.refused(now, res)
	}
}

// refused notes a refusal. One for load says nothing about the server's health.
func (s *server) refused(now time.Time, res Result) {
	switch res.Code {
	case verdict.CodeDraining:
		s.drainedUntil = now.Add(drainMemory)
	case verdict.CodeOverloaded, verdict.CodeRateLimited, verdict.CodeDeadlineExceeded, verdict.CodeCanceled,
		verdict.CodeFenced:
		s.failures = 0
	default:
		s.failed(now)
	}
}
