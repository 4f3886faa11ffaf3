package agent

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/monsoonworks/monsoonworks/internal/prefix"
)

// Start values and weight of the online estimates.
const (
	initialStep          = 20 * time.Millisecond
	initialPrefillToken  = 50 * time.Microsecond
	initialService       = 2 * time.Second
	estimateWeight       = 0.1
	minPrefillSample     = 64 // tokens; shorter prompts say little about prefill
	promptBytesPerToken  = 4
	cachedTokensPerBlock = prefix.BlockBytes / promptBytesPerToken
)

// estimator learns how long a server's steps take. It is safe for concurrent
// use; its lock is a leaf.
type estimator struct {
	mu sync.Mutex
	// step is the time between tokens, prefill the time per prompt token that
	// is not cached, service the time that a request holds its slot.
	step, prefill, service time.Duration
}

func newEstimator() *estimator {
	return &estimator{step: initialStep, prefill: initialPrefillToken, service: initialService}
}

func blend(old, sample time.Duration) time.Duration {
	return old + time.Duration(estimateWeight*float64(sample-old))
}

// firstToken records the time from dispatch to the first token, with the number
// of prompt tokens that had to be read before it.
func (e *estimator) firstToken(took time.Duration, prefillTokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if prefillTokens < minPrefillSample {
		return
	}
	if rest := took - e.step; rest > 0 {
		e.prefill = blend(e.prefill, rest/time.Duration(prefillTokens))
	}
}

// finished records a whole run: its time in the slot, and the time from its
// first to its last token.
func (e *estimator) finished(inSlot, generating time.Duration, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.service = blend(e.service, inSlot)
	if tokens > 1 {
		e.step = blend(e.step, generating/time.Duration(tokens-1))
	}
}

// wait returns the expected wait for a slot with the given number of requests
// ahead in the queue.
func (e *estimator) wait(ahead, slots int) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Duration(ahead+1) * e.service / time.Duration(max(1, slots))
}

// prefillTime returns the expected time to read prompt tokens and make the first
// output token.
func (e *estimator) prefillTime(tokens int) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Duration(tokens)*e.prefill + e.step
}

// Lifetimes of entries in the index of cached prefixes.
const (
	maxIndexedBlocks = 1 << 15
	// storedLifetime is how long a block that the engine reported is believed.
	storedLifetime = 10 * time.Minute
	// dispatchedLifetime is how long a block is believed because a request with
	// it was dispatched, without a report of the engine.
	dispatchedLifetime = time.Minute
	// gapLifetime is how long a block is believed after a gap in the engine's
	// events, which may have hidden its removal.
	gapLifetime = 30 * time.Second
)

// prefixIndex is what the agent believes to be in its engine's prefix cache. It
// is safe for concurrent use; its lock is a leaf.
type prefixIndex struct {
	mu     sync.Mutex
	blocks *lru.LRU[uint64, time.Time] // hash to the end of its lifetime
	gapAt  time.Time                   // when entries were last aged for a gap
}

func newPrefixIndex() *prefixIndex {
	blocks, err := lru.NewLRU[uint64, time.Time](maxIndexedBlocks, nil)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &prefixIndex{blocks: blocks}
}

// Stored implements engine.CacheSink.
func (x *prefixIndex) Stored(blocks []uint64) { x.add(blocks, storedLifetime) }

// Removed implements engine.CacheSink.
func (x *prefixIndex) Removed(blocks []uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, hash := range blocks {
		x.blocks.Remove(hash)
	}
}

// Cleared implements engine.CacheSink.
func (x *prefixIndex) Cleared() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.blocks.Purge()
}

// Gap implements engine.CacheSink. What was believed before is aged, because its
// removal may have been missed.
func (x *prefixIndex) Gap() {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := time.Now()
	if now.Sub(x.gapAt) < gapLifetime/2 {
		return // the entries were aged a moment ago
	}
	x.gapAt = now
	end := now.Add(gapLifetime)
	// Keys come in order of use, oldest first; adding each again keeps it.
	for _, hash := range x.blocks.Keys() {
		if until, found := x.blocks.Peek(hash); found {
			x.blocks.Add(hash, earlier(until, end))
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// dispatched notes the blocks of a request that is about to run.
func (x *prefixIndex) dispatched(blocks []uint64) { x.add(blocks, dispatchedLifetime) }

func (x *prefixIndex) add(blocks []uint64, lifetime time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	end := time.Now().Add(lifetime)
	for _, hash := range blocks {
		if until, found := x.blocks.Get(hash); !found || until.Before(end) {
			x.blocks.Add(hash, end)
		}
	}
}

// match returns how many leading blocks are believed to be cached.
func (x *prefixIndex) match(prefixes []uint64) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := time.Now()
	for i, hash := range prefixes {
		if until, found := x.blocks.Get(hash); !found || until.Before(now) {
			return i
		}
	}
	return len(prefixes)
}

// cachedTokens returns how many of a prompt's tokens are believed to be cached.
func (x *prefixIndex) cachedTokens(prefixes []uint64, promptTokens int) int {
	return min(x.match(prefixes)*cachedTokensPerBlock, promptTokens)
}
