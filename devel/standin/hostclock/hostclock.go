// Package hostclock is a stand-in for the boot clock of a host. It follows the time of the process,
// so in a synctest bubble it follows virtual time.
package hostclock

import (
	"time"

	"github.com/monsoonworks/monsoonworks/internal/bootclock"
)

// Clock is the boot clock of a host that booted at Start.
type Clock struct {
	// Boot identifies the boot.
	Boot  string
	Start time.Time
}

// Now implements bootclock.Clock.
func (c *Clock) Now() bootclock.Instant {
	return bootclock.Instant{Boot: c.Boot, Millis: time.Since(c.Start).Milliseconds()}
}
