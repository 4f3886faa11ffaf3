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
	// Crashes is the number of servers that crash at the end of the warm-up.
	Crashes int
}

// Outlier ejection and retry parameters of routers, as in internal/route,
// internal/dispatch and internal/admission.
const (
	failuresToEject = 2
	maxAttempts     = 4
	// A router may make retryShare retries per request, or retriesPerSec retries per
	// second if that is more. Both count from the start of the run, not in a sliding
	// window.
	retryShare    = 0.1
	retriesPerSec = 3
)

// Result holds the measurements of one run.
type Result struct {
	Policy string
	// Requests counts the requests sent, Refused those that ended without a response,
	// because no server was usable or no retry was left, and Done those completed.
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

// event is a function to be called at a simulated time. Of events at the same time the
// one scheduled first, with the lowest seq, is called first.
type event struct {
	at  time.Duration
	seq int
	f   func()
}

// events implements heap.Interface, with the next event at the root.
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

// simulation is the state of one run.
type simulation struct {
	Config
	routingRand    *rand.Rand // for routers, policies and the choice of crashing servers
	workloadRand   *rand.Rand // for the workload, which must be equal for all policies
	now            time.Duration
	queue          events
	seq            int
	engines        []*engine
	routers        []*router
	rendezvousHash *rendezvous.Rendezvous
	result         Result
}

func (s *simulation) schedule(t time.Duration, f func()) {
	s.seq++
	heap.Push(&s.queue, event{at: t, seq: s.seq, f: f})
}

// isMeasuring reports whether the warm-up is over.
func (s *simulation) isMeasuring() bool { return s.now >= s.WarmUp }

// Run simulates cfg. It is deterministic: equal configurations give equal results.
func Run(cfg Config) Result {
	s := &simulation{
		Config: cfg, routingRand: rand.New(rand.NewPCG(cfg.Seed, 1)), workloadRand: rand.New(rand.NewPCG(cfg.Seed, 2)),
		result: Result{Policy: cfg.Policy.Name()},
	}
	names := make([]string, cfg.Servers)
	for i := range names {
		names[i] = strconv.Itoa(i)
		s.engines = append(s.engines, newEngine(s))
	}
	s.rendezvousHash = rendezvous.New(names, xxhash.Sum64String)
	for range cfg.Routers {
		s.routers = append(s.routers, newRouter(s))
	}
	prompts := cfg.Workload.systemPrompts(s.workloadRand)
	s.schedule(0, func() { s.startConversation(prompts) })
	s.schedule(cfg.WarmUp, s.startMeasuring)
	end := cfg.WarmUp + cfg.Measured
	for len(s.queue) > 0 && s.queue[0].at < end {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.f()
	}
	for _, e := range s.engines {
		s.result.PrefillTokens += e.prefilled
	}
	slices.Sort(s.result.FirstToken)
	return s.result
}

// startMeasuring ends the warm-up: it resets the prefill counts and crashes the
// configured number of servers.
func (s *simulation) startMeasuring() {
	for _, e := range s.engines {
		e.prefilled = 0
	}
	for _, i := range s.routingRand.Perm(s.Servers)[:s.Crashes] {
		for _, j := range s.engines[i].crash() {
			j.done(-1)
		}
	}
}

// startConversation starts a conversation and schedules the start of the next one.
func (s *simulation) startConversation(prompts [][]uint64) {
	s.sendTurn(s.Workload.conversation(s.workloadRand, prompts), 0)
	gap := s.workloadRand.ExpFloat64() / s.ConversationsPerSecond
	s.schedule(s.now+time.Duration(gap*float64(time.Second)), func() { s.startConversation(prompts) })
}

// sendTurn sends one turn of a conversation through a random router.
func (s *simulation) sendTurn(c *conversation, n int) {
	t := c.turns[n]
	r := &request{
		sim: s, router: s.routers[s.routingRand.IntN(len(s.routers))], sent: s.now,
		blocks: c.blocks[:t.promptEnd], fullBlocks: c.blocks[:t.responseEnd], outputTokens: t.outputTokens,
		next: func() {
			if n+1 < len(c.turns) {
				s.schedule(s.now+t.thinkTime, func() { s.sendTurn(c, n+1) })
			}
		},
	}
	if s.isMeasuring() {
		s.result.Requests++
	}
	r.router.requests++
	r.attempt()
}

// request is the state of one request in a router.
type request struct {
	sim                    *simulation
	router                 *router
	blocks, fullBlocks     []uint64
	outputTokens, attempts int
	sent                   time.Duration
	exclude                []int  // servers that failed or refused an attempt
	next                   func() // schedules the next turn of the conversation
}

// attempt picks a server and sends the request to it.
func (r *request) attempt() {
	r.attempts++
	q := &route.Query{
		Prefixes:     r.blocks[:min(len(r.blocks), prefix.MaxBlocks)],
		PromptTokens: int32(len(r.blocks) * blockTokens),
	}
	pick, ok := r.sim.Policy.Pick(context.Background(), q, &candidates{r.router, r})
	if !ok {
		r.refuse()
		return
	}
	i := pick.Server
	r.router.recordSent(i)
	// 3 latencies: the round trip of the probe and the one-way latency of the request.
	r.sim.schedule(r.sim.now+3*r.sim.Latency, func() { r.arrive(i) })
}

// arrive handles the arrival of the request at server i.
func (r *request) arrive(i int) {
	e := r.sim.engines[i]
	if e.crashed {
		r.router.recordFailure(i)
		r.retry(i)
		return
	}
	j := &job{blocks: r.blocks, fullBlocks: r.fullBlocks, outputTokens: r.outputTokens}
	j.firstToken = func(now time.Duration) {
		if r.sim.isMeasuring() {
			r.sim.result.FirstToken = append(r.sim.result.FirstToken, now-r.sent+r.sim.Latency)
		}
	}
	j.done = func(now time.Duration) {
		r.router.updateLoad(i)
		if now < 0 { // the server crashed
			r.router.recordFailure(i)
			r.retry(i)
			return
		}
		if r.sim.isMeasuring() {
			r.sim.result.Done++
			r.sim.result.OutputTokens += int64(r.outputTokens)
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
	if r.attempts >= maxAttempts || !r.router.acquireRetry() {
		r.refuse()
		return
	}
	r.attempt()
}

// refuse ends the request, and with it the conversation, without a response.
func (r *request) refuse() {
	if r.sim.isMeasuring() {
		r.sim.result.Refused++
	}
}
