package reserve

import (
	"cmp"
	"math/bits"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// maxWorkspacesPerGroup is the largest average number of workspaces in a group. The workspaces
// of a group have the same quota server, which writes their records in one transaction.
const maxWorkspacesPerGroup = 6

// workspaceGroup returns the group of a workspace, given the number of configured workspaces.
// The number of groups is a power of two, so that it seldom changes, and then only half of the
// workspaces move when it doubles. Gates that disagree on it for a time use different quota
// servers, which is safe.
func workspaceGroup(workspace string, workspaces int) string {
	groups := uint64(1) << bits.Len(uint(max(workspaces, 0)/maxWorkspacesPerGroup))
	return strconv.FormatUint(xxhash.Sum64String(workspace)%groups, 10)
}

// candidate is a quota server with its weight for a group of workspaces.
type candidate struct {
	server string
	weight uint64
}

// rankServers returns the first limit quota servers of a group by rendezvous hashing. All
// gates with the same list rank the servers in the same order, and a server that joins or
// leaves moves only the groups that it serves.
func rankServers(group string, servers []string, limit int) []string {
	top := make([]candidate, 0, limit+1)
	for _, server := range servers {
		c := candidate{server, rendezvousWeight(group, server)}
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

// rendezvousWeight returns a quota server's weight for a group of workspaces.
func rendezvousWeight(group, server string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	// Writing to an xxhash digest never fails.
	_, _ = digest.WriteString(server)
	_, _ = digest.WriteString(group)
	return digest.Sum64()
}
