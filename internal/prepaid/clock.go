package prepaid

import (
	"errors"
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a point in time by a host's clock that counts since its boot. Steps of
// the time of day do not change it, suspension counts, and processes of the same
// host read the same clock.
type Instant struct {
	// Boot identifies the boot of the host, empty if it is not known.
	Boot string `json:"boot"`
	// Millis counts since the boot.
	Millis int64 `json:"ms"`
}

// Since returns the time from an earlier instant, and false if the two have no
// clock in common.
func (i Instant) Since(earlier Instant) (time.Duration, bool) {
	if i.Boot == "" || i.Boot != earlier.Boot || i.Millis < earlier.Millis {
		return 0, false
	}
	return time.Duration(i.Millis-earlier.Millis) * time.Millisecond, true
}

// Clock reads instants.
type Clock interface{ Now() Instant }

// bootClock is the clock of the host.
type bootClock struct{ boot string }

// bootIDFile holds the identity of the host's boot.
const bootIDFile = "/proc/sys/kernel/random/boot_id"

var errNoBootID = errors.New("the host's boot has no identity")

// NewBootClock returns the host's clock. With an error the clock works, but its
// instants have nothing in common with those of other processes.
func NewBootClock() (Clock, error) {
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
