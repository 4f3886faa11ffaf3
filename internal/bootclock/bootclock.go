// Package bootclock reads the clock of the host that counts from its boot and includes
// suspension. It does not follow changes to the time of day.
package bootclock

import (
	"errors"
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a point in time of a host's boot clock, which counts from the boot and includes
// suspension. It is independent of changes to the time of day, and all processes of the host
// read the same clock.
type Instant struct {
	// Boot is the ID of the host's boot, empty if it is not known.
	Boot string `json:"boot"`
	// Millis is the number of milliseconds since the boot.
	Millis int64 `json:"ms"`
}

// Since returns the time elapsed since an earlier instant, and false if the two are not
// from the same boot or not in order.
func (i Instant) Since(earlier Instant) (time.Duration, bool) {
	if i.Boot == "" || i.Boot != earlier.Boot || i.Millis < earlier.Millis {
		return 0, false
	}
	return time.Duration(i.Millis-earlier.Millis) * time.Millisecond, true
}

// Clock returns the current instant.
type Clock interface{ Now() Instant }

// bootClock is the boot clock of this host.
type bootClock struct{ boot string }

// bootIDFile contains the ID of the host's boot.
const bootIDFile = "/proc/sys/kernel/random/boot_id"

var errNoBootID = errors.New("boot ID of the host is empty")

// New returns the boot clock of this host. If it fails, the clock is usable, but
// its instants have no boot ID, so Instant.Since never returns a time for them.
func New() (Clock, error) {
	raw, err := os.ReadFile(bootIDFile)
	id := strings.TrimSpace(string(raw))
	if err == nil && id == "" {
		err = errNoBootID
	}
	return bootClock{boot: id}, err
}

// Now implements Clock.
func (c bootClock) Now() Instant {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return Instant{}
	}
	return Instant{Boot: c.boot, Millis: t.Nano() / int64(time.Millisecond)}
}
