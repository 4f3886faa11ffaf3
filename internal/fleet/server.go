package fleet

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoonworks/monsoonworks/internal/membership"
)

// Result classifies the end of an attempt for the server's health.
type Result uint8

const (
	// Answered means that the server responded with success or with an error that the
	// request itself caused.
	Answered Result = iota
	// ServerError means that the server responded with an error of its own.
	ServerError
	// Shed means that the server refused the request without running it, or that the
	// gate has reached its limit of connections to the server.
	Shed
	// Unreachable means that the connection could not be opened.
	Unreachable
	// ConnectionFailed means that the connection broke or carried an invalid
	// response.
	ConnectionFailed
	// TimedOut means that the response, or the next part of it, did not arrive in time.
	TimedOut
	// Misdirected means that the address now belongs to another server.
	Misdirected
	// Canceled means that the attempt ended because of the caller, which says nothing
	// about the server.
	Canceled
)

const (
	// minBackoff is how long a server gets no requests after its first failure. The
	// time doubles with each consecutive failure, up to maxBackoff.
	minBackoff = 300 * time.Millisecond
	maxBackoff = 2 * time.Second
	// failureThreshold is the number of consecutive attempts with ConnectionFailed or
	// TimedOut that count as a failure of the server.
	failureThreshold = 2
	// shedBackoff is how long a server counts as degraded after the result Shed.
	shedBackoff = 100 * time.Millisecond
	// errorRateWeight is the weight of a new result in the moving average of a
	// server's error rate.
	errorRateWeight = 0.12
	// maxExcessErrorRate is how far a server's error rate may exceed the average of
	// the service before the server counts as degraded.
	maxExcessErrorRate = 0.2
	// slownessWeight is the weight of a new measurement in the moving average of a
	// server's slowness, the ratio of its times to first byte to the service's mean.
	slownessWeight = 0.2
	// maxSlowness is the slowness above which a server counts as degraded.
	maxSlowness = 2.5
	// degradedRecheck is how long a server counts as degraded before its averages are
	// reset, so that it gets requests again and can recover.
	degradedRecheck = 2 * time.Second
)

// Server is a backend server with its load and health as this gate sees them. It is
// safe for concurrent use. While its mutex is held, only that of its serviceStats
// is acquired.
type Server struct {
	Entry
	// Key is a hash of the server's ID.
	Key uint64

	rank              atomic.Uint64 // a float64, see math.Float64bits
	inProgress        atomic.Int32
	awaitingFirstByte atomic.Int32
	stats             *serviceStats
	member            *membership.Member

	mu                      sync.Mutex
	consecutiveConnFailures int // attempts with ConnectionFailed or TimedOut since the last response or Shed
	consecutiveFailures     int // backoffs started since the last response or Shed
	backoffUntil            time.Time
	probing                 bool // one request tests whether the server has recovered
	shedUntil               time.Time
	misdirected             bool // the address belongs to another server
	errorRate               float64
	slowness                float64 // mean ratio of the time to first byte to that of the service
	degradedSince           time.Time
}

func newServer(e Entry, stats *serviceStats, member *membership.Member) *Server {
	return &Server{Entry: e, Key: xxhash.Sum64String(e.ID), stats: stats, member: member}
}

// Member returns what the server has said of its membership in this lifetime. It is the
// same for all Servers of one lifetime.
func (s *Server) Member() *membership.Member { return s.member }

// InProgress returns the number of this gate's requests in progress at the server.
func (s *Server) InProgress() int { return int(s.inProgress.Load()) }

// AwaitingFirstByte returns the number of this gate's requests at the server
// without a first response byte.
func (s *Server) AwaitingFirstByte() int { return int(s.awaitingFirstByte.Load()) }

// Rank returns the server's position among those of its service and failure domain,
// between 0 and 1. It is the same at every gate that knows the same servers.
func (s *Server) Rank() float64 { return math.Float64frombits(s.rank.Load()) }

func (s *Server) setRank(rank float64) { s.rank.Store(math.Float64bits(rank)) }

// Usable reports whether the server may get a request now: its membership admits one, and
// it is not in backoff. After a failure and its backoff it gets one request at a time until
// it responds to one.
func (s *Server) Usable(now time.Time) bool {
	if !s.member.Available(now) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.misdirected || now.Before(s.backoffUntil) {
		return false
	}
	return s.consecutiveFailures == 0 || !s.probing
}

