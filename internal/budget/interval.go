package budget

import "sort"

// IntervalSet is a set of slots, stored as the first and last slots of ascending,
// disjoint, non-adjacent closed intervals. Slots are settled nearly in order, so
// a long-lived lot needs few intervals.
type IntervalSet []Slot

// Contains reports whether slot is in the set.
func (s IntervalSet) Contains(slot Slot) bool {
	i := s.search(slot)
	return i < len(s) && s[i] <= slot
}

// search returns the index in s of the first interval that ends at or after slot.
func (s IntervalSet) search(slot Slot) int {
	return 2 * sort.Search(len(s)/2, func(i int) bool { return s[2*i+1] >= slot })
}

// Add adds slot to the set and reports whether it was absent.
func (s *IntervalSet) Add(slot Slot) bool {
	set := *s
	i := set.search(slot)
	if i < len(set) && set[i] <= slot {
		return false
	}
	joinsPrev := i > 0 && set[i-1]+1 == slot
	joinsNext := i < len(set) && slot+1 == set[i]
	switch {
	case joinsPrev && joinsNext:
		set[i-1] = set[i+1]
		set = append(set[:i], set[i+2:]...)
	case joinsPrev:
		set[i-1] = slot
	case joinsNext:
		set[i] = slot
	default:
		set = append(set, 0, 0)
		copy(set[i+2:], set[i:])
		set[i], set[i+1] = slot, slot
	}
	*s = set
	return true
}

// Len returns the number of slots in the set.
func (s IntervalSet) Len() int {
	n := 0
	for i := 0; i+1 < len(s); i += 2 {
		n += int(s[i+1]-s[i]) + 1
	}
	return n
}

// Clone returns an independent copy.
func (s IntervalSet) Clone() IntervalSet { return append(IntervalSet(nil), s...) }

// valid reports whether the intervals are ascending, disjoint and non-adjacent.
func (s IntervalSet) valid() bool {
	if len(s)%2 != 0 {
		return false
	}
	for i := 0; i < len(s); i += 2 {
		if s[i] == 0 || s[i] > s[i+1] || i > 0 && s[i]-1 <= s[i-1] {
			return false
		}
	}
	return true
}
