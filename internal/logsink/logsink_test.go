package logsink

import (
	"context"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"
)

// blocked is a writer that waits until it is released.
type blocked struct {
	release chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// Guards against a slow reader of the log that stops requests, and against lines
// that are lost uncounted.
func TestNeverBlocks(t *testing.T) {
	c := qt.New(t)
	registry := metrics.NewRegistry()
	out := &blocked{release: make(chan struct{})}
	sink := New(out, registry)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- sink.Run(ctx) }()
	const lines = queueLines * 2
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
	c.Assert(written >= queueLines, qt.IsTrue)
}
