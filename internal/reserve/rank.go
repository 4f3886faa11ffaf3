package reserve

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// candidate is a quota server with its weight for a workspace.
type candidate struct {
	server string
	weight uint64
}

// rankServers returns the first limit quota servers of a workspace by rendezvous hashing. All
// gates with the same list rank the servers in the same order, and a server that joins or
// leaves moves only the workspaces that it serves.
func rankServers(workspace string, servers []string, limit int) []string {
	top := make([]candidate, 0, limit+1)
	for _, server := range servers {
		c := candidate{server, rendezvousWeight(workspace, server)}
		i, _ := slices.BinarySearchFunc(top, c, func(a, b candidate) int {
			return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.server, b.server))
		})
		if i < limit {
			top = slices.Insert(top, i, c)
			top = top[:min(len(top), limit)]
		}
	}
	names := make([]string, len(top))
	for i := range top {
		names[i] = top[i].server
	}
	return names
}

// rendezvousWeight returns a quota server's weight for a workspace.
func rendezvousWeight(workspace, server string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	// Writing to an xxhash digest never fails.
	_, _ = digest.WriteString(server)
	_, _ = digest.WriteString(workspace)
	return digest.Sum64()
}
