package agent

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// Bounds on the answers that are kept while their attempts run.
const (
	// maxResponseBytes bounds what one running attempt keeps for a re-attach.
	// Above it, parts that every reader has are dropped, and the attempt waits
	// for a slow reader.
	maxAnswerBytes = 2 << 20
	// crowdedBytes is the sum above which the bound of each attempt is
	// crowdedAnswerBytes.
	crowdedBytes       = 12 << 20
	crowdedAnswerBytes = 128 << 10
	// minArenaBytes and maxArenaBytes bound the blocks that frames are kept in.
	// Each block is twice as large as the one before, so that a short answer
	// does not hold a large block.
	minArenaBytes = 256
	maxArenaBytes = 8 << 10
)

// frame is one part of an answer.
type frame struct {
	tokens uint32
	data   []byte
}

// answer keeps the parts of an attempt's answer for its readers. It is safe for
// concurrent use. Its lock is taken after the agent's lock, never before.
type answer struct {
	// total counts the bytes of all running answers.
	total *atomic.Int64

	mu     sync.Mutex
	head   *wire.Head
	frames []frame
	// first is the index of frames[0] in the whole answer.
	first   int
	arena   []byte
	bytes   int
	readers []*reader
	done    bool
	room    chan struct{} // signals that a reader has advanced
}

// reader is one reader of an answer. All methods but those of answer are called
// from one goroutine.
type reader struct {
	answer *answer
	offset int
	// lost is set when the reader needs parts that are no longer kept. It is
	// guarded by the answer's lock.
	lost bool
	wake chan struct{}
}

// view is what a reader gets at a time.
type view struct {
	head   *wire.Head
	frames []frame
	// lost is set if parts that the reader needs are no longer kept.
	lost bool
	// done is set if nothing follows frames.
	done bool
}

func newAnswer(total *atomic.Int64) *answer {
	return &answer{total: total, room: make(chan struct{}, 1)}
}

func (an *answer) setHead(head *wire.Head) {
	an.mu.Lock()
	defer an.mu.Unlock()
	an.head = head
	an.wakeLocked()
}

// append adds a part, made of strings that are put together. It waits while the answer is over its
// bound and a reader is behind; an answer without readers loses its oldest parts
// instead.
func (an *answer) append(ctx context.Context, tokens uint32, parts ...string) error {
	an.mu.Lock()
	defer an.mu.Unlock()
	for an.bytes > an.limit() && !an.trimLocked() {
		an.mu.Unlock()
		select {
		case <-ctx.Done():
			an.mu.Lock()
			return context.Cause(ctx)
		case <-an.room:
		}
		an.mu.Lock()
	}
	an.storeLocked(tokens, parts)
	an.wakeLocked()
	return nil
}

func (an *answer) limit() int {
	if an.total.Load() > crowdedBytes {
		return crowdedAnswerBytes
	}
	return maxAnswerBytes
}

func (an *answer) storeLocked(tokens uint32, parts []string) {
	n := 0
	for _, p := range parts {
		n += len(p)
	}
	if cap(an.arena)-len(an.arena) < n {
		size := min(max(2*cap(an.arena), minArenaBytes), maxArenaBytes)
		an.arena = make([]byte, 0, max(n, size))
	}
	start := len(an.arena)
	for _, p := range parts {
		an.arena = append(an.arena, p...)
	}
	an.frames = append(an.frames, frame{tokens, an.arena[start:len(an.arena):len(an.arena)]})
	an.bytes += n
	an.total.Add(int64(n))
}

// trimLocked drops what every reader has, or the older half if there is no
// reader. It reports whether it dropped anything.
func (an *answer) trimLocked() bool {
	n, read := len(an.frames), false
	for _, r := range an.readers {
		if !r.lost {
			n, read = min(n, r.offset-an.first), true
		}
	}
	if !read {
		n = (len(an.frames) + 1) / 2
	}
	if n <= 0 {
		return false
	}
	for _, f := range an.frames[:n] {
		an.bytes -= len(f.data)
		an.total.Add(-int64(len(f.data)))
	}
	an.frames = slices.Clone(an.frames[n:])
	an.first += n
	return true
}

func (an *answer) wakeLocked() {
	for _, r := range an.readers {
		select {
		case r.wake <- struct{}{}:
		default:
		}
	}
}

// finish ends the answer and returns the bytes that it keeps, which no longer
// count as running.
func (an *answer) finish() int {
	an.mu.Lock()
	defer an.mu.Unlock()
	an.done = true
	an.total.Add(-int64(an.bytes))
	an.arena = nil
	an.wakeLocked()
	return an.bytes
}

// drop forgets a finished answer. It reports false, and keeps the answer, while
// someone reads it.
func (an *answer) drop() bool {
	an.mu.Lock()
	defer an.mu.Unlock()
	if len(an.readers) > 0 {
		return false
	}
	an.first += len(an.frames)
	an.frames, an.bytes, an.head = nil, 0, nil
	return true
}

// attach adds a reader from the part with the given index on.
func (an *answer) attach(offset int) *reader {
	an.mu.Lock()
	defer an.mu.Unlock()
	r := &reader{answer: an, offset: max(0, offset), wake: make(chan struct{}, 1)}
	r.lost = r.offset < an.first
	an.readers = append(an.readers, r)
	return r
}

// detach removes a reader and returns how many are left.
func (an *answer) detach(r *reader) int {
	an.mu.Lock()
	defer an.mu.Unlock()
	an.readers = slices.DeleteFunc(an.readers, func(other *reader) bool { return other == r })
	an.signalRoom()
	return len(an.readers)
}

func (an *answer) readerCount() int {
	an.mu.Lock()
	defer an.mu.Unlock()
	return len(an.readers)
}

func (an *answer) signalRoom() {
	select {
	case an.room <- struct{}{}:
	default:
	}
}

// read returns what follows the reader's offset without waiting. consumed is the
// number of parts that the reader has handled since the last call.
func (r *reader) read(consumed int) view {
	an := r.answer
	an.mu.Lock()
	defer an.mu.Unlock()
	if consumed > 0 {
		r.offset += consumed
		an.signalRoom()
	}
	v := view{head: an.head, done: an.done}
	at := r.offset - an.first
	if at < 0 {
		r.lost, v.lost = true, true
		an.signalRoom()
		return v
	}
	if at < len(an.frames) {
		v.frames = an.frames[at:len(an.frames):len(an.frames)]
	}
	return v
}