// usableAt returns the earliest time from now on at which the server may get a request, as
// far as is known. It returns false if it will get none in this lifetime.
func (s *Server) usableAt(now time.Time) (time.Time, bool) {
	at, ok := s.member.AvailableAt(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.backoffUntil.After(at) {
		at = s.backoffUntil
	}
	return at, ok && !s.misdirected
}

// Degraded reports whether the server should be chosen only if no other can be: it
// has just shed a request, is slow or returns more errors than others of its service.
// It resets the averages of a server that was slow or returned errors for
// degradedRecheck.
func (s *Server) Degraded(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.shedUntil) {
		return true
	}
	serviceErrorRate := s.stats.currentErrorRate()
	if s.errorRate <= serviceErrorRate+maxExcessErrorRate && s.slowness <= maxSlowness {
		s.degradedSince = time.Time{}
		return false
	}
	if s.degradedSince.IsZero() {
		s.degradedSince = now
	}
	if now.Sub(s.degradedSince) > degradedRecheck {
		s.errorRate, s.slowness, s.degradedSince = serviceErrorRate, 1, time.Time{}
		return false
	}
	return true
}

// Attempt is one request sent to a server. It must not be used concurrently.
type Attempt struct {
	server          *Server
	class           PromptClass
	started         time.Time
	admitted        bool // by the server's membership
	gotFirstByte    bool
	ended           bool
	timeToFirstByte time.Duration
}

// PromptClass separates requests whose typical times to the first byte differ.
type PromptClass uint8

// Prompt classes, separated by placement.Policy.LongPromptTokens.
const (
	ShortPrompt PromptClass = iota
	LongPrompt
	numPromptClasses // the number of classes
)

// Begin records that a request is sent to the server. End must be called on the
// returned Attempt.
func (s *Server) Begin(class PromptClass, now time.Time) *Attempt {
	s.inProgress.Add(1)
	s.awaitingFirstByte.Add(1)
	s.mu.Lock()
	s.probing = s.consecutiveFailures > 0
	s.mu.Unlock()
	return &Attempt{server: s, class: class, started: now, admitted: s.member.Admit(now)}
}

// MaySend reports whether the request may be sent now. It is false if concurrent requests
// were admitted instead, or if the server has said since Begin that it wants no requests.
func (a *Attempt) MaySend(now time.Time) bool { return a.admitted && a.server.member.Accepts(now) }

// Server returns the server of the attempt.
func (a *Attempt) Server() *Server { return a.server }

// Stall records that the server has been silent for too long, but may still respond. End must be
// called all the same.
func (a *Attempt) Stall(now time.Time) { a.server.observeResult(TimedOut, now) }

// FirstByte records the first byte of the response. Further calls, and those after End, do nothing.
func (a *Attempt) FirstByte(now time.Time) {
	if a.gotFirstByte || a.ended {
		return
	}
	a.gotFirstByte, a.timeToFirstByte = true, now.Sub(a.started)
	a.server.awaitingFirstByte.Add(-1)
	a.server.observeFirstByte(a.class, a.timeToFirstByte)
}

// End records the result of the attempt. Further calls do nothing.
func (a *Attempt) End(result Result, now time.Time) {
	if a.ended {
		return
	}
	a.ended = true
	if !a.gotFirstByte {
		a.server.awaitingFirstByte.Add(-1)
	}
	a.server.inProgress.Add(-1)
	a.server.observeResult(result, now)
}

// observeFirstByte records a time to first byte of d.
func (s *Server) observeFirstByte(class PromptClass, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.consecutiveConnFailures, s.consecutiveFailures, s.probing = 0, 0, false
	s.slowness += (s.stats.observeFirstByte(class, d) - s.slowness) * slownessWeight
}

func (s *Server) observeResult(result Result, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch result {
	case Answered:
		s.consecutiveConnFailures, s.consecutiveFailures, s.probing = 0, 0, false
		s.observeError(0)
	case ServerError:
		s.observeError(1)
	case Shed:
		s.consecutiveConnFailures, s.consecutiveFailures, s.probing = 0, 0, false
		s.shedUntil = now.Add(shedBackoff)
	case Unreachable:
		s.startBackoff(now)
	case ConnectionFailed, TimedOut:
		s.observeError(1)
		s.consecutiveConnFailures++
		if s.consecutiveConnFailures >= failureThreshold || s.consecutiveFailures > 0 {
			s.startBackoff(now)
		}
	case Misdirected:
		s.misdirected = true
	case Canceled:
		s.probing = false
	}
}

// observeError adds a sample to the error rates: 1 for an attempt that failed, 0 for
// one that succeeded.
func (s *Server) observeError(sample float64) {
	s.errorRate += (sample - s.errorRate) * errorRateWeight
	s.stats.observeError(sample)
}

// startBackoff stops requests to the server for a time that doubles with each
// consecutive failure. The shift is limited so that it cannot overflow.
func (s *Server) startBackoff(now time.Time) {
	backoff := min(minBackoff<<min(s.consecutiveFailures, 8), maxBackoff)
	s.consecutiveFailures++
	s.probing = false
	s.backoffUntil = now.Add(backoff)
}

// TimeToFirstByte returns the time to the first byte, 0 if there was none.
func (a *Attempt) TimeToFirstByte() time.Duration { return a.timeToFirstByte }
