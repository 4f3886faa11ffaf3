package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// server is a backend server. Each start is a new lifetime with a new id, at the same address.
type server struct {
	d                 *deployment
	service, ip, zone string
	// handle replaces the sound behaviour if it returns true. It is called for each request
	// that was addressed to this lifetime.
	handle func(s *server, w http.ResponseWriter, r *http.Request) bool

	mu   sync.Mutex
	id   string
	born int64
	http *http.Server
	up   bool
	stop chan struct{}
}

func (d *deployment) addServer(service, ip, zone string) *server {
	s := &server{d: d, service: service, ip: ip, zone: zone}
	d.servers = append(d.servers, s)
	s.start()
	return s
}

func (s *server) address() string { return fmt.Sprintf("%s:%d", s.ip, serverPort) }

// start begins a new lifetime with a new id.
func (s *server) start() { s.startAs(fmt.Sprintf("i-%08x", rand.Uint32()), 0) }

// startAs begins a new lifetime. Its first entry is written after a time.
func (s *server) startAs(id string, reportAfter time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listener, err := net.Listen("tcp", s.address())
	if err != nil {
		cannotRun("server at %s: %v", s.address(), err)
	}
	s.id, s.born, s.up, s.stop = id, time.Now().UnixMilli(), true, make(chan struct{})
	s.http = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(id, w, r) })}
	go func(h *http.Server) { _ = h.Serve(listener) }(s.http)
	go func(born int64, stop <-chan struct{}) {
		time.Sleep(reportAfter)
		s.report(id, born, stop)
	}(s.born, s.stop)
	s.d.rec.add("server", "%s %s starts as %s", s.service, s.ip, s.id)
}

// report writes the entry of a lifetime every heartbeat until it ends. The platform removes it
// after three heartbeats of silence.
func (s *server) report(id string, born int64, stop <-chan struct{}) {
	for seq := 1; ; seq++ {
		entry := object{
			"service": s.service, "address": s.address(), "zone": s.zone, "version": "v1", "slots": 32,
			"state": "ready", "cold_left_ms": 0, "seq": seq, "born": born,
		}
		if s.service == "model" {
			entry["phase"], entry["models"] = "both", []object{{"name": "m", "version": 1, "adapters": []string{}}}
		}
		s.d.put("servers/"+id, entry)
		select {
		case <-time.After(heartbeat):
		case _, restarts := <-stop:
			if restarts {
				return
			}
			time.Sleep(3 * heartbeat)
			s.d.remove("servers/" + id)
			return
		}
	}
}

// crash ends the lifetime as the death of the process does: the listener and all connections
// are closed. The server is back after some seconds.
func (s *server) crash(id string, down time.Duration) {
	s.mu.Lock()
	if !s.up || s.id != id {
		s.mu.Unlock()
		return
	}
	s.up = false
	close(s.stop)
	h := s.http
	s.mu.Unlock()
	s.d.rec.add("server", "%s %s (%s) crashes", s.service, s.ip, id)
	_ = h.Close()
	go func() {
		time.Sleep(down)
		s.start()
	}()
}

func (s *server) alive(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.up && s.id == id
}

type lifetimeKey struct{}

func lifetime(r *http.Request) string { id, _ := r.Context().Value(lifetimeKey{}).(string); return id }

func (s *server) serve(id string, w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	if r.URL.Path == "/healthz" {
		header.Set("X-Monsoonworks-Instance-Id", id)
		return
	}
	attempt := r.Header.Get("X-Monsoonworks-Attempt-Id")
	header.Set("X-Monsoonworks-Attempt-Id", attempt)
	if expected := r.Header.Get("X-Monsoonworks-Expect-Instance"); expected != "" && expected != id {
		header.Set("X-Monsoonworks-Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.d.rec.add("reaches", "request %s reaches %s %s (%s)", attempt, s.service, s.ip, id)
	r = r.WithContext(context.WithValue(r.Context(), lifetimeKey{}, id))
	if s.handle != nil && s.handle(s, w, r) {
		return
	}
	s.answer(w, r)
}

func stamp(w http.ResponseWriter) {
	w.Header().Set("X-Monsoonworks-Server-Stamp", fmt.Sprintf("3e1b.07.5a2.600.0.%08x", rand.Uint32()))
}

// answer is the answer of a sound server.
func (s *server) answer(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	attempt := r.Header.Get("X-Monsoonworks-Attempt-Id")
	s.d.rec.ran(attempt, s.id)
	if s.service == "app" {
		if !pause(r, 30*time.Millisecond) {
			return
		}
		stamp(w)
		_, _ = fmt.Fprintf(w, "%s %s %d", r.Method, r.URL.Path, len(body))
		return
	}
	s.stream(w, r, 60*time.Millisecond, 15*time.Millisecond, 1<<30)
}

// events returns the first and the last event that a request asks for.
func events(r *http.Request) (first, last int) {
	_, output, _ := strings.Cut(r.Header.Get("X-Monsoonworks-Token-Count"), ",")
	tokens, _ := strconv.Atoi(output)
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	return after + 1, (tokens + stride - 1) / stride
}

// stream sends events until the last one, or most of them.
func (s *server) stream(w http.ResponseWriter, r *http.Request, prefill, gap time.Duration, most int) {
	first, last := events(r)
	if !pause(r, prefill) {
		return
	}
	stamp(w)
	w.Header().Set("Content-Type", "text/event-stream")
	for n := first; n <= last && n < first+most; n++ {
		if n > first && !pause(r, gap) {
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}

// pause waits and reports whether the caller is still there.
func pause(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}
