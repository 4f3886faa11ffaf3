package gate

import (
	"errors"
	"io"
	"sync/atomic"
)

const (
	// uncountedBytes is the part of each buffer that needs no reservation, so that small
	// bodies pass while large ones have used up the memory.
	uncountedBytes = 4 << 10
	// maxInitialBytes limits the initial size of a buffer whatever length a peer declares.
	// The buffer grows as bytes arrive.
	maxInitialBytes = 64 << 10
)

var (
	errBodyTooLarge = errors.New("the body is larger than its limit")
	errMemoryUsedUp = errors.New("the memory for bodies and events is used up")
)

// memoryLimit limits the memory that all requests in progress use for bodies and events.
// It is safe for concurrent use.
type memoryLimit struct {
	limit int64
	used  atomic.Int64
}

func (l *memoryLimit) reserve(n int64) bool {
	if n == 0 {
		return true
	}
	if l.used.Add(n) > l.limit {
		l.used.Add(-n)
		return false
	}
	return true
}

// memoryReservation is what one request has reserved. It must not be used concurrently.
type memoryReservation struct {
	limit    *memoryLimit
	reserved int64
}

// add reserves the memory of a buffer before it is allocated. It fails with
// errMemoryUsedUp.
func (r *memoryReservation) add(size int64) error {
	n := max(size-uncountedBytes, 0)
	if !r.limit.reserve(n) {
		return errMemoryUsedUp
	}
	r.reserved += n
	return nil
}

// remove gives back what was reserved for a buffer.
func (r *memoryReservation) remove(size int64) {
	n := max(size-uncountedBytes, 0)
	r.limit.used.Add(-n)
	r.reserved -= n
}

// release gives back all that was reserved.
func (r *memoryReservation) release() {
	r.limit.used.Add(-r.reserved)
	r.reserved = 0
}

// readBounded reads a body of at most limit bytes to its end. length is the declared
// length, negative if it is unknown. It fails with errBodyTooLarge, errMemoryUsedUp or
// an error of r. With errMemoryUsedUp it also returns what it has read.
func readBounded(r io.Reader, length, limit int64, memory *memoryReservation) ([]byte, error) {
	if length > limit {
		return nil, errBodyTooLarge
	}
	// One byte more than the declared length leaves room to read the end of the body.
	size := int64(uncountedBytes)
	if length >= 0 {
		size = min(length+1, maxInitialBytes)
	}
	if err := memory.add(size); err != nil {
		return nil, err
	}
	body := make([]byte, 0, size)
	for {
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return nil, errBodyTooLarge
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, err
		case len(body) == cap(body):
			grown, err := growBuffer(body, min(2*int64(cap(body)), limit+1), memory)
			if err != nil {
				return body, err
			}
			body = grown
		}
	}
}

// growBuffer returns a copy of the buffer with the capacity size.
func growBuffer(buffer []byte, size int64, memory *memoryReservation) ([]byte, error) {
	if err := memory.add(size); err != nil {
		return nil, err
	}
	grown := append(make([]byte, 0, size), buffer...)
	memory.remove(int64(cap(buffer)))
	return grown, nil
}
