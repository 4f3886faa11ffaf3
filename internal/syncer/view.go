package syncer

import (
	"strings"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/config"
	"github.com/monsoonworks/monsoonworks/internal/store"
)

// publish updates the decoded view with events that the table has accepted. The
// caller holds mu.
//
// Configuration entries become visible only with the head that belongs to them.
// The head is written by every change, so once the head at some revision is
// known, all entries up to it are; before, a part of a change could be visible.
// whole is set for events that lead to the whole state at one revision; they
// need no head.
func (s *Syncer) publish(events []store.Event, whole bool) {
	for _, e := range events {
		switch {
		case strings.HasPrefix(e.Key, config.Prefix):
			s.pending = append(s.pending, e)
			s.pendingHead = s.pendingHead || whole || e.Key == config.HeadKey
		case strings.HasPrefix(e.Key, config.HolderPrefix):
			s.publishHolder(e)
		}
	}
	if s.pendingHead && !s.unverified {
		s.publishConfig()
		s.notify()
	} else if len(events) > 0 {
		s.notify()
	}
}

func (s *Syncer) publishConfig() {
	next, err := s.Config().With(s.pending)
	if err != nil {
		s.counters.entryErrors.Inc(1)
		s.log.Error("configuration entries not usable, earlier values stay in force", "error", err)
	}
	s.pending, s.pendingHead = nil, false
	s.config.Store(next)
	s.log.Info("configuration in force", "version", next.Version, "number", next.Head.Number)
}

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
		s.log.Error("holder record not usable, earlier value stays", "key", e.Key, "error", err)
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
