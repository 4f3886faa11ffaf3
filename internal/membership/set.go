package membership

import "time"

// retention is how long a Member is kept after its instance is no longer listed. An
// instance whose entry was lost can be listed again.
const retention = 10 * time.Minute

// Instance identifies one lifetime of a server.
type Instance struct {
	ID string
	// StartedUnixMilli is the time of the server's start in Unix milliseconds, 0 if
	// unknown.
	StartedUnixMilli int64
}

// Set holds the members of the listed instances, and for some time those of instances that
// are no longer listed. It must not be used concurrently.
type Set struct {
	members   map[Instance]*Member
	histories map[string]*history // by server ID
	// unlistedSince holds the instances that are not listed, and since when.
	unlistedSince map[Instance]time.Time
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{
		members: make(map[Instance]*Member), histories: make(map[string]*history), unlistedSince: make(map[Instance]time.Time),
	}
}

// Member returns the member of an instance that is listed at an address, which is the same as
// long as the set holds it. A new member has said what the server said since its start, as far
// as was heard at that address.
func (s *Set) Member(i Instance, address string, now time.Time) *Member {
	m := s.members[i]
	if m == nil {
		m = &Member{history: s.history(i.ID), startedAt: startTime(i, now)}
		s.members[i] = m
	}
	m.setAddress(address)
	return m
}

func (s *Set) history(id string) *history {
	h := s.histories[id]
	if h == nil {
		h = newHistory()
		s.histories[id] = h
	}
	return h
}

// startTime returns the start time of an instance that has just been listed, zero if unknown. It is
// not later than now, and follows no later step of this host's clock.
func startTime(i Instance, now time.Time) time.Time {
	if i.StartedUnixMilli == 0 {
		return time.Time{}
	}
	return now.Add(-max(now.Sub(time.UnixMilli(i.StartedUnixMilli)), 0))
}

// EndListing is called after Member was called for all instances of a new list. It removes
// the members that have not been listed for the retention time.
func (s *Set) EndListing(listed map[Instance]bool, now time.Time) {
	for i := range s.members {
		since, unlisted := s.unlistedSince[i]
		switch {
		case listed[i]:
			delete(s.unlistedSince, i)
		case !unlisted:
			s.unlistedSince[i] = now
		case now.Sub(since) >= retention:
			s.remove(i)
		}
	}
}

func (s *Set) remove(i Instance) {
	delete(s.members, i)
	delete(s.unlistedSince, i)
	for other := range s.members {
		if other.ID == i.ID {
			return
		}
	}
	delete(s.histories, i.ID)
}
