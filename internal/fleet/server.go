package fleet

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Result is how an attempt ended for a server's health.
type Result uint8

const (
	// Answered means that the server answered with success or with a failure of
	// the request's own.
	Answered Result = iota
	// ServerError means that the server answered that it failed.
	ServerError
	// Shed means that the server refused the request because it is full.
	Shed
	// Unreachable means that no connection was made.
	Unreachable
	// ConnectionFailed means that the connection broke, or carried what is no answer.
	ConnectionFailed
	// TimedOut means that nothing came in time.
	TimedOut
	// Misdirected means that another server has the address.
	Misdirected
	// Canceled means that the attempt ended for reasons of the caller and says
	// nothing about the server.
	Canceled
)

// Figures of the judgement of servers.
const (
	// firstBackoff and maxBackoff bound how long a server that cannot be reached
	// or does not answer gets no requests.
	firstBackoff = 300 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// brokenLimit is the number of broken or silent attempts in a row that count
	// as a failure of the server.
	brokenLimit = 2
	// shedPause is how long a full server is avoided.
	shedPause = 100 * time.Millisecond
	// errorWeight is the weight of a new result in a server's share of errors.
	errorWeight = 0.12
	// errorLimit is the share of errors above the service's average from which a
	// server is avoided.
	errorLimit = 0.2
	// latencyWeight is the weight of a new time in a server's average.
	latencyWeight = 0.2
	// slowFactor is how many times the usual time a server may take on average.
	slowFactor = 2.5
	// avoidRecheck is how long a server is avoided before its figures count as
	// forgotten.
	avoidRecheck = 2 * time.Second
)

// Server is a backend server as this gate sees it. It is safe for concurrent use.
// Its mutex is a leaf.
type Server struct {
	Entry
	// Key is a hash of the server's id.
	Key uint64

	rank    atomic.Uint64 // bits of a float64
	running atomic.Int32
	waiting atomic.Int32
	group   *group

	mu         sync.Mutex
	broken     int       // broken and silent attempts in a row
	failures   int       // failures of the server in a row
	downUntil  time.Time // no requests until then
	trial      bool      // a request is finding out whether the server is back
	shedUntil  time.Time
	gone       bool // another server has the address
	errors     float64
	slowness   float64 // average time to the first byte, against the usual one
	avoidSince time.Time
}

func newServer(e Entry, g *group) *Server {
	return &Server{Entry: e, Key: xxhash.Sum64String(e.ID), group: g}
}

// InProgress returns the number of this gate's requests that have not ended.
func (s *Server) InProgress() int { return int(s.running.Load()) }

// AwaitingFirstByte returns the number of this gate's requests without a first byte.
func (s *Server) AwaitingFirstByte() int { return int(s.waiting.Load()) }

// Rank returns the server's place among those of its service and domain, in 0 to 1.
// It is the same at every gate that knows the same servers.
func (s *Server) Rank() float64 { return math.Float64frombits(s.rank.Load()) }

func (s *Server) setRank(rank float64) { s.rank.Store(math.Float64bits(rank)) }

// Usable reports whether the server may get a request now. After a failure it
// gets one request at a time until one is answered.
func (s *Server) Usable(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gone || now.Before(s.downUntil) {
		return false
	}
	return s.failures == 0 || !s.trial
}

// Degraded reports whether other servers are to be preferred.
func (s *Server) Degraded(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.shedUntil) {
		return true
	}
	averageErrors := s.group.averageErrors()
	if s.errors <= averageErrors+errorLimit && s.slowness <= slowFactor {
		s.avoidSince = time.Time{}
		return false
	}
	if s.avoidSince.IsZero() {
		s.avoidSince = now
	}
	if now.Sub(s.avoidSince) > avoidRecheck {
		s.errors, s.slowness, s.avoidSince = averageErrors, 1, time.Time{}
		return false
	}
	return true
}

// Attempt is a request at a server.
type Attempt struct {
	server  *Server
	class   PromptClass
	started time.Time
	begun   bool
	ended   bool
	first   time.Duration
}

// PromptClass tells requests apart whose usual times differ.
type PromptClass uint8

// Classes of requests.
const (
	ShortPrompt PromptClass = iota
	LongPrompt
	classes
)

// Begin notes that a request is sent to the server. End must be called once.
func (s *Server) Begin(class PromptClass, now time.Time) *Attempt {
	s.running.Add(1)
	s.waiting.Add(1)
	s.mu.Lock()
	s.trial = s.failures > 0
	s.mu.Unlock()
	return &Attempt{server: s, class: class, started: now}
}

// FirstByte notes that the server began to answer.
func (a *Attempt) FirstByte(now time.Time) {
	if a.begun {
		return
	}
	a.begun, a.first = true, now.Sub(a.started)
	a.server.waiting.Add(-1)
	a.server.alive(a.class, a.first)
}

// End notes how the request ended. Further calls do nothing.
func (a *Attempt) End(result Result, now time.Time) {
	if a.ended {
		return
	}
	a.ended = true
	if !a.begun {
		a.server.waiting.Add(-1)
	}
	a.server.running.Add(-1)
	a.server.note(result, now)
}

// alive notes a first byte after d.
func (s *Server) alive(class PromptClass, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken, s.failures, s.trial = 0, 0, false
	s.slowness += (s.group.slowness(class, d) - s.slowness) * latencyWeight
}

func (s *Server) note(result Result, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch result {
	case Answered:
		s.broken, s.failures, s.trial = 0, 0, false
		s.addError(0)
	case ServerError:
		s.addError(1)
	case Shed:
		s.broken, s.failures, s.trial = 0, 0, false
		s.shedUntil = now.Add(shedPause)
	case Unreachable:
		s.fail(now)
	case ConnectionFailed, TimedOut:
		s.addError(1)
		s.broken++
		if s.broken >= brokenLimit || s.failures > 0 {
			s.fail(now)
		}
	case Misdirected:
		s.gone = true
	case Canceled:
		s.trial = false
	}
}

func (s *Server) addError(x float64) {
	s.errors += (x - s.errors) * errorWeight
	s.group.addError(x)
}

// fail keeps requests away for a time that doubles with each failure in a row.
func (s *Server) fail(now time.Time) {
	backoff := min(firstBackoff<<min(s.failures, 8), maxBackoff)
	s.failures++
	s.trial = false
	s.downUntil = now.Add(backoff)
}

// TimeToFirstByte returns the time to the first byte, 0 if none came.
func (a *Attempt) TimeToFirstByte() time.Duration { return a.first }
