// Package policymodel compares the routing policies of internal/route in a
// discrete-event simulation of model engines. Each server has a queue, a serial
// prefill, decode slots and a cache of prompt blocks. The simulation covers one
// region and models the network as a fixed latency; its results rank policies but
// do not predict the performance of a real fleet. This command prints the table for
// the sizes of both deployments:
//
//	go test -v -run TestComparePolicies ./devel/policymodel
package policymodel

import (
	"container/list"
	"slices"
	"time"
)

// Parameters of the simulated engine, typical of a medium-sized model on one
// accelerator.
const (
	// blockTokens is the number of tokens in one block of 256 prompt bytes.
	blockTokens = 64
	// slots is the maximum number of requests in prefill and decode together.
	slots = 32
	// prefillPerSecond is the prefill rate in prompt tokens per second.
	prefillPerSecond = 8000
	// decodeStep is the base time per generated token; each running request adds
	// decodeStepPerRunning.
	decodeStep           = 18 * time.Millisecond
	decodeStepPerRunning = 200 * time.Microsecond
	// cacheBlocks is the capacity of the prompt cache: 192,000 tokens.
	cacheBlocks = 3000
	// maxWait is the estimated time to first token above which an agent refuses a
	// request.
	maxWait = 2 * time.Second
)

// job is one request accepted by a server.
type job struct {
	blocks       []uint64 // of the prompt
	fullBlocks   []uint64 // of prompt and response
	outputTokens int
	prefill      int // uncached prompt tokens, computed on arrival and again when the prefill starts
	firstToken   func(now time.Duration)
	done         func(now time.Duration) // now is negative if the server crashed
}

// engine is the simulated model engine of one server.
type engine struct {
	sim        *simulation
	crashed    bool
	generation int // incremented on a crash to cancel scheduled events
	running    int // jobs that hold a slot
	waiting    []*job
	// prefillIdleAt is when the prefills started so far are done.
	prefillIdleAt   time.Duration
	cache           blockCache
	inProgress      []*job  // a slice, because map order would make runs irreproducible
	prefilled       int64   // tokens since the start of the measurement
	meanSlotSeconds float64 // moving average of the decode times of jobs
}

func newEngine(sim *simulation) *engine {
	return &engine{sim: sim, cache: newBlockCache(cacheBlocks), meanSlotSeconds: 4}
}

// estimate returns the estimated time to first token of a prompt and its cached
// tokens, as an agent reports them to a probe.
func (e *engine) estimate(blocks []uint64) (wait time.Duration, cached int) {
	cached = e.cache.match(blocks, false)
	wait = max(e.prefillIdleAt-e.sim.now, 0)
	for _, j := range e.waiting {
		wait += prefillTime(j.prefill)
	}
	if free := slots - e.running - len(e.waiting); free <= 0 {
		wait += time.Duration(float64(1-free) * e.meanSlotSeconds / slots * float64(time.Second))
	}
	return wait + prefillTime((len(blocks)-cached)*blockTokens), cached * blockTokens
}

func prefillTime(tokens int) time.Duration {
	return time.Duration(tokens) * time.Second / prefillPerSecond
}

// accept queues a job, or refuses it if its estimated time to first token exceeds
// maxWait.
func (e *engine) accept(j *job) bool {
	wait, cached := e.estimate(j.blocks)
	if wait > maxWait {
		return false
	}
	j.prefill = len(j.blocks)*blockTokens - cached
	e.inProgress = append(e.inProgress, j)
	e.waiting = append(e.waiting, j)
	e.startWaiting()
	return true
}

// startWaiting starts the prefill of waiting jobs while slots are free.
func (e *engine) startWaiting() {
	for e.running < slots && len(e.waiting) > 0 {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running++
		j.prefill = (len(j.blocks) - e.cache.match(j.blocks, true)) * blockTokens
		e.prefilled += int64(j.prefill)
		e.cache.add(j.blocks)
		e.prefillIdleAt = max(e.prefillIdleAt, e.sim.now) + prefillTime(j.prefill)
		e.schedule(e.prefillIdleAt, func() { e.decode(j) })
	}
}

// decode generates the response of a job whose prefill has ended, and then frees its
// slot.
func (e *engine) decode(j *job) {
	j.firstToken(e.sim.now)
	started := e.sim.now
	step := decodeStep + time.Duration(e.running)*decodeStepPerRunning
	e.schedule(e.sim.now+time.Duration(j.outputTokens)*step, func() {
		e.running--
		e.meanSlotSeconds += 0.05 * ((e.sim.now - started).Seconds() - e.meanSlotSeconds)
		e.cache.add(j.fullBlocks)
		e.inProgress = slices.DeleteFunc(e.inProgress, func(other *job) bool { return other == j })
		j.done(e.sim.now)
		e.startWaiting()
	})
}

// schedule schedules an event that is canceled if the server crashes.
func (e *engine) schedule(t time.Duration, f func()) {
	generation := e.generation
	e.sim.schedule(t, func() {
		if e.generation == generation {
			f()
		}
	})
}

// crash stops the server permanently and returns its jobs in progress.
func (e *engine) crash() []*job {
	e.crashed = true
	e.generation++
	return e.inProgress
}

// blockCache is an LRU cache of block hashes.
type blockCache struct {
	capacity int
	order    *list.List
	blocks   map[uint64]*list.Element
}

func newBlockCache(capacity int) blockCache {
	return blockCache{capacity: capacity, order: list.New(), blocks: map[uint64]*list.Element{}}
}

// match returns the number of leading blocks that are cached. With touch set it
// marks them as recently used.
func (c *blockCache) match(blocks []uint64, touch bool) int {
	for n, b := range blocks {
		element := c.blocks[b]
		if element == nil {
			return n
		}
		if touch {
			c.order.MoveToFront(element)
		}
	}
	return len(blocks)
}

func (c *blockCache) add(blocks []uint64) {
	for _, b := range blocks {
		if element := c.blocks[b]; element != nil {
			c.order.MoveToFront(element)
			continue
		}
		c.blocks[b] = c.order.PushFront(b)
		if c.order.Len() > c.capacity {
			oldest := c.order.Back()
			delete(c.blocks, c.order.Remove(oldest).(uint64))
		}
	}
}
