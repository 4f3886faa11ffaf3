package reserve

import (
	"math/bits"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// maxWorkspacesPerGroup is the largest average number of workspaces in a group. The workspaces
// of a group have the same quota server, which writes their records in one transaction.
const maxWorkspacesPerGroup = 6

// minGroups is the least number of groups. A host that loses its power takes the headroom of the
// shares of its groups, which must not be most workspaces of a fleet that has few.
const minGroups = 4

// workspaceGroup returns the group of a workspace, given the number of configured workspaces.
// The number of groups is a power of two, so that it seldom changes, and then only half of the
// workspaces move when it doubles. Gates that disagree on it for a time use different quota
// servers, which is safe.
func workspaceGroup(workspace string, workspaces int) string {
	groups := max(uint64(1)<<bits.Len(uint(max(workspaces, 0)/maxWorkspacesPerGroup)), minGroups)
	return strconv.FormatUint(xxhash.Sum64String(workspace)%groups, 10)
}
