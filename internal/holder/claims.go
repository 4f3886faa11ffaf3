// Package holder runs the accounts that a router holds. An account is the record of
// one budget shard in one region; its holder is the router that leads it for one
// epoch. A Manager takes accounts over from dead holders, serves the exchanges of
// routers and their claims of idempotency keys, writes durable state to the store,
// and settles the lots of dead routers. budget.Holder makes the decisions; this
// package does the I/O.
//
// The router's daemon runs the package and registers a Manager as the RPC service
// "Holder". The package must not know HTTP or how backend servers are chosen.
package holder

import (
	"time"

	"github.com/google/uuid"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

const (
	// KeyRetention is the minimum time for which the claim of an idempotency key is
	// kept after the first use of the key.
	KeyRetention = time.Hour
	// MaxClockSkew is the largest difference allowed between the clocks of two
	// hosts, and between the time in a key and the clock of the router that
	// accepts it.
	MaxClockSkew = 2 * time.Second
	// maxClaims bounds the memory for the claims of one account, at about 150
	// bytes per claim.
	maxClaims = 100_000
)

// claim records which attempt has the right to run under an idempotency key.
type claim struct {
	requestHash [32]byte
	attempt     uuid.UUID
	server      string
	agentBoot   budget.BootID
	expires     time.Time
}

// claimTable holds the claims of one account by key hash. It is not safe for
// concurrent use; account.mu guards it.
type claimTable struct {
	claims map[[32]byte]claim
	// horizon is the deduplication horizon: an older key that is missing from the
	// table may have been used. It is zero if the table is complete.
	horizon time.Time
	// rebuilding is set from a takeover until the claims have been collected from
	// the agents.
	rebuilding bool
	nextSweep  time.Time
}

func newClaimTable() *claimTable {
	return &claimTable{claims: map[[32]byte]claim{}}
}

// beginRebuild makes the table refuse all claims until finishRebuild is called.
func (t *claimTable) beginRebuild() { t.rebuilding = true }

// restore adds a claim that an agent still has, unless the key is in the table.
func (t *claimTable) restore(now time.Time, agent budget.Incarnation, c wire.ClaimedAttempt) {
	if _, ok := t.claims[c.KeyHash]; ok {
		return
	}
	t.claims[c.KeyHash] = claim{
		requestHash: c.RequestHash, attempt: c.Attempt,
		server: agent.Name, agentBoot: agent.Boot,
		expires: now.Add(KeyRetention + MaxClockSkew),
	}
}

// finishRebuild ends a rebuild. Claims of keys older than horizon may be missing.
// The horizon of the table never moves back.
func (t *claimTable) finishRebuild(horizon time.Time) {
	t.rebuilding = false
	if horizon.After(t.horizon) {
		t.horizon = horizon
	}
}

// claim decides whether a request may be dispatched. It is idempotent per attempt,
// so a caller whose reply was lost can repeat the call.
func (t *claimTable) claim(now time.Time, args *wire.ClaimArgs) wire.ClaimReply {
	if t.rebuilding {
		return wire.ClaimReply{Outcome: wire.ClaimUnavailable}
	}
	t.sweep(now)
	existing, ok := t.claims[args.KeyHash]
	if ok {
		return t.claimExisting(args, existing)
	}
	if t.mayHaveBeenUsed(now, args.KeyUnixMilli) {
		return wire.ClaimReply{Outcome: wire.ClaimUncertain}
	}
	if len(t.claims) >= maxClaims {
		return wire.ClaimReply{Outcome: wire.ClaimUnavailable}
	}
	t.put(args, now.Add(KeyRetention+2*MaxClockSkew))
	return wire.ClaimReply{Outcome: wire.ClaimNew}
}

// claimExisting handles a claim of a key that is in the table. The key passes to
// the new attempt only if args.Replaces names the attempt that has it.
func (t *claimTable) claimExisting(args *wire.ClaimArgs, existing claim) wire.ClaimReply {
	switch {
	case existing.requestHash != args.RequestHash:
		return wire.ClaimReply{Outcome: wire.ClaimMismatch}
	case existing.attempt == args.Attempt:
		return wire.ClaimReply{Outcome: wire.ClaimNew}
	case args.Replaces != uuid.Nil && args.Replaces == existing.attempt:
		t.put(args, existing.expires)
		return wire.ClaimReply{Outcome: wire.ClaimNew}
	default:
		return wire.ClaimReply{
			Outcome: wire.ClaimExists, Attempt: existing.attempt,
			Server: existing.server, AgentBoot: existing.agentBoot,
		}
	}
}

func (t *claimTable) put(args *wire.ClaimArgs, expires time.Time) {
	t.claims[args.KeyHash] = claim{
		requestHash: args.RequestHash, attempt: args.Attempt,
		server: args.Server, agentBoot: args.AgentBoot, expires: expires,
	}
}

// mayHaveBeenUsed reports whether a key that is missing from the table may have been
// used before. keyUnixMilli is the time in the key, 0 if it has none. A key with a time
// may have been used if it is older than KeyRetention, because its claim may have been
// deleted, or if it is not newer than the horizon by more than MaxClockSkew. A key
// without a time may have been used until a claim made at the horizon would have
// expired.
func (t *claimTable) mayHaveBeenUsed(now time.Time, keyUnixMilli int64) bool {
	if keyUnixMilli == 0 {
		return !t.horizon.IsZero() && now.Before(t.horizon.Add(KeyRetention+2*MaxClockSkew))
	}
	keyTime := time.UnixMilli(keyUnixMilli)
	if keyTime.Before(now.Add(-KeyRetention)) {
		return true
	}
	return !t.horizon.IsZero() && !keyTime.After(t.horizon.Add(MaxClockSkew))
}

// sweepInterval is the least time between two sweeps, each of which scans the whole
// table.
const sweepInterval = 10 * time.Second

// sweep deletes expired claims.
func (t *claimTable) sweep(now time.Time) {
	if now.Before(t.nextSweep) {
		return
	}
	t.nextSweep = now.Add(sweepInterval)
	for key, c := range t.claims {
		if now.After(c.expires) {
			delete(t.claims, key)
		}
	}
}
