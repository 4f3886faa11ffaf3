package dispatch

import (
	"crypto/sha256"
	"time"

	"github.com/google/uuid"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// claim claims the idempotency key for the attempt at the holder of the key's
// account. If the key belongs to an earlier attempt that may have run, it
// returns that attempt instead.
func (s *callState) claim(a *attempt) (existing *attempt, _ *verdict.Error) {
	keyTime, err := parseKeyTime(s.call.Key)
	if err != nil {
		return nil, err
	}
	defaultBudget := budget.MakeID(s.call.Workspace, budget.DefaultName)
	args := &wire.ClaimArgs{
		Account: budget.Account{
			Shard: budget.ShardOf(defaultBudget, s.d.Shards()), Region: s.call.HomeRegion,
		},
		KeyHash:     sha256.Sum256([]byte(s.call.Workspace + "\x00" + s.call.Key)),
		RequestHash: s.call.RequestHash, Router: s.d.Self, Attempt: a.id,
		Server: a.server.Name, AgentBoot: a.bootID,
		Replaces: s.claimedFor, KeyUnixMilli: keyTime,
	}
	for range maxClaims {
		reply, err := s.claimKey(a, defaultBudget, args)
		if err != nil || reply.Outcome == wire.ClaimUnavailable {
			return nil, s.homeUnreachableError(err)
		}
		switch {
		case reply.Outcome == wire.ClaimNew, reply.Outcome == wire.ClaimExists && reply.Attempt == a.id:
			s.claimedFor = a.id
			a.claim = &wire.Claim{
				Account: args.Account, Epoch: reply.Epoch,
				KeyHash: args.KeyHash, RequestHash: args.RequestHash,
			}
			return nil, nil
		case reply.Outcome == wire.ClaimExists:
			existing, fail := s.existingAttempt(reply)
			if existing != nil || fail != nil {
				return existing, fail
			}
			args.Replaces = reply.Attempt
		case reply.Outcome == wire.ClaimMismatch:
			return nil, verdict.New(verdict.NotRun, verdict.CodeKeyReused,
				"the idempotency key was used for another request")
		default:
			return nil, unresolvedKeyError("it is not known whether the idempotency key was used before")
		}
	}
	return nil, unresolvedKeyError("other requests with the same idempotency key are in progress")
}

// homeUnreachableError returns the error for a key whose holder cannot be reached.
// Its verdict is Unknown, because an earlier request with the key may have run.
func (s *callState) homeUnreachableError(err error) *verdict.Error {
	if s.ctx.Err() != nil {
		return s.contextError(verdict.Unknown).WithCause(err)
	}
	return verdict.New(verdict.Unknown, verdict.CodeHomeUnreachable,
		"the home of the idempotency key cannot be reached").WithRetryAfter(time.Second).WithCause(err)
}

func unresolvedKeyError(detail string) *verdict.Error {
	return verdict.New(verdict.Unknown, verdict.CodeKeyUnresolved, "%s", detail)
}

// parseKeyTime returns the time in a UUIDv7 key as Unix milliseconds, 0 for any
// other key. A time more than maxKeyClockSkew in the future is rejected, because
// the holder treats a key newer than its deduplication horizon as unused.
func parseKeyTime(key string) (int64, *verdict.Error) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return 0, nil
	}
	seconds, nanos := id.Time().UnixTime()
	at := time.Unix(seconds, nanos)
	if time.Until(at) > maxKeyClockSkew {
		return 0, verdict.New(verdict.NotRun, verdict.CodeBadRequest,
			"the idempotency key's time is in the future")
	}
	return at.UnixMilli(), nil
}

// existingAttempt resolves the earlier attempt in a claim reply. It returns nil
// without an error if that attempt did not run and never will.
func (s *callState) existingAttempt(reply wire.ClaimReply) (*attempt, *verdict.Error) {
	server, ok := s.d.Servers.Server(reply.Server)
	if !ok {
		return nil, unresolvedKeyError("the server that the idempotency key was sent to is gone")
	}
	a := &attempt{
		state: s, id: reply.Attempt, server: server, bootID: reply.AgentBoot, started: time.Now(),
		reason: "earlier attempt for the idempotency key",
	}
	resolved, fail := a.resolveExisting()
	if fail != nil {
		return nil, fail
	}
	notRun := resolved.State == wire.AttemptUnknown ||
		resolved.Done != nil && resolved.Done.Verdict == verdict.NotRun
	if notRun {
		return nil, nil
	}
	a.accepted = true
	return a, nil
}

// resolveExisting asks the agent about an earlier attempt until it replies or
// the reattach window ends. An agent that has not seen the attempt adds a
// tombstone for it.
func (a *attempt) resolveExisting() (*wire.ResolveReply, *verdict.Error) {
	deadline := time.Now().Add(ReattachWindow)
	for time.Now().Before(deadline) && a.state.ctx.Err() == nil {
		reply, _, restarted := a.resolve(deadline, true)
		if restarted {
			return nil, unresolvedKeyError("the server that the idempotency key was sent to has restarted")
		}
		if reply != nil {
			return reply, nil
		}
		time.Sleep(reattachBackoffMin)
	}
	if a.state.ctx.Err() != nil {
		return nil, a.state.contextError(verdict.Unknown)
	}
	return nil, unresolvedKeyError("the server that the idempotency key was sent to cannot be reached")
}

// replay relays the response of an earlier attempt. Its bill belongs to the
// reservation of that attempt and is not settled again.
func (s *callState) replay(a *attempt) result {
	s.d.counters.replayed.Inc(1)
	switch a.resume() {
	case endDone:
		res := s.doneResult(a)
		res.Bill = a.done.Bill
		return res
	case endNotRun:
		return s.notRunResult(a)
	default:
		return s.lostResult(a)
	}
}
