// Package logsink writes log lines asynchronously, so that a slow reader of the log
// never blocks the process. If the queue is full, lines are dropped and counted.
// The command monsoond installs it under its logger; the package does not know the
// format of lines.
package logsink

import (
	"context"
	"io"

	"github.com/rcrowley/go-metrics"
)

// maxQueuedLines is the queue's capacity, in lines.
const maxQueuedLines = 4096

// maxBatchBytes is the size from which no further lines are added to a batch.
const maxBatchBytes = 32 << 10

// Sink is an asynchronous io.Writer for slog handlers. It is safe for concurrent
// use.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	dropped metrics.Counter
	failed  metrics.Counter
}

// New returns a sink that writes to out while Run is running.
func New(out io.Writer, registry metrics.Registry) *Sink {
	return &Sink{
		out: out, lines: make(chan []byte, maxQueuedLines),
		dropped: metrics.GetOrRegisterCounter("monsoon.log.lines_dropped", registry),
		failed:  metrics.GetOrRegisterCounter("monsoon.log.writes_failed", registry),
	}
}

// Write queues one line, or drops it if the queue is full. It never blocks and
// never returns an error.
func (s *Sink) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case s.lines <- line:
	default:
		s.dropped.Inc(1)
	}
	return len(p), nil
}

// Run writes queued lines until ctx ends, and then the remaining ones. It returns
// nil; a failed write is only counted.
func (s *Sink) Run(ctx context.Context) error {
	for {
		select {
		case line := <-s.lines:
			s.writeBatch(line)
		case <-ctx.Done():
			s.drain()
			return nil
		}
	}
}

func (s *Sink) drain() {
	for {
		select {
		case line := <-s.lines:
			s.writeBatch(line)
		default:
			return
		}
	}
}

// writeBatch writes a line together with the lines queued behind it. batch is the
// first line; lines are added until it has maxBatchBytes.
func (s *Sink) writeBatch(batch []byte) {
	for len(batch) < maxBatchBytes {
		select {
		case line := <-s.lines:
			batch = append(batch, line...)
			continue
		default:
		}
		break
	}
	if _, err := s.out.Write(batch); err != nil {
		s.failed.Inc(1)
	}
}
