// Package rendezvous ranks nodes for a key by rendezvous hashing.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// candidate is a node with its weight for a key.
type candidate struct {
	node   string
	weight uint64
}

// Rank returns the first limit nodes of a key. All processes with the same list rank the nodes
// in the same order, and a node that joins or leaves moves only the keys of which it is the
// first.
func Rank(key string, nodes []string, limit int) []string {
	top := make([]candidate, 0, limit+1)
	for _, node := range nodes {
		c := candidate{node, weight(key, node)}
		i, _ := slices.BinarySearchFunc(top, c, func(a, b candidate) int {
			return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.node, b.node))
		})
		if i < limit {
			top = slices.Insert(top, i, c)
			top = top[:min(len(top), limit)]
		}
	}
	names := make([]string, len(top))
	for i := range top {
		names[i] = top[i].node
	}
	return names
}

// weight returns a node's weight for a key.
func weight(key, node string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	// Writing to an xxhash digest never fails.
	_, _ = digest.WriteString(node)
	_, _ = digest.WriteString(key)
	return digest.Sum64()
}
