package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// request is one requester attempt.
type request struct {
	id       string
	kind     string // the first part of the path, the name of the route
	path     string
	method   string
	tenant   string
	parts    string
	tokens   string
	body     string
	deadline time.Duration
	gate     int
}

// answer is what the requester got.
type answer struct {
	status     int
	events     int
	complete   bool
	err        error
	retryAfter string
	body       string
	took       time.Duration
	firstEvent time.Duration
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends a request to a gate on a new channel and reads the answer.
func (d *deployment) send(q request) answer {
	if q.id == "" {
		q.id = newID()
	}
	if q.method == "" {
		q.method = http.MethodPost
	}
	if q.parts != "" && q.body == "" {
		q.body = "prompt of " + q.id // no two alike
	}
	if q.deadline == 0 {
		q.deadline = 4 * time.Second
	}
	d.rec.add("sent", "request %s %s%s parts %q to gate %d", q.id, q.kind, q.path, q.parts, q.gate)
	start := time.Now()
	a := d.exchange(q, start)
	a.took = time.Since(start)
	d.rec.add("answered", "request %s: status %d, %d events, complete %v, retry-after %q, %v, %d ms", q.id, a.status, a.events, a.complete, a.retryAfter, a.err, a.took.Milliseconds())
	return a
}

func (d *deployment) exchange(q request, start time.Time) (a answer) {
	target := fmt.Sprintf("http://%s:%d/%s%s", d.gateIPs[q.gate], frontendPort, q.kind, q.path)
	r, err := http.NewRequest(q.method, target, strings.NewReader(q.body))
	if err != nil {
		return answer{err: err}
	}
	r.Host = host
	r.Header.Set("X-Monsoonworks-Attempt-Id", q.id)
	r.Header.Set("X-Monsoonworks-Deadline-Ms", fmt.Sprint(q.deadline.Milliseconds()))
	r.Header.Set("Authorization", "Token key-"+q.tenant)
	if q.parts != "" {
		r.Header.Set("X-Monsoonworks-Model", "m")
		r.Header.Set("X-Monsoonworks-Prefix-Hash", q.parts)
		r.Header.Set("X-Monsoonworks-Token-Count", q.tokens)
	}
	client := &http.Client{Timeout: q.deadline, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	a.status, a.retryAfter = response.StatusCode, response.Header.Get("Retry-After")
	if !strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		raw, err := io.ReadAll(response.Body)
		a.body, a.complete, a.err = string(raw), err == nil, err
		return a
	}
	reader := bufio.NewReader(response.Body)
	for {
		line, err := reader.ReadString('\n')
		if err == io.EOF {
			a.complete = true
			return a
		}
		if err != nil {
			a.err = err
			return a
		}
		if strings.HasPrefix(line, "data:") {
			if a.events == 0 {
				a.firstEvent = time.Since(start)
			}
			a.events++
		}
	}
}
