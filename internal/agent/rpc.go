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

// Collect installs fences and epochs, and then answers with what the
// agent knows about an account. Both are one step: an attempt of a fenced router
// is either in the answer or refused.
func (r *RPC) Collect(args *wire.CollectArgs, reply *wire.CollectReply) error {
	a := r.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	book := a.ledger.book
	if args.FenceRouter != nil {
		book.Fence(args.Account, *args.FenceRouter, args.FenceThrough)
	}
	book.RaiseEpoch(args.Account, args.AccountEpoch)
	book.RaiseClaimEpoch(args.Account, args.ClaimEpoch)
	reply.Agent = a.opts.Identity
	reply.UptimeMillis = time.Since(a.started).Milliseconds()
	reply.AccountEpoch = book.Epoch(args.Account)
	reply.Bills, reply.Routers, reply.Running = book.Collect(args.Account)
	if args.WithClaims {
		reply.Claims = a.claimsLocked(args.Account)
	}
	return nil
}

// claimsLocked returns the claims of an account that the agent remembers. Callers
// hold mu.
func (a *Agent) claimsLocked(account budget.Account) []wire.ClaimedAttempt {
	var out []wire.ClaimedAttempt
	for _, at := range a.attempts {
		if claim := at.req.Claim; claim != nil && claim.Account == account {
			out = append(out, wire.ClaimedAttempt{
				KeyHash: claim.KeyHash, RequestHash: claim.RequestHash, Attempt: at.id,
			})
		}
	}
	return out
}

// AckBills deletes bills that are durable, with all copies in ended attempts.
func (r *RPC) AckBills(args *wire.AckBillsArgs, _ *wire.Empty) error {
	a := r.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ledger.book.Ack(args.Attempts)
	a.noteChangeLocked()
	return nil
}

// Order passes an order on to the engine.
func (r *RPC) Order(args *wire.OrderArgs, reply *wire.OrderReply) error {
	*reply = r.agent.order(args)
	return nil
}

// Outstanding is what a drain could not finish.
type Outstanding struct {
	// Running holds the attempts in progress.
	Running []uuid.UUID
	// Streams is the number of routers that still receive an answer.
	Streams int
	// Bills is the number of bills that are not known to be durable.
	Bills int
}

// Empty reports whether nothing is left.
func (l Outstanding) Empty() bool { return len(l.Running) == 0 && l.Streams == 0 && l.Bills == 0 }
