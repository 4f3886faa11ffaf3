package engine

import (
	"container/list"
	"math/rand/v2"
	"time"
)

// CacheEvent is a change of the prefix cache, in the format of the cache event
// endpoint.
type CacheEvent struct {
	Seq    int64    `json:"seq"`
	Type   string   `json:"type"`
	Blocks []uint64 `json:"blocks"`

	visibleAt time.Time
}

// Types of cache events.
const (
	eventStored  = "stored"
	eventRemoved = "removed"
	eventCleared = "cleared"
)

// maxEvents bounds the event log. Readers see dropped events as a gap in the
// sequence numbers.
const maxEvents = 1 << 16

// block is a cached KV block.
type block struct {
	hash, parent uint64
	pins         int
	element      *list.Element // position in the LRU list, nil while pinned
}

// blockCache is the engine's KV cache memory: cached blocks with LRU eviction, and
// blocks reserved by running sequences.
type blockCache struct {
	cfg      Config
	blocks   map[uint64]*block
	lru      *list.List // unpinned *block values, least recently used first
	reserved int
	seq      int64
	events   []CacheEvent
	random   *rand.Rand
}

func newBlockCache(cfg Config, crashes int) *blockCache {
	c := &blockCache{
		cfg: cfg, blocks: make(map[uint64]*block), lru: list.New(),
		random: rand.New(rand.NewPCG(cfg.Seed, uint64(crashes))),
	}
	if crashes > 0 {
		// The zero time makes the event visible without EventDelay.
		c.publish(time.Time{}, eventCleared)
	}
	return c
}

func (c *blockCache) used() int { return len(c.blocks) + c.reserved }

// match returns the number of leading blocks that are cached.
func (c *blockCache) match(hashes []uint64) int {
	for i, h := range hashes {
		if c.blocks[h] == nil {
			return i
		}
	}
	return len(hashes)
}

// pin protects the leading cached blocks from eviction and returns their number.
func (c *blockCache) pin(hashes []uint64) int {
	n := c.match(hashes)
	for _, h := range hashes[:n] {
		c.pinBlock(c.blocks[h])
	}
	return n
}

func (c *blockCache) pinBlock(b *block) {
	b.pins++
	if b.element != nil {
		c.lru.Remove(b.element)
		b.element = nil
	}
}

// unpin makes blocks evictable, last block first, so that a prefix is evicted
// after the blocks that extend it.
func (c *blockCache) unpin(hashes []uint64) {
	for i := len(hashes) - 1; i >= 0; i-- {
		b := c.blocks[hashes[i]]
		if b == nil {
			continue
		}
		b.pins--
		if b.pins == 0 {
			b.element = c.lru.PushBack(b)
		}
	}
}

// reserve reserves n blocks for a sequence and evicts cached blocks if needed. It
// returns false if pinned and reserved blocks leave too little memory.
func (c *blockCache) reserve(now time.Time, n int) bool {
	if c.used()+n-c.lru.Len() > c.cfg.KVBlocks {
		return false
	}
	var removed []uint64
	for c.used()+n > c.cfg.KVBlocks {
		b := c.lru.Remove(c.lru.Front()).(*block)
		delete(c.blocks, b.hash)
		removed = append(removed, b.hash)
	}
	if len(removed) > 0 {
		c.publish(now, eventRemoved, removed...)
	}
	c.reserved += n
	return true
}

func (c *blockCache) release(n int) { c.reserved -= n }

// storePinned converts a reserved block to a cached, pinned block.
func (c *blockCache) storePinned(now time.Time, hash, parent uint64) {
	c.reserved--
	if b := c.blocks[hash]; b != nil {
		c.pinBlock(b)
		return
	}
	c.blocks[hash] = &block{hash: hash, parent: parent, pins: 1}
	c.publish(now, eventStored, hash)
}

// chain returns the cached blocks from the start of the prompt up to hash, or nil
// if one is not cached.
func (c *blockCache) chain(hash uint64) []uint64 {
	var reversed []uint64
	for hash != 0 {
		b := c.blocks[hash]
		if b == nil {
			return nil
		}
		reversed = append(reversed, hash)
		hash = b.parent
	}
	for i, j := 0, len(reversed)-1; i < j; i, j = i+1, j-1 {
		reversed[i], reversed[j] = reversed[j], reversed[i]
	}
	return reversed
}

// importChain stores a prefix that another engine exported. It returns false if
// there is too little memory.
func (c *blockCache) importChain(now time.Time, hashes []uint64) bool {
	matched := c.pin(hashes)
	if !c.reserve(now, len(hashes)-matched) {
		c.unpin(hashes[:matched])
		return false
	}
	for i := matched; i < len(hashes); i++ {
		var parent uint64
		if i > 0 {
			parent = hashes[i-1]
		}
		c.storePinned(now, hashes[i], parent)
	}
	c.unpin(hashes)
	return true
}

// publish appends an event that becomes visible after EventDelay. A lost event
// still consumes a sequence number.
func (c *blockCache) publish(now time.Time, kind string, blocks ...uint64) {
	c.seq++
	if c.random.Float64() < c.cfg.EventLoss {
		return
	}
	c.events = append(c.events, CacheEvent{
		Seq: c.seq, Type: kind, Blocks: blocks, visibleAt: now.Add(c.cfg.EventDelay),
	})
	if len(c.events) > maxEvents {
		c.events = append([]CacheEvent(nil), c.events[len(c.events)/2:]...)
	}
}

// eventsAfter returns the visible events with sequence numbers above after, and
// the value of after for the next request. That value is lower than after if a crash
// restarted the sequence.
func (c *blockCache) eventsAfter(now time.Time, after int64) ([]CacheEvent, int64) {
	found := []CacheEvent{}
	next := min(after, c.seq)
	for _, e := range c.events {
		if e.visibleAt.After(now) {
			break
		}
		next = max(next, e.Seq)
		if e.Seq > after {
			found = append(found, e)
		}
	}
	return found, next
}
