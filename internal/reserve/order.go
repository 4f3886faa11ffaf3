package reserve

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ranked is a holder with its weight for a workspace.
type ranked struct {
	holder string
	weight uint64
}

// order returns the first most holders of a workspace, by rendezvous hashing: all
// gates that know the same holders ask the same one first, and a holder that joins or
// leaves moves no other workspaces than its own.
func order(workspace string, holders []string, most int) []string {
	first := make([]ranked, 0, most+1)
	for _, holder := range holders {
		r := ranked{holder, weight(workspace, holder)}
		at, _ := slices.BinarySearchFunc(first, r, func(a, b ranked) int {
			return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.holder, b.holder))
		})
		if at < most {
			first = slices.Insert(first, at, r)
			first = first[:min(len(first), most)]
		}
	}
	chosen := make([]string, len(first))
	for i := range first {
		chosen[i] = first[i].holder
	}
	return chosen
}

// weight returns a holder's weight for a workspace.
func weight(workspace, holder string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	// Writing to a digest cannot fail.
	_, _ = digest.WriteString(holder)
	_, _ = digest.WriteString(workspace)
	return digest.Sum64()
}
