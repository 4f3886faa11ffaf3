// Package holder runs the holders of a router's accounts: it takes accounts
// over, answers exchanges and key claims, writes durable state to the store and
// recovers what dead processes left behind.
package holder

import (
	"time"

	"github.com/google/uuid"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

const (
	// KeyRetention is how long an idempotency key is remembered after its first
	// use.
	KeyRetention = time.Hour
	// MaxClockSkew is the largest difference between the clocks of two hosts,
	// and between a key's time and the clock of the router that accepts it.
	MaxClockSkew = 2 * time.Second
	// maxClaims bounds the memory of one account's claims, about 150 bytes each.
	maxClaims = 100_000
)

// claim is one idempotency key in use.
type claim struct {
	requestHash [32]byte
	attempt     uuid.UUID
	server      string
	serverBoot  budget.BootID
	expires     time.Time
}

// claimTable holds the idempotency keys of one account. It is guarded by its
// owner's lock.
type claimTable struct {
	claims map[[32]byte]claim
	// floor is the time before which keys may have been used without a trace in
	// the table; zero if the table is complete.
	floor time.Time
	// rebuilding is set from a takeover until the agents have been asked.
	rebuilding bool
	nextSweep  time.Time
}

func newClaimTable() *claimTable {
	return &claimTable{claims: map[[32]byte]claim{}}
}

// beginRebuild makes the table refuse claims until finishRebuild.
func (t *claimTable) beginRebuild() { t.rebuilding = true }

// restore adds a claim that an agent still knows. A claim made here wins.
func (t *claimTable) restore(now time.Time, agent budget.Incarnation, c wire.ClaimedAttempt) {
	if _, ok := t.claims[c.KeyHash]; ok {
		return
	}
	t.claims[c.KeyHash] = claim{
		requestHash: c.RequestHash, attempt: c.Attempt,
		server: agent.Name, serverBoot: agent.Boot,
		expires: now.Add(KeyRetention + MaxClockSkew),
	}
}

// finishRebuild ends a rebuild. Keys older than floor that the agents did not
// know may have been used.
func (t *claimTable) finishRebuild(floor time.Time) {
	t.rebuilding = false
	if floor.After(t.floor) {
		t.floor = floor
	}
}

// claim decides whether the request may be dispatched. A repeated call with the
// same attempt gets the same answer, so a lost answer does no harm.
func (t *claimTable) claim(now time.Time, args *wire.ClaimArgs) wire.ClaimReply {
	if t.rebuilding {
		return wire.ClaimReply{Outcome: wire.ClaimUnavailable}
	}
	t.sweep(now)
	known, ok := t.claims[args.KeyHash]
	if ok {
		return t.repeat(args, known)
	}
	if t.mayBeUsed(now, args.KeyUnixMilli) {
		return wire.ClaimReply{Outcome: wire.ClaimUncertain}
	}
	if len(t.claims) >= maxClaims {
		return wire.ClaimReply{Outcome: wire.ClaimUnavailable}
	}
	t.put(args, now.Add(KeyRetention+2*MaxClockSkew))
	return wire.ClaimReply{Outcome: wire.ClaimNew}
}

// repeat answers a claim for a key that the table has.
func (t *claimTable) repeat(args *wire.ClaimArgs, known claim) wire.ClaimReply {
	switch {
	case known.requestHash != args.RequestHash:
		return wire.ClaimReply{Outcome: wire.ClaimMismatch}
	case known.attempt == args.Attempt:
		return wire.ClaimReply{Outcome: wire.ClaimNew}
	case args.Replaces != uuid.Nil && args.Replaces == known.attempt:
		t.put(args, known.expires)
		return wire.ClaimReply{Outcome: wire.ClaimNew}
	default:
		return wire.ClaimReply{
			Outcome: wire.ClaimExists, Attempt: known.attempt,
			Server: known.server, ServerBoot: known.serverBoot,
		}
	}
}

func (t *claimTable) put(args *wire.ClaimArgs, expires time.Time) {
	t.claims[args.KeyHash] = claim{
		requestHash: args.RequestHash, attempt: args.Attempt,
		server: args.Server, serverBoot: args.ServerBoot, expires: expires,
	}
}

// mayBeUsed reports whether a key that the table does not have may have been
// used before. A key's own time, 0 if it has none, can rule that out.
func (t *claimTable) mayBeUsed(now time.Time, keyUnixMilli int64) bool {
	if keyUnixMilli == 0 {
		return !t.floor.IsZero() && now.Before(t.floor.Add(KeyRetention+2*MaxClockSkew))
	}
	keyTime := time.UnixMilli(keyUnixMilli)
	if keyTime.Before(now.Add(-KeyRetention)) {
		return true
	}
	return !t.floor.IsZero() && !keyTime.After(t.floor.Add(MaxClockSkew))
}

const sweepInterval = 10 * time.Second

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
