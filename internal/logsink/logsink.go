// Package logsink writes log lines without ever blocking the code that logs. When
// the reader of the log is slow, lines are dropped and counted.
package logsink

import (
	"context"
	"io"

	"github.com/rcrowley/go-metrics"
)

// queueLines is the number of lines that wait to be written.
const queueLines = 4096

// batchBytes is the size up to which waiting lines are written together.
const batchBytes = 32 << 10

// Sink is an io.Writer for slog handlers. It is safe for concurrent use.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	dropped metrics.Counter
	failed  metrics.Counter
}

// New returns a sink that writes to out while Run runs.
func New(out io.Writer, registry metrics.Registry) *Sink {
	return &Sink{
		out: out, lines: make(chan []byte, queueLines),
		dropped: metrics.GetOrRegisterCounter("monsoon.log.lines_dropped", registry),
		failed:  metrics.GetOrRegisterCounter("monsoon.log.writes_failed", registry),
	}
}

// Write queues one line. It never blocks and never fails.
func (s *Sink) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case s.lines <- line:
	default:
		s.dropped.Inc(1)
	}
	return len(p), nil
}

// Run writes queued lines until ctx ends, and then those that are left.
func (s *Sink) Run(ctx context.Context) error {
	for {
		select {
		case line := <-s.lines:
			s.write(line)
		case <-ctx.Done():
			s.flush()
			return nil
		}
	}
}

func (s *Sink) flush() {
	for {
		select {
		case line := <-s.lines:
			s.write(line)
		default:
			return
		}
	}
}

// write writes a line together with those that wait behind it.
func (s *Sink) write(batch []byte) {
	for len(batch) < batchBytes {
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
