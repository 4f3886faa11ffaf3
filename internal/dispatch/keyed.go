package dispatch

import (
	"crypto/sha256"
	"time"

	"github.com/google/uuid"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// claim asks the key's home for the right to run the attempt. It returns an
// earlier attempt for the key if there is one to attach to.
func (r *run) claim(a *attempt) (earlier *attempt, _ *verdict.Error) {
	keyTime, err := keyTimeOf(r.call.Key)
	if err != nil {
		return nil, err
	}
	home := budget.MakeID(r.call.Workspace, budget.DefaultName)
	args := &wire.ClaimArgs{
		Account: budget.Account{
			Shard: budget.ShardOf(home, r.d.Shards()), Region: r.call.HomeRegion,
		},
		KeyHash:     sha256.Sum256([]byte(r.call.Workspace + "\x00" + r.call.Key)),
		RequestHash: r.call.RequestHash, Router: r.d.Self, Attempt: a.id,
		Server: a.server.Name, ServerBoot: a.boot,
		Replaces: r.claimed, KeyUnixMilli: keyTime,
	}
	for range maxClaims {
		reply, err := r.askHome(a, home, args)
		if err != nil || reply.Outcome == wire.ClaimUnavailable {
			return nil, r.homeUnreachable(err)
		}
		switch {
		case reply.Outcome == wire.ClaimNew, reply.Outcome == wire.ClaimExists && reply.Attempt == a.id:
			r.claimed = a.id
			a.claim = &wire.Claim{
				Account: args.Account, Epoch: reply.Epoch,
				KeyHash: args.KeyHash, RequestHash: args.RequestHash,
			}
			return nil, nil
		case reply.Outcome == wire.ClaimExists:
			earlier, fail := r.earlier(reply)
			if earlier != nil || fail != nil {
				return earlier, fail
			}
			args.Replaces = reply.Attempt
		case reply.Outcome == wire.ClaimMismatch:
			return nil, verdict.New(verdict.NotRun, verdict.CodeKeyReused,
				"the idempotency key was used for another request")
		default:
			return nil, unresolved("it is not known whether the idempotency key was used before")
		}
	}
	return nil, unresolved("other requests with the same idempotency key are in progress")
}

// homeUnreachable is the error for a key whose home cannot be asked. Whether an
// earlier request with the key ran is not known, so neither is the answer.
func (r *run) homeUnreachable(err error) *verdict.Error {
	if r.ctx.Err() != nil {
		return r.ended(verdict.Unknown).WithCause(err)
	}
	return verdict.New(verdict.Unknown, verdict.CodeHomeUnreachable,
		"the home of the idempotency key cannot be reached").WithRetryAfter(time.Second).WithCause(err)
}

func unresolved(detail string) *verdict.Error {
	return verdict.New(verdict.Unknown, verdict.CodeKeyUnresolved, "%s", detail)
}

// keyTimeOf returns the time that a key carries in Unix milliseconds, 0 if it
// carries none. A key from the future would defeat the home's memory floor.
func keyTimeOf(key string) (int64, *verdict.Error) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return 0, nil
	}
	seconds, nanos := id.Time().UnixTime()
	at := time.Unix(seconds, nanos)
	if time.Until(at) > keyClockTolerance {
		return 0, verdict.New(verdict.NotRun, verdict.CodeBadRequest,
			"the idempotency key's time is in the future")
	}
	return at.UnixMilli(), nil
}

// earlier finds out about an attempt that the key was claimed for. It returns
// nil without error if that attempt certainly did not run and is fenced.
func (r *run) earlier(reply wire.ClaimReply) (*attempt, *verdict.Error) {
	server, ok := r.d.Servers.Server(reply.Server)
	if !ok {
		return nil, unresolved("the server that the idempotency key was sent to is gone")
	}
	a := &attempt{
		r: r, id: reply.Attempt, server: server, boot: reply.ServerBoot, started: time.Now(),
		reason: "earlier attempt for the idempotency key",
	}
	state, fail := a.resolveEarlier()
	if fail != nil {
		return nil, fail
	}
	notRun := state.State == wire.AttemptUnknown ||
		state.Done != nil && state.Done.Verdict == verdict.NotRun
	if notRun {
		return nil, nil
	}
	a.accepted = true
	return a, nil
}

// resolveEarlier asks the agent about an earlier attempt until it answers, and
// fences the attempt if the agent has not seen it.
func (a *attempt) resolveEarlier() (*wire.ResolveReply, *verdict.Error) {
	window := time.Now().Add(ReattachWindow)
	for time.Now().Before(window) && a.r.ctx.Err() == nil {
		reply, _, known := a.resolve(window, true)
		if known {
			return nil, unresolved("the server that the idempotency key was sent to has restarted")
		}
		if reply != nil {
			return reply, nil
		}
		time.Sleep(reattachPauseMin)
	}
	if a.r.ctx.Err() != nil {
		return nil, a.r.ended(verdict.Unknown)
	}
	return nil, unresolved("the server that the idempotency key was sent to cannot be reached")
}

// replay passes on the answer of an earlier attempt. Its bill was made with that
// attempt's reservation.
func (r *run) replay(a *attempt) result {
	r.d.counters.replayed.Inc(1)
	switch a.recover() {
	case endDone:
		res := r.answered(a)
		res.Bill = a.done.Bill
		return res
	case endNotRun:
		return r.notRun(a)
	default:
		return r.lost(a)
	}
}
