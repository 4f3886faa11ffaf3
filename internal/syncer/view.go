package syncer

import (
	"strings"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/config"
	"github.com/monsoonworks/monsoonworks/internal/store"
)

// publish updates the decoded view with events that the table has applied. The
// caller holds mu.
//
// Configuration entries become visible only together with their head, because a part
// of a change must never be visible. Every change writes the head, so all entries up
// to the revision of a head have arrived with it. snapshot is set if the events are
// those of a complete snapshot, which contains each change completely or not at all;
// then no head is needed.
func (s *Syncer) publish(events []store.Event, snapshot bool) {
	for _, e := range events {
		switch {
		case strings.HasPrefix(e.Key, config.Prefix):
			s.unpublished = append(s.unpublished, e)
			s.unpublishedHead = s.unpublishedHead || snapshot || e.Key == config.HeadKey
		case strings.HasPrefix(e.Key, config.HolderPrefix):
			s.publishHolder(e)
		}
	}
	if s.unpublishedHead && !s.unverified {
		s.publishConfig()
		s.notify()
	} else if len(events) > 0 {
		s.notify()
	}
}

// publishConfig puts the unpublished entries in force. The caller holds mu.
func (s *Syncer) publishConfig() {
	next, err := s.Config().With(s.unpublished)
	if err != nil {
		s.counters.entryErrors.Inc(1)
		s.log.Error("invalid configuration entries, previous values stay in force", "error", err)
	}
	s.unpublished, s.unpublishedHead = nil, false
	s.config.Store(next)
	s.log.Info("configuration in force", "version", next.Version, "number", next.Head.Number)
}

// publishHolder updates a holder record. The caller holds mu.
func (s *Syncer) publishHolder(e store.Event) {
	account, err := config.ParseHolderKey(e.Key)
	if err != nil {
		s.counters.entryErrors.Inc(1)
		return
	}
	if e.Deleted {
		delete(s.holders, account)
		return
	}
	record, err := config.DecodeHolder(e.Value)
	if err != nil {
		s.counters.entryErrors.Inc(1)
		s.log.Error("invalid holder record, previous record stays in force", "key", e.Key, "error", err)
		return
	}
	s.holders[account] = record
}

// HolderEpochs returns the epoch of each known holder record.
func (s *Syncer) HolderEpochs() map[budget.Account]uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := make(map[budget.Account]uint64, len(s.holders))
	for account, record := range s.holders {
		out[account] = record.Epoch
	}
	return out
}
