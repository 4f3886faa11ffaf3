// Package service is a stand-in for a plain service, with endpoints for orders,
// stock and echo. It logs every execution; checkers use the log as the ground
// truth.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const maxBodyBytes = 8 << 20

// Config configures a service.
type Config struct {
	// ExecutionDelay is the time from the start of a call to its execution.
	// ResponseDelay is the time from the execution to the response.
	ExecutionDelay time.Duration
	ResponseDelay  time.Duration
}

// Execution is an entry of the ground-truth log: one executed call.
type Execution struct {
	// Number counts the calls in order of execution, from 1.
	Number int
	Method string
	Path   string
	// Key is the Idempotency-Key header. Attempt is the X-Request-Id header, which
	// agents do not send to plain services.
	Key     string
	Attempt string
	Body    string
	At      time.Time
	// ResponseWritten is false if the caller disconnected before the response was
	// written.
	ResponseWritten bool
}

// Echo is the response of the echo endpoint.
type Echo struct {
	Method string      `json:"method"`
	Path   string      `json:"path"`
	Query  string      `json:"query"`
	Header http.Header `json:"header"`
	Host   string      `json:"host"`
	Body   string      `json:"body"`
}

// Service is a plain service. It is safe for concurrent use.
type Service struct {
	mu  sync.Mutex
	cfg Config
	log []*Execution
}

// New returns a service with an empty log.
func New(cfg Config) *Service { return &Service{cfg: cfg} }

// SetDelays changes the delays of calls that start from now on.
func (s *Service) SetDelays(executionDelay, responseDelay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cfg.ExecutionDelay, s.cfg.ResponseDelay = executionDelay, responseDelay
}

// Executions returns the log of all executed calls, in order of execution.
func (s *Service) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	executions := make([]Execution, len(s.log))
	for i, r := range s.log {
		executions[i] = *r
	}
	return executions
}

// Handler serves POST /orders, GET /stock, and /echo with any method.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", s.serveOrder)
	mux.HandleFunc("GET /stock", s.serveStock)
	mux.HandleFunc("/echo", s.serveEcho)
	mux.HandleFunc("/echo/", s.serveEcho)
	return mux
}

// begin waits for ExecutionDelay, logs the call as executed, and returns the log entry
// and ResponseDelay. The entry is nil if the caller disconnected before the execution.
func (s *Service) begin(r *http.Request, body []byte) (*Execution, time.Duration) {
	s.mu.Lock()
	executionDelay, responseDelay := s.cfg.ExecutionDelay, s.cfg.ResponseDelay
	s.mu.Unlock()
	select {
	case <-time.After(executionDelay):
	case <-r.Context().Done():
		return nil, 0
	}
	execution := &Execution{
		Method: r.Method, Path: r.URL.Path, Body: string(body), At: time.Now(),
		Key: r.Header.Get("Idempotency-Key"), Attempt: r.Header.Get("X-Request-Id"),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = append(s.log, execution)
	execution.Number = len(s.log)
	return execution, responseDelay
}

// respond waits for responseDelay and sends the response, unless the caller disconnects
// before.
func (s *Service) respond(w http.ResponseWriter, r *http.Request, execution *Execution, responseDelay time.Duration, status int, v any) {
	select {
	case <-time.After(responseDelay):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	err := json.NewEncoder(w).Encode(v)
	s.mu.Lock()
	defer s.mu.Unlock()
	execution.ResponseWritten = err == nil
}

func (s *Service) serveOrder(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "incomplete body", http.StatusBadRequest)
		return
	}
	execution, responseDelay := s.begin(r, body)
	if execution == nil {
		return
	}
	w.Header().Set("Location", "/orders/"+strconv.Itoa(execution.Number))
	s.respond(w, r, execution, responseDelay, http.StatusCreated, map[string]any{"order": execution.Number, "body": string(body)})
}

func (s *Service) serveStock(w http.ResponseWriter, r *http.Request) {
	execution, responseDelay := s.begin(r, nil)
	if execution == nil {
		return
	}
	s.respond(w, r, execution, responseDelay, http.StatusOK, map[string]int{"vanilla": 40, "mango": 25, "polish": 12})
}

func (s *Service) serveEcho(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "incomplete body", http.StatusBadRequest)
		return
	}
	execution, responseDelay := s.begin(r, body)
	if execution == nil {
		return
	}
	s.respond(w, r, execution, responseDelay, http.StatusOK, Echo{
		Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery, Header: r.Header, Host: r.Host, Body: string(body),
	})
}
