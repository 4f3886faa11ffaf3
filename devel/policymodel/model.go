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

// Config describes one run.
type Config struct {
	Policy   route.Policy
	Workload Workload
	// Servers and Routers are the numbers of one region.
	Servers, Routers int
	// Latency is the one-way latency between a router and an agent.
	Latency time.Duration
	// ConversationsPerSecond is the rate at which conversations begin.
	ConversationsPerSecond float64
	Seed                   uint64
	// WarmUp is not measured, Measured is.
	WarmUp, Measured time.Duration
	// Lose is the number of servers that die at the end of the warm-up.
	Lose int
}

// The behaviour of routers that the model takes over from internal/route and
// internal/dispatch.
const (
	failuresToEject = 2
	maxTries        = 4
	retryShare      = 0.1
	retriesPerSec   = 3
)

// Result is what was measured.
type Result struct {
	Policy string
	// Requests were sent by callers, Refused got no server in time, Done were
	// answered.
	Requests, Refused, Done int
	PrefillTokens           int64
	OutputTokens            int64
	FirstToken              []time.Duration // sorted
}

// Quantile returns a quantile of the time to the first token.
func (r Result) Quantile(q float64) time.Duration {
	if len(r.FirstToken) == 0 {
		return 0
	}
	return r.FirstToken[min(int(q*float64(len(r.FirstToken))), len(r.FirstToken)-1)]
}

// PrefillPerRequest returns the prompt tokens that were computed per answered
// request.
func (r Result) PrefillPerRequest() float64 {
	return float64(r.PrefillTokens) / float64(max(r.Done, 1))
}

// Goodput returns the generated tokens of answered requests per second.
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
	rnd     *rand.Rand // of routers and policies
	callers *rand.Rand // of the workload, which is the same for every policy
	now     time.Duration
	queue   events
	seq     int
	engines []*engine
	routers []*router
	ring    *rendezvous.Rendezvous
	result  Result
}

func (m *model) at(t time.Duration, f func()) {
	m.seq++
	heap.Push(&m.queue, event{at: t, seq: m.seq, f: f})
}

// measured reports whether an event of this moment counts.
func (m *model) measured() bool { return m.now >= m.WarmUp }

// Run runs the model to its end. Equal configurations give equal results.
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
	m.at(0, func() { m.begin(prompts) })
	m.at(cfg.WarmUp, m.startMeasuring)
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
		for _, j := range m.engines[i].die() {
			j.done(-1)
		}
	}
}

// begin starts a conversation and schedules the next one.
func (m *model) begin(prompts [][]uint64) {
	m.turn(m.Workload.conversation(m.callers, prompts), 0)
	gap := m.callers.ExpFloat64() / m.ConversationsPerSecond
	m.at(m.now+time.Duration(gap*float64(time.Second)), func() { m.begin(prompts) })
}

// turn sends one turn of a conversation through a random router.
func (m *model) turn(c *conversation, n int) {
	t := c.turns[n]
	r := &request{
		m: m, router: m.routers[m.rnd.IntN(len(m.routers))], sent: m.now,
		blocks: c.blocks[:t.prompt], after: c.blocks[:t.after], output: t.output,
		next: func() {
			if n+1 < len(c.turns) {
				m.at(m.now+t.think, func() { m.turn(c, n+1) })
			}
		},
	}
	if m.measured() {
		m.result.Requests++
	}
	r.router.requests++
	r.try()
}

// request is one request of a caller on its way.
type request struct {
	m             *model
	router        *router
	blocks, after []uint64
	output, tries int
	sent          time.Duration
	exclude       []int
	next          func()
}

// try chooses a server and sends the request there.
func (r *request) try() {
	r.tries++
	q := &route.Query{
		Prefixes:     r.blocks[:min(len(r.blocks), prefix.MaxBlocks)],
		PromptTokens: int32(len(r.blocks) * blockTokens),
	}
	pick, ok := r.m.Policy.Pick(context.Background(), q, &candidates{r.router, r})
	if !ok {
		r.refused()
		return
	}
	i := pick.Server
	r.router.send(i)
	r.m.at(r.m.now+3*r.m.Latency, func() { r.arrive(i) }) // a probe's way and the request's own
}

func (r *request) arrive(i int) {
	e := r.m.engines[i]
	if e.dead {
		r.router.failed(i)
		r.again(i)
		return
	}
	j := &job{blocks: r.blocks, after: r.after, output: r.output}
	j.firstToken = func(now time.Duration) {
		if r.m.measured() {
			r.m.result.FirstToken = append(r.m.result.FirstToken, now-r.sent+r.m.Latency)
		}
	}
	j.done = func(now time.Duration) {
		r.router.report(i)
		if now < 0 { // the server died
			r.router.failed(i)
			r.again(i)
			return
		}
		if r.m.measured() {
			r.m.result.Done++
			r.m.result.OutputTokens += int64(r.output)
		}
		r.next()
	}
	accepted := e.accept(j)
	r.router.report(i)
	if !accepted {
		r.again(i)
	}
}

// again retries elsewhere within the retry budget.
func (r *request) again(i int) {
	r.exclude = append(r.exclude, i)
	if r.tries >= maxTries || !r.router.mayRetry() {
		r.refused()
		return
	}
	r.try()
}

func (r *request) refused() {
	if r.m.measured() {
		r.m.result.Refused++
	}
}
