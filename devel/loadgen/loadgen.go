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
	"github.com/monsoonworks/monsoonworks/internal/wait"
)

// Endpoint is the name and base URL of a router.
type Endpoint struct {
	Name string
	URL  string
}

const (
	// DefaultMaxTries and DefaultTryTimeout apply if Options does not set them.
	DefaultMaxTries   = 6
	DefaultTryTimeout = 20 * time.Second
	// minBackoff is the time before the first retry. It doubles with each retry up to
	// maxBackoff.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 4 * time.Second
)

// Options configure a Generator.
type Options struct {
	Plan    Plan
	Targets Targets
	// Routers are the routers that callers send their requests to.
	Routers []Endpoint
	// APIKeys maps each workspace to an API key, Budgets to the ID of this key's budget.
	APIKeys map[string]string
	Budgets map[string]string
	// MaxTries is the maximum number of tries (HTTP requests) of one request,
	// TryTimeout the timeout of each.
	MaxTries   int
	TryTimeout time.Duration
	// Transport replaces the default HTTP transport in tests.
	Transport http.RoundTripper
}

// Generator sends the requests of one plan.
type Generator struct {
	opts     Options
	schedule []Arrival
	builders map[string]func(*builder) call
	client   *http.Client
	started  time.Time

	// Sent counts the requests that were started so far, Succeeded those whose last try
	// was successful, and Failed those whose last try was not.
	Sent, Succeeded, Failed atomic.Int64

	mu       sync.Mutex
	requests []history.Request
}

// New returns a generator with the schedule of the plan. It fails if there is no
// router or workspace, or if a workspace has no API key.
func New(o Options) (*Generator, error) {
	if o.MaxTries == 0 {
		o.MaxTries = DefaultMaxTries
	}
	if o.TryTimeout == 0 {
		o.TryTimeout = DefaultTryTimeout
	}
	if len(o.Routers) == 0 || len(o.Plan.Workspaces) == 0 {
		return nil, errors.New("at least one router and one workspace are required")
	}
	for _, w := range o.Plan.Workspaces {
		if o.APIKeys[w] == "" {
			return nil, fmt.Errorf("workspace %q has no API key", w)
		}
	}
	if o.Transport == nil {
		o.Transport = newTransport()
	}
	g := &Generator{
		opts: o, schedule: Schedule(o.Plan), builders: map[string]func(*builder) call{},
		client: &http.Client{Transport: o.Transport},
	}
	for _, class := range o.Plan.Mix.Classes {
		g.builders[class.Name] = class.build
	}
	return g, nil
}

// newTransport returns a transport without a limit on connections, so that no
// request waits for a connection of another one.
func newTransport() http.RoundTripper {
	return &http.Transport{MaxIdleConnsPerHost: 1024, IdleConnTimeout: time.Minute, DisableCompression: true}
}

// Planned returns the number of scheduled requests.
func (g *Generator) Planned() int { return len(g.schedule) }

// Run sends all requests at their scheduled times and waits until they have ended.
// Offsets in the returned history are measured from started. If ctx ends, requests
// that have not started are omitted, and those in progress are canceled.
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
		callers.Go(func() { g.sendWithRetries(ctx, a) })
	}
	callers.Wait()
	if t, ok := g.opts.Transport.(*http.Transport); ok {
		t.CloseIdleConnections()
	}
	slices.SortFunc(g.requests, func(a, b history.Request) int { return int(a.Intended - b.Intended) })
	return g.requests
}

// sendWithRetries sends one request, with retries, until it has a definite outcome or
// no try is left, and adds it to the history.
func (g *Generator) sendWithRetries(ctx context.Context, a Arrival) {
	marker := fmt.Sprintf("r%x-%d", g.opts.Plan.Seed, a.Number)
	c := g.builders[a.Class](newBuilder(g.opts.Targets, a, marker))
	r := history.Request{
		ID: marker, Class: a.Class, Workspace: a.Workspace, Budget: g.opts.Budgets[a.Workspace],
		Kind: c.kind, Method: c.method, Target: g.target(c.kind), Idempotent: c.idempotent, Stream: c.stream,
		Bound: c.maxCost, WantHash: c.wantHash, Intended: a.At,
	}
	if c.keyed {
		r.Key = uuid.Must(uuid.NewV7()).String()
	}
	routerOrder := rand.New(rand.NewPCG(a.Seed, routerOrderSeed)).Perm(len(g.opts.Routers))
	backoff := minBackoff
	for n := range g.opts.MaxTries {
		r.Tries = append(r.Tries, g.sendOnce(ctx, &r, &c, g.opts.Routers[routerOrder[n%len(routerOrder)]]))
		if !shouldRetry(&r) || !wait.Sleep(ctx, backoff) {
			break
		}
		backoff = min(2*backoff, maxBackoff)
	}
	if r.LastTry().OK() {
		g.Succeeded.Add(1)
	} else {
		g.Failed.Add(1)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.requests = append(g.requests, r)
}

// routerOrderSeed is the second word of the PCG seed for the order of routers. It
// keeps the order apart from the request's content, whose second word is the request's
// number.
const routerOrderSeed = 2

func (g *Generator) target(kind string) string {
	if kind == history.KindModel {
		return g.opts.Targets.Model
	}
	return g.opts.Targets.Service
}

// shouldRetry reports whether the caller retries: after an incomplete response or an
// unknown outcome, if the request is idempotent or has an idempotency key.
func shouldRetry(r *history.Request) bool {
	t := r.LastTry()
	if r.Key == "" && !r.Idempotent {
		return false
	}
	return !t.Complete || t.Verdict == history.VerdictUnknown
}

// sendOnce sends one HTTP request to a router and returns the try.
func (g *Generator) sendOnce(ctx context.Context, r *history.Request, c *call, router Endpoint) (t history.Try) {
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
	// Prevent automatic retries by http.Transport, which would hide a broken
	// connection. It retries if GetBody is set or if the body is known to be empty.
	req.GetBody = nil
	if len(c.body) == 0 {
		req.Body = io.NopCloser(bytes.NewReader(nil))
	}
	req.Header.Set("Authorization", "Bearer "+g.opts.APIKeys[r.Workspace])
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
	rr := responseReader{try: &t, clock: clock}
	if err := rr.read(resp); err != nil {
		t.Err = err.Error()
	}
	return t
}
