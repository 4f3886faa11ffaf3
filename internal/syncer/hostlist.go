package syncer

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/hosts"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// keptHostLists is the number of former host lists that a relay keeps to answer
// with differences.
const keptHostLists = 16

// hostState is what a node knows about the host list besides the list itself.
// Syncer.mu guards it.
type hostState struct {
	asOf   time.Time // when the list was last known to be the platform's
	former []*hosts.List
	// changed and gone lead from the last former list to the present one. Nearly
	// all followers need this difference, so it is computed once.
	changed []wire.SyncHost
	gone    []string
}

// offerHosts adopts a list that was the platform's at a later time than the
// present one. Lists of two relays can differ, because each has its own lag;
// the later reading counts.
func (s *Syncer) offerHosts(list *hosts.List, asOf time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.Hosts()
	if !asOf.After(s.hostState.asOf) {
		return
	}
	s.hostState.asOf = asOf
	if list.Version == current.Version {
		return
	}
	s.hostState.former = append(s.hostState.former, current)
	if extra := len(s.hostState.former) - keptHostLists; extra > 0 {
		s.hostState.former = append([]*hosts.List(nil), s.hostState.former[extra:]...)
	}
	changed, gone := hosts.Diff(current, list)
	s.hostState.changed, s.hostState.gone = hosts.ToWire(changed), gone
	s.hosts.Store(list)
	wasRelay := s.plan.relay
	s.plan = makePlan(list, s.opts.Self)
	if s.plan.relay != wasRelay {
		s.log.Info("relay role changed", "relay", s.plan.relay)
	}
	s.notify()
}

// fetchHosts reads the platform's list.
func (s *Syncer) fetchHosts(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	before := time.Now()
	if list, err := s.hostClient.Fetch(ctx); err == nil {
		s.offerHosts(list, before)
	}
}

// runHosts reads the host list regularly on a relay, and elsewhere if no relay
// has told about it for too long.
func (s *Syncer) runHosts(ctx context.Context) error {
	age := hostsFallbackAge + rand.N(hostsFallbackAge)
	for pause(ctx, jitter(hostsInterval)) {
		s.mu.RLock()
		due := s.plan.relay || s.Hosts().Len() == 0 || time.Since(s.hostState.asOf) > age
		s.mu.RUnlock()
		if due {
			s.fetchHosts(ctx)
		}
	}
	return nil
}

// answerHosts fills in what a poller needs to reach the current list. The caller
// holds mu.
func (s *Syncer) answerHosts(version uint64, reply *wire.SyncPollReply) {
	list := s.Hosts()
	reply.HostsVersion = list.Version
	reply.HostsAgeMillis = -1
	if !s.hostState.asOf.IsZero() {
		reply.HostsAgeMillis = time.Since(s.hostState.asOf).Milliseconds()
	}
	if list.Version == version || list.Len() == 0 {
		return
	}
	former := s.hostState.former
	at := slices.IndexFunc(former, func(l *hosts.List) bool { return version != 0 && l.Version == version })
	switch {
	case at >= 0 && at == len(former)-1:
		reply.Hosts, reply.HostsRemoved, reply.HostsDelta = s.hostState.changed, s.hostState.gone, true
		return
	case at >= 0:
		changed, gone := hosts.Diff(former[at], list)
		reply.Hosts, reply.HostsRemoved, reply.HostsDelta = hosts.ToWire(changed), gone, true
		return
	}
	reply.Hosts = hosts.ToWire(list.All())
}

// takeHosts applies the part of an answer that concerns the host list. known is
// the node's list when it asked, and asked the version that it asked with. It
// returns the version that the relay has told, 0 to ask for the whole list.
func (s *Syncer) takeHosts(known *hosts.List, asked uint64, reply *wire.SyncPollReply, received time.Time) uint64 {
	list := known
	switch {
	case reply.HostsVersion == 0:
		return 0
	case reply.HostsVersion == asked && len(reply.Hosts) == 0 && len(reply.HostsRemoved) == 0:
		if known.Version != asked {
			return asked // an older list than the node's, told before
		}
	case reply.HostsDelta:
		if known.Version != asked {
			return 0
		}
		if list = known.With(hosts.FromWire(reply.Hosts), reply.HostsRemoved); list.Version != reply.HostsVersion {
			return 0
		}
	default:
		list = hosts.NewList(hosts.FromWire(reply.Hosts))
	}
	if reply.HostsAgeMillis >= 0 {
		s.offerHosts(list, received.Add(-time.Duration(reply.HostsAgeMillis)*time.Millisecond))
	}
	return reply.HostsVersion
}
