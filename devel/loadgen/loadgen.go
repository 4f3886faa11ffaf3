package loadgen

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/monsoonworks/monsoonworks/devel/history"
)

// Endpoint is a router that callers can reach.
type Endpoint struct {
	Name string
	URL  string
}

// Defaults of Options.
const (
	DefaultMaxTries   = 6
	DefaultTryTimeout = 20 * time.Second
	// firstPause is the time before the first retry; it doubles up to maxPause.
	firstPause = 250 * time.Millisecond
	maxPause   = 4 * time.Second
)

// Options configure a Generator.
type Options struct {
	Plan  Plan
	Names Names
	// Routers are where callers send their requests.
	Routers []Endpoint
	// Keys holds an API key by workspace, Budgets the budget that it pays from.
	Keys    map[string]string
	Budgets map[string]string
	// MaxTries bounds the tries of one request, TryTimeout the time of each.
	MaxTries   int
	TryTimeout time.Duration
	// Transport replaces the HTTP transport, for tests.
	Transport http.RoundTripper
}

// Generator sends the requests of one plan.
type Generator struct {
	opts     Options
	schedule []Arrival
	builds   map[string]func(*builder) call
	client   *http.Client
	started  time.Time

	// Sent, Done and Failed count requests while the load runs.
	Sent, Done, Failed atomic.Int64

	mu       sync.Mutex
	requests []history.Request
}

// New returns a generator with the schedule of the plan.
func New(o Options) (*Generator, error) {
	if o.MaxTries == 0 {
		o.MaxTries = DefaultMaxTries
	}
	if o.TryTimeout == 0 {
		o.TryTimeout = DefaultTryTimeout
	}
	if len(o.Routers) == 0 || len(o.Plan.Workspaces) == 0 {
		return nil, errors.New("a router and a workspace are needed")
	}
	for _, w := range o.Plan.Workspaces {
		if o.Keys[w] == "" {
			return nil, fmt.Errorf("workspace %q has no API key", w)
		}
	}
	if o.Transport == nil {
		o.Transport = newTransport()
	}
	g := &Generator{
		opts: o, schedule: Schedule(o.Plan), builds: map[string]func(*builder) call{},
		client: &http.Client{Transport: o.Transport},
	}
	for _, class := range o.Plan.Mix.Classes {
		g.builds[class.Name] = class.build
	}
	return g, nil
}

// newTransport returns a transport whose connection pool never makes a request
// wait for another one.
func newTransport() http.RoundTripper {
	return &http.Transport{MaxIdleConnsPerHost: 1024, IdleConnTimeout: time.Minute, DisableCompression: true}
}

// Planned returns the number of requests of the schedule.
func (g *Generator) Planned() int { return len(g.schedule) }

// Run sends all requests at their times and waits for their ends. Offsets in the
// returned history count from started. If ctx ends, the requests that have not
// begun are left out, and those in progress are given up.
func (g *Generator) Run(ctx context.Context, started time.Time) []history.Request {
	g.started = started
	var callers sync.WaitGroup
	timer := time.NewTimer(0)
	defer timer.Stop()
	for _, a := range g.schedule {
		timer.Reset(time.Until(started.Add(a.At)))
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		if ctx.Err() != nil {
			break
		}
		g.Sent.Add(1)
		callers.Go(func() { g.request(ctx, a) })
	}
	callers.Wait()
	if t, ok := g.opts.Transport.(*http.Transport); ok {
		t.CloseIdleConnections()
	}
	slices.SortFunc(g.requests, func(a, b history.Request) int { return int(a.Intended - b.Intended) })
	return g.requests
}

// request sends one request until it is answered or its tries are used up.
func (g *Generator) request(ctx context.Context, a Arrival) {
	marker := fmt.Sprintf("r%x-%d", g.opts.Plan.Seed, a.Number)
	c := g.builds[a.Class](newBuilder(g.opts.Names, a, marker))
	r := history.Request{
		ID: marker, Class: a.Class, Workspace: a.Workspace, Budget: g.opts.Budgets[a.Workspace],
		Kind: c.kind, Method: c.method, Target: g.target(c.kind), Idempotent: c.idempotent, Stream: c.stream,
		Bound: c.bound, WantHash: c.wantHash, Intended: a.At,
	}
	if c.keyed {
		r.Key = uuid.Must(uuid.NewV7()).String()
	}
	order := rand.New(rand.NewPCG(a.Draw, routerStream)).Perm(len(g.opts.Routers))
	pause := firstPause
	for n := range g.opts.MaxTries {
		r.Tries = append(r.Tries, g.try(ctx, &r, &c, g.opts.Routers[order[n%len(order)]]))
		if !again(&r) || !sleep(ctx, pause) {
			break
		}
		pause = min(2*pause, maxPause)
	}
	if r.Last().OK() {
		g.Done.Add(1)
	} else {
		g.Failed.Add(1)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.requests = append(g.requests, r)
}

// routerStream keeps the choice of routers apart from the request's text.
const routerStream = 2

func (g *Generator) target(kind string) string {
	if kind == history.KindModel {
		return g.opts.Names.Model
	}
	return g.opts.Names.Service
}

// again reports whether the caller sends its request once more: after a broken
// connection or an unknown outcome, if that cannot run it twice.
func again(r *history.Request) bool {
	t := r.Last()
	if r.Key == "" && !r.Idempotent {
		return false
	}
	return !t.Complete || t.Verdict == history.VerdictUnknown
}

// try makes one HTTP exchange.
func (g *Generator) try(ctx context.Context, r *history.Request, c *call, router Endpoint) (t history.Try) {
	clock := func() time.Duration { return time.Since(g.started) }
	t = history.Try{Router: router.Name, Start: clock()}
	defer func() { t.End = clock() }()
	ctx, cancel := context.WithTimeout(ctx, g.opts.TryTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, c.method, router.URL+c.path, bytes.NewReader(c.body))
	if err != nil {
		t.Err = err.Error()
		return t
	}
	// A transport that sends a request again by itself would hide a broken
	// connection. It does so if it can get the body a second time, or if the
	// body is known to be empty.
	req.GetBody = nil
	if len(c.body) == 0 {
		req.Body = io.NopCloser(bytes.NewReader(nil))
	}
	req.Header.Set("Authorization", "Bearer "+g.opts.Keys[r.Workspace])
	req.Header.Set("Content-Type", "application/json")
	if r.Key != "" {
		req.Header.Set("Idempotency-Key", r.Key)
	}
	resp, err := g.client.Do(req)
	if err != nil {
		t.Err = err.Error()
		return t
	}
	defer func() { _ = resp.Body.Close() }()
	answer := reader{try: &t, clock: clock}
	if err := answer.read(resp); err != nil {
		t.Err = err.Error()
	}
	return t
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
