package memstore

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/store"
)

// lease is a granted lease. It is guarded by Store.mu.
type lease struct {
	ttl      time.Duration
	deadline time.Time
	timer    *time.Timer
	keys     map[string]struct{}
}

// Grant implements store.Leaser.
func (s *Store) Grant(_ context.Context, ttl time.Duration) (store.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLeaseID++
	id := s.lastLeaseID
	s.leases[id] = &lease{
		ttl:      ttl,
		deadline: time.Now().Add(ttl),
		timer:    time.AfterFunc(ttl, func() { s.expire(id) }),
		keys:     make(map[string]struct{}),
	}
	return id, nil
}

// KeepAlive implements store.Leaser.
func (s *Store) KeepAlive(_ context.Context, id store.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return store.ErrLeaseNotFound
	}
	l.deadline = time.Now().Add(l.ttl)
	l.timer.Reset(l.ttl)
	return nil
}

// Revoke implements store.Leaser.
func (s *Store) Revoke(_ context.Context, id store.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		return store.ErrLeaseNotFound
	}
	s.deleteLease(id)
	return nil
}

// TTL returns the time to live with which a lease was granted, and whether it exists.
func (s *Store) TTL(id store.LeaseID) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.leases[id]; l != nil {
		return l.ttl, true
	}
	return 0, false
}

// expire runs when a lease's timer fires. It checks the deadline again, because a
// renewal may have acquired mu first.
func (s *Store) expire(id store.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.leases[id]; l != nil && !time.Now().Before(l.deadline) {
		s.deleteLease(id)
	}
}

// deleteLease deletes a lease and the keys attached to it. The caller holds mu.
func (s *Store) deleteLease(id store.LeaseID) {
	l := s.leases[id]
	delete(s.leases, id)
	l.timer.Stop()
	var deletes []store.Write
	for _, key := range slices.Sorted(maps.Keys(l.keys)) {
		deletes = append(deletes, store.Write{Key: key, Delete: true})
	}
	s.apply(deletes)
}
