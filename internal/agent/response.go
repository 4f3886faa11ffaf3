package agent

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/monsoonworks/monsoonworks/internal/wire"
)

const (
	// maxResponseBytes bounds what one running attempt keeps of its response
	// for readers that reattach. Above it, frames that every reader has
	// received are dropped, and the attempt waits for slow readers.
	maxResponseBytes = 2 << 20
	// memoryPressureBytes is the total size of running responses above which
	// pressureResponseBytes replaces maxResponseBytes.
	memoryPressureBytes   = 12 << 20
	pressureResponseBytes = 128 << 10
	// minArenaBytes and maxArenaBytes limit the blocks that frames are stored
	// in. Each block is twice as large as the one before, so that a short
	// response does not occupy a large block.
	minArenaBytes = 256
	maxArenaBytes = 8 << 10
)

// frame is one data frame of a response.
type frame struct {
	tokens uint32
	data   []byte
}

// response keeps the frames of an attempt's response for its readers. It is
// safe for concurrent use. Its mutex is acquired after the agent's mutex, never
// before.
type response struct {
	// totalBytes points to Agent.runningResponseBytes.
	totalBytes *atomic.Int64

	mu     sync.Mutex
	head   *wire.Head
	frames []frame
	// firstFrame is the index of frames[0] in the complete response.
	firstFrame int
	arena      []byte // block that the next frames are stored in
	bytes      int    // total size of frames
	readers    []*reader
	done       bool
	advanced   chan struct{} // signals that a reader has advanced
}

// reader is one reader of a response. Its methods are called from one
// goroutine.
type reader struct {
	response *response
	offset   int // index of the next frame in the complete response
	// framesLost is set when frames that the reader needs were dropped. It is
	// guarded by the response's mutex.
	framesLost bool
	wake       chan struct{}
}

// snapshot is what a reader can consume at one moment.
type snapshot struct {
	head   *wire.Head
	frames []frame
	// framesLost is set if frames that the reader needs were dropped.
	framesLost bool
	// done is set if the response ends after frames.
	done bool
}

func newResponse(total *atomic.Int64) *response {
	return &response{totalBytes: total, advanced: make(chan struct{}, 1)}
}

func (resp *response) setHead(head *wire.Head) {
	resp.mu.Lock()
	defer resp.mu.Unlock()
	resp.head = head
	resp.notifyLocked()
}

// append adds a frame, the concatenation of parts. It blocks while the response
// is over its limit and a reader has not received the oldest kept frame; a
// response without readers drops its oldest frames instead.
func (resp *response) append(ctx context.Context, tokens uint32, parts ...string) error {
	resp.mu.Lock()
	defer resp.mu.Unlock()
	for resp.bytes > resp.limit() && !resp.trimLocked() {
		resp.mu.Unlock()
		select {
		case <-ctx.Done():
			resp.mu.Lock()
			return context.Cause(ctx)
		case <-resp.advanced:
		}
		resp.mu.Lock()
	}
	resp.storeLocked(tokens, parts)
	resp.notifyLocked()
	return nil
}

func (resp *response) limit() int {
	if resp.totalBytes.Load() > memoryPressureBytes {
		return pressureResponseBytes
	}
	return maxResponseBytes
}

func (resp *response) storeLocked(tokens uint32, parts []string) {
	n := 0
	for _, p := range parts {
		n += len(p)
	}
	if cap(resp.arena)-len(resp.arena) < n {
		size := min(max(2*cap(resp.arena), minArenaBytes), maxArenaBytes)
		resp.arena = make([]byte, 0, max(n, size))
	}
	start := len(resp.arena)
	for _, p := range parts {
		resp.arena = append(resp.arena, p...)
	}
	resp.frames = append(resp.frames, frame{tokens, resp.arena[start:len(resp.arena):len(resp.arena)]})
	resp.bytes += n
	resp.totalBytes.Add(int64(n))
}

// trimLocked drops the frames that every reader has received, or the older half
// if there is no reader. It reports whether it dropped any.
func (resp *response) trimLocked() bool {
	n, hasReader := len(resp.frames), false
	for _, r := range resp.readers {
		if !r.framesLost {
			n, hasReader = min(n, r.offset-resp.firstFrame), true
		}
	}
	if !hasReader {
		n = (len(resp.frames) + 1) / 2
	}
	if n <= 0 {
		return false
	}
	for _, f := range resp.frames[:n] {
		resp.bytes -= len(f.data)
		resp.totalBytes.Add(-int64(len(f.data)))
	}
	resp.frames = slices.Clone(resp.frames[n:])
	resp.firstFrame += n
	return true
}

func (resp *response) notifyLocked() {
	for _, r := range resp.readers {
		select {
		case r.wake <- struct{}{}:
		default:
		}
	}
}

// finish ends the response and returns the size of its kept frames, which no
// longer count in totalBytes.
func (resp *response) finish() int {
	resp.mu.Lock()
	defer resp.mu.Unlock()
	resp.done = true
	resp.totalBytes.Add(-int64(resp.bytes))
	resp.arena = nil
	resp.notifyLocked()
	return resp.bytes
}

// drop drops a finished response. It reports false and keeps the response while
// it has a reader.
func (resp *response) drop() bool {
	resp.mu.Lock()
	defer resp.mu.Unlock()
	if len(resp.readers) > 0 {
		return false
	}
	resp.firstFrame += len(resp.frames)
	resp.frames, resp.bytes, resp.head = nil, 0, nil
	return true
}

// attach adds a reader that starts at the frame with the given index.
func (resp *response) attach(offset int) *reader {
	resp.mu.Lock()
	defer resp.mu.Unlock()
	r := &reader{response: resp, offset: max(0, offset), wake: make(chan struct{}, 1)}
	r.framesLost = r.offset < resp.firstFrame
	resp.readers = append(resp.readers, r)
	return r
}

// detach removes a reader and returns the number of remaining readers.
func (resp *response) detach(r *reader) int {
	resp.mu.Lock()
	defer resp.mu.Unlock()
	resp.readers = slices.DeleteFunc(resp.readers, func(other *reader) bool { return other == r })
	resp.signalAdvanced()
	return len(resp.readers)
}

func (resp *response) readerCount() int {
	resp.mu.Lock()
	defer resp.mu.Unlock()
	return len(resp.readers)
}

func (resp *response) signalAdvanced() {
	select {
	case resp.advanced <- struct{}{}:
	default:
	}
}

// read advances the reader's offset by consumed, the number of frames that the
// reader has handled since the last call, and returns the frames from the offset
// on. It does not block.
func (r *reader) read(consumed int) snapshot {
	resp := r.response
	resp.mu.Lock()
	defer resp.mu.Unlock()
	if consumed > 0 {
		r.offset += consumed
		resp.signalAdvanced()
	}
	snap := snapshot{head: resp.head, done: resp.done}
	next := r.offset - resp.firstFrame
	if next < 0 {
		r.framesLost, snap.framesLost = true, true
		resp.signalAdvanced()
		return snap
	}
	if next < len(resp.frames) {
		snap.frames = resp.frames[next:len(resp.frames):len(resp.frames)]
	}
	return snap
}
