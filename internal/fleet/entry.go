// Package fleet holds the gate's view of the backend servers: their entries in the
// store, the load that this gate puts on them, and their health as this gate observes
// it. The daemon calls Table.Apply with the entries, and the gate reports its
// attempts. The package knows neither HTTP nor how entries are encoded.
package fleet

import (
	"time"

	"github.com/monsoonworks/monsoonworks/internal/membership"
)

// Entry is the registration of a backend server.
type Entry struct {
	ID      string
	Service string
	// Address is "IP:port".
	Address string
	// Domain is the server's failure domain.
	Domain string
	// Slots is the number of requests that the server runs concurrently.
	Slots int
	// Draining servers get no new requests.
	Draining bool
	// WarmupLeft is how much of the server's warm-up time was left when the entry was
	// written.
	WarmupLeft time.Duration
	// StartedUnixMilli is the time of the server's start in Unix milliseconds, 0 if
	// unknown.
	StartedUnixMilli int64
	// Revision is the store revision of the entry.
	Revision int64
}

// instance identifies the server's lifetime. Its address is not part of it.
func (e *Entry) instance() membership.Instance {
	return membership.Instance{ID: e.ID, StartedUnixMilli: e.StartedUnixMilli}
}
