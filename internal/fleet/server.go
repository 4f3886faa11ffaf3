package fleet

import (
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
	// Broken means that the connection broke, or carried what is no answer.
	Broken
	// Silent means that nothing came in time.
	Silent
	// Misdirected means that another server has the address.
	Misdirected
	// Abandoned means that the attempt ended for reasons of the caller and says
	// nothing about the server.
	Abandoned
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
	// slowFactor is how many times the service's average a server's time may be.
	slowFactor = 2.5
	// slowMargin is what it must be above the average besides.
	slowMargin = 60 * time.Millisecond
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
	latency    float64 // average time to the first byte, in seconds
	avoidSince time.Time
}

func newServer(e Entry, g *group) *Server {
	return &Server{Entry: e, Key: xxhash.Sum64String(e.ID), group: g}
}

// Running returns the number of this gate's requests that have not ended.
func (s *Server) Running() int { return int(s.running.Load()) }

// Waiting returns the number of this gate's requests without a first byte.
func (s *Server) Waiting() int { return int(s.waiting.Load()) }

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

// Avoid reports whether other servers are to be preferred.
func (s *Server) Avoid(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.shedUntil) {
		return true
	}
	averageErrors, averageLatency := s.group.averages()
	slow := s.latency > averageLatency*slowFactor && s.latency > averageLatency+slowMargin.Seconds()
	if s.errors <= averageErrors+errorLimit && !slow {
		s.avoidSince = time.Time{}
		return false
	}
	if s.avoidSince.IsZero() {
		s.avoidSince = now
	}
	if now.Sub(s.avoidSince) > avoidRecheck {
		s.errors, s.latency, s.avoidSince = averageErrors, averageLatency, time.Time{}
		return false
	}
	return true
}

// Attempt is a request at a server.
type Attempt struct {
	server  *Server
	started time.Time
	begun   bool
	ended   bool
	first   time.Duration
}

// Begin notes that a request is sent to the server. End must be called once.
func (s *Server) Begin(now time.Time) *Attempt {
	s.running.Add(1)
	s.waiting.Add(1)
	s.mu.Lock()
	s.trial = s.failures > 0
	s.mu.Unlock()
	return &Attempt{server: s, started: now}
}

// FirstByte notes that the server began to answer.
func (a *Attempt) FirstByte(now time.Time) {
	if a.begun {
		return
	}
	a.begun, a.first = true, now.Sub(a.started)
	a.server.waiting.Add(-1)
	a.server.alive(a.first)
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
func (s *Server) alive(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken, s.failures, s.trial = 0, 0, false
	s.latency += (d.Seconds() - s.latency) * latencyWeight
	s.group.addLatency(d.Seconds())
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
	case Broken, Silent:
		s.addError(1)
		s.broken++
		if s.broken >= brokenLimit || s.failures > 0 {
			s.fail(now)
		}
	case Misdirected:
		s.gone = true
	case Abandoned:
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

// FirstAfter returns the time to the first byte, 0 if none came.
func (a *Attempt) FirstAfter() time.Duration { return a.first }
