package daemon

import (
	"context"
	"log/slog"
	"os"
	"reflect"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/settings"
)

// settingsCheck is how often the settings file is looked at for a change that no
// signal announced.
const settingsCheck = 2 * time.Second

// Reloader is a process that takes over changed settings.
type Reloader interface {
	// Reload takes over what can change while the process runs, and returns whether
	// that is all that changed.
	Reload(s settings.Settings) bool
}

// reloader takes over changes of the settings file.
type reloader struct {
	path    string
	current settings.Settings
	process Process
	log     *slog.Logger
	stamp   time.Time // of the file when it was read
}

// run reads the file at each request and when it has changed, until ctx ends.
func (r *reloader) run(ctx context.Context, requests <-chan struct{}) error {
	ticker := time.NewTicker(settingsCheck)
	defer ticker.Stop()
	r.stamp = r.modified()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-requests:
			r.reload("signal")
		case <-ticker.C:
			if stamp := r.modified(); !stamp.Equal(r.stamp) {
				r.stamp = stamp
				r.reload("file changed")
			}
		}
	}
}

// modified returns when the file was changed, the zero time if it cannot be seen.
func (r *reloader) modified() time.Time {
	info, err := os.Stat(r.path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload takes over the file's settings. Ones that are not valid change nothing.
func (r *reloader) reload(reason string) {
	next, err := settings.Load(r.path)
	if err != nil {
		r.log.Error("settings not reloaded", "reason", reason, "error", err)
		return
	}
	if reflect.DeepEqual(next, r.current) {
		r.log.Info("settings read again, nothing changed", "reason", reason)
		return
	}
	whole := false
	if p, ok := r.process.(Reloader); ok {
		whole = p.Reload(next)
	}
	r.current = next
	r.log.Info("settings reloaded", "reason", reason, "restart_needed", !whole)
}
