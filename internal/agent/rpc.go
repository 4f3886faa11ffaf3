package agent

import (
	"time"

	"github.com/google/uuid"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// RPC is the receiver of the calls "Agent.Probe" and so on.
type RPC struct{ agent *Agent }

// Probe answers how long a request would wait for its first token.
func (r *RPC) Probe(args *wire.ProbeArgs, reply *wire.ProbeReply) error {
	a := r.agent
	prompt := int(max(0, args.PromptTokens))
	cached := a.index.cachedTokens(args.Prefixes, prompt)
	a.mu.Lock()
	defer a.mu.Unlock()
	reply.Load = a.loadLocked()
	reply.Serves = a.targets[args.Target] && !a.down
	reply.CachedTokens = int32(cached)
	reply.FirstTokenMillis = millis(a.firstTokenLocked(args.Priority, a.pendingPrefill+prompt-cached))
	return nil
}

// Resolve answers what became of an attempt, and fences one that was not seen if
// asked to.
func (r *RPC) Resolve(args *wire.ResolveArgs, reply *wire.ResolveReply) error {
	a := r.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	reply.Boot = a.opts.Identity.Boot
	reply.State, reply.Done = a.resolveLocked(args.Attempt, args.Fence)
	return nil
}

// Collect installs a fence and a claim epoch, and then answers with what the
// agent knows about an account. Both are one step: an attempt of a fenced router
// is either in the answer or refused.
func (r *RPC) Collect(args *wire.CollectArgs, reply *wire.CollectReply) error {
	a := r.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if args.FenceRouter != nil {
		a.ledger.fence(args.Account, *args.FenceRouter, now)
	}
	if args.ClaimEpoch > 0 {
		a.ledger.raiseEpoch(args.Account, args.ClaimEpoch)
	}
	reply.Agent = a.opts.Identity
	reply.UptimeMillis = time.Since(a.started).Milliseconds()
	a.ledger.collect(args.Account, reply)
	a.collectAttemptsLocked(args, reply)
	return nil
}

// collectAttemptsLocked adds the running reservations and the claims of an
// account. Callers hold mu.
func (a *Agent) collectAttemptsLocked(args *wire.CollectArgs, reply *wire.CollectReply) {
	for _, at := range a.attempts {
		if at.state != stateFinished && at.req.Lot.Account == args.Account {
			reply.Running = append(reply.Running, wire.RunningAttempt{
				Lot: at.req.Lot, Slot: at.req.Slot, Budget: at.req.Budget, Router: at.req.Router,
				Reserve: at.req.Reserve, Attempt: at.id,
			})
		}
		if claim := at.req.Claim; args.WithClaims && claim != nil && claim.Account == args.Account {
			reply.Claims = append(reply.Claims, wire.ClaimedAttempt{
				KeyHash: claim.KeyHash, RequestHash: claim.RequestHash, Attempt: at.id,
			})
		}
	}
}

// AckBills deletes bills that are durable, with all copies in ended attempts.
func (r *RPC) AckBills(args *wire.AckBillsArgs, _ *wire.Empty) error {
	a := r.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ledger.acknowledge(args.Attempts)
	a.noteChangeLocked()
	return nil
}

// Order passes an order on to the engine.
func (r *RPC) Order(args *wire.OrderArgs, reply *wire.OrderReply) error {
	*reply = r.agent.order(args)
	return nil
}

// Left is what a drain could not finish.
type Left struct {
	// Running holds the attempts in progress.
	Running []uuid.UUID
	// Streams is the number of routers that still receive an answer.
	Streams int
	// Bills holds the bills that are not known to be durable.
	Bills []budget.Bill
}

// Empty reports whether nothing is left.
func (l Left) Empty() bool { return len(l.Running) == 0 && l.Streams == 0 && len(l.Bills) == 0 }
