package policymodel

import (
	"container/heap"
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/monsoonworks/monsoonworks/internal/prefix"
	"github.com/monsoonworks/monsoonworks/internal/route"
)

// Config describes one simulation run.
type Config struct {
	Policy   route.Policy
	Workload Workload
	// Servers and Routers are the counts in the region.
	Servers, Routers int
	// Latency is the one-way latency between a router and an agent.
	Latency time.Duration
	// ConversationsPerSecond is the mean arrival rate of conversations.
	ConversationsPerSecond float64
	Seed                   uint64
	// WarmUp is the time before the measurement, Measured its duration.
	WarmUp, Measured time.Duration
	// Lose is the number of servers that crash at the end of the warm-up.
	Lose int
}

// Outlier ejection and retry parameters of routers, as in internal/route and
// internal/dispatch.
const (
	failuresToEject = 2
	maxAttempts     = 4
	retryShare      = 0.1
	retriesPerSec   = 3
)

// Result holds the measurements of one run.
type Result struct {
	Policy string
	// Requests counts the requests sent, Refused those that no server accepted,
	// and Done those completed.
	Requests, Refused, Done int
	PrefillTokens           int64
	OutputTokens            int64
	FirstToken              []time.Duration // sorted
}

// Quantile returns quantile q, from 0 to 1, of the time to first token.
func (r Result) Quantile(q float64) time.Duration {
	if len(r.FirstToken) == 0 {
		return 0
	}
	return r.FirstToken[min(int(q*float64(len(r.FirstToken))), len(r.FirstToken)-1)]
}

// PrefillPerRequest returns the number of prefilled prompt tokens per completed
// request.
func (r Result) PrefillPerRequest() float64 {
	return float64(r.PrefillTokens) / float64(max(r.Done, 1))
}

// Goodput returns the generated tokens per second of completed requests.
func (r Result) Goodput(measured time.Duration) float64 {
	return float64(r.OutputTokens) / measured.Seconds()
}

type event struct {
	at  time.Duration
	seq int
	f   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type model struct {
	Config
	rnd     *rand.Rand // for routers and policies
	callers *rand.Rand // for the workload, which must be equal for all policies
	now     time.Duration
	queue   events
	seq     int
	engines []*engine
	routers []*router
	ring    *rendezvous.Rendezvous
	result  Result
}

func (m *model) schedule(t time.Duration, f func()) {
	m.seq++
	heap.Push(&m.queue, event{at: t, seq: m.seq, f: f})
}

// measured reports whether the warm-up is over.
func (m *model) measured() bool { return m.now >= m.WarmUp }

// Run simulates cfg. It is deterministic: equal configurations give equal results.
func Run(cfg Config) Result {
	m := &model{
		Config: cfg, rnd: rand.New(rand.NewPCG(cfg.Seed, 1)), callers: rand.New(rand.NewPCG(cfg.Seed, 2)),
		result: Result{Policy: cfg.Policy.Name()},
	}
	names := make([]string, cfg.Servers)
	for i := range names {
		names[i] = strconv.Itoa(i)
		m.engines = append(m.engines, newEngine(m))
	}
	m.ring = rendezvous.New(names, xxhash.Sum64String)
	for range cfg.Routers {
		m.routers = append(m.routers, newRouter(m))
	}
	prompts := cfg.Workload.systemPrompts(m.callers)
	m.schedule(0, func() { m.startConversation(prompts) })
	m.schedule(cfg.WarmUp, m.startMeasuring)
	end := cfg.WarmUp + cfg.Measured
	for len(m.queue) > 0 && m.queue[0].at < end {
		e := heap.Pop(&m.queue).(event)
		m.now = e.at
		e.f()
	}
	for _, e := range m.engines {
		m.result.PrefillTokens += e.prefilled
	}
	slices.Sort(m.result.FirstToken)
	return m.result
}

func (m *model) startMeasuring() {
	for _, e := range m.engines {
		e.prefilled = 0
	}
	for _, i := range m.rnd.Perm(m.Servers)[:m.Lose] {
		for _, j := range m.engines[i].crash() {
			j.done(-1)
		}
	}
}

// startConversation starts a conversation and schedules the start of the next one.
func (m *model) startConversation(prompts [][]uint64) {
	m.sendTurn(m.Workload.conversation(m.callers, prompts), 0)
	gap := m.callers.ExpFloat64() / m.ConversationsPerSecond
	m.schedule(m.now+time.Duration(gap*float64(time.Second)), func() { m.startConversation(prompts) })
}

// sendTurn sends one turn of a conversation through a random router.
func (m *model) sendTurn(c *conversation, n int) {
	t := c.turns[n]
	r := &request{
		m: m, router: m.routers[m.rnd.IntN(len(m.routers))], sent: m.now,
		blocks: c.blocks[:t.prompt], after: c.blocks[:t.after], output: t.output,
		next: func() {
			if n+1 < len(c.turns) {
				m.schedule(m.now+t.think, func() { m.sendTurn(c, n+1) })
			}
		},
	}
	if m.measured() {
		m.result.Requests++
	}
	r.router.requests++
	r.attempt()
}

// request is the state of one request in a router.
type request struct {
	m                *model
	router           *router
	blocks, after    []uint64
	output, attempts int
	sent             time.Duration
	exclude          []int
	next             func()
}

// attempt picks a server and sends the request to it.
func (r *request) attempt() {
	r.attempts++
	q := &route.Query{
		Prefixes:     r.blocks[:min(len(r.blocks), prefix.MaxBlocks)],
		PromptTokens: int32(len(r.blocks) * blockTokens),
	}
	pick, ok := r.m.Policy.Pick(context.Background(), q, &candidates{r.router, r})
	if !ok {
		r.refuse()
		return
	}
	i := pick.Server
	r.router.recordSent(i)
	r.m.schedule(r.m.now+3*r.m.Latency, func() { r.arrive(i) }) // the probe's round trip and the request's one-way latency
}

func (r *request) arrive(i int) {
	e := r.m.engines[i]
	if e.crashed {
		r.router.recordFailure(i)
		r.retry(i)
		return
	}
	j := &job{blocks: r.blocks, after: r.after, output: r.output}
	j.firstToken = func(now time.Duration) {
		if r.m.measured() {
			r.m.result.FirstToken = append(r.m.result.FirstToken, now-r.sent+r.m.Latency)
		}
	}
	j.done = func(now time.Duration) {
		r.router.updateLoad(i)
		if now < 0 { // the server crashed
			r.router.recordFailure(i)
			r.retry(i)
			return
		}
		if r.m.measured() {
			r.m.result.Done++
			r.m.result.OutputTokens += int64(r.output)
		}
		r.next()
	}
	accepted := e.accept(j)
	r.router.updateLoad(i)
	if !accepted {
		r.retry(i)
	}
}

// retry makes another attempt without server i, or refuses the request if the
// attempts or the router's retry budget are used up.
func (r *request) retry(i int) {
	r.exclude = append(r.exclude, i)
	if r.attempts >= maxAttempts || !r.router.mayRetry() {
		r.refuse()
		return
	}
	r.attempt()
}

func (r *request) refuse() {
	if r.m.measured() {
		r.m.result.Refused++
	}
}
