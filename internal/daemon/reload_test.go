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

// reloadable is a process that notes its settings.
type reloadable struct{ got chan settings.Settings }

func (r *reloadable) Run(context.Context) error   { return nil }
func (r *reloadable) Drain(context.Context) error { return nil }
func (r *reloadable) InProgress() int             { return 0 }
func (r *reloadable) Reload(s settings.Settings) bool {
	r.got <- s
	return true
}

// Guards against a process that ignores changed settings, with a signal or without,
// and against one that takes over settings that are not valid.
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
	p := &reloadable{got: make(chan settings.Settings, 4)}
	r := &reloader{path: path, current: current, process: p, log: slog.New(slog.NewTextHandler(io.Discard, nil))}
	requests := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = r.run(ctx, requests) }()
	requests <- struct{}{} // nothing changed
	write("x")
	requests <- struct{}{} // not valid
	requests <- struct{}{}
	c.Assert(p.got, qt.HasLen, 0)
	write("3")
	select {
	case s := <-p.got:
		c.Assert(s.Relay.Listen, qt.Equals, "10.0.0.1:3")
	case <-time.After(3 * settingsCheck):
		t.Fatal("the changed file was not noticed")
	}
}
