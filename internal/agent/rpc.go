package agent

import (
	"time"

	"github.com/google/uuid"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// RPC implements the methods of the RPC service "Agent".
type RPC struct{ agent *Agent }

// Probe returns the expected time to the first token of a request.
func (r *RPC) Probe(args *wire.ProbeArgs, reply *wire.ProbeReply) error {
	a := r.agent
	prompt := int(max(0, args.PromptTokens))
	cached := a.cachedPrefixes.cachedTokens(args.Prefixes, prompt)
	a.mu.Lock()
	defer a.mu.Unlock()
	reply.Load = a.loadLocked()
	reply.Serves = a.targets[args.Target] && !a.serverDown
	reply.CachedTokens = int32(cached)
	reply.FirstTokenMillis = millis(a.firstTokenTimeLocked(args.Priority, a.pendingPrefill+prompt-cached))
	return nil
}

// Resolve returns the state of an attempt. If requested, it adds a tombstone for
// an attempt that the agent has not seen.
func (r *RPC) Resolve(args *wire.ResolveArgs, reply *wire.ResolveReply) error {
	a := r.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	reply.Boot = a.opts.Identity.Boot
	reply.State, reply.Done = a.resolveLocked(args.Attempt, args.Tombstone)
	return nil
}

// Collect installs fences and epochs, and returns what the agent knows about an
// account. Both happen under one lock: an attempt of a fenced router is either
// in the reply or refused.
func (r *RPC) Collect(args *wire.CollectArgs, reply *wire.CollectReply) error {
	a := r.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	ledger := a.admission.ledger
	if args.FenceRouter != nil {
		ledger.Fence(args.Account, *args.FenceRouter, args.FenceBefore)
	}
	ledger.RaiseEpoch(args.Account, args.MinAccountEpoch)
	ledger.RaiseClaimEpoch(args.Account, args.MinClaimEpoch)
	reply.Agent = a.opts.Identity
	reply.UptimeMillis = time.Since(a.started).Milliseconds()
	reply.AccountEpoch = ledger.Epoch(args.Account)
	reply.Bills, reply.RouterBoots, reply.Running = ledger.Collect(args.Account)
	if args.WithClaims {
		reply.Claims = a.claimsLocked(args.Account)
	}
	return nil
}

// claimsLocked returns the claims of an account whose attempts have a record.
// Callers hold mu.
func (a *Agent) claimsLocked(account budget.Account) []wire.ClaimedAttempt {
	var claims []wire.ClaimedAttempt
	for _, at := range a.attempts {
		if claim := at.req.Claim; claim != nil && claim.Account == account {
			claims = append(claims, wire.ClaimedAttempt{
				KeyHash: claim.KeyHash, RequestHash: claim.RequestHash, Attempt: at.id,
			})
		}
	}
	return claims
}

// AckBills deletes durable bills. The bill of an attempt that is still running,
// which its router has billed without the agent, is deleted when the attempt
// ends.
func (r *RPC) AckBills(args *wire.AckBillsArgs, _ *wire.Empty) error {
	a := r.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	a.admission.ledger.Ack(args.Attempts)
	a.signalDrainLocked()
	return nil
}

// Order sends a command to the engine and waits until it is executed.
func (r *RPC) Order(args *wire.CommandArgs, reply *wire.CommandReply) error {
	*reply = r.agent.runCommand(args)
	return nil
}

// Outstanding is the work that a drain waits for.
type Outstanding struct {
	// Running holds the attempts that are queued or running.
	Running []uuid.UUID
	// Streams is the number of open streams to routers.
	Streams int
	// Bills is the number of bills that are not known to be durable.
	Bills int
}

// Empty reports whether nothing is outstanding.
func (o Outstanding) Empty() bool { return len(o.Running) == 0 && o.Streams == 0 && o.Bills == 0 }
