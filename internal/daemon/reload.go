package daemon

import (
	"context"
	"log/slog"
	"os"
	"reflect"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/settings"
)

// settingsPollInterval is the interval at which the settings file is checked for changes,
// so that a change takes effect without a signal.
const settingsPollInterval = 2 * time.Second

// Reloader is implemented by processes that can apply changed settings.
type Reloader interface {
	// Reload applies the settings that can change while the process runs. It returns false
	// if the process must be restarted, because other settings have changed too.
	Reload(s settings.Settings) bool
}

// settingsWatcher applies changes of the settings file to the process if it is a Reloader.
type settingsWatcher struct {
	path    string
	current settings.Settings
	process Process
	log     *slog.Logger
	modTime time.Time // of the settings file when it was last read
}

// run reloads the file on each request and when its modification time changes, until ctx
// ends.
func (w *settingsWatcher) run(ctx context.Context, requests <-chan struct{}) error {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	w.modTime = w.fileModTime()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-requests:
			w.reload("signal")
		case <-ticker.C:
			if modTime := w.fileModTime(); !modTime.Equal(w.modTime) {
				w.modTime = modTime
				w.reload("file changed")
			}
		}
	}
}

// fileModTime returns the modification time of the settings file, or the zero time if the
// file cannot be read.
func (w *settingsWatcher) fileModTime() time.Time {
	info, err := os.Stat(w.path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload applies the settings of the file. If they cannot be read or are invalid, that is
// logged and the current settings stay.
func (w *settingsWatcher) reload(reason string) {
	next, err := settings.Load(w.path)
	if err != nil {
		w.log.Error("settings not reloaded", "reason", reason, "error", err)
		return
	}
	if reflect.DeepEqual(next, w.current) {
		w.log.Info("settings unchanged", "reason", reason)
		return
	}
	applied := false
	if p, ok := w.process.(Reloader); ok {
		applied = p.Reload(next)
	}
	w.current = next
	w.log.Info("settings reloaded", "reason", reason, "restart_needed", !applied)
}
