package daemon

import "syscall"

const (
	// callerDescriptorsDivisor divides the process's limit on open files into that on callers'
	// connections. A request needs a connection to a server as well, and relays, the store and logs need a few.
	callerDescriptorsDivisor = 2
	// maxLimitedFiles bounds the limit on open files, which may be infinite.
	maxLimitedFiles = 1 << 24
)

// maxCallerConns returns the limit on callers' connections, 0 if there is none.
func (g *Gate) maxCallerConns() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		g.log.Warn("limit on open files unknown, callers' connections are not limited", "error", err)
		return 0
	}
	return int(min(uint64(limit.Cur), maxLimitedFiles) / callerDescriptorsDivisor)
}
