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
	members map[Instance]*Member
	// unlistedSince holds the instances that are not listed, and since when.
	unlistedSince map[Instance]time.Time
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{members: make(map[Instance]*Member), unlistedSince: make(map[Instance]time.Time)}
}

// Member returns the member of a listed instance, which is the same as long as the set
// holds it.
func (s *Set) Member(i Instance) *Member {
	m := s.members[i]
	if m == nil {
		m = &Member{}
		s.members[i] = m
	}
	return m
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
			delete(s.members, i)
			delete(s.unlistedSince, i)
		}
	}
}
