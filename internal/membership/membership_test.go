package membership

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A member must be kept while its entry is missing for a while, and not for good.
func TestMemberOutlastsEntry(t *testing.T) {
	c := qt.New(t)
	s, a, now := NewSet(), Instance{"a", 1}, time.Now()
	s.Member(a).Leave()
	list := func(instances ...Instance) {
		listed := map[Instance]bool{}
		for _, i := range instances {
			s.Member(i)
			listed[i] = true
		}
		s.EndListing(listed, now)
	}
	list(a)
	now = now.Add(2 * retention)
	list(Instance{"a", 2})
	now = now.Add(retention - 1)
	list(a, Instance{"a", 2})
	c.Assert(s.Member(a).Accepts(), qt.IsFalse)
	c.Assert(s.Member(Instance{"a", 2}).Accepts(), qt.IsTrue)
	list()
	now = now.Add(retention)
	list()
	c.Assert(s.members, qt.HasLen, 0)
	c.Assert(s.unlistedSince, qt.HasLen, 0)
}
