package wire

// SyncPollArgs is a long poll of a follower at a distributor for the changes after
// a revision.
type SyncPollArgs struct {
	// After is the store revision up to which the follower has all changes. A
	// negative value, -n-1, requests a snapshot at revision n or above.
	After int64 `cbor:"1,keyasint"`
	// HostsVersion is the version of the host list in the distributor's last reply, or
	// that of the follower's own list if the follower has no such version. If the
	// distributor's list has another version, it replies at once.
	HostsVersion uint64 `cbor:"2,keyasint"`
	// KeyPatterns limits the reply to matching keys; if empty, all keys match. A
	// pattern is a key prefix, or a prefix and a suffix separated by "*".
	KeyPatterns []string `cbor:"3,keyasint,omitempty"`
	// MaxWaitMillis is how long the distributor may wait for a change, in
	// milliseconds.
	MaxWaitMillis int64 `cbor:"4,keyasint"`
	// Connected is set if the distributor's last reply showed that it was connected to
	// the store, see SyncPollReply.LastContactMillis. If that has changed, the
	// distributor replies at once.
	Connected bool `cbor:"5,keyasint,omitempty"`
}

// SyncEntry is the state of one store key at a distributor.
type SyncEntry struct {
	Key         string `cbor:"1,keyasint"`
	Value       []byte `cbor:"2,keyasint,omitempty"`
	ModRevision int64  `cbor:"3,keyasint"`
	Deleted     bool   `cbor:"4,keyasint,omitempty"`
}

// SyncHost is one entry of the platform's host list.
type SyncHost struct {
	Name    string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
	Role    Role   `cbor:"3,keyasint"`
	Region  string `cbor:"4,keyasint"`
	Domain  string `cbor:"5,keyasint"`
	Leaving bool   `cbor:"6,keyasint,omitempty"`
	// Pool is the pool of a backend server, empty for a router.
	Pool string `cbor:"7,keyasint,omitempty"`
}

// CommandArgs is a command of the rollout leader to a server's engine. Kind, Model and
// Value are passed to the engine unchanged.
type CommandArgs struct {
	// FencingToken increases with each leader. An agent refuses a token below the
	// highest that it has seen.
	FencingToken int64  `cbor:"1,keyasint"`
	Kind         string `cbor:"2,keyasint"`
	Model        string `cbor:"3,keyasint"`
	Value        string `cbor:"4,keyasint,omitempty"`
}

// CommandReply is the reply to CommandArgs.
type CommandReply struct {
	Done bool `cbor:"1,keyasint"`
	// Fenced means that the agent or the engine has seen a higher fencing token.
	Fenced bool   `cbor:"2,keyasint,omitempty"`
	Detail string `cbor:"3,keyasint,omitempty"`
}

// SyncPollReply is the reply to SyncPollArgs.
type SyncPollReply struct {
	Entries []SyncEntry `cbor:"1,keyasint,omitempty"`
	// Revision is the store revision up to which the reply is complete.
	Revision int64 `cbor:"2,keyasint"`
	// LastContactMillis is the age of the distributor's last contact with the
	// store in milliseconds, -1 if there was none or if the distributor may have
	// missed a deletion.
	LastContactMillis int64 `cbor:"3,keyasint"`
	// Hosts is the complete host list if its version is not the poll's HostsVersion, or
	// with HostsDelta the hosts added or changed since that version.
	Hosts        []SyncHost `cbor:"4,keyasint,omitempty"`
	HostsVersion uint64     `cbor:"5,keyasint"`
	// IsSnapshot means that Entries is a snapshot of all matching keys. It replaces
	// the follower's entries except those with a higher revision.
	IsSnapshot bool `cbor:"6,keyasint,omitempty"`
	// HostsDelta means that Hosts and HostsRemoved are the difference from the list
	// with the poll's HostsVersion.
	HostsDelta   bool     `cbor:"7,keyasint,omitempty"`
	HostsRemoved []string `cbor:"8,keyasint,omitempty"`
	// HostsAgeMillis is the time, in milliseconds, since the distributor, or one
	// that it polled, last read the host list; -1 if there was no read.
	HostsAgeMillis int64 `cbor:"9,keyasint,omitempty"`
	// TombstoneHorizon is the revision up to which the distributor may have dropped
	// tombstones, so that Entries may lack deletions.
	TombstoneHorizon int64 `cbor:"10,keyasint,omitempty"`
	// KeySetHash is the exclusive or of the xxhash64 of each key that exists at
	// Revision and matches KeyPatterns. It is set if the follower's revision is
	// below TombstoneHorizon and More is false.
	KeySetHash uint64 `cbor:"11,keyasint,omitempty"`
	// More means that the reply was truncated at its size limit; the follower polls
	// again at once.
	More bool `cbor:"12,keyasint,omitempty"`
}
