package syncer

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/hosts"
	"github.com/monsoonworks/monsoonworks/internal/wait"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// maxPreviousLists is the number of previous host lists that a distributor retains
// to reply with differences.
const maxPreviousLists = 16

// hostState is the state of the host list besides the list itself. It is guarded by
// Syncer.mu.
type hostState struct {
	asOf     time.Time     // when the list was last known to be current
	previous []*hosts.List // oldest first
	// changed and removed are the difference between the last previous list and the
	// current one. Nearly all followers need it, so it is computed once.
	changed []wire.SyncHost
	removed []string
}

// updateHosts replaces the host list if the given one was read from the platform
// later than the current one. The lists of two distributors can differ, because they
// read the platform at different times.
func (s *Syncer) updateHosts(list *hosts.List, asOf time.Time) {
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
	s.hostState.previous = append(s.hostState.previous, current)
	if extra := len(s.hostState.previous) - maxPreviousLists; extra > 0 {
		s.hostState.previous = append([]*hosts.List(nil), s.hostState.previous[extra:]...)
	}
	changed, removed := hosts.Diff(current, list)
	s.hostState.changed, s.hostState.removed = hosts.ToWire(changed), removed
	s.hosts.Store(list)
	wasDistributor := s.topology.distributor
	s.topology = newTopology(list, s.opts.Self)
	if s.topology.distributor != wasDistributor {
		s.log.Info("distributor role changed", "distributor", s.topology.distributor)
	}
	s.notify()
}

// fetchHosts reads the host list from the platform.
func (s *Syncer) fetchHosts(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	before := time.Now()
	if list, err := s.hostClient.Fetch(ctx); err == nil {
		s.updateHosts(list, before)
	}
}

// runHosts reads the host list periodically on a distributor, and on other nodes
// if they have none or if it is older than the randomized hostsFallbackAge.
func (s *Syncer) runHosts(ctx context.Context) error {
	age := hostsFallbackAge + rand.N(hostsFallbackAge)
	for wait.Sleep(ctx, jitter(hostsReadInterval)) {
		s.mu.RLock()
		due := s.topology.distributor || s.Hosts().Len() == 0 || time.Since(s.hostState.asOf) > age
		s.mu.RUnlock()
		if due {
			s.fetchHosts(ctx)
		}
	}
	return nil
}

// fillHosts fills in the host list, or the difference from the version in the poll.
// The caller holds mu.
func (s *Syncer) fillHosts(version uint64, reply *wire.SyncPollReply) {
	list := s.Hosts()
	reply.HostsVersion = list.Version
	reply.HostsAgeMillis = -1
	if !s.hostState.asOf.IsZero() {
		reply.HostsAgeMillis = time.Since(s.hostState.asOf).Milliseconds()
	}
	if list.Version == version || list.Len() == 0 {
		return
	}
	previous := s.hostState.previous
	at := slices.IndexFunc(previous, func(l *hosts.List) bool { return version != 0 && l.Version == version })
	switch {
	case at >= 0 && at == len(previous)-1:
		reply.Hosts, reply.HostsRemoved, reply.HostsDelta = s.hostState.changed, s.hostState.removed, true
		return
	case at >= 0:
		changed, removed := hosts.Diff(previous[at], list)
		reply.Hosts, reply.HostsRemoved, reply.HostsDelta = hosts.ToWire(changed), removed, true
		return
	}
	reply.Hosts = hosts.ToWire(list.All())
}

// applyHosts applies the host list of a reply. base is the list of this node when it
// sent the poll, and sentVersion the version in the poll, which can be that of another
// list. It returns the version for the next poll of the distributor, 0 for the version
// that this node then has.
func (s *Syncer) applyHosts(base *hosts.List, sentVersion uint64, reply *wire.SyncPollReply, received time.Time) uint64 {
	list := base
	switch {
	case reply.HostsVersion == 0:
		return 0
	case reply.HostsVersion == sentVersion && len(reply.Hosts) == 0 && len(reply.HostsRemoved) == 0:
		if base.Version != sentVersion {
			return sentVersion // the distributor still has that list, and this node another one
		}
	case reply.HostsDelta:
		if base.Version != sentVersion {
			return 0
		}
		if list = base.With(hosts.FromWire(reply.Hosts), reply.HostsRemoved); list.Version != reply.HostsVersion {
			return 0
		}
	default:
		list = hosts.NewList(hosts.FromWire(reply.Hosts))
	}
	if reply.HostsAgeMillis >= 0 {
		s.updateHosts(list, received.Add(-time.Duration(reply.HostsAgeMillis)*time.Millisecond))
	}
	return reply.HostsVersion
}
