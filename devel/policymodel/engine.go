// Package policymodel compares the routing policies of internal/route against a
// small model of model engines in virtual time: a queue, a serial prefill, slots
// for decoding and a cache of prompt blocks per server. It models one region
// without a network but for a fixed latency; it says how policies compare, not
// how fast a real fleet is. The table for the sizes of both deployments comes from
//
//	go test -v -run TestComparePolicies ./devel/policymodel
package policymodel

import (
	"container/list"
	"slices"
	"time"
)

// Figures of the modelled engine. They are typical of one accelerator with a
// model of medium size.
const (
	// blockTokens is the number of tokens of one block of 256 prompt bytes.
	blockTokens = 64
	// slots is the number of requests that decode at once.
	slots = 32
	// prefillPerSecond is the number of prompt tokens read per second.
	prefillPerSecond = 8000
	// decodeStep is the time per generated token, and decodeStepPerRunning what
	// each other running request adds.
	decodeStep           = 18 * time.Millisecond
	decodeStepPerRunning = 200 * time.Microsecond
	// cacheBlocks is the number of blocks that stay cached: 192,000 tokens.
	cacheBlocks = 3000
	// maxWait is the expected time to the first token beyond which an agent
	// refuses a request.
	maxWait = 2 * time.Second
)

// job is one request at a server.
type job struct {
	blocks     []uint64 // of the prompt
	after      []uint64 // of prompt and answer
	output     int
	prefill    int // tokens that are not cached, as of its arrival or start
	firstToken func(now time.Duration)
	done       func(now time.Duration)
}

// engine is one modelled server.
type engine struct {
	m       *model
	dead    bool
	boot    int // raised at death, so that earlier events do nothing
	running int
	waiting []*job
	// prefillFree is when the prefill has done what it was given.
	prefillFree time.Duration
	cache       blockCache
	inProgress  []*job // a slice: an order by chance could not be repeated
	prefilled   int64
	served      float64 // mean time in a slot, in seconds
}

func newEngine(m *model) *engine {
	return &engine{m: m, cache: newBlockCache(cacheBlocks), served: 4}
}

// expected is what the agent answers to a probe.
func (e *engine) expected(blocks []uint64) (wait time.Duration, cached int) {
	cached = e.cache.match(blocks, false)
	wait = max(e.prefillFree-e.m.now, 0)
	for _, j := range e.waiting {
		wait += prefillTime(j.prefill)
	}
	if free := slots - e.running - len(e.waiting); free <= 0 {
		wait += time.Duration(float64(1-free) * e.served / slots * float64(time.Second))
	}
	return wait + prefillTime((len(blocks)-cached)*blockTokens), cached * blockTokens
}

func prefillTime(tokens int) time.Duration {
	return time.Duration(tokens) * time.Second / prefillPerSecond
}

// accept takes a job, or refuses it if it would wait too long.
func (e *engine) accept(j *job) bool {
	wait, cached := e.expected(j.blocks)
	if wait > maxWait {
		return false
	}
	j.prefill = len(j.blocks)*blockTokens - cached
	e.inProgress = append(e.inProgress, j)
	e.waiting = append(e.waiting, j)
	e.start()
	return true
}

func (e *engine) start() {
	for e.running < slots && len(e.waiting) > 0 {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running++
		j.prefill = (len(j.blocks) - e.cache.match(j.blocks, true)) * blockTokens
		e.prefilled += int64(j.prefill)
		e.cache.add(j.blocks)
		e.prefillFree = max(e.prefillFree, e.m.now) + prefillTime(j.prefill)
		e.at(e.prefillFree, func() { e.decode(j) })
	}
}

func (e *engine) decode(j *job) {
	j.firstToken(e.m.now)
	started := e.m.now
	step := decodeStep + time.Duration(e.running)*decodeStepPerRunning
	e.at(e.m.now+time.Duration(j.output)*step, func() {
		e.running--
		e.served += 0.05 * ((e.m.now - started).Seconds() - e.served)
		e.cache.add(j.after)
		e.inProgress = slices.DeleteFunc(e.inProgress, func(other *job) bool { return other == j })
		j.done(e.m.now)
		e.start()
	})
}

// at schedules an event that the server's death makes void.
func (e *engine) at(t time.Duration, f func()) {
	boot := e.boot
	e.m.at(t, func() {
		if e.boot == boot {
			f()
		}
	})
}

// die ends the server and returns what it was working on.
func (e *engine) die() []*job {
	e.dead = true
	e.boot++
	return e.inProgress
}

// blockCache is a least-recently-used set of blocks.
type blockCache struct {
	size   int
	order  *list.List
	blocks map[uint64]*list.Element
}

func newBlockCache(size int) blockCache {
	return blockCache{size: size, order: list.New(), blocks: map[uint64]*list.Element{}}
}

// match returns how many leading blocks are cached.
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
		if c.order.Len() > c.size {
			oldest := c.order.Back()
			delete(c.blocks, c.order.Remove(oldest).(uint64))
		}
	}
}
