package logsink

import (
	"context"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"
)

// blockingWriter blocks until release is closed.
type blockingWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (b *blockingWriter) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// Write must not block while the output does, and every line must be either written
// or counted as dropped.
func TestWriteNeverBlocks(t *testing.T) {
	c := qt.New(t)
	registry := metrics.NewRegistry()
	out := &blockingWriter{release: make(chan struct{})}
	sink := New(out, registry)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- sink.Run(ctx) }()
	const lines = maxQueuedLines * 2
	for range lines {
		_, err := sink.Write([]byte("line\n"))
		c.Assert(err, qt.IsNil)
	}
	close(out.release)
	cancel()
	c.Assert(<-done, qt.IsNil)
	written := strings.Count(out.text.String(), "line\n")
	dropped := metrics.GetOrRegisterCounter("monsoon.log.lines_dropped", registry).Count()
	c.Assert(int64(written)+dropped, qt.Equals, int64(lines))
	c.Assert(written >= maxQueuedLines, qt.IsTrue)
}
