package engine

import (
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/prefix"
)

// Errors returned by Submit.
var (
	ErrTooLarge  = errors.New("request does not fit the engine's memory")
	ErrDuplicate = errors.New("request id is in use")
	ErrNoModel   = errors.New("model is not loaded")
)

// sequence is a queued or running request.
type sequence struct {
	req    Request
	text   textSource
	hashes []uint64
	// pinned is the number of prompt blocks pinned in the cache.
	pinned int
	// reserved is the number of blocks reserved for the rest of the sequence.
	reserved     int
	promptTokens int
	prefilled    int // prompt tokens prefilled or taken from the cache
	emitted      int // generated tokens
	prefillChunk int // prompt tokens prefilled in the current step
	usage        Usage
	record       *RequestRecord
}

// Core is the engine's logic without a clock: callers pass the current time. It is
// not safe for concurrent use.
//
// A driver calls Begin, waits until the returned time, calls End, and repeats while
// Begin reports that the engine is busy.
type Core struct {
	cfg     Config
	waiting []*sequence
	running []*sequence
	byID    map[string]*sequence
	cache   *blockCache
	log     []*RequestRecord
	models  map[string]bool
	inStep  bool
	crashes int
}

// NewCore returns an idle engine core.
func NewCore(cfg Config) *Core {
	c := &Core{cfg: cfg.withDefaults()}
	c.reset()
	return c
}

func (c *Core) reset() {
	c.waiting, c.running, c.inStep = nil, nil, false
	c.byID = make(map[string]*sequence)
	c.cache = newBlockCache(c.cfg, c.crashes)
	c.models = make(map[string]bool)
	for _, m := range c.cfg.Models {
		c.models[m] = true
	}
}

// Submit queues a request by priority, first in first out within one priority. It
// returns ErrNoModel, ErrTooLarge, or ErrDuplicate if the ID is that of a request in
// progress.
func (c *Core) Submit(now time.Time, req Request) error {
	record := &RequestRecord{ID: req.ID, Echo: echoMarker(req.Prompt), PromptTokens: PromptTokens(req.Prompt), Submitted: now}
	if !c.models[req.Model] {
		return ErrNoModel
	}
	if c.byID[req.ID] != nil {
		record.Ending = EndDuplicate
		c.log = append(c.log, record)
		return ErrDuplicate
	}
	s := &sequence{
		req: req, record: record, promptTokens: record.PromptTokens,
		text:   newTextSource(req.Prompt, req.MaxTokens),
		hashes: prefix.BlockHashes([]byte(req.Prompt)),
	}
	if s.blocks() > c.cfg.KVBlocks {
		return ErrTooLarge
	}
	record.Ending = EndRunning
	c.log = append(c.log, record)
	c.byID[req.ID] = s
	at, _ := slices.BinarySearchFunc(c.waiting, s, func(have, want *sequence) int {
		if have.req.Priority >= want.req.Priority {
			return -1
		}
		return 1
	})
	c.waiting = slices.Insert(c.waiting, at, s)
	return nil
}

// blocks returns the number of KV blocks that the complete sequence needs.
func (s *sequence) blocks() int {
	tokens := s.promptTokens + s.text.length
	return (tokens + tokensPerBlock - 1) / tokensPerBlock
}

// Cancel stops a request and returns its usage. It returns false if the request is
// not in progress.
func (c *Core) Cancel(now time.Time, id string) (Usage, bool) {
	s := c.byID[id]
	if s == nil {
		return Usage{}, false
	}
	c.finish(now, s, EndCanceled)
	return s.usage, true
}

// Begin starts a step and returns the time at which it ends. It returns false if
// no request is queued or running.
func (c *Core) Begin(now time.Time) (end time.Time, busy bool) {
	c.admit(now)
	if len(c.running) == 0 {
		return now, false
	}
	budget := c.cfg.PrefillChunk
	prefill := 0
	for _, s := range c.running {
		s.prefillChunk = min(s.promptTokens-s.prefilled, budget)
		budget -= s.prefillChunk
		prefill += s.prefillChunk
	}
	c.inStep = true
	cost := c.cfg.StepBase + time.Duration(len(c.running))*c.cfg.StepPerSequence +
		time.Duration(prefill)*c.cfg.StepPerPrefillToken
	return now.Add(cost), true
}

