package engine

import (
	"container/list"
	"math/rand/v2"
	"time"
)

// CacheEvent is a change of the prefix cache as an engine publishes it.
type CacheEvent struct {
	Seq    int64    `json:"seq"`
	Type   string   `json:"type"`
	Blocks []uint64 `json:"blocks"`

	visible time.Time
}

// Types of cache events.
const (
	eventStored  = "stored"
	eventRemoved = "removed"
	eventCleared = "cleared"
)

// maxKeptEvents bounds the list of events; older ones show as a gap.
const maxKeptEvents = 1 << 16

// block is a cached KV block.
type block struct {
	hash, parent uint64
	pins         int
	lru          *list.Element // nil while pinned
}

// blockCache is the engine's KV memory: cached blocks, evicted in order of last
// use, and blocks reserved by running sequences.
type blockCache struct {
	cfg      Config
	blocks   map[uint64]*block
	lru      *list.List // of *block, least recently used first, unpinned only
	reserved int
	seq      int64
	events   []CacheEvent
	random   *rand.Rand
}

func newBlockCache(cfg Config, restarts int) *blockCache {
	c := &blockCache{
		cfg: cfg, blocks: make(map[uint64]*block), lru: list.New(),
		random: rand.New(rand.NewPCG(cfg.Seed, uint64(restarts))),
	}
	if restarts > 0 {
		c.publish(time.Time{}, eventCleared)
	}
	return c
}

func (c *blockCache) used() int { return len(c.blocks) + c.reserved }

// match returns how many leading blocks are cached.
func (c *blockCache) match(hashes []uint64) int {
	for i, h := range hashes {
		if c.blocks[h] == nil {
			return i
		}
	}
	return len(hashes)
}

// pin protects the cached leading blocks from eviction and returns their number.
func (c *blockCache) pin(hashes []uint64) int {
	n := c.match(hashes)
	for _, h := range hashes[:n] {
		c.pinBlock(c.blocks[h])
	}
	return n
}

func (c *blockCache) pinBlock(b *block) {
	b.pins++
	if b.lru != nil {
		c.lru.Remove(b.lru)
		b.lru = nil
	}
}

// unpin releases blocks, longest prefix first, so that a prefix outlives what
// extends it.
func (c *blockCache) unpin(hashes []uint64) {
	for i := len(hashes) - 1; i >= 0; i-- {
		b := c.blocks[hashes[i]]
		if b == nil {
			continue
		}
		b.pins--
		if b.pins == 0 {
			b.lru = c.lru.PushBack(b)
		}
	}
}

// reserve takes n blocks for a sequence and evicts cached blocks if needed. It
// reports false if pinned blocks and reservations leave no room.
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

// storePinned turns a reserved block into a cached and pinned one.
func (c *blockCache) storePinned(now time.Time, hash, parent uint64) {
	c.reserved--
	if b := c.blocks[hash]; b != nil {
		c.pinBlock(b)
		return
	}
	c.blocks[hash] = &block{hash: hash, parent: parent, pins: 1}
	c.publish(now, eventStored, hash)
}

// chain returns the cached blocks that end with hash, shortest prefix first, nil
// if one is missing.
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

// importChain stores a prefix that another engine exported. It reports false if
// there is no room.
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

// publish appends an event that becomes visible after the configured delay, or
// uses up a sequence number without an event if it is lost.
func (c *blockCache) publish(now time.Time, kind string, blocks ...uint64) {
	c.seq++
	if c.random.Float64() < c.cfg.EventLoss {
		return
	}
	c.events = append(c.events, CacheEvent{
		Seq: c.seq, Type: kind, Blocks: blocks, visible: now.Add(c.cfg.EventDelay),
	})
	if len(c.events) > maxKeptEvents {
		c.events = append([]CacheEvent(nil), c.events[len(c.events)/2:]...)
	}
}

// eventsAfter returns the visible events above a sequence number, and the number
// to ask with next.
func (c *blockCache) eventsAfter(now time.Time, after int64) ([]CacheEvent, int64) {
	found := []CacheEvent{}
	next := min(after, c.seq)
	for _, e := range c.events {
		if e.visible.After(now) {
			break
		}
		next = max(next, e.Seq)
		if e.Seq > after {
			found = append(found, e)
		}
	}
	return found, next
}
