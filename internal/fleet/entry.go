// Package fleet holds what a gate knows about the backend servers: their entries
// in the platform's list, the load that this gate put on them, and their health as
// seen from here. It knows neither HTTP nor how entries are encoded.
package fleet

import "time"

// Entry is what a server says of itself in the platform's list.
type Entry struct {
	ID      string
	Service string
	// Address is "IP:port".
	Address string
	Domain  string
	// Slots is the number of requests that it runs at once.
	Slots int
	// Draining servers get no new requests.
	Draining bool
	// WarmupLeft is how much longer it is slow after its start, as of the entry.
	WarmupLeft time.Duration
	// StartedAtMillis is the time of its start, in Unix milliseconds, 0 if unknown.
	StartedAtMillis int64
	// Revision is the store's revision of the entry.
	Revision int64
}
