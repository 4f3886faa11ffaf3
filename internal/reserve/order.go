package reserve

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// order returns the first most holders of a workspace, by rendezvous hashing: all
// gates that know the same holders ask the same one first, and a holder that joins or
// leaves moves no other workspaces than its own.
func order(workspace string, holders []string, most int) []string {
	type weighted struct {
		holder string
		weight uint64
	}
	all := make([]weighted, len(holders))
	for i, holder := range holders {
		all[i] = weighted{holder, xxhash.Sum64String(holder + " " + workspace)}
	}
	slices.SortFunc(all, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.holder, b.holder))
	})
	first := make([]string, min(most, len(all)))
	for i := range first {
		first[i] = all[i].holder
	}
	return first
}
