package agent

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/monsoonworks/monsoonworks/internal/prefix"
)

const (
	initialTokenInterval   = 20 * time.Millisecond
	initialPrefillPerToken = 50 * time.Microsecond
	initialSlotTime        = 2 * time.Second
	smoothingFactor        = 0.1
	minPrefillSampleTokens = 64 // prefill does not dominate the time of shorter prompts
	promptBytesPerToken    = 4
	cachedTokensPerBlock   = prefix.BlockBytes / promptBytesPerToken
)

// estimator estimates the server's speed with exponential moving averages. It
// is safe for concurrent use. No other lock is acquired while its mutex is
// held.
type estimator struct {
	mu sync.Mutex
	// tokenInterval is the time between output tokens, prefillPerToken the time
	// per uncached prompt token, slotTime the time that a request occupies its
	// slot.
	tokenInterval, prefillPerToken, slotTime time.Duration
}

func newEstimator() *estimator {
	return &estimator{tokenInterval: initialTokenInterval, prefillPerToken: initialPrefillPerToken, slotTime: initialSlotTime}
}

func smooth(old, sample time.Duration) time.Duration {
	return old + time.Duration(smoothingFactor*float64(sample-old))
}

// recordFirstToken records the time from the start of an attempt to its first
// token, with the number of uncached prompt tokens. Prompts with few such tokens
// are ignored.
func (e *estimator) recordFirstToken(elapsed time.Duration, prefillTokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if prefillTokens < minPrefillSampleTokens {
		return
	}
	if prefill := elapsed - e.tokenInterval; prefill > 0 {
		e.prefillPerToken = smooth(e.prefillPerToken, prefill/time.Duration(prefillTokens))
	}
}

// recordRun records a finished run: its time in the slot, and the time from its
// first to its last token.
func (e *estimator) recordRun(slotTime, generationTime time.Duration, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slotTime = smooth(e.slotTime, slotTime)
	if tokens > 1 {
		e.tokenInterval = smooth(e.tokenInterval, generationTime/time.Duration(tokens-1))
	}
}

// slotWait returns the expected wait for a slot behind the given number of
// queued requests.
func (e *estimator) slotWait(ahead, slots int) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Duration(ahead+1) * e.slotTime / time.Duration(max(1, slots))
}

// firstTokenTime returns the expected time to process uncached prompt tokens
// and generate the first output token.
func (e *estimator) firstTokenTime(tokens int) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Duration(tokens)*e.prefillPerToken + e.tokenInterval
}

const (
	maxIndexedBlocks = 1 << 15
	// storedTTL is how long a block that the engine reported as stored is
	// assumed to be cached.
	storedTTL = 10 * time.Minute
	// sentTTL is how long a block of a request sent to the engine is assumed to
	// be cached without a report from the engine.
	sentTTL = time.Minute
	// gapTTL is how long blocks are assumed to be cached after a gap in the
	// engine's events, which may include their removal.
	gapTTL = 30 * time.Second
)

// prefixIndex is the agent's estimate of the contents of the engine's prefix
// cache. It is safe for concurrent use. No other lock is acquired while its
// mutex is held.
type prefixIndex struct {
	mu          sync.Mutex
	blocks      *lru.LRU[uint64, time.Time] // block hash to expiry
	shortenedAt time.Time                   // time of the last shortening after a gap
}

func newPrefixIndex() *prefixIndex {
	blocks, err := lru.NewLRU[uint64, time.Time](maxIndexedBlocks, nil)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &prefixIndex{blocks: blocks}
}

// Stored implements engine.CacheSink.
func (x *prefixIndex) Stored(blocks []uint64) { x.add(blocks, storedTTL) }

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

// Gap implements engine.CacheSink. It limits the lifetime of all entries to
// gapTTL, because their removal may have been missed.
func (x *prefixIndex) Gap() {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := time.Now()
	if now.Sub(x.shortenedAt) < gapTTL/2 {
		return // the lifetimes were shortened recently
	}
	x.shortenedAt = now
	limit := now.Add(gapTTL)
	// Keys returns the least recently used first; adding the entries again in
	// this order preserves it.
	for _, hash := range x.blocks.Keys() {
		if expiry, found := x.blocks.Peek(hash); found {
			x.blocks.Add(hash, earlierOf(expiry, limit))
		}
	}
}

func earlierOf(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// addSent adds the blocks of a request that is sent to the engine.
func (x *prefixIndex) addSent(blocks []uint64) { x.add(blocks, sentTTL) }

func (x *prefixIndex) add(blocks []uint64, ttl time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	expiry := time.Now().Add(ttl)
	for _, hash := range blocks {
		if old, found := x.blocks.Get(hash); !found || old.Before(expiry) {
			x.blocks.Add(hash, expiry)
		}
	}
}

// cachedBlocks returns how many leading blocks are assumed to be cached.
func (x *prefixIndex) cachedBlocks(prefixes []uint64) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := time.Now()
	for i, hash := range prefixes {
		if expiry, found := x.blocks.Get(hash); !found || expiry.Before(now) {
			return i
		}
	}
	return len(prefixes)
}

// cachedTokens returns how many tokens of a prompt are assumed to be cached.
func (x *prefixIndex) cachedTokens(prefixes []uint64, promptTokens int) int {
	return min(x.cachedBlocks(prefixes)*cachedTokensPerBlock, promptTokens)
}