// admit moves queued requests into the batch, highest priority first, until the
// batch or the KV memory is full.
func (c *Core) admit(now time.Time) {
	for len(c.waiting) > 0 && len(c.running) < c.cfg.MaxRunning {
		s := c.waiting[0]
		matched := c.cache.pin(s.hashes)
		need := s.blocks() - matched
		if !c.cache.reserve(now, need) {
			c.cache.unpin(s.hashes[:matched])
			return
		}
		c.waiting = c.waiting[1:]
		s.pinned, s.reserved = matched, need
		// The last prompt token is always computed, because its result is the
		// first output token.
		s.prefilled = min(matched*tokensPerBlock, s.promptTokens-1)
		s.usage = Usage{Prompt: s.promptTokens, Cached: s.prefilled}
		s.record.Start, s.record.CachedTokens = now, s.prefilled
		c.running = append(c.running, s)
	}
}

// End finishes the step that Begin started and returns the generated tokens. It
// returns true if a request crashes the engine; the tokens of that step are lost
// and the caller must call Crash.
func (c *Core) End(now time.Time) (tokens []Token, crashed bool) {
	if !c.inStep {
		return nil, false
	}
	c.inStep = false
	for _, s := range c.running {
		if strings.Contains(s.req.Prompt, CrashMarker) && s.emitted >= c.cfg.CrashAfterTokens {
			return nil, true
		}
	}
	for _, s := range slices.Clone(c.running) {
		s.prefilled += s.prefillChunk
		s.record.Prefilled += s.prefillChunk
		s.prefillChunk = 0
		c.storeBlocks(now, s)
		if s.prefilled < s.promptTokens {
			continue
		}
		tokens = append(tokens, c.emit(now, s))
	}
	return tokens, false
}

// storeBlocks adds the prompt blocks whose prefill is complete to the cache.
func (c *Core) storeBlocks(now time.Time, s *sequence) {
	for s.pinned < len(s.hashes) && s.prefilled >= min((s.pinned+1)*tokensPerBlock, s.promptTokens) {
		var parent uint64
		if s.pinned > 0 {
			parent = s.hashes[s.pinned-1]
		}
		c.cache.storePinned(now, s.hashes[s.pinned], parent)
		s.pinned++
		s.reserved--
	}
}

// emit generates the next token of a sequence, and finishes the sequence with its last
// one.
func (c *Core) emit(now time.Time, s *sequence) Token {
	t := Token{ID: s.req.ID, Index: s.emitted, Text: s.text.tokenText(s.emitted), Value: s.text.tokenID(s.emitted)}
	s.emitted++
	s.usage.Output = s.emitted
	s.record.Tokens = s.emitted
	if s.emitted >= s.text.length {
		t.Finish = EndStop
		if s.text.truncated {
			t.Finish = EndLength
		}
		c.finish(now, s, t.Finish)
	}
	t.Usage = s.usage
	return t
}

// finish frees the memory of a sequence and completes its log entry.
func (c *Core) finish(now time.Time, s *sequence, ending string) {
	isSequence := func(other *sequence) bool { return other == s }
	c.running = slices.DeleteFunc(c.running, isSequence)
	c.waiting = slices.DeleteFunc(c.waiting, isSequence)
	delete(c.byID, s.req.ID)
	c.cache.unpin(s.hashes[:s.pinned])
	c.cache.release(s.reserved)
	s.pinned, s.reserved = 0, 0
	s.record.End, s.record.Ending = now, ending
}

// Crash ends all requests and resets the core. The log and the number of crashes are
// kept.
func (c *Core) Crash(now time.Time) {
	for _, s := range c.byID {
		s.record.End, s.record.Ending = now, EndCrashed
	}
	c.crashes++
	c.reset()
}

// Load is a load report of the engine.
type Load struct {
	Running       int `json:"running"`
	Waiting       int `json:"waiting"`
	MaxRunning    int `json:"max_running"`
	KVBlocksUsed  int `json:"kv_blocks_used"`
	KVBlocksTotal int `json:"kv_blocks_total"`
}

// Load returns the current load without delay.
func (c *Core) Load() Load {
	return Load{
		Running: len(c.running), Waiting: len(c.waiting), MaxRunning: c.cfg.MaxRunning,
		KVBlocksUsed: c.cache.used(), KVBlocksTotal: c.cfg.KVBlocks,
	}
}

// Requests returns a copy of the ground-truth log, in order of submission.
func (c *Core) Requests() []RequestRecord {
	records := make([]RequestRecord, len(c.log))
	for i, r := range c.log {
		records[i] = *r
	}
	return records
}

// CachedBlocks returns the number of leading blocks of a prompt that are cached.
func (c *Core) CachedBlocks(hashes []uint64) int { return c.cache.match(hashes) }
