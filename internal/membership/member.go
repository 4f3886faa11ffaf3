// Package membership decides whether a backend server may get new requests, by what the
// server itself has said: that it is leaving. The gate's fleet table uses it.
// It is pure decision logic: it knows neither the network nor how servers say it, and its
// callers pass the time.
package membership

import "sync/atomic"

// Member is what one lifetime of a server has said of its membership. The zero value is a
// server that has said nothing. It is safe for concurrent use.
type Member struct {
	leaving atomic.Bool
}

// Leave records that the server is leaving, which holds for the rest of its lifetime. It
// reports whether that is new.
func (m *Member) Leave() bool { return !m.leaving.Swap(true) }

// Accepts reports whether the server accepts requests: it is not leaving.
func (m *Member) Accepts() bool { return !m.leaving.Load() }
