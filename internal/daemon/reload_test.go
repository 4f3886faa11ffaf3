package daemon

import (
	"context"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonworks/monsoonworks/internal/settings"
)

// recordingProcess records the settings of each Reload.
type recordingProcess struct{ reloads chan settings.Settings }

func (r *recordingProcess) Run(context.Context) error   { return nil }
func (r *recordingProcess) Drain(context.Context) error { return nil }
func (r *recordingProcess) InProgress() int             { return 0 }
func (r *recordingProcess) Reload(s settings.Settings) bool {
	r.reloads <- s
	return true
}

// Guards against changed settings that are ignored when no signal was sent, and against
// invalid settings that are applied.
func TestReload(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(t.TempDir(), "settings.yaml")
	write := func(port string) {
		text := "role: relay\nname: n\nregion: r\ndomain: d\nrelay: {listen: \"10.0.0.1:" + port + "\", store: \"10.0.0.2:2\"}\n"
		c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	}
	write("1")
	current, err := settings.Load(path)
	c.Assert(err, qt.IsNil)
	p := &recordingProcess{reloads: make(chan settings.Settings, 4)}
	w := &settingsWatcher{path: path, current: current, process: p, log: slog.New(slog.NewTextHandler(io.Discard, nil))}
	requests := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = w.run(ctx, requests) }()
	requests <- struct{}{} // unchanged file
	write("x")
	requests <- struct{}{} // invalid file
	requests <- struct{}{}
	c.Assert(p.reloads, qt.HasLen, 0)
	write("3")
	select {
	case s := <-p.reloads:
		c.Assert(s.Relay.Listen, qt.Equals, "10.0.0.1:3")
	case <-time.After(3 * settingsPollInterval):
		t.Fatal("changed settings file not reloaded")
	}
}
