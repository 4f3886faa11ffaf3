package daemon

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// drainDeadline is a process that records when its drain must have ended.
type drainDeadline struct {
	recordingProcess
	at time.Time
}

func (d *drainDeadline) Drain(ctx context.Context) error {
	d.at, _ = ctx.Deadline()
	return nil
}

// Guards against a drain that leaves no time for the end of the process before it is killed.
func TestDrainEndsBeforeTimeout(t *testing.T) {
	c := qt.New(t)
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	p := &drainDeadline{}
	started := time.Now()
	drain(t.Context(), p, 8*time.Second, log)
	c.Assert(p.at.Before(started.Add(8*time.Second)), qt.IsTrue, qt.Commentf("%v", p.at.Sub(started)))
	c.Assert(p.at.After(started.Add(7*time.Second)), qt.IsTrue, qt.Commentf("%v", p.at.Sub(started)))
}
